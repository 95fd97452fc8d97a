//! The request path: choose an engine, send it the request, and pass its
//! answer on whole and in order.
//!
//! An engine's chunks are checked against the request id and sequence
//! numbers. When an engine cannot be reached, does not answer, breaks its
//! stream off, goes silent, or sends a chunk of another request, the request
//! goes on at another engine from the first chunk not yet passed on (engines
//! resume streams from a sequence number, under the same weights), so the
//! caller still gets every chunk once and in order. Only when no engine is
//! left does the caller's answer end, with an error naming the step and the
//! engine: never a silent cut.
//!
//! A connection may go silent for good while new ones work. Silence is
//! noticed after `--stream-idle-ms` inside a stream, and sooner where the
//! engine's follower finds it unreachable (see `follow`).

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use cadence::prelude::*;
use eventsource_stream::Eventsource;
use futures::{Stream, StreamExt};
use marjoram_core::cache::{Life, Slot};
use marjoram_core::ids::{ModelVersion, Tokens};
use marjoram_core::wire::{Chunk, NOT_EXECUTED, Usage, WEIGHTS_VERSION};
use ntex::http::client::{Client, ClientResponse};

use crate::error::{self, Error};
use crate::job::{Choice, Job, version};
use crate::node::{Engine, Node};
use crate::poison;
use crate::quarantine::Broken;

/// Longest wait for an engine's first chunk: its queue may be long.
const FIRST_CHUNK: Duration = Duration::from_secs(60);
/// How often a wait looks whether the engine is still reachable.
const WATCH: Duration = Duration::from_millis(100);
/// Time between two looks whether crashes have been judged.
const JUDGED_INTERVAL: Duration = Duration::from_millis(40);

thread_local! {
    static CLIENT: Client = Client::build().timeout(FIRST_CHUNK).finish();
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

    /// The prompt has been read.
    fn read(&mut self) {
        let unread = std::mem::take(&mut self.unread);
        self.node.pending[usize::from(self.slot.0)].fetch_sub(unread, Ordering::Relaxed);
    }
}

impl Drop for Inflight {
    fn drop(&mut self) {
        self.read();
        self.node.inflight[usize::from(self.slot.0)].fetch_sub(1, Ordering::Relaxed);
    }
}

/// An engine that has accepted a request, with its answer to read.
pub struct Opened {
    /// The engine.
    pub engine: Engine,
    response: ClientResponse,
    /// The weights it computes the answer under.
    version: ModelVersion,
    inflight: Inflight,
    /// Its life when it was sent the request.
    life: Option<Life>,
    /// Prompt tokens to be read before its first chunk, and since when.
    ahead: Tokens,
    sent: Instant,
    /// When it accepted the request.
    begun: Instant,
}

/// Where the checked chunks of an answer go.
pub trait Out {
    /// Passes one chunk on; false when the caller has gone.
    async fn chunk(&mut self, chunk: &Chunk) -> bool;

    /// Whether the caller is known to have gone.
    fn gone(&self) -> bool;
}

/// Sends `job` to engines in turn until one accepts it.
pub async fn open(node: &Arc<Node>, job: &mut Job) -> Result<Opened, Error> {
    loop {
        until_judged(node, job).await;
        let Choice { engine, unread, ahead } = job.choose(node)?;
        let inflight = Inflight::new(node.clone(), engine.slot, unread);
        let sent = Instant::now();
        let life = node.picture.life(engine.slot);
        let error = match send(node, job, &engine).await {
            Ok(response) => {
                let known = node.picture.life(engine.slot);
                let version = named_version(&response).unwrap_or(version(known));
                if let Some(known) = known.filter(|known| known.version == version) {
                    let blocks = &job.prefix(version).blocks;
                    node.picture.predicted(engine.slot, known, blocks);
                }
                let begun = Instant::now();
                return Ok(Opened {
                    engine,
                    life,
                    response,
                    version,
                    inflight,
                    ahead,
                    sent,
                    begun,
                });
            }
            Err(error @ Error::Deadline(_)) => return Err(error),
            Err(error) => error,
        };
        if matches!(error, Error::Engine(..)) {
            broke(node, job, &engine, life, None);
        }
        tracing::info!(target: "forward", "forward: {error}; {} goes to another engine.", job.id);
        node.counters.retried.fetch_add(1, Ordering::Relaxed);
        job.note(&engine.addr, error);
    }
}

/// Waits while `job` was at crashes that are still to be judged, as long as its caller
/// waits.
async fn until_judged(node: &Node, job: &Job) {
    let mut withheld = false;
    while node.poison.withholds(job.fingerprint) && !job.is_late() {
        if !std::mem::replace(&mut withheld, true) {
            tracing::info!(target: "poison", "poison: {} waits until its crashes are judged.", job.id);
        }
        ntex::time::sleep(JUDGED_INTERVAL).await;
    }
}

