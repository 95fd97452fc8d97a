//! The request path: choose an engine, send it the request, and pass its
//! answer on whole and in order.
//!
//! An engine that cannot be reached has not seen the request, so the next
//! candidate is tried, at most [`ATTEMPTS`] in all. Once an engine has the
//! request, its chunks are checked against the request id and sequence
//! numbers; a gap, a foreign chunk, a cut or a stream silent for
//! [`IDLE`] ends the answer with an error event, never a silent cut.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use cadence::prelude::*;
use eventsource_stream::Eventsource;
use futures::StreamExt;
use marjoram_core::cache::{Life, Slot};
use marjoram_core::config::Routing;
use marjoram_core::ids::{ModelVersion, RequestId, WorkspaceId};
use marjoram_core::policy::{Ask, Candidate};
use marjoram_core::prefix::Prefix;
use marjoram_core::wire::{Chunk, CompletionRequest, EngineRequest, Usage};
use ntex::http::client::error::SendRequestError;
use ntex::http::client::{Client, ClientResponse};

use crate::error::Error;
use crate::node::Node;

/// Engines tried for one request before giving up.
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

/// An engine that has accepted a request, with its answer to read.
pub struct Opened {
    /// The engine's answer.
    pub response: ClientResponse,
    /// The engine's address.
    pub engine: String,
    /// When the request was received.
    pub started: Instant,
    _inflight: Inflight,
}

/// Where the checked chunks of an answer go.
pub trait Out {
    /// Passes one chunk on; false when the caller has gone.
    async fn chunk(&mut self, chunk: &Chunk) -> bool;
}

/// Chooses an engine for `request` and sends it there.
pub async fn open(
    node: &Arc<Node>,
    id: RequestId,
    workspace: &WorkspaceId,
    request: &CompletionRequest,
    routing: Routing,
) -> Result<Opened, Error> {
    let started = Instant::now();
    let pool = node.pool.load_full();
    let mut engines: Vec<_> = pool
        .engines
        .iter()
        .filter(|e| !e.leaving && !node.down[usize::from(e.slot.0)].load(Ordering::Relaxed))
        .collect();
    let version = engines
        .first()
        .and_then(|e| node.picture.life(e.slot))
        .map(|life| life.version)
        .unwrap_or(ModelVersion(1));
    let prefix = Prefix::new(&request.prompt, workspace, version);
    let order = EngineRequest {
        id,
        workspace: workspace.to_string(),
        prompt: request.prompt.clone(),
        max_tokens: request.max_tokens,
        priority: request.priority,
    };
    for _ in 0..ATTEMPTS {
        let slots: Vec<Slot> = engines.iter().map(|e| e.slot).collect();
        let matched = node.picture.matched(&prefix.blocks, &slots);
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
        let ask = Ask { prefix: &prefix, params: &routing.params };
        let Some(index) = node.policies.pick(routing.policy, ask, &candidates) else {
            break;
        };
        let engine = engines[index];
        let inflight = Inflight::new(node.clone(), engine.slot);
        let url = format!("http://{}/v1/completions", engine.addr);
        let sent = CLIENT.with(|client| client.post(&url).send_json(&order)).await;
        match sent {
            Ok(response) if response.status().is_success() => {
                if let Some(life) = node.picture.life(engine.slot) {
                    predict(node, engine.slot, life, &prefix);
                }
                return Ok(Opened {
                    response,
                    engine: engine.addr.clone(),
                    started,
                    _inflight: inflight,
                });
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
                engines.remove(index);
            }
            Err(error) => {
                return Err(Error::Engine("send", engine.addr.clone(), error.to_string()));
            }
        }
    }
    Err(Error::NoEngine(workspace.to_string()))
}

fn predict(node: &Node, slot: Slot, life: Life, prefix: &Prefix) {
    node.picture.predicted(slot, life, &prefix.blocks);
}

/// Reads the engine's chunks into `out`, checked; the usage on success.
pub async fn pump<O: Out>(
    node: &Node,
    opened: Opened,
    id: RequestId,
    out: &mut O,
) -> Result<Usage, Error> {
    let engine = opened.engine.clone();
    let started = opened.started;
    let mut events = opened.response.eventsource();
    let mut expected = 0u32;
    loop {
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
            Chunk { id: other, .. } if other != id => {
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
            let _ = node.metrics.time("ttft", started.elapsed());
        }
        expected += 1;
        if !out.chunk(&chunk).await {
            return Err(Error::Engine("reply", "caller".into(), "caller went away".into()));
        }
        if let Some(usage) = chunk.usage {
            return Ok(usage);
        }
    }
}
