//! The quota account of one workspace, as its quota coordinator keeps it.
//!
//! A token bucket for all reachable hosts together, plus one entry for each
//! host that reports. From the reports it computes the admission ratio (the
//! same for all hosts) and the share of the quota that each host may use when
//! no coordinator answers it.

use std::collections::HashMap;
use std::time::Duration;

use super::{AccountStatus, Allocation, DEMAND_SPAN, Hosts, Sender, USUAL_SPAN, Usage};
use crate::quota::flow::Flow;
use crate::quota::{ANSWER_SPAN, Limit};

/// Time over which a full bucket is spent or an overdraft is worked off: four
/// report intervals.
const CORRECTION_TIME: Duration = Duration::from_secs(1);

/// Demand that is added to the usual demand of all hosts, in equal parts, as a
/// fraction of the quota's rate, before shares are computed in proportion to
/// demand. It is what gives a host with little recent demand a share.
const EQUAL_PART: f64 = 0.5;

/// The short span over which hosts report what they admitted, in addition to the
/// whole window: it shows what was admitted in one burst.
pub(in crate::quota) const RECENT_SPAN: Duration = Duration::from_secs(2);

/// Longest time for which the last report of a host is extrapolated. By then the
/// next report has arrived, or the host is known to be unreachable.
const EXTRAPOLATION_MAX: Duration = Duration::from_secs(2);

/// Time within which every host has reported to a new account: eight report
/// intervals.
const REPORT_ROUND: Duration = Duration::from_secs(2);

/// How long the entry of a reachable host is kept after its last report: six
/// times [`USUAL_SPAN`], when its usual demand has decayed to almost nothing.
const ENTRY_TTL: Duration = Duration::from_secs(60);

/// Bounds of the retry delay that refused callers are given. The lower one is two
/// report intervals.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(500);
const RETRY_AFTER_MAX: Duration = Duration::from_secs(8);

/// The state of one host in an account.
#[derive(Debug, Clone, Copy)]
struct HostEntry {
    incarnation: u64,
    /// Units admitted since the host's process started, as last reported.
    admitted: i64,
    demand: Flow,
    usual: Flow,
    reported_at: Duration,
    /// The share that the host used when it last reported; `None` if it had not
    /// received one.
    reported_share: Option<f64>,
    /// The last two shares sent to the host. It may be using either, as the answer
    /// with the newer one may be late or lost.
    sent_shares: [f64; 2],
    /// The share that the next answer carries.
    share: f64,
    /// The share that is due to the host by its usual demand.
    target_share: f64,
    /// The account's admission ratio and remaining part of the burst when the
    /// host was last answered.
    admission_ratio: f64,
    burst_left: f64,
    /// Units of the burst reserved for the host while it is unreachable.
    reserved_burst: f64,
    /// Whether the host is unreachable.
    unreachable: bool,
    /// Whether it has been unreachable at any time since its last report.
    was_unreachable: bool,
    /// Units admitted within the last window and within [`RECENT_SPAN`], according to
    /// its first report.
    initial_window: f64,
    initial_recent: f64,
    /// Whether it had run for less than a window at its first report.
    newly_started: bool,
}

/// The account of one workspace.
#[derive(Debug, Clone, Default)]
pub(super) struct Account {
    /// Units that the reachable hosts may spend; negative when overdrawn.
    level: f64,
    updated_at: Option<Duration>,
    /// When the account was first updated.
    created_at: Duration,
    /// Units that the hosts had spent beyond the rate before the account existed.
    initial_debt: f64,
    entries: HashMap<u64, HostEntry>,
    /// What hosts that became reachable again within the last [`REPORT_ROUND`]
    /// admitted beyond their shares, and when the last of them reported.
    reconnect_excess: Excess,
    reconnected_at: Duration,
    /// The quota's rate, in units a second.
    rate: f64,
    /// The fraction of the quota reserved for unreachable hosts.
    reserved: f64,
    /// The share of each host if all have the same.
    even_share: f64,
    /// Usual demand of all hosts, including the equal part, and the equal part
    /// of one host, both in units a second.
    total_usual: f64,
    equal_usual: f64,
    admission_ratio: f64,
    burst_left: f64,
    retry_after: Duration,
}

/// Units that hosts admitted beyond what the rate allows, in a window and in
/// [`RECENT_SPAN`].
#[derive(Debug, Clone, Copy, Default)]
struct Excess {
    window: f64,
    recent: f64,
}

impl Excess {
    fn plus(self, other: Self) -> Self {
        Self { window: self.window + other.window, recent: self.recent + other.recent }
    }

