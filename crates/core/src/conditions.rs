//! The conditions under which an upstream takes requests, as it states them in the
//! headers of its answers.
//!
//! Load pattern: an upstream that cannot keep up states the rate of requests that it
//! takes from all hosts together. Each host sends it a part of the traffic and
//! knows only its own part. An upstream that shuts down says so in its answers,
//! possibly long before the registry does. One that is overloaded refuses requests
//! and states for how long each host is to back off.
//!
//! Limits: what one incarnation states ends with it. A statement counts from the
//! next send on, retries and queued requests included. Answers overtake each other,
//! so a statement that loosens a limit is dated by when its request was sent, and
//! one that tightens it by when its answer was received; of two, the later one
//! holds. Answers of one upstream may differ, so a limit is loosened only once no
//! answer has stated it for some time. Hosts share the rate by [`crate::quota`]: an
//! upstream's limit is a quota of requests with a burst of zero.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::Error;
use crate::brittle::MaxRejections;
use crate::quota::{Limit, Quota, Tolerance, Unit};

/// Window in which upstreams count requests, and what they tolerate in it beyond
/// their rate: a fraction of what it allows, and a number of requests.
pub const WINDOW: Duration = Duration::from_secs(4);
const OVERAGE: f64 = 0.5;
const SLACK: f64 = 5.0;

/// Time since the last statement of a limit before an answer that states none, or a
/// higher one, loosens it: not all answers of an upstream need to state it.
const LOOSENING_DELAY: Duration = Duration::from_secs(2);

/// Longest time for which a host backs off from an upstream that asks for it.
const MAX_BACKOFF: Duration = Duration::from_secs(60);

/// Bounds of a rate limit, in requests a second. With a lower rate no request
/// would be sent whose answer could withdraw the limit.
const MIN_RATE: f64 = 0.25;
const MAX_RATE: f64 = 1e6;

/// Requests a second that an upstream takes from all hosts together.
///
/// ```
/// use marjoram_core::conditions::RateLimit;
/// let limit: RateLimit = "15.3".parse().unwrap();
/// assert_eq!(limit.to_string(), "15.3/s");
/// assert_eq!("0".parse::<RateLimit>().unwrap().per_second(), 0.25);
/// assert!("-1".parse::<RateLimit>().is_err() && "NaN".parse::<RateLimit>().is_err());
/// ```
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RateLimit(f64);

impl RateLimit {
    /// The limit as a number.
    pub fn per_second(self) -> f64 {
        self.0
    }

    /// The limit as a quota over all hosts, with what upstreams tolerate beyond it.
    ///
    /// ```
    /// use marjoram_core::conditions::RateLimit;
    /// let limit: RateLimit = "15".parse().unwrap();
    /// assert_eq!(limit.quota().bound(), 95.0);
    /// ```
    pub fn quota(self) -> Limit {
        Limit {
            quota: Quota { unit: Unit::Requests, rate: self.0, burst: 0.0 },
            tolerance: Tolerance { window: WINDOW, overage: OVERAGE, slack: SLACK },
        }
    }
}

impl fmt::Display for RateLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for RateLimit {
    type Err = Error;

    /// Parses a decimal number; one out of bounds is replaced by the nearest bound.
    fn from_str(text: &str) -> Result<Self, Error> {
        let invalid = |why| Error::Parse("rate limit", text.into(), why);
        match text.trim().parse::<f64>() {
            Ok(rate) if rate.is_finite() && rate >= 0.0 => Ok(Self(rate.clamp(MIN_RATE, MAX_RATE))),
            Ok(_) => Err(invalid("negative or not finite")),
            Err(_) => Err(invalid("not a decimal number")),
        }
    }
}

/// What one answer states about a condition.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Stated<T> {
    /// Nothing.
    #[default]
    Nothing,
    /// A value that cannot be used.
    Invalid,
    /// This value.
    Value(T),
}

impl<T: Copy> Stated<T> {
    /// Adds another statement of the same answer, `None` if it cannot be used. Of two
    /// values that of `select` holds; one that cannot be used is ignored beside one that
    /// can.
    fn add(&mut self, value: Option<T>, select: fn(T, T) -> T) {
        *self = match (*self, value) {
            (Self::Value(known), Some(value)) => Self::Value(select(known, value)),
            (_, Some(value)) => Self::Value(value),
            (Self::Nothing, None) => Self::Invalid,
            (known, None) => known,
        };
    }
}

