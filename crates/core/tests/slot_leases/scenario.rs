//! What is played, and what is measured.

use std::time::Duration;

/// Upstreams of one kind.
#[derive(Debug, Clone, Copy)]
pub struct Service {
    pub upstreams: usize,
    pub slots: u32,
    pub queue: usize,
    pub work: Duration,
}

pub const PLAIN: Service =
    Service { upstreams: 5, slots: 6, queue: 24, work: Duration::from_millis(15) };
pub const ENGINES: Service =
    Service { upstreams: 56, slots: 12, queue: 36, work: Duration::from_millis(300) };

/// What is disturbed. Shares are of all hosts or upstreams; the coordinator is among the hosts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Disturbance {
    None,
    /// Requests run this many times as long.
    Slow(f64),
    /// This many times as many requests.
    Burst(f64),
    /// This share of the upstreams is gone.
    LostUpstreams(f64),
    /// This share of the hosts restarts, without the requests that run for them being ended.
    Restart(f64),
    /// This share of the hosts stands still.
    Silent(f64),
    /// This share of the hosts is cut off from the others, and serves callers.
    Cut(f64),
}

/// What was measured from the time on when upstreams let none wait.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    pub falls: u32,
    pub rejections: u32,
    /// Share of the slots of upstreams that were up.
    pub used: f64,
    /// The same from when on the disturbance must be overcome.
    pub used_at_end: f64,
    /// Share of the requests.
    pub served: f64,
    /// Mean wait of those that were served.
    pub wait: Duration,
    /// Messages and bytes a second that a host sends: on average, and at most.
    pub sent: [Traffic; 2],
}

/// Messages and bytes that a host sends.
#[derive(Debug, Clone, Copy, Default)]
pub struct Traffic {
    pub messages: u64,
    pub bytes: u64,
}
