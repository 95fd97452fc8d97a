//! Which hosts are candidates for the leadership of weights rollouts.
//!
//! Load pattern: hundreds of hosts, some with 0.12 cores and 10 Mbit/s. The
//! platform's store assigns leadership to one member of the candidate group, and
//! when that is lost, to the next in an order of its own. Of 295 members, two that
//! were too small to do the work took leadership in turns, and each change costs
//! the minimum handover interval.
//!
//! Limits: the [`PREFERRED_CANDIDATES`] hosts with the most capacity are
//! candidates, called the preferred ones here. A member that joins or leaves may
//! move leadership, so none does while engines are due to change and there are
//! other candidates. A host cools down, with no capacity, if it lost its
//! membership while others had no store errors, or if it cannot reach engines
//! that others reach. Hosts that are not preferred become candidates only once
//! there has been no other candidate for a while, and leave the group again.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::leadership::CandidateStatus;

/// Number of preferred candidates.
pub const PREFERRED_CANDIDATES: usize = 16;

/// With at least this number of other candidates, a preferred host does not join
/// while engines are due to change. With fewer, it joins once it has been up for
/// this time.
const MIN_CANDIDATES: usize = 3;
const MIN_UPTIME: Duration = Duration::from_secs(30);

/// How long there must have been no candidate before hosts that are not preferred
/// join: this time plus two rounds of heartbeats.
const NO_CANDIDATE_FOR: Duration = Duration::from_secs(1);
const NO_CANDIDATE_ROUNDS: u32 = 2;

/// How long a host that is not preferred must have had no store errors before it
/// joins: while the store is down, no host can be a candidate.
const ERROR_FREE: Duration = Duration::from_secs(3);

/// If at least one in this many members had store errors, the store itself failed
/// and not the link of one host.
const OUTAGE_SHARE: usize = 3;

/// How long reports of store errors may take to arrive from other hosts.
const ERROR_REPORT_DELAY: Duration = Duration::from_secs(1);

/// How long a host cools down.
pub const COOL_DOWN: Duration = Duration::from_secs(30);

/// How long the leader may fail to reach an engine before it hands over.
const OUT_OF_REACH: Duration = Duration::from_secs(3);

/// A host's capacity for control work such as leading rollouts: the smaller of its
/// processor share, in hundredths of a core, and its link speed, in megabits a
/// second. Zero while the host cools down.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ControlCapacity(pub u32);

impl ControlCapacity {
    /// The capacity of a host with `cores` and a link of `mbps`.
    ///
    /// ```
    /// use marjoram_core::candidacy::ControlCapacity;
    /// assert_eq!(ControlCapacity::new(0.12, 200.0), ControlCapacity(12));
    /// assert_eq!(ControlCapacity::new(0.5, 20.0), ControlCapacity(20));
    /// ```
    pub fn new(cores: f64, mbps: f64) -> Self {
        Self((cores * 100.0).min(mbps).clamp(1.0, f64::from(u32::MAX)) as u32)
    }
}

/// Order of hosts as candidates: by capacity, then by a hash of the name.
pub type Rank = (ControlCapacity, u64);

/// Another host, as its last heartbeat describes it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OtherHost {
    /// Its candidate status.
    pub candidate_status: CandidateStatus,
    /// Its rank.
    pub rank: Rank,
    /// How long ago it last had a store error.
    pub errors: Option<Duration>,
}

/// What a host knows when it decides whether to be a candidate.
#[derive(Debug, Clone)]
pub struct View {
    /// How long its process has been up.
    pub up: Duration,
    /// How long there has been no other candidate.
    pub without_candidate: Duration,
    /// Time in which each host receives one heartbeat from every other.
    pub round: Duration,
    /// Whether engines are due to change their weights.
    pub pending: bool,
    /// Its rank; with no capacity while it cools down.
    pub rank: Rank,
    /// How long ago it last had a store error.
    pub errors: Option<Duration>,
    /// The other hosts that accept requests.
    pub others: Vec<OtherHost>,
}

impl View {
    /// Number of other candidates.
    pub fn candidates(&self) -> usize {
        self.others.iter().filter(|o| o.candidate_status == CandidateStatus::Candidate).count()
    }

    /// Whether this host is one of the preferred candidates.
    fn is_preferred(&self) -> bool {
        let above = self.others.iter().filter(|o| o.rank > self.rank).count();
        above < PREFERRED_CANDIDATES && self.rank.0 > ControlCapacity::default()
    }

