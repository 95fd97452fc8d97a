//! One workspace's account.

use std::collections::HashMap;
use std::time::Duration;

use super::{DEMAND_SPAN, Hosts, Sender, Standing, USUAL_SPAN, Usage, Verdict};
use crate::quota::flow::Flow;
use crate::quota::{ANSWER_SPAN, Limit};

/// Time in which a full bucket is spent, or an overdrawn one refilled.
const SETTLE: Duration = Duration::from_secs(1);

/// Part of the quota's rate that is shared equally, whatever is asked: the
/// share of a host of which little was asked lately.
const EQUAL_PART: f64 = 0.5;

/// Span that shows what was admitted at once, with a window.
pub(in crate::quota) const RECENT: Duration = Duration::from_secs(2);

/// Longest time for which a host whose reports are missed is taken to go on: by
/// then it is reported anew, or known to be silent.
const MISSED: Duration = Duration::from_secs(2);

/// Time in which all hosts report to a new account.
const OPENING: Duration = Duration::from_secs(2);

/// How long a line is kept of a host that reports nothing.
const IDLE: Duration = Duration::from_secs(60);

/// Bounds of the time after which callers are told to come back.
const WAIT_MIN: Duration = Duration::from_millis(500);
const WAIT_MAX: Duration = Duration::from_secs(8);

/// One host's part in an account.
#[derive(Debug, Clone, Copy)]
struct Line {
    life: u64,
    admitted: i64,
    demand: Flow,
    usual: Flow,
    at: Duration,
    /// The share that it held when it last reported, if it had been told one.
    held: Option<f64>,
    /// The shares that it was told last: an answer may be late or lost.
    told: [f64; 2],
    /// The share that it is told next, and its part of what all are asked.
    share: f64,
    part: f64,
    /// The part of its requests that may pass, and of the burst that was left, when
    /// it was last answered.
    pass: f64,
    burst: f64,
    /// What was kept back of the burst for it.
    kept: f64,
    /// It is not heard.
    silent: bool,
    /// It was not, at some time since it last reported.
    lapsed: bool,
    /// What it had spent of a window and of [`RECENT`] when it first reported.
    spent: f64,
    recent: f64,
    young: bool,
}

/// One workspace's account.
#[derive(Debug, Clone, Default)]
pub(super) struct Account {
    /// What the hosts that are heard may spend; overdrawn below 0.
    level: f64,
    settled: Option<Duration>,
    /// When it was first settled.
    opened: Duration,
    /// What the hosts had spent before, beyond the rate.
    debt: f64,
    lines: HashMap<u64, Line>,
    /// What hosts that returned lately admitted beyond their shares, and when
    /// the last one did.
    returned: Excess,
    returned_at: Duration,
    /// The quota's rate.
    rate: f64,
    /// The part of the quota that is kept back.
    reserved: f64,
    /// The share of each host if all have the same.
    even: f64,
    /// What all hosts are usually asked a second, and what each has beside that.
    usual: f64,
    equal: f64,
    pass: f64,
    burst: f64,
    wait: Duration,
}

/// What hosts admitted beyond what the rate gives, over a long and a short span.
#[derive(Debug, Clone, Copy, Default)]
struct Excess {
    long: f64,
    short: f64,
}

impl Excess {
    fn plus(self, other: Self) -> Self {
        Self { long: self.long + other.long, short: self.short + other.short }
    }

    /// What a bucket would be overdrawn by.
    fn units(self) -> f64 {
        self.long.max(self.short).max(0.0)
    }
}

impl Account {
    /// Takes in what `sender` tells at `now`.
    pub(super) fn report(&mut self, sender: Sender, usage: &Usage, now: Duration) {
        let line = self.lines.get(&sender.host).copied();
        if let Some(line) = &line {
            let before = if line.life == sender.life { line.admitted } else { 0 };
            let admitted = (usage.admitted - before) as f64;
            match line.lapsed {
                true => self.charge_return(line, admitted, f64::from(usage.recent), now),
                false => self.level -= admitted,
            }
        }
        let held = usage.share.map(f64::from);
        let line = Line {
            life: sender.life,
            admitted: usage.admitted,
            demand: Flow::new(f64::from(usage.demand), now),
            usual: Flow::new(f64::from(usage.usual), now),
            at: now,
            held,
            told: line.map_or([0.0; 2], |line| line.told),
            share: line.map_or(held.unwrap_or(self.even), |line| line.share),
            part: share(f64::from(usage.usual), self.usual, self.equal),
            pass: self.pass,
            burst: self.burst,
            kept: 0.0,
            silent: false,
            lapsed: false,
            spent: line.map_or(f64::from(usage.spent), |line| line.spent),
            recent: line.map_or(f64::from(usage.recent), |line| line.recent),
            young: line.map_or(usage.young, |line| line.young),
        };
        self.lines.insert(sender.host, line);
    }

