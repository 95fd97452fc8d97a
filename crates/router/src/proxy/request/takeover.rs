//! Tries other upstreams for a request whose upstream is silent, and keeps waiting for
//! the silent one.
//!
//! Load pattern: a sound upstream sends nothing for a second or two, and then goes on.
//! If its answer is given up before another upstream has begun one, a request that
//! would have been answered fails, and a stream that its caller already reads is cut.

use std::pin::{Pin, pin};
use std::time::Duration;

use bytes::BytesMut;
use marjoram_core::upstream::Instance;

use super::choose::Chosen;
use super::{Answer, Exchange};
use crate::proxy::attempt::StartedAnswer;
use crate::proxy::backlog::Claim;
use crate::proxy::failure::Failure;
use crate::proxy::refusal::Refusal;

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
pub(super) enum Head {
    /// The upstream has answered or failed; the failure that another one has answered
    /// meanwhile, if it has.
    Received(Result<StartedAnswer, Failure>, Option<(StartedAnswer, BytesMut)>),
    /// Another upstream has begun to answer; how this one had ended, if it had.
    Replaced(Answer, Option<Result<StartedAnswer, Failure>>),
}

/// What is known of the last send, kept while others are tried.
struct LastSend {
    claim: Option<Claim>,
    upstream: Option<Instance>,
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
        let last = LastSend { claim: self.claim.take(), upstream: self.last.clone() };
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
        mut sent: Pin<&mut impl Future<Output = Result<StartedAnswer, Failure>>>,
        resumed: Option<u64>,
    ) -> Head {
        let timed_out = |this: &Self| Err(Failure::TimedOut(this.site.now() - begun));
        let end = chosen.begin_within.min(self.expires.saturating_sub(begun));
        let patience = self.first_byte_timeout(chosen.expected_wait).min(end);
        let soon = tokio::time::timeout_at(self.site.at(begun + patience), &mut sent).await;
        if let Ok(result) = soon {
            return Head::Received(result, None);
        }
        let end = self.site.at(begun + end);
        let mut failed = None;
        if patience < end.duration_since(self.site.at(begun)) && self.may_send_elsewhere(chosen) {
            let silent = tokio::time::timeout_at(end, &mut sent);
            let went_on = |sent: &Result<Result<StartedAnswer, _>, _>| match sent {
                Ok(Ok(opened)) => !opened.mark.not_run,
                Ok(Err(_)) | Err(_) => false,
            };
            let takes_over = |answer: &Answer| matches!(answer, Answer::Open(..));
            let ended =
                |result: Result<_, _>| result.unwrap_or(Err(Failure::TimedOut(Duration::ZERO)));
            match self.open_other(silent, went_on, takes_over, resumed).await {
                Takeover::Replaced(answer, sent) => {
                    return Head::Replaced(answer, sent.map(ended));
                }
                Takeover::WentOn(sent) => return Head::Received(ended(sent), None),
                Takeover::Failed(sent, other) => {
                    if let Ok(Answer::Failed(opened, body)) = other {
                        failed = Some((opened, body));
                    }
                    if let Some(sent) = sent {
                        return Head::Received(ended(sent), failed);
                    }
                }
            }
        }
        let result = tokio::time::timeout_at(end, sent).await;
        Head::Received(result.unwrap_or_else(|_| timed_out(self)), failed)
    }

    fn restore(&mut self, last: LastSend) {
        (self.claim, self.last) = (last.claim, last.upstream);
    }
}
