//! Requests that a host has given up, and that an upstream may still run.

use std::time::Duration;

/// How long an abandoned request is taken to run on, as a multiple of the time that requests run,
/// and within bounds: an upstream may notice late that nobody waits for its answer.
const RUN_FACTOR: f64 = 2.0;
const MIN_RUN: Duration = Duration::from_millis(50);
const MAX_RUN: Duration = Duration::from_secs(1);

/// The requests to one upstream that a host has given up.
#[derive(Debug, Clone, Default)]
pub struct AbandonedRequests(Vec<Duration>);

impl AbandonedRequests {
    /// Records that a request is given up at `now`, where requests run for `work`.
    pub fn record(&mut self, work: Duration, now: Duration) {
        // While no service is brittle, nothing asks for the number.
        self.remove_ended(now);
        self.0.push(now + work.mul_f64(RUN_FACTOR).clamp(MIN_RUN, MAX_RUN));
    }

    /// How many may still be running at `now`.
    pub fn count(&mut self, now: Duration) -> u32 {
        self.remove_ended(now);
        self.kept() as u32
    }

    /// Number of requests that are kept, ended ones among them.
    pub fn kept(&self) -> usize {
        self.0.len()
    }

    fn remove_ended(&mut self, now: Duration) {
        self.0.retain(|end| now < *end);
    }
}