/// What one answer states about its upstream.
///
/// ```
/// use marjoram_core::conditions::{Stated, StatedConditions};
/// let mut stated = StatedConditions::default();
/// stated.add_limit("20, many");
/// stated.add_limit("15");
/// stated.add_leaving("1");
/// assert_eq!(stated.limit, Stated::Value("15".parse().unwrap()));
/// assert_eq!(stated.leaving, Stated::Value(()));
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct StatedConditions {
    /// The rate of requests that the upstream takes from all hosts together.
    pub limit: Stated<RateLimit>,
    /// The upstream is shutting down and takes no new requests.
    pub leaving: Stated<()>,
    /// How long this host is to back off from the upstream, which has refused a
    /// request.
    pub backoff: Stated<Duration>,
    /// The upstream is brittle: how many rejections it can bear.
    pub brittle: Stated<MaxRejections>,
}

impl StatedConditions {
    /// Adds the statement `text` on whether the upstream is leaving: "1" if it is,
    /// "0" if not. Of several in one answer, one that says so holds.
    pub fn add_leaving(&mut self, text: &str) {
        self.leaving = match (self.leaving, text.trim()) {
            (_, "1") => Stated::Value(()),
            (known, "0") => known,
            (Stated::Nothing, _) => Stated::Invalid,
            (known, _) => known,
        };
    }

    /// Adds the statement `text` of how many seconds this host is to back off. Of
    /// several in one answer the longest holds; times beyond a minute count as that.
    ///
    /// ```
    /// use std::time::Duration;
    /// use marjoram_core::conditions::{Stated, StatedConditions};
    /// let mut stated = StatedConditions::default();
    /// stated.add_backoff("2.5");
    /// assert_eq!(stated.backoff, Stated::Value(Duration::from_millis(2_500)));
    /// stated.add_backoff("1e9");
    /// assert_eq!(stated.backoff, Stated::Value(Duration::from_secs(60)));
    /// ```
    pub fn add_backoff(&mut self, text: &str) {
        let seconds = text.trim().parse::<f64>().ok().filter(|s| s.is_finite() && *s >= 0.0);
        let backoff = seconds.map(|s| Duration::from_secs_f64(s.min(MAX_BACKOFF.as_secs_f64())));
        self.backoff.add(backoff, Duration::max);
    }

    /// Adds the statement `text` of how many rejections a second the upstream can
    /// bear. Of several in one answer the lowest holds.
    pub fn add_brittle(&mut self, text: &str) {
        self.brittle.add(text.parse().ok(), MaxRejections::min);
    }

    /// Whether a statement cannot be used.
    pub fn has_invalid(&self) -> bool {
        self.limit == Stated::Invalid
            || self.brittle == Stated::Invalid
            || self.leaving == Stated::Invalid
            || self.backoff == Stated::Invalid
    }

    /// Adds the rate limit in `text`. Of several limits in one answer the lowest
    /// holds.
    pub fn add_limit(&mut self, text: &str) {
        let lower = |known, limit| if known <= limit { known } else { limit };
        for value in text.split(',') {
            self.limit.add(value.parse().ok(), lower);
        }
    }
}

/// An upstream's last statement of its rate limit that is known to a host.
#[derive(Debug, Clone, Copy, PartialEq)]
struct LimitStatement {
    /// The limit; `None` once it is withdrawn.
    limit: Option<RateLimit>,
    at: Duration,
}

/// A statement of a rate limit, as hosts report it to each other.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ReportedLimit {
    /// The limit; `None` once it is withdrawn.
    pub limit: Option<RateLimit>,
    /// Milliseconds since the statement.
    pub age_ms: u32,
}

/// What an answer changed in the conditions of an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Changes {
    /// Its rate limit.
    pub limit: Option<LimitChange>,
    /// It has said for the first time that it is leaving.
    pub leaving: bool,
    /// This host is to back off for this long from now on, longer than before.
    pub backoff: Option<Duration>,
}

/// A change of the rate limit in force: the former one and the new one.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitChange {
    /// The limit before.
    pub former: Option<RateLimit>,
    /// The limit from now on.
    pub limit: Option<RateLimit>,
}

