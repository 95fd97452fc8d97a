//! Which slots of one upstream are in use or in doubt.

use std::time::Duration;

use crate::brittle::MaxRejections;

/// The part of the tolerated rejections that granting slots in doubt may cause.
const USED_SHARE: f64 = 0.5;

/// An upstream's slots.
#[derive(Debug, Clone, Copy, Default)]
pub struct Slots {
    /// How many there are.
    pub total: u32,
    /// Whether requests may be sent there.
    pub is_open: bool,
    /// Slots that hosts hold or use.
    pub used: u32,
    /// Further slots that may be in use by requests that no host reports.
    unreported: u32,
    /// When these requests must have ended.
    unreported_until: Duration,
    /// Further slots in doubt since a request was rejected.
    rejected: u32,
    /// From when on the next slot in doubt may be granted.
    next_trial: Duration,
}

impl Slots {
    /// Adds `count` slots that may be in use until `until` by requests that no host reports.
    pub fn add_unreported(&mut self, count: u32, until: Duration) {
        self.unreported += count;
        self.unreported_until = self.unreported_until.max(until);
    }

    /// Adds a slot in which a request was rejected at `now`.
    pub fn add_rejected(&mut self, max: MaxRejections, now: Duration) {
        self.rejected += 1;
        self.next_trial = self.next_trial.max(now + trial_interval(max));
    }

    /// Brings the doubts up to date.
    pub fn advance(&mut self, max: MaxRejections, now: Duration) {
        let unused = self.total.saturating_sub(self.used);
        if now >= self.unreported_until {
            self.unreported = 0;
        }
        // No more than the unused ones can be in use unreported.
        self.rejected = self.rejected.min(unused);
        self.unreported = self.unreported.min(unused - self.rejected);
        let in_doubt = self.unreported + self.rejected;
        if in_doubt > 0 && now >= self.next_trial && max.0 > 0 {
            self.next_trial = now + trial_interval(max);
            match self.unreported {
                0 => self.rejected -= 1,
                _ => self.unreported -= 1,
            }
        }
    }

    /// Slots to grant of the `grantable` ones.
    pub fn free(&self, grantable: u32) -> u32 {
        match self.is_open {
            true => grantable.saturating_sub(self.used + self.unreported + self.rejected),
            false => 0,
        }
    }
}

/// Time between two trials of slots in doubt.
fn trial_interval(max: MaxRejections) -> Duration {
    Duration::from_secs_f64(1.0 / (f64::from(max.0.max(1)) * USED_SHARE))
}
