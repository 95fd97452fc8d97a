//! Sends a request to the upstream chosen, and applies the outcome to the state
//! of the request and to the upstream's health.

use std::time::Duration;

use marjoram_core::buffer_budget::CompleteBody;
use marjoram_core::exchange::{Envelope, Part};
use marjoram_core::part_index::CacheId;
use marjoram_platform::headers;

use super::choose::Chosen;
use super::takeover::HeadOutcome;
use super::{Answer, Exchange};
use crate::proxy::attempt::{self, Encoded, StartedAnswer};
use crate::proxy::backlog::Claim;
use crate::proxy::failure::Failure;
use crate::proxy::fleet::Flight;
use crate::proxy::http1::RequestWriter;
use crate::proxy::{brittle, reports};

/// How long an upstream that refused a request gets no others from this host.
const REFUSAL_PAUSE: Duration = Duration::from_millis(120);

/// Time-out of the first byte as a multiple of the expected time, for requests
/// that may be sent to another upstream.
const TIMEOUT_FACTOR: f64 = 3.0;

/// Fewest prompt tokens of a prefill whose time is taken as a sample of the
/// engine's throughput: with fewer, the fixed time of an engine step dominates.
const MIN_THROUGHPUT_SAMPLE: u64 = 2_000;

impl Exchange {
    /// Name of the cache for this request at engines that serve `weights`. It
    /// differs from the names of the caches for other weights and, if this
    /// workspace is isolated, from those of other workspaces.
    fn salt(&self, weights: u64) -> String {
        match self.workspace.as_ref().filter(|w| w.isolated) {
            Some(workspace) => format!("{weights}/{}", workspace.name),
            None => weights.to_string(),
        }
    }

    /// Hash of that name.
    pub(super) fn cache(&self, weights: u64) -> CacheId {
        CacheId::new(&self.salt(weights))
    }

    /// The values that the router adds to the request in headers of its own.
    fn envelope(&self, chosen: &Chosen, resumed: Option<u64>) -> Envelope {
        let salt = chosen.weights.map(|version| self.salt(version));
        let engine = self.request.asked.prompt.is_some();
        Envelope {
            left: self.left(),
            upstream: Some(chosen.upstream.life.id.clone()),
            workspace: self.workspace.as_ref().map(|w| w.name.clone()),
            rank: engine.then(|| self.rank()),
            weights: chosen.weights,
            salt,
            fetch: chosen.fetch.map(|a| a.to_string()),
            save: chosen.save.map(|a| a.to_string()),
            last_event: resumed.or(self.request.asked.last_event),
        }
    }

    /// Priority at the engine. In a coordinated service the route's priority counts among requests
    /// of equal workspace priority; elsewhere only where the workspace has none.
    fn rank(&self) -> u8 {
        let workspace = self.workspace.as_ref().and_then(|w| w.priority);
        match (self.site.coordination(&self.service), workspace) {
            (Some(_), _) => self.urgency().rank(),
            (None, priority) => priority.unwrap_or(self.route.priority),
        }
    }

    /// The request as it is sent: the caller's end-to-end headers, with the router's
    /// own replaced by those of `envelope`, and the body, which is not copied.
    fn encode(&self, envelope: &Envelope) -> Encoded {
        let head = &self.request.head;
        let mut writer = RequestWriter::new(&head.method, &head.target);
        for (name, value) in head.headers.end_to_end() {
            if !headers::is_router_header(name) && !headers::is_last_event(name) {
                writer.header(name, value);
            }
        }
        headers::write_envelope(envelope, |name, value| writer.header(name, value.as_bytes()));
        let bodyless =
            self.request.body.is_empty() && matches!(head.method.as_str(), "GET" | "HEAD");
        let body = self.request.body.clone();
        Encoded { head: writer.finish_head((!bodyless).then_some(body.len())), body }
    }