    /// What `host` is told that it may admit of the requests of `workspace`, as last
    /// settled.
    pub(super) fn verdict(&mut self, workspace: u64, host: u64) -> Option<Verdict> {
        self.settled?;
        let line = self.lines.get_mut(&host)?;
        line.told = [line.told[1], line.share];
        Some(Verdict {
            workspace,
            pass: self.pass as f32,
            share: line.share as f32,
            part: line.part as f32,
            burst: self.burst as f32,
            wait: self.wait.as_millis() as u32,
        })
    }

    /// How it stands at `now`.
    pub(super) fn standing(&self, now: Duration) -> Standing {
        Standing {
            pass: self.pass,
            level: self.level,
            demand: self.demand(now),
            reserved: self.reserved,
        }
    }

    /// Whether it has been settled since it was opened.
    pub(super) fn is_settled(&self) -> bool {
        self.settled.is_some()
    }

    /// Whether no host has a line in it.
    pub(super) fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    /// Whether hosts have ceased to report to it: others account for them, and what
    /// they admit is not known here.
    fn is_left(&self, now: Duration) -> bool {
        self.lines.values().all(|line| now >= line.at + OPENING)
    }

    /// Brings it up to `now`.
    pub(super) fn settle(&mut self, limit: &Limit, hosts: &Hosts, now: Duration) {
        if self.is_left(now) {
            *self = Self::default();
        }
        self.lines.retain(|_, line| line.silent || now < line.at + IDLE);
        let even = self.even;
        for (host, line) in &mut self.lines {
            line.silent = hosts.silent.contains(host) && now >= line.at + ANSWER_SPAN;
            if line.silent && !line.lapsed {
                // It has gone on since its last report, and has its part of a burst.
                let span = now.saturating_sub(line.at).as_secs_f64();
                line.kept = line.taken(even) * line.burst * limit.quota.burst;
                self.level -= line.taken(even) * limit.quota.rate * span + line.kept;
                line.lapsed = true;
            }
        }
        self.rate = limit.quota.rate;
        self.reserved = self.share_out(hosts, now);
        let part = 1.0 - self.reserved;
        let rate = limit.quota.rate * part;
        let span = now.saturating_sub(self.settled.unwrap_or(now)).as_secs_f64();
        // An excess of more than a window ago harms no longer.
        let lowest = -rate * limit.tolerance.window.as_secs_f64();
        if !hosts.may_account() {
            // What the others do meanwhile is not known.
            *self = Self::default();
            return;
        }
        if self.settled.is_none() {
            // What a new account does not know may have been spent.
            self.level = -limit.credit();
            self.opened = now;
        }
        if now < self.opened + OPENING {
            let debt = self.opening_debt(limit, hosts);
            self.level -= debt - self.debt;
            self.debt = debt;
        }
        self.level = (self.level + rate * span).clamp(lowest, limit.quota.burst * part);
        self.settled = Some(now);
        let heard = self.lines.values().filter(|line| !line.silent);
        let assumed: f64 = heard.map(|line| line.assumed(now)).sum();
        let left = self.level - assumed + limit.credit() * part;
        let spend = (rate + left / SETTLE.as_secs_f64()).max(0.0);
        let demand = self.demand(now);
        self.pass = if demand > spend { spend / demand } else { 1.0 };
        let full = (limit.quota.burst * part).max(f64::MIN_POSITIVE);
        let burst = ((self.level - assumed) / full).clamp(0.0, 1.0);
        self.burst = if demand > spend { 0.0 } else { burst };
        let wait = Duration::try_from_secs_f64(-left / rate.max(f64::MIN_POSITIVE));
        self.wait = wait.unwrap_or_default().clamp(WAIT_MIN, WAIT_MAX);
    }

    /// Charges what a host admitted while it was not heard, beyond its share, which
    /// was kept back. What hosts did not use of theirs is lost, as in a full
    /// bucket, but for what others that return with them used.
    fn charge_return(&mut self, line: &Line, admitted: f64, recent: f64, now: Duration) {
        if now >= self.returned_at + OPENING {
            self.returned = Excess::default();
        }
        let (span, rate) = (now.saturating_sub(line.at), line.taken(self.even) * self.rate);
        let returned = Excess {
            long: self.returned.long + admitted - rate * span.as_secs_f64() - line.kept,
            short: self.returned.short + recent - rate * RECENT.min(span).as_secs_f64() - line.kept,
        };
        self.level -= returned.units() - self.returned.units();
        (self.returned, self.returned_at) = (returned, now);
    }

