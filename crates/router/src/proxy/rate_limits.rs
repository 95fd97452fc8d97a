//! Keeps all hosts together within the rate limits that upstreams state.
//!
//! A limit is a quota of requests for the upstream, with coordinators like those of
//! the workspaces' quotas (see [`super::quota`]). Reports to coordinators and their
//! answers carry the last statement of the limit that each host knows, so a host
//! that uses an upstream learns of a change also from others.

mod startup;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use marjoram_core::conditions::WINDOW;
use marjoram_core::quota::gate::{Admission, Mode};
use marjoram_core::quota::ledger::{Sender, Usage};
use marjoram_core::quota::{Limit, REPORT_INTERVAL, RESERVATION_TIME};
use xxhash_rust::xxh3::xxh3_64_with_seed;

pub use startup::{learn, wait_until_learned};

use super::conditions;
use super::fleet::Upstream;
use super::hosts::{LimitAnswer, LimitReport, Message};
use super::quota::{FIRST_PAUSE, MAX_BATCH, coordinators, sender};
use super::site::Site;

/// Pairs of hosts that coordinate limits, each those of a part of the upstreams.
const GROUPS: u64 = 4;

/// Groups of limits are numbered from here on, so that other hosts coordinate them
/// than the quotas of workspaces.
const FIRST_GROUP: u64 = 1 << 32;

/// How long the limit of an upstream that is not listed counts, and what was sent to it
/// is kept: it may be listed again, or be listed by other hosts only.
const UNLISTED_SPAN: Duration = Duration::from_secs(10);

/// How long a host reports that a limit was withdrawn.
const WITHDRAWN_SPAN: Duration = Duration::from_secs(5);

/// Asks whether this host may send `upstream` the request with the attempt id `id`
/// now, and counts it if so. Always the case where the upstream states no limit.
pub fn admit(site: &Site, upstream: &Upstream, id: &str) -> Admission {
    let Some(limit) = upstream.conditions.borrow().limit() else { return Admission::Admitted };
    let draw = match id {
        "" => rand::random(),
        id => xxh3_64_with_seed(id.as_bytes(), upstream.key) as f64 / u64::MAX as f64,
    };
    let (hosts, now) = (site.peers.count(), site.now());
    let admission = {
        let mut gate = site.rate_limits.gate.borrow_mut();
        if gate.is_unknown(upstream.key) {
            site.rate_limits.first.notify_one();
        }
        gate.admit(upstream.key, 1, draw, &limit.quota(), hosts, now)
    };
    if let Admission::Refused(retry) = admission {
        site.counters.count("upstream.limit_denied");
        tracing::debug!(target: "conditions", id, upstream = %upstream.life,
            limit = limit.per_second(), retry_ms = retry.as_millis() as u64,
            "not sent: rate limit of upstream");
    }
    admission
}

/// Takes back what [`admit`] counted for a request that was not sent.
pub fn refund(site: &Site, upstream: &Upstream) {
    site.rate_limits.gate.borrow_mut().refund(upstream.key, 1, site.now());
}

/// Reports what this host sent to upstreams with limits, and updates the accounts
/// that it keeps, until the process ends. A new limit is reported at once.
pub async fn run(site: Rc<Site>) {
    loop {
        let next = site.at(site.now() + REPORT_INTERVAL);
        let first = tokio::time::timeout_at(next, site.rate_limits.first.notified()).await.is_ok();
        let limits = limits(&site);
        advance(&site, &limits);
        report(&site, &limits);
        if first {
            tokio::time::sleep(FIRST_PAUSE).await;
        }
    }
}

/// The limits in force, by the keys of their upstreams.
fn limits(site: &Site) -> HashMap<u64, Limit> {
    let limits = site.fleet.rate_limits(UNLISTED_SPAN, site.now());
    limits.into_iter().map(|(key, limit)| (key, limit.quota())).collect()
}

/// Brings the accounts that this host keeps as a coordinator up to date.
fn advance(site: &Site, limits: &HashMap<u64, Limit>) {
    let hosts = site.peers.quota_hosts(RESERVATION_TIME);
    let (heard, silent) = (hosts.reachable, hosts.unreachable.len());
    for (key, status) in site.rate_limits.advance(limits, hosts, site.now()) {
        let upstream = site.fleet.by_key(key).map(|u| u.life.to_string());
        let rate = limits.get(&key).map(|limit| limit.quota.rate);
        tracing::info!(target: "conditions", upstream, key, rate,
            limited = status.admission_ratio < 1.0, pass = status.admission_ratio,
            level = status.level, demand = status.demand, reserved = status.reserved,
            reporting = status.reporting, heard, silent, "rate limiting of upstream started or ended");
    }
}