/// The conditions of one incarnation of an upstream, as one host knows them.
///
/// ```
/// use std::time::Duration;
/// use marjoram_core::conditions::{Conditions, StatedConditions};
/// let ms = Duration::from_millis;
/// let (none, mut limited) = (StatedConditions::default(), StatedConditions::default());
/// limited.add_limit("15");
/// let mut conditions = Conditions::default();
/// conditions.record(&limited, ms(100), ms(150));
/// // The answer to an earlier request states none: it was overtaken.
/// conditions.record(&none, ms(120), ms(160));
/// assert_eq!(conditions.limit(), Some("15".parse().unwrap()));
/// // Nor does an answer soon after the last one that states the limit withdraw it.
/// conditions.record(&none, ms(170), ms(190));
/// assert_eq!(conditions.limit(), Some("15".parse().unwrap()));
/// conditions.record(&none, ms(2_150), ms(2_190));
/// assert_eq!(conditions.limit(), None);
/// ```
#[derive(Debug, Clone, Default)]
pub struct Conditions {
    limit: Option<LimitStatement>,
    leaving: bool,
    /// Until when this host backs off from the upstream.
    backoff_until: Duration,
}

impl Conditions {
    /// Records what an answer states that was received at `received`, to a request
    /// sent at `sent`. An upstream that leaves does so for good: this is not
    /// withdrawn by an answer that does not say so.
    pub fn record(
        &mut self,
        stated: &StatedConditions,
        sent: Duration,
        received: Duration,
    ) -> Changes {
        let limit = self.record_limit(stated, sent, received);
        let leaving = stated.leaving == Stated::Value(()) && !self.leaving;
        self.leaving |= leaving;
        let backoff = match stated.backoff {
            Stated::Value(time) if received + time > self.backoff_until => Some(time),
            _ => None,
        };
        self.backoff_until = self.backoff_until.max(received + backoff.unwrap_or_default());
        Changes { limit, leaving, backoff }
    }

    fn record_limit(
        &mut self,
        stated: &StatedConditions,
        sent: Duration,
        received: Duration,
    ) -> Option<LimitChange> {
        let statement = match (stated.limit, self.limit()) {
            (Stated::Invalid, _) | (Stated::Nothing, None) => return None,
            (Stated::Value(limit), former) if former.is_none_or(|former| limit <= former) => {
                LimitStatement { limit: Some(limit), at: received }
            }
            _ if !self.may_loosen(sent) => return None,
            (Stated::Value(limit), _) => LimitStatement { limit: Some(limit), at: sent },
            (Stated::Nothing, _) => LimitStatement { limit: None, at: sent },
        };
        self.apply(statement)
    }

    /// Whether an answer to a request sent at `sent` may loosen the limit.
    fn may_loosen(&self, sent: Duration) -> bool {
        self.limit.is_none_or(|known| sent >= known.at + LOOSENING_DELAY)
    }

    /// Applies a statement that another host reported, received at `now`. Returns
    /// the change of the rate limit, if there is one.
    pub fn apply_reported(
        &mut self,
        reported: ReportedLimit,
        now: Duration,
    ) -> Option<LimitChange> {
        // Each report is received a little later than its age says, so that of a known
        // withdrawal would make it newer than a limit that was stated since.
        if reported.limit.is_none() && self.limit.is_some_and(|known| known.limit.is_none()) {
            return None;
        }
        let age = Duration::from_millis(u64::from(reported.age_ms));
        self.apply(LimitStatement { limit: reported.limit, at: now.saturating_sub(age) })
    }

    fn apply(&mut self, statement: LimitStatement) -> Option<LimitChange> {
        if self.limit.is_some_and(|known| statement.at <= known.at) {
            return None;
        }
        let former = self.limit();
        self.limit = Some(statement);
        (former != statement.limit).then_some(LimitChange { former, limit: statement.limit })
    }

    /// How long at `now` this host still backs off from the upstream.
    pub fn backoff_left(&self, now: Duration) -> Option<Duration> {
        Some(self.backoff_until.saturating_sub(now)).filter(|left| !left.is_zero())
    }

    /// Whether the upstream has said that it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// The rate limit in force.
    pub fn limit(&self) -> Option<RateLimit> {
        self.limit.and_then(|statement| statement.limit)
    }

    /// Whether a statement of the rate limit at `since` or later is known.
    pub fn stated_limit_since(&self, since: Duration) -> bool {
        self.limit.is_some_and(|statement| statement.at >= since)
    }

    /// The last statement of the rate limit, to be reported to other hosts at
    /// `now`; `None` if there is none, or it was withdrawn more than `span` ago.
    pub fn reported_limit(&self, span: Duration, now: Duration) -> Option<ReportedLimit> {
        let statement = self.limit?;
        let age = now.saturating_sub(statement.at);
        (statement.limit.is_some() || age < span).then(|| ReportedLimit {
            limit: statement.limit,
            age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
        })
    }
}
