//! The request path: choose an engine, send it the request, and forward its
//! answer to the caller, complete and in order.
//!
//! An engine's chunks are checked against the request id and sequence
//! numbers. When an engine cannot be reached, does not answer, breaks its
//! stream, or sends a chunk of another request, the
//! request is resumed on another engine from the first chunk not yet forwarded
//! (engines resume streams from a sequence number, under the same weights), so the
//! caller still gets every chunk once and in order. Only when no engine is left
//! does the answer end early, with an error naming the step and the engine; it is
//! never truncated without an error.
//!
//! An open connection may stop delivering data for good while new connections
//! work, or only for a while. An engine counts as silent after `--stream-idle-ms`
//! inside a stream, and sooner if its follower finds it unreachable (see `follow`).
//! Its answer is then awaited while other engines are asked (see `takeover`).

mod attempt;
mod events;
mod relay;
mod takeover;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use marjoram_core::cache::CacheGeneration;
use marjoram_core::poison::BrokenRequest;
use marjoram_core::wire::{Chunk, Usage};

use crate::brittle;
use crate::clock;
use crate::engine_slots::SlotWait;
use crate::error::Error;
use crate::job::Job;
use crate::node::{Engine, Node};
use crate::poison;

pub use attempt::AcceptedRequest;
use attempt::{Attempt, Sent};
use relay::Relayed;

/// Interval at which a withheld request checks whether the crashes it was in flight at
/// have been evaluated.
const VERDICT_POLL_INTERVAL: Duration = Duration::from_millis(40);

/// Interval at which a request that waits for a slot checks whether one is free.
const SLOT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Step of errors of answers that are too long. They are not resumed.
pub const LIMIT_STEP: &str = "limit";

/// Receives the checked chunks of an answer for the caller.
pub trait ChunkSink {
    /// Forwards one chunk of the engine at `addr`. Fails if the caller has disconnected or
    /// the answer is too long.
    async fn chunk(&mut self, chunk: &Chunk, addr: &str) -> Result<(), Error>;

    /// Whether the caller is known to have disconnected.
    fn is_closed(&self) -> bool;
}

/// Sends `job` to engines in turn until one accepts it.
pub async fn open(node: &Arc<Node>, job: &mut Job) -> Result<AcceptedRequest, Error> {
    loop {
        wait_for_verdict(node, job).await;
        let attempt = begin_attempt(node, job).await?;
        let (engine, generation) = (attempt.engine.clone(), attempt.generation);
        let sent_at = clock::now();
        let (error, other) = match attempt.send(node, job).await {
            Ok(Sent::Accepted(accepted)) => return Ok(*accepted),
            Ok(Sent::Replaced(other, silence)) => (silence, Some(other)),
            Err(error @ Error::Deadline(_)) => return Err(error),
            Err(error) => (error, None),
        };
        if matches!(error, Error::Engine(..)) {
            note_broken(node, job, &engine, generation, None, sent_at);
        }
        tracing::info!(target: "forward", "forward: {error}; retrying {} on another engine.", job.id);
        node.counters.retried.fetch_add(1, Ordering::Relaxed);
        job.record_failure(&engine.addr, error);
        if let Some(other) = other {
            return Ok(*other);
        }
    }
}

/// Chooses the engine for the next attempt; waits for a slot if engines are brittle and this
/// router holds none that is free.
async fn begin_attempt(node: &Arc<Node>, job: &mut Job) -> Result<Attempt, Error> {
    let (mut wait, end) = (None, Instant::now() + job.slot_wait());
    loop {
        let full = match job.choose(node) {
            Ok(choice) => return Ok(Attempt::new(node, choice)),
            Err(full @ Error::Full(_)) => full,
            Err(error) => return Err(error),
        };
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            node.counters.full.fetch_add(1, Ordering::Relaxed);
            return Err(job.give_up_full(full));
        }
        let wait = wait.get_or_insert_with(|| SlotWait::new(&node.engine_slots));
        wait.wait(left.min(SLOT_POLL_INTERVAL)).await;
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
        let (engine, generation) = (accepted.engine.clone(), accepted.generation);
        let (sent, accepted_at) = (accepted.sent, accepted.accepted_at);
        let (error, other) = match relay::relay(node, job, accepted, out).await {
            Ok(Relayed::Complete(usage)) => {
                brittle::record_completion(node, &engine, sent.elapsed());
                node.poison.record_completed(job.fingerprint);
                return Ok(usage);
            }
            Ok(Relayed::Replaced(other, silence)) => (silence, Some(other)),
            Err(error @ (Error::Engine("reply" | LIMIT_STEP, ..) | Error::Deadline(_))) => {
                return Err(error);
            }
            Err(error) => (error, None),
        };
        let sent_at = clock::now().saturating_sub(sent.elapsed());
        note_broken(node, job, &engine, generation, Some(accepted_at.elapsed()), sent_at);
        tracing::info!(target: "forward", "forward: {error}; resuming {} from chunk {}.", job.id, job.engine_request.resume_from);
        job.record_failure(&engine.addr, error);
        accepted = match other {
            Some(other) => *other,
            None => open(node, job).await?,
        };
        node.counters.resumed.fetch_add(1, Ordering::Relaxed);
    }
}

/// Records that the engine may have crashed while it ran `job`, unless it may have failed
/// under rejections; `ran` is the time since it accepted the request, if it had, and
/// `sent_at` when that was sent.
fn note_broken(
    node: &Arc<Node>,
    job: &mut Job,
    engine: &Engine,
    generation: Option<CacheGeneration>,
    ran: Option<Duration>,
    sent_at: Duration,
) {
    if brittle::may_have_failed(node, engine) {
        return;
    }
    job.crashed = true;
    let request = BrokenRequest {
        request: job.fingerprint,
        attempt: job.id.0,
        ran,
        sent_at,
        parts: Vec::new(),
    };
    poison::handle_broken(node, engine, generation, request);
}

/// The error of a request whose caller has disconnected.
pub fn caller_gone() -> Error {
    Error::Engine("reply", "caller".into(), "caller went away".into())
}
