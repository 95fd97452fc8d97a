//! One suspect: a request that was in flight at crashes, and how well it explains
//! them.

use std::cmp::Reverse;
use std::time::Duration;

use super::CrashReport;
use super::table::Suspected;

/// Crashes at which a request must have been in flight to count as their cause.
pub const MIN_CRASHES: usize = 3;

/// Crashes needed for a request that may have been in flight by coincidence: it was
/// resumed after a crash, or repeated because of it, at an upstream that crashed
/// for another cause.
const CRASHES_IF_COINCIDENTAL: usize = 5;

/// Number of attempts from which on coincidence is ruled out: callers repeat a
/// request only once or twice.
const MIN_ATTEMPTS: usize = 3;

/// A request that crashes upstreams does so at the same point of its run. Points
/// count as the same if they are within this factor plus this time: a few steps
/// of a busy engine.
const SAME_POINT_FACTOR: u32 = 2;
const SAME_POINT_SLACK: Duration = Duration::from_millis(100);

/// Of two requests in flight at the same crashes, the cause is the one whose
/// points are closer together, by the factor above and by more than this time: a
/// busy host notices a crash some milliseconds late.
const SPREAD_SLACK: Duration = Duration::from_millis(20);

/// How long before the first crash a completed run still counts in favour of a
/// request.
const COMPLETED_RUN_WINDOW: Duration = Duration::from_secs(60);

/// Against a request that had completed shortly before, crashes within this time of the first of
/// them count as one: a request that many callers send is in flight at all upstreams that an outage
/// ends. Against others, those do at which other upstreams crashed as well.
const OUTAGE_WINDOW: Duration = Duration::from_secs(1);

/// Crashes within this time of each other may have the same cause.
pub const COINCIDENCE_WINDOW: Duration = Duration::from_millis(100);

/// How far the clocks of two hosts may differ.
const CLOCK_SLACK: Duration = Duration::from_millis(5);

/// How long a crash counts against a request: one hour.
const CRASH_WINDOW: Duration = Duration::from_secs(3_600);

/// Maximum number of crashes kept for one request.
const MAX_CRASHES: usize = 8;

/// Maximum number of upstreams kept whose crashes were dropped.
const MAX_DROPPED: usize = 64;

/// One crash at which a request was in flight.
#[derive(Debug, Clone, Copy)]
pub struct Crash {
    /// Key of the upstream's incarnation.
    pub upstream: u64,
    attempt: u64,
    /// For how long the answer had been streamed, if that had begun.
    ran: Option<Duration>,
    /// How long before the crash the request had been sent.
    sent: Duration,
    /// When the crash was noticed, since the Unix epoch.
    pub noticed_at: Duration,
    /// Whether it was part of an outage that also ended upstreams without the request.
    pub is_coincident: bool,
    /// When this host received the report.
    pub received_at: Duration,
}

/// The crashes at which one request was in flight.
#[derive(Debug, Clone, Default)]
pub struct Suspect {
    /// These crashes.
    pub crashes: Vec<Crash>,
    /// Upstreams whose crashes were dropped for others.
    dropped: Vec<u64>,
    /// Whether they are enough to count the request as their cause.
    pub has_enough: bool,
    /// Whether a run of [`super::Suspects::detect`] has considered all its crashes.
    pub evaluated: bool,
    /// When it last completed, since the Unix epoch.
    last_completed: Option<Duration>,
    /// Number of its crashes, if these are exactly the ones that another request,
    /// already detected, explains; zero otherwise.
    tied: usize,
}

/// How well a request explains the crashes at which it was in flight, in the order
/// of significance: that it did not complete shortly before, the number of
/// crashes, the number of attempts, the number of crashes after its answer had
/// begun, and how close together the points of its run are at which they occurred.
type Strength = (bool, usize, usize, usize, Reverse<Duration>);

impl Suspect {
    /// Adds a crash whose report was received at `now`. Crashes before a completed
    /// run of the request had another cause, in whichever order they are reported.
    pub fn add(&mut self, report: &CrashReport, now: Duration) {
        let CrashReport { upstream, attempt, ran, sent, at, .. } = *report;
        self.last_completed =
            self.last_completed.max(report.well.map(|age| at.saturating_sub(age)));
        match self.crashes.iter().position(|c| c.upstream == upstream) {
            // Two attempts of the request were in flight. The one that had run longer
            // reached the point at which the request crashes upstreams.
            Some(index) => {
                let crash = &mut self.crashes[index];
                (crash.ran, crash.sent, crash.attempt) =
                    (crash.ran, crash.sent, crash.attempt).max((ran, sent, attempt));
            }
            None if self.make_room() => {
                self.crashes.push(Crash {
                    upstream,
                    attempt,
                    ran,
                    sent,
                    noticed_at: at,
                    is_coincident: false,
                    received_at: now,
                });
                self.evaluated = false;
            }
            None => {}
        }
        let completed = self.last_completed;
        self.retain(|c| {
            at < c.noticed_at + CRASH_WINDOW
                && completed.is_none_or(|completed| completed <= c.noticed_at)
        });
        if self.meets_threshold() {
            self.has_enough = true;
        }
    }