    /// Units by which a bucket would be overdrawn.
    fn units(self) -> f64 {
        self.window.max(self.recent).max(0.0)
    }
}

impl Account {
    /// Applies a usage report that was received at `now`: charges what the host
    /// admitted since its last one and replaces its entry.
    pub(super) fn report(&mut self, sender: Sender, usage: &Usage, now: Duration) {
        let previous = self.entries.get(&sender.host).copied();
        if let Some(previous) = &previous {
            let before = if previous.incarnation == sender.life { previous.admitted } else { 0 };
            let admitted = (usage.admitted - before) as f64;
            match previous.was_unreachable {
                true => self.charge_reconnected(
                    previous,
                    admitted,
                    f64::from(usage.admitted_recently),
                    now,
                ),
                false => self.level -= admitted,
            }
        }
        let reported_share = usage.share.map(f64::from);
        let entry = HostEntry {
            incarnation: sender.life,
            admitted: usage.admitted,
            demand: Flow::new(f64::from(usage.demand), now),
            usual: Flow::new(f64::from(usage.usual), now),
            reported_at: now,
            reported_share,
            sent_shares: previous.map_or([0.0; 2], |entry| entry.sent_shares),
            share: previous.map_or(reported_share.unwrap_or(self.even_share), |entry| entry.share),
            target_share: proportional_share(
                f64::from(usage.usual),
                self.total_usual,
                self.equal_usual,
            ),
            admission_ratio: self.admission_ratio,
            burst_left: self.burst_left,
            reserved_burst: 0.0,
            unreachable: false,
            was_unreachable: false,
            initial_window: previous
                .map_or(f64::from(usage.admitted_in_window), |entry| entry.initial_window),
            initial_recent: previous
                .map_or(f64::from(usage.admitted_recently), |entry| entry.initial_recent),
            newly_started: previous.map_or(usage.newly_started, |entry| entry.newly_started),
        };
        self.entries.insert(sender.host, entry);
    }

    /// What `host` may admit of the requests of `workspace`, as computed by the last
    /// update; `None` before the first update or for a host that has not reported.
    pub(super) fn allocation(&mut self, workspace: u64, host: u64) -> Option<Allocation> {
        self.updated_at?;
        let entry = self.entries.get_mut(&host)?;
        entry.sent_shares = [entry.sent_shares[1], entry.share];
        Some(Allocation {
            workspace,
            admission_ratio: self.admission_ratio as f32,
            share: entry.share as f32,
            target_share: entry.target_share as f32,
            burst_left: self.burst_left as f32,
            retry_after_ms: self.retry_after.as_millis() as u32,
        })
    }

    /// The state of the account at `now`.
    pub(super) fn status(&self, now: Duration) -> AccountStatus {
        AccountStatus {
            admission_ratio: self.admission_ratio,
            level: self.level,
            demand: self.demand(now),
            reserved: self.reserved,
            reporting: self.entries.values().filter(|entry| !entry.unreachable).count(),
        }
    }

    /// Whether the account has been updated since it was created.
    pub(super) fn is_initialized(&self) -> bool {
        self.updated_at.is_some()
    }

    /// Whether the account has no entry of any host.
    pub(super) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Whether all hosts have ceased to report here. They report to other
    /// coordinators then, and what they admit is no longer known.
    fn is_abandoned(&self, now: Duration) -> bool {
        self.entries.values().all(|entry| now >= entry.reported_at + REPORT_ROUND)
    }

