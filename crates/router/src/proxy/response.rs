//! Forwards an answer to the caller: a complete body, or a stream event by event.

mod buffered;
mod close;

pub use close::Close;

use std::io;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use marjoram_core::events::{EventTooLong, Splitter};

use super::attempt::StartedAnswer;
use super::failure::Failure;
use super::fleet::Flight;
use super::http1::{LAST_CHUNK, ResponseWriter, write_chunk};
use super::refusal::Refusal;
use super::reports;
use super::request::{Answer, Exchange, Takeover};
use super::site::Site;
use crate::conn::{Conn, PeerEnd};
use buffered::{forward_buffered, forward_error};

/// Silence within a stream after which its upstream is probed. The stream is
/// resumed elsewhere only if the upstream does not answer the probe: an engine
/// short of memory suspends a stream for seconds, and there may be no other
/// engine that can resume it. Callers give up after two seconds.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Bytes of a stream, received at once, after which other tasks run first: a stream that
/// always has data would delay their requests.
const LARGE_PIECE: usize = 8 << 10;

/// Bytes of a caller's next request that are read ahead.
pub const READ_AHEAD: usize = 64 << 10;

/// How an exchange with a caller ended.
#[derive(Debug)]
pub enum Outcome {
    /// Answered with this status; the connection may be used again.
    Answered(u16),
    /// Refused by the router; the connection may be used again.
    Refused(Refusal),
    /// The caller disconnected, for the reason given.
    Left(String),
    /// The answer broke off after it had begun; the connection must be reset.
    Cut(String),
}

impl Outcome {
    /// The caller has ended its side.
    fn left(end: &PeerEnd) -> Self {
        Self::Left(end.to_string())
    }

    /// The answer with `status` was written to the caller, or not accepted by it.
    fn written(status: u16, result: io::Result<()>) -> Self {
        match result {
            Ok(()) => Self::Answered(status),
            Err(error) => Self::Left(format!("answer not accepted: {error}")),
        }
    }
}

/// Sends the request of `exchange` and forwards the answer to `caller`; decides `close`.
pub async fn run(
    site: &Site,
    caller: &mut Conn,
    exchange: &mut Exchange,
    close: &mut Close,
) -> Outcome {
    let answer = tokio::select! {
        biased;
        // First, so that nothing is sent for a caller that has already left.
        end = caller.wait_until_closed(READ_AHEAD) => return Outcome::left(&end),
        answer = exchange.open(None) => answer,
    };
    match answer {
        Err(refusal) => Outcome::Refused(refusal),
        Ok(Answer::Failed(opened, body)) => forward_error(site, caller, opened, body, close).await,
        Ok(Answer::Open(opened, flight)) if exchange.route.kind.streams() && is_stream(&opened) => {
            Stream::new(site, exchange, close).relay(caller, opened, flight).await
        }
        Ok(Answer::Open(opened, flight)) => {
            forward_buffered(site, caller, exchange, opened, flight, close).await
        }
    }
}

fn is_stream(opened: &StartedAnswer) -> bool {
    let kind = opened.head.headers.get("content-type").unwrap_or_default();
    (200..300).contains(&opened.head.status) && kind.starts_with("text/event-stream")
}

/// The head of the answer to the caller, made from the upstream's.
fn head(opened: &StartedAnswer) -> ResponseWriter {
    let mut writer = ResponseWriter::new(opened.head.status);
    for (name, value) in opened.head.headers.end_to_end() {
        writer.header(name, value);
    }
    writer
}

/// A stream of events being forwarded to a caller.
struct Stream<'a> {
    site: &'a Site,
    exchange: &'a mut Exchange,
    close: &'a mut Close,
    splitter: Splitter,
    /// The response head, until it has been written.
    head: Option<ResponseWriter>,
    /// Id of the last event forwarded.
    last_event_id: Option<u64>,
    /// Some bytes have been forwarded.
    begun: bool,
}

/// The failure of a stream that ended inside an event: broken off where that is how the
/// connection ended, else the upstream has ended it itself.
fn ended_inside_event(opened: &StartedAnswer) -> Failure {
    let why = "ended inside an event".to_string();
    match opened.until_close {
        true => Failure::Closed("stream", why),
        false => Failure::InvalidAnswer("stream", why),
    }
}