    /// Whether one more crash can be kept. Of crashes that count as one, all but one can be dropped
    /// for it.
    fn make_room(&mut self) -> bool {
        if self.crashes.len() == MAX_CRASHES {
            let uncounted = match self.completed_before() {
                true => self.same_outage(),
                false => self.not_sequential(),
            };
            if let Some(upstream) = uncounted {
                self.crashes.retain(|c| c.upstream != upstream);
                self.dropped.push(upstream);
                self.dropped.truncate(MAX_DROPPED);
            }
        }
        self.crashes.len() < MAX_CRASHES
    }

    /// An upstream that crashed within [`OUTAGE_WINDOW`] of the crash before.
    fn same_outage(&mut self) -> Option<u64> {
        self.crashes.sort_by_key(|c| c.noticed_at);
        let same = |pair: &&[Crash]| pair[1].noticed_at < pair[0].noticed_at + OUTAGE_WINDOW;
        self.crashes.windows(2).find(same).map(|pair| pair[1].upstream)
    }

    /// An upstream whose crash is not one of [`Self::sequential_crashes`].
    fn not_sequential(&self) -> Option<u64> {
        let counted = self.sequential_crashes();
        let is_counted = |c: &&Crash| counted.iter().any(|other| other.upstream == c.upstream);
        self.crashes.iter().find(|c| !is_counted(c)).map(|c| c.upstream)
    }

    /// Removes the crashes of `upstreams`, which another request explains, unless
    /// they are all the crashes of this one, which was in flight there in several
    /// attempts. In that case they are kept as tied, and the next crash decides
    /// between the two.
    pub fn explain(&mut self, upstreams: &[u64]) {
        let explained = |c: &Crash| upstreams.contains(&c.upstream);
        let same = self.crashes.len() >= upstreams.len() && self.crashes.iter().all(explained);
        match same && self.attempts() > 1 && self.counted_crashes() >= self.required_crashes() {
            true => (self.tied, self.has_enough) = (self.crashes.len(), false),
            false => self.retain(|c| !explained(c)),
        }
    }

