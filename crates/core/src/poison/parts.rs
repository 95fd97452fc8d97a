//! Detects prompt parts that crash the engines, from the crash reports of all hosts.
//!
//! Load pattern: requests that share one part of their prompts, otherwise all
//! different, come at any host, and each crashes the engine that begins to answer it.
//! No request is at enough crashes to be detected itself. Requests without that part
//! share their callers and the other parts with them.
//!
//! Limits: a part that is in a completed answer did not cause the crashes before, so
//! parts that many requests share drop out. The last part of a prompt belongs to one
//! request and is never suspected. Parts that are at exactly the same crashes cannot be
//! told apart: only prompts that contain all of them are refused, until a further crash
//! tells which one it is. Crashes at which a single request was in flight each time
//! count against that request alone.

mod suspect;

use std::time::Duration;

use lru::LruCache;
use serde::{Deserialize, Serialize};

use super::suspect::MIN_CRASHES;
use super::suspects::{CRASH_REPORT_WINDOW, Reported};
use super::table::SuspectTable;
use super::{CrashedService, QUARANTINE_TERM, Quarantined, part_set};
use crate::exchange::PartId;
use crate::fingerprint::Fingerprint;
use suspect::PartSuspect;

/// How long before the first crash a completed answer still speaks for a part.
pub const PART_COMPLETION_WINDOW: Duration = Duration::from_secs(60);

/// Maximum number of crashes kept as explained.
const MAX_EXPLAINED: usize = 1_024;

/// How long parts are refused at first where the evidence is weak.
const WEAK_TERM: Duration = Duration::from_secs(30);

/// A report of one part that was in prompts in flight at an engine when that crashed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartCrashReport {
    /// The part.
    pub part: PartId,
    /// Key of the upstream's incarnation.
    pub upstream: u64,
    /// Requests with the part that were in flight.
    pub requests: Vec<Fingerprint>,
    /// How long before the crash an answer to a prompt with the part was completed at the
    /// reporting host.
    pub well: Option<Duration>,
    /// When that host noticed the crash, since the Unix epoch.
    pub at: Duration,
}

/// Parts that were detected to crash engines: prompts that contain all of them are refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DetectedParts {
    /// The parts, in ascending order: several that cannot be told apart, usually one.
    pub parts: Vec<PartId>,
    /// Keys of the incarnations of upstreams that they crashed.
    pub upstreams: Vec<u64>,
    /// No answer at all was completed during the crashes, so that other causes cannot be
    /// ruled out.
    pub weak: bool,
}

impl DetectedParts {
    /// The fingerprint under which they are kept in the quarantine.
    pub fn fingerprint(&self) -> Fingerprint {
        part_set(&self.parts)
    }

    /// The entry of the quarantine for them, detected at `at`, since the Unix epoch.
    pub fn entry(&self, at: Duration) -> Quarantined {
        let entry = Quarantined::new(self.fingerprint(), self.upstreams.clone(), at);
        match self.weak {
            true => Quarantined { at: at.saturating_sub(QUARANTINE_TERM - WEAK_TERM), ..entry },
            false => entry,
        }
    }
}

/// The prompt parts that were in flight at crashes not yet explained.
///
/// ```
/// use std::time::Duration;
/// use marjoram_core::exchange::PartId;
/// use marjoram_core::fingerprint::Fingerprint;
/// use marjoram_core::poison::{CRASH_REPORT_WINDOW, PartCrashReport, PartSuspects};
/// let secs = Duration::from_secs;
/// let mut suspects = PartSuspects::default();
/// for n in 1..=3 {
///     for part in [PartId(7), PartId(100 + n)] {
///         let requests = vec![Fingerprint(n)];
///         let report = PartCrashReport { part, upstream: n, requests, well: None, at: secs(n) };
///         suspects.add(&report, secs(n));
///     }
/// }
/// let detected = suspects.detect(secs(3) + CRASH_REPORT_WINDOW, Some(secs(3)));
/// assert_eq!(detected.len(), 1);
/// assert_eq!(detected[0].parts, [PartId(7)]);
/// ```
#[derive(Debug)]
pub struct PartSuspects {
    table: SuspectTable<PartId, PartSuspect>,
    /// Incarnations of upstreams that a detected part has crashed.
    explained: LruCache<u64, ()>,
    reported: Reported,
}

impl Default for PartSuspects {
    fn default() -> Self {
        Self {
            table: SuspectTable::default(),
            explained: LruCache::unbounded(),
            reported: Reported::new(CRASH_REPORT_WINDOW),
        }
    }
}

impl PartSuspects {
    /// Number of suspects.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Whether there are no suspects.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds a host's report, received at `now`.
    pub fn add(&mut self, report: &PartCrashReport, now: Duration) {
        if self.explained.contains(&report.upstream) {
            return;
        }
        self.reported.add(report.upstream, CrashedService::default(), report.at, now);
        let mut suspect = self.table.take(&report.part).unwrap_or_default();
        suspect.add(report);
        self.table.put(report.part, suspect);
    }

    /// Records that an answer to a prompt with `part` was completed at `at`, since the Unix
    /// epoch.
    pub fn record_completion(&mut self, part: PartId, at: Duration) {
        let Some(mut suspect) = self.table.take(&part) else { return };
        suspect.completed_at = suspect.completed_at.max(Some(at));
        suspect.drop_answered();
        self.table.put(part, suspect);
    }

