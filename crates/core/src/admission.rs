//! Whether to take a request on, or on again, under load.
//!
//! - [`Pace`]: how long an engine takes per prompt token ahead of a request,
//!   learnt from when first tokens came; it turns the work queued at an
//!   engine into an expected wait.
//! - [`Budget`]: how many second attempts may be made, as a share of the
//!   first ones, so that failing engines are not loaded further by retries.

use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};
use std::time::Duration;

use crate::ids::Tokens;

/// Fewest tokens a sample is taken over: below, fixed costs dominate.
const SAMPLE_TOKENS: u64 = 256;
/// Weight of a new sample, as one part in this many.
const SMOOTHING: u64 = 8;

/// Nanoseconds an engine takes per prompt token, smoothed.
///
/// ```
/// use std::time::Duration;
/// use marjoram_core::admission::Pace;
/// use marjoram_core::ids::Tokens;
/// let pace = Pace::new();
/// assert_eq!(pace.wait(Tokens(1000)), None);
/// pace.observe(Tokens(1000), Duration::from_millis(40));
/// assert_eq!(pace.wait(Tokens(2000)), Some(Duration::from_millis(80)));
/// ```
#[derive(Debug, Default)]
pub struct Pace(AtomicU64);

impl Pace {
    /// No samples yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in that a first token came `took` after a request was sent with
    /// `ahead` prompt tokens, its own included, to be read before it.
    pub fn observe(&self, ahead: Tokens, took: Duration) {
        if ahead.0 < SAMPLE_TOKENS {
            return;
        }
        let sample = (took.as_nanos() as u64 / ahead.0).max(1);
        let smooth = |old: u64| match old {
            0 => sample,
            _ => (old * (SMOOTHING - 1) + sample) / SMOOTHING,
        };
        let _ = self.0.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |old| Some(smooth(old)));
    }

    /// Expected wait behind `ahead` tokens; `None` before any sample.
    pub fn wait(&self, ahead: Tokens) -> Option<Duration> {
        match self.0.load(Ordering::Relaxed) {
            0 => None,
            nanos => Some(Duration::from_nanos(nanos.saturating_mul(ahead.0))),
        }
    }
}

/// Thousandths of an attempt, so that shares are exact.
const UNIT: i64 = 1000;

/// A budget of second attempts: each first attempt earns a share of one, up
/// to a reserve that is full at the start.
///
/// ```
/// use marjoram_core::admission::Budget;
/// let budget = Budget::new(200, 1);
/// assert!(budget.take(), "the reserve");
/// assert!(!budget.take());
/// (0..5).for_each(|_| budget.earn());
/// assert!(budget.take(), "a fifth of five requests");
/// ```
#[derive(Debug)]
pub struct Budget {
    left: AtomicI64,
    share: i64,
    reserve: i64,
}

impl Budget {
    /// `share` thousandths of an attempt earned by each request, and a
    /// `reserve` of whole attempts.
    pub fn new(share: u32, reserve: u32) -> Self {
        let reserve = i64::from(reserve) * UNIT;
        Self { left: AtomicI64::new(reserve), share: i64::from(share), reserve }
    }

    /// Counts a first attempt.
    pub fn earn(&self) {
        let earn = |left: i64| Some((left + self.share).min(self.reserve));
        let _ = self.left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, earn);
    }

    /// Takes one second attempt, if the budget has it.
    pub fn take(&self) -> bool {
        let take = |left: i64| (left >= UNIT).then_some(left - UNIT);
        self.left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take).is_ok()
    }
}
