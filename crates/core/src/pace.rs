//! Rate limits for control traffic, so that it takes only a share of a host's
//! link and processor.
//!
//! Control traffic comes in bursts, also on hosts with 0.12 cores and links of 10
//! Mbit/s that serve callers at the same time: for example, a fifth of 870
//! engines to be sent orders at once, half of them to be polled for whether they
//! have changed.
//!
//! Control messages may take a twentieth of the link and calls to engines three
//! tenths, of which polls may take three quarters. Traffic beyond that is
//! delayed, and messages that are delayed are merged with later ones.

use std::time::Duration;

/// Fraction of the link that messages to other hosts may take.
const MESSAGE_SHARE: f64 = 0.05;

/// Fraction of the link that one burst of datagrams may take.
const BURST_SHARE: f64 = 0.5;

/// Fraction of the link that calls to engines may take.
const CALL_SHARE: f64 = 0.3;

/// Bytes of one call to an engine, in the direction that carries more, network
/// headers included.
pub const CALL_BYTES: f64 = 500.0;

/// Fraction of the calls that may be polls of whether an engine has changed its
/// weights.
const POLL_SHARE: f64 = 0.75;

/// Bytes of network headers per datagram (IPv4 and UDP).
const DATAGRAM_HEADERS: usize = 28;

/// Maximum number of concurrent calls to engines.
pub const MAX_CONCURRENT_CALLS: usize = 64;

/// Minimum interval between two polls of an engine that is changing its weights.
pub const MIN_POLL_INTERVAL: Duration = Duration::from_millis(150);

/// Link speed, in megabits per second.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct LinkSpeed(pub f64);

impl LinkSpeed {
    /// Link capacity, in bytes per second; at least that of 1 Mbit/s.
    fn bytes_per_second(self) -> f64 {
        self.0.max(1.0) * 1e6 / 8.0
    }

    /// How long to wait after sending `datagrams` of `bytes` each to other hosts,
    /// so that messages keep to their share of the link.
    ///
    /// ```
    /// use std::time::Duration;
    /// use marjoram_core::pace::LinkSpeed;
    /// // 21 datagrams of 500 bytes at 62,500 bytes per second.
    /// assert_eq!(LinkSpeed(10.0).message_pause(21, 472), Duration::from_millis(168));
    /// ```
    pub fn message_pause(self, datagrams: usize, bytes: usize) -> Duration {
        self.pause_after(datagrams, bytes, MESSAGE_SHARE)
    }

    /// How long to wait after sending `datagrams` of `bytes` each of a message
    /// that goes to every host. It may take a larger share of the link, because
    /// it must reach all hosts within about a second.
    pub fn burst_pause(self, datagrams: usize, bytes: usize) -> Duration {
        self.pause_after(datagrams, bytes, BURST_SHARE)
    }

    fn pause_after(self, datagrams: usize, bytes: usize, share: f64) -> Duration {
        let bytes = (datagrams * (bytes + DATAGRAM_HEADERS)) as f64;
        Duration::from_secs_f64(bytes / (self.bytes_per_second() * share))
    }

    /// Calls to engines per second that fit into their share of the link.
    ///
    /// ```
    /// use marjoram_core::pace::LinkSpeed;
    /// assert_eq!(LinkSpeed(10.0).calls(), 750.0);
    /// ```
    pub fn calls(self) -> f64 {
        self.bytes_per_second() * CALL_SHARE / CALL_BYTES
    }

    /// Interval between two polls of an engine for whether it has changed its
    /// weights, while `changing` engines are being polled.
    ///
    /// ```
    /// use std::time::Duration;
    /// use marjoram_core::pace::LinkSpeed;
    /// let ms = Duration::from_millis;
    /// assert_eq!(LinkSpeed(10.0).poll_interval(3), ms(150));
    /// assert_eq!(LinkSpeed(10.0).poll_interval(450), ms(800));
    /// ```
    pub fn poll_interval(self, changing: usize) -> Duration {
        let rate = self.calls() * POLL_SHARE;
        MIN_POLL_INTERVAL.max(Duration::from_secs_f64(changing as f64 / rate))
    }
}

/// Rate limiter for calls to engines: allows a burst of
/// [`MAX_CONCURRENT_CALLS`] calls, then the rate that the link allows.
///
/// ```
/// use std::time::Duration;
/// use marjoram_core::pace::{MAX_CONCURRENT_CALLS, CallLimiter, LinkSpeed};
/// let (link, now) = (LinkSpeed(10.0), Duration::from_secs(1));
/// let mut calls = CallLimiter::default();
/// let waits: Vec<Duration> =
///     (0..MAX_CONCURRENT_CALLS + 2).map(|_| calls.wait(link, now)).collect();
/// // A burst of as many as may run concurrently, then the rate that the link
/// // allows.
/// assert_eq!(waits[MAX_CONCURRENT_CALLS - 1], Duration::ZERO);
/// assert_eq!(waits[MAX_CONCURRENT_CALLS + 1].as_micros(), 2_666);
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct CallLimiter {
    /// When the calls admitted so far will have used up their share of the link.
    busy_until: Duration,
}

impl CallLimiter {
    /// How long a call that is ready at `now` has to wait.
    pub fn wait(&mut self, link: LinkSpeed, now: Duration) -> Duration {
        let interval = Duration::from_secs_f64(1.0 / link.calls());
        self.busy_until = self.busy_until.max(now) + interval;
        self.busy_until.saturating_sub(now + interval * MAX_CONCURRENT_CALLS as u32)
    }
}