    /// Records that the crashes of `upstreams` are explained by an entry of the quarantine.
    /// If that is a part they count against no other one from now on; those of a request
    /// still count against the parts of its prompt.
    pub fn explain(&mut self, cause: Fingerprint, upstreams: &[u64]) {
        if self.table.iter().any(|(part, _)| part_set(&[*part]) == cause) {
            self.attribute(cause, upstreams);
        }
    }

    /// Attributes the crashes of `upstreams` to the parts of the set `cause`.
    fn attribute(&mut self, cause: Fingerprint, upstreams: &[u64]) {
        for upstream in upstreams {
            self.explained.put(*upstream, ());
        }
        while self.explained.len() > MAX_EXPLAINED {
            self.explained.pop_lru();
        }
        let parts: Vec<PartId> = self.table.iter().map(|(part, _)| *part).collect();
        for part in parts {
            let Some(mut suspect) = self.table.take(&part) else { continue };
            if part_set(&[part]) != cause && suspect.tied == 0 {
                suspect.retain(|c| !upstreams.contains(&c.upstream));
            }
            self.table.put(part, suspect);
        }
    }

    /// Parts that may be detected at the next crash and of which no completed answer is
    /// known: whether other hosts know of one decides.
    pub fn unanswered(&self) -> Vec<PartId> {
        let close = |s: &PartSuspect| s.crashes.len() + 1 >= MIN_CRASHES && s.is_unanswered();
        let parts = self.table.several().filter(|(_, suspect)| close(suspect));
        parts.map(|(part, _)| *part).collect()
    }

    /// Whether prompts with `part` are to be held back at `now`: it is at enough crashes,
    /// and no run of [`Self::detect`] has considered them all, or it lacks one crash and
    /// hosts may still be reporting.
    pub fn withholds(&self, part: PartId, now: Duration) -> bool {
        let Some(suspect) = self.table.peek_several(&part) else { return false };
        let is_open = || suspect.crashes.iter().any(|c| self.reported.is_open(c.upstream, now));
        let undecided = match suspect.crashes.len() {
            count if count >= MIN_CRASHES => !suspect.evaluated || is_open(),
            count => count + 1 >= MIN_CRASHES && is_open(),
        };
        undecided && suspect.is_unanswered()
    }

    /// Whether any part is at enough crashes and no run of [`Self::detect`] has considered
    /// them all.
    pub fn has_unevaluated(&self) -> bool {
        self.table.several().any(|(_, s)| !s.evaluated && s.crashes.len() >= MIN_CRASHES)
    }

    /// Detects the parts that explain the crashes best, once all hosts have had the time to
    /// report. `any_completed` is when an answer to any prompt was last completed at this
    /// host, since the Unix epoch.
    pub fn detect(&mut self, now: Duration, any_completed: Option<Duration>) -> Vec<DetectedParts> {
        let mut candidates = self.candidates(now, any_completed);
        candidates.sort_unstable_by_key(|(part, s)| {
            (!s.is_unanswered(), std::cmp::Reverse(s.crashes.len()), *part)
        });
        let mut detected: Vec<DetectedParts> = Vec::new();
        let mut attributed: Vec<u64> = Vec::new();
        for (_, suspect) in &candidates {
            let upstreams = suspect.upstreams();
            let others = upstreams.iter().filter(|u| !attributed.contains(u)).count();
            if others < MIN_CRASHES {
                continue;
            }
            let is_tied = |s: &PartSuspect| {
                s.upstreams() == upstreams && s.is_unanswered() == suspect.is_unanswered()
            };
            let tied = candidates.iter().filter(|(_, s)| is_tied(s));
            let mut parts: Vec<PartId> = tied.map(|(part, _)| *part).collect();
            parts.sort_unstable();
            let (first, _) = suspect.span();
            let weak = any_completed.is_none_or(|completed| completed <= first);
            attributed.extend(&upstreams);
            detected.push(DetectedParts { parts, upstreams, weak });
        }
        self.mark_evaluated(now);
        for found in &detected {
            self.settle(found);
        }
        detected
    }

    /// The parts with enough crashes on which all hosts have had the time to report.
    fn candidates(
        &self,
        now: Duration,
        any_completed: Option<Duration>,
    ) -> Vec<(PartId, PartSuspect)> {
        let settled = self.table.several().map(|(part, suspect)| {
            let mut settled = suspect.clone();
            settled.crashes.retain(|c| !self.reported.is_open(c.upstream, now));
            (*part, settled)
        });
        settled.filter(|(_, s)| s.meets_threshold(any_completed)).collect()
    }

    fn mark_evaluated(&mut self, now: Duration) {
        let reported = &self.reported;
        for (_, suspect) in self.table.several_mut() {
            suspect.evaluated |= !suspect.crashes.iter().any(|c| reported.is_open(c.upstream, now));
        }
    }

    /// Removes a detected part from the suspects. Parts that were detected together stay:
    /// a further crash may tell them apart.
    fn settle(&mut self, found: &DetectedParts) {
        for part in &found.parts {
            let Some(mut suspect) = self.table.take(part) else { continue };
            if found.parts.len() > 1 {
                suspect.tied = suspect.crashes.len();
                self.table.put(*part, suspect);
            }
        }
        self.attribute(found.fingerprint(), &found.upstreams);
    }
}
