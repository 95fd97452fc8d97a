//! The requests that are currently refused since they crash upstreams.

use std::collections::HashMap;
use std::time::Duration;

use super::{CrashReport, DETECTION_RULES, Quarantined};
use crate::fingerprint::Fingerprint;

/// How long an entry is kept after its term: one day. While it is kept, a single
/// crash of its request suffices to refuse the request again.
const RETENTION: Duration = Duration::from_secs(24 * 3_600);

/// How long before a request is detected an answer to it may have begun to speak for it
/// once it is complete: less than the time between crashes that callers cause.
const RELEASE_WINDOW: Duration = Duration::from_secs(1);

/// Maximum number of entries; the one whose term ends first is evicted.
const MAX_ENTRIES: usize = 1_024;

/// The outcome of [`Quarantine::admit`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// The entry was added; carries the request evicted for it, if any.
    New(Option<Fingerprint>),
    /// This entry, or a later one of the same request, was known.
    Known,
    /// The entry has expired, or was made when one outage sufficed for it.
    Over,
}

/// The requests that are refused. Times are since the Unix epoch, as entries
/// outlive the processes that detected them.
///
/// Limits: if the term were restarted by each attempt, a request detected by
/// mistake, or harmless since a fix, would be refused for ever. One that still
/// crashes upstreams costs one each time it is tried. So terms end, and double.
///
/// ```
/// use std::time::Duration;
/// use marjoram_core::fingerprint::Fingerprint;
/// use marjoram_core::poison::{Admission, Quarantine, QUARANTINE_TERM, Quarantined};
/// let mut quarantine = Quarantine::new();
/// let now = Duration::from_secs(1_000_000);
/// let entry = Quarantined::new(Fingerprint(7), vec![1, 2, 3], now);
/// assert_eq!(quarantine.admit(entry, now), Admission::New(None));
/// assert_eq!(quarantine.refuses(Fingerprint(7), now), Some(QUARANTINE_TERM));
/// assert_eq!(quarantine.refuses(Fingerprint(7), now + QUARANTINE_TERM), None);
/// assert_eq!(quarantine.refuses(Fingerprint(8), now), None);
/// ```
#[derive(Debug, Default)]
pub struct Quarantine {
    entries: HashMap<Fingerprint, Quarantined>,
}

impl Quarantine {
    /// An empty quarantine.
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of entries, including those past their terms.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Number of detections over all entries. It is equal on hosts that have the same
    /// entries, so hosts compare it.
    pub fn detection_count(&self) -> u64 {
        self.entries.values().map(|v| u64::from(v.repeats) + 1).sum()
    }

    /// Adds an entry that was received at `now`.
    pub fn admit(&mut self, entry: Quarantined, now: Duration) -> Admission {
        // One outage may have caused it.
        let is_doubtful = entry.rules < DETECTION_RULES && entry.repeats == 0;
        if is_doubtful || now >= entry.until() + RETENTION {
            return Admission::Over;
        }
        match self.entries.get(&entry.request) {
            Some(known) if known.repeats >= entry.repeats => return Admission::Known,
            _ => {}
        }
        let is_full = self.len() >= MAX_ENTRIES && !self.entries.contains_key(&entry.request);
        let evicted = match is_full {
            true => self.entries.values().min_by_key(|v| (v.until(), v.request)),
            false => None,
        };
        let evicted = evicted.map(|v| v.request);
        if let Some(request) = evicted {
            self.entries.remove(&request);
        }
        self.entries.insert(entry.request, entry);
        Admission::New(evicted)
    }

    /// For how long from `now` on `request` is refused; `None` if it is not.
    pub fn refuses(&self, request: Fingerprint, now: Duration) -> Option<Duration> {
        let left = self.entries.get(&request)?.until().checked_sub(now)?;
        (!left.is_zero()).then_some(left)
    }

    /// The next entry of a request that was sent again after its term and crashed an
    /// upstream again, according to `report`, received at `now`.
    pub fn recurrence(&self, report: &CrashReport, now: Duration) -> Option<Quarantined> {
        let former = self.entries.get(&report.request)?;
        let since_term = now.checked_sub(former.until())?;
        // It has completed since its term ended: this crash has another cause.
        let is_harmless = report.well.is_some_and(|age| age < since_term);
        let entry = Quarantined {
            request: report.request,
            upstreams: vec![report.upstream],
            at: now,
            repeats: former.repeats + 1,
            rules: DETECTION_RULES,
        };
        (!is_harmless).then_some(entry)
    }

    /// The next entry of a request in quarantine that has completed, so that it is no
    /// longer refused: its term is over at `now`. One more crash suffices to refuse it
    /// again. `None` if it is not refused, or its answer had `begun` too long before it was
    /// detected to say anything of the crashes.
    pub fn release(
        &self,
        request: Fingerprint,
        begun: Duration,
        now: Duration,
    ) -> Option<Quarantined> {
        self.refuses(request, now)?;
        let known = self.entries.get(&request)?;
        let repeats = known.repeats + 1;
        let released = Quarantined { repeats, ..Quarantined::new(request, Vec::new(), now) };
        let term = released.until() - now;
        (begun + RELEASE_WINDOW >= known.at)
            .then(|| Quarantined { at: now.saturating_sub(term), ..released })
    }

    /// Removes the entries that have expired at `now`, and returns their requests.
    pub fn expire(&mut self, now: Duration) -> Vec<Fingerprint> {
        let expired = self.entries.values().filter(|v| now >= v.until() + RETENTION);
        let expired: Vec<Fingerprint> = expired.map(|v| v.request).collect();
        for request in &expired {
            self.entries.remove(request);
        }
        expired
    }

    /// All entries, including those past their terms.
    pub fn entries(&self) -> impl Iterator<Item = &Quarantined> {
        self.entries.values()
    }
}
