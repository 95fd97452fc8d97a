//! Admission of requests at this host: by the admission ratio in the answers of
//! quota coordinators, or by its own share of the quota if none answers.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use super::flow::Flow;
use super::ledger::{Allocation, DEMAND_SPAN, RECENT_SPAN, USUAL_SPAN, Usage};
use super::{ANSWER_SPAN, Limit, REPORT_INTERVAL};

/// Usual demand in units a second below which a workspace is not reported: that
/// of one request of ten units, half a minute ago.
const MIN_USUAL: f64 = 0.05;

/// A host that no coordinator answers keeps to its share not only in each window
/// but also in each span of a window divided by this number; else it could admit
/// at once what it left unused of a window. The first applies where it has
/// received a share, the second, stricter one where it has not.
const KNOWN_SHARE_DIVISOR: u32 = 2;
const UNKNOWN_SHARE_DIVISOR: u32 = 8;

/// Span in which a host that coordinators answer admits no more than its share of
/// the rate and of the burst: coordinators receive a report of what it admits
/// within half of that.
const SURGE_SPAN: Duration = Duration::from_secs(1);

/// Retry delay of callers that are refused while no coordinator answers.
const LOCAL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The decision on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It may be sent, and is charged to the quota.
    Admitted,
    /// It may not be sent; units are expected to be available after this time.
    Refused(Duration),
}

/// How requests are admitted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Mode {
    /// By the admission ratio of a coordinator.
    ByRatio(f64),
    /// No coordinator answers: by this share of the quota.
    ByShare(f64),
}

/// What was admitted within one [`REPORT_INTERVAL`].
#[derive(Debug, Clone, Copy)]
struct Slot {
    start: Duration,
    units: u64,
    /// Units of the largest request.
    largest: u64,
}

/// What this host admitted of one workspace's requests, and when.
#[derive(Debug, Clone, Default)]
struct Meter {
    demand: Flow,
    usual: Flow,
    /// Units admitted since the process started.
    admitted: i64,
    /// What was admitted within the last window.
    slots: VecDeque<Slot>,
    /// The last valid answer of each coordinator (by its hashed name), and when it
    /// was received.
    allocations: Vec<(u64, Allocation, Duration)>,
    /// The share of the quota to use while no coordinator answers, as last
    /// received.
    share: Option<f64>,
    /// The share of the quota that is due to this host by its usual demand.
    target_share: f64,
    /// The fraction of the burst that was left by the last answer.
    burst_left: f64,
    /// Requests refused since the process started.
    refused: u64,
    /// Whether the first request is checked like the others.
    checks_first: bool,
}

/// Decisions on one workspace's requests since this host's process started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Totals {
    /// Units admitted.
    pub admitted: i64,
    /// Requests refused.
    pub refused: u64,
}

/// Decides which requests of each workspace this host admits.
///
/// ```
/// use std::time::Duration;
/// use marjoram_core::quota::gate::{Admission, Gate};
/// use marjoram_core::quota::{Limit, Quota, Tolerance, Unit};
/// let quota = Quota { unit: Unit::Requests, rate: 10.0, burst: 10.0 };
/// let window = Duration::from_secs(8);
/// let limit = Limit { quota, tolerance: Tolerance { window, overage: 0.0, slack: 0.0 } };
/// // No coordinator answers one of two hosts: it keeps to half of what the rate allows in a second.
/// let (mut gate, now) = (Gate::new(), Duration::from_secs(20));
/// let admits = |_: &u32| gate.admit(7, 1, 0.5, &limit, 2, now) == Admission::Admitted;
/// assert_eq!((0..100u32).filter(admits).count(), 5);
/// ```
#[derive(Debug, Clone, Default)]
pub struct Gate {
    meters: HashMap<u64, Meter>,
}

impl Gate {
    /// A gate that has admitted nothing, for the start of the host's process.
    pub fn new() -> Self {
        Self::default()
    }

