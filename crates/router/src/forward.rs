//! The request path: choose an engine, send it the request, and pass its
//! answer on whole and in order.
//!
//! An engine that cannot be reached has not seen the request, so the next
//! candidate is tried. Once an engine has the request, its chunks are
//! checked against the request id and sequence numbers. When its stream is
//! cut, goes silent for [`IDLE`] or breaks, the request is resumed on
//! another engine from the first chunk not yet passed on (engines resume
//! streams from a sequence number), so the caller still gets every chunk
//! once and in order. Only when no engine is left within [`ATTEMPTS`]
//! does the caller's stream end, with an error event naming the step and
//! the engine: never a silent cut.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use cadence::prelude::*;
use eventsource_stream::Eventsource;
use futures::StreamExt;
use marjoram_core::cache::Slot;
use marjoram_core::config::Routing;
use marjoram_core::ids::{ModelVersion, RequestId, WorkspaceId};
use marjoram_core::policy::{Ask, Candidate};
use marjoram_core::prefix::Prefix;
use marjoram_core::wire::{Chunk, CompletionRequest, EngineRequest, Usage};
use ntex::http::client::error::SendRequestError;
use ntex::http::client::{Client, ClientResponse};

use crate::error::Error;
use crate::node::Node;

/// Engines tried for one request, resumptions included.
pub const ATTEMPTS: usize = 3;
/// Longest silence allowed inside an engine's stream.
pub const IDLE: Duration = Duration::from_secs(10);
/// Longest wait for an engine's first answer.
const FIRST_ANSWER: Duration = Duration::from_secs(60);

thread_local! {
    static CLIENT: Client = Client::build().timeout(FIRST_ANSWER).finish();
}

/// Counts a request in flight at one engine until dropped.
pub struct Inflight {
    node: Arc<Node>,
    slot: Slot,
}

impl Inflight {
    fn new(node: Arc<Node>, slot: Slot) -> Self {
        node.inflight[usize::from(slot.0)].fetch_add(1, Ordering::Relaxed);
        Self { node, slot }
    }
}

impl Drop for Inflight {
    fn drop(&mut self) {
        self.node.inflight[usize::from(self.slot.0)].fetch_sub(1, Ordering::Relaxed);
    }
}

/// One caller request on its way through engines.
pub struct Job {
    /// The router's id for it.
    pub id: RequestId,
    /// What engines are sent; `resume_from` moves on as chunks pass.
    order: EngineRequest,
    prefix: Prefix,
    routing: Routing,
    workspace: String,
    /// Engines that failed this request.
    failed: Vec<String>,
    attempts: usize,
    started: Instant,
}

impl Job {
    /// A job for `request` in `workspace`, routed by `routing`.
    pub fn new(
        node: &Node,
        id: RequestId,
        workspace: &WorkspaceId,
        request: &CompletionRequest,
        routing: Routing,
    ) -> Self {
        let pool = node.pool.load();
        let version = pool
            .engines
            .first()
            .and_then(|e| node.picture.life(e.slot))
            .map(|life| life.version)
            .unwrap_or(ModelVersion(1));
        let order = EngineRequest {
            id,
            workspace: workspace.to_string(),
            prompt: request.prompt.clone(),
            max_tokens: request.max_tokens,
            priority: request.priority,
            resume_from: 0,
        };
        Self {
            id,
            prefix: Prefix::new(&request.prompt, workspace, version),
            order,
            routing,
            workspace: workspace.to_string(),
            failed: Vec::new(),
            attempts: 0,
            started: Instant::now(),
        }
    }
}

/// An engine that has accepted a request, with its answer to read.
pub struct Opened {
    /// The engine's answer.
    pub response: ClientResponse,
    /// The engine's address.
    pub engine: String,
    _inflight: Inflight,
}

/// Where the checked chunks of an answer go.
pub trait Out {
    /// Passes one chunk on; false when the caller has gone.
    async fn chunk(&mut self, chunk: &Chunk) -> bool;
}

