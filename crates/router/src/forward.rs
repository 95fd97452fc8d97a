//! The request path: choose an engine, send it the request, and forward its
//! answer to the caller, complete and in order.
//!
//! An engine's chunks are checked against the request id and sequence
//! numbers. When an engine cannot be reached, does not answer, breaks its
//! stream, sends nothing for too long, or sends a chunk of another request, the
//! request is resumed on another engine from the first chunk not yet forwarded
//! (engines resume streams from a sequence number, under the same weights), so the
//! caller still gets every chunk once and in order. Only when no engine is left
//! does the answer end early, with an error naming the step and the engine; it is
//! never truncated without an error.
//!
//! An open connection may stop delivering data for good while new connections
//! work. This is detected after `--stream-idle-ms` inside a stream, and sooner if
//! the engine's follower finds the engine unreachable (see `follow`).

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use cadence::prelude::*;
use eventsource_stream::Eventsource;
use futures::{Stream, StreamExt};
use marjoram_core::cache::{CacheGeneration, Slot};
use marjoram_core::ids::{ModelVersion, Tokens};
use marjoram_core::poison::BrokenRequest;
use marjoram_core::wire::{Chunk, NOT_EXECUTED, RETRY_AFTER, Usage, WEIGHTS_VERSION};
use ntex::http::StatusCode;
use ntex::http::client::ClientResponse;

use crate::brittle;
use crate::error::{self, Error};
use crate::job::{Choice, Job, version};
use crate::node::{Engine, Node};
use crate::poison;
use crate::upstream_client;

/// Time-out of an engine's first chunk. It is long because the engine's queue may be
/// long.
const FIRST_CHUNK_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval at which a waiting request checks that its engine is still reachable.
const REACHABILITY_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which a withheld request checks whether the crashes it was in flight at
/// have been evaluated.
const VERDICT_POLL_INTERVAL: Duration = Duration::from_millis(40);

/// Tells whether an engine has been unreachable since a request was sent to it.
#[derive(Debug, Clone, Copy)]
struct Reachability {
    slot: Slot,
    outages: u32,
}

impl Reachability {
    fn new(node: &Node, slot: Slot) -> Self {
        Self { slot, outages: node.outages(slot) }
    }

    fn is_lost(self, node: &Node) -> bool {
        node.is_down(self.slot) || node.outages(self.slot) != self.outages
    }
}

/// Counts a request in flight at one engine until dropped, and its prompt
/// tokens as pending there until they are read.
struct Inflight {
    node: Arc<Node>,
    slot: Slot,
    unread: u64,
}

impl Inflight {
    fn new(node: Arc<Node>, slot: Slot, unread: Tokens) -> Self {
        node.inflight[usize::from(slot.0)].fetch_add(1, Ordering::Relaxed);
        node.pending[usize::from(slot.0)].fetch_add(unread.0, Ordering::Relaxed);
        Self { node, slot, unread: unread.0 }
    }

    /// Records that the engine has read the prompt; returns the tokens that it had to read.
    fn read(&mut self) -> Tokens {
        let unread = std::mem::take(&mut self.unread);
        self.node.pending[usize::from(self.slot.0)].fetch_sub(unread, Ordering::Relaxed);
        Tokens(unread)
    }
}

impl Drop for Inflight {
    fn drop(&mut self) {
        self.read();
        self.node.inflight[usize::from(self.slot.0)].fetch_sub(1, Ordering::Relaxed);
    }
}

/// A request that an engine has accepted, with its answer to read.
pub struct AcceptedRequest {
    /// The engine.
    pub engine: Engine,
    response: ClientResponse,
    /// Version of the weights that compute the answer.
    version: ModelVersion,
    inflight: Inflight,
    /// The engine's incarnation and weights when the request was sent.
    generation: Option<CacheGeneration>,
    /// Prompt tokens that the engine had read when the request was sent, and when that was.
    read_before: Tokens,
    sent: Instant,
    /// When the engine accepted the request.
    accepted_at: Instant,
    reachability: Reachability,
}

/// Receives the checked chunks of an answer for the caller.
pub trait ChunkSink {
    /// Forwards one chunk; false if the caller has disconnected.
    async fn chunk(&mut self, chunk: &Chunk) -> bool;

    /// Whether the caller is known to have disconnected.
    fn is_closed(&self) -> bool;
}

