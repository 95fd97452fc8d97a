//! Keeps hosts together from overrunning upstreams that state how few rejections
//! they can bear.
//!
//! Load pattern: in overload an upstream turns requests away, which usually costs it
//! little. One that is brittle fails if it rejects more than a stated number of
//! requests within a second, and lets fewer wait than before. With 120 ms between
//! two tries of each of nine hosts it rejects 75 a second.
//!
//! Limits, while a service is brittle: where there are so few hosts that they know of
//! each other soon, they divide the slots of each upstream among themselves, and a host
//! sends to its own slots as soon as they are free. Beyond these it sends only to
//! upstreams with a free slot as far as it knows, and keeps to its share of what the
//! free slots bear from hosts that send at random, among the hosts with requests there.
//! Where there are more hosts, it keeps to its share of what all slots bear, among all
//! hosts. After a rejection a host leaves the upstream to the others for a time in
//! proportion to the number of hosts, so that all hosts together get half of the
//! tolerated rejections. If the rejections of all hosts come near them nevertheless,
//! all hosts do so, and return one by one. What one upstream states holds for its whole
//! service, and hosts report it to each other, so that those that have sent it nothing
//! yet keep to it as well.

use std::collections::VecDeque;
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::Error;
use crate::heartbeat::SINGLE_ROUND_HOSTS;

/// Span in which upstreams count rejections.
pub const WINDOW: Duration = Duration::from_secs(1);

/// Shortest time between two sends of one host to one upstream: some round trips,
/// after which the first is known to have been admitted or rejected.
const SEND_INTERVAL: Duration = Duration::from_millis(20);

/// The part of the tolerated rejections that hosts use together.
const USED_SHARE: f64 = 0.5;

/// The part of the tolerated rejections at which all hosts pause.
const STOP_SHARE: f64 = 0.75;

/// Part of the throughput of slots that is used by hosts which send there at random:
/// one request in twenty is rejected with six slots, and fewer with more.
const RANDOM_UTILIZATION: f64 = 0.5;

/// Longest pause.
const MAX_PAUSE: Duration = Duration::from_secs(20);

/// How long a request is assumed to run at an upstream whose latency is not known.
pub const DEFAULT_WORK: Duration = Duration::from_millis(500);

/// How long a statement holds without answers that repeat or withdraw it: upstreams that are
/// down, or get no requests, state nothing.
const STATEMENT_TTL: Duration = Duration::from_secs(120);

/// Time without a statement after which an answer without one withdraws it: answers
/// of several upstreams overtake each other.
const WITHDRAWAL_DELAY: Duration = Duration::from_secs(1);

/// Rejections within [`WINDOW`] that an upstream can bear.
///
/// ```
/// use marjoram_core::brittle::MaxRejections;
/// let max: MaxRejections = "12".parse().unwrap();
/// assert_eq!(max.to_string(), "12/s");
/// assert!("-1".parse::<MaxRejections>().is_err() && "few".parse::<MaxRejections>().is_err());
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct MaxRejections(pub u32);

impl fmt::Display for MaxRejections {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for MaxRejections {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        match text.trim().parse::<f64>() {
            Ok(number) if number >= 0.0 => Ok(Self(number as u32)),
            _ => Err(Error::Parse("number of rejections", text.into(), "not a number")),
        }
    }
}

/// A statement as hosts report it to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedStatement {
    /// Hash of the service's name.
    pub service: u64,
    /// What its upstreams can bear; `None` if the statement is withdrawn.
    pub max: Option<MaxRejections>,
    /// Milliseconds since an answer last stated or withdrew it.
    pub age_ms: u32,
}

/// What a host knows of whether a service is brittle.
///
/// ```
/// use std::time::Duration;
/// use marjoram_core::brittle::{Statement, MaxRejections};
/// let ms = Duration::from_millis;
/// let mut statement = Statement::default();
/// statement.state(MaxRejections(8), ms(100));
/// // An answer to an earlier request states nothing: it was overtaken.
/// statement.withdraw(ms(90));
/// assert_eq!(statement.in_force(ms(200)), Some(MaxRejections(8)));
/// statement.withdraw(ms(1_200));
/// assert_eq!(statement.in_force(ms(1_300)), None);
/// // Other hosts are told so.
/// assert_eq!(statement.reported(7, ms(1_300)).unwrap().max, None);
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct Statement {
    last: Option<(MaxRejections, Duration)>,
    /// Statements made up to this time are withdrawn.
    withdrawn: Duration,
}