    /// Removes the crashes for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(&Crash) -> bool) {
        self.crashes.retain(keep);
        if self.counted_crashes() < self.required_crashes() {
            self.has_enough = false;
        }
    }

    /// Whether it was in flight at enough crashes to count as their cause, and at more
    /// than the tied ones.
    pub fn meets_threshold(&self) -> bool {
        self.counted_crashes() >= self.required_crashes() && self.crashes.len() > self.tied
    }

    /// Whether its crashes are enough, and no run of [`super::Suspects::detect`] has
    /// considered them all.
    pub fn is_unevaluated(&self) -> bool {
        self.has_enough && !self.evaluated
    }

    /// Whether it may have been in flight at its crashes by coincidence.
    pub fn may_be_coincidental(&self) -> bool {
        self.attempts() < MIN_ATTEMPTS && self.crashes.len() < CRASHES_IF_COINCIDENTAL
    }

    /// Number of its attempts that were in flight at the crashes.
    fn attempts(&self) -> usize {
        let mut attempts: Vec<u64> = self.crashes.iter().map(|c| c.attempt).collect();
        attempts.sort_unstable();
        attempts.dedup();
        attempts.len()
    }

    /// The earliest and the latest point of its run at which a crash occurred, by
    /// how long its answer had been streamed. Zero if that had not begun, as with
    /// a request that crashes upstreams at once.
    fn crash_points(&self) -> (Duration, Duration) {
        let ran = self.crashes.iter().map(|c| c.ran.unwrap_or_default());
        (ran.clone().min().unwrap_or_default(), ran.max().unwrap_or_default())
    }

    /// Whether the crashes occurred at the same point of its run.
    fn crashes_at_same_point(&self) -> bool {
        let (min, max) = self.crash_points();
        max <= min * SAME_POINT_FACTOR + SAME_POINT_SLACK
    }

    /// Whether it completed shortly before the first of the crashes: a request that
    /// many callers send is in flight at any crash.
    fn completed_before(&self) -> bool {
        let first = self.crashes.iter().map(|c| c.noticed_at).min().unwrap_or_default();
        self.last_completed.is_some_and(|completed| first <= completed + COMPLETED_RUN_WINDOW)
    }

    /// Number of crashes that count against it.
    pub fn counted_crashes(&self) -> usize {
        match self.completed_before() {
            true => count_outages(self.crashes.iter().map(|c| c.noticed_at).collect()),
            false => self.sequential_crashes().len(),
        }
    }

    /// The crashes that tell more than that an outage ended several upstreams, in order: each
    /// followed a send that was made after the one before, and not in the same outage of the
    /// service.
    fn sequential_crashes(&self) -> Vec<Crash> {
        let mut sorted = self.crashes.clone();
        sorted.sort_by_key(|c| c.noticed_at);
        let mut counted: Vec<Crash> = Vec::new();
        for crash in sorted {
            let tells_more = |last: &Crash| {
                let is_new = crash.noticed_at >= last.noticed_at + OUTAGE_WINDOW;
                let sent_at = crash.noticed_at.saturating_sub(crash.sent);
                sent_at + CLOCK_SLACK >= last.noticed_at && (is_new || !crash.is_coincident)
            };
            if counted.last().is_none_or(tells_more) {
                counted.push(crash);
            }
        }
        counted
    }

    /// Number of crashes needed for it to count as their cause.
    pub fn required_crashes(&self) -> usize {
        match self.attempts() >= MIN_ATTEMPTS || self.crashes_at_same_point() {
            true if !self.completed_before() && !self.is_coincident() => MIN_CRASHES,
            _ => CRASHES_IF_COINCIDENTAL,
        }
    }

    /// Whether one of the crashes that count may have had the cause of another crash.
    fn is_coincident(&self) -> bool {
        self.sequential_crashes().iter().any(|c| c.is_coincident)
    }

    /// How well it explains its crashes.
    pub fn strength(&self) -> Strength {
        let begun = self.crashes.iter().filter(|c| c.ran.is_some()).count();
        let not_completed = !self.completed_before();
        (not_completed, self.crashes.len(), self.attempts(), begun, Reverse(self.point_spread()))
    }

    /// How far apart the points of its run are at which the crashes occurred.
    fn point_spread(&self) -> Duration {
        let (min, max) = self.crash_points();
        max - min
    }

    /// Whether this suspect explains some of the crashes of `other` at least as
    /// well: at each of its crashes it was in flight under a new attempt, and it
    /// was in flight also at a crash where `other` was not, or had begun later
    /// than `other` at each shared one. Two crashes are not enough for that
    /// unless `other` had one attempt only: with many causes of crashes, requests
    /// that are sent again are in flight at two by coincidence.
    pub fn competes_with(&self, other: &Self) -> bool {
        let theirs = |c: &Crash| other.crashes.iter().find(|o| o.upstream == c.upstream).copied();
        let shared: Vec<(Crash, Crash)> =
            self.crashes.iter().filter_map(|c| Some((*c, theirs(c)?))).collect();
        let later = shared.iter().all(|(own, theirs)| own.ran.is_some() && own.ran < theirs.ran);
        self.attempts() == self.crashes.len()
            && (self.crashes.len() >= MIN_CRASHES || other.attempts() == 1)
            && !shared.is_empty()
            && (shared.len() < self.crashes.len() || later)
    }

    /// Whether `other` explains the crashes of this suspect as well as this one does,
    /// and they are too few to decide between the two.
    pub fn ties(&self, other: &Self) -> bool {
        let (not_completed, count, attempts, begun, _) = self.strength();
        let (not_completed_other, count_other, attempts_other, begun_other, _) = other.strength();
        let shared = |c: &Crash| other.crashes.iter().any(|o| o.upstream == c.upstream);
        (not_completed, count, attempts, begun)
            == (not_completed_other, count_other, attempts_other, begun_other)
            && count < CRASHES_IF_COINCIDENTAL
            && self.crashes.iter().all(shared)
            && other.point_spread() < self.point_spread() * SAME_POINT_FACTOR + SPREAD_SLACK
    }

    /// Whether it was in flight at the crash of `upstream`.
    pub fn was_at(&self, upstream: u64) -> bool {
        self.dropped.contains(&upstream) || self.crashes.iter().any(|c| c.upstream == upstream)
    }

    /// The upstreams that crashed.
    pub fn upstreams(&self) -> Vec<u64> {
        self.crashes.iter().map(|c| c.upstream).collect()
    }
}

/// Number of outages in which upstreams crashed at `times`.
fn count_outages(mut times: Vec<Duration>) -> usize {
    times.sort_unstable();
    let mut begun: Option<Duration> = None;
    let begins = |at: &Duration| {
        let is_new = begun.is_none_or(|begun| *at >= begun + OUTAGE_WINDOW);
        if is_new {
            begun = Some(*at);
        }
        is_new
    };
    times.iter().copied().filter(begins).count()
}

impl Suspected for Suspect {
    fn crash_count(&self) -> usize {
        self.crashes.len()
    }
}