    /// What the hosts that have reported had spent of a window by then, beyond
    /// what they have of one; below 0 if they left some.
    fn opening_debt(&self, limit: &Limit, hosts: &Hosts) -> f64 {
        let burst = limit.quota.burst + limit.credit();
        let held = |span: Duration| {
            (limit.quota.rate * span.as_secs_f64() + burst) / hosts.count().max(1) as f64
        };
        let (long, short) = (held(limit.tolerance.window), held(RECENT));
        // A young host may have left unused less than it knows.
        let lowest = |line: &Line| if line.young { 0.0 } else { f64::NEG_INFINITY };
        let excess = |line: &Line| Excess {
            long: (line.spent - long).max(lowest(line)),
            short: (line.recent - short).max(lowest(line)),
        };
        let all = self.lines.values().map(excess).fold(Excess::default(), Excess::plus);
        all.long.max(all.short).max(-limit.credit())
    }

    /// Units asked a second of the hosts that are heard.
    fn demand(&self, now: Duration) -> f64 {
        let heard = self.lines.values().filter(|line| !line.silent);
        heard.map(|line| line.demand_at(now)).sum()
    }

    /// Shares the quota out among the hosts that are heard, by what each is usually
    /// asked; returns what the others hold of it.
    ///
    /// All shares together never exceed the quota, whichever hosts are cut off and
    /// at whatever moment: a share is raised only by what the others have given up,
    /// as their reports show.
    fn share_out(&mut self, hosts: &Hosts, now: Duration) -> f64 {
        self.even = 1.0 / hosts.count().max(1) as f64;
        self.equal = EQUAL_PART * self.rate * self.even;
        self.usual = self.lines.values().map(|line| line.usual_at(now)).sum::<f64>()
            + EQUAL_PART * self.rate;
        let (usual, equal, even) = (self.usual, self.equal, self.even);
        let spare =
            (1.0 - self.taken(false) - self.taken(true) - self.unreported(hosts, now)).max(0.0);
        let silent = hosts.silent.iter().filter(|host| !self.lines.contains_key(host)).count();
        // What these hold is not known: at most what no other host does.
        let unknown = if silent > 0 { spare.max(silent as f64 * even) } else { 0.0 };
        let free = if silent > 0 { 0.0 } else { spare };
        let wanted = |line: &Line| share(line.usual_at(now), usual, equal);
        let heard = self.lines.values().filter(|line| !line.silent);
        let more: f64 = heard.map(|line| (wanted(line) - line.taken(even)).max(0.0)).sum();
        let part = if more > free { free / more } else { 1.0 };
        for line in self.lines.values_mut().filter(|line| !line.silent) {
            let (wanted, taken) = (wanted(line), line.taken(even));
            line.share = wanted.min(taken) + part * (wanted - taken).max(0.0);
            line.part = wanted;
        }
        (self.taken(true) + unknown).min(1.0)
    }

    /// What the hosts with a line that are `silent` or not may hold of the quota.
    fn taken(&self, silent: bool) -> f64 {
        let lines = self.lines.values().filter(|line| line.silent == silent);
        lines.map(|line| line.taken(self.even)).sum()
    }

    /// What the hosts that are heard and have not reported may hold: they were asked
    /// nothing, unless the account is new.
    fn unreported(&self, hosts: &Hosts, now: Duration) -> f64 {
        let reported = self.lines.values().filter(|line| !line.silent).count();
        let opening = self.settled.is_none() || now < self.opened + OPENING;
        let each = if opening { self.even } else { share(0.0, self.usual, self.equal) };
        hosts.heard.saturating_sub(reported) as f64 * each
    }
}

/// The share of a host that is usually asked `own` of `all` a second, beside the
/// part that each has.
fn share(own: f64, all: f64, equal: f64) -> f64 {
    match all {
        all if all > 0.0 => ((own + equal) / all).min(1.0),
        _ => 0.0,
    }
}

impl Line {
    /// The largest share that its host may hold: an `even` one until it is told one.
    fn taken(&self, even: f64) -> f64 {
        self.told.iter().copied().fold(self.held.unwrap_or(even), f64::max)
    }

    /// What is asked of its host: as reported, until it must have been found silent.
    fn demand_at(&self, now: Duration) -> f64 {
        self.demand.rate(DEMAND_SPAN, now.saturating_sub(MISSED).max(self.at))
    }

    /// What its host has admitted since its last report, if it goes on as told.
    fn assumed(&self, now: Duration) -> f64 {
        let span = now.saturating_sub(self.at).min(MISSED).as_secs_f64();
        self.demand.rate(DEMAND_SPAN, self.at) * self.pass * span
    }

    /// What its host is usually asked; as it was, of one that is not heard.
    fn usual_at(&self, now: Duration) -> f64 {
        let now = if self.silent { self.at } else { now };
        self.usual.rate(USUAL_SPAN, now)
    }
}
