//! The order in which engines change to newly announced weights.
//!
//! Load pattern: new weights are announced every few seconds, under full load. An
//! engine finishes the requests in flight, loads for half a second (longer while
//! many engines load), and has lost its cache afterwards. With too few engines
//! changing at a time, requests run on replaced weights; with too many, the
//! remaining ones are overloaded. Only the newest version is ever ordered: a
//! version that is replaced before an engine is ordered to load it is skipped.
//!
//! Limits: a fifth of the engines load at a time, as the operators publish for
//! their sites, but at least three. An engine that still finishes requests, which
//! can take seconds, does not count as loading; up to half of all engines may be
//! closed to new requests. Engines on the oldest weights go first, since each
//! version must be out of use within a time limit of its own. Among those, the
//! ones with the least work left go first, since an engine cannot load while it
//! still runs requests.

use std::time::Duration;

use crate::upstream::Instance;

/// One engine in this many may load at once.
const LOADING_SHARE: usize = 5;
/// One engine in this many may be closed to new requests at once, loading or not.
const CLOSED_SHARE: usize = 2;
/// Number of engines that may always load at once, and be closed at once, on a
/// site of any size.
const MIN_LOADING: usize = 3;

/// Maximum number of versions kept: more are never in use at once.
const MAX_VERSIONS: usize = 32;

/// Assumed age of weights that were announced before this process started, until
/// their age is read from the store or reported by another host.
const ASSUMED_AGE: Duration = Duration::from_secs(3);

/// The weights versions announced for one model, and when each was announced.
///
/// ```
/// use std::time::Duration;
/// use marjoram_core::rollout::AnnouncedVersions;
/// let mut announced = AnnouncedVersions::new();
/// announced.record_announced(2, Duration::from_secs(10));
/// announced.record_announced(4, Duration::from_secs(13));
/// assert_eq!(announced.newest(), Some(4));
/// let now = Duration::from_secs(15);
/// // Version 1 was replaced five seconds ago, by 2; version 2 and 3 by 4.
/// assert_eq!(announced.replaced(1, now), Some(Duration::from_secs(5)));
/// assert_eq!(announced.replaced(2, now), Some(Duration::from_secs(2)));
/// assert_eq!(announced.replaced(4, now), None);
/// ```
#[derive(Debug, Clone, Default)]
pub struct AnnouncedVersions {
    /// In ascending order of their numbers.
    versions: Vec<Version>,
}

#[derive(Debug, Clone, Copy)]
struct Version {
    number: u64,
    /// How long before `recorded_at` it was announced.
    age_when_recorded: Duration,
    recorded_at: Duration,
    source: AgeSource,
}

/// How the age of a version is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AgeSource {
    /// It is [`ASSUMED_AGE`].
    Assumed,
    /// From the record of an earlier process, by the wall clock.
    Stored,
    /// A host that is running observed the announcement.
    Observed,
}

impl Version {
    fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.recorded_at) + self.age_when_recorded
    }
}

impl AnnouncedVersions {
    /// No versions.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that `version` was announced just before `now`, and returns whether it
    /// is the newest.
    pub fn record_announced(&mut self, version: u64, now: Duration) -> bool {
        self.insert_newest(version, Duration::ZERO, now, AgeSource::Observed)
    }

    /// Records that `version` was announced before this process started, and returns
    /// whether it is the newest.
    pub fn record_existing(&mut self, version: u64, now: Duration) -> bool {
        self.insert_newest(version, ASSUMED_AGE, now, AgeSource::Assumed)
    }

    /// Records that another host has known of `version` for `age`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use marjoram_core::rollout::AnnouncedVersions;
    /// let mut announced = AnnouncedVersions::new();
    /// let now = Duration::from_secs(1);
    /// announced.record_existing(2, now);
    /// announced.record_reported(2, Duration::from_secs(6), now);
    /// assert_eq!(announced.replaced(1, now), Some(Duration::from_secs(6)));
    /// ```
    pub fn record_reported(&mut self, version: u64, age: Duration, now: Duration) {
        let is_known = |v: &Version| v.source == AgeSource::Observed && age <= v.age(now);
        self.record_age(version, age, now, AgeSource::Observed, is_known);
    }

    /// Records that, according to a record that outlives the processes, `version` was
    /// announced `age` ago. What running hosts have observed takes precedence: their
    /// monotonic clocks cannot step.
    ///
    /// ```
    /// use std::time::Duration;
    /// use marjoram_core::rollout::AnnouncedVersions;
    /// let secs = Duration::from_secs;
    /// let mut announced = AnnouncedVersions::new();
    /// announced.record_existing(2, secs(1));
    /// announced.record_stored(2, secs(40), secs(1));
    /// assert_eq!(announced.replaced(1, secs(3)), Some(secs(42)));
    /// announced.record_reported(2, secs(30), secs(3));
    /// announced.record_stored(2, secs(40), secs(3));
    /// assert_eq!(announced.replaced(1, secs(3)), Some(secs(30)));
    /// ```
    pub fn record_stored(&mut self, version: u64, age: Duration, now: Duration) {
        let is_observed = |v: &Version| v.source == AgeSource::Observed;
        self.record_age(version, age, now, AgeSource::Stored, is_observed);
    }

