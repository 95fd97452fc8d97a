//! What upstreams state that can bear few rejections, and how long that holds.
//!
//! Load pattern: in overload an upstream turns requests away, which usually costs it
//! little. One that is brittle fails if it rejects more than a stated number of
//! requests within a second, and lets fewer wait than before. With 120 ms between
//! two tries of each of nine hosts it rejects 75 a second.
//!
//! What one upstream states holds for its whole service, and hosts report it to each other, so
//! that those that have sent it nothing yet keep to it as well. What is sent to brittle upstreams
//! is limited by [`crate::slot_leases`].

use std::collections::VecDeque;
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::Error;

/// Span in which upstreams count rejections.
pub const WINDOW: Duration = Duration::from_secs(1);

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
