//! Reads and checks the chunks of one engine's answer.

use std::sync::Arc;
use std::time::{Duration, Instant};

use cadence::prelude::*;
use eventsource_stream::{Event, EventStream, EventStreamError, Eventsource};
use futures::{Stream, StreamExt};
use marjoram_core::cache::Slot;
use marjoram_core::wire::{Chunk, Usage};

use super::attempt::{FIRST_CHUNK_TIMEOUT, REACHABILITY_POLL_INTERVAL, Reachability};
use super::events::{CompleteEvents, ReadError};
use super::takeover::{self, RETRY_INTERVAL, SILENCE_LIMIT, Takeover};
use super::{AcceptedRequest, ChunkSink, LIMIT_STEP, caller_gone};
use crate::error::Error;
use crate::job::Job;
use crate::node::{Engine, Node};

/// How the answer of one engine ended.
pub enum Relayed {
    /// It is complete.
    Complete(Usage),
    /// Another engine has taken it over, since this one was silent as the error says.
    Replaced(Box<AcceptedRequest>, Error),
}

/// The next item of a stream; `None` at its end.
type Item = Option<Result<Event, EventStreamError<ReadError>>>;

/// The outcome of a wait for the next item.
enum Received {
    Item(Item),
    Replaced(Box<AcceptedRequest>, Error),
}

/// The events of an engine's answer.
struct Events {
    engine: Engine,
    stream: EventStream<CompleteEvents>,
    reachability: Reachability,
}

/// Checks the chunks of one engine's stream and forwards them to `out`; moves the
/// job's resume point past every chunk forwarded.
pub async fn relay<O: ChunkSink>(
    node: &Arc<Node>,
    job: &mut Job,
    accepted: AcceptedRequest,
    out: &mut O,
) -> Result<Relayed, Error> {
    let addr = accepted.engine.addr.clone();
    let broken = |why: String| Error::Engine("stream", addr.clone(), why);
    let slot: Slot = accepted.engine.slot;
    let mut inflight = accepted.inflight;
    let mut events = Events {
        engine: accepted.engine,
        stream: CompleteEvents::new(accepted.response).eventsource(),
        reachability: accepted.reachability,
    };
    let mut first = true;
    loop {
        let due = job.engine_request.resume_from;
        let event = match events.next(node, job, first, || out.is_closed()).await? {
            Received::Replaced(other, silence) => return Ok(Relayed::Replaced(other, silence)),
            Received::Item(None) => return Err(broken(format!("cut before chunk {due}"))),
            Received::Item(Some(Err(error))) => return Err(broken(error.to_string())),
            Received::Item(Some(Ok(event))) => event,
        };
        if std::mem::take(&mut first) {
            let unread = inflight.read();
            let prefill_time = &node.prefill_time[usize::from(slot.0)];
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
            // Without this limit an answer that never ends would be forwarded forever.
            Chunk { seq, .. } if seq > job.engine_request.max_tokens => {
                let why = format!("chunk {seq} of an answer that was to be shorter");
                return Err(Error::Engine(LIMIT_STEP, addr, why));
            }
            _ => {}
        }
        if due == 0 {
            let _ = node.metrics.time("ttft", job.started.elapsed());
        }
        out.chunk(&chunk, &addr).await?;
        job.engine_request.resume_from = due + 1;
        job.engine_request.expect_version = Some(accepted.version);
        if let Some(usage) = chunk.usage {
            inflight.end();
            return Ok(Relayed::Complete(usage));
        }
    }
}

impl Events {
    /// Waits for the next item. While the engine is silent, other engines are asked to take
    /// the request over. `is_closed` reports that the caller has disconnected.
    async fn next(
        &mut self,
        node: &Arc<Node>,
        job: &mut Job,
        first: bool,
        is_closed: impl Fn() -> bool,
    ) -> Result<Received, Error> {
        let due = job.engine_request.resume_from;
        let begun = Instant::now();
        let mut silent_since = None;
        loop {
            let (limit, reachability) = match (silent_since, first) {
                (None, true) => (FIRST_CHUNK_TIMEOUT, Some(self.reachability)),
                (None, false) => (node.settings.stream_idle, Some(self.reachability)),
                (Some(_), _) => (RETRY_INTERVAL, None),
            };
            let limit = job.time_to_deadline().map_or(limit, |left| left.min(limit));
            let waited = next(node, reachability, &mut self.stream, limit, &is_closed).await;
            if let Ok(item) = waited {
                if silent_since.is_some() {
                    self.reachability = Reachability::new(node, self.engine.slot);
                }
                return Ok(Received::Item(item));
            }
            let since = *silent_since.get_or_insert_with(Instant::now);
            let left = SILENCE_LIMIT.saturating_sub(since.elapsed());
            let silence = Error::Engine(
                "stream",
                self.engine.addr.clone(),
                format!("silent for {:.1?} at chunk {due}", begun.elapsed()),
            );
            match job.time_to_deadline() {
                _ if is_closed() => return Err(caller_gone()),
                Some(Duration::ZERO) => return Err(Error::Deadline(self.engine.addr.clone())),
                _ if left.is_zero() => return Err(silence),
                _ => {}
            }
            let left = job.time_to_deadline().map_or(left, |until| until.min(left));
            let silent = next(node, None, &mut self.stream, left, &is_closed);
            let goes_on = |waited: &Result<Item, _>| !matches!(waited, Ok(None) | Ok(Some(Err(_))));
            match takeover::ask_other(node, job, &silence, &self.engine, silent, goes_on).await {
                Takeover::Replaced(other) => return Ok(Received::Replaced(other, silence)),
                Takeover::WentOn(Ok(item)) | Takeover::Failed(Some(Ok(item))) => {
                    self.reachability = Reachability::new(node, self.engine.slot);
                    return Ok(Received::Item(item));
                }
                Takeover::WentOn(Err(_)) | Takeover::Failed(_) => {}
            }
        }
    }
}

/// Waits for the stream's next item. Fails, with the time waited, once that time reaches
/// `limit`, the engine is unreachable or `is_closed` reports that the caller has
/// disconnected.
async fn next<S: Stream + Unpin>(
    node: &Node,
    reachability: Option<Reachability>,
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
        if silent >= limit || reachability.is_some_and(|r| r.is_lost(node)) || is_closed() {
            return Err(silent);
        }
    }
}