    /// Sets the age of `version`, unless `keep` holds for what is known of it.
    fn record_age(
        &mut self,
        version: u64,
        age: Duration,
        now: Duration,
        source: AgeSource,
        keep: impl Fn(&Version) -> bool,
    ) {
        let new = Version { number: version, age_when_recorded: age, recorded_at: now, source };
        let at = self.versions.partition_point(|v| v.number < version);
        match self.versions.get_mut(at) {
            Some(entry) if entry.number == version && keep(entry) => {}
            Some(entry) if entry.number == version => *entry = new,
            // The store lists only the newest version to a host that starts, so an
            // older one is known only from other sources.
            Some(_) => self.versions.insert(at, new),
            // Newer than any that this host knows: it will be read from the store.
            None => {}
        }
    }

    fn insert_newest(
        &mut self,
        version: u64,
        age: Duration,
        now: Duration,
        source: AgeSource,
    ) -> bool {
        if self.newest().is_some_and(|newest| version <= newest) {
            return false;
        }
        self.versions.push(Version {
            number: version,
            age_when_recorded: age,
            recorded_at: now,
            source,
        });
        if self.versions.len() > MAX_VERSIONS {
            self.versions.remove(0);
        }
        true
    }

    /// The newest version.
    pub fn newest(&self) -> Option<u64> {
        self.versions.last().map(|v| v.number)
    }

    /// Whether `version` is one of those kept.
    pub fn contains(&self, version: u64) -> bool {
        self.versions.iter().any(|v| v.number == version)
    }

    /// How long ago at `now` `version` was first replaced by a newer one.
    pub fn replaced(&self, version: u64, now: Duration) -> Option<Duration> {
        self.versions.iter().find(|v| v.number > version).map(|v| v.age(now))
    }

    /// The versions whose announcement a running host observed, with their ages at
    /// `now`, up to `max_age`.
    pub fn ages(&self, now: Duration, max_age: Duration) -> Vec<(u64, Duration)> {
        let known = self.versions.iter().filter(|v| v.source == AgeSource::Observed);
        known.map(|v| (v.number, v.age(now))).filter(|(_, age)| *age <= max_age).collect()
    }
}

/// The version that an engine is assumed to serve after it refused a request for
/// version `asked`, where `reported` is the version in its report and `newest` the
/// newest one announced. A report of the version that it has just refused is out
/// of date: most likely the engine has since changed to the newest.
///
/// ```
/// use marjoram_core::rollout::after_refusal;
/// assert_eq!(after_refusal(2, Some(3), Some(4)), 3);
/// assert_eq!(after_refusal(2, Some(2), Some(4)), 4);
/// assert_eq!(after_refusal(2, None, None), 2);
/// ```
pub fn after_refusal(asked: u64, reported: Option<u64>, newest: Option<u64>) -> u64 {
    reported.filter(|reported| *reported != asked).or(newest).unwrap_or(asked)
}

/// The state of one engine in a rollout.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Its incarnation.
    pub life: Instance,
    /// The version it serves.
    pub version: u64,
    /// The version that it has been ordered to load, while the outcome is not known.
    pub changing: Option<u64>,
    /// Time before which it is sent no order, since one failed.
    pub pause: Option<Duration>,
    /// Number of requests that it has to finish first.
    pub work: u64,
}

/// The engines to be ordered to load `version` at `now`, in that order.
///
/// ```
/// use std::time::Duration;
/// use marjoram_core::rollout::{Engine, next};
/// let engine = |id: &str, version, work| Engine {
///     life: id.parse().unwrap(),
///     version,
///     changing: None,
///     pause: None,
///     work,
/// };
/// let engines = [engine("a", 1, 9), engine("b", 1, 0), engine("c", 1, 3), engine("d", 2, 0)];
/// let ids: Vec<String> =
///     next(&engines, 2, Duration::ZERO).into_iter().map(|life| life.to_string()).collect();
/// assert_eq!(ids, ["b", "c", "a"]);
/// ```
pub fn next(engines: &[Engine], version: u64, now: Duration) -> Vec<Instance> {
    let changing = || engines.iter().filter(|e| e.changing.is_some());
    let loading = changing().filter(|e| e.work == 0).count();
    let loading_slots = (engines.len() / LOADING_SHARE).max(MIN_LOADING).saturating_sub(loading);
    let closed_slots =
        (engines.len() / CLOSED_SHARE).max(MIN_LOADING).saturating_sub(changing().count());
    let mut due: Vec<&Engine> = engines
        .iter()
        .filter(|e| e.version < version && e.changing.is_none())
        .filter(|e| e.pause.is_none_or(|until| now >= until))
        .collect();
    due.sort_by(|a, b| (a.version, a.work, &a.life).cmp(&(b.version, b.work, &b.life)));
    due.into_iter().take(loading_slots.min(closed_slots)).map(|e| e.life.clone()).collect()
}