    /// Decides on a request of `workspace` at `now`, the time since this host's
    /// process started. `draw` is the request's random number, 0 to 1; `hosts` is
    /// the number of all hosts.
    pub fn admit(
        &mut self,
        workspace: u64,
        cost: u64,
        draw: f64,
        limit: &Limit,
        hosts: usize,
        now: Duration,
    ) -> Admission {
        let meter = self.meters.entry(workspace).or_default();
        meter.demand.add(cost as f64, DEMAND_SPAN, now);
        meter.usual.add(cost as f64, USUAL_SPAN, now);
        meter.expire(limit, now);
        let (passes, wait) = match meter.allocation(now) {
            Some(allocation) => {
                let wait = Duration::from_millis(u64::from(allocation.retry_after_ms));
                (
                    draw < f64::from(allocation.admission_ratio)
                        && meter.is_within_share(limit, now),
                    wait,
                )
            }
            // Admitted without a check: it triggers a first report to the coordinators.
            None if meter.is_new() => (true, LOCAL_RETRY_AFTER),
            None => {
                (draw * cost as f64 <= meter.remaining_units(limit, hosts, now), LOCAL_RETRY_AFTER)
            }
        };
        match passes {
            true => {
                meter.admit(cost, now);
                Admission::Admitted
            }
            false => {
                meter.refused += 1;
                Admission::Refused(wait)
            }
        }
    }

    /// From now on the first request of `workspace` is checked like the others.
    /// Without this, each host would admit one, however low the limit.
    pub fn check_first(&mut self, workspace: u64) {
        self.meters.entry(workspace).or_default().checks_first = true;
    }

    /// Whether no coordinator has ever answered for `workspace`.
    pub fn is_unknown(&self, workspace: u64) -> bool {
        self.meters.get(&workspace).is_none_or(|meter| meter.share.is_none())
    }

    /// Refunds the units of a request that was admitted and never ran.
    pub fn refund(&mut self, workspace: u64, cost: u64, now: Duration) {
        let Some(meter) = self.meters.get_mut(&workspace) else { return };
        meter.admitted -= cost as i64;
        meter.demand.add(-(cost as f64), DEMAND_SPAN, now);
        meter.usual.add(-(cost as f64), USUAL_SPAN, now);
        if let Some(slot) = meter.slots.back_mut() {
            slot.units = slot.units.saturating_sub(cost);
        }
    }

    /// Applies the answer of `coordinator` (its hashed name), received at `now`.
    pub fn apply(&mut self, coordinator: u64, allocation: Allocation, now: Duration) {
        let Some(meter) = self.meters.get_mut(&allocation.workspace) else { return };
        meter.share = Some(f64::from(allocation.share));
        meter.target_share = f64::from(allocation.target_share);
        meter.burst_left = f64::from(allocation.burst_left);
        meter.allocations.retain(|(from, _, at)| *from != coordinator && now < *at + ANSWER_SPAN);
        meter.allocations.push((coordinator, allocation, now));
    }

    /// Gives this host the fixed `share` of all quotas, where coordinators are not
    /// used.
    pub fn set_fixed_share(&mut self, share: f64) {
        for meter in self.meters.values_mut() {
            (meter.share, meter.target_share, meter.burst_left) = (Some(share), share, 1.0);
        }
    }

    /// The usage reports to send to the coordinators at `now`. `window` is the window
    /// of the quotas.
    pub fn usages(&self, window: Duration, now: Duration) -> Vec<Usage> {
        let usage = |(workspace, meter): (&u64, &Meter)| Usage {
            workspace: *workspace,
            demand: meter.demand.rate(DEMAND_SPAN, now) as f32,
            usual: meter.usual.rate(USUAL_SPAN, now) as f32,
            admitted: meter.admitted,
            admitted_in_window: meter.admitted_since(Duration::ZERO) as f32,
            admitted_recently: meter.admitted_since(now.saturating_sub(RECENT_SPAN)) as f32,
            share: meter.share.map(|share| share as f32),
            newly_started: now < window,
        };
        let all = self.meters.iter().map(usage);
        all.filter(|usage| f64::from(usage.usual) >= MIN_USUAL).collect()
    }

    /// How requests of `workspace` are admitted at `now`.
    pub fn mode(&self, workspace: u64, hosts: usize, now: Duration) -> Option<Mode> {
        let meter = self.meters.get(&workspace)?;
        Some(match meter.allocation(now) {
            Some(allocation) => Mode::ByRatio(f64::from(allocation.admission_ratio)),
            None => Mode::ByShare(meter.share(hosts)),
        })
    }

