//! Which part of the slots a coordinator may grant.

use std::time::Duration;

/// Part of the hosts that must report to a coordinator before it grants all slots. A
/// coordinator with no more than the rest grants none.
const QUORUM: f64 = 0.75;

/// How long a host that is not listed any more still counts: it may be cut off from the store
/// and go on.
const RETENTION: Duration = Duration::from_secs(10);

/// Whether the reports of `voters` of `hosts` hosts suffice to grant all slots.
pub fn has_quorum(voters: usize, hosts: usize) -> bool {
    voters as f64 >= QUORUM * hosts as f64
}

/// Slots of an upstream with `slots` that may be granted by a coordinator to which `voters` of
/// `hosts` hosts report. For coordinators with different voters, the sum is never more than
/// `slots`.
///
/// ```
/// use marjoram_core::slot_leases::quorum::grantable;
/// assert_eq!(grantable(12, 68, 70), 12);
/// assert_eq!([35, 35].map(|voters| grantable(12, voters, 70)), [6, 6]);
/// assert_eq!([53, 17].map(|voters| grantable(12, voters, 70)), [12, 0]);
/// ```
pub fn grantable(slots: u32, voters: usize, hosts: usize) -> u32 {
    let share = voters as f64 / hosts.max(1) as f64;
    match () {
        () if has_quorum(voters, hosts) => slots,
        () if share <= 1.0 - QUORUM => 0,
        () => (f64::from(slots) * share) as u32,
    }
}

/// The number of hosts, which falls only once all counts of the last [`RETENTION`] were lower.
///
/// ```
/// use std::time::Duration;
/// use marjoram_core::slot_leases::quorum::HostCount;
/// let mut count = HostCount::default();
/// let seconds = Duration::from_secs;
/// assert_eq!(count.record(70, seconds(0)), 70);
/// assert_eq!(count.record(14, seconds(9)), 70);
/// assert_eq!(count.record(14, seconds(11)), 14);
/// ```
#[derive(Debug, Clone, Default)]
pub struct HostCount {
    count: usize,
    /// When that many were last known.
    at: Duration,
    /// Highest lower count since then, and when it was last known.
    next: (usize, Duration),
}

impl HostCount {
    /// Records that `count` hosts were known at `now`; returns the number to use.
    pub fn record(&mut self, count: usize, now: Duration) -> usize {
        if now >= self.at + RETENTION {
            (self.count, self.at) = self.next;
            self.next = (0, now);
        }
        if count >= self.count {
            (self.count, self.at, self.next) = (count, now, (0, now));
        } else if count >= self.next.0 {
            self.next = (count, now);
        }
        self.count
    }
}