/// Sends `job` to `engine`; its answer once it has accepted.
async fn send(node: &Node, job: &Job, engine: &Engine) -> Result<ClientResponse, Error> {
    let failed = |step, why| Error::Engine(step, engine.addr.clone(), why);
    let url = format!("http://{}/v1/completions", engine.addr);
    let request = CLIENT.with(|client| client.post(&url).send_json(&job.order));
    let sent = tokio::select! {
        sent = request => sent,
        () = until_deadline(job) => return Err(Error::Deadline(engine.addr.clone())),
        () = until_down(node, engine.slot) => {
            return Err(failed("send", "engine became unreachable".into()));
        }
    };
    match sent {
        Ok(response) if response.status().is_success() => Ok(response),
        Ok(response) if response.headers().contains_key(NOT_EXECUTED) => {
            Err(Error::Refused(engine.addr.clone(), format!("status {}", response.status())))
        }
        Ok(response) => Err(failed("answer", format!("status {}", response.status()))),
        Err(e) if error::is_unsent(&e) => Err(Error::Refused(engine.addr.clone(), e.to_string())),
        Err(e) => Err(failed("send", e.to_string())),
    }
}

/// The weights an engine's answer says it is computed under.
fn named_version(response: &ClientResponse) -> Option<ModelVersion> {
    response.headers().get(WEIGHTS_VERSION)?.to_str().ok()?.parse().ok()
}

/// Passes the engine's chunks to `out`, going on at another engine when a
/// stream breaks; the usage on success.
pub async fn pump<O: Out>(
    node: &Arc<Node>,
    job: &mut Job,
    opened: Opened,
    out: &mut O,
) -> Result<Usage, Error> {
    let mut opened = opened;
    loop {
        let addr = opened.engine.addr.clone();
        let (engine, life, begun) = (opened.engine.clone(), opened.life, opened.begun);
        let error = match relay(node, job, opened, out).await {
            Ok(usage) => {
                node.poison.ended_well(job.fingerprint);
                return Ok(usage);
            }
            Err(error @ (Error::Engine("reply", ..) | Error::Deadline(_))) => return Err(error),
            Err(error) => error,
        };
        broke(node, job, &engine, life, Some(begun.elapsed()));
        tracing::info!(target: "forward", "forward: {error}; resuming {} from chunk {}.", job.id, job.order.resume_from);
        job.note(&addr, error);
        opened = open(node, job).await?;
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
    let addr = opened.engine.addr.clone();
    let broken = |why: String| Error::Engine("stream", addr.clone(), why);
    let mut inflight = opened.inflight;
    let mut events = opened.response.eventsource();
    let mut first = true;
    loop {
        let due = job.order.resume_from;
        let limit = match (first, job.left()) {
            (true, Some(left)) => left,
            (true, None) => FIRST_CHUNK,
            (false, _) => node.settings.stream_idle,
        };
        let event = match next(node, opened.engine.slot, &mut events, limit, || out.gone()).await {
            Err(_) if out.gone() => return Err(caller_gone()),
            Err(_) if job.left().is_some_and(|left| left.is_zero()) => {
                return Err(Error::Deadline(addr));
            }
            Err(silent) => return Err(broken(format!("silent for {silent:?} at chunk {due}"))),
            Ok(None) => return Err(broken(format!("cut before chunk {due}"))),
            Ok(Some(Err(error))) => return Err(broken(error.to_string())),
            Ok(Some(Ok(event))) => event,
        };
        if std::mem::take(&mut first) {
            inflight.read();
            let pace = &node.pace[usize::from(opened.engine.slot.0)];
            pace.observe(opened.ahead, opened.sent.elapsed());
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
        job.order.resume_from = due + 1;
        job.order.expect_version = Some(opened.version);
        if let Some(usage) = chunk.usage {
            return Ok(usage);
        }
    }
}

/// The engine may have crashed under `job`, whose answer had run for `ran` if
/// it had begun.
fn broke(
    node: &Arc<Node>,
    job: &mut Job,
    engine: &Engine,
    life: Option<Life>,
    ran: Option<Duration>,
) {
    job.crashed = true;
    let request = Broken { request: job.fingerprint, attempt: job.id.0, ran };
    poison::broke(node, engine, life, request);
}

fn caller_gone() -> Error {
    Error::Engine("reply", "caller".into(), "caller went away".into())
}

/// The stream's next item, or how long it has been silent once that is over
/// `limit`, the engine is found unreachable or the caller has `gone`.
async fn next<S: Stream + Unpin>(
    node: &Node,
    slot: Slot,
    events: &mut S,
    limit: Duration,
    gone: impl Fn() -> bool,
) -> Result<Option<S::Item>, Duration> {
    let mut silent = Duration::ZERO;
    loop {
        let watch = WATCH.min(limit.saturating_sub(silent));
        match ntex::time::timeout(watch, events.next()).await {
            Ok(item) => return Ok(item),
            Err(()) => silent += watch,
        }
        if silent >= limit || node.is_down(slot) || gone() {
            return Err(silent);
        }
    }
}

/// Returns once the caller's deadline for the first token has passed.
async fn until_deadline(job: &Job) {
    match job.left() {
        Some(left) => ntex::time::sleep(left).await,
        None => std::future::pending().await,
    }
}

/// Returns once the engine in `slot` is found unreachable.
async fn until_down(node: &Node, slot: Slot) {
    while !node.is_down(slot) {
        ntex::time::sleep(WATCH).await;
    }
}
