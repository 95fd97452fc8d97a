//! Detects which request crashed the upstreams, from the crash reports of all hosts.

use std::cmp::Reverse;
use std::time::Duration;

use lru::LruCache;

use super::suspect::{COINCIDENCE_WINDOW, Crash, MIN_CRASHES, Suspect};
use super::table::SuspectTable;
use super::{CrashReport, CrashedService};
use crate::fingerprint::Fingerprint;

/// Time after the first report of a crash within which all hosts have reported on
/// it, where they notify each other at once.
pub const CRASH_REPORT_WINDOW: Duration = Duration::from_millis(100);

/// Crashes at the same time count as an outage of the service if there are at least this many, of at
/// least one in this many of its upstreams.
const MIN_OUTAGE: usize = 3;
const OUTAGE_SHARE: usize = 2;

/// Maximum number of crashes kept as explained and as reported.
const MAX_EXPLAINED: usize = 1_024;
const MAX_REPORTED: usize = 1_024;

/// The first report of a crash.
#[derive(Debug, Clone, Copy)]
struct FirstReport {
    received_at: Duration,
    /// When the crash was noticed, since the Unix epoch.
    noticed_at: Duration,
    service: CrashedService,
}

/// The first report of each crash, by the key of the upstream.
#[derive(Debug)]
pub(super) struct Reported {
    first: LruCache<u64, FirstReport>,
    /// Time after the first report of a crash within which all hosts report on it.
    window: Duration,
}

impl Reported {
    pub(super) fn new(window: Duration) -> Self {
        Self { first: LruCache::unbounded(), window }
    }

    /// Records a report, received at `now`, on the crash of `upstream` of `service`, which was
    /// noticed at `at`.
    pub(super) fn add(
        &mut self,
        upstream: u64,
        service: CrashedService,
        at: Duration,
        now: Duration,
    ) {
        if !self.first.contains(&upstream) {
            self.first.put(upstream, FirstReport { received_at: now, noticed_at: at, service });
        }
        if self.first.len() > MAX_REPORTED {
            self.first.pop_lru();
        }
    }

    /// Whether hosts may still be reporting on the crash of `upstream` at `now`.
    pub(super) fn is_open(&self, upstream: u64, now: Duration) -> bool {
        let reported = self.first.peek(&upstream);
        reported.is_some_and(|first| {
            (first.received_at..first.received_at + self.window).contains(&now)
        })
    }

    /// Marks the crashes of `suspect` that were part of an outage: at least half of the upstreams of
    /// the service crashed at the same time, not all of them while the suspect was in flight there.
    /// Crashes on which hosts may still be reporting at `now` do not tell the latter.
    fn mark_coincident(&self, suspect: &mut Suspect, now: Duration) {
        let without = |u: &u64| !suspect.was_at(*u) && !self.is_open(*u, now);
        let is_coincident = |crash: &Crash| {
            let Some(service) = self.first.peek(&crash.upstream).map(|first| first.service) else {
                return false;
            };
            let is_near = |first: &FirstReport| {
                first.service.key == service.key
                    && first.noticed_at.abs_diff(crash.noticed_at) <= COINCIDENCE_WINDOW
            };
            let near = self.first.iter().filter(|(_, first)| is_near(first));
            let near: Vec<u64> = near.map(|(upstream, _)| *upstream).collect();
            near.len() >= MIN_OUTAGE
                && near.len() * OUTAGE_SHARE >= service.upstreams
                && near.iter().any(without)
        };
        let marks: Vec<bool> = suspect.crashes.iter().map(is_coincident).collect();
        for (crash, mark) in suspect.crashes.iter_mut().zip(marks) {
            crash.is_coincident = mark;
        }
    }
}

