//! Retry budget: how often requests may be sent again, over all hosts together,
//! without communication between hosts at that moment.
//!
//! Load pattern: an upstream that fails many requests at once, or callers
//! that repeat at once. Each repeat then adds load to an overloaded service.
//! The operators allow repeats up to a fraction of the requests of a window plus
//! a fixed number, over all hosts together. The fraction adds up by itself: each
//! host applies it to its own requests. The fixed number is divided by the number
//! of hosts that are up. A margin is kept since the windows of hosts are not
//! aligned with those of the operators.

use std::collections::VecDeque;
use std::time::Duration;

/// Fraction of the allowance that is used. The rest covers windows in which the load
/// changes by up to a quarter.
const USED_SHARE: f64 = 0.8;

/// Number of slots that a window is divided into; its start is exact to one slot.
const SLOTS: u32 = 20;

/// The retry budget of one host for one service.
///
/// ```
/// use std::time::Duration;
/// use marjoram_core::budget::{Allowance, Budget};
/// let allowance = Allowance { ratio: 0.2, slack: 0.0, window: Duration::from_secs(10) };
/// let mut budget = Budget::new(allowance);
/// let now = Duration::from_secs(100);
/// (0..100).for_each(|_| budget.request(now));
/// assert_eq!((0..100).filter(|_| budget.repeat(now, 1)).count(), 16);
/// ```
#[derive(Debug, Clone)]
pub struct Budget {
    allowance: Allowance,
    slots: VecDeque<Slot>,
}

/// The repeats that the operators allow all hosts together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allowance {
    /// Fraction of the requests of a window.
    pub ratio: f64,
    /// Number of repeats in a window in addition to that fraction.
    pub slack: f64,
    /// The window.
    pub window: Duration,
}

#[derive(Debug, Clone, Copy, Default)]
struct Slot {
    start: Duration,
    requests: u32,
    repeats: u32,
}

impl Budget {
    /// An unused budget.
    pub fn new(allowance: Allowance) -> Self {
        Self { allowance, slots: VecDeque::new() }
    }

    /// Counts a caller's request received at `now`.
    pub fn request(&mut self, now: Duration) {
        self.slot(now).requests += 1;
    }

    /// Whether a request may be sent once more at `now`, with `hosts` hosts up. If
    /// so, the repeat is counted.
    pub fn repeat(&mut self, now: Duration, hosts: usize) -> bool {
        let allowed = self.has_room(now, hosts);
        if allowed {
            self.slot(now).repeats += 1;
        }
        allowed
    }

    /// Whether a request might be sent once more at `now`, with `hosts` hosts up;
    /// nothing is counted.
    ///
    /// ```
    /// use std::time::Duration;
    /// use marjoram_core::budget::{Allowance, Budget};
    /// let allowance = Allowance { ratio: 0.0, slack: 2.0, window: Duration::from_secs(10) };
    /// let mut budget = Budget::new(allowance);
    /// let now = Duration::from_secs(100);
    /// assert!(budget.has_room(now, 1) && budget.has_room(now, 1));
    /// assert!(budget.repeat(now, 1));
    /// assert!(!budget.has_room(now, 1));
    /// ```
    pub fn has_room(&mut self, now: Duration, hosts: usize) -> bool {
        self.slot(now);
        let requests: u32 = self.slots.iter().map(|s| s.requests).sum();
        let repeats: u32 = self.slots.iter().map(|s| s.repeats).sum();
        let share = self.allowance.slack / hosts.max(1) as f64;
        let allowed = USED_SHARE * (self.allowance.ratio * f64::from(requests) + share);
        f64::from(repeats + 1) <= allowed + 1e-9
    }

    fn slot(&mut self, now: Duration) -> &mut Slot {
        let width = self.allowance.window / SLOTS;
        while self.slots.front().is_some_and(|s| s.start + self.allowance.window <= now) {
            self.slots.pop_front();
        }
        if self.slots.back().is_none_or(|s| s.start + width <= now) {
            self.slots.push_back(Slot { start: now, ..Slot::default() });
        }
        self.slots.back_mut().expect("a slot was pushed")
    }
}
