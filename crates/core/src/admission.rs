//! Admission control: whether to accept a request, or retry one, under load.
//!
//! - [`PrefillTime`]: the time an engine takes per prompt token queued ahead of a
//!   request, learned from the arrival times of first tokens. It converts the
//!   work queued at an engine into an expected wait.
//! - [`Budget`]: how many retries are allowed, as a fraction of the first
//!   attempts, so that retries don't add load to engines that fail.

use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};
use std::time::Duration;

use crate::ids::Tokens;

/// Minimum number of tokens for a sample: below that, fixed costs dominate.
const MIN_SAMPLE_TOKENS: u64 = 256;
/// Inverse weight of a new sample in the moving average: 8 means one eighth.
const SMOOTHING: u64 = 8;

/// Moving average of the nanoseconds that an engine takes per prompt token.
///
/// ```
/// use std::time::Duration;
/// use marjoram_core::admission::PrefillTime;
/// use marjoram_core::ids::Tokens;
/// let pace = PrefillTime::new();
/// assert_eq!(pace.wait(Tokens(1000)), None);
/// pace.observe(Tokens(1000), Duration::from_millis(40));
/// assert_eq!(pace.wait(Tokens(2000)), Some(Duration::from_millis(80)));
/// ```
#[derive(Debug, Default)]
pub struct PrefillTime(AtomicU64);

impl PrefillTime {
    /// Creates an estimate without samples.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that the first token arrived `took` after a request was sent, with
    /// `ahead` prompt tokens to prefill before it, its own included.
    pub fn observe(&self, ahead: Tokens, took: Duration) {
        if ahead.0 < MIN_SAMPLE_TOKENS {
            return;
        }
        let sample = (took.as_nanos() as u64 / ahead.0).max(1);
        let smooth = |average: u64| match average {
            0 => sample,
            _ => (average * (SMOOTHING - 1) + sample) / SMOOTHING,
        };
        let _ = self
            .0
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |average| Some(smooth(average)));
    }

    /// Expected wait behind `ahead` tokens; `None` before the first sample.
    pub fn wait(&self, ahead: Tokens) -> Option<Duration> {
        match self.0.load(Ordering::Relaxed) {
            0 => None,
            nanos => Some(Duration::from_nanos(nanos.saturating_mul(ahead.0))),
        }
    }
}

/// Units per attempt: the budget is counted in thousandths of an attempt, so that
/// the arithmetic on fractions is exact.
const MILLI_ATTEMPTS: i64 = 1000;

/// A retry budget: each first attempt earns a fraction of a retry, up to a
/// reserve that is full at the start.
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
    available: AtomicI64,
    share: i64,
    reserve: i64,
}

impl Budget {
    /// Creates a budget to which each request adds `share` thousandths of a
    /// retry, with a `reserve` of whole retries.
    pub fn new(share: u32, reserve: u32) -> Self {
        let reserve = i64::from(reserve) * MILLI_ATTEMPTS;
        Self { available: AtomicI64::new(reserve), share: i64::from(share), reserve }
    }

    /// Adds the fraction earned by one first attempt.
    pub fn earn(&self) {
        let earn = |available: i64| Some((available + self.share).min(self.reserve));
        let _ = self.available.fetch_update(Ordering::Relaxed, Ordering::Relaxed, earn);
    }

    /// Takes one retry from the budget; returns whether one was available.
    pub fn take(&self) -> bool {
        let take =
            |available: i64| (available >= MILLI_ATTEMPTS).then_some(available - MILLI_ATTEMPTS);
        self.available.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take).is_ok()
    }
}
