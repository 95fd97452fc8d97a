//! A lease with a fencing token, kept in the log service.
//!
//! One router at a time does the fleet's single-writer work (orders to engines,
//! configuration snapshots). Which one is decided by the log service's `lease`
//! stream, through its conditional append (append only if the stream ends at a
//! given offset): each record in the stream is a grant, and the last record is the
//! grant in force. The clock of the log service is not trusted:
//!
//! - The lease holder counts its lease from the moment *before* it sent the append.
//! - A challenger counts the same time to live from the moment *after* it
//!   first read that record, plus a margin, and only then appends its own.
//!
//! So the holder stops before any challenger starts, however long answers
//! take, as long as the clocks' rates differ by less than the margin. Clocks
//! are monotonic and count time spent suspended (`CLOCK_BOOTTIME`), so a
//! paused holder finds on resuming that its lease has expired. An append whose
//! answer is lost never extends a lease; one carried out late fails its condition
//! or yields a grant that nobody acts on, which expires.
//!
//! The fencing token is the offset of the record with which the holder took over,
//! so it rises with every change of holder. Receivers that check tokens refuse
//! a holder that was paused between its check and its order; for those that
//! do not, the margin must cover the time that an order takes to arrive.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{Fencing, Offset};

/// The time to live divided by this number is kept as a margin by the holder
/// before the end of its lease, and by a challenger after it.
const MARGIN_SHARE: u32 = 4;

/// One grant in the `lease` stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Grant {
    /// Who holds the lease: unique per process start.
    pub owner: String,
    /// The fencing token. Absent in the first record of a holder, whose offset is the
    /// token.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub token: Option<Fencing>,
    /// Time to live in milliseconds; 0 releases the lease.
    pub ttl_ms: u64,
}

impl Grant {
    /// The fencing token of the grant in the record at `offset`.
    pub fn token(&self, offset: Offset) -> Fencing {
        self.token.unwrap_or(Fencing(offset.0))
    }
}

/// A conditional append that a contender asks its caller to make.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Attempt {
    /// The offset at which the stream must end.
    pub at: Offset,
    /// The record to append.
    pub grant: Grant,
}

/// The end of the `lease` stream, as returned by one read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Tail {
    /// Offset of the next append.
    pub next: Offset,
    /// The last record, unless it expired or there is none.
    pub last: Option<Grant>,
}

/// One router's state in the competition for the lease.
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
    /// When the tail was first read in its present state.
    since: Duration,
    held: Option<HeldLease>,
}

#[derive(Debug, Clone, Copy)]
struct HeldLease {
    token: Fencing,
    /// Offset of this router's last grant.
    last: Offset,
    /// When that grant expires, on this router's clock.
    until: Duration,
}

impl Contender {
    /// A contender called `owner`, asking for `ttl` at a time.
    pub fn new(owner: impl Into<String>, ttl: Duration) -> Self {
        Self { owner: owner.into(), ttl, tail: None, since: Duration::ZERO, held: None }
    }

    /// The margin kept before and after the end of a lease.
    pub fn margin(&self) -> Duration {
        self.ttl / MARGIN_SHARE
    }

    /// Applies a read of the stream's end, whose answer was received at `now`.
    pub fn observe(&mut self, tail: Tail, now: Duration) {
        if self.tail.as_ref() != Some(&tail) {
            self.since = now;
        }
        let is_own = |held: &HeldLease| tail.next == Offset(held.last.0 + 1);
        self.held = self.held.filter(is_own);
        self.tail = Some(tail);
    }

    /// The append to make at `now`, if any: a renewal once a third of the own lease has
    /// passed, or a takeover once the lease of another router is certain to have
    /// expired.
    pub fn attempt(&self, now: Duration) -> Option<Attempt> {
        let tail = self.tail.as_ref()?;
        let held = self.held.filter(|held| now < held.until);
        let released = tail.last.as_ref().is_some_and(|last| last.ttl_ms == 0);
        let token = match held {
            Some(held) if now + self.ttl * 2 / 3 >= held.until => Some(held.token),
            None if released || self.expired(tail, now) => None,
            _ => return None,
        };
        let ttl_ms = self.ttl.as_millis() as u64;
        let grant = Grant { owner: self.owner.clone(), token, ttl_ms };
        Some(Attempt { at: tail.next, grant })
    }

    /// Whether the grant at the stream's end is certain to have expired, whoever holds
    /// it.
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
        self.held = Some(HeldLease { token, last: attempt.at, until: sent + self.ttl });
        self.tail = Some(Tail { next, last: Some(attempt.grant.clone()) });
        self.since = sent;
    }

    /// The append that releases the lease, if this router holds it.
    pub fn release(&self) -> Option<Attempt> {
        let held = self.held?;
        let grant = Grant { owner: self.owner.clone(), token: Some(held.token), ttl_ms: 0 };
        Some(Attempt { at: Offset(held.last.0 + 1), grant })
    }

    /// Stops counting as the holder: the caller is about to release the lease.
    pub fn resign(&mut self) {
        self.held = None;
    }

    /// This router's fencing token, while its lease lasts for more than the margin.
    pub fn token(&self, now: Duration) -> Option<Fencing> {
        self.held.filter(|held| now + self.margin() < held.until).map(|held| held.token)
    }

    /// The lease holder according to the last grant read, for the state dump.
    pub fn holder(&self) -> Option<&str> {
        let last = self.tail.as_ref()?.last.as_ref()?;
        (last.ttl_ms > 0).then_some(last.owner.as_str())
    }
}