/// Sends `job` to engines in turn until one accepts it.
pub async fn open(node: &Arc<Node>, job: &mut Job) -> Result<AcceptedRequest, Error> {
    loop {
        wait_for_verdict(node, job).await;
        let Choice { engine, unread } = job.choose(node)?;
        let inflight = Inflight::new(node.clone(), engine.slot, unread);
        let read_before = node.prefill_time[usize::from(engine.slot.0)].read();
        let sent = Instant::now();
        let generation = node.cache_index.life(engine.slot);
        let reachability = Reachability::new(node, engine.slot);
        let error = match send(node, job, &engine, reachability).await {
            Ok(response) => {
                let known = node.cache_index.life(engine.slot);
                let version = response_version(&response).unwrap_or(version(known));
                if let Some(known) = known.filter(|known| known.version == version) {
                    let blocks = &job.prefix(version).blocks;
                    node.cache_index.predicted(engine.slot, known, blocks);
                }
                let accepted_at = Instant::now();
                return Ok(AcceptedRequest {
                    engine,
                    generation,
                    response,
                    version,
                    inflight,
                    read_before,
                    sent,
                    accepted_at,
                    reachability,
                });
            }
            Err(error @ Error::Deadline(_)) => return Err(error),
            Err(error) => error,
        };
        if matches!(error, Error::Engine(..)) {
            note_broken(node, job, &engine, generation, None);
        }
        tracing::info!(target: "forward", "forward: {error}; retrying {} on another engine.", job.id);
        node.counters.retried.fetch_add(1, Ordering::Relaxed);
        job.record_failure(&engine.addr, error);
    }
}

/// Waits while `job` is withheld because crashes it was in flight at are still to be
/// evaluated, but no longer than its first token may take.
async fn wait_for_verdict(node: &Node, job: &Job) {
    let mut withheld = false;
    while node.poison.is_withheld(job.fingerprint) && !job.is_late() {
        if !std::mem::replace(&mut withheld, true) {
            tracing::info!(target: "poison", "poison: {} withheld until the crashes it was in flight at are evaluated.", job.id);
        }
        ntex::time::sleep(VERDICT_POLL_INTERVAL).await;
    }
}

/// Sends `job` to `engine`; returns the answer once the engine has accepted.
async fn send(
    node: &Arc<Node>,
    job: &Job,
    engine: &Engine,
    reachability: Reachability,
) -> Result<ClientResponse, Error> {
    let failed = |step, why| Error::Engine(step, engine.addr.clone(), why);
    let url = format!("http://{}/v1/completions", engine.addr);
    let request = upstream_client::client(node).post(&url).timeout(FIRST_CHUNK_TIMEOUT);
    let request = request.send_json(&job.engine_request);
    let sent = tokio::select! {
        sent = request => sent,
        () = until_deadline(job) => return Err(Error::Deadline(engine.addr.clone())),
        () = until_lost(node, reachability) => {
            return Err(failed("send", "engine became unreachable".into()));
        }
    };
    match sent {
        Ok(response) if response.status().is_success() => Ok(response),
        Ok(response) if response.headers().contains_key(NOT_EXECUTED) => {
            record_backoff(node, engine, &response);
            if response.status() == StatusCode::SERVICE_UNAVAILABLE {
                brittle::record_rejection(node, engine);
            }
            Err(Error::Refused(engine.addr.clone(), format!("status {}", response.status())))
        }
        Ok(response) => Err(failed("answer", format!("status {}", response.status()))),
        Err(e) if error::is_unsent(&e) => Err(Error::Refused(engine.addr.clone(), e.to_string())),
        Err(e) => Err(failed("send", e.to_string())),
    }
}

/// Records for how long an engine that refused a request asks to back off.
fn record_backoff(node: &Node, engine: &Engine, response: &ClientResponse) {
    let Some(value) = response.headers().get(RETRY_AFTER) else { return };
    let text = String::from_utf8_lossy(value.as_bytes());
    match node.backoffs.record(engine.slot, node.incarnation(engine.slot), &text, node.uptime()) {
        Some(backoff) => {
            node.counters.backoffs.fetch_add(1, Ordering::Relaxed);
            tracing::info!(target: "forward", "forward: engine {} asks to back off for {backoff:?}.", engine.addr);
        }
        None => {
            tracing::warn!(target: "forward", "forward: engine {} sent an invalid {RETRY_AFTER}: {text:?}.", engine.addr)
        }
    }
}

/// The weights version stated in the headers of an engine's answer.
fn response_version(response: &ClientResponse) -> Option<ModelVersion> {
    response.headers().get(WEIGHTS_VERSION)?.to_str().ok()?.parse().ok()
}

/// Forwards the engine's chunks to `out`, resuming on another engine when a
/// stream breaks; returns the usage on success.
pub async fn pump<O: ChunkSink>(
    node: &Arc<Node>,
    job: &mut Job,
    accepted: AcceptedRequest,
    out: &mut O,
) -> Result<Usage, Error> {
    let mut accepted = accepted;
    loop {
        let addr = accepted.engine.addr.clone();
        let (engine, generation) = (accepted.engine.clone(), accepted.generation);
        let (sent, accepted_at) = (accepted.sent, accepted.accepted_at);
        let error = match relay(node, job, accepted, out).await {
            Ok(usage) => {
                brittle::record_completion(node, &engine, sent.elapsed());
                node.poison.record_completed(job.fingerprint);
                return Ok(usage);
            }
            Err(error @ (Error::Engine("reply", ..) | Error::Deadline(_))) => return Err(error),
            Err(error) => error,
        };
        note_broken(node, job, &engine, generation, Some(accepted_at.elapsed()));
        tracing::info!(target: "forward", "forward: {error}; resuming {} from chunk {}.", job.id, job.engine_request.resume_from);
        job.record_failure(&addr, error);
        accepted = open(node, job).await?;
        node.counters.resumed.fetch_add(1, Ordering::Relaxed);
    }
}

