//! Limits what this host sends to brittle upstreams, and exchanges with other hosts
//! which services are brittle and how often they reject requests.

use std::rc::Rc;
use std::time::Duration;

use marjoram_core::brittle::{
    self, DEFAULT_WORK, Load, MaxRejections, ReportedStatement, Statement,
};
use marjoram_core::conditions::Stated;
use marjoram_core::upstream::Instance;
use xxhash_rust::xxh3::xxh3_64;

use super::fleet::Upstream;
use super::site::Site;

/// Records what an answer of `upstream` states, to a request sent at `sent`.
pub fn record_answer(
    site: &Site,
    upstream: &Upstream,
    stated: Stated<MaxRejections>,
    sent: Duration,
) {
    let entry = upstream.entry.borrow();
    match stated {
        Stated::Value(max) => state(site, &entry.service, max, site.now(), "answer"),
        Stated::Nothing => {
            if let Some(statement) = site.brittle.borrow_mut().get_mut(&entry.service) {
                statement.withdraw(sent);
            }
        }
        Stated::Invalid => {}
    }
}

/// Records that the upstreams of `service` stated at `at` that they are brittle.
fn state(site: &Site, service: &str, max: MaxRejections, at: Duration, source: &'static str) {
    let former = site.brittle(service);
    site.brittle.borrow_mut().entry(service.to_string()).or_default().state(max, at);
    if former != Some(max) && site.brittle(service) == Some(max) {
        site.counters.count("service.brittle");
        tracing::info!(target: "brittle", service, %max, source,
            "upstreams of a service are brittle");
    }
}

/// Records which services are brittle according to another host.
pub fn apply_reported(site: &Site, reported: &[ReportedStatement]) {
    for statement in reported {
        if let Some(service) = site.fleet.service_name(statement.service) {
            let age = Duration::from_millis(u64::from(statement.age_ms));
            let at = site.now().saturating_sub(age);
            state(site, &service, statement.max, at, "host");
        }
    }
}

/// The services that are brittle, for other hosts.
pub fn reported_statements(site: &Site) -> Vec<ReportedStatement> {
    let now = site.now();
    let report = |(service, statement): (&String, &Statement)| {
        Some(ReportedStatement {
            service: xxh3_64(service.as_bytes()),
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
    let counts = upstreams.iter().map(|u| (u.key, u.brittle_sends.borrow().rejections(now)));
    counts.filter(|(_, count)| *count > 0).collect()
}

/// The load of `upstream`, as far as this host knows; `hosts` is the number of hosts.
fn load(site: &Site, upstream: &Upstream, hosts: usize) -> Load {
    let latency = upstream.health.borrow().latency();
    let own = upstream.local_load.get().running;
    let (users, rank) = match brittle::divides_slots(hosts) {
        true => {
            (site.peers.users(upstream.key) + usize::from(own > 0), site.peers.rank(upstream.key))
        }
        false => (hosts, hosts),
    };
    Load {
        slots: upstream.entry.borrow().slots,
        running: upstream.load().running,
        own,
        hosts,
        users,
        rank,
        work: latency.map_or(DEFAULT_WORK, |ms| Duration::from_secs_f64(ms / 1e3)),
    }
}

/// Upstreams of `service` that may not get a request of this host now, since it is
/// brittle.
pub fn withheld(site: &Site, service: &str) -> Vec<Instance> {
    let Some(max) = site.brittle(service) else { return Vec::new() };
    let (now, hosts) = (site.now(), site.peers.present_count());
    let is_withheld = |upstream: &Rc<Upstream>| {
        let (load, others) = (load(site, upstream, hosts), site.peers.rejections(upstream.key));
        let mut sends = upstream.brittle_sends.borrow_mut();
        !sends.is_allowed(max, load, others, rand::random(), now)
    };
    let withheld = site.fleet.service(service).into_iter().filter(is_withheld);
    withheld.map(|upstream| upstream.life.clone()).collect()
}

/// Records a send to `upstream`.
pub fn record_send(site: &Site, upstream: &Upstream) {
    if site.brittle(&upstream.entry.borrow().service).is_some() {
        upstream.brittle_sends.borrow_mut().record_send(site.now());
    }
}

/// Records that `upstream` has rejected a request.
pub fn record_rejection(site: &Site, upstream: &Upstream) {
    let Some(max) = site.brittle(&upstream.entry.borrow().service) else { return };
    let (load, random) = (load(site, upstream, site.peers.present_count()), rand::random());
    let others = site.peers.rejections(upstream.key);
    tracing::info!(target: "brittle", upstream = %upstream.life, %max, others,
        hosts = load.hosts, known_hosts = site.peers.count(), running = load.running,
        own = load.own, slots = load.slots, work_ms = load.work.as_millis() as u64,
        uptime_ms = site.now().as_millis() as u64, "brittle upstream rejected a request");
    upstream.brittle_sends.borrow_mut().record_rejection(max, load, random, site.now());
    site.counters.count("upstream.brittle_rejections");
}

/// Whether `upstream` may have failed because of the requests that it rejected,
/// and not under one that it ran.
pub fn may_have_failed(site: &Site, upstream: &Upstream) -> bool {
    let is_brittle = site.brittle(&upstream.entry.borrow().service).is_some();
    let own = upstream.brittle_sends.borrow().rejections(site.now());
    is_brittle && own + site.peers.rejections(upstream.key) > 0
}
