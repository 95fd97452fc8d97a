//! Which services are brittle, which hosts tell each other, and how often their upstreams
//! reject requests. What is sent to them is limited by [`super::slot_leases`].

use std::rc::Rc;
use std::time::Duration;

use marjoram_core::brittle::{MaxRejections, ReportedStatement, Statement};
use marjoram_core::conditions::Stated;
use xxhash_rust::xxh3::xxh3_64;

use super::fleet::Upstream;
use super::site::Site;
use super::slot_leases;

/// Records what an answer of `upstream` states, to a request sent at `sent`.
pub fn record_answer(
    site: &Site,
    upstream: &Upstream,
    stated: Stated<MaxRejections>,
    sent: Duration,
) {
    let key = xxh3_64(upstream.entry.borrow().service.as_bytes());
    match stated {
        Stated::Value(max) => state(site, key, max, site.now(), "answer"),
        Stated::Nothing => {
            if let Some(statement) = site.brittle.borrow_mut().get_mut(&key) {
                statement.withdraw(sent);
            }
        }
        Stated::Invalid => {}
    }
}

/// Records that the upstreams of `service`, the hash of a name, stated at `at` that they are
/// brittle.
fn state(site: &Site, service: u64, max: MaxRejections, at: Duration, source: &'static str) {
    let former = in_force(site, service);
    site.brittle.borrow_mut().entry(service).or_default().state(max, at);
    if former != Some(max) && in_force(site, service) == Some(max) {
        site.counters.count("service.brittle");
        site.fleet.demand.wake();
        tracing::info!(target: "brittle", service = site.fleet.service_name(service), %max, source,
            "upstreams of a service are brittle");
    }
}

/// What the upstreams of `service`, the hash of a name, can bear, if they are brittle.
pub fn in_force(site: &Site, service: u64) -> Option<MaxRejections> {
    site.brittle.borrow().get(&service)?.in_force(site.now())
}

/// Records which services are brittle according to another host.
pub fn apply_reported(site: &Site, reported: &[ReportedStatement]) {
    for statement in reported {
        let age = Duration::from_millis(u64::from(statement.age_ms));
        let at = site.now().saturating_sub(age);
        state(site, statement.service, statement.max, at, "host");
    }
}

/// The services that are brittle, for other hosts.
pub fn reported_statements(site: &Site) -> Vec<ReportedStatement> {
    let now = site.now();
    let report = |(service, statement): (&u64, &Statement)| {
        Some(ReportedStatement {
            service: *service,
            max: statement.in_force(now)?,
            age_ms: u32::try_from(statement.age(now)?.as_millis()).unwrap_or(u32::MAX),
        })
    };
    site.brittle.borrow().iter().filter_map(report).collect()
}

/// How many requests of this host brittle upstreams recently rejected, for other
/// hosts.
pub fn rejections(site: &Site, upstreams: &[Rc<Upstream>]) -> Vec<(u64, u32)> {
    let now = site.now();
    let counts = upstreams.iter().map(|u| (u.key, u.rejections.borrow().count(now)));
    counts.filter(|(_, count)| *count > 0).collect()
}

/// Records that `upstream` has rejected a request.
pub fn record_rejection(site: &Site, upstream: &Upstream) {
    let service = xxh3_64(upstream.entry.borrow().service.as_bytes());
    let Some(max) = in_force(site, service) else { return };
    let now = site.now();
    tracing::info!(target: "brittle", upstream = %upstream.life, %max,
        others = site.peers.rejections(upstream.key), hosts = site.peers.present_count(),
        known_hosts = site.peers.count(), running = upstream.load().running,
        own = upstream.local_load.get().running, slots = upstream.entry.borrow().slots,
        uptime_ms = now.as_millis() as u64, "brittle upstream rejected a request");
    upstream.rejections.borrow_mut().record(now);
    slot_leases::record_rejection(site, service, upstream);
    site.counters.count("upstream.brittle_rejections");
}

/// Whether `upstream` may have failed because of the requests that it rejected,
/// and not under one that it ran.
pub fn may_have_failed(site: &Site, upstream: &Upstream) -> bool {
    let is_brittle = site.brittle(&upstream.entry.borrow().service).is_some();
    let own = upstream.rejections.borrow().count(site.now());
    is_brittle && own + site.peers.rejections(upstream.key) > 0
}