/// Result of waiting for more of a stream.
enum Step {
    Continue,
    Ended,
    Broken(Failure),
    /// Another upstream has taken over the stream of a silent one, which failed so.
    Replaced(Box<(StartedAnswer, Flight)>, Failure),
    Expired,
    /// The caller disconnected, for the reason given.
    Left(String),
}

impl<'a> Stream<'a> {
    fn new(site: &'a Site, exchange: &'a mut Exchange, close: &'a mut Close) -> Self {
        Self {
            site,
            exchange,
            close,
            splitter: Splitter::new(),
            head: None,
            last_event_id: None,
            begun: false,
        }
    }

    async fn relay(
        mut self,
        caller: &mut Conn,
        mut opened: StartedAnswer,
        mut flight: Flight,
    ) -> Outcome {
        self.head = Some(head(&opened));
        loop {
            let step = self.step(caller, &mut opened).await;
            let failure = match step {
                Step::Continue => continue,
                Step::Left(why) => return Outcome::Left(why),
                Step::Expired if self.begun => return Outcome::Cut("route's time is up".into()),
                Step::Expired => return Outcome::Refused(self.exchange.deadline_refusal()),
                Step::Ended if self.splitter.is_empty() => {
                    opened.upstream.health.borrow_mut().record_response(true);
                    self.exchange.record_completion(opened.head.status);
                    opened.finish(self.site.now());
                    flight.end();
                    drop(flight);
                    return self.end(caller).await;
                }
                Step::Replaced(next, failure) => {
                    self.exchange.record_replaced_answer(&opened, &failure);
                    (opened, flight) = *next;
                    self.resume(&opened, &failure);
                    continue;
                }
                Step::Ended => ended_inside_event(&opened),
                Step::Broken(failure) => failure,
            };
            self.exchange.record_broken_answer(&opened, &failure);
            if self.begun && !self.exchange.may_resume() {
                return Outcome::Cut(failure.to_string());
            }
            drop((opened, flight));
            let again = tokio::select! {
                again = self.exchange.open(self.last_event_id) => again,
                end = caller.wait_until_closed(READ_AHEAD) => return Outcome::left(&end),
            };
            match again {
                Ok(Answer::Open(next, next_flight)) if is_stream(&next) => {
                    (opened, flight) = (next, next_flight);
                    self.resume(&opened, &failure);
                }
                Err(refusal) if self.begun => {
                    return Outcome::Cut(format!("{failure}; not resumed: {}", refusal.why));
                }
                _ if self.begun => return Outcome::Cut(format!("{failure}; not resumed")),
                Err(refusal) => return Outcome::Refused(refusal),
                Ok(Answer::Failed(opened, body)) => {
                    return forward_error(self.site, caller, opened, body, self.close).await;
                }
                Ok(Answer::Open(..)) => {
                    return Outcome::Refused(Refusal::with_status(502, "no stream came"));
                }
            }
        }
    }

    /// Goes on with the stream that another upstream has begun, `after` a failure.
    fn resume(&mut self, opened: &StartedAnswer, after: &Failure) {
        self.splitter.clear();
        self.site.counters.count("stream.resumed");
        tracing::info!(target: "stream", id = self.exchange.id(), passed = self.last_event_id,
            upstream = %opened.upstream.life, %after, "stream resumed");
        if !self.begun {
            self.head = Some(head(opened));
        }
    }

    /// Waits for more of the stream and forwards the events that are complete.
    async fn step(&mut self, caller: &mut Conn, opened: &mut StartedAnswer) -> Step {
        let idle_limit = match self.exchange.may_resume() {
            true => STREAM_IDLE_TIMEOUT,
            false => self.exchange.left(),
        };
        let until = (self.site.now() + idle_limit).min(self.exchange.expires);
        let data = tokio::select! {
            data = tokio::time::timeout_at(self.site.at(until), opened.next_data()) => data,
            end = caller.wait_until_closed(READ_AHEAD) => return Step::Left(end.to_string()),
        };
        match data {
            Err(_) | Ok(Ok(Some(_))) if self.site.now() >= self.exchange.expires => Step::Expired,
            Err(_) => self.handle_silence(caller, opened, idle_limit).await,
            Ok(data) => self.handle_data(caller, opened, data).await,
        }
    }

