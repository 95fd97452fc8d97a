//! Keeps the choice of an upstream within the rate limits that upstreams state.

use std::time::Duration;

use marjoram_core::quota::gate::Admission;
use marjoram_core::upstream::Instance;
use xxhash_rust::xxh3::xxh3_64;

use super::Exchange;
use super::choose::Chosen;
use crate::proxy::refusal::Refusal;
use crate::proxy::site::SlotWait;
use crate::proxy::{rate_limits, slot_leases};

/// Upstreams whose rate limits are tried for one send. After that only upstreams
/// without a limit are, so that a choice stays cheap where most have one.
const MAX_DENIALS: usize = 4;

/// Divisor of the caller's time limit: a request waits for room at a brittle upstream
/// for at most that fraction of it.
const MAX_BRITTLE_WAIT_DIVISOR: u32 = 4;

/// Upstreams to which a send was denied because of their rate limits. They are not
/// asked again while the request waits, as each time would count as demand.
#[derive(Default)]
pub struct Denials {
    upstreams: Vec<Instance>,
    /// After which time one of them is expected to allow a request.
    retry: Option<Duration>,
}

impl Denials {
    fn add(&mut self, upstream: &Instance, retry: Duration) {
        self.upstreams.push(upstream.clone());
        self.retry = Some(self.retry.map_or(retry, |known| known.min(retry)));
    }
}

impl Exchange {
    /// Selects the upstream for the next send and counts the send towards its rate
    /// limit; `None` if the request has to wait at the router. Upstreams to which
    /// this host may not send it are passed over.
    pub(super) fn choose_within_limits(&self, resumed: bool) -> Result<Option<Chosen>, Refusal> {
        if slot_leases::awaits_probe(&self.site, &self.service) {
            return Ok(None);
        }
        let mut denials = self.denials.borrow_mut();
        let brittle = slot_leases::withheld(&self.site, &self.service);
        loop {
            let excluded = [&denials.upstreams[..], &brittle].concat();
            let chosen = match (self.choose(resumed, &excluded), denials.retry) {
                (Err(_), Some(retry)) => return Err(self.refuse_over_limits(retry)),
                (Err(_), _) if !brittle.is_empty() && self.may_wait_for_brittle() => {
                    let mut wait = self.slot_wait.borrow_mut();
                    wait.get_or_insert_with(|| {
                        SlotWait::new(&self.site, xxh3_64(self.service.as_bytes()))
                    });
                    return Ok(None);
                }
                (Err(_), _) if !brittle.is_empty() => {
                    return Err(self.give_up("brittle upstreams are full"));
                }
                (chosen, _) => chosen?,
            };
            if self.must_wait(&chosen) || (!resumed && self.lacks_room(&chosen)) {
                return Ok(None);
            }
            if !self.has_memory(&chosen.upstream) {
                return Err(self.give_up("no engine has memory for it"));
            }
            if self.sends > 0 && !self.site.might_repeat(&self.service) {
                return Err(self.give_up("repeat budget used up"));
            }
            match rate_limits::admit(&self.site, &chosen.upstream, self.id()) {
                Admission::Admitted => {
                    self.slot_wait.take();
                    return Ok(Some(chosen));
                }
                Admission::Refused(retry) => denials.add(&chosen.upstream.life, retry),
            }
            if denials.upstreams.len() >= MAX_DENIALS {
                let service = self.site.fleet.service(&self.service);
                let limited = service.iter().filter(|u| u.conditions.borrow().limit().is_some());
                denials.upstreams.extend(limited.map(|u| u.life.clone()));
            }
        }
    }

    /// Whether a request that finds all brittle upstreams full waits for room: until its
    /// target, as long as most of its time is left.
    fn may_wait_for_brittle(&self) -> bool {
        let limit = self.expires.saturating_sub(self.request.started);
        let wait = self.route.target.min(limit / MAX_BRITTLE_WAIT_DIVISOR);
        self.site.now() < self.request.started + wait
    }

    /// The refusal of a request that no upstream takes because of its rate limit.
    /// One more request is expected to be allowed after `retry`.
    fn refuse_over_limits(&self, retry: Duration) -> Refusal {
        self.site.counters.count("request.limits_reached");
        self.give_up_until("rate limits of the upstreams reached", retry)
    }
}
