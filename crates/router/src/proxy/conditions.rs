//! Records the conditions that upstreams state in their answers, with a log line
//! and a counter for each change.

use std::rc::Rc;
use std::time::Duration;

use marjoram_core::conditions::{LimitChange, ReportedLimit};
use marjoram_core::exchange::ResponseMetadata;

use super::brittle;
use super::fleet::Upstream;
use super::site::Site;

/// Records what an answer of `upstream` states, to a request sent at `sent`. An
/// answer that names another upstream says nothing about this one.
pub fn record_answer(
    site: &Site,
    upstream: &Rc<Upstream>,
    answer: &ResponseMetadata,
    sent: Duration,
) {
    if answer.upstream.as_ref().is_some_and(|id| *id != upstream.life.id) {
        return;
    }
    let stated = &answer.conditions;
    if stated.has_invalid() {
        handle_invalid(site, upstream);
    }
    brittle::record_answer(site, upstream, stated.brittle, sent);
    let now = site.now();
    let age = now.saturating_sub(sent);
    let changes = upstream.conditions.borrow_mut().record(stated, sent, now);
    if let Some(change) = changes.limit {
        apply_limit(site, upstream.key, change, age, Source::Answer(answer));
    }
    if changes.leaving {
        site.counters.count("upstream.said_leaving");
        tracing::info!(target: "conditions", upstream = %upstream.life,
            listed_leaving = upstream.entry.borrow().leaving, age_ms = age.as_millis() as u64,
            source = "answer", "upstream is leaving, gets no more requests");
    }
    if let Some(backoff) = changes.backoff {
        site.counters.count("upstream.backoffs");
        tracing::info!(target: "conditions", upstream = %upstream.life,
            backoff_ms = backoff.as_millis() as u64, age_ms = age.as_millis() as u64,
            source = "answer", "backing off from upstream, as its answer asks");
    }
}

/// Records what the host `reporter`, a hash of its name, reports of the rate limit of
/// the upstream with the key `key`.
pub fn record_reported(site: &Site, key: u64, reported: ReportedLimit, reporter: u64) {
    let conditions = site.fleet.conditions(key);
    let change = conditions.borrow_mut().apply_reported(reported, site.now());
    if let Some(change) = change {
        let age = Duration::from_millis(u64::from(reported.age_ms));
        apply_limit(site, key, change, age, Source::Host(reporter));
    }
}

/// Counts an invalid statement of `upstream`, which is ignored, and logs the first.
fn handle_invalid(site: &Site, upstream: &Upstream) {
    site.counters.count("upstream.conditions_invalid");
    if !upstream.invalid_logged.replace(true) {
        tracing::warn!(target: "conditions", upstream = %upstream.life,
            "ignored an invalid statement of its conditions; further ones are only counted");
    }
}

/// Where a statement was received from.
enum Source<'a> {
    /// An answer of the upstream.
    Answer(&'a ResponseMetadata),
    /// Another host, by the hash of its name.
    Host(u64),
}

impl Source<'_> {
    fn name(&self) -> &'static str {
        match self {
            Self::Answer(_) => "answer",
            Self::Host(_) => "host",
        }
    }
}

/// Puts a changed rate limit of the upstream with the key `key` in force, stated by
/// `source` at most `age` ago.
fn apply_limit(site: &Site, key: u64, change: LimitChange, age: Duration, source: Source<'_>) {
    if change.limit.is_some() {
        site.rate_limits.gate.borrow_mut().check_first(key);
    }
    site.rate_limits.first.notify_one();
    site.counters.count("upstream.limit_changes");
    let (answer, reporter) = match source {
        Source::Answer(answer) => (Some(answer), None),
        Source::Host(reporter) => (None, Some(reporter)),
    };
    let upstream = site.fleet.by_key(key).map(|u| u.life.to_string());
    tracing::info!(target: "conditions", upstream, key,
        limit = change.limit.map(|l| l.per_second()),
        former = change.former.map(|l| l.per_second()),
        age_ms = age.as_millis() as u64, source = source.name(), reporter,
        id = answer.and_then(|a| a.attempt.as_deref()), not_run = answer.map(|a| a.not_run),
        "rate limit of upstream changed");
}
