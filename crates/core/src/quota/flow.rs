//! A rate observed over a span, the newest counting most.

use std::time::Duration;

/// Units a second, averaged exponentially over a span.
#[derive(Debug, Clone, Copy, Default)]
pub struct Flow {
    rate: f64,
    at: Duration,
}

impl Flow {
    /// A rate of `rate` at `now`.
    pub fn new(rate: f64, now: Duration) -> Self {
        Self { rate, at: now }
    }

    /// Adds `units` that came at `now`.
    pub fn add(&mut self, units: f64, span: Duration, now: Duration) {
        let rate = self.rate(span, now) + units / span.as_secs_f64();
        *self = Self::new(rate, now.max(self.at));
    }

    /// The rate at `now`.
    pub fn rate(&self, span: Duration, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.rate * (-age / span.as_secs_f64()).exp()
    }
}
