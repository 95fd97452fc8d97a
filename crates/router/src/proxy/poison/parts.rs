//! Detects prompt parts that crash engines (see [`marjoram_core::poison::PartSuspects`]):
//! reports those in flight at a crash, and asks all hosts for completed answers that speak
//! for a part before it is refused.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use marjoram_core::exchange::PartId;
use marjoram_core::poison::{
    self, BrokenRequest, CrashReport, DetectedParts, Notice, PartCrashReport, QUERIED_PART_HOLD,
    Quarantined, REPORTED_PART_HOLD, part_set, part_sets,
};

use super::{SENDS, all_detect, quarantine};
use crate::proxy::hosts::Message;
use crate::proxy::site::Site;

/// Parts in one query.
const MAX_QUERIED: usize = 64;

/// Reports the parts of the `broken` prompts, which were in flight when the upstream with
/// the key `upstream` crashed, to the `detectors`. Returns the reports.
pub(super) fn report(
    site: &Rc<Site>,
    upstream: u64,
    broken: &[BrokenRequest],
    noticed: Notice,
    detectors: Vec<SocketAddr>,
) -> Vec<PartCrashReport> {
    let reports = {
        let completions = site.poison.completed_parts.borrow();
        poison::part_crash_reports(broken, upstream, noticed, &completions, site.now())
    };
    if reports.is_empty() {
        return reports;
    }
    let message = Message::PartCrashes(reports.clone());
    site.peers.send_chunked(detectors, SENDS, move || message.clone());
    hold(site, reports.iter().map(|report| report.part), REPORTED_PART_HOLD);
    reports
}

/// Holds `parts` back for `span` where not all hosts detect; where they do, each decides by
/// its own suspects.
fn hold(site: &Site, parts: impl Iterator<Item = PartId>, span: Duration) {
    if !all_detect(site) {
        site.poison.hold_parts(parts, span, site.now());
    }
}

/// Adds crash reports on parts, of this host or another, at a detecting host. Returns
/// whether the detection has to consider them.
pub(super) fn add_reports(site: &Site, reports: &[PartCrashReport]) -> bool {
    let (now, wall) = (site.now(), site.unix_time());
    for report in reports {
        // Times are wall-clock times, and the clock of another host may be ahead.
        let report = PartCrashReport { at: report.at.min(wall), ..report.clone() };
        let (refused, recurrence) = {
            let quarantine = site.poison.quarantine.borrow();
            let single = as_request(&report);
            (quarantine.refuses(single.request, wall), quarantine.recurrence(&single, wall))
        };
        let mut suspected = site.poison.suspected_parts.borrow_mut();
        match (refused, recurrence) {
            (Some(_), _) => suspected.explain(part_set(&[report.part]), &[report.upstream]),
            (None, Some(entry)) => {
                drop(suspected);
                quarantine::publish(site, vec![entry]);
            }
            (None, None) => {
                suspected.add(&report, now);
                let completed = site.poison.completed_parts.borrow();
                if let Some(age) = completed.age(part_set(&[report.part]), now) {
                    suspected.record_completion(report.part, wall.saturating_sub(age));
                }
            }
        }
    }
    query_unanswered(site);
    site.poison.suspected_parts.borrow().has_unevaluated()
}

/// The report on a part as one on a request, by which the quarantine keeps it.
fn as_request(report: &PartCrashReport) -> CrashReport {
    CrashReport {
        request: part_set(&[report.part]),
        upstream: report.upstream,
        service: Default::default(),
        attempt: 0,
        ran: None,
        sent: Duration::ZERO,
        well: report.well,
        at: report.at,
    }
}

/// Asks all hosts for completed answers to prompts with the parts that may be detected.
fn query_unanswered(site: &Site) {
    let mut parts = site.poison.suspected_parts.borrow().unanswered();
    if parts.is_empty() {
        return;
    }
    parts.truncate(MAX_QUERIED);
    site.peers.send_to_all(1, move || Message::PartQuery(parts.clone()));
}

/// Answers a query of the host at `from`, and holds back the parts that it suspects.
pub fn handle_part_query(site: &Site, parts: &[PartId], from: SocketAddr) {
    hold(site, parts.iter().copied(), QUERIED_PART_HOLD);
    let age = |part: &PartId| {
        let age = site.poison.part_completion_age(*part, site.now())?;
        Some((*part, age.as_millis() as u32))
    };
    let known: Vec<(PartId, u32)> = parts.iter().filter_map(age).collect();
    if !known.is_empty() {
        site.peers.send_to(from, &Message::PartCompletions(known));
    }
}

/// Applies the answer of another host to a query.
pub fn handle_part_completions(site: &Site, completions: &[(PartId, u32)]) {
    let wall = site.unix_time();
    let mut suspected = site.poison.suspected_parts.borrow_mut();
    for (part, age_ms) in completions {
        let age = Duration::from_millis(u64::from(*age_ms));
        suspected.record_completion(*part, wall.saturating_sub(age));
    }
}

/// The quarantine entries of the parts that are detected now. `wall` is the time since the
/// Unix epoch.
pub(super) fn detect(site: &Site, now: Duration, wall: Duration) -> Vec<Quarantined> {
    let any_completed = site.poison.prompt_completed.get();
    let detected = site.poison.suspected_parts.borrow_mut().detect(now, any_completed);
    detected.iter().inspect(|found| log(site, found)).map(|found| found.entry(wall)).collect()
}

fn log(site: &Site, found: &DetectedParts) {
    site.counters.count("poison.parts_detected");
    let parts: Vec<String> = found.parts.iter().map(PartId::to_string).collect();
    tracing::warn!(target: "poison", parts = parts.join(","), entry = %found.fingerprint(),
        upstreams = ?found.upstreams, weak = found.weak, "prompt parts crash upstreams");
}

/// Records that an answer to a prompt with the shared `parts` was completed, which had
/// `begun` this long ago. It speaks for the parts, also for those in quarantine.
pub fn record_prompt_completion(site: &Site, parts: &[PartId], begun: Duration) {
    let wall = site.unix_time();
    site.poison.record_parts_completion(parts, site.now(), wall);
    let released: Vec<Quarantined> = {
        let quarantine = site.poison.quarantine.borrow();
        if quarantine.is_empty() {
            return;
        }
        let begun = wall.saturating_sub(begun);
        let sets = part_sets(parts);
        sets.iter().filter_map(|set| quarantine.release(*set, begun, wall)).collect()
    };
    for entry in &released {
        site.counters.count("poison.released");
        tracing::warn!(target: "poison", entry = %entry.request,
            "prompt parts released from quarantine: an answer to them was completed");
    }
    quarantine::publish(site, released);
}
