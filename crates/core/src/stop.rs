//! Which requests a process still accepts while it shuts down.
//!
//! Callers that cached an address go on sending requests to a host that is
//! shutting down, for some seconds. The requests it accepts must end before the
//! process does. For the period `ACCEPT_ALL` all requests are accepted as before;
//! after that, only those whose time limit ends before the process does. The
//! others are rejected at once as not executed, while the caller still has nearly
//! all of its time to try another host.

use std::time::Duration;

/// How long every request is still accepted: callers keep an address for two
/// seconds, and new address responses no longer name this host.
const ACCEPT_ALL: Duration = Duration::from_secs(3);

/// Time reserved at the end for writing the response.
const RESPONSE_MARGIN: Duration = Duration::from_millis(150);

/// A shutdown in progress: when it began and when it must be over.
///
/// ```
/// use std::time::Duration;
/// use marjoram_core::stop::Stop;
/// let stop = Stop { begun: Duration::from_secs(10), end: Duration::from_secs(17) };
/// let limit = Duration::from_secs(5);
/// assert!(stop.accepts(Duration::from_secs(12), limit));
/// assert!(!stop.accepts(Duration::from_secs(14), limit));
/// assert!(stop.accepts(Duration::from_secs(14), Duration::from_secs(1)));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stop {
    /// When the shutdown began.
    pub begun: Duration,
    /// When the process ends.
    pub end: Duration,
}

impl Stop {
    /// Whether a request that arrives at `now` and may take up to `limit` is
    /// accepted.
    pub fn accepts(&self, now: Duration, limit: Duration) -> bool {
        now < self.begun + ACCEPT_ALL || now + limit + RESPONSE_MARGIN <= self.end
    }
}