impl Statement {
    /// Records that an upstream stated `max` at `at`.
    pub fn state(&mut self, max: MaxRejections, at: Duration) {
        let newer = self.last.is_none_or(|(_, last)| at > last);
        if newer && at >= self.withdrawn {
            self.last = Some((max, at));
        }
    }

    /// Records an answer without a statement to a request sent at `sent`.
    pub fn withdraw(&mut self, sent: Duration) {
        if self.last.is_some_and(|(_, at)| sent > at + WITHDRAWAL_DELAY) {
            self.last = None;
            self.withdrawn = sent;
        }
    }

    /// The statement in force at `now`.
    pub fn in_force(&self, now: Duration) -> Option<MaxRejections> {
        self.last.filter(|(_, at)| now < *at + STATEMENT_TTL).map(|(max, _)| max)
    }

    /// What other hosts are told of `service` at `now`: the statement in force, or that it was
    /// withdrawn lately. A host that does not hear of that gets no slots, and so no answer either.
    pub fn reported(&self, service: u64, now: Duration) -> Option<ReportedStatement> {
        let stated = self.last.filter(|(_, at)| now < *at + STATEMENT_TTL);
        let (max, at) = match stated {
            Some((max, at)) => (Some(max), at),
            None => (None, Some(self.withdrawn).filter(|at| !at.is_zero())?),
        };
        let age = now.saturating_sub(at);
        let age_ms = u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
        (age < STATEMENT_TTL).then_some(ReportedStatement { service, max, age_ms })
    }
}

/// Whether `hosts` hosts know of each other soon enough to divide slots among
/// themselves.
pub fn divides_slots(hosts: usize) -> bool {
    hosts <= SINGLE_ROUND_HOSTS
}

/// The load of an upstream, as far as a host knows.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Load {
    /// Requests that the upstream runs at once.
    pub slots: u32,
    /// Requests of all hosts there.
    pub running: u32,
    /// This host's requests there.
    pub own: u32,
    /// Number of hosts.
    pub hosts: usize,
    /// Number of those that have requests there; used only if [`divides_slots`].
    pub users: usize,
    /// This host's place among them, from 0, in the order for this upstream; used only
    /// if [`divides_slots`].
    pub rank: usize,
    /// How long a request runs.
    pub work: Duration,
}

impl Load {
    /// Number of slots that belong to this host.
    ///
    /// ```
    /// use std::time::Duration;
    /// use marjoram_core::brittle::Load;
    /// let load = |hosts, rank| {
    ///     Load { slots: 4, running: 0, own: 0, hosts, users: 0, rank, work: Duration::ZERO }
    /// };
    /// assert_eq!([0, 1, 2].map(|rank| load(3, rank).own_slots()), [2, 1, 1]);
    /// assert_eq!([3, 4].map(|rank| load(9, rank).own_slots()), [1, 0]);
    /// // Too many hosts to agree on who has which.
    /// assert_eq!(load(76, 0).own_slots(), 0);
    /// ```
    pub fn own_slots(&self) -> u32 {
        let (slots, hosts) = (self.slots as usize, self.hosts.max(1));
        if !divides_slots(hosts) {
            return 0;
        }
        (slots / hosts + usize::from(self.rank < slots % hosts)) as u32
    }

    /// Number of hosts that have slots of their own.
    fn owners(&self) -> usize {
        self.hosts.min(self.slots as usize)
    }

    /// Shortest time between two sends of one host to slots that are not its own: to
    /// those that are free, if that is known soon.
    fn interval(&self) -> Duration {
        let (slots, hosts) = match divides_slots(self.hosts) {
            true => (self.slots.saturating_sub(self.running), self.users),
            false => (self.slots, self.hosts),
        };
        let share = f64::from(slots.max(1)) * RANDOM_UTILIZATION / hosts.max(1) as f64;
        self.work.div_f64(share).max(SEND_INTERVAL)
    }
}

/// Whether all hosts pause after `rejections` in the last [`WINDOW`].
fn is_near_limit(max: MaxRejections, rejections: u32) -> bool {
    rejections > 0 && f64::from(rejections) >= f64::from(max.0) * STOP_SHARE
}

