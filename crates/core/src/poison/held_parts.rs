//! Prompt parts that are held back at hosts that do not detect.

use std::time::Duration;

use lru::LruCache;

use crate::exchange::PartId;

/// Maximum number of parts kept.
const MAX_PARTS: usize = 1_024;

/// How long a part is held back once a host has reported it: detecting hosts ask all
/// hosts about it within that time if they suspect it.
pub const REPORTED_PART_HOLD: Duration = Duration::from_millis(50);

/// How long a part is held back once a detecting host has asked about it: that host
/// decides within that time. It asks again after each further crash.
pub const QUERIED_PART_HOLD: Duration = Duration::from_millis(250);

/// Prompt parts that detecting hosts may be about to detect, and until when prompts
/// with them are held back. Hosts that do not detect know no other suspects.
///
/// ```
/// use std::time::Duration;
/// use marjoram_core::exchange::PartId;
/// use marjoram_core::poison::HeldParts;
/// let ms = Duration::from_millis;
/// let mut held = HeldParts::default();
/// held.hold(PartId(7), ms(250));
/// held.hold(PartId(7), ms(50));
/// assert!(held.holds(PartId(7), ms(249)) && !held.holds(PartId(7), ms(250)));
/// assert!(!held.holds(PartId(8), ms(0)));
/// ```
#[derive(Debug)]
pub struct HeldParts(LruCache<PartId, Duration>);

impl Default for HeldParts {
    fn default() -> Self {
        Self(LruCache::unbounded())
    }
}

impl HeldParts {
    /// Whether no part has been held back yet.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Holds `part` back until `until`, or longer if that is known already.
    pub fn hold(&mut self, part: PartId, until: Duration) {
        let known = self.0.get(&part).copied().unwrap_or_default();
        self.0.put(part, known.max(until));
        if self.0.len() > MAX_PARTS {
            self.0.pop_lru();
        }
    }

    /// Whether `part` is held back at `now`.
    pub fn holds(&self, part: PartId, now: Duration) -> bool {
        self.0.peek(&part).is_some_and(|until| now < *until)
    }
}
