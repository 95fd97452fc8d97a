//! One host's leadership of weights rollouts, which the platform's store assigns to
//! one member of a group.
//!
//! Load pattern: the store assigns leadership to one member at a time and numbers
//! each change. But hosts freeze, are partitioned, learn late or never that they
//! have lost leadership, and are assigned it again after that. Upstreams that do
//! not compare fencing tokens carry out every order that reaches them, so the
//! orders of two hosts must always be apart by the operators' minimum handover
//! interval.
//!
//! Limits: a leader gives orders only while its lease is certain to last. The
//! lease is counted from a time before the request for it was sent, on a clock
//! that counts suspension, less a margin for an order in transit. The leader also
//! waits until the handover interval has passed since it was assigned leadership
//! and the store has confirmed its leadership after that. A leader that was
//! already allowed to give orders and is assigned leadership again within the
//! handover interval after the store last confirmed it goes on at once: any other
//! leader would still be waiting, and learns at its confirmation that it has lost
//! leadership. (The store would have to move leadership twice by itself within the
//! interval to break this.)
//!
//! The handover interval is counted from an earlier time if all other hosts confirm,
//! to a leader that asks with its token, how long ago each of them last gave an order:
//! after a leader has crashed and restarted, or all hosts have. Whoever confirms
//! gives up any leadership with a lower token for good.
//!
//! A store that returns from a backup may assign leadership to a former leader
//! while the last one still relies on its lease. That one asked for its lease
//! before the return, so the lease ends at the latest one lease duration after
//! any host first received an answer of the new era. The handover interval of a
//! term that begins sooner is counted from that end. A leader that was allowed to
//! give orders and that is confirmed in the new era goes on: whoever was assigned
//! leadership meanwhile is still waiting. A leader that was still waiting starts
//! a new term.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::era::{Era, Token};

/// How long the store may take to confirm a new member for the first time.
const FIRST_JOIN: Duration = Duration::from_secs(1);

/// Whether a host is a candidate for leadership, as hosts report to each other.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum CandidateStatus {
    /// It is not a member of the candidate group.
    #[default]
    NotMember,
    /// It is a member of the group, and so may become leader.
    Candidate,
    /// It tries to be a member, but the store does not confirm it.
    Unconfirmed,
}

impl CandidateStatus {
    /// The status at `now` of a host that joined at `joined`, and that the store last
    /// confirmed for `lease` at `confirmed`.
    pub fn new(
        joined: Option<Duration>,
        confirmed: Option<Duration>,
        lease: Duration,
        now: Duration,
    ) -> Self {
        match (joined, confirmed) {
            (None, _) => Self::NotMember,
            (_, Some(at)) if now < at + lease => Self::Candidate,
            (Some(at), _) if now < at + FIRST_JOIN => Self::Candidate,
            _ => Self::Unconfirmed,
        }
    }
}

/// Time at the end of the lease during which no orders are given. It covers the
/// few milliseconds that an order takes to arrive.
pub const ORDER_MARGIN: Duration = Duration::from_millis(400);

/// The effect of an answer of the store on this host's leadership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeadershipChange {
    /// Nothing changed.
    Unchanged,
    /// This host is now the leader.
    Gained {
        /// The fencing token of its orders.
        token: Token,
        /// The time from which the handover interval is counted.
        since: Duration,
    },
    /// This host is no longer the leader.
    Lost {
        /// The fencing token that it had.
        token: Token,
    },
}

/// One host's view of its leadership. All times are of a clock that counts
/// suspension.
///
/// ```
/// use std::time::Duration;
/// use marjoram_core::era::{Era, Token};
/// use marjoram_core::leadership::LeaderTerm;
/// let ms = Duration::from_millis;
/// let mut leader_term = LeaderTerm::new(ms(2_700));
/// let token = Token::new(Era(0), 7);
/// leader_term.on_store_answer(true, token, ms(10), ms(14), ms(3_000));
/// assert_eq!(leader_term.token(ms(1_000), ms(3_000)), None);
/// // Renewed while the handover interval passes, and confirmed after it.
/// leader_term.on_store_answer(true, token, ms(2_000), ms(2_004), ms(3_000));
/// assert_eq!(leader_term.token(ms(3_014), ms(3_000)), None);
/// leader_term.on_store_answer(true, token, ms(3_014), ms(3_018), ms(3_000));
/// assert_eq!(leader_term.token(ms(3_018), ms(3_000)), Some(token));
/// // Its lease is about to end.
/// assert_eq!(leader_term.token(ms(5_400), ms(3_000)), None);
/// ```
#[derive(Debug, Clone)]
pub struct LeaderTerm {
    /// Duration of the lease that the store is asked for.
    lease: Duration,
    /// Until when the lease is certain to last.
    until: Duration,
    /// While this host is the leader: its token, and when its term began.
    term: Option<(Token, Duration)>,
    /// The last term: when it began, and when this host sent the last request that
    /// the store answered by confirming it.
    last_term: Option<(Duration, Duration)>,
    /// The newest era received, and until when leases of earlier eras may last. That
    /// is counted from when this host first received the era: a host that has just
    /// started cannot know when the era began.
    era: (Era, Duration),
    /// The numbers of the highest token that this host was assigned, and of the highest
    /// one that another leader has reported.
    own_token: u64,
    other_token: u64,
}

impl LeaderTerm {
    /// No leadership; the store is asked for leases of `lease`.
    pub fn new(lease: Duration) -> Self {
        Self {
            lease,
            until: Duration::ZERO,
            term: None,
            last_term: None,
            era: Default::default(),
            own_token: 0,
            other_token: 0,
        }
    }