    /// Advances the account to `now`: refills the bucket, reserves the shares of
    /// unreachable hosts, and computes the admission ratio, the remaining burst
    /// and the retry delay that answers carry until the next update.
    pub(super) fn advance(&mut self, limit: &Limit, hosts: &Hosts, now: Duration) {
        if self.is_abandoned(now) {
            *self = Self::default();
        }
        self.entries.retain(|_, entry| entry.unreachable || now < entry.reported_at + ENTRY_TTL);
        let even_share = self.even_share;
        for (host, entry) in &mut self.entries {
            entry.unreachable =
                hosts.unreachable.contains(host) && now >= entry.reported_at + ANSWER_SPAN;
            if entry.unreachable && !entry.was_unreachable {
                // It has admitted requests since its last report, and may use its
                // share of the burst.
                let span = now.saturating_sub(entry.reported_at).as_secs_f64();
                entry.reserved_burst =
                    entry.max_share(even_share) * entry.burst_left * limit.quota.burst;
                self.level -=
                    entry.max_share(even_share) * limit.quota.rate * span + entry.reserved_burst;
                entry.was_unreachable = true;
            }
        }
        self.rate = limit.quota.rate;
        self.reserved = self.assign_shares(hosts, now);
        let unreserved = 1.0 - self.reserved;
        let rate = limit.quota.rate * unreserved;
        let span = now.saturating_sub(self.updated_at.unwrap_or(now)).as_secs_f64();
        // An overdraft older than a window no longer counts.
        let lowest = -rate * limit.tolerance.window.as_secs_f64();
        if !hosts.can_coordinate() {
            // Most hosts are unreachable, and what they admit is not known.
            *self = Self::default();
            return;
        }
        if self.updated_at.is_none() {
            // The whole credit may have been used before the account existed.
            self.level = -limit.credit();
            self.created_at = now;
        }
        if now < self.created_at + REPORT_ROUND {
            let debt = self.compute_initial_debt(limit, hosts);
            self.level -= debt - self.initial_debt;
            self.initial_debt = debt;
        }
        self.level = (self.level + rate * span).clamp(lowest, limit.quota.burst * unreserved);
        self.updated_at = Some(now);
        let reachable = self.entries.values().filter(|entry| !entry.unreachable);
        let unreported: f64 = reachable.map(|entry| entry.admitted_since_report(now)).sum();
        let left = self.level - unreported + limit.credit() * unreserved;
        let spend = (rate + left / CORRECTION_TIME.as_secs_f64()).max(0.0);
        let demand = self.demand(now);
        self.admission_ratio = if demand > spend { spend / demand } else { 1.0 };
        let capacity = (limit.quota.burst * unreserved).max(f64::MIN_POSITIVE);
        let burst_left = ((self.level - unreported) / capacity).clamp(0.0, 1.0);
        self.burst_left = if demand > spend { 0.0 } else { burst_left };
        let refill = Duration::try_from_secs_f64(-left / rate.max(f64::MIN_POSITIVE));
        self.retry_after = refill.unwrap_or_default().clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX);
    }

    /// Charges what a host admitted while it was unreachable, beyond the share
    /// that was reserved for it. What it left unused is not credited, as a full
    /// bucket gains nothing, except against the excess of other hosts that become
    /// reachable again within the same [`REPORT_ROUND`].
    fn charge_reconnected(&mut self, entry: &HostEntry, admitted: f64, recent: f64, now: Duration) {
        if now >= self.reconnected_at + REPORT_ROUND {
            self.reconnect_excess = Excess::default();
        }
        let (span, rate) =
            (now.saturating_sub(entry.reported_at), entry.max_share(self.even_share) * self.rate);
        let excess = Excess {
            window: self.reconnect_excess.window + admitted
                - rate * span.as_secs_f64()
                - entry.reserved_burst,
            recent: self.reconnect_excess.recent + recent
                - rate * RECENT_SPAN.min(span).as_secs_f64()
                - entry.reserved_burst,
        };
        self.level -= excess.units() - self.reconnect_excess.units();
        (self.reconnect_excess, self.reconnected_at) = (excess, now);
    }

    /// Units that the hosts that have reported spent before their first reports,
    /// beyond their even shares of a window or of [`RECENT_SPAN`], whichever is
    /// exceeded by more. Negative, down to the whole credit, if they spent less.
    fn compute_initial_debt(&self, limit: &Limit, hosts: &Hosts) -> f64 {
        let burst = limit.quota.burst + limit.credit();
        let allowed = |span: Duration| {
            (limit.quota.rate * span.as_secs_f64() + burst) / hosts.count().max(1) as f64
        };
        let (window, recent) = (allowed(limit.tolerance.window), allowed(RECENT_SPAN));
        // A host that has just started does not know what it admitted before its
        // restart, so what it seems to have left unused is not credited.
        let lowest = |entry: &HostEntry| if entry.newly_started { 0.0 } else { f64::NEG_INFINITY };
        let excess = |entry: &HostEntry| Excess {
            window: (entry.initial_window - window).max(lowest(entry)),
            recent: (entry.initial_recent - recent).max(lowest(entry)),
        };
        let all = self.entries.values().map(excess).fold(Excess::default(), Excess::plus);
        all.window.max(all.recent).max(-limit.credit())
    }

    /// Demand of the reachable hosts, in units a second.
    fn demand(&self, now: Duration) -> f64 {
        let reachable = self.entries.values().filter(|entry| !entry.unreachable);
        reachable.map(|entry| entry.demand_at(now)).sum()
    }

    /// Divides the quota among the reachable hosts in proportion to their usual
    /// demand, and returns the fraction that unreachable hosts may be using.
    ///
    /// All shares together never exceed the quota, whichever hosts are cut off and
    /// at whatever moment: a share is raised only by what other hosts have given
    /// up according to their reports.
    fn assign_shares(&mut self, hosts: &Hosts, now: Duration) -> f64 {
        self.even_share = 1.0 / hosts.count().max(1) as f64;
        self.equal_usual = EQUAL_PART * self.rate * self.even_share;
        self.total_usual = self.entries.values().map(|entry| entry.usual_at(now)).sum::<f64>()
            + EQUAL_PART * self.rate;
        let (total, equal, even) = (self.total_usual, self.equal_usual, self.even_share);
        let unassigned = (1.0
            - self.total_share(false)
            - self.total_share(true)
            - self.unreported_share(hosts, now))
        .max(0.0);
        let without_entry =
            hosts.unreachable.iter().filter(|host| !self.entries.contains_key(host)).count();
        // The shares of unreachable hosts without an entry are not known: they are
        // assumed to use all that no other host uses, and at least even shares.
        let unknown =
            if without_entry > 0 { unassigned.max(without_entry as f64 * even) } else { 0.0 };
        let free = if without_entry > 0 { 0.0 } else { unassigned };
        let target = |entry: &HostEntry| proportional_share(entry.usual_at(now), total, equal);
        let reachable = self.entries.values().filter(|entry| !entry.unreachable);
        let shortfall: f64 =
            reachable.map(|entry| (target(entry) - entry.max_share(even)).max(0.0)).sum();
        let granted = if shortfall > free { free / shortfall } else { 1.0 };
        for entry in self.entries.values_mut().filter(|entry| !entry.unreachable) {
            let (target, current) = (target(entry), entry.max_share(even));
            entry.share = target.min(current) + granted * (target - current).max(0.0);
            entry.target_share = target;
        }
        (self.total_share(true) + unknown).min(1.0)
    }

    /// The largest fraction of the quota that the hosts with an entry may be
    /// using: either the unreachable ones or the reachable ones.
    fn total_share(&self, unreachable: bool) -> f64 {
        let entries = self.entries.values().filter(|entry| entry.unreachable == unreachable);
        entries.map(|entry| entry.max_share(self.even_share)).sum()
    }

    /// The fraction of the quota that reachable hosts without a report may be
    /// using. They have had no demand, unless the account is new.
    fn unreported_share(&self, hosts: &Hosts, now: Duration) -> f64 {
        let reported = self.entries.values().filter(|entry| !entry.unreachable).count();
        let is_new = self.updated_at.is_none() || now < self.created_at + REPORT_ROUND;
        let each = if is_new {
            self.even_share
        } else {
            proportional_share(0.0, self.total_usual, self.equal_usual)
        };
        hosts.reachable.saturating_sub(reported) as f64 * each
    }
}

