//! Selects the upstream for a request to a plain service (one that is not an
//! engine or a cache store).
//!
//! Plain services get short calls, a few at a time per upstream. Some upstreams
//! fail some of their requests or become slow while listed as ready, and all slow
//! down when nearly full. The upstream with the least expected time gets the
//! request, with failures counted as lost time. Upstreams in the same data centre
//! are preferred until a request would queue there, because a call to another
//! data centre costs two crossings and the transfer charges for its bytes.

/// Assumed response time before anything has been measured, in milliseconds.
const DEFAULT_LATENCY_MS: f64 = 30.0;

/// Cost of a round trip to another data centre, in milliseconds.
const CROSS_DC_MS: f64 = 6.0;

/// Weight of the failure rate in the cost: an upstream that always fails is
/// charged this many times its expected time in addition.
const FAILURE_COST: f64 = 6.0;

/// A candidate upstream for a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlainUpstream {
    /// Requests running there, from all hosts.
    pub running: u32,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Moving average of its response time, in milliseconds.
    pub latency: Option<f64>,
    /// Failure rate, from 0 to 1.
    pub failures: f64,
    /// Whether it is in another data centre.
    pub far: bool,
}

/// The selected upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlainChoice {
    /// Its index among the candidates.
    pub upstream: usize,
    /// Expected response time, in milliseconds, including the time in its queue.
    pub wait: f64,
}

/// Selects the upstream with the lowest cost; `None` if there are no candidates.
///
/// ```
/// use marjoram_core::plain::{PlainUpstream, select};
/// let near = PlainUpstream { running: 0, slots: 6, latency: None, failures: 0.0, far: false };
/// let far = PlainUpstream { far: true, ..near };
/// assert_eq!(select(&[far, near]).unwrap().upstream, 1);
/// let full = PlainUpstream { running: 9, ..near };
/// assert_eq!(select(&[far, full]).unwrap().upstream, 0);
/// ```
pub fn select(upstreams: &[PlainUpstream]) -> Option<PlainChoice> {
    let wait = |p: &PlainUpstream| {
        let slots = f64::from(p.slots.max(1));
        let load = (f64::from(p.running + 1) / slots).max(1.0);
        p.latency.unwrap_or(DEFAULT_LATENCY_MS) * load
    };
    let cost = |p: &PlainUpstream| {
        let utilisation = f64::from(p.running) / f64::from(p.slots.max(1));
        let crossing = if p.far { CROSS_DC_MS } else { 0.0 };
        wait(p) * (1.0 + utilisation.min(1.0) * 0.5) * (1.0 + FAILURE_COST * p.failures) + crossing
    };
    let best = (0..upstreams.len())
        .min_by(|&a, &b| cost(&upstreams[a]).total_cmp(&cost(&upstreams[b])))?;
    Some(PlainChoice { upstream: best, wait: wait(&upstreams[best]) })
}