/// Sends the limits that this host knows, and what it sent under them, to the
/// coordinators, or applies them here where this host is one.
fn report(site: &Rc<Site>, limits: &HashMap<u64, Limit>) {
    let now = site.now();
    for (key, totals) in site.rate_limits.remove_unlimited(limits) {
        tracing::info!(target: "conditions", key, sent = totals.admitted, denied = totals.refused,
            listed = site.fleet.by_key(key).is_some(), "sends to upstream are no longer counted");
    }
    let usages = site.rate_limits.usages(WINDOW, now);
    let usages: HashMap<u64, Usage> = usages.into_iter().map(|u| (u.workspace, u)).collect();
    let mut groups: HashMap<u64, Vec<LimitReport>> = HashMap::new();
    for upstream in site.fleet.all() {
        let stated = upstream.conditions.borrow().reported_limit(WITHDRAWN_SPAN, now);
        let usage = usages.get(&upstream.key).copied();
        if let Some(stated) = stated.filter(|s| usage.is_some() || s.limit.is_none()) {
            let report = LimitReport { upstream: upstream.key, stated, usage };
            groups.entry(FIRST_GROUP + upstream.key % GROUPS).or_default().push(report);
        }
    }
    for (group, reports) in groups {
        for coordinator in coordinators(site, group) {
            for chunk in reports.chunks(MAX_BATCH) {
                match coordinator {
                    Some(addr) => {
                        let message = Message::LimitReports(sender(site), chunk.to_vec());
                        site.peers.send_to(addr, &message);
                    }
                    None => {
                        let answers = answer(site, sender(site), chunk);
                        apply_answers(site, sender(site).host, &answers);
                    }
                }
            }
        }
    }
}

/// Applies the reports of the host at `from`, and answers with what it may send, or to an
/// empty list with the limits in force.
pub fn handle_reports(site: &Site, sender: Sender, reports: &[LimitReport], from: SocketAddr) {
    if reports.is_empty() {
        return startup::answer_query(site, from);
    }
    let answers = answer(site, sender, reports);
    if !answers.is_empty() {
        let own = super::quota::sender(site).host;
        site.peers.send_to(from, &Message::LimitAnswers(own, answers));
    }
}

/// Applies reports of `sender` to the accounts kept here; returns the answers. An
/// account is also kept of an upstream that this host does not list.
fn answer(site: &Site, sender: Sender, reports: &[LimitReport]) -> Vec<LimitAnswer> {
    for report in reports {
        conditions::record_reported(site, report.upstream, report.stated, sender.host);
    }
    let is_limited = |key: u64| site.fleet.conditions(key).borrow().limit().is_some();
    let limited = reports.iter().filter(|report| is_limited(report.upstream));
    let usages: Vec<Usage> = limited.filter_map(|report| report.usage).collect();
    let allocations = site.rate_limits.apply_usages(sender, &usages, || limits(site), site.now());
    let answer = |report: &LimitReport| {
        let conditions = site.fleet.conditions(report.upstream);
        let stated = conditions.borrow().reported_limit(WITHDRAWN_SPAN, site.now())?;
        let allocation = allocations.iter().find(|a| a.workspace == report.upstream).copied();
        Some(LimitAnswer { upstream: report.upstream, stated, allocation })
    };
    reports.iter().filter_map(answer).collect()
}

/// Applies the answers of the host at `from`.
pub fn handle_answers(site: &Site, coordinator: u64, answers: &[LimitAnswer], from: SocketAddr) {
    apply_answers(site, coordinator, answers);
    startup::record_answer(site, from);
}

/// Applies the answers of `coordinator`, a hash of that host's name.
fn apply_answers(site: &Site, coordinator: u64, answers: &[LimitAnswer]) {
    for answer in answers {
        conditions::record_reported(site, answer.upstream, answer.stated, coordinator);
    }
    let allocations: Vec<_> = answers.iter().filter_map(|answer| answer.allocation).collect();
    site.rate_limits.apply_allocations(coordinator, &allocations, site.now());
}

/// The rate limit of `upstream` and how this host keeps to it, for the state dump.
pub fn state(site: &Site, upstream: &Upstream) -> serde_json::Value {
    let Some(limit) = upstream.conditions.borrow().limit() else { return serde_json::Value::Null };
    let gate = site.rate_limits.gate.borrow();
    let (ratio, share) = match gate.mode(upstream.key, site.peers.count(), site.now()) {
        Some(Mode::ByRatio(ratio)) => (Some(ratio), None),
        Some(Mode::ByShare(share)) => (None, Some(share)),
        None => (None, None),
    };
    let totals = gate.totals(upstream.key);
    serde_json::json!({ "rate": limit.per_second(), "pass": ratio, "alone": share,
        "sent": totals.map(|t| t.admitted), "denied": totals.map(|t| t.refused) })
}

/// Number of upstreams with a rate limit in force.
pub fn limited(site: &Site) -> u64 {
    site.fleet.all().iter().filter(|u| u.conditions.borrow().limit().is_some()).count() as u64
}
