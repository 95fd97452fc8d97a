//! Requests that crash whatever begins to run them.
//!
//! Load pattern: a caller sends the same request again and again, each time
//! under a new attempt and to any host; each upstream that begins to run it
//! crashes, with all that runs beside it, and is back after some seconds.
//!
//! What each host sees of a crash is [`CrashReport`]: its requests that were there.
//! [`Suspects`] puts the reports of all hosts together and finds the request
//! that was there each time; [`Quarantine`] keeps those found.
//!
//! Limits: three crashes, since a request that is resumed or repeated after a
//! crash is often there at a second one. Crashes that are explained by a
//! request already found count against no other request.

mod quarantine;
mod recent;
mod suspect;
mod suspects;

use std::cmp::Reverse;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::fingerprint::Fingerprint;
use crate::place;

pub use quarantine::{Admission, Quarantine};
pub use recent::Recent;
pub use suspect::CRASHES;
pub use suspects::{SETTLE, Suspects};

/// How long a request is kept from upstreams when it is first found; doubled
/// each time it crashes one again. Its caller, or what runs it, has most likely
/// changed by the end.
pub const TERM: Duration = Duration::from_secs(3_600);

/// The longest such time.
const MAX_TERM: Duration = Duration::from_secs(24 * 3_600);

/// Times that a term may double.
const MAX_DOUBLINGS: u32 = 5;

/// Upstreams that are considered for a request that was at a crash.
const SPREAD: usize = 2;

/// Of the upstreams with the keys `places`, those that `request` is sent to
/// next after a crash. Requests with the same shared parts otherwise go to the
/// same upstreams and are at the same crashes; spread over different upstreams,
/// they can be told from the cause.
///
/// ```
/// use marjoram_core::fingerprint::Fingerprint;
/// use marjoram_core::poison::apart;
/// let places: Vec<u64> = (0..12).collect();
/// assert_eq!(apart(Fingerprint(1), &places).len(), 2);
/// assert_ne!(apart(Fingerprint(1), &places), apart(Fingerprint(2), &places));
/// ```
pub fn apart(request: Fingerprint, places: &[u64]) -> Vec<usize> {
    let mut indices: Vec<usize> = (0..places.len()).collect();
    indices.sort_unstable_by_key(|&i| Reverse(place::rank(request.0, places[i])));
    indices.truncate(SPREAD);
    indices
}

/// One request that was at an upstream when that crashed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The request.
    pub request: Fingerprint,
    /// Key of the upstream's life.
    pub upstream: u64,
    /// Hash of the caller's attempt.
    pub attempt: u64,
    /// How long its answer had run, if that had begun.
    pub ran: Option<Duration>,
    /// How long before the crash it last ran to its end at the reporting host.
    pub well: Option<Duration>,
    /// When that host noticed the crash, since the Unix epoch: a report may be
    /// read late, and several at once then.
    pub at: Duration,
}

/// A request found to crash what runs it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quarantined {
    /// The request.
    pub request: Fingerprint,
    /// Keys of the lives of upstreams that crashed under it.
    pub upstreams: Vec<u64>,
    /// When it was found, since the Unix epoch.
    pub at: Duration,
    /// How often it had been found before.
    pub repeats: u32,
}

impl Quarantined {
    /// `request` is found at `at` to have crashed `upstreams`.
    pub fn new(request: Fingerprint, upstreams: Vec<u64>, at: Duration) -> Self {
        Self { request, upstreams, at, repeats: 0 }
    }

    /// Until when it is sent to no upstream, since the Unix epoch.
    ///
    /// ```
    /// use std::time::Duration;
    /// use marjoram_core::fingerprint::Fingerprint;
    /// use marjoram_core::poison::{TERM, Quarantined};
    /// let at = Duration::from_secs(1_000_000);
    /// let first = Quarantined::new(Fingerprint(1), vec![1, 2, 3], at);
    /// assert_eq!(first.until(), at + TERM);
    /// assert_eq!(Quarantined { repeats: 2, ..first }.until(), at + TERM * 4);
    /// ```
    pub fn until(&self) -> Duration {
        self.at + (TERM * (1 << self.repeats.min(MAX_DOUBLINGS))).min(MAX_TERM)
    }
}
