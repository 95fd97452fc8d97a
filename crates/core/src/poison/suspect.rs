//! One request that was at crashes, and how well it explains them.

use std::cmp::Reverse;
use std::time::Duration;

use super::CrashReport;

/// Crashes at which a request must have been to count as their cause.
pub const CRASHES: usize = 3;

/// Crashes needed of a request that may have been there by chance: it was sent
/// on after a crash, or repeated because of it, to an upstream that crashed for
/// another cause.
const CRASHES_BY_CHANCE: usize = 5;

/// Attempts from which a request is not taken to be there by chance: callers
/// repeat a request once or twice.
const MIN_ATTEMPTS: usize = 3;

/// A request crashes upstreams at the same point of its run, within a factor
/// and some steps of a busy engine.
const RAN_FACTOR: u32 = 2;
const RAN_SLACK: Duration = Duration::from_millis(100);

/// Of two requests at the same crashes, the points of the cause are closer
/// together by that factor and by more than this: a busy host notices a crash
/// some milliseconds late.
const POINT_SLACK: Duration = Duration::from_millis(20);

/// How long before the first crash a complete run still counts for a request.
const GOOD_RUN_WINDOW: Duration = Duration::from_secs(60);

/// How long a crash counts against a request.
const CRASH_WINDOW: Duration = Duration::from_secs(3_600);

/// Crashes remembered of one request.
const MAX_SEEN: usize = 8;

/// One crash at which a request was.
#[derive(Debug, Clone, Copy)]
pub struct Seen {
    /// Key of the upstream's life.
    pub upstream: u64,
    attempt: u64,
    ran: Option<Duration>,
    /// When the crash was noticed, since the Unix epoch.
    at: Duration,
    /// When this host heard of it.
    pub heard: Duration,
}

/// The crashes at which one request was.
#[derive(Debug, Clone, Default)]
pub struct Suspect {
    /// These crashes.
    pub seen: Vec<Seen>,
    /// It was at enough of them.
    pub full: bool,
    /// A detection has considered it since the last crash, and did not find it.
    pub judged: bool,
    /// When it last ran to its end, since the Unix epoch.
    well: Option<Duration>,
    /// How many of them were all the crashes of a request found before.
    tied: usize,
}

/// How well a request explains the crashes at which it was: by whether it ran
/// well shortly before, by their number, by the attempts that were at them, by
/// those that came after its answer had begun, and by how far apart the points of
/// it are at which they came.
type Strength = (bool, usize, usize, usize, Reverse<Duration>);

impl Suspect {
    /// Adds a crash that was heard of at `now`. Crashes before a complete run
    /// of the request had another cause, in whichever order they are reported.
    pub fn add(&mut self, report: &CrashReport, now: Duration) {
        let CrashReport { upstream, attempt, ran, at, .. } = *report;
        self.well = self.well.max(report.well.map(|age| at.saturating_sub(age)));
        match self.seen.iter().position(|s| s.upstream == upstream) {
            // Two of its attempts were there: the one that began first came to the
            // point at which it crashes.
            Some(index) => {
                let seen = &mut self.seen[index];
                (seen.ran, seen.attempt) = (seen.ran, seen.attempt).max((ran, attempt));
            }
            None if self.seen.len() < MAX_SEEN => {
                self.seen.push(Seen { upstream, attempt, ran, at, heard: now });
                self.judged = false;
            }
            None => {}
        }
        let well = self.well;
        self.keep(|s| at < s.at + CRASH_WINDOW && well.is_none_or(|well| well <= s.at));
        if self.is_enough() {
            self.full = true;
        }
    }

    /// The crashes of `upstreams` are explained by another request: they no
    /// longer count against this one, unless it was at all of them as well in
    /// several attempts. The next crash decides between the two.
    pub fn explain(&mut self, upstreams: &[u64]) {
        let explained = |s: &Seen| upstreams.contains(&s.upstream);
        let same = self.seen.len() >= upstreams.len() && self.seen.iter().all(explained);
        match same && self.attempts() > 1 && self.seen.len() >= self.needed() {
            true => (self.tied, self.full) = (self.seen.len(), false),
            false => self.keep(|s| !explained(s)),
        }
    }

