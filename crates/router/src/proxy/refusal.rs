//! Answers that the router gives instead of an upstream.

use std::time::Duration;

use marjoram_core::quota::Quota;

/// Shortest and longest time in `Retry-After`, except where it is known when requests
/// are taken again.
pub const RETRY_MIN: Duration = Duration::from_millis(50);
pub const RETRY_MAX: Duration = Duration::from_secs(2);

/// The reason given for a request in quarantine.
pub const QUARANTINED: &str = "quarantined: upstreams crashed under it";

/// The reason given for a request above its workspace's quota.
const OVER_QUOTA: &str = "the workspace's quota is used up";

/// An answer of the router itself.
#[derive(Debug, Clone, PartialEq)]
pub struct Refusal {
    /// The HTTP status.
    pub status: u16,
    /// When to retry; `None` if the request may have run or a retry is of no use.
    pub retry: Option<Duration>,
    /// Why, for the log and the caller.
    pub why: &'static str,
    /// The quota that is used up.
    pub quota: Option<Quota>,
}

impl Refusal {
    /// The request has not run and never will; the caller may retry after `retry`.
    pub fn not_run(why: &'static str, retry: Duration) -> Self {
        let retry = retry.clamp(RETRY_MIN, RETRY_MAX);
        Self { status: 503, retry: Some(retry), why, quota: None }
    }

    /// The same, for upstreams that take no requests for a known time: `retry` may be
    /// longer.
    pub fn not_run_until(why: &'static str, retry: Duration) -> Self {
        Self { status: 503, retry: Some(retry.max(RETRY_MIN)), why, quota: None }
    }

    /// The workspace has used up `quota`: the request has not run, and will be
    /// admitted again after `retry`.
    pub fn over_quota(quota: Quota, retry: Duration) -> Self {
        Self { status: 429, retry: Some(retry), why: OVER_QUOTA, quota: Some(quota) }
    }

    /// The request is in quarantine for another `left`: it has not run, and will
    /// not be sent before the end of that time.
    pub fn quarantined(left: Duration) -> Self {
        Self { status: 503, retry: Some(left), why: QUARANTINED, quota: None }
    }

    /// An answer with `status` that asks for no retry.
    pub fn with_status(status: u16, why: &'static str) -> Self {
        Self { status, retry: None, why, quota: None }
    }
}
