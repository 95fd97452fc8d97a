//! Which request crashed the upstreams, from what hosts saw of the crashes.

use std::cmp::Reverse;
use std::time::Duration;

use lru::LruCache;

use super::CrashReport;
use super::suspect::{CRASHES, Seen, Suspect};
use crate::fingerprint::Fingerprint;

/// Time after the last of these crashes in which all hosts report on it, where they
/// tell each other at once.
pub const SETTLE: Duration = Duration::from_millis(100);

/// Requests remembered that were at one crash, and at several. Kept apart, so
/// that callers with ever new bodies cannot evict a request that was at two.
const MAX_ONCE: usize = 4_096;
const MAX_OFTEN: usize = 1_024;

/// Crashes remembered that are explained, and that were reported.
const MAX_EXPLAINED: usize = 1_024;
const MAX_HEARD: usize = 1_024;

/// The requests that were at crashes not yet explained.
///
/// ```
/// use std::time::Duration;
/// use marjoram_core::fingerprint::Fingerprint;
/// use marjoram_core::poison::{CrashReport, SETTLE, Suspects};
/// let mut suspects = Suspects::new();
/// let poison = Fingerprint(1);
/// for upstream in 1..=3 {
///     let beside = Fingerprint(10 + upstream);
///     for request in [poison, beside] {
///         let report = CrashReport { request, upstream, attempt: upstream, ran: None, well: None, at: Duration::from_secs(upstream) };
///         suspects.add(&report, Duration::from_secs(upstream));
///     }
/// }
/// let found = suspects.detect(Duration::from_secs(3) + SETTLE);
/// assert_eq!(found, [(poison, vec![1, 2, 3])]);
/// ```
#[derive(Debug)]
pub struct Suspects {
    once: LruCache<Fingerprint, Suspect>,
    often: LruCache<Fingerprint, Suspect>,
    /// Upstreams that crashed under a request already found.
    explained: LruCache<u64, ()>,
    /// When the first report of each crash was heard.
    heard: LruCache<u64, Duration>,
    /// Time after a crash in which all hosts report on it.
    settle: Duration,
}

impl Default for Suspects {
    fn default() -> Self {
        Self {
            once: LruCache::unbounded(),
            often: LruCache::unbounded(),
            explained: LruCache::unbounded(),
            heard: LruCache::unbounded(),
            settle: SETTLE,
        }
    }
}

impl Suspects {
    /// No suspects.
    pub fn new() -> Self {
        Self::default()
    }

    /// No suspects; all hosts report on a crash within `settle` of the first report.
    pub fn with_settle(settle: Duration) -> Self {
        Self { settle, ..Self::default() }
    }

    /// Requests remembered.
    pub fn len(&self) -> usize {
        self.once.len() + self.often.len()
    }

    /// Whether there are no suspects.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Whether `request` was at a crash.
    pub fn contains(&self, request: Fingerprint) -> bool {
        self.often.contains(&request) || self.once.contains(&request)
    }

    /// Adds a host's report, heard at `now`.
    pub fn add(&mut self, report: &CrashReport, now: Duration) {
        if self.explained.contains(&report.upstream) {
            return;
        }
        if !self.heard.contains(&report.upstream) {
            self.heard.put(report.upstream, now);
        }
        if self.heard.len() > MAX_HEARD {
            self.heard.pop_lru();
        }
        let request = report.request;
        let known = self.often.pop(&request).or_else(|| self.once.pop(&request));
        let mut suspect = known.unwrap_or_default();
        suspect.add(report, now);
        self.put(request, suspect);
    }

    fn put(&mut self, request: Fingerprint, suspect: Suspect) {
        let (list, limit) = match suspect.seen.len() {
            0 => return,
            1 => (&mut self.once, MAX_ONCE),
            _ => (&mut self.often, MAX_OFTEN),
        };
        list.put(request, suspect);
        if list.len() > limit {
            list.pop_lru();
        }
    }

    /// `request` ran to its end: it did not cause the crashes before. False if
    /// it was at none.
    pub fn clear(&mut self, request: Fingerprint) -> bool {
        self.often.pop(&request).or_else(|| self.once.pop(&request)).is_some()
    }

    /// The crashes of `upstreams` are explained: they count against no request.
    pub fn explain(&mut self, upstreams: &[u64]) {
        let new: Vec<u64> =
            upstreams.iter().copied().filter(|u| !self.explained.contains(u)).collect();
        for upstream in &new {
            self.explained.put(*upstream, ());
        }
        while self.explained.len() > MAX_EXPLAINED {
            self.explained.pop_lru();
        }
        self.change(|s| new.contains(&s.upstream), |suspect| suspect.explain(upstreams));
    }

