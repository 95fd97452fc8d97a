//! Which requests this host admits, by what the accounts answer or by itself.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use super::flow::Flow;
use super::ledger::{DEMAND_SPAN, RECENT, USUAL_SPAN, Usage, Verdict};
use super::{ANSWER_SPAN, Limit, REPORT_INTERVAL};

/// Units a second below which a workspace is not reported: one request of ten
/// units, half a minute ago.
const MIN_USUAL: f64 = 0.05;

/// Parts of a window in which a host that no account answers admits no more than
/// its share either, what it did not use of a window would otherwise go at once:
/// where it knows its share, and where it does not.
const ALONE_PART: u32 = 2;
const UNKNOWN_PART: u32 = 8;

/// Span in which a host that is answered admits no more than its share and a
/// burst: accounts hear of it within half of that.
const STEADY_SPAN: Duration = Duration::from_secs(1);

/// How long after a refusal callers come back where no account answers.
const ALONE_WAIT: Duration = Duration::from_secs(1);

/// What becomes of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It may be sent; it counts against the quota.
    Admitted,
    /// It may not; credit is there again after this time.
    Refused(Duration),
}

/// By what requests are admitted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Mode {
    /// An account lets this part of them pass.
    Told(f64),
    /// No account answers: by this share of a window.
    Alone(f64),
}

/// What was admitted in [`REPORT_INTERVAL`].
#[derive(Debug, Clone, Copy)]
struct Slot {
    begun: Duration,
    units: u64,
    /// The largest request.
    largest: u64,
}

/// What this host admitted, and when.
#[derive(Debug, Clone, Default)]
struct Meter {
    demand: Flow,
    usual: Flow,
    admitted: i64,
    /// What was admitted lately.
    slots: VecDeque<Slot>,
    /// The answers of each account, and when they came.
    verdicts: Vec<(u64, Verdict, Duration)>,
    share: Option<f64>,
    /// The part of the quota that it is due by what it is usually asked.
    part: f64,
    /// The part of the burst that was left by the last answer.
    burst: f64,
    refused: u64,
}

/// What was decided of one workspace's requests since this host's start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Totals {
    /// Units admitted.
    pub admitted: i64,
    /// Requests refused.
    pub refused: u64,
}

/// Decides on the requests that reach this host.
///
/// ```
/// use std::time::Duration;
/// use marjoram_core::quota::gate::{Admission, Gate};
/// use marjoram_core::quota::{Limit, Quota, Tolerance, Unit};
/// let quota = Quota { unit: Unit::Requests, rate: 10.0, burst: 10.0 };
/// let window = Duration::from_secs(8);
/// let limit = Limit { quota, tolerance: Tolerance { window, overage: 0.0, slack: 0.0 } };
/// // No account answers one of two hosts: it keeps to half of what the rate gives in a second.
/// let (mut gate, now) = (Gate::new(), Duration::from_secs(20));
/// let admits = |_: &u32| gate.admit(7, 1, 0.5, &limit, 2, now) == Admission::Admitted;
/// assert_eq!((0..100u32).filter(admits).count(), 5);
/// ```
#[derive(Debug, Clone, Default)]
pub struct Gate {
    meters: HashMap<u64, Meter>,
}

impl Gate {
    /// Nothing admitted yet, at the start of the host's process.
    pub fn new() -> Self {
        Self::default()
    }

