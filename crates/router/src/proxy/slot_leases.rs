//! Asks for slots of brittle upstreams, and grants them to other hosts where this host
//! coordinates a service. The rules are in [`marjoram_core::slot_leases`].

use std::rc::Rc;
use std::time::Duration;

use marjoram_core::brittle::{DEFAULT_WORK, MaxRejections};
use marjoram_core::health::STALL_TIMEOUT;
use marjoram_core::quota::ledger::Sender;
use marjoram_core::slot_leases::coordinator::{Coordinator, UpstreamSlots};
use marjoram_core::slot_leases::{SlotGrant, SlotReport, SlotUse, UpstreamKey, may_probe};
use marjoram_core::upstream::Instance;
use xxhash_rust::xxh3::xxh3_64;

use super::brittle::in_force;
use super::fleet::{Flight, Upstream};
use super::hosts::Message;
use super::quota::sender;
use super::site::{ServiceSlots, Site};

/// Time between two updates of the accounts that this host keeps.
const TICK: Duration = Duration::from_millis(20);

/// Longest time between two looks at what this host needs.
const MAX_PAUSE: Duration = Duration::from_millis(50);

/// How long an account is kept to which no host reports any more.
const UNUSED_SPAN: Duration = Duration::from_secs(30);

/// Hosts among which the coordinator of a service is looked for.
const CANDIDATES: usize = 5;

/// Unusable upstreams named in one report.
const MAX_UNUSABLE: usize = 256;

/// Asks for slots and grants them until the process ends.
pub async fn run(site: Rc<Site>) {
    let mut next_tick = Duration::ZERO;
    loop {
        let services = brittle_services(&site);
        let is_needed = !services.is_empty() || !site.slots.coordinators.borrow().is_empty();
        site.fleet.demand.set_followed(is_needed);
        if !is_needed {
            site.fleet.demand.changed().await;
            continue;
        }
        let mut next = site.now() + MAX_PAUSE;
        for (service, max) in services {
            next = next.min(report(&site, service, max));
        }
        if site.now() >= next_tick {
            next_tick = site.now() + TICK;
            advance(&site);
        }
        if !site.slots.coordinators.borrow().is_empty() {
            next = next.min(next_tick);
        }
        // Ends without a notification when the next step is due.
        let _ = tokio::time::timeout_at(site.at(next), site.fleet.demand.changed()).await;
    }
}

/// The brittle services, by the hashes of their names.
fn brittle_services(site: &Site) -> Vec<(u64, MaxRejections)> {
    let now = site.now();
    let statements = site.brittle.borrow();
    statements.iter().filter_map(|(key, s)| Some((*key, s.in_force(now)?))).collect()
}

/// Whether requests for `service` are sent only to slots that this host holds.
pub fn is_enforced(site: &Site, service: &str) -> bool {
    enforced(site, service).is_some()
}

/// The slots of `service` if requests are sent only to those that this host holds: not in the
/// first part of the time in which upstreams let as many requests wait as before. The coordinator
/// learns what runs there in the meantime.
fn enforced(site: &Site, service: &str) -> Option<Rc<ServiceSlots>> {
    let key = xxh3_64(service.as_bytes());
    in_force(site, key)?;
    let slots = site.slots.service(key);
    let transition = site.settings.load().bounds.stable_window / 2;
    let is_over = slots.last_sound.get().is_none_or(|sent| site.now() >= sent + transition);
    is_over.then_some(slots)
}

/// Upstreams of `service` that may not get a request of this host now, since it is
/// brittle and this host holds no free slot of theirs.
pub fn withheld(site: &Site, service: &str) -> Vec<Instance> {
    let Some(slots) = enforced(site, service) else { return Vec::new() };
    let (holder, now) = (slots.holder.borrow(), site.now());
    let upstreams = site.fleet.service(service).into_iter();
    let withheld = upstreams.filter(|u| !holder.is_allowed(u.key, u.occupied(), now));
    withheld.map(|upstream| upstream.life.clone()).collect()
}

/// Occupies a slot of `upstream` until the result is dropped; waits for one no longer than `limit`
/// if the upstream is brittle.
pub async fn occupy(site: &Site, upstream: &Rc<Upstream>, limit: Duration) -> Option<Flight> {
    let end = site.now() + limit;
    let service = upstream.entry.borrow().service.clone();
    while withheld(site, &service).contains(&upstream.life) {
        if site.now() >= end {
            return None;
        }
        tokio::time::sleep(TICK).await;
    }
    Some(Flight::new(upstream.clone(), 0, 0, site.now()))
}

/// Whether requests for `service` wait until it is known if it is brittle, because all hosts have
/// started together and others probe it.
pub fn awaits_probe(site: &Site, service: &str) -> bool {
    if !site.startup_query.is_probing(site.now()) {
        return false;
    }
    let key = xxh3_64(service.as_bytes());
    if site.startup_query.knows(key) {
        return false;
    }
    let upstreams = site.fleet.service(service);
    let own = upstreams.iter().map(|u| u.occupied()).sum();
    let slots = upstreams.iter().map(|u| u.entry.borrow().slots).sum();
    !may_probe(site.peers.rank(key), own, slots)
}

/// Records that `upstream` of `service`, the hash of a name, has rejected a request.
pub fn record_rejection(site: &Site, service: u64, upstream: &Upstream) {
    let slots = site.slots.service(service);
    slots.holder.borrow_mut().record_rejection(upstream.key, site.now());
    site.fleet.demand.note_change();
}

