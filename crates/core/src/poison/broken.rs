//! Requests whose connections an upstream closed, and the reports on them if it turns
//! out to have crashed.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use super::{CrashReport, CrashedService, PartCrashReport, RecentCompletions, part_set};
use crate::exchange::PartId;
use crate::fingerprint::Fingerprint;

/// How long an upstream to which no path is known is watched for a sign that it has
/// crashed: longer than a registry takes to remove a silent upstream.
pub const WATCH_TIME: Duration = Duration::from_secs(6);

/// Maximum number of parts that one host reports on one crash, and of requests named for
/// each. Parts that were in no completed answer come first.
const MAX_PARTS: usize = 64;
const MAX_REQUESTS: usize = 8;

/// A request whose connection an upstream closed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BrokenRequest {
    /// The request.
    pub request: Fingerprint,
    /// Hash or number of the attempt.
    pub attempt: u64,
    /// For how long its answer had been streamed, if that had begun.
    pub ran: Option<Duration>,
    /// When it was sent, on the clock of [`Notice::at`].
    pub sent_at: Duration,
    /// The parts of its prompt that other requests may share.
    pub parts: Vec<PartId>,
}

/// When a host noticed that an upstream closed connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Notice {
    /// On its own clock.
    pub at: Duration,
    /// Since the Unix epoch.
    pub wall: Duration,
}

/// The reports on `broken` requests of the crash of the incarnation `upstream` of `service`, which
/// was `noticed` some time before `now`. A request that has completed meanwhile is left
/// out: it is not the cause.
///
/// ```
/// use std::time::Duration;
/// use marjoram_core::fingerprint::Fingerprint;
/// use marjoram_core::poison::{BrokenRequest, CrashedService, Notice, RecentCompletions, crash_reports};
/// let seconds = Duration::from_secs;
/// let broken = [1, 2, 3]
///     .map(|n| BrokenRequest {
///         request: Fingerprint(n),
///         attempt: n,
///         ran: None,
///         sent_at: seconds(8),
///         parts: vec![],
///     });
/// let mut completions = RecentCompletions::new();
/// completions.record(Fingerprint(1), seconds(9));
/// completions.record(Fingerprint(2), seconds(11));
/// let noticed = Notice { at: seconds(10), wall: seconds(1_000) };
/// let reports = crash_reports(&broken, (7, CrashedService::default()), noticed, &completions, seconds(13));
/// assert_eq!(reports.iter().map(|r| r.request.0).collect::<Vec<_>>(), [1, 3]);
/// assert_eq!((reports[0].well, reports[0].at), (Some(seconds(1)), seconds(1_000)));
/// assert_eq!(reports[0].sent, seconds(2));
/// ```
pub fn crash_reports(
    broken: &[BrokenRequest],
    (upstream, service): (u64, CrashedService),
    noticed: Notice,
    completions: &RecentCompletions,
    now: Duration,
) -> Vec<CrashReport> {
    let watched = now.saturating_sub(noticed.at);
    let has_completed =
        |b: &BrokenRequest| completions.age(b.request, now).is_some_and(|age| age < watched);
    let report = |b: &BrokenRequest| CrashReport {
        request: b.request,
        upstream,
        service,
        attempt: b.attempt,
        ran: b.ran,
        sent: noticed.at.saturating_sub(b.sent_at),
        well: completions.age(b.request, noticed.at),
        at: noticed.wall,
    };
    broken.iter().filter(|b| !has_completed(b)).map(report).collect()
}

/// The reports on the prompt parts of `broken` requests, like [`crash_reports`].
/// `completions` holds when answers to prompts with each part were completed, by
/// [`part_set`].
pub fn part_crash_reports(
    broken: &[BrokenRequest],
    upstream: u64,
    noticed: Notice,
    completions: &RecentCompletions,
    now: Duration,
) -> Vec<PartCrashReport> {
    let mut by_part: BTreeMap<PartId, Vec<Fingerprint>> = BTreeMap::new();
    for request in broken {
        for part in &request.parts {
            by_part.entry(*part).or_default().push(request.request);
        }
    }
    let watched = now.saturating_sub(noticed.at);
    let has_completed =
        |part: PartId| completions.age(part_set(&[part]), now).is_some_and(|age| age < watched);
    let report = |(part, mut requests): (PartId, Vec<Fingerprint>)| {
        requests.truncate(MAX_REQUESTS);
        let well = completions.age(part_set(&[part]), noticed.at);
        PartCrashReport { part, upstream, requests, well, at: noticed.wall }
    };
    let left = by_part.into_iter().filter(|(part, _)| !has_completed(*part));
    let mut reports: Vec<PartCrashReport> = left.map(report).collect();
    reports.sort_by_key(|report| Reverse(report.well.unwrap_or(Duration::MAX)));
    reports.truncate(MAX_PARTS);
    reports
}
