//! Tracks when the platform's store was available: for how long it has responded
//! without errors, now and in earlier periods.
//!
//! The operators' bound on replaced weights (how long they may stay in use) runs
//! within one period without store errors, because weights can only be ordered
//! while the store is available. Suppose the store fails or slows down while some
//! engines are still on weights that were replaced long ago, because hosts were
//! stopped one after another and the leadership of weights rollouts moved with
//! them. A host that considers only the current period would then use weights
//! again whose bound had already passed before the errors.
//!
//! A host may also see errors for a local reason: its link or processor is
//! overloaded, or one connection has gone silent. If it took these for a store
//! outage, it would keep replaced weights in use past their bound. So an outage
//! counts only once a quorum of the hosts sees errors.
//!
//! A period ends with the last successful response before the errors, so its
//! length is never overstated. Short periods and old ones, which cannot reach a
//! bound, are discarded.

use std::collections::VecDeque;
use std::time::Duration;

/// Shortest error-free period that is kept.
const MIN_PERIOD: Duration = Duration::from_secs(2);

/// Number of past error-free periods that are kept.
const MAX_PERIODS: usize = 16;

/// Fraction of the hosts that must see store errors for an outage. It is below a
/// third, so that an outage is also detected if the store rejects only a third of
/// the hosts and serves the others.
const OUTAGE_QUORUM: f64 = 0.2;

/// Minimum number of hosts that must see errors, even if the fraction gives fewer;
/// with fewer hosts than this, all of them.
const MIN_QUORUM: usize = 2;

/// Window within which these hosts must see errors; a host calls the store about
/// once per second.
const OUTAGE_WINDOW: Duration = Duration::from_secs(3);

/// Returns how long ago the last outage of the store was, or `None` without a
/// quorum. `own` is the age of this host's last store error, `others` are the
/// ages of the last errors of the other hosts that saw any, and `hosts` is the
/// number of all hosts. A host that saw no error itself ignores the reports of
/// others: two hosts that were suspended at the same time both see time-outs.
///
/// ```
/// use std::time::Duration;
/// use marjoram_core::store_availability::outage_age;
/// let secs = Duration::from_secs;
/// // Of nine hosts, two are a quorum.
/// assert_eq!(outage_age(Some(secs(0)), [], 9), None);
/// assert_eq!(outage_age(Some(secs(0)), [secs(1)], 9), Some(secs(1)));
/// assert_eq!(outage_age(Some(secs(0)), [], 1), Some(secs(0)));
/// assert_eq!(outage_age(None, [secs(0), secs(0)], 9), None);
/// ```
pub fn outage_age(
    own: Option<Duration>,
    others: impl IntoIterator<Item = Duration>,
    hosts: usize,
) -> Option<Duration> {
    let own = own.filter(|age| *age <= OUTAGE_WINDOW)?;
    let by_fraction = (hosts as f64 * OUTAGE_QUORUM).ceil() as usize;
    let quorum = by_fraction.max(MIN_QUORUM).min(hosts.max(1));
    let mut ages: Vec<Duration> = others.into_iter().filter(|age| *age <= OUTAGE_WINDOW).collect();
    ages.push(own);
    ages.sort_unstable();
    ages.get(quorum - 1).copied()
}

/// A period without store errors.
#[derive(Debug, Clone, Copy)]
struct ErrorFreePeriod {
    /// When it began; `None` if before this process started.
    start: Option<Duration>,
    /// The last successful response in it.
    end: Duration,
}

/// Periods in which the store responded without errors, as observed by this host.
///
/// ```
/// use std::time::Duration;
/// use marjoram_core::store_availability::StoreAvailability;
/// let secs = Duration::from_secs;
/// let mut store = StoreAvailability::new();
/// store.record_success(secs(19));
/// store.note_error(secs(20));
/// // Of the 22 seconds before 28 s, 13 are in one period before the error. At 22
/// // s, two seconds have passed since it.
/// assert_eq!(store.longest_past_period(secs(22), secs(28)), secs(13));
/// assert_eq!(store.error_free_for(secs(22)), secs(2));
/// ```
#[derive(Debug, Clone, Default)]
pub struct StoreAvailability {
    last_error: Option<Duration>,
    last_success: Duration,
    periods: VecDeque<ErrorFreePeriod>,
}

impl StoreAvailability {
    /// Creates a tracker with no errors recorded.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that the store responded in time at `now`.
    pub fn record_success(&mut self, now: Duration) {
        self.last_success = self.last_success.max(now);
    }

    /// Records that the store failed at `now`; times up to the last recorded
    /// error are ignored.
    pub fn note_error(&mut self, now: Duration) {
        if self.last_error.is_some_and(|at| now <= at) {
            return;
        }
        let period = ErrorFreePeriod { start: self.last_error, end: self.last_success };
        let length = self.last_success.saturating_sub(self.last_error.unwrap_or_default());
        if length >= MIN_PERIOD {
            self.periods.push_back(period);
        }
        if self.periods.len() > MAX_PERIODS {
            self.periods.pop_front();
        }
        self.last_error = Some(now);
    }

    /// How long the store has been without errors at `now`; [`Duration::MAX`] if
    /// it never failed.
    pub fn error_free_for(&self, now: Duration) -> Duration {
        self.last_error.map_or(Duration::MAX, |at| now.saturating_sub(at))
    }

    /// The longest error-free period that ended before the last error, counting
    /// only the part within the `span` before `now`.
    pub fn longest_past_period(&self, span: Duration, now: Duration) -> Duration {
        let within = |period: &ErrorFreePeriod| {
            let since = span.saturating_sub(now.saturating_sub(period.end));
            period.start.map_or(since, |start| since.min(period.end.saturating_sub(start)))
        };
        self.periods.iter().map(within).max().unwrap_or_default()
    }
}