/// The requests that were in flight at crashes not yet explained.
///
/// ```
/// use std::time::Duration;
/// use marjoram_core::fingerprint::Fingerprint;
/// use marjoram_core::poison::{CrashReport, CRASH_REPORT_WINDOW, Suspects};
/// let mut suspects = Suspects::new();
/// let poison = Fingerprint(1);
/// for upstream in 1..=3 {
///     let beside = Fingerprint(10 + upstream);
///     for request in [poison, beside] {
///         let report = CrashReport { request, upstream, service: Default::default(), attempt: upstream, ran: None, sent: Duration::ZERO, well: None, at: Duration::from_secs(upstream) };
///         suspects.add(&report, Duration::from_secs(upstream));
///     }
/// }
/// let found = suspects.detect(Duration::from_secs(3) + CRASH_REPORT_WINDOW);
/// assert_eq!(found, [(poison, vec![1, 2, 3])]);
/// ```
#[derive(Debug)]
pub struct Suspects {
    table: SuspectTable<Fingerprint, Suspect>,
    /// Incarnations of upstreams that a request already detected has crashed.
    explained: LruCache<u64, ()>,
    reported: Reported,
}

impl Default for Suspects {
    fn default() -> Self {
        Self {
            table: SuspectTable::default(),
            explained: LruCache::unbounded(),
            reported: Reported::new(CRASH_REPORT_WINDOW),
        }
    }
}

impl Suspects {
    /// No suspects.
    pub fn new() -> Self {
        Self::default()
    }

    /// No suspects, where all hosts report on a crash within `report_window` of the first
    /// report.
    pub fn with_report_window(report_window: Duration) -> Self {
        Self { reported: Reported::new(report_window), ..Self::default() }
    }

    /// Number of suspects.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Whether there are no suspects.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Whether `request` was in flight at a crash that is not explained.
    pub fn contains(&self, request: Fingerprint) -> bool {
        self.table.contains(&request)
    }

    /// Adds a host's report, received at `now`.
    pub fn add(&mut self, report: &CrashReport, now: Duration) {
        if self.explained.contains(&report.upstream) {
            return;
        }
        self.reported.add(report.upstream, report.service, report.at, now);
        let request = report.request;
        let known = self.table.take(&request);
        let mut suspect = known.unwrap_or_default();
        suspect.add(report, now);
        self.table.put(request, suspect);
    }

    /// Removes `request` from the suspects: it has completed, so it did not cause the
    /// crashes before. False if it was no suspect.
    pub fn clear(&mut self, request: Fingerprint) -> bool {
        self.table.take(&request).is_some()
    }

    /// Records that the crashes of `upstreams` are explained by a detected request:
    /// from now on they count against no other one, except where
    /// `Suspect::explain` keeps them as tied.
    pub fn explain(&mut self, upstreams: &[u64]) {
        let new: Vec<u64> =
            upstreams.iter().copied().filter(|u| !self.explained.contains(u)).collect();
        for upstream in &new {
            self.explained.put(*upstream, ());
        }
        while self.explained.len() > MAX_EXPLAINED {
            self.explained.pop_lru();
        }
        self.change(|c| new.contains(&c.upstream), |suspect| suspect.explain(upstreams));
    }

    /// Removes reported crashes of upstreams that were alive afterwards: `was_alive`
    /// is whether an upstream was alive after a given time. Checks only suspects that
    /// are about to be detected.
    pub fn refute(&mut self, now: Duration, was_alive: impl Fn(u64, Duration) -> bool) {
        let candidates = self.candidates(now);
        let mut alive: Vec<u64> = candidates
            .iter()
            .flat_map(|(_, s)| s.crashes.iter())
            .filter(|crash| was_alive(crash.upstream, crash.received_at))
            .map(|crash| crash.upstream)
            .collect();
        alive.sort_unstable();
        alive.dedup();
        let refuted = |c: &Crash| alive.contains(&c.upstream);
        self.change(refuted, |suspect| suspect.retain(|c| !refuted(c)));
    }

    /// Applies `change` to the suspects with a crash for which `matches` is true.
    fn change(&mut self, matches: impl Fn(&Crash) -> bool, change: impl Fn(&mut Suspect)) {
        let matching = self.table.iter().filter(|(_, s)| s.crashes.iter().any(&matches));
        let matching: Vec<Fingerprint> = matching.map(|(request, _)| *request).collect();
        for request in matching {
            let known = self.table.take(&request);
            let mut suspect = known.expect("in the table");
            change(&mut suspect);
            self.table.put(request, suspect);
        }
    }

    /// Whether any suspect was in flight at enough crashes to be detected.
    pub fn is_pending(&self) -> bool {
        self.table.several().any(|(_, s)| s.has_enough)
    }

