//! What a request tells of crashes that it was in flight at, and whether it is held back
//! or refused because of them.

use std::rc::Rc;
use std::time::Duration;

use marjoram_core::poison::BrokenRequest;
use xxhash_rust::xxh3::xxh3_64;

use super::Exchange;
use crate::proxy::attempt::StartedAnswer;
use crate::proxy::failure::Failure;
use crate::proxy::fleet::Upstream;
use crate::proxy::poison;
use crate::proxy::refusal::{QUARANTINED, Refusal};

impl Exchange {
    /// Records that the answer with `status` was complete, so that the request, and after
    /// a success the parts of its prompt, are no longer suspected of earlier crashes.
    pub fn record_completion(&self, status: u16) {
        let now = self.site.now();
        self.site.poison.record_completion(self.fingerprint, now);
        if (200..300).contains(&status) && !self.parts.is_empty() {
            let begun = now.saturating_sub(self.begun);
            poison::record_prompt_completion(&self.site, &self.parts, begun);
        }
    }

    /// Records that an answer which had begun was cut off.
    pub fn record_broken_answer(&mut self, opened: &StartedAnswer, failure: &Failure) {
        self.claim = None;
        self.record_replaced_answer(opened, failure);
    }

    /// The same, where another upstream has already taken the request over.
    pub fn record_replaced_answer(&mut self, opened: &StartedAnswer, failure: &Failure) {
        let upstream = &opened.upstream;
        upstream.record_failure(failure, self.site.now());
        self.site.counters.count("upstream.broken");
        tracing::warn!(target: "attempt", id = self.id(), upstream = %upstream.life, %failure,
            fingerprint = %self.fingerprint, sends = self.sends, "answer cut off by upstream");
        let ran = self.site.now().saturating_sub(opened.begun);
        self.check_for_crash(upstream, failure, Some(ran));
    }

    /// Records that a send to `upstream` failed, and has the upstream checked for a
    /// crash. `ran` is how long the answer had been running, `None` if it had not
    /// begun.
    pub(super) fn check_for_crash(
        &mut self,
        upstream: &Rc<Upstream>,
        failure: &Failure,
        ran: Option<Duration>,
    ) {
        let id = self.request.asked.attempt.as_ref().map(|id| xxh3_64(id.as_bytes()));
        let request = BrokenRequest {
            request: self.fingerprint,
            attempt: id.unwrap_or_else(rand::random),
            ran,
            sent_at: self.sent_at.get(),
            parts: self.parts.clone(),
        };
        let may_have_crashed = poison::record_failed_send(&self.site, upstream, failure, request);
        if may_have_crashed {
            tracing::info!(target: "poison", id = self.id(), fingerprint = %self.fingerprint,
                upstream = %upstream.life,
                parts = self.request.asked.prompt.as_ref().map(|p| p.shared_ids()),
                "upstream closed the connection of this request");
        }
        self.crashed |= may_have_crashed;
    }

    /// Whether the request waits until the crashes at which it was in flight are
    /// analysed.
    pub(super) fn is_withheld(&self) -> bool {
        let poison = &self.site.poison;
        poison.is_withheld(self.fingerprint) || poison.are_withheld(&self.parts, self.site.now())
    }

    /// Logs and counts, once, that the request waits until the crashes at which it
    /// was in flight are analysed.
    pub(super) fn note_withheld(&self) {
        if !self.withheld.replace(true) {
            self.site.counters.count("poison.withheld");
            tracing::info!(target: "poison", id = self.id(), fingerprint = %self.fingerprint,
                sends = self.sends, "waits until crashes at which it was in flight are analysed");
        }
    }

    /// Refuses a request that is in quarantine, or whose prompt has parts that are.
    pub(super) fn check_quarantine(&self) -> Result<(), Refusal> {
        let left = poison::refused_for(&self.site, self.fingerprint, &self.parts, self.id());
        match (left, self.may_have_run()) {
            (None, _) => Ok(()),
            (Some(_), true) => Err(Refusal::with_status(502, QUARANTINED)),
            (Some(left), false) => Err(Refusal::quarantined(left)),
        }
    }
}