/// How long a host pauses, so that `hosts` hosts return at the rate of the rejections
/// that they may use.
fn pause(max: MaxRejections, hosts: usize, random: f64) -> Duration {
    let rate = f64::from(max.0).max(1.0) * USED_SHARE;
    Duration::from_secs_f64((hosts as f64 / rate * (0.5 + random)).min(MAX_PAUSE.as_secs_f64()))
}

/// A host's rejections by one upstream in the last [`WINDOW`].
#[derive(Debug, Clone, Default)]
pub struct RecentRejections(VecDeque<Duration>);

impl RecentRejections {
    /// Records a rejection at `now`.
    pub fn record(&mut self, now: Duration) {
        self.0.retain(|at| now < *at + WINDOW);
        self.0.push_back(now);
    }

    /// How many there were at `now`.
    pub fn count(&self, now: Duration) -> u32 {
        self.0.iter().filter(|at| now < **at + WINDOW).count() as u32
    }
}

/// A host's sends to one brittle upstream, and the rejections that it got there.
///
/// ```
/// use std::time::Duration;
/// use marjoram_core::brittle::{Load, MaxRejections, Sends};
/// let ms = Duration::from_millis;
/// let load =
///     Load { slots: 6, running: 1, own: 0, hosts: 9, users: 5, rank: 7, work: ms(600) };
/// let (mut sends, max) = (Sends::default(), MaxRejections(8));
/// sends.record_send(ms(100));
/// // A fifth of half of what the five free slots serve is one request in 1.2 s.
/// assert!(!sends.is_allowed(max, load, 0, 0.5, ms(1_290)));
/// assert!(sends.is_allowed(max, load, 0, 0.5, ms(1_300)));
/// // The host in the first place has a slot of its own.
/// let first = Load { rank: 0, ..load };
/// assert!(sends.is_allowed(max, first, 0, 0.5, ms(110)));
/// // Hosts may get four rejections a second: nine of them one each in 2.25 s, six that have
/// // slots of their own one each there in 1.5 s.
/// sends.record_rejection(max, load, 0.5, ms(200));
/// assert!(!sends.is_allowed(max, load, 0, 0.5, ms(2_440)));
/// assert!(sends.is_allowed(max, load, 0, 0.5, ms(2_450)));
/// assert!(!sends.is_allowed(max, first, 0, 0.5, ms(1_690)));
/// assert!(sends.is_allowed(max, first, 0, 0.5, ms(1_700)));
/// // All hosts pause at three quarters of what is tolerated.
/// assert!(!sends.is_allowed(max, first, 6, 0.5, ms(1_700)));
/// ```
#[derive(Debug, Clone, Default)]
pub struct Sends {
    /// When the last request was sent.
    last: Option<Duration>,
    rejections: RecentRejections,
    /// Until when the slots of other hosts are left to these.
    paused_until: Duration,
    /// Until when this host's own slots are taken to be in use by others.
    own_paused_until: Duration,
}

impl Sends {
    /// Records a send at `now`.
    pub fn record_send(&mut self, now: Duration) {
        self.last = Some(now);
    }

    /// Records a rejection at `now`, and leaves the upstream to other hosts for a time
    /// that `random`, from 0 to 1, varies.
    pub fn record_rejection(&mut self, max: MaxRejections, load: Load, random: f64, now: Duration) {
        self.rejections.record(now);
        self.paused_until = self.paused_until.max(now + pause(max, load.hosts, random));
        self.own_paused_until = self.own_paused_until.max(now + pause(max, load.owners(), random));
    }

    /// Rejections in the last [`WINDOW`].
    pub fn rejections(&self, now: Duration) -> u32 {
        self.rejections.count(now)
    }

    /// Whether a request may be sent at `now`. Other hosts have recently got `others`
    /// rejections there; `random` is from 0 to 1.
    pub fn is_allowed(
        &mut self,
        max: MaxRejections,
        load: Load,
        others: u32,
        random: f64,
        now: Duration,
    ) -> bool {
        let is_near_limit = is_near_limit(max, self.rejections(now) + others);
        if load.own < load.own_slots() && now >= self.own_paused_until && !is_near_limit {
            return true;
        }
        if now < self.paused_until {
            return false;
        }
        if is_near_limit {
            self.paused_until = self.paused_until.max(now + pause(max, load.hosts, random));
            return false;
        }
        // Hosts that have sent nothing yet do not all begin at once.
        let interval = load.interval();
        let last = *self.last.get_or_insert(now.saturating_sub(interval.mul_f64(random)));
        now >= last + interval && load.running < load.slots.max(1)
    }
}
