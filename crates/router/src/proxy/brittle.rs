//! Which services are brittle, which hosts tell each other, and how often their upstreams
//! reject requests. What is sent to them is limited by [`super::slot_leases`].

use std::rc::Rc;
use std::time::Duration;

use marjoram_core::brittle::{MaxRejections, ReportedStatement};
use marjoram_core::conditions::Stated;
use xxhash_rust::xxh3::xxh3_64;

use super::fleet::Upstream;
use super::hosts::Message;
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
            withdraw(site, key, sent, "answer");
            if in_force(site, key).is_none() {
                let slots = site.slots.service(key);
                slots.last_sound.set(slots.last_sound.get().max(Some(sent)));
            }
        }
        Stated::Invalid => {}
    }
    let query = &site.startup_query;
    if query.is_probing(site.now()) && query.record_known(key) {
        let learned = ReportedStatement { service: key, max: in_force(site, key), age_ms: 0 };
        site.peers.broadcast(&Message::BrittleServices(vec![learned]));
        site.slots.granted.notify_waiters();
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

/// Records an answer without a statement to a request sent to `service` at `sent`.
fn withdraw(site: &Site, service: u64, sent: Duration, source: &'static str) {
    let former = in_force(site, service);
    if let Some(statement) = site.brittle.borrow_mut().get_mut(&service) {
        statement.withdraw(sent);
    }
    if former.is_some() && in_force(site, service).is_none() {
        site.slots.granted.notify_waiters();
        tracing::info!(target: "brittle", service = site.fleet.service_name(service), source,
            "upstreams of a service are no longer brittle");
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
        match statement.max {
            Some(max) => state(site, statement.service, max, at, "host"),
            None => withdraw(site, statement.service, at, "host"),
        }
        if site.startup_query.is_probing(site.now()) {
            site.startup_query.record_known(statement.service);
            site.slots.granted.notify_waiters();
        }
    }
}

/// The services that are brittle, or have lately been, for other hosts.
pub fn reported_statements(site: &Site) -> Vec<ReportedStatement> {
    let now = site.now();
    site.brittle.borrow().iter().filter_map(|(key, s)| s.reported(*key, now)).collect()
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
    let service = xxh3_64(upstream.entry.borrow().service.as_bytes());
    let is_brittle = in_force(site, service).is_some();
    let own = upstream.rejections.borrow().count(site.now());
    is_brittle && own + site.peers.rejections(upstream.key) > 0
}
