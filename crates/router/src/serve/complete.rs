//! `POST /v1/completions`: a completion, streamed or in one response.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use futures::channel::mpsc;
use futures::{SinkExt, StreamExt};
use marjoram_core::fingerprint::Fingerprint;
use marjoram_core::ids::WorkspaceId;
use marjoram_core::wire::{Chunk, Completion, CompletionRequest};
use ntex::util::Bytes;
use ntex::web::types::Payload;
use ntex::web::{HttpRequest, HttpResponse};

use super::serving::Serving;
use super::{Shared, read_body, reply_error};
use crate::answer_memory::{AnswerMemory, ReservedMemory};
use crate::error::Error;
use crate::forward::{self, ChunkSink, LIMIT_STEP};
use crate::job::Job;
use crate::node::Node;

/// Path of completion requests; part of their fingerprint.
const PATH: &str = "/v1/completions";

/// Longest text of an answer in one response, in bytes.
const MAX_TEXT_SIZE: usize = 16 << 20;

type Sender = mpsc::Sender<Result<Bytes, std::io::Error>>;
type Receiver = mpsc::Receiver<Result<Bytes, std::io::Error>>;

pub async fn complete(node: Shared, request: HttpRequest, payload: Payload) -> HttpResponse {
    let node: Arc<Node> = node.get_ref().clone();
    let mut serving = Serving::new(node.clone(), request.peer_addr());
    node.counters.requests.fetch_add(1, Ordering::Relaxed);
    let accepted = match read_body(&node, payload, &serving).await {
        Ok((body, held)) => {
            serving.hold(held);
            accept(&node, &serving, body).await
        }
        Err(error) => Err(error),
    };
    serving.set_answered();
    let (id, peer) = (serving.id, serving.peer.clone());
    let answered = match accepted {
        Ok(Accepted::Answer(answer, _reserved)) => respond(&mut serving, &answer),
        Ok(Accepted::Stream(chunks)) => Ok(respond_streamed(serving, chunks)),
        Err(error) => Err(error),
    };
    answered.unwrap_or_else(|error| {
        node.counters.failed.fetch_add(1, Ordering::Relaxed);
        tracing::info!(target: "serve", "serve: request {id} from {peer} failed: {error}.");
        reply_error(&error)
    })
}

/// The response with a complete answer.
fn respond(serving: &mut Serving, answer: &Completion) -> Result<HttpResponse, Error> {
    let json = serde_json::to_vec(answer)
        .map_err(|e| Error::Engine("encode answer", answer.engine.clone(), e.to_string()))?;
    let body = serving.answer_body(json.into())?;
    Ok(HttpResponse::Ok().content_type("application/json").body(body))
}

/// The response with an answer that is streamed. `serving` is kept until the server has read the
/// whole stream or dropped it.
fn respond_streamed(serving: Serving, chunks: Receiver) -> HttpResponse {
    let body = chunks.inspect(move |_| {
        let _ = &serving;
    });
    HttpResponse::Ok().content_type("text/event-stream").streaming(body)
}

/// The answer to an accepted request.
enum Accepted {
    /// The whole text, and the memory reserved for it.
    Answer(Completion, ReservedMemory),
    Stream(Receiver),
}

async fn accept(node: &Arc<Node>, serving: &Serving, body: Bytes) -> Result<Accepted, Error> {
    let (id, peer) = (serving.id, serving.peer.as_str());
    if node.draining.load(Ordering::Acquire) {
        return Err(Error::Draining);
    }
    let request: CompletionRequest =
        serde_json::from_slice(&body).map_err(|e| Error::Parse(peer.into(), e.to_string()))?;
    if request.prompt.len() > node.settings.max_prompt {
        return Err(Error::TooLarge(peer.into(), request.prompt.len(), node.settings.max_prompt));
    }
    let workspace: WorkspaceId = request
        .workspace
        .parse()
        .map_err(|e: marjoram_core::Error| Error::Parse(peer.into(), e.to_string()))?;
    if !node.configured.load(Ordering::Acquire) {
        return Err(Error::NotConfigured);
    }
    let active = node.active.load();
    let routing = *active
        .routing
        .get(&workspace)
        .ok_or_else(|| Error::UnknownWorkspace(peer.into(), workspace.to_string()))?;
    let streamed = request.stream;
    node.budget.earn();
    let fingerprint = Fingerprint::new(&[&workspace.to_string(), PATH], &body);
    drop(body);
    let mut job = Job::new(id, workspace, request, routing, node.settings.max_wait)
        .with_fingerprint(fingerprint);
    let accepted = forward::open(node, &mut job).await?;
    match streamed {
        true => {
            let (tx, rx) = mpsc::channel(64);
            ntex::rt::spawn(stream(node.clone(), job, accepted, tx));
            Ok(Accepted::Stream(rx))
        }
        false => {
            let engine = accepted.engine.addr.clone();
            let mut collected = CollectedAnswer::new(&node.request_limits.answers);
            let usage = forward::pump(node, &mut job, accepted, &mut collected).await?;
            node.counters.answered.fetch_add(1, Ordering::Relaxed);
            let CollectedAnswer { text, reserved, .. } = collected;
            Ok(Accepted::Answer(Completion { id, text, usage, engine }, reserved))
        }
    }
}

async fn stream(node: Arc<Node>, mut job: Job, accepted: forward::AcceptedRequest, tx: Sender) {
    let mut out = Sse(tx);
    let id = job.id;
    match forward::pump(&node, &mut job, accepted, &mut out).await {
        Ok(_) => {
            node.counters.answered.fetch_add(1, Ordering::Relaxed);
            let _ = out.0.send(Ok(Bytes::from_static(b"data: [DONE]\n\n"))).await;
        }
        Err(error) => {
            node.counters.failed.fetch_add(1, Ordering::Relaxed);
            tracing::info!(target: "serve", "serve: stream {id} ended early: {error}.");
            let body = serde_json::to_string(&error.body()).unwrap_or_default();
            let _ = out.0.send(Ok(Bytes::from(format!("event: error\ndata: {body}\n\n")))).await;
        }
    }
}

/// Sends the chunks to the caller as server-sent events.
struct Sse(Sender);

impl ChunkSink for Sse {
    async fn chunk(&mut self, chunk: &Chunk, _: &str) -> Result<(), Error> {
        let line = format!("data: {}\n\n", serde_json::to_string(chunk).unwrap_or_default());
        self.0.send(Ok(Bytes::from(line))).await.map_err(|_| forward::caller_gone())
    }

    fn is_closed(&self) -> bool {
        self.0.is_closed()
    }
}

/// Collects the answer's text.
struct CollectedAnswer<'a> {
    text: String,
    memory: &'a AnswerMemory,
    reserved: ReservedMemory,
}

impl<'a> CollectedAnswer<'a> {
    fn new(memory: &'a AnswerMemory) -> Self {
        Self { text: String::new(), memory, reserved: ReservedMemory::default() }
    }
}

impl ChunkSink for CollectedAnswer<'_> {
    async fn chunk(&mut self, chunk: &Chunk, addr: &str) -> Result<(), Error> {
        let size = self.text.len() + chunk.text.len();
        let refused = |why| Err(Error::Engine(LIMIT_STEP, addr.into(), why));
        if size > MAX_TEXT_SIZE {
            return refused(format!("more than {MAX_TEXT_SIZE} bytes of text"));
        }
        if !self.memory.grow(&mut self.reserved, size) {
            return refused(format!("no memory for {size} bytes of text beside other answers"));
        }
        self.text.push_str(&chunk.text);
        Ok(())
    }

    fn is_closed(&self) -> bool {
        false
    }
}
