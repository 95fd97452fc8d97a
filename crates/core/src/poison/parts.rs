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

use std::time::Duration;

use lru::LruCache;
use serde::{Deserialize, Serialize};

use super::suspect::MIN_CRASHES;
use super::suspects::{CRASH_REPORT_WINDOW, Reported};
use super::{QUARANTINE_TERM, Quarantined, part_set};
use crate::exchange::PartId;
use crate::fingerprint::Fingerprint;

/// Requests that must have been in flight at as many crashes, unless there is one more
/// crash: a request that is sent again is often in flight at a second one.
const MIN_REQUESTS: usize = 3;

/// Crashes needed where the evidence is weaker: the part was in an answer shortly before,
/// or no answer at all has been completed since.
const MIN_CRASHES_IF_WEAK: usize = 5;

/// Times between the first and the last crash from which several engines that ended for
/// one reason of their own are ruled out: without any completed answer, and for a part
/// that was in one shortly before.
const MIN_SPREAD: Duration = Duration::from_secs(1);
const MIN_SPREAD_IF_COMPLETED: Duration = Duration::from_secs(2);

/// How long before the first crash a completed answer still speaks for a part.
pub const PART_COMPLETION_WINDOW: Duration = Duration::from_secs(60);

/// How long a crash counts against a part: ten minutes.
const CRASH_WINDOW: Duration = Duration::from_secs(600);

/// Maximum number of crashes kept for one part, and of requests kept for one crash.
const MAX_CRASHES: usize = 8;
const MAX_REQUESTS: usize = 8;

/// Maximum number of parts with one crash and with several, kept apart so that callers
/// with ever new parts cannot evict one with two crashes.
const MAX_WITH_ONE: usize = 4_096;
const MAX_WITH_SEVERAL: usize = 1_024;

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

/// One crash at which prompts with a part were in flight.
#[derive(Debug, Clone)]
struct PartCrash {
    upstream: u64,
    requests: Vec<Fingerprint>,
    /// Since the Unix epoch.
    noticed_at: Duration,
}

/// The crashes at which prompts with one part were in flight.
#[derive(Debug, Clone, Default)]
struct PartSuspect {
    crashes: Vec<PartCrash>,
    /// When an answer to a prompt with the part was last completed, since the Unix epoch.
    completed_at: Option<Duration>,
    /// Whether a run of [`PartSuspects::detect`] has considered all crashes.
    evaluated: bool,
    /// Number of crashes for which it was detected together with others.
    tied: usize,
}

impl PartSuspect {
    fn add(&mut self, report: &PartCrashReport) {
        self.completed_at =
            self.completed_at.max(report.well.map(|age| report.at.saturating_sub(age)));
        match self.crashes.iter().position(|c| c.upstream == report.upstream) {
            Some(index) => self.crashes[index].requests.extend(&report.requests),
            None if self.crashes.len() < MAX_CRASHES => {
                self.crashes.push(PartCrash {
                    upstream: report.upstream,
                    requests: report.requests.clone(),
                    noticed_at: report.at,
                });
                self.evaluated = false;
            }
            None => {}
        }
        for crash in &mut self.crashes {
            crash.requests.sort_unstable();
            crash.requests.dedup();
            crash.requests.truncate(MAX_REQUESTS);
        }
        self.crashes.retain(|c| report.at < c.noticed_at + CRASH_WINDOW);
        self.drop_answered();
    }

    /// Removes the crashes before the last completed answer: they had another cause.
    fn drop_answered(&mut self) {
        let completed = self.completed_at;
        self.retain(|c| completed.is_none_or(|completed| completed <= c.noticed_at));
    }

    fn retain(&mut self, keep: impl Fn(&PartCrash) -> bool) {
        self.crashes.retain(keep);
        self.tied = self.tied.min(self.crashes.len());
    }

    /// When the first and the last crash were noticed.
    fn span(&self) -> (Duration, Duration) {
        let times = || self.crashes.iter().map(|c| c.noticed_at);
        (times().min().unwrap_or_default(), times().max().unwrap_or_default())
    }

    /// Whether it was in no completed answer shortly before the first crash.
    fn is_unanswered(&self) -> bool {
        let (first, _) = self.span();
        self.completed_at.is_none_or(|completed| completed + PART_COMPLETION_WINDOW < first)
    }

    /// Number of requests that were in flight at the crashes.
    fn requests(&self) -> usize {
        let mut all: Vec<Fingerprint> =
            self.crashes.iter().flat_map(|c| c.requests.iter().copied()).collect();
        all.sort_unstable();
        all.dedup();
        all.len()
    }

    /// Whether one request was in flight at all crashes.
    fn is_one_request(&self) -> bool {
        let Some((first, others)) = self.crashes.split_first() else { return false };
        first.requests.iter().any(|r| others.iter().all(|crash| crash.requests.contains(r)))
    }

    /// Whether its crashes are enough to count it as their cause. `any_completed` is when an
    /// answer to any prompt was last completed.
    fn meets_threshold(&self, any_completed: Option<Duration>) -> bool {
        let (first, last) = self.span();
        let (count, spread) = (self.crashes.len(), last - first);
        let others_answered = any_completed.is_some_and(|completed| completed > first);
        let enough = match (self.is_unanswered(), others_answered) {
            (true, true) => {
                count > MIN_CRASHES || count == MIN_CRASHES && self.requests() >= MIN_REQUESTS
            }
            (true, false) => count >= MIN_CRASHES_IF_WEAK && spread >= MIN_SPREAD,
            (false, true) => count >= MIN_CRASHES_IF_WEAK && spread >= MIN_SPREAD_IF_COMPLETED,
            (false, false) => false,
        };
        enough && count > self.tied && !self.is_one_request()
    }

