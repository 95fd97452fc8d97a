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
/// A sample is the time from sending a prompt to its first token, divided by the
/// tokens that the engine has read in that time. Engines read prompts in an order
/// of their own, by priority or arrival, so the tokens queued when a prompt is sent
/// may be read after it, or others before it.
///
/// ```
/// use std::time::Duration;
/// use marjoram_core::admission::PrefillTime;
/// use marjoram_core::ids::Tokens;
/// let pace = PrefillTime::new();
/// assert_eq!(pace.wait(Tokens(1000)), None);
/// let read_before = pace.read();
/// pace.observe(read_before, Tokens(1000), Duration::from_millis(40));
/// assert_eq!(pace.wait(Tokens(2000)), Some(Duration::from_millis(80)));
/// ```
#[derive(Debug, Default)]
pub struct PrefillTime {
    nanos_per_token: AtomicU64,
    read: AtomicU64,
}

impl PrefillTime {
    /// Creates an estimate without samples.
    pub fn new() -> Self {
        Self::default()
    }

    /// Prompt tokens that the engine has read so far.
    pub fn read(&self) -> Tokens {
        Tokens(self.read.load(Ordering::Relaxed))
    }

    /// Records that the first token arrived `took` after a prompt was sent, of which
    /// the engine had to read `unread` tokens. `read_before` is what [`Self::read`]
    /// returned when it was sent.
    pub fn observe(&self, read_before: Tokens, unread: Tokens, took: Duration) {
        let read = self.read.fetch_add(unread.0, Ordering::Relaxed) + unread.0 - read_before.0;
        if read < MIN_SAMPLE_TOKENS {
            return;
        }
        let sample = (took.as_nanos() as u64 / read).max(1);
        let smooth = |average: u64| match average {
            0 => sample,
            _ => (average * (SMOOTHING - 1) + sample) / SMOOTHING,
        };
        let _ =
            self.nanos_per_token.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |average| {
                Some(smooth(average))
            });
    }

    /// The average; `None` before the first sample.
    pub fn nanos_per_token(&self) -> Option<u64> {
        match self.nanos_per_token.load(Ordering::Relaxed) {
            0 => None,
            nanos => Some(nanos),
        }
    }

    /// Expected wait behind `ahead` tokens; `None` before the first sample.
    pub fn wait(&self, ahead: Tokens) -> Option<Duration> {
        let wait = |nanos: u64| Duration::from_nanos(nanos.saturating_mul(ahead.0));
        self.nanos_per_token().map(wait)
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