    /// Keeps the crashes of which `keep` holds.
    pub fn keep(&mut self, keep: impl Fn(&Seen) -> bool) {
        self.seen.retain(keep);
        if self.seen.len() < self.needed() {
            self.full = false;
        }
    }

    /// Whether it was at enough crashes to count as their cause: more than those that
    /// another explains.
    pub fn is_enough(&self) -> bool {
        self.seen.len() >= self.needed() && self.seen.len() > self.tied
    }

    /// Whether it was at enough crashes, and no detection has considered them all.
    pub fn is_unjudged(&self) -> bool {
        self.full && !self.judged
    }

    /// Whether it may have been at its crashes by chance.
    pub fn is_doubtful(&self) -> bool {
        self.attempts() < MIN_ATTEMPTS && self.seen.len() < CRASHES_BY_CHANCE
    }

    /// Attempts under which it was at the crashes.
    fn attempts(&self) -> usize {
        let mut attempts: Vec<u64> = self.seen.iter().map(|s| s.attempt).collect();
        attempts.sort_unstable();
        attempts.dedup();
        attempts.len()
    }

    /// The first and the last point of it at which a crash came; the answer of one
    /// that crashes what runs it at once may not have begun for its host.
    fn points(&self) -> (Duration, Duration) {
        let ran = self.seen.iter().map(|s| s.ran.unwrap_or_default());
        (ran.clone().min().unwrap_or_default(), ran.max().unwrap_or_default())
    }

    /// Whether the crashes came at the same point of it.
    fn is_steady(&self) -> bool {
        let (min, max) = self.points();
        max <= min * RAN_FACTOR + RAN_SLACK
    }

    /// Whether it ran to its end shortly before the first of the crashes: a
    /// request that many callers send is present at any crash.
    fn ran_well(&self) -> bool {
        let first = self.seen.iter().map(|s| s.at).min().unwrap_or_default();
        self.well.is_some_and(|well| first <= well + GOOD_RUN_WINDOW)
    }

    /// Crashes needed for it to count as their cause.
    pub fn needed(&self) -> usize {
        match self.attempts() >= MIN_ATTEMPTS || self.is_steady() {
            true if !self.ran_well() => CRASHES,
            _ => CRASHES_BY_CHANCE,
        }
    }

    /// How well it explains its crashes.
    pub fn strength(&self) -> Strength {
        let begun = self.seen.iter().filter(|s| s.ran.is_some()).count();
        let never = !self.ran_well();
        (never, self.seen.len(), self.attempts(), begun, Reverse(self.spread()))
    }

    /// How far apart the points of it are at which the crashes came.
    fn spread(&self) -> Duration {
        let (min, max) = self.points();
        max - min
    }

    /// Whether it explains crashes of `other` as well as that does. Requests
    /// that come back meet two crashes by chance where many causes are at work.
    pub fn rivals(&self, other: &Self) -> bool {
        let theirs = |s: &Seen| other.seen.iter().find(|o| o.upstream == s.upstream).copied();
        let shared: Vec<(Seen, Seen)> =
            self.seen.iter().filter_map(|s| Some((*s, theirs(s)?))).collect();
        let later = shared.iter().all(|(own, theirs)| own.ran.is_some() && own.ran < theirs.ran);
        self.attempts() == self.seen.len()
            && (self.seen.len() >= CRASHES || other.attempts() == 1)
            && !shared.is_empty()
            && (shared.len() < self.seen.len() || later)
    }

    /// Whether `other` explains the same crashes as well, and too few to decide
    /// between the two.
    pub fn ties(&self, other: &Self) -> bool {
        let (never, count, attempts, begun, _) = self.strength();
        let (never_other, count_other, attempts_other, begun_other, _) = other.strength();
        let shared = |s: &Seen| other.seen.iter().any(|o| o.upstream == s.upstream);
        (never, count, attempts, begun) == (never_other, count_other, attempts_other, begun_other)
            && count < CRASHES_BY_CHANCE
            && self.seen.iter().all(shared)
            && other.spread() < self.spread() * RAN_FACTOR + POINT_SLACK
    }

    /// The upstreams that crashed.
    pub fn upstreams(&self) -> Vec<u64> {
        self.seen.iter().map(|s| s.upstream).collect()
    }
}
