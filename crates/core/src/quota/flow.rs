//! An exponentially weighted moving average of a rate.

use std::time::Duration;

/// Units a second, as an exponential average. The time constant `span` is passed
/// to each call.
#[derive(Debug, Clone, Copy, Default)]
pub struct Flow {
    rate: f64,
    at: Duration,
}

impl Flow {
    /// An average with the value `rate` at `now`.
    pub fn new(rate: f64, now: Duration) -> Self {
        Self { rate, at: now }
    }

    /// Adds `units` that arrived at `now`.
    pub fn add(&mut self, units: f64, span: Duration, now: Duration) {
        let rate = self.rate(span, now) + units / span.as_secs_f64();
        *self = Self::new(rate, now.max(self.at));
    }

    /// The average at `now`, in units a second.
    pub fn rate(&self, span: Duration, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.rate * (-age / span.as_secs_f64()).exp()
    }
}