    fn upstreams(&self) -> Vec<u64> {
        let mut upstreams: Vec<u64> = self.crashes.iter().map(|c| c.upstream).collect();
        upstreams.sort_unstable();
        upstreams
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
    with_one_crash: LruCache<PartId, PartSuspect>,
    with_several_crashes: LruCache<PartId, PartSuspect>,
    /// Incarnations of upstreams that a detected part has crashed.
    explained: LruCache<u64, ()>,
    reported: Reported,
}

impl Default for PartSuspects {
    fn default() -> Self {
        Self {
            with_one_crash: LruCache::unbounded(),
            with_several_crashes: LruCache::unbounded(),
            explained: LruCache::unbounded(),
            reported: Reported::new(CRASH_REPORT_WINDOW),
        }
    }
}

impl PartSuspects {
    /// Number of suspects.
    pub fn len(&self) -> usize {
        self.with_one_crash.len() + self.with_several_crashes.len()
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
        self.reported.add(report.upstream, now);
        let mut suspect = self.take(report.part).unwrap_or_default();
        suspect.add(report);
        self.put(report.part, suspect);
    }

    fn take(&mut self, part: PartId) -> Option<PartSuspect> {
        self.with_several_crashes.pop(&part).or_else(|| self.with_one_crash.pop(&part))
    }

    /// Stores a suspect in the list for its number of crashes.
    fn put(&mut self, part: PartId, suspect: PartSuspect) {
        let (list, limit) = match suspect.crashes.len() {
            0 => return,
            1 => (&mut self.with_one_crash, MAX_WITH_ONE),
            _ => (&mut self.with_several_crashes, MAX_WITH_SEVERAL),
        };
        list.put(part, suspect);
        if list.len() > limit {
            list.pop_lru();
        }
    }

    /// Records that an answer to a prompt with `part` was completed at `at`, since the Unix
    /// epoch.
    pub fn record_completion(&mut self, part: PartId, at: Duration) {
        let Some(mut suspect) = self.take(part) else { return };
        suspect.completed_at = suspect.completed_at.max(Some(at));
        suspect.drop_answered();
        self.put(part, suspect);
    }

    /// Records that the crashes of `upstreams` are explained by an entry of the quarantine.
    /// If that is a part they count against no other one from now on; those of a request
    /// still count against the parts of its prompt.
    pub fn explain(&mut self, cause: Fingerprint, upstreams: &[u64]) {
        let lists = [&self.with_one_crash, &self.with_several_crashes];
        if lists.iter().any(|list| list.iter().any(|(part, _)| part_set(&[*part]) == cause)) {
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
        let lists = [&self.with_one_crash, &self.with_several_crashes];
        let parts = lists.iter().flat_map(|list| list.iter().map(|(part, _)| *part));
        for part in parts.collect::<Vec<_>>() {
            let Some(mut suspect) = self.take(part) else { continue };
            if part_set(&[part]) != cause && suspect.tied == 0 {
                suspect.retain(|c| !upstreams.contains(&c.upstream));
            }
            self.put(part, suspect);
        }
    }

    /// Parts that may be detected at the next crash and of which no completed answer is
    /// known: whether other hosts know of one decides.
    pub fn unanswered(&self) -> Vec<PartId> {
        let close = |s: &PartSuspect| s.crashes.len() + 1 >= MIN_CRASHES && s.is_unanswered();
        let parts = self.with_several_crashes.iter().filter(|(_, suspect)| close(suspect));
        parts.map(|(part, _)| *part).collect()
    }

    /// Whether prompts with `part` are to be held back at `now`: it is at enough crashes,
    /// and no run of [`Self::detect`] has considered them all, or it lacks one crash and
    /// hosts may still be reporting.
    pub fn withholds(&self, part: PartId, now: Duration) -> bool {
        let Some(suspect) = self.with_several_crashes.peek(&part) else { return false };
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
        self.with_several_crashes
            .iter()
            .any(|(_, s)| !s.evaluated && s.crashes.len() >= MIN_CRASHES)
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
        let settled = self.with_several_crashes.iter().map(|(part, suspect)| {
            let mut settled = suspect.clone();
            settled.crashes.retain(|c| !self.reported.is_open(c.upstream, now));
            (*part, settled)
        });
        settled.filter(|(_, s)| s.meets_threshold(any_completed)).collect()
    }

    fn mark_evaluated(&mut self, now: Duration) {
        let reported = &self.reported;
        for (_, suspect) in self.with_several_crashes.iter_mut() {
            suspect.evaluated |= !suspect.crashes.iter().any(|c| reported.is_open(c.upstream, now));
        }
    }

    /// Removes a detected part from the suspects. Parts that were detected together stay:
    /// a further crash may tell them apart.
    fn settle(&mut self, found: &DetectedParts) {
        for part in &found.parts {
            let Some(mut suspect) = self.take(*part) else { continue };
            if found.parts.len() > 1 {
                suspect.tied = suspect.crashes.len();
                self.put(*part, suspect);
            }
        }
        self.attribute(found.fingerprint(), &found.upstreams);
    }
}