/// Chooses an engine for `job` among those not yet failed, and sends it.
pub async fn open(node: &Arc<Node>, job: &mut Job) -> Result<Opened, Error> {
    let pool = node.pool.load_full();
    let mut engines: Vec<_> = pool
        .engines
        .iter()
        .filter(|e| !e.leaving && !node.down[usize::from(e.slot.0)].load(Ordering::Relaxed))
        .filter(|e| !job.failed.contains(&e.addr))
        .collect();
    while job.attempts < ATTEMPTS {
        let slots: Vec<Slot> = engines.iter().map(|e| e.slot).collect();
        let matched = node.picture.matched(&job.prefix.blocks, &slots);
        let candidates: Vec<Candidate> = engines
            .iter()
            .zip(matched)
            .map(|(e, matched)| Candidate {
                slot: e.slot,
                key: e.key,
                load: node.load(e.slot),
                matched,
            })
            .collect();
        let ask = Ask { prefix: &job.prefix, params: &job.routing.params };
        let Some(index) = node.policies.pick(job.routing.policy, ask, &candidates) else {
            break;
        };
        let engine = engines[index];
        job.attempts += 1;
        let inflight = Inflight::new(node.clone(), engine.slot);
        let url = format!("http://{}/v1/completions", engine.addr);
        let sent = CLIENT.with(|client| client.post(&url).send_json(&job.order)).await;
        match sent {
            Ok(response) if response.status().is_success() => {
                if let Some(life) = node.picture.life(engine.slot) {
                    node.picture.predicted(engine.slot, life, &job.prefix.blocks);
                }
                return Ok(Opened { response, engine: engine.addr.clone(), _inflight: inflight });
            }
            Ok(response) => {
                let status = response.status();
                return Err(Error::Engine(
                    "answer",
                    engine.addr.clone(),
                    format!("status {status}"),
                ));
            }
            Err(SendRequestError::Connect(error)) => {
                tracing::info!(target: "forward", "forward: engine {} refused, trying another: {error}.", engine.addr);
                node.counters.retried.fetch_add(1, Ordering::Relaxed);
                job.failed.push(engine.addr.clone());
                engines.remove(index);
            }
            Err(error) => {
                return Err(Error::Engine("send", engine.addr.clone(), error.to_string()));
            }
        }
    }
    Err(Error::NoEngine(job.workspace.clone()))
}

/// Passes the engine's chunks to `out`, resuming on another engine when a
/// stream breaks; the usage on success.
pub async fn pump<O: Out>(
    node: &Arc<Node>,
    job: &mut Job,
    opened: Opened,
    out: &mut O,
) -> Result<Usage, Error> {
    let mut opened = opened;
    loop {
        let engine = opened.engine.clone();
        let error = match relay(node, job, opened, out).await {
            Ok(usage) => return Ok(usage),
            Err(error @ Error::Engine("reply", ..)) => return Err(error),
            Err(error) => error,
        };
        tracing::info!(target: "forward", "forward: {error}; resuming {} from chunk {}.", job.id, job.order.resume_from);
        job.failed.push(engine);
        opened = match open(node, job).await {
            Ok(next) => next,
            Err(_) => return Err(error),
        };
        node.counters.resumed.fetch_add(1, Ordering::Relaxed);
    }
}

/// Reads one engine's stream into `out`, checked; moves the job's resume
/// point past every chunk passed on.
async fn relay<O: Out>(
    node: &Node,
    job: &mut Job,
    opened: Opened,
    out: &mut O,
) -> Result<Usage, Error> {
    let engine = opened.engine.clone();
    let mut events = opened.response.eventsource();
    loop {
        let expected = job.order.resume_from;
        let next = ntex::time::timeout(IDLE, events.next()).await;
        let event = match next {
            Err(()) => {
                return Err(Error::Engine(
                    "stream",
                    engine,
                    format!("silent for {IDLE:?} at chunk {expected}"),
                ));
            }
            Ok(None) => {
                return Err(Error::Engine(
                    "stream",
                    engine,
                    format!("cut before chunk {expected}"),
                ));
            }
            Ok(Some(Err(error))) => return Err(Error::Engine("stream", engine, error.to_string())),
            Ok(Some(Ok(event))) => event,
        };
        let chunk: Chunk = serde_json::from_str(&event.data)
            .map_err(|e| Error::Engine("stream", engine.clone(), format!("bad chunk: {e}")))?;
        match chunk {
            Chunk { id: other, .. } if other != job.id => {
                return Err(Error::Engine("stream", engine, format!("chunk of request {other}")));
            }
            Chunk { seq, .. } if seq != expected => {
                return Err(Error::Engine(
                    "stream",
                    engine,
                    format!("chunk {seq} where {expected} was due"),
                ));
            }
            _ => {}
        }
        if expected == 0 {
            let _ = node.metrics.time("ttft", job.started.elapsed());
        }
        if !out.chunk(&chunk).await {
            return Err(Error::Engine("reply", "caller".into(), "caller went away".into()));
        }
        job.order.resume_from = expected + 1;
        if let Some(usage) = chunk.usage {
            return Ok(usage);
        }
    }
}
