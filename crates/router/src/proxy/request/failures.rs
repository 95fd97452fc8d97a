//! Records sends without an answer in the state of the request and in the upstream's
//! health.

use std::rc::Rc;
use std::time::Duration;

use super::Exchange;
use crate::paths::ConnectError;
use crate::proxy::attempt::StartedAnswer;
use crate::proxy::failure::Failure;
use crate::proxy::fleet::Upstream;
use crate::proxy::{brittle, rate_limits};

impl Exchange {
    /// Records how the send to a silent `upstream` ended whose request another one has
    /// taken over.
    pub(super) fn record_replaced_send(
        &mut self,
        upstream: &Rc<Upstream>,
        ended: Option<Result<StartedAnswer, Failure>>,
        begun: Duration,
    ) {
        let now = self.site.now();
        match ended.unwrap_or(Err(Failure::TimedOut(now - begun))) {
            Ok(refused) if refused.mark.not_run => {
                self.log_refusal(&refused);
                self.possible_runs -= 1;
                brittle::record_rejection(&self.site, upstream);
                refused.finish(now);
            }
            Ok(failed) => drop(failed),
            Err(Failure::Unreachable(why)) => self.record_unreachable(upstream, &why),
            Err(failure) => self.record_failed_send(upstream, &failure),
        }
    }

    /// Records that no connection to `upstream` could be opened, so that nothing was sent.
    pub(super) fn record_unreachable(&mut self, upstream: &Rc<Upstream>, why: &ConnectError) {
        self.possible_runs -= 1;
        self.sends -= 1;
        self.failed_connects += 1;
        self.tried.retain(|life| *life != upstream.life);
        self.unreachable.push(upstream.life.clone());
        upstream.mark_down(why, self.site.now());
        rate_limits::refund(&self.site, upstream);
        self.site.counters.count("upstream.unreachable");
        tracing::warn!(target: "attempt", id = self.id(), upstream = %upstream.life, %why,
            "upstream unreachable");
    }

    /// Records that a send to `upstream` got no answer.
    pub(super) fn record_failed_send(&mut self, upstream: &Rc<Upstream>, failure: &Failure) {
        upstream.record_failure(failure, self.site.now());
        self.site.counters.count("upstream.broken");
        tracing::warn!(target: "attempt", id = self.id(), upstream = %upstream.life,
            %failure, fingerprint = %self.fingerprint, sends = self.sends,
            "no answer from upstream");
        self.check_for_crash(upstream, failure, None);
    }
}