    /// Applies an answer of the store, requested at `asked` and received at `now`:
    /// whether this host is the leader (`is_leader`), and the token of the
    /// assignment. `handover` is the minimum handover interval. An answer of an
    /// earlier era than the last one's changes nothing.
    pub fn on_store_answer(
        &mut self,
        is_leader: bool,
        token: Token,
        asked: Duration,
        now: Duration,
        handover: Duration,
    ) -> LeadershipChange {
        let (era, _) = self.era;
        if token.era() < era {
            return LeadershipChange::Unchanged;
        }
        // An assignment from before that of another leader that has asked this host.
        let is_leader = is_leader && token.number() > self.other_token;
        if is_leader {
            self.own_token = self.own_token.max(token.number());
        }
        let is_new_era = token.era() > era;
        if is_new_era {
            self.era = (token.era(), now + self.lease);
        }
        match (is_leader, self.term) {
            (true, Some((_, since)))
                if now < self.until && (!is_new_era || self.could_order(handover)) =>
            {
                // The store may have moved leadership away and back unnoticed. The
                // newest token is above that of any leader in between.
                self.term = Some((token, since));
                self.confirm(since, asked);
                LeadershipChange::Unchanged
            }
            (true, _) => {
                let since = self.resumable_since(asked, handover).unwrap_or(now.max(self.era.1));
                self.term = Some((token, since));
                self.confirm(since, asked);
                LeadershipChange::Gained { token, since }
            }
            (false, Some((token, _))) => {
                self.term = None;
                LeadershipChange::Lost { token }
            }
            (false, None) => LeadershipChange::Unchanged,
        }
    }

    /// Gives up leadership.
    pub fn release(&mut self) {
        self.term = None;
        self.until = Duration::ZERO;
    }

    /// Records that another host is the leader with the token `number`. A leader with a
    /// lower token gives up, and does not resume its term later.
    pub fn yield_to(&mut self, number: u64) {
        self.other_token = self.other_token.max(number);
        if self.own_token < self.other_token {
            self.release();
            self.last_term = None;
        }
    }

    /// Records that no other host has given an order since `since`, and that none will
    /// in a term with a lower token: the handover interval is counted from there.
    ///
    /// ```
    /// use std::time::Duration;
    /// use marjoram_core::era::{Era, Token};
    /// use marjoram_core::leadership::LeaderTerm;
    /// let ms = Duration::from_millis;
    /// let mut leader_term = LeaderTerm::new(ms(2_700));
    /// let token = Token::new(Era(0), 7);
    /// leader_term.on_store_answer(true, token, ms(5_000), ms(5_004), ms(3_000));
    /// assert_eq!(leader_term.token(ms(5_100), ms(3_000)), None);
    /// leader_term.record_others_idle(ms(1_500));
    /// assert_eq!(leader_term.token(ms(5_100), ms(3_000)), Some(token));
    /// ```
    pub fn record_others_idle(&mut self, since: Duration) {
        if let Some((_, start)) = &mut self.term {
            *start = since.min(*start);
            self.last_term = self.last_term.map(|(_, asked)| (*start, asked));
        }
    }

    /// Whether this host is the leader, even if it may not give orders yet.
    pub fn is_held(&self) -> bool {
        self.term.is_some()
    }

    /// The token of this host's term, even if it may not give orders yet.
    pub fn held_token(&self) -> Option<Token> {
        self.term.map(|(token, _)| token)
    }

    /// The fencing token if this host may give orders at `now`.
    pub fn token(&self, now: Duration, handover: Duration) -> Option<Token> {
        let (token, since) = self.term?;
        let confirmed = self.last_term.is_some_and(|(_, asked)| asked >= since + handover);
        (now + ORDER_MARGIN < self.until && confirmed).then_some(token)
    }

    /// The time from `now` until the store is to be asked next: `renewals` times in a
    /// lease, and as soon as the handover interval has passed.
    ///
    /// ```
    /// use std::time::Duration;
    /// use marjoram_core::era::{Era, Token};
    /// use marjoram_core::leadership::LeaderTerm;
    /// let ms = Duration::from_millis;
    /// let mut leader_term = LeaderTerm::new(ms(2_000));
    /// leader_term.on_store_answer(true, Token::new(Era(0), 7), ms(10), ms(14), ms(3_000));
    /// assert_eq!(leader_term.renewal_delay(ms(14), ms(3_000), 4), ms(500));
    /// assert_eq!(leader_term.renewal_delay(ms(2_914), ms(3_000), 4), ms(100));
    /// ```
    pub fn renewal_delay(&self, now: Duration, handover: Duration, renewals: u32) -> Duration {
        let usual = self.lease / renewals;
        match self.term {
            Some((_, since)) if now < since + handover => usual.min(since + handover - now),
            _ => usual,
        }
    }

    /// Whether the store confirmed the last term after the handover interval, so that
    /// this host was allowed to give orders in it.
    fn could_order(&self, handover: Duration) -> bool {
        self.last_term.is_some_and(|(since, confirmed)| confirmed >= since + handover)
    }

    /// Records that the store confirmed the term that began at `since`, in its answer
    /// to a request sent at `asked`.
    fn confirm(&mut self, since: Duration, asked: Duration) {
        self.last_term = Some((since, asked));
        self.until = asked + self.lease;
    }

    /// When the last term began, if this host was allowed to give orders in it and no
    /// other host can have given any since.
    fn resumable_since(&self, asked: Duration, handover: Duration) -> Option<Duration> {
        let (since, confirmed) = self.last_term?;
        (self.could_order(handover) && asked < confirmed + handover).then_some(since)
    }
}