    /// Sends the request once, to the upstream chosen, and waits for the head of
    /// the answer.
    pub(super) async fn send(&mut self, chosen: &Chosen, resumed: Option<u64>) -> Sent {
        let site = self.site.clone();
        let upstream = &chosen.upstream;
        let prompt = self.request.asked.prompt.as_ref();
        let memory = prompt.map_or(0, |p| p.input + p.output);
        let ahead = upstream.load().unread + chosen.prefill;
        let envelope = self.envelope(chosen, resumed);
        let encoded = self.encode(&envelope);
        let flight = Flight::new(upstream.clone(), chosen.prefill, memory, site.now());
        self.claim = self.new_claim(chosen, memory);
        tracing::info!(target: "place", id = self.id(), upstream = %upstream.life,
            fingerprint = %self.fingerprint,
            chain = prompt.map(|p| p.prefix_hash()), shared = prompt.map(|p| p.shared()),
            weights = chosen.weights,
            salt = envelope.salt, fetch = envelope.fetch, save = envelope.save,
            input = prompt.map(|p| p.input), unread = chosen.prefill, ahead,
            running = upstream.load().running, accounts = self.accounts.borrow().len(),
            backlog = self.accounts.borrow().get(&upstream.key).map(|a| a.unread),
            wait_ms = chosen.expected_wait.as_millis() as u64,
            left_ms = self.left().as_millis() as u64, "placed");
        self.sends += 1;
        self.denials.take();
        self.last = Some(upstream.life.clone());
        self.tried.push(upstream.life.clone());
        let begun = site.now();
        let id = self.request.asked.attempt.clone();
        let method = self.request.head.method.clone();
        // From here on the upstream may have received the request, also if this
        // future is dropped.
        self.possible_runs += 1;
        self.sent_at.set(begun);
        self.pending_send.set(Some(begun));
        let sent_on = self.sent_on.clone();
        let send = attempt::Outgoing {
            method: &method,
            attempt: id.as_deref(),
            request: &encoded,
            sent_on: &sent_on,
        };
        let sent = attempt::send(&site, upstream, send);
        let (result, failed) = match self.wait_for_head(chosen, begun, sent, resumed).await {
            HeadOutcome::Received(result, failed) => (result, failed),
            HeadOutcome::Replaced(answer, ended) => {
                self.record_replaced_send(upstream, ended, begun);
                return Sent::Replaced(answer);
            }
        };
        let placed = Placed { chosen, flight, ahead, begun };
        let sent = match (self.handle_head(placed, result).await, failed) {
            (Sent::NoAnswer, Some((opened, body))) => Sent::Failed(opened, body),
            (sent, _) => sent,
        };
        if !matches!(sent, Sent::Open(..)) {
            self.pending_send.set(None);
        }
        sent
    }

    /// Handles the head of the answer to a send, or its failure.
    async fn handle_head(
        &mut self,
        placed: Placed<'_>,
        result: Result<StartedAnswer, Failure>,
    ) -> Sent {
        let Placed { chosen, mut flight, ahead, begun } = placed;
        let site = self.site.clone();
        let upstream = &chosen.upstream;
        let now = site.now();
        self.waited = now - begun;
        match result {
            Err(Failure::Unreachable(why)) => {
                flight.end();
                self.record_unreachable(upstream, &why);
                Sent::NoAnswer
            }
            Err(failure) => {
                self.record_failed_send(upstream, &failure);
                Sent::NoAnswer
            }
            Ok(opened) if opened.mark.not_run => {
                flight.end();
                self.possible_runs -= 1;
                self.handle_refusal(opened, chosen.weights, now).await
            }
            Ok(opened) => {
                self.begun = now;
                upstream.health.borrow_mut().record_activity(now);
                tracing::info!(target: "attempt", id = self.id(), upstream = %upstream.life,
                    status = opened.head.status, weights = opened.mark.weights,
                    sends = self.sends, conn = %opened.conn_use.conn,
                    conn_requests = opened.conn_use.requests, relayed = opened.conn_use.relayed,
                    echo = opened.mark.attempt, ms = self.waited.as_millis() as u64,
                    expected_ms = chosen.expected_wait.as_millis() as u64, "answer started");
                let prompt = self.request.asked.prompt.as_ref();
                if let (Some(version), Some(prompt)) = (opened.mark.weights, prompt) {
                    upstream.record_weights(&prompt.model, version);
                }
                let shared = prompt.map(|p| p.shared_parts()).unwrap_or_default();
                if let Some(claim) = self.claim.as_ref().filter(|_| is_success(&opened)) {
                    claim.read(self.part_keys(chosen.cache));
                }
                record_prefill(&mut flight, chosen, shared, ahead, begun, now);
                self.check_answer(opened, flight).await
            }
        }
    }

