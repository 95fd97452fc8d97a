//! A lease kept in the log service, with a fencing token.
//!
//! One router at a time keeps the fleet's single-writer duties (orders to
//! engines, configuration snapshots). Which one is settled in the log
//! service's `lease` stream, through its conditional append (append only
//! if the stream ends at a given offset): a record in the stream is a grant,
//! and the last record is the grant in force. No clock of the log service
//! is trusted:
//!
//! - The holder counts its lease from the moment *before* it sent the append.
//! - A challenger counts the same time to live from the moment *after* it
//!   first read that record, plus a margin, and only then appends its own.
//!
//! So the holder stops before any challenger starts, however long answers
//! take, as long as the clocks' rates differ by less than the margin. Clocks
//! are monotonic and count time spent suspended (`CLOCK_BOOTTIME`), so a
//! paused holder finds its lease over when it wakes. An append whose answer
//! is lost never extends a lease; one carried out late fails its condition
//! or yields a grant nobody acts on, which runs out.
//!
//! The fencing token is the offset of the record that began the tenure, so
//! it rises with every change of holder. Receivers that check tokens refuse
//! a holder that was paused between its check and its order; for those that
//! do not, the margin must cover the time an order takes to arrive.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{Fencing, Offset};

/// The share of the time to live that is kept as a margin on either side.
const MARGIN_SHARE: u32 = 4;

/// One grant in the `lease` stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Grant {
    /// Who holds the lease: unique per process start.
    pub owner: String,
    /// The tenure's token; absent in its first record, whose offset it is.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub token: Option<Fencing>,
    /// Time to live in milliseconds; 0 gives the lease up.
    pub ttl_ms: u64,
}

impl Grant {
    /// The fencing token of the grant found at `offset`.
    pub fn token(&self, offset: Offset) -> Fencing {
        self.token.unwrap_or(Fencing(offset.0))
    }
}

/// A conditional append a contender wants made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Attempt {
    /// The offset at which the stream must end.
    pub at: Offset,
    /// The record to append.
    pub grant: Grant,
}

/// The end of the `lease` stream as one read found it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Tail {
    /// Offset the next append will get.
    pub next: Offset,
    /// The last record, unless it expired or there is none.
    pub last: Option<Grant>,
}

/// One router's side of the lease.
///
/// Times are durations on one monotonic clock that counts suspension.
///
/// ```
/// use std::time::Duration;
/// use marjoram_core::ids::{Fencing, Offset};
/// use marjoram_core::lease::{Contender, Tail};
/// let ttl = Duration::from_secs(4);
/// let mut a = Contender::new("a", ttl);
/// let now = Duration::from_secs(100);
/// a.observe(Tail { next: Offset(0), last: None }, now);
/// let attempt = a.attempt(now + ttl * 2).expect("nobody holds it");
/// let sent = now + ttl * 2;
/// a.granted(&attempt, sent);
/// assert_eq!(a.token(sent), Some(Fencing(0)));
/// assert_eq!(a.token(sent + ttl), None);
/// ```
#[derive(Debug, Clone)]
pub struct Contender {
    owner: String,
    ttl: Duration,
    tail: Option<Tail>,
    /// When the tail was first read as it is now.
    since: Duration,
    tenure: Option<Tenure>,
}

#[derive(Debug, Clone, Copy)]
struct Tenure {
    token: Fencing,
    /// Offset of our last grant.
    last: Offset,
    /// When that grant runs out, on our clock.
    until: Duration,
}

impl Contender {
    /// A contender called `owner`, asking for `ttl` at a time.
    pub fn new(owner: impl Into<String>, ttl: Duration) -> Self {
        Self { owner: owner.into(), ttl, tail: None, since: Duration::ZERO, tenure: None }
    }

    /// The margin kept before a lease runs out and after it has.
    pub fn margin(&self) -> Duration {
        self.ttl / MARGIN_SHARE
    }

    /// Takes in the stream's end, read by an answer that came at `now`.
    pub fn observe(&mut self, tail: Tail, now: Duration) {
        if self.tail.as_ref() != Some(&tail) {
            self.since = now;
        }
        let ours = |t: &Tenure| tail.next == Offset(t.last.0 + 1);
        self.tenure = self.tenure.filter(ours);
        self.tail = Some(tail);
    }

    /// The append to make at `now`, if any: a renewal when a third of our
    /// lease is gone, or a take-over when another's is surely over.
    pub fn attempt(&self, now: Duration) -> Option<Attempt> {
        let tail = self.tail.as_ref()?;
        let tenure = self.tenure.filter(|t| now < t.until);
        let released = tail.last.as_ref().is_some_and(|last| last.ttl_ms == 0);
        let token = match tenure {
            Some(tenure) if now + self.ttl * 2 / 3 >= tenure.until => Some(tenure.token),
            None if released || self.expired(tail, now) => None,
            _ => return None,
        };
        let ttl_ms = self.ttl.as_millis() as u64;
        let grant = Grant { owner: self.owner.clone(), token, ttl_ms };
        Some(Attempt { at: tail.next, grant })
    }

    /// Whether the grant at the stream's end is surely over, whoever's it is.
    fn expired(&self, tail: &Tail, now: Duration) -> bool {
        let ttl = match &tail.last {
            Some(last) => Duration::from_millis(last.ttl_ms),
            None => self.ttl,
        };
        now >= self.since + ttl + ttl / MARGIN_SHARE
    }

    /// Records that `attempt`, sent at `sent`, was appended.
    pub fn granted(&mut self, attempt: &Attempt, sent: Duration) {
        let token = attempt.grant.token(attempt.at);
        let next = Offset(attempt.at.0 + 1);
        self.tenure = Some(Tenure { token, last: attempt.at, until: sent + self.ttl });
        self.tail = Some(Tail { next, last: Some(attempt.grant.clone()) });
        self.since = sent;
    }

    /// The record that gives the lease up, if we hold it.
    pub fn release(&self) -> Option<Attempt> {
        let tenure = self.tenure?;
        let grant = Grant { owner: self.owner.clone(), token: Some(tenure.token), ttl_ms: 0 };
        Some(Attempt { at: Offset(tenure.last.0 + 1), grant })
    }

    /// Forgets a tenure: the caller is about to release it.
    pub fn resign(&mut self) {
        self.tenure = None;
    }

    /// Our fencing token, while the lease holds for at least a margin more.
    pub fn token(&self, now: Duration) -> Option<Fencing> {
        self.tenure.filter(|t| now + self.margin() < t.until).map(|t| t.token)
    }

    /// The owner named by the last grant read, for the state dump.
    pub fn holder(&self) -> Option<&str> {
        let last = self.tail.as_ref()?.last.as_ref()?;
        (last.ttl_ms > 0).then_some(last.owner.as_str())
    }
}