    /// Whether the host is to join the candidate group.
    ///
    /// ```
    /// use std::time::Duration;
    /// use marjoram_core::candidacy::{OtherHost, ControlCapacity, View};
    /// use marjoram_core::leadership::CandidateStatus;
    /// let secs = Duration::from_secs;
    /// let other = |capacity| OtherHost {
    ///     candidate_status: CandidateStatus::Candidate,
    ///     rank: (ControlCapacity(capacity), 1),
    ///     errors: None,
    /// };
    /// let mut view = View {
    ///     up: secs(3),
    ///     without_candidate: secs(0),
    ///     round: secs(2),
    ///     pending: false,
    ///     rank: (ControlCapacity(12), 5),
    ///     errors: None,
    ///     others: vec![other(50); 20],
    /// };
    /// assert!(!view.joins(), "others have more capacity");
    /// view.rank.0 = ControlCapacity(80);
    /// assert!(view.joins());
    /// view.pending = true;
    /// assert!(!view.joins(), "its join might move the leadership");
    /// view.others.iter_mut().for_each(|o| o.candidate_status = CandidateStatus::Unconfirmed);
    /// assert!(view.joins(), "nobody else would order");
    /// ```
    pub fn joins(&self) -> bool {
        let is_vacant = self.candidates() == 0;
        match self.is_preferred() {
            true => {
                let too_few = self.candidates() < MIN_CANDIDATES && self.up >= MIN_UPTIME;
                is_vacant || !self.pending || too_few
            }
            false => {
                let without_candidate =
                    self.without_candidate >= NO_CANDIDATE_FOR + self.round * NO_CANDIDATE_ROUNDS;
                is_vacant && without_candidate && self.errors.is_none_or(|age| age >= ERROR_FREE)
            }
        }
    }

    /// Whether a member is to leave the group again: it is not preferred, and there are
    /// enough other candidates.
    pub fn leaves(&self) -> bool {
        !self.pending && !self.is_preferred() && self.candidates() >= PREFERRED_CANDIDATES
    }

    /// Whether a host that the store has not confirmed for `lapse` is to cool down,
    /// as the fault is its own and not the store's: fewer than one in
    /// `OUTAGE_SHARE` of the other members had store errors in that time, or it knows
    /// of no other members.
    ///
    /// ```
    /// use std::time::Duration;
    /// use marjoram_core::candidacy::{OtherHost, ControlCapacity, View};
    /// use marjoram_core::leadership::CandidateStatus;
    /// let secs = Duration::from_secs;
    /// let other = |errors| OtherHost {
    ///     candidate_status: CandidateStatus::Candidate,
    ///     rank: (ControlCapacity(50), 1),
    ///     errors,
    /// };
    /// let mut view = View {
    ///     up: secs(60),
    ///     without_candidate: secs(0),
    ///     round: secs(2),
    ///     pending: true,
    ///     rank: (ControlCapacity(12), 5),
    ///     errors: Some(secs(0)),
    ///     others: vec![other(None); 15],
    /// };
    /// assert!(view.must_cool_down(secs(3)));
    /// view.others[..5].fill(other(Some(secs(2))));
    /// assert!(!view.must_cool_down(secs(3)));
    /// ```
    pub fn must_cool_down(&self, lapse: Duration) -> bool {
        let members =
            || self.others.iter().filter(|o| o.candidate_status != CandidateStatus::NotMember);
        let within = |age: Duration| age <= lapse + ERROR_REPORT_DELAY;
        let affected = members().filter(|o| o.errors.is_some_and(within)).count();
        affected * OUTAGE_SHARE < members().count() || members().count() == 0
    }
}

/// An engine that is due to change its weights and that the leader cannot reach.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnreachableEngine {
    /// For how long the leader has tried, while no other host reported the engine as
    /// unreachable.
    pub tried: Duration,
    /// Whether other hosts have requests in flight there.
    pub used: bool,
}

/// Whether the leader is to hand over at once: it has failed to reach an engine that
/// others reach for too long, no engine is changing its weights (`changing`), and
/// there is another candidate (`has_candidate`).
///
/// ```
/// use std::time::Duration;
/// use marjoram_core::candidacy::{UnreachableEngine, hands_over};
/// let engine = |secs, used| UnreachableEngine { tried: Duration::from_secs(secs), used };
/// assert!(hands_over([engine(4, true)], 0, true));
/// assert!(!hands_over([engine(4, false), engine(1, true)], 0, true));
/// assert!(!hands_over([engine(4, true)], 3, true));
/// ```
pub fn hands_over(
    unreached: impl IntoIterator<Item = UnreachableEngine>,
    changing: usize,
    has_candidate: bool,
) -> bool {
    let is_out_of_reach = |engine: UnreachableEngine| engine.used && engine.tried >= OUT_OF_REACH;
    has_candidate && changing == 0 && unreached.into_iter().any(is_out_of_reach)
}