    /// Decisions on the requests of `workspace`.
    pub fn totals(&self, workspace: u64) -> Option<Totals> {
        self.meters.get(&workspace).map(Meter::totals)
    }

    /// Removes workspaces for which `keeps` is false, and returns the decisions on
    /// their requests.
    pub fn retain(&mut self, keeps: impl Fn(u64) -> bool) -> Vec<(u64, Totals)> {
        let removed = self.meters.extract_if(|workspace, _| !keeps(*workspace));
        removed.map(|(workspace, meter)| (workspace, meter.totals())).collect()
    }
}

impl Meter {
    fn totals(&self) -> Totals {
        Totals { admitted: self.admitted, refused: self.refused }
    }

    /// The answer with the lowest admission ratio among those still valid.
    fn allocation(&self, now: Duration) -> Option<&Allocation> {
        let valid = self.allocations.iter().filter(|(_, _, at)| now < *at + ANSWER_SPAN);
        valid
            .map(|(_, allocation, _)| allocation)
            .min_by(|a, b| a.admission_ratio.total_cmp(&b.admission_ratio))
    }

    /// Units that all hosts may admit beyond the rate, by the last answer.
    fn burst_units(&self, limit: &Limit) -> f64 {
        self.burst_left * (limit.quota.burst + limit.credit())
    }

    /// Whether the next request is the first one, and is admitted without a check.
    fn is_new(&self) -> bool {
        let unused = self.share.is_none() && self.admitted == 0 && self.refused == 0;
        unused && !self.checks_first
    }

    fn share(&self, hosts: usize) -> f64 {
        self.share.unwrap_or(1.0 / hosts.max(1) as f64)
    }

    /// Units that this host may still admit while no coordinator answers: no more
    /// than its share in a window, nor in a shorter span. Units beyond the rate are
    /// allowed only as far as the last answer left some of the burst: none where the
    /// workspace was limited, as they may be used up already. Without any answer
    /// only part of the tolerated overage is allowed beyond the rate.
    /// The caller admits a request that costs more than this with a probability, so
    /// that many hosts do not all overdraw their shares by one request.
    fn remaining_units(&self, limit: &Limit, hosts: usize, now: Duration) -> f64 {
        let window = limit.tolerance.window;
        let (burst_units, span) = match self.share {
            None => (limit.credit(), window / UNKNOWN_SHARE_DIVISOR),
            Some(_) => (self.burst_units(limit), window / KNOWN_SHARE_DIVISOR),
        };
        let remaining = |span: Duration| {
            let rate = limit.quota.rate * now.min(span).as_secs_f64();
            self.share(hosts) * (rate + burst_units) - self.admitted_since(now.saturating_sub(span))
        };
        remaining(window).min(remaining(span))
    }

    /// Units admitted since `since`, within the last window.
    fn admitted_since(&self, since: Duration) -> f64 {
        let slots = self.slots.iter().filter(|slot| slot.start >= since);
        slots.map(|slot| slot.units).sum::<u64>() as f64
    }

    /// Whether this host has admitted no more than its share of the rate and of
    /// the burst within [`SURGE_SPAN`]. Coordinators do not know of a load that
    /// rises many times over until it is reported, so it is limited to this
    /// host's share until they answer; one request may exceed the share.
    fn is_within_share(&self, limit: &Limit, now: Duration) -> bool {
        let allowed = limit.quota.rate * SURGE_SPAN.as_secs_f64() + self.burst_units(limit);
        let largest = self.slots.iter().map(|slot| slot.largest).max().unwrap_or_default();
        self.admitted_since(now.saturating_sub(SURGE_SPAN))
            <= self.target_share * allowed + largest as f64
    }

    /// Removes slots from before the last window.
    fn expire(&mut self, limit: &Limit, now: Duration) {
        let window = limit.tolerance.window;
        while self.slots.front().is_some_and(|slot| slot.start + window <= now) {
            self.slots.pop_front();
        }
    }

    fn admit(&mut self, cost: u64, now: Duration) {
        self.admitted += cost as i64;
        if self.slots.back().is_none_or(|slot| slot.start + REPORT_INTERVAL <= now) {
            self.slots.push_back(Slot { start: now, units: 0, largest: 0 });
        }
        if let Some(slot) = self.slots.back_mut() {
            slot.units += cost;
            slot.largest = slot.largest.max(cost);
        }
    }
}