    /// Decides on a request of `workspace` at `now`, the time since this host's
    /// start; `draw` is the request's own number, 0 to 1. There are `hosts`.
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
        let (passes, wait) = match meter.verdict(now) {
            Some(verdict) => {
                let wait = Duration::from_millis(u64::from(verdict.wait));
                (draw < f64::from(verdict.pass) && meter.is_steady(limit, now), wait)
            }
            // The first request has the accounts asked.
            None if meter.is_new() => (true, ALONE_WAIT),
            None => (draw * cost as f64 <= meter.room(limit, hosts, now), ALONE_WAIT),
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

    /// Whether no account has ever answered for `workspace`.
    pub fn is_unknown(&self, workspace: u64) -> bool {
        self.meters.get(&workspace).is_none_or(|meter| meter.share.is_none())
    }

    /// Gives back what a request counted that was admitted and never ran.
    pub fn refund(&mut self, workspace: u64, cost: u64, now: Duration) {
        let Some(meter) = self.meters.get_mut(&workspace) else { return };
        meter.admitted -= cost as i64;
        meter.demand.add(-(cost as f64), DEMAND_SPAN, now);
        meter.usual.add(-(cost as f64), USUAL_SPAN, now);
        if let Some(slot) = meter.slots.back_mut() {
            slot.units = slot.units.saturating_sub(cost);
        }
    }

    /// Takes in what the account `account` answers at `now`.
    pub fn hear(&mut self, account: u64, verdict: Verdict, now: Duration) {
        let Some(meter) = self.meters.get_mut(&verdict.workspace) else { return };
        meter.share = Some(f64::from(verdict.share));
        meter.part = f64::from(verdict.part);
        meter.burst = f64::from(verdict.burst);
        meter.verdicts.retain(|(from, _, at)| *from != account && now < *at + ANSWER_SPAN);
        meter.verdicts.push((account, verdict, now));
    }

    /// Where nobody accounts: each host has `share` of all quotas.
    pub fn fix_shares(&mut self, share: f64) {
        for meter in self.meters.values_mut() {
            (meter.share, meter.part, meter.burst) = (Some(share), share, 1.0);
        }
    }

    /// What there is to report at `now`, where a quota's window is `window`.
    pub fn usages(&self, window: Duration, now: Duration) -> Vec<Usage> {
        let usage = |(workspace, meter): (&u64, &Meter)| Usage {
            workspace: *workspace,
            demand: meter.demand.rate(DEMAND_SPAN, now) as f32,
            usual: meter.usual.rate(USUAL_SPAN, now) as f32,
            admitted: meter.admitted,
            spent: meter.spent(Duration::ZERO) as f32,
            recent: meter.spent(now.saturating_sub(RECENT)) as f32,
            share: meter.share.map(|share| share as f32),
            young: now < window,
        };
        let all = self.meters.iter().map(usage);
        all.filter(|usage| f64::from(usage.usual) >= MIN_USUAL).collect()
    }

    /// By what requests of `workspace` are admitted at `now`.
    pub fn mode(&self, workspace: u64, hosts: usize, now: Duration) -> Option<Mode> {
        let meter = self.meters.get(&workspace)?;
        Some(match meter.verdict(now) {
            Some(verdict) => Mode::Told(f64::from(verdict.pass)),
            None => Mode::Alone(meter.share(hosts)),
        })
    }

    /// What was decided of the requests of `workspace`.
    pub fn totals(&self, workspace: u64) -> Option<Totals> {
        let meter = self.meters.get(&workspace)?;
        Some(Totals { admitted: meter.admitted, refused: meter.refused })
    }

    /// Forgets workspaces that `keeps` does not hold.
    pub fn retain(&mut self, keeps: impl Fn(u64) -> bool) {
        self.meters.retain(|workspace, _| keeps(*workspace));
    }
}

impl Meter {
    /// The strictest answer that still holds.
    fn verdict(&self, now: Duration) -> Option<&Verdict> {
        let held = self.verdicts.iter().filter(|(_, _, at)| now < *at + ANSWER_SPAN);
        held.map(|(_, verdict, _)| verdict).min_by(|a, b| a.pass.total_cmp(&b.pass))
    }

    /// What all hosts may admit beyond the rate, by the last answer.
    fn beyond(&self, limit: &Limit) -> f64 {
        self.burst * (limit.quota.burst + limit.credit())
    }

    /// Whether nothing was decided yet.
    fn is_new(&self) -> bool {
        self.share.is_none() && self.admitted == 0 && self.refused == 0
    }

    fn share(&self, hosts: usize) -> f64 {
        self.share.unwrap_or(1.0 / hosts.max(1) as f64)
    }

    /// Units that this host may still admit by itself: neither a window nor a short
    /// span holds more than its share. What they hold beyond the rate may be used
    /// up already where the workspace was limited, or is not known. A request that
    /// is larger passes by chance, so that many hosts do not all overdraw theirs.
    fn room(&self, limit: &Limit, hosts: usize, now: Duration) -> f64 {
        let window = limit.tolerance.window;
        let (beyond, span) = match self.share {
            None => (limit.credit(), window / UNKNOWN_PART),
            Some(_) => (self.beyond(limit), window / ALONE_PART),
        };
        let room = |span: Duration| {
            let rate = limit.quota.rate * now.min(span).as_secs_f64();
            self.share(hosts) * (rate + beyond) - self.spent(now.saturating_sub(span))
        };
        room(window).min(room(span))
    }

    /// Units admitted since `since`, within the last window.
    fn spent(&self, since: Duration) -> f64 {
        let slots = self.slots.iter().filter(|slot| slot.begun >= since);
        slots.map(|slot| slot.units).sum::<u64>() as f64
    }

    /// Whether what was admitted last is what the accounts can know of: a load
    /// that rises many times over is held at this host's share until they
    /// answer, but for one request that is larger.
    fn is_steady(&self, limit: &Limit, now: Duration) -> bool {
        let held = limit.quota.rate * STEADY_SPAN.as_secs_f64() + self.beyond(limit);
        let largest = self.slots.iter().map(|slot| slot.largest).max().unwrap_or_default();
        self.spent(now.saturating_sub(STEADY_SPAN)) <= self.part * held + largest as f64
    }

    /// Forgets what was admitted before the last window.
    fn expire(&mut self, limit: &Limit, now: Duration) {
        let window = limit.tolerance.window;
        while self.slots.front().is_some_and(|slot| slot.begun + window <= now) {
            self.slots.pop_front();
        }
    }

    fn admit(&mut self, cost: u64, now: Duration) {
        self.admitted += cost as i64;
        if self.slots.back().is_none_or(|slot| slot.begun + REPORT_INTERVAL <= now) {
            self.slots.push_back(Slot { begun: now, units: 0, largest: 0 });
        }
        if let Some(slot) = self.slots.back_mut() {
            slot.units += cost;
            slot.largest = slot.largest.max(cost);
        }
    }
}