/// Sends the report to the coordinator of `service` if it is due. Returns when the next one is.
fn report(site: &Rc<Site>, service: u64, max: MaxRejections) -> Duration {
    let now = site.now();
    let Some(name) = site.fleet.service_name(service) else { return now + MAX_PAUSE };
    let slots = site.slots.service(service);
    let mut holder = slots.holder.borrow_mut();
    let coordinator = holder.coordinator(|| candidates(site, service), now);
    let Some(coordinator) = coordinator else { return now + MAX_PAUSE };
    let upstreams = site.fleet.service(&name);
    let occupied: Vec<(UpstreamKey, u32)> =
        upstreams.iter().map(|u| (u.key, u.occupied())).collect();
    let own: u32 = occupied.iter().map(|(_, count)| count).sum();
    let wanted = holder.wanted(own as usize + slots.waiting.get(), now);
    let due = holder.next_report(wanted, now);
    if now < due {
        return due;
    }
    let work = upstreams.iter().filter_map(|u| u.health.borrow().latency()).max_by(f64::total_cmp);
    let uses = occupied.iter().map(|(upstream, running)| SlotUse {
        upstream: *upstream,
        running: *running as u16,
        rejected: holder.rejected(*upstream),
    });
    let unusable = upstreams.iter().filter(|u| !is_usable(u, now));
    let report = SlotReport {
        service,
        max,
        sent_us: now.as_micros() as u64,
        applied: holder.applied(),
        wanted: u16::try_from(wanted).unwrap_or(u16::MAX),
        hosts: site.peers.count() as u16,
        work_ms: work.map_or(DEFAULT_WORK.as_millis() as u32, |ms| ms as u32),
        uses: uses.filter(|u| u.running > 0 || u.rejected > 0).collect(),
        unusable: unusable.map(|u| u.key).take(MAX_UNUSABLE).collect(),
    };
    holder.record_report(wanted, now);
    let due = holder.next_report(wanted, now);
    drop(holder);
    if coordinator == sender(site).host {
        handle_report(site, sender(site), &report);
    } else if let Some(addr) = site.peers.addr(coordinator) {
        site.peers.send_to(addr, &Message::SlotReport(sender(site), report));
    }
    due
}

/// The hosts that may coordinate `service`, in order of preference: this one if there are no
/// others.
fn candidates(site: &Site, service: u64) -> Vec<u64> {
    let own = site.is_ready().then(|| site.settings.load().capacity.control_capacity());
    let hosts = site.peers.named_by_capacity(service, CANDIDATES, own);
    match hosts.is_empty() {
        true => vec![sender(site).host],
        false => hosts.into_iter().map(|(name, _)| name).collect(),
    }
}

/// Whether this host can send requests to `upstream` now.
fn is_usable(upstream: &Upstream, now: Duration) -> bool {
    let health = upstream.health.borrow();
    is_open(upstream, now)
        && upstream.backoff_left(now).is_none()
        && !health.is_paused(now)
        && health.stalled_for(now) < STALL_TIMEOUT
}

/// Whether requests may be sent to `upstream` as far as this host knows.
fn is_open(upstream: &Upstream, now: Duration) -> bool {
    !upstream.is_leaving()
        && !upstream.is_closed(now)
        && !upstream.health.borrow().is_down()
        && !upstream.is_reported_unreachable(now)
}

/// Handles a report to this host as the coordinator of a service.
pub fn handle_report(site: &Rc<Site>, from: Sender, report: &SlotReport) {
    let Some(name) = site.fleet.service_name(report.service) else { return };
    let now = site.now();
    let grants = {
        let mut coordinators = site.slots.coordinators.borrow_mut();
        let is_new = !coordinators.contains_key(&report.service);
        let coordinator = coordinators.entry(report.service).or_insert_with(|| {
            tracing::info!(target: "brittle", service = name, max = %report.max,
                "coordinates the slots of brittle upstreams");
            Coordinator::new(report.service, rand::random(), report.max, now)
        });
        let grants = coordinator.report(from, report, now);
        if is_new {
            coordinator.set_upstreams(&upstream_slots(site, &name), now);
            site.fleet.demand.wake();
        }
        grants
    };
    send_grants(site, grants);
}

/// The slots of `service` as this host knows them.
fn upstream_slots(site: &Site, service: &str) -> Vec<UpstreamSlots> {
    let now = site.now();
    let slots = |u: &Rc<Upstream>| UpstreamSlots {
        upstream: u.key,
        slots: u.entry.borrow().slots.max(1),
        is_open: is_open(u, now),
    };
    site.fleet.service(service).iter().map(slots).collect()
}

/// Brings the accounts that this host keeps up to date.
fn advance(site: &Rc<Site>) {
    let now = site.now();
    let mut grants = Vec::new();
    site.slots.coordinators.borrow_mut().retain(|service, coordinator| {
        if let Some(name) = site.fleet.service_name(*service) {
            coordinator.set_upstreams(&upstream_slots(site, &name), now);
        }
        grants.extend(coordinator.advance(now));
        now < coordinator.last_report() + UNUSED_SPAN
    });
    send_grants(site, grants);
}

/// Sends `grants` to the hosts with these hashed names. A host that stops lets others take over.
fn send_grants(site: &Rc<Site>, grants: Vec<(u64, SlotGrant)>) {
    let own = sender(site).host;
    for (host, mut grant) in grants {
        grant.has_quorum &= site.stopping.get().is_none();
        if host == own {
            apply_grant(site, own, grant);
        } else if let Some(addr) = site.peers.addr(host) {
            site.peers.send_to(addr, &Message::SlotGrant(own, grant));
        }
    }
}

/// Applies a grant of the host `coordinator`.
pub fn apply_grant(site: &Site, coordinator: u64, grant: SlotGrant) {
    let slots = site.slots.service(grant.service);
    slots.holder.borrow_mut().apply(coordinator, grant, site.now());
    site.slots.granted.notify_waiters();
    site.fleet.demand.note_change();
}
