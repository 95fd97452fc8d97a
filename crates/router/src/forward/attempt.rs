//! One attempt of a request at an engine, until the engine has accepted it.

use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use marjoram_core::cache::{CacheGeneration, Slot};
use marjoram_core::ids::{ModelVersion, Tokens};
use marjoram_core::wire::{NOT_EXECUTED, RETRY_AFTER, SEND_ID, WEIGHTS_VERSION};
use ntex::http::StatusCode;
use ntex::http::client::ClientResponse;
use ntex::http::client::error::SendRequestError;

use super::takeover::{self, RETRY_INTERVAL, SILENCE_LIMIT, Takeover};
use crate::brittle;
use crate::error::{self, Error};
use crate::job::{Choice, Job, version};
use crate::node::{Engine, Node};
use crate::upstream_client;

/// Time-out of an engine's first chunk. It is long because the engine's queue may be
/// long.
pub const FIRST_CHUNK_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval at which a waiting request checks that its engine is still reachable.
pub const REACHABILITY_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Time within which an engine that answers again is no longer marked unreachable: its
/// follower reads its load report every half second, with a time-out of one second.
const RECOVERY_TIME: Duration = Duration::from_secs(2);

/// Tells whether an engine has become unreachable since a request was sent to it, or
/// since it last went on after a silence.
#[derive(Debug, Clone, Copy)]
pub struct Reachability {
    slot: Slot,
    outages: u32,
    since: Instant,
}

impl Reachability {
    pub fn new(node: &Node, slot: Slot) -> Self {
        Self { slot, outages: node.outages(slot), since: Instant::now() }
    }

    pub fn is_lost(self, node: &Node) -> bool {
        let stays_down = node.is_down(self.slot) && self.since.elapsed() >= RECOVERY_TIME;
        stays_down || node.outages(self.slot) != self.outages
    }
}

/// Counts a request in flight at one engine until dropped, and its prompt
/// tokens as pending there until they are read.
pub struct Inflight {
    node: Arc<Node>,
    slot: Slot,
    unread: u64,
    /// The engine does not run it any more.
    has_ended: bool,
}

impl Inflight {
    pub fn new(node: Arc<Node>, slot: Slot, unread: Tokens) -> Self {
        node.inflight[usize::from(slot.0)].fetch_add(1, Ordering::Relaxed);
        node.pending[usize::from(slot.0)].fetch_add(unread.0, Ordering::Relaxed);
        Self { node, slot, unread: unread.0, has_ended: false }
    }

    /// Records that the engine has answered completely, or has not run the request.
    pub fn end(&mut self) {
        self.has_ended = true;
    }

    /// Records that the engine has read the prompt; returns the tokens that it had to read.
    pub fn read(&mut self) -> Tokens {
        let unread = std::mem::take(&mut self.unread);
        self.node.pending[usize::from(self.slot.0)].fetch_sub(unread, Ordering::Relaxed);
        Tokens(unread)
    }
}

impl Drop for Inflight {
    fn drop(&mut self) {
        self.read();
        self.node.inflight[usize::from(self.slot.0)].fetch_sub(1, Ordering::Relaxed);
        if !self.has_ended {
            brittle::record_abandoned(&self.node, self.slot);
        }
        self.node.engine_slots.note_available();
    }
}

/// A request that an engine has accepted, with its answer to read.
pub struct AcceptedRequest {
    /// The engine.
    pub engine: Engine,
    /// The engine's incarnation and weights when the request was sent.
    pub generation: Option<CacheGeneration>,
    /// When the request was sent.
    pub sent: Instant,
    /// When the engine accepted the request.
    pub accepted_at: Instant,
    pub(super) response: ClientResponse,
    /// Version of the weights that compute the answer.
    pub(super) version: ModelVersion,
    pub(super) inflight: Inflight,
    /// Prompt tokens that the engine had read when the request was sent.
    pub(super) read_before: Tokens,
    pub(super) reachability: Reachability,
}

/// The outcome of one send.
pub enum Sent {
    /// The engine has accepted the request.
    Accepted(Box<AcceptedRequest>),
    /// Another engine has accepted it, since this one was silent as the error says.
    Replaced(Box<AcceptedRequest>, Error),
}

/// A request about to be sent to an engine.
pub struct Attempt {
    /// The engine.
    pub engine: Engine,
    /// The engine's incarnation and weights.
    pub generation: Option<CacheGeneration>,
    inflight: Inflight,
    read_before: Tokens,
    sent: Instant,
    /// Identifies this send in the engine's refusal.
    send_id: String,
    reachability: Reachability,
}

