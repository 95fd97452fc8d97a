//! When requests last completed.

use std::time::Duration;

use crate::fingerprint::Fingerprint;

/// Number of slots: enough for the requests of the last few minutes of a host.
const SLOTS: usize = 4_096;

/// When requests last completed, in a hash table of fixed size: of two requests
/// that share a slot, the one that completed later is kept.
///
/// ```
/// use std::time::Duration;
/// use marjoram_core::fingerprint::Fingerprint;
/// use marjoram_core::poison::RecentCompletions;
/// let mut recent = RecentCompletions::new();
/// recent.record(Fingerprint(7), Duration::from_secs(1));
/// assert_eq!(recent.age(Fingerprint(7), Duration::from_secs(3)), Some(Duration::from_secs(2)));
/// assert_eq!(recent.age(Fingerprint(8), Duration::from_secs(3)), None);
/// ```
#[derive(Debug, Default)]
pub struct RecentCompletions {
    slots: Vec<Option<(Fingerprint, Duration)>>,
}

impl RecentCompletions {
    /// An empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that `request` completed at `now`.
    pub fn record(&mut self, request: Fingerprint, now: Duration) {
        if self.slots.is_empty() {
            self.slots = vec![None; SLOTS];
        }
        self.slots[slot(request)] = Some((request, now));
    }

    /// How long before `now` `request` last completed; `None` if that is not known.
    pub fn age(&self, request: Fingerprint, now: Duration) -> Option<Duration> {
        let (known, at) = (*self.slots.get(slot(request))?)?;
        (known == request).then(|| now.saturating_sub(at))
    }
}

fn slot(request: Fingerprint) -> usize {
    (request.0 % SLOTS as u64) as usize
}