    /// The report of the prompt that is about to be sent to the engine chosen; `None` if other
    /// hosts need not know of it.
    fn new_claim(&self, chosen: &Chosen, memory: u64) -> Option<Claim> {
        self.is_reported().then(|| {
            Claim::new(&self.site, &self.service, &chosen.upstream, chosen.prefill, memory)
        })
    }

    /// How long to wait for the first byte of the answer before the request also goes to
    /// another upstream: until the caller's deadline if it cannot.
    pub(super) fn first_byte_timeout(&self, expected: Duration) -> Duration {
        let may_move =
            self.route.kind.repeatable() && (self.tried.len() as u32) < self.route.attempts;
        if !may_move {
            return self.left();
        }
        let expected = expected.mul_f64(TIMEOUT_FACTOR) + self.route.target;
        expected.min(self.left())
    }

    /// Whether a request without an answer may also be sent to another upstream: there is
    /// one, and the retry budget allows one more send.
    pub(super) fn may_send_elsewhere(&self, chosen: &Chosen) -> bool {
        let others = self.candidates().iter().any(|u| u.life != chosen.upstream.life);
        others && self.site.might_repeat(&self.service)
    }

    /// Logs the refusal of a send, with what ties it to that send.
    pub(super) fn log_refusal(&self, refused: &StartedAnswer) {
        let conn_use = &refused.conn_use;
        tracing::info!(target: "attempt", id = self.id(), upstream = %refused.upstream.life,
            status = refused.head.status, weights = refused.mark.weights, sends = self.sends,
            conn = %conn_use.conn, conn_requests = conn_use.requests, relayed = conn_use.relayed,
            echo = refused.mark.attempt, "upstream refused, not run");
    }

    /// Handles an upstream's refusal to run the request, which was sent for the
    /// version `asked` of its weights.
    async fn handle_refusal(
        &mut self,
        opened: StartedAnswer,
        asked: Option<u64>,
        now: Duration,
    ) -> Sent {
        let upstream = opened.upstream.clone();
        let (status, reported) = (opened.head.status, opened.mark.weights);
        let other_upstream =
            opened.mark.upstream.as_ref().is_some_and(|id| *id != upstream.life.id);
        self.site.counters.count("upstream.refused");
        self.log_refusal(&opened);
        match status {
            421 if other_upstream => {
                // Another upstream answers at this address: this one has ended.
                self.site.fleet.remove(&upstream.life);
                Sent::NoAnswer
            }
            421 => {
                opened.finish(now);
                let prompt = self.request.asked.prompt.as_ref();
                let (Some(prompt), Some(asked)) = (prompt, asked) else { return Sent::NoAnswer };
                match reported {
                    Some(version) => upstream.record_report(&prompt.model, version),
                    None => {
                        reports::handle_weights_refusal(&self.site, &upstream, &prompt.model, asked)
                            .await
                    }
                }
                match upstream.weights(&prompt.model) {
                    Some(version) if version != asked => Sent::OtherWeights,
                    _ => Sent::NoAnswer,
                }
            }
            400 => match self.collect(opened).await {
                Some((opened, body)) => Sent::Failed(opened, body),
                None => Sent::NoAnswer,
            },
            _ => {
                brittle::record_rejection(&self.site, &upstream);
                upstream.health.borrow_mut().pause_for(now, REFUSAL_PAUSE);
                // While this host backs off, it does not query the engine either.
                let backs_off = upstream.backoff_left(now).is_some();
                if let Some(prompt) = self.request.asked.prompt.as_ref().filter(|_| !backs_off) {
                    reports::handle_unexplained_refusal(&self.site, &upstream, &prompt.model);
                }
                opened.finish(now);
                Sent::NoAnswer
            }
        }
    }

