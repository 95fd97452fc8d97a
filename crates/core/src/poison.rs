//! Requests that crash every upstream that begins to run them.
//!
//! Load pattern: a caller sends the same request again and again, each time
//! as a new attempt and to any host. Each upstream that begins to run it
//! crashes, with all requests in flight there, and is back after some seconds.
//!
//! Each host that had requests in flight at a crash sends a [`CrashReport`] for
//! each of them. [`Suspects`] combines the reports of all hosts and detects the
//! request that was in flight at every crash; [`Quarantine`] keeps the detected
//! ones. [`PartSuspects`] does the same for parts that different prompts share.
//!
//! Limits: detection needs three crashes, since a request that is resumed or
//! repeated after a crash is often in flight at a second one. Crashes that are
//! explained by a request already detected count against no other request.

mod broken;
mod held_parts;
mod part_sets;
mod parts;
mod quarantine;
mod recent;
mod suspect;
mod suspects;
mod table;

use std::cmp::Reverse;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::fingerprint::Fingerprint;
use crate::place;

pub use broken::{BrokenRequest, Notice, WATCH_TIME, crash_reports, part_crash_reports};
pub use held_parts::{HeldParts, QUERIED_PART_HOLD, REPORTED_PART_HOLD};
pub use part_sets::{part_set, part_sets};
pub use parts::{DetectedParts, PART_COMPLETION_WINDOW, PartCrashReport, PartSuspects};
pub use quarantine::{Admission, Quarantine};
pub use recent::RecentCompletions;
pub use suspect::MIN_CRASHES;
pub use suspects::{CRASH_REPORT_WINDOW, Suspects};

/// How long a request is refused when it is first detected: one hour, doubled
/// each time it crashes an upstream again. By the end its caller, or the software
/// that runs it, has most likely changed.
pub const QUARANTINE_TERM: Duration = Duration::from_secs(3_600);

/// The longest such time: one day.
const MAX_TERM: Duration = Duration::from_secs(24 * 3_600);

/// Version of the rules of detection.
const DETECTION_RULES: u32 = 1;

/// Maximum number of doublings.
const MAX_DOUBLINGS: u32 = 5;

/// Number of upstreams considered for a request that was in flight at a crash.
const RETRY_UPSTREAMS: usize = 2;

/// The upstreams to which `request` is sent next after a crash, as indices into
/// `places`, the keys of the available ones. Requests with the same prompt prefix
/// otherwise go to the same upstreams and are in flight at the same crashes. Once
/// they are spread over different upstreams, the one that causes the crashes can be
/// distinguished from the others.
///
/// ```
/// use marjoram_core::fingerprint::Fingerprint;
/// use marjoram_core::poison::retry_upstreams;
/// let places: Vec<u64> = (0..12).collect();
/// assert_eq!(retry_upstreams(Fingerprint(1), &places).len(), 2);
/// assert_ne!(retry_upstreams(Fingerprint(1), &places), retry_upstreams(Fingerprint(2), &places));
/// ```
pub fn retry_upstreams(request: Fingerprint, places: &[u64]) -> Vec<usize> {
    let mut indices: Vec<usize> = (0..places.len()).collect();
    indices.sort_unstable_by_key(|&i| Reverse(place::rank(request.0, places[i])));
    indices.truncate(RETRY_UPSTREAMS);
    indices
}

/// The service of an upstream that crashed, as the reporting host knew it before.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashedService {
    /// Hash of its name.
    pub key: u64,
    /// Number of its upstreams.
    pub upstreams: usize,
}

/// A report of one request that was in flight at an upstream when that crashed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The request.
    pub request: Fingerprint,
    /// Key of the upstream's incarnation.
    pub upstream: u64,
    /// Its service.
    #[serde(default)]
    pub service: CrashedService,
    /// Hash of the caller's attempt.
    pub attempt: u64,
    /// For how long its answer had been streamed, if that had begun.
    pub ran: Option<Duration>,
    /// How long before the crash it had been sent to the upstream.
    #[serde(default)]
    pub sent: Duration,
    /// How long before the crash the request last completed at the reporting host.
    pub well: Option<Duration>,
    /// When that host noticed the crash, since the Unix epoch. The time of receipt
    /// cannot be used instead: reports may be read late, and several at once.
    pub at: Duration,
}

/// A request that was detected to crash the upstreams that run it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quarantined {
    /// The request.
    pub request: Fingerprint,
    /// Keys of the incarnations of upstreams that it crashed.
    pub upstreams: Vec<u64>,
    /// When it was detected, since the Unix epoch.
    pub at: Duration,
    /// How often it had been detected before.
    pub repeats: u32,
    /// Version of the rules of detection; zero if crashes of one outage counted as several.
    #[serde(default)]
    pub rules: u32,
}

impl Quarantined {
    /// An entry for `request`, detected at `at` to have crashed `upstreams`.
    pub fn new(request: Fingerprint, upstreams: Vec<u64>, at: Duration) -> Self {
        Self { request, upstreams, at, repeats: 0, rules: DETECTION_RULES }
    }

    /// Until when it is refused, since the Unix epoch.
    ///
    /// ```
    /// use std::time::Duration;
    /// use marjoram_core::fingerprint::Fingerprint;
    /// use marjoram_core::poison::{QUARANTINE_TERM, Quarantined};
    /// let at = Duration::from_secs(1_000_000);
    /// let first = Quarantined::new(Fingerprint(1), vec![1, 2, 3], at);
    /// assert_eq!(first.until(), at + QUARANTINE_TERM);
    /// assert_eq!(Quarantined { repeats: 2, ..first }.until(), at + QUARANTINE_TERM * 4);
    /// ```
    pub fn until(&self) -> Duration {
        self.at + (QUARANTINE_TERM * (1 << self.repeats.min(MAX_DOUBLINGS))).min(MAX_TERM)
    }
}
