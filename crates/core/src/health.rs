//! Passive health tracking of an upstream, based on the responses to regular
//! requests.
//!
//! Covers upstreams that the registry lists as ready but that fail some of their
//! requests, respond slowly, stop responding or cannot be reached. There are no
//! active health checks: every figure here comes from requests that were sent
//! anyway. An unresponsive upstream gets no requests until it sends data again or
//! a probe request is due, so it costs one request per probe.

use std::time::Duration;

/// Weight of one response in the moving average of the failure rate: roughly the
/// last ten responses count.
const FAILURE_WEIGHT: f64 = 0.1;

/// Weight of one sample in the moving averages of throughput and latency.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Initial back-off before an unreachable upstream is retried.
const INITIAL_BACKOFF: Duration = Duration::from_millis(400);

/// Upper limit of the back-off, which doubles with each failed retry.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Time without data, while requests are pending, after which an upstream counts
/// as unresponsive: several times the duration of one step of a full batch.
pub const STALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Why an upstream is paused.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum PauseCause {
    /// It refuses requests.
    #[default]
    Refused,
    /// A connection to it went silent.
    Silent,
    /// No connection to it could be opened, by any path.
    Down,
    /// No connection to it could be opened, and no path to it is known.
    NoPath,
}

/// Health state of one upstream as one host observes it.
///
/// ```
/// use std::time::Duration;
/// use marjoram_core::health::Health;
/// let mut health = Health::new();
/// let now = Duration::from_secs(5);
/// health.unreachable(now);
/// assert!(health.is_paused(now));
/// assert!(!health.is_paused(now + Duration::from_secs(3)));
/// ```
#[derive(Debug, Clone, Default)]
pub struct Health {
    /// Moving average of the failure rate, from 0 to 1.
    failure_rate: f64,
    /// Moving average of the response time, in milliseconds.
    latency_ms: Option<f64>,
    /// Moving average of the prefill throughput, in prompt tokens per
    /// millisecond.
    prefill_throughput: Option<f64>,
    /// End of the current or last pause, and the back-off that the next pause
    /// doubles.
    pause: Option<(Duration, Duration)>,
    /// Why the upstream is paused.
    cause: PauseCause,
    /// Requests that wait for their first or next byte.
    waiting: u32,
    /// When data last arrived, or when the first of the pending requests began to
    /// wait if that was later.
    last_progress: Duration,
    /// When data last arrived.
    last_received: Option<Duration>,
}

impl Health {
    /// Creates the state of an upstream that no request has been sent to yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a connection to the upstream went silent. Starts a pause with
    /// exponential back-off, unless one is already running.
    pub fn unreachable(&mut self, now: Duration) {
        self.pause_with_backoff(now, PauseCause::Silent);
    }

    /// Records that no connection to the upstream could be opened, by any path.
    /// Starts a pause as above.
    pub fn down(&mut self, now: Duration) {
        self.pause_with_backoff(now, PauseCause::Down);
    }

    /// Records that no connection to the upstream could be opened, and that the links
    /// may be the cause. Starts a pause as above.
    pub fn no_path(&mut self, now: Duration) {
        self.pause_with_backoff(now, PauseCause::NoPath);
    }

    fn pause_with_backoff(&mut self, now: Duration, cause: PauseCause) {
        let length = match self.pause {
            Some((until, _)) if now < until => return,
            Some((_, previous)) => (previous * 2).min(MAX_BACKOFF),
            None => INITIAL_BACKOFF,
        };
        self.pause = Some((now + length, length));
        self.cause = cause;
    }

    /// Records that the upstream refuses requests for now: it gets none for
    /// `length`.
    pub fn pause_for(&mut self, now: Duration, length: Duration) {
        if !self.is_paused(now) {
            self.pause = Some((now + length, length.min(INITIAL_BACKOFF)));
            self.cause = PauseCause::Refused;
        }
    }

    /// Whether the upstream is paused at `now` because it could not be reached or
    /// went silent.
    pub fn is_unreachable(&self, now: Duration) -> bool {
        self.cause != PauseCause::Refused && self.is_paused(now)
    }

