//! In which order engines are brought to newly named weights.
//!
//! Load pattern: weights named every few seconds, under full load. An engine
//! finishes what it runs, loads for half a second, longer while many load,
//! and has lost its cache. Too few at a time and requests run on replaced
//! weights; too many and the rest drown. Only the newest version is ever
//! ordered: one that was replaced before an engine got to it is skipped.
//!
//! Limits: a fifth of the engines at a time, as the operators publish for
//! their sites, three at least. Engines on the oldest weights go first, since each
//! version is to be out of use within a bound of its own; among those the ones
//! with the least to finish, since an engine cannot load while it still runs
//! requests.

use std::time::Duration;

use crate::upstream::UpstreamId;

/// Engines that change at once, as a share of all.
const SHARE: usize = 5;
/// Fewest that may change at once: two load while one finishes its requests.
const FEWEST: usize = 3;

/// Versions remembered: more are never open at once.
const VERSIONS: usize = 32;

/// The weights named for one model, and when each version was.
///
/// ```
/// use std::time::Duration;
/// use marjoram_core::rollout::Named;
/// let mut named = Named::new();
/// named.name(2, Duration::from_secs(10));
/// named.name(4, Duration::from_secs(13));
/// assert_eq!(named.newest(), Some(4));
/// let now = Duration::from_secs(15);
/// // Version 1 was replaced five seconds ago, by 2; version 2 and 3 by 4.
/// assert_eq!(named.replaced(1, now), Some(Duration::from_secs(5)));
/// assert_eq!(named.replaced(2, now), Some(Duration::from_secs(2)));
/// assert_eq!(named.replaced(4, now), None);
/// ```
#[derive(Debug, Clone, Default)]
pub struct Named {
    /// Versions in rising order, and when each was named.
    versions: Vec<(u64, Duration)>,
}

impl Named {
    /// Nothing named.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in that `version` was named by `now`; whether that is news.
    pub fn name(&mut self, version: u64, now: Duration) -> bool {
        if self.newest().is_some_and(|newest| version <= newest) {
            return false;
        }
        self.versions.push((version, now));
        if self.versions.len() > VERSIONS {
            self.versions.remove(0);
        }
        true
    }

    /// The newest version.
    pub fn newest(&self) -> Option<u64> {
        self.versions.last().map(|(version, _)| *version)
    }

    /// How long ago at `now` `version` was first replaced by a newer one.
    pub fn replaced(&self, version: u64, now: Duration) -> Option<Duration> {
        let (_, since) = self.versions.iter().find(|(named, _)| *named > version)?;
        Some(now.saturating_sub(*since))
    }
}

/// One engine, as far as its weights are concerned.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Its life.
    pub id: UpstreamId,
    /// The version it serves.
    pub version: u64,
    /// The version it has been ordered to, with no outcome yet.
    pub changing: Option<u64>,
    /// Nothing is ordered of it before then: an order failed.
    pub pause: Option<Duration>,
    /// Work it has to finish first.
    pub work: u64,
}

/// The engines to be ordered to `version` at `now`, in that order.
///
/// ```
/// use std::time::Duration;
/// use marjoram_core::rollout::{Engine, next};
/// use marjoram_core::upstream::UpstreamId;
/// let engine = |id: &str, version, work| Engine {
///     id: UpstreamId(id.into()),
///     version,
///     changing: None,
///     pause: None,
///     work,
/// };
/// let engines = [engine("a", 1, 9), engine("b", 1, 0), engine("c", 1, 3), engine("d", 2, 0)];
/// let ids: Vec<String> =
///     next(&engines, 2, Duration::ZERO).into_iter().map(|id| id.to_string()).collect();
/// assert_eq!(ids, ["b", "c", "a"]);
/// ```
pub fn next(engines: &[Engine], version: u64, now: Duration) -> Vec<UpstreamId> {
    let limit = (engines.len() / SHARE).max(FEWEST);
    let changing = engines.iter().filter(|e| e.changing.is_some()).count();
    let mut due: Vec<&Engine> = engines
        .iter()
        .filter(|e| e.version < version && e.changing.is_none())
        .filter(|e| e.pause.is_none_or(|until| now >= until))
        .collect();
    due.sort_by(|a, b| (a.version, a.work, &a.id).cmp(&(b.version, b.work, &b.id)));
    due.into_iter().take(limit.saturating_sub(changing)).map(|e| e.id.clone()).collect()
}