/// The share that is due to a host with the usual demand `own`, where all hosts
/// together have `total` and each has `equal` added to its own.
fn proportional_share(own: f64, total: f64, equal: f64) -> f64 {
    match total {
        total if total > 0.0 => ((own + equal) / total).min(1.0),
        _ => 0.0,
    }
}

impl HostEntry {
    /// The largest share that the host may be using: the one it reported, or one
    /// of the last two sent to it. A host that has received none uses the `even`
    /// one.
    fn max_share(&self, even: f64) -> f64 {
        self.sent_shares.iter().copied().fold(self.reported_share.unwrap_or(even), f64::max)
    }

    /// The host's demand: constant as reported for [`EXTRAPOLATION_MAX`], decaying
    /// after that.
    fn demand_at(&self, now: Duration) -> f64 {
        self.demand.rate(DEMAND_SPAN, now.saturating_sub(EXTRAPOLATION_MAX).max(self.reported_at))
    }

    /// Estimate of the units admitted since the host's last report: its demand
    /// then, times the admission ratio that it was last sent.
    fn admitted_since_report(&self, now: Duration) -> f64 {
        let span = now.saturating_sub(self.reported_at).min(EXTRAPOLATION_MAX).as_secs_f64();
        self.demand.rate(DEMAND_SPAN, self.reported_at) * self.admission_ratio * span
    }

    /// The host's usual demand; for an unreachable host as last reported.
    fn usual_at(&self, now: Duration) -> f64 {
        let now = if self.unreachable { self.reported_at } else { now };
        self.usual.rate(USUAL_SPAN, now)
    }
}