    /// Reads the whole body of the answer; `None` if it cannot be read, or does not arrive
    /// before the caller's deadline.
    async fn collect(&self, mut opened: StartedAnswer) -> Option<(StartedAnswer, CompleteBody)> {
        let begun = self.site.now();
        let collected = opened.collect(&self.site.buffers);
        let result = tokio::time::timeout_at(self.site.at(self.expires), collected).await;
        match result.unwrap_or_else(|_| Err(Failure::TimedOut(self.site.now() - begun))) {
            Ok(body) => Some((opened, body)),
            Err(failure) => {
                tracing::warn!(target: "attempt", id = self.id(), upstream = %opened.upstream.life,
                    status = opened.head.status, %failure, "body of a failure not read");
                None
            }
        }
    }

    /// Checks an answer that has begun to a request that may have run. A server error, or a status
    /// that callers take for a rejection, is read whole, to be passed on in a form that promises
    /// nothing if no other upstream succeeds. A success without the header with which
    /// upstreams seal their answers is dropped.
    async fn check_answer(&mut self, opened: StartedAnswer, mut flight: Flight) -> Sent {
        let upstream = opened.upstream.clone();
        let status = opened.head.status;
        match status {
            200..=299 if !opened.mark.sealed => {
                upstream.health.borrow_mut().record_response(false);
                tracing::warn!(target: "attempt", id = self.id(), upstream = %upstream.life, status,
                    "dropped a successful answer without a seal");
                Sent::NoAnswer
            }
            // Without the statement that it was not run, none of these says so.
            408 | 429 | 500..=599 => {
                upstream.health.borrow_mut().record_response(false);
                let collected = self.collect(opened).await;
                if collected.is_some() {
                    flight.end();
                }
                match collected {
                    Some((opened, body)) if opened.mark.sealed => Sent::Failed(opened, body),
                    _ => Sent::NoAnswer,
                }
            }
            _ => Sent::Open(opened, flight),
        }
    }
}

/// Whether the answer is a success that the upstream has sealed.
fn is_success(opened: &StartedAnswer) -> bool {
    (200..300).contains(&opened.head.status) && opened.mark.sealed
}

/// Records that the prompt sent at `begun` has been prefilled by `now`: its shared
/// parts are cached at the engine, and its time may be a throughput sample.
fn record_prefill(
    flight: &mut Flight,
    chosen: &Chosen,
    shared: &[Part],
    ahead: u64,
    begun: Duration,
    now: Duration,
) {
    flight.read();
    chosen.upstream.note_cached(chosen.cache, shared, now);
    // Only a prompt that was prefilled alone is a sample: how many tokens of
    // other prompts were prefilled in that time is not known exactly.
    if chosen.prefill >= MIN_THROUGHPUT_SAMPLE && ahead == chosen.prefill {
        chosen.upstream.health.borrow_mut().record_prefill(ahead, now - begun);
    }
}

/// A request as it was sent.
struct Placed<'a> {
    chosen: &'a Chosen,
    flight: Flight,
    /// Prompt tokens that the engine had to prefill then, those of this request included.
    ahead: u64,
    begun: Duration,
}

/// The outcome of one send.
pub(super) enum Sent {
    /// An answer that has begun; its body is still to be read.
    Open(StartedAnswer, Flight),
    /// A failure that the upstream answered, with its whole body.
    Failed(StartedAnswer, CompleteBody),
    /// An answer that has begun at another upstream, since this one was silent.
    Replaced(Answer),
    /// Not run: the upstream serves another version of its weights than this host
    /// had recorded.
    OtherWeights,
    /// No answer that can be passed on.
    NoAnswer,
}
