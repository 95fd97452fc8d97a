//! What one host holds and uses, as its coordinator knows.

use std::collections::HashMap;
use std::time::Duration;

use super::{LEASE_TTL, SlotUse, UpstreamKey};

/// Time for which a report counts as a vote for the coordinator; shorter than the time after
/// which a host reports to another one.
pub const VOTE_TTL: Duration = Duration::from_millis(500);

/// Slots that one host holds or uses at one upstream.
#[derive(Debug, Clone, Copy, Default)]
pub struct Holding {
    /// Granted to it.
    pub leased: u16,
    /// Granted to it as far as it may know.
    pub bound: u16,
    /// Its requests that may be running there.
    pub running: u16,
    /// Its rejections, as last reported.
    pub rejected: u32,
}

impl Holding {
    pub fn joining(reported: &SlotUse) -> (UpstreamKey, Self) {
        (reported.upstream, Self { rejected: reported.rejected, ..Self::default() })
    }

    pub fn used(&self) -> u32 {
        u32::from(self.bound.max(self.running))
    }
}

/// One host.
#[derive(Debug, Clone, Default)]
pub struct Account {
    pub life: u64,
    /// Since when it reports without a pause.
    pub since: Duration,
    pub last_report: Duration,
    pub sent_us: u64,
    pub wanted: usize,
    pub work: Duration,
    pub holdings: HashMap<UpstreamKey, Holding>,
    pub unusable: Vec<UpstreamKey>,
    /// Number of the last grant.
    pub number: u32,
    /// Since when it has its slots, or waits for the first one.
    pub tenure: Duration,
    /// Its leases have changed since the last grant.
    pub is_changed: bool,
}

impl Account {
    pub fn leased(&self) -> usize {
        self.holdings.values().map(|holding| usize::from(holding.leased)).sum()
    }

    /// Slots that it gives back, but may not have heard of yet.
    pub fn returning(&self) -> usize {
        let returning = |h: &Holding| usize::from(h.bound.saturating_sub(h.leased));
        self.holdings.values().map(returning).sum()
    }

    pub fn is_vote(&self, now: Duration) -> bool {
        now < self.last_report + VOTE_TTL && now >= self.since + LEASE_TTL
    }
}