    /// Whether any suspect was in flight at enough crashes and no run of
    /// [`Self::detect`] has considered them all.
    pub fn has_unevaluated(&self) -> bool {
        self.table.several().any(|(_, s)| s.is_unevaluated())
    }

    /// Whether `request` is to be held back: it was in flight at enough crashes,
    /// and no run of [`Self::detect`] has considered them all. If it were sent
    /// meanwhile, it might crash one more upstream.
    pub fn withholds(&self, request: Fingerprint) -> bool {
        self.table.peek_several(&request).is_some_and(Suspect::is_unevaluated)
    }

    /// Whether one more crash may suffice to detect `request`.
    pub fn is_close(&self, request: Fingerprint) -> bool {
        self.table.peek_several(&request).is_some_and(|s| s.crashes.len() + 1 >= MIN_CRASHES)
    }

    /// Whether another suspect explains crashes of `suspect` better, where `suspect`
    /// may have been in flight by coincidence: the other one shares a crash, was in
    /// flight under a new attempt each time, and was also in flight at a crash where
    /// `suspect` was not, or had begun later than `suspect` each time.
    fn has_competitor(&self, suspect: &Suspect) -> bool {
        suspect.may_be_coincidental()
            && self.table.several().any(|(_, other)| other.competes_with(suspect))
    }

    /// Whether hosts may still be reporting on a crash at `now`.
    fn is_open(&self, crash: &Crash, now: Duration) -> bool {
        self.reported.is_open(crash.upstream, now)
    }

    /// The suspects with enough crashes on which all hosts have had the time to
    /// report, with these crashes only. A crash on which reports are still arriving
    /// may count against the requests reported first and not yet against its cause.
    fn candidates(&self, now: Duration) -> Vec<(Fingerprint, Suspect)> {
        let complete = self.table.several().filter(|(_, s)| s.has_enough);
        let settled = complete.map(|(request, suspect)| {
            let mut settled = suspect.clone();
            settled.crashes.retain(|c| !self.is_open(c, now));
            self.reported.mark_coincident(&mut settled, now);
            (*request, settled)
        });
        settled.filter(|(_, s)| s.meets_threshold() && !self.has_competitor(s)).collect()
    }

    /// Detects the requests that explain the crashes best, once all hosts have had
    /// the time to report, and returns each with the upstreams that it crashed. Of
    /// several in flight at the same crashes none is detected: the next crash
    /// decides.
    ///
    /// Candidates are taken from the strongest on. Crashes that one of them accounts
    /// for do not count for the weaker ones.
    pub fn detect(&mut self, now: Duration) -> Vec<(Fingerprint, Vec<u64>)> {
        let mut candidates = self.candidates(now);
        candidates.sort_unstable_by_key(|(request, s)| Reverse((s.strength(), *request)));
        let mut detected: Vec<(Fingerprint, Vec<u64>)> = Vec::new();
        let mut attributed: Vec<u64> = Vec::new();
        for (request, suspect) in &candidates {
            let mut unattributed = suspect.clone();
            unattributed.crashes.retain(|c| !attributed.contains(&c.upstream));
            if unattributed.counted_crashes() < suspect.required_crashes() {
                continue;
            }
            attributed.extend(suspect.upstreams());
            if !candidates.iter().any(|(other, s)| other != request && suspect.ties(s)) {
                detected.push((*request, suspect.upstreams()));
            }
        }
        let is_settled =
            |s: &Suspect| s.has_enough && !s.crashes.iter().any(|c| self.is_open(c, now));
        let evaluated: Vec<Fingerprint> = self
            .table
            .several()
            .filter(|(_, s)| is_settled(s))
            .map(|(request, _)| *request)
            .collect();
        for (request, suspect) in self.table.several_mut() {
            suspect.evaluated |= evaluated.contains(request);
        }
        for (request, upstreams) in &mut detected {
            // Includes crashes on which some hosts have not reported yet.
            if let Some(suspect) = self.table.peek_several(request) {
                *upstreams = suspect.upstreams();
            }
        }
        for (request, upstreams) in &detected {
            self.clear(*request);
            self.explain(upstreams);
        }
        detected
    }
}