    /// Whether the upstream is unreachable at `now` and not only without a known path.
    ///
    /// ```
    /// use std::time::Duration;
    /// use marjoram_core::health::Health;
    /// let (mut health, now) = (Health::new(), Duration::ZERO);
    /// health.no_path(now);
    /// assert!(health.is_unreachable(now) && !health.is_known_unreachable(now));
    /// ```
    pub fn is_known_unreachable(&self, now: Duration) -> bool {
        self.cause != PauseCause::NoPath && self.is_unreachable(now)
    }

    /// Whether no connection to the upstream could be opened, and none has been since.
    ///
    /// ```
    /// use std::time::Duration;
    /// use marjoram_core::health::Health;
    /// let (mut health, ms) = (Health::new(), Duration::from_millis);
    /// health.down(ms(0));
    /// assert!(health.is_down() && !health.is_retry_due(ms(300)));
    /// assert!(health.is_down() && health.is_retry_due(ms(400)));
    /// health.record_connect();
    /// assert!(!health.is_down());
    /// ```
    pub fn is_down(&self) -> bool {
        self.has_no_connection() && self.pause.is_some()
    }

    /// Whether no path to the upstream is known, and it may be running.
    pub fn has_no_path(&self) -> bool {
        self.cause == PauseCause::NoPath && self.pause.is_some()
    }

    /// Whether a connection to an upstream that is down is to be tried at `now`.
    pub fn is_retry_due(&self, now: Duration) -> bool {
        self.is_down() && !self.is_paused(now)
    }

    /// Records that a connection to the upstream was opened: it is not down.
    pub fn record_connect(&mut self) {
        if self.has_no_connection() {
            self.pause = None;
        }
    }

    fn has_no_connection(&self) -> bool {
        matches!(self.cause, PauseCause::Down | PauseCause::NoPath)
    }

    /// Whether the upstream is paused at `now` and gets no requests.
    pub fn is_paused(&self, now: Duration) -> bool {
        self.pause.is_some_and(|(until, _)| now < until)
    }

    /// Records that a request starts waiting for data from the upstream.
    pub fn begin_wait(&mut self, now: Duration) {
        if self.waiting == 0 {
            self.last_progress = now;
        }
        self.waiting += 1;
    }

    /// Records that a request stops waiting for data from the upstream.
    pub fn end_wait(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Whether data arrived from the upstream within `span` before `now`.
    pub fn was_alive(&self, now: Duration, span: Duration) -> bool {
        self.last_received.is_some_and(|at| now < at + span)
    }

    /// Records that data arrived from the upstream; ends any pause.
    pub fn record_activity(&mut self, now: Duration) {
        self.last_progress = now;
        self.last_received = Some(now);
        self.pause = None;
    }

    /// How long the pending requests have been without data; zero if none is
    /// pending.
    pub fn stalled_for(&self, now: Duration) -> Duration {
        match self.waiting {
            0 => Duration::ZERO,
            _ => now.saturating_sub(self.last_progress),
        }
    }

    /// Records a response that was complete (`ok`) or failed.
    pub fn record_response(&mut self, ok: bool) {
        let failure = if ok { 0.0 } else { 1.0 };
        self.failure_rate += FAILURE_WEIGHT * (failure - self.failure_rate);
    }

    /// Moving average of the failure rate, from 0 to 1.
    pub fn failures(&self) -> f64 {
        self.failure_rate
    }

    /// Records the response time of one request.
    pub fn record_latency(&mut self, took: Duration) {
        let ms = took.as_secs_f64() * 1e3;
        let average = self.latency_ms.unwrap_or(ms);
        self.latency_ms = Some(average + SAMPLE_WEIGHT * (ms - average));
    }

    /// Moving average of the response time, in milliseconds.
    pub fn latency(&self) -> Option<f64> {
        self.latency_ms
    }

    /// Records that a prompt of `tokens` tokens was prefilled in `took`,
    /// including the time spent queued behind other prompts.
    pub fn record_prefill(&mut self, tokens: u64, took: Duration) {
        let throughput = tokens as f64 / (took.as_secs_f64() * 1e3).max(1.0);
        let average = self.prefill_throughput.unwrap_or(throughput);
        self.prefill_throughput = Some(average + SAMPLE_WEIGHT * (throughput - average));
    }

    /// Moving average of the prefill throughput, in prompt tokens per
    /// millisecond.
    pub fn prefill_throughput(&self) -> Option<f64> {
        self.prefill_throughput
    }
}