    /// Drops crashes of upstreams that were alive afterwards: `lives` says
    /// whether one was after a given time. Checks only suspects that are about
    /// to be found.
    pub fn refute(&mut self, now: Duration, lives: impl Fn(u64, Duration) -> bool) {
        let ripe = self.ripe(now);
        let mut wrong: Vec<u64> = ripe
            .iter()
            .flat_map(|(_, s)| s.seen.iter())
            .filter(|seen| lives(seen.upstream, seen.heard))
            .map(|seen| seen.upstream)
            .collect();
        wrong.sort_unstable();
        wrong.dedup();
        let wrong = |s: &Seen| wrong.contains(&s.upstream);
        self.change(wrong, |suspect| suspect.keep(|s| !wrong(s)));
    }

    /// Changes the suspects that were at a crash of which `hit` holds.
    fn change(&mut self, hit: impl Fn(&Seen) -> bool, change: impl Fn(&mut Suspect)) {
        let hits = |list: &LruCache<Fingerprint, Suspect>| {
            let hits = list.iter().filter(|(_, s)| s.seen.iter().any(&hit));
            hits.map(|(r, _)| *r).collect::<Vec<_>>()
        };
        for request in [hits(&self.once), hits(&self.often)].concat() {
            let known = self.often.pop(&request).or_else(|| self.once.pop(&request));
            let mut suspect = known.expect("just found");
            change(&mut suspect);
            self.put(request, suspect);
        }
    }

    /// Whether any suspect was at enough crashes.
    pub fn is_pending(&self) -> bool {
        self.often.iter().any(|(_, s)| s.full)
    }

    /// Whether any suspect was at enough crashes and is still to be judged.
    pub fn is_unjudged(&self) -> bool {
        self.often.iter().any(|(_, s)| s.is_unjudged())
    }

    /// Whether `request` was at enough crashes and is still to be judged: sent
    /// meanwhile, it may crash one more upstream.
    pub fn withholds(&self, request: Fingerprint) -> bool {
        self.often.peek(&request).is_some_and(Suspect::is_unjudged)
    }

    /// Whether one more crash may complete those of `request`.
    pub fn is_close(&self, request: Fingerprint) -> bool {
        self.often.peek(&request).is_some_and(|s| s.seen.len() + 1 >= CRASHES)
    }

    /// Whether a suspect that may have been at its crashes by chance shares one
    /// with another that was sent anew each time, and that was also at a crash
    /// where this one was not, or had begun later than this one each time.
    fn has_rival(&self, suspect: &Suspect) -> bool {
        suspect.is_doubtful() && self.often.iter().any(|(_, other)| other.rivals(suspect))
    }

    /// Whether hosts may still be reporting on a crash at `now`.
    fn is_open(&self, crash: &Seen, now: Duration) -> bool {
        let heard = self.heard.peek(&crash.upstream);
        heard.is_some_and(|at| (*at..*at + self.settle).contains(&now))
    }

    /// The suspects that were at enough crashes on which all hosts have had the
    /// time to report, with these crashes only: any other counts against those that
    /// were reported first, and not yet against its cause.
    fn ripe(&self, now: Duration) -> Vec<(Fingerprint, Suspect)> {
        let full = self.often.iter().filter(|(_, s)| s.full);
        let settled = full.map(|(request, suspect)| {
            let mut settled = suspect.clone();
            settled.seen.retain(|s| !self.is_open(s, now));
            (*request, settled)
        });
        settled.filter(|(_, s)| s.is_enough() && !self.has_rival(s)).collect()
    }

    /// The requests that explain the crashes best, each with the upstreams
    /// that crashed, once all hosts have had the time to report. Of several that
    /// were at the same crashes none is found: the next crash decides.
    pub fn detect(&mut self, now: Duration) -> Vec<(Fingerprint, Vec<u64>)> {
        let mut ripe = self.ripe(now);
        ripe.sort_unstable_by_key(|(request, s)| Reverse((s.strength(), *request)));
        let mut found: Vec<(Fingerprint, Vec<u64>)> = Vec::new();
        let mut taken: Vec<u64> = Vec::new();
        for (request, suspect) in &ripe {
            let open = suspect.seen.iter().filter(|s| !taken.contains(&s.upstream)).count();
            if open < suspect.needed() {
                continue;
            }
            taken.extend(suspect.upstreams());
            if !ripe.iter().any(|(other, s)| other != request && suspect.ties(s)) {
                found.push((*request, suspect.upstreams()));
            }
        }
        let judged = |s: &Suspect| s.full && !s.seen.iter().any(|c| self.is_open(c, now));
        let judged: Vec<Fingerprint> =
            self.often.iter().filter(|(_, s)| judged(s)).map(|(request, _)| *request).collect();
        for (request, suspect) in self.often.iter_mut() {
            suspect.judged |= judged.contains(request);
        }
        for (request, upstreams) in &mut found {
            // Also the crashes on which some hosts are still to report.
            if let Some(suspect) = self.often.peek(request) {
                *upstreams = suspect.upstreams();
            }
        }
        for (request, upstreams) in &found {
            self.clear(*request);
            self.explain(upstreams);
        }
        found
    }
}
