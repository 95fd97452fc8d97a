//! Which requests are still taken while a process stops.
//!
//! Load pattern: callers that keep an old answer go on sending to a host
//! that is stopping, for seconds. What it takes must end before the process
//! does. Requests are taken as before for [`OPEN`]; after that only those
//! whose own time is up before the end. The others are refused at once as
//! not run, while the caller has nearly all of its time to go elsewhere.

use std::time::Duration;

/// How long every request is still taken: callers keep an answer for two
/// seconds, and a new one no longer names this host.
const OPEN: Duration = Duration::from_secs(3);

/// Time kept back at the end for the answer to be written.
const MARGIN: Duration = Duration::from_millis(150);

/// A stop: when it began and when it must be over.
///
/// ```
/// use std::time::Duration;
/// use marjoram_core::stop::Stop;
/// let stop = Stop { begun: Duration::from_secs(10), end: Duration::from_secs(17) };
/// let limit = Duration::from_secs(5);
/// assert!(stop.takes(Duration::from_secs(12), limit));
/// assert!(!stop.takes(Duration::from_secs(14), limit));
/// assert!(stop.takes(Duration::from_secs(14), Duration::from_secs(1)));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stop {
    /// When it began.
    pub begun: Duration,
    /// When the process ends.
    pub end: Duration,
}

impl Stop {
    /// Whether a request that comes at `now` and may take `limit` is taken.
    pub fn takes(&self, now: Duration, limit: Duration) -> bool {
        now < self.begun + OPEN || now + limit + MARGIN <= self.end
    }
}