/// Checks the chunks of one engine's stream and forwards them to `out`; moves the
/// job's resume point past every chunk forwarded.
async fn relay<O: ChunkSink>(
    node: &Node,
    job: &mut Job,
    accepted: AcceptedRequest,
    out: &mut O,
) -> Result<Usage, Error> {
    let addr = accepted.engine.addr.clone();
    let broken = |why: String| Error::Engine("stream", addr.clone(), why);
    let mut inflight = accepted.inflight;
    let mut events = accepted.response.eventsource();
    let mut first = true;
    loop {
        let due = job.engine_request.resume_from;
        let limit = match (first, job.time_to_deadline()) {
            (true, Some(left)) => left,
            (true, None) => FIRST_CHUNK_TIMEOUT,
            (false, _) => node.settings.stream_idle,
        };
        let event =
            match next(node, accepted.reachability, &mut events, limit, || out.is_closed()).await {
                Err(_) if out.is_closed() => return Err(caller_gone()),
                Err(_) if job.time_to_deadline().is_some_and(|left| left.is_zero()) => {
                    return Err(Error::Deadline(addr));
                }
                Err(silent) => return Err(broken(format!("silent for {silent:?} at chunk {due}"))),
                Ok(None) => return Err(broken(format!("cut before chunk {due}"))),
                Ok(Some(Err(error))) => return Err(broken(error.to_string())),
                Ok(Some(Ok(event))) => event,
            };
        if std::mem::take(&mut first) {
            let unread = inflight.read();
            let prefill_time = &node.prefill_time[usize::from(accepted.engine.slot.0)];
            prefill_time.observe(accepted.read_before, unread, accepted.sent.elapsed());
        }
        let chunk: Chunk =
            serde_json::from_str(&event.data).map_err(|e| broken(format!("bad chunk: {e}")))?;
        match chunk {
            Chunk { id, .. } if id != job.id => {
                return Err(broken(format!("chunk of request {id}")));
            }
            Chunk { seq, .. } if seq != due => {
                return Err(broken(format!("chunk {seq} where {due} was due")));
            }
            _ => {}
        }
        if due == 0 {
            let _ = node.metrics.time("ttft", job.started.elapsed());
        }
        if !out.chunk(&chunk).await {
            return Err(caller_gone());
        }
        job.engine_request.resume_from = due + 1;
        job.engine_request.expect_version = Some(accepted.version);
        if let Some(usage) = chunk.usage {
            return Ok(usage);
        }
    }
}

/// Records that the engine may have crashed while it ran `job`, unless it may have failed
/// under rejections; `ran` is the time since it accepted the request, if it had.
fn note_broken(
    node: &Arc<Node>,
    job: &mut Job,
    engine: &Engine,
    generation: Option<CacheGeneration>,
    ran: Option<Duration>,
) {
    if brittle::may_have_failed(node, engine) {
        return;
    }
    job.crashed = true;
    let request =
        BrokenRequest { request: job.fingerprint, attempt: job.id.0, ran, parts: Vec::new() };
    poison::handle_broken(node, engine, generation, request);
}

fn caller_gone() -> Error {
    Error::Engine("reply", "caller".into(), "caller went away".into())
}

/// Waits for the stream's next item. Fails, with the time waited, once that time reaches
/// `limit`, the engine is unreachable or `is_closed` reports that the caller has
/// disconnected.
async fn next<S: Stream + Unpin>(
    node: &Node,
    reachability: Reachability,
    events: &mut S,
    limit: Duration,
    is_closed: impl Fn() -> bool,
) -> Result<Option<S::Item>, Duration> {
    let mut silent = Duration::ZERO;
    loop {
        let interval = REACHABILITY_POLL_INTERVAL.min(limit.saturating_sub(silent));
        match ntex::time::timeout(interval, events.next()).await {
            Ok(item) => return Ok(item),
            Err(()) => silent += interval,
        }
        if silent >= limit || reachability.is_lost(node) || is_closed() {
            return Err(silent);
        }
    }
}

/// Returns once the caller's deadline for the first token has passed.
async fn until_deadline(job: &Job) {
    match job.time_to_deadline() {
        Some(left) => ntex::time::sleep(left).await,
        None => std::future::pending().await,
    }
}

/// Returns once the engine has been marked unreachable.
async fn until_lost(node: &Node, reachability: Reachability) {
    while !reachability.is_lost(node) {
        ntex::time::sleep(REACHABILITY_POLL_INTERVAL).await;
    }
}
