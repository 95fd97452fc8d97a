//! Answers of the router's own.

use std::time::Duration;

use marjoram_core::quota::Quota;

/// Shortest and longest time in `Retry-After`.
pub const RETRY_MIN: Duration = Duration::from_millis(50);
pub const RETRY_MAX: Duration = Duration::from_secs(2);

/// Why a request in quarantine is not sent.
pub const QUARANTINED: &str = "quarantined: upstreams crashed under it";

/// Why a request of a workspace that sends too much is not sent.
const OVER_QUOTA: &str = "the workspace's quota is used up";

/// Why a request is answered by the router itself.
#[derive(Debug, Clone, PartialEq)]
pub struct Refusal {
    /// The status.
    pub status: u16,
    /// When to come back, if it has not run.
    pub retry: Option<Duration>,
    /// Why, for the log and the caller.
    pub why: &'static str,
    /// The quota that is used up.
    pub quota: Option<Quota>,
}

impl Refusal {
    /// The request has not run and never will: come back after `retry`.
    pub fn not_run(why: &'static str, retry: Duration) -> Self {
        let retry = retry.clamp(RETRY_MIN, RETRY_MAX);
        Self { status: 503, retry: Some(retry), why, quota: None }
    }

    /// The workspace has used up `quota`: the request has not run, and there is
    /// credit again after `retry`.
    pub fn over_quota(quota: Quota, retry: Duration) -> Self {
        Self { status: 429, retry: Some(retry), why: OVER_QUOTA, quota: Some(quota) }
    }

    /// The request is in quarantine for `left`: it has not run, and before
    /// that time it never will.
    pub fn quarantined(left: Duration) -> Self {
        Self { status: 503, retry: Some(left), why: QUARANTINED, quota: None }
    }

    /// An answer with `status`.
    pub fn with_status(status: u16, why: &'static str) -> Self {
        Self { status, retry: None, why, quota: None }
    }
}