impl Attempt {
    pub fn new(node: &Arc<Node>, choice: Choice) -> Self {
        let Choice { engine, unread, turn: _turn } = choice;
        Self {
            inflight: Inflight::new(node.clone(), engine.slot, unread),
            read_before: node.prefill_time[usize::from(engine.slot.0)].read(),
            sent: Instant::now(),
            send_id: rand::random::<u64>().to_string(),
            generation: node.cache_index.life(engine.slot),
            reachability: Reachability::new(node, engine.slot),
            engine,
        }
    }

    /// Sends `job`. If the engine becomes unreachable before it has answered, its answer is
    /// awaited while other engines are asked.
    pub async fn send(self, node: &Arc<Node>, job: &mut Job) -> Result<Sent, Error> {
        let addr = &self.engine.addr;
        let url = format!("http://{addr}/v1/completions");
        let request = upstream_client::client(node).post(&url).timeout(FIRST_CHUNK_TIMEOUT);
        let request = request.header(SEND_ID, self.send_id.as_str());
        let mut request = pin!(request.send_json(&job.engine_request));
        let deadline = job.time_to_deadline();
        tokio::select! {
            head = &mut request => return self.accept(node, job, head),
            () = sleep_until_deadline(deadline) => return Err(Error::Deadline(addr.clone())),
            () = until_lost(node, self.reachability) => {}
        }
        let silence = Error::Engine("send", addr.clone(), "engine became unreachable".into());
        let limit = job.time_to_deadline().map_or(SILENCE_LIMIT, |left| left.min(SILENCE_LIMIT));
        let end = Instant::now() + limit;
        let goes_on = |head: &Result<Result<ClientResponse, _>, ()>| match head {
            Ok(Ok(response)) => response.status().is_success(),
            Ok(Err(_)) => false,
            Err(()) => true,
        };
        let head = loop {
            let left = end.saturating_duration_since(Instant::now());
            let head = ntex::time::timeout(left, &mut request);
            match takeover::ask_other(node, job, &silence, &self.engine, head, goes_on).await {
                Takeover::Replaced(other) => return Ok(Sent::Replaced(other, silence)),
                Takeover::WentOn(head) | Takeover::Failed(Some(head)) => break head,
                Takeover::Failed(None) if left.is_zero() => break Err(()),
                Takeover::Failed(None) => {}
            }
            let pause = RETRY_INTERVAL.min(left);
            if let Ok(head) = ntex::time::timeout(pause, &mut request).await {
                break Ok(head);
            }
        };
        match head {
            Ok(head) => self.accept(node, job, head),
            Err(()) if job.time_to_deadline().is_some_and(|left| left.is_zero()) => {
                Err(Error::Deadline(self.engine.addr))
            }
            Err(()) => Err(silence),
        }
    }

    /// Handles the head of the engine's answer.
    fn accept(
        mut self,
        node: &Arc<Node>,
        job: &mut Job,
        head: Result<ClientResponse, SendRequestError>,
    ) -> Result<Sent, Error> {
        let response =
            check_head(node, &self.engine, &self.send_id, head).inspect_err(|error| {
                if matches!(error, Error::Refused(..)) {
                    self.inflight.end();
                }
            })?;
        let slot = self.engine.slot;
        let known = node.cache_index.life(slot);
        let version = response_version(&response).unwrap_or(version(known));
        if let Some(known) = known.filter(|known| known.version == version) {
            let blocks = &job.prefix(version).blocks;
            node.cache_index.predicted(slot, known, blocks);
        }
        Ok(Sent::Accepted(Box::new(AcceptedRequest {
            engine: self.engine,
            generation: self.generation,
            response,
            version,
            inflight: self.inflight,
            read_before: self.read_before,
            sent: self.sent,
            accepted_at: Instant::now(),
            reachability: Reachability::new(node, slot),
        })))
    }
}

/// The answer of `engine` to the send `send_id`, if it has accepted the request.
fn check_head(
    node: &Node,
    engine: &Engine,
    send_id: &str,
    head: Result<ClientResponse, SendRequestError>,
) -> Result<ClientResponse, Error> {
    let failed = |step, why| Error::Engine(step, engine.addr.clone(), why);
    match head {
        Ok(response) if response.status().is_success() => Ok(response),
        Ok(response) if refuses(&response, send_id) => {
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

/// Whether the engine did not execute the send `send_id`. A late copy of the refusal of another one
/// does not say so.
fn refuses(response: &ClientResponse, send_id: &str) -> bool {
    response.headers().get(NOT_EXECUTED).is_some_and(|id| id.as_bytes() == send_id.as_bytes())
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

/// Returns once the caller's deadline for the first token has passed, which is `left` away.
async fn sleep_until_deadline(left: Option<Duration>) {
    match left {
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