    /// Handles the silence of a stream that may be resumed. While the upstream answers
    /// queries it is waited for; else another one is asked to take the stream over.
    async fn handle_silence(
        &mut self,
        caller: &mut Conn,
        opened: &mut StartedAnswer,
        silent_for: Duration,
    ) -> Step {
        let (upstream, relayed) = (opened.upstream.clone(), opened.is_relayed());
        let responsive = tokio::select! {
            biased;
            data = opened.next_data() => return self.handle_data(caller, opened, data).await,
            responsive = reports::is_responsive(self.site, &upstream, relayed) => responsive,
            end = caller.wait_until_closed(READ_AHEAD) => return Step::Left(end.to_string()),
        };
        if responsive {
            return Step::Continue;
        }
        let takes_over =
            |answer: &Answer| matches!(answer, Answer::Open(next, _) if is_stream(next));
        let whole = self.splitter.is_empty();
        let went_on = |data: &Result<Option<Bytes>, Failure>| match data {
            Ok(Some(_)) => true,
            Ok(None) => whole,
            Err(_) => false,
        };
        let overlap_end = self.exchange.overlap_end();
        let silent = async {
            tokio::select! {
                biased;
                data = opened.next_data() => data,
                () = overlap_end => {
                    opened.close();
                    Err(Failure::TimedOut(silent_for))
                }
            }
        };
        let other = self.exchange.open_other(silent, went_on, takes_over, self.last_event_id);
        let takeover = tokio::select! {
            takeover = other => takeover,
            end = caller.wait_until_closed(READ_AHEAD) => return Step::Left(end.to_string()),
        };
        match takeover {
            Takeover::Replaced(Answer::Open(next, flight), ended) => {
                let failure = ended.and_then(Result::err);
                let failure = failure.unwrap_or(Failure::TimedOut(silent_for));
                Step::Replaced(Box::new((next, flight)), failure)
            }
            Takeover::WentOn(data) | Takeover::Failed(Some(data), _) => {
                self.handle_data(caller, opened, data).await
            }
            Takeover::Replaced(..) | Takeover::Failed(None, _) => Step::Continue,
        }
    }

    /// Handles what the upstream has sent next, and forwards the events that are complete.
    async fn handle_data(
        &mut self,
        caller: &mut Conn,
        opened: &StartedAnswer,
        data: Result<Option<Bytes>, Failure>,
    ) -> Step {
        let size = match data {
            Err(failure) => return Step::Broken(failure),
            Ok(None) => return Step::Ended,
            Ok(Some(data)) => {
                self.splitter.push(&data);
                data.len()
            }
        };
        opened.upstream.health.borrow_mut().record_activity(self.site.now());
        if size >= LARGE_PIECE {
            tokio::task::yield_now().await;
        }
        let mut events = BytesMut::new();
        let taken = self.take_events(&mut events);
        match (self.forward(caller, &events).await, taken) {
            (Err(error), _) => Step::Left(format!("events not accepted: {error}")),
            (Ok(()), Err(error)) => {
                Step::Broken(Failure::InvalidAnswer("stream", error.to_string()))
            }
            (Ok(()), Ok(())) => Step::Continue,
        }
    }

    /// Moves the complete events to `events`.
    fn take_events(&mut self, events: &mut BytesMut) -> Result<(), EventTooLong> {
        while let Some(event) = self.splitter.next_event()? {
            match (event.id, self.last_event_id) {
                // A resumed stream may begin with events that have already been
                // forwarded.
                (Some(id), Some(passed)) if id <= passed => continue,
                (Some(id), _) => self.last_event_id = Some(id),
                (None, _) => {}
            }
            events.extend_from_slice(&event.bytes);
        }
        Ok(())
    }

    /// Forwards complete events; fails if the caller does not accept them.
    async fn forward(&mut self, caller: &mut Conn, events: &[u8]) -> io::Result<()> {
        if events.is_empty() {
            return Ok(());
        }
        let mut out = self.take_head(caller);
        write_chunk(&mut out, events);
        self.begun = true;
        let write =
            tokio::time::timeout_at(self.site.at(self.exchange.expires), caller.write(&out));
        write.await.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
    }

    /// The response head, if it has not been written.
    fn take_head(&mut self, caller: &mut Conn) -> BytesMut {
        let head = self.head.take();
        head.map(|head| self.close.finish(head, self.site, caller).chunked()).unwrap_or_default()
    }

    async fn end(&mut self, caller: &mut Conn) -> Outcome {
        let mut out = self.take_head(caller);
        out.extend_from_slice(LAST_CHUNK);
        Outcome::written(200, caller.write(&out).await)
    }
}
