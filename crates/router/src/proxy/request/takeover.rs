//! Tries other upstreams for a request whose upstream is silent, and keeps waiting for
//! the silent one.
//!
//! Load pattern: a sound upstream sends nothing for a second or two, and then goes on.
//! If its answer is given up before another upstream has begun one, a request that
//! would have been answered fails, and a stream that its caller already reads is cut.

use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use marjoram_core::buffer_budget::CompleteBody;
use marjoram_core::upstream::Instance;

use super::choose::Chosen;
use super::{Answer, Exchange};
use crate::proxy::attempt::StartedAnswer;
use crate::proxy::backlog::Claim;
use crate::proxy::failure::Failure;
use crate::proxy::refusal::Refusal;

/// Longest time for which an engine keeps a prompt that has been sent to another engine:
/// two that compute it cost others their places.
const MAX_OVERLAP: Duration = Duration::from_millis(300);

/// Time between checks of that.
const OVERLAP_INTERVAL: Duration = Duration::from_millis(20);

/// When the last send was begun, while it has no answer.
pub(super) type PendingSend = Rc<Cell<Option<Duration>>>;

/// How the wait for a silent upstream ended. `T` is what it sent.
pub enum Takeover<T> {
    /// It went on.
    WentOn(T),
    /// Another upstream has begun to answer; how the silent one had failed, if it had.
    Replaced(Answer, Option<T>),
    /// No other upstream has taken the request over; how the silent one has failed, if it
    /// has, and what the others answered.
    Failed(Option<T>, Result<Answer, Refusal>),
}

/// How the wait for the head of an answer ended.
pub(super) enum HeadOutcome {
    /// The upstream has answered or failed; the failure that another one has answered
    /// meanwhile, if it has.
    Received(Result<StartedAnswer, Failure>, Option<(StartedAnswer, CompleteBody)>),
    /// Another upstream has begun to answer; how this one had ended, if it had.
    Replaced(Answer, Option<Result<StartedAnswer, Failure>>),
}

/// What is known of the last send, kept while others are tried.
struct LastSend {
    claim: Option<Claim>,
    upstream: Option<Instance>,
    begun: Duration,
}

impl Exchange {
    /// Sends the request to other upstreams while `silent`, what the last one sends next,
    /// is awaited. `went_on` tells whether the silent one can be kept, and `takes_over`
    /// whether an answer replaces it. `resumed` is the last event that the caller has.
    ///
    /// Cancel safe as [`Exchange::open`]; the silent answer belongs to the caller.
    pub async fn open_other<T>(
        &mut self,
        silent: impl Future<Output = T>,
        went_on: impl Fn(&T) -> bool,
        takes_over: impl Fn(&Answer) -> bool,
        resumed: Option<u64>,
    ) -> Takeover<T> {
        let begun = self.begun;
        let last = LastSend { claim: self.claim.take(), upstream: self.last.clone(), begun };
        self.site.counters.count("request.upstream_silent");
        tracing::info!(target: "attempt", id = self.id(),
            upstream = last.upstream.as_ref().map(ToString::to_string),
            "upstream silent, asking another one");
        let mut silent = pin!(silent);
        let (ended, other) = {
            // Boxed, since the other send may be tried beside a further one.
            let mut other = Box::pin(self.open(resumed));
            tokio::select! {
                biased;
                sent = &mut silent => match went_on(&sent) {
                    true => (Some(sent), None),
                    false => (Some(sent), Some(other.await)),
                },
                answer = &mut other => (None, Some(answer)),
            }
        };
        match (ended, other) {
            (Some(sent), None) => {
                self.restore(last);
                self.site.counters.count("request.upstream_went_on");
                tracing::info!(target: "attempt", id = self.id(), "silent upstream has gone on");
                Takeover::WentOn(sent)
            }
            (ended, Some(Ok(answer))) if takes_over(&answer) => Takeover::Replaced(answer, ended),
            (ended, Some(other)) => {
                self.restore(last);
                Takeover::Failed(ended, other)
            }
            (None, None) => unreachable!("one of the two has ended"),
        }
    }

    /// Waits for the head of the answer to `sent`, which was begun at `begun`. If it does
    /// not come in time, the request is also sent to another upstream.
    pub(super) async fn wait_for_head(
        &mut self,
        chosen: &Chosen,
        begun: Duration,
        sent: impl Future<Output = Result<StartedAnswer, Failure>>,
        resumed: Option<u64>,
    ) -> HeadOutcome {
        let mut sent = Box::pin(sent);
        let end = chosen.begin_within.min(self.expires.saturating_sub(begun));
        let patience = self.first_byte_timeout(chosen.expected_wait).min(end);
        let soon = tokio::time::timeout_at(self.site.at(begun + patience), &mut sent).await;
        if let Ok(result) = soon {
            return HeadOutcome::Received(result, None);
        }
        let until = self.site.at(begun + end);
        let overlap_end = self.overlap_end();
        // Owns the send, so that its connection closes at the end also while another is awaited.
        let mut silent = pin!(async move {
            tokio::select! {
                biased;
                sent = sent => Some(sent),
                () = tokio::time::sleep_until(until) => None,
                () = overlap_end => None,
            }
        });
        let mut failed = None;
        if patience < end && self.may_send_elsewhere(chosen) {
            let went_on = |sent: &Option<Result<StartedAnswer, _>>| match sent {
                Some(Ok(opened)) => !opened.mark.not_run && !opened.is_failure(),
                Some(Err(_)) | None => false,
            };
            let takes_over = |answer: &Answer| matches!(answer, Answer::Open(..));
            let site = self.site.clone();
            let ended = |sent: Option<Result<_, _>>| {
                sent.unwrap_or_else(|| Err(Failure::TimedOut(site.now() - begun)))
            };
            match self.open_other(silent.as_mut(), went_on, takes_over, resumed).await {
                Takeover::Replaced(answer, sent) => {
                    return HeadOutcome::Replaced(answer, sent.map(ended));
                }
                Takeover::WentOn(sent) => return HeadOutcome::Received(ended(sent), None),
                Takeover::Failed(sent, other) => {
                    if let Ok(Answer::Failed(opened, body)) = other {
                        failed = Some((opened, body));
                    }
                    if let Some(sent) = sent {
                        return HeadOutcome::Received(ended(sent), failed);
                    }
                }
            }
        }
        let result = silent.await;
        let timed_out = || Err(Failure::TimedOut(self.site.now() - begun));
        HeadOutcome::Received(result.unwrap_or_else(timed_out), failed)
    }

    /// Completes once an engine that is silent has to give the prompt up, since another one
    /// that was sent it has not answered for [`MAX_OVERLAP`]; never for other requests.
    pub fn overlap_end(&self) -> impl Future<Output = ()> + 'static {
        self.pending_send.set(None);
        let (site, pending) = (self.site.clone(), self.pending_send.clone());
        let computes_prompt = self.request.asked.prompt.is_some();
        async move {
            if !computes_prompt {
                return std::future::pending().await;
            }
            while pending.get().is_none_or(|since| site.now() < since + MAX_OVERLAP) {
                tokio::time::sleep(OVERLAP_INTERVAL).await;
            }
        }
    }

    fn restore(&mut self, last: LastSend) {
        (self.claim, self.last, self.begun) = (last.claim, last.upstream, last.begun);
    }
}
