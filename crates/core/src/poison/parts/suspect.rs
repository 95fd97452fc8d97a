//! One suspected part: the crashes at which prompts with it were in flight.

use std::time::Duration;

use super::{PART_COMPLETION_WINDOW, PartCrashReport};
use crate::fingerprint::Fingerprint;
use crate::poison::suspect::MIN_CRASHES;
use crate::poison::table::Suspected;

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

/// How long a crash counts against a part: ten minutes.
const CRASH_WINDOW: Duration = Duration::from_secs(600);

/// Maximum number of crashes kept for one part, and of requests kept for one crash.
const MAX_CRASHES: usize = 8;
const MAX_REQUESTS: usize = 8;

/// One crash at which prompts with a part were in flight.
#[derive(Debug, Clone)]
pub(super) struct PartCrash {
    pub(super) upstream: u64,
    requests: Vec<Fingerprint>,
    /// Since the Unix epoch.
    noticed_at: Duration,
}

/// The crashes at which prompts with one part were in flight.
#[derive(Debug, Clone, Default)]
pub(super) struct PartSuspect {
    pub(super) crashes: Vec<PartCrash>,
    /// When an answer to a prompt with the part was last completed, since the Unix epoch.
    pub(super) completed_at: Option<Duration>,
    /// Whether a run of [`super::PartSuspects::detect`] has considered all crashes.
    pub(super) evaluated: bool,
    /// Number of crashes for which it was detected together with others.
    pub(super) tied: usize,
}

impl PartSuspect {
    /// Adds a crash.
    pub(super) fn add(&mut self, report: &PartCrashReport) {
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
    pub(super) fn drop_answered(&mut self) {
        let completed = self.completed_at;
        self.retain(|c| completed.is_none_or(|completed| completed <= c.noticed_at));
    }

    /// Removes the crashes for which `keep` is false.
    pub(super) fn retain(&mut self, keep: impl Fn(&PartCrash) -> bool) {
        self.crashes.retain(keep);
        self.tied = self.tied.min(self.crashes.len());
    }

    /// When the first and the last crash were noticed.
    pub(super) fn span(&self) -> (Duration, Duration) {
        let times = || self.crashes.iter().map(|c| c.noticed_at);
        (times().min().unwrap_or_default(), times().max().unwrap_or_default())
    }

    /// Whether it was in no completed answer shortly before the first crash.
    pub(super) fn is_unanswered(&self) -> bool {
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
    pub(super) fn meets_threshold(&self, any_completed: Option<Duration>) -> bool {
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

    /// The upstreams that crashed, in ascending order.
    pub(super) fn upstreams(&self) -> Vec<u64> {
        let mut upstreams: Vec<u64> = self.crashes.iter().map(|c| c.upstream).collect();
        upstreams.sort_unstable();
        upstreams
    }
}

impl Suspected for PartSuspect {
    fn crash_count(&self) -> usize {
        self.crashes.len()
    }
}
