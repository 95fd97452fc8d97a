//! Asks for slots of brittle engines, and grants them to other routers where this one
//! coordinates them. The rules are in [`marjoram_core::slot_leases`].

use std::sync::Arc;
use std::time::Duration;

use marjoram_core::brittle::MaxRejections;
use marjoram_core::place;
use marjoram_core::quota::ledger::Sender;
use marjoram_core::slot_leases::coordinator::{Coordinator, UpstreamSlots};
use marjoram_core::slot_leases::{HostKey, SlotGrant, SlotReport, SlotUse};
use xxhash_rust::xxh3::xxh3_64;

use crate::brittle;
use crate::error::Error;
use crate::node::{Engine, Node};
use crate::peer;
use crate::peer::wire::{Answer, Call};

/// The service that all engines are, in reports and grants.
const SERVICE: &str = "engines";

/// Time between two updates of the accounts that this router keeps.
const TICK: Duration = Duration::from_millis(20);

/// Longest time between two looks at what this router needs.
const MAX_PAUSE: Duration = Duration::from_millis(50);

/// How long accounts are kept to which no router reports any more.
const UNUSED_SPAN: Duration = Duration::from_secs(30);

/// Time-out of a report and of a grant; later ones have been sent by then.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// Asks for slots and grants them, forever.
pub async fn run(node: Arc<Node>) {
    let mut next_tick = Duration::ZERO;
    loop {
        let max = max_rejections(&node);
        let coordinates = node.engine_slots.coordinator().is_some();
        node.engine_slots.set_followed(max.is_some() || coordinates);
        if max.is_none() && !coordinates {
            node.engine_slots.changed().await;
            continue;
        }
        let pause = node.uptime() + MAX_PAUSE;
        let mut next = max.map_or(pause, |max| report(&node, max).min(pause));
        if node.uptime() >= next_tick {
            next_tick = node.uptime() + TICK;
            advance(&node);
        }
        if coordinates {
            next = next.min(next_tick);
        }
        let left = next.saturating_sub(node.uptime());
        // Ends without a notification when the next step is due.
        let _ = tokio::time::timeout(left, node.engine_slots.changed()).await;
    }
}

/// The fewest rejections that a brittle engine can bear; `None` if none is brittle.
fn max_rejections(node: &Node) -> Option<MaxRejections> {
    let now = node.uptime();
    node.brittle.lock().values().filter_map(|state| state.max_rejections(now)).min()
}

/// This router in reports and grants.
fn sender(node: &Node) -> Sender {
    Sender { host: key(&node.settings.advertise), life: node.life }
}

/// The key of the router at `addr`.
fn key(addr: &str) -> HostKey {
    xxh3_64(addr.as_bytes())
}

/// The routers that may coordinate, in order of preference.
fn candidates(node: &Node) -> Vec<HostKey> {
    let service = xxh3_64(SERVICE.as_bytes());
    let mut keys: Vec<HostKey> =
        node.entries.load().iter().map(|router| key(&router.addr)).collect();
    keys.sort_unstable_by_key(|key| std::cmp::Reverse(place::rank(service, *key)));
    keys
}

/// Sends the report to the coordinator if it is due. Returns when the next one is.
fn report(node: &Arc<Node>, max: MaxRejections) -> Duration {
    let now = node.uptime();
    let pool = node.pool.load();
    let (uses, work) = uses(node, &pool.engines);
    let mut holder = node.engine_slots.holder();
    let Some(coordinator) = holder.coordinator(|| candidates(node), now) else {
        return now + MAX_PAUSE;
    };
    let own: usize = uses.iter().map(|(_, running)| *running as usize).sum();
    let wanted = holder.wanted(own + node.engine_slots.waiting(), now);
    let due = holder.next_report(wanted, now);
    if now < due {
        return due;
    }
    let uses = uses.into_iter().map(|(upstream, running)| SlotUse {
        upstream,
        running: running as u16,
        rejected: holder.rejected(upstream),
    });
    let unusable = pool.engines.iter().filter(|engine| !is_usable(node, engine));
    let report = SlotReport {
        service: xxh3_64(SERVICE.as_bytes()),
        max,
        sent_us: now.as_micros() as u64,
        applied: holder.applied(),
        wanted: u16::try_from(wanted).unwrap_or(u16::MAX),
        hosts: pool.routers.len() as u16,
        work_ms: work.as_millis() as u32,
        uses: uses.filter(|u| u.running > 0 || u.rejected > 0).collect(),
        unusable: unusable.map(|engine| engine.key).collect(),
    };
    holder.record_report(wanted, now);
    let due = holder.next_report(wanted, now);
    drop(holder);
    if coordinator == sender(node).host {
        if let Some(grant) = handle_report(node, sender(node), &report) {
            apply_grant(node, coordinator, grant);
        }
    } else if let Some(addr) = addr(node, coordinator) {
        ntex::rt::spawn(send_report(node.clone(), coordinator, addr, report));
    }
    due
}

/// This router's requests at brittle engines, by the engine's key, and the longest time that
/// requests run there.
fn uses(node: &Node, engines: &[Engine]) -> (Vec<(u64, u32)>, Duration) {
    let mut states = node.brittle.lock();
    let work = states.values().map(|state| state.work).max().unwrap_or_default();
    let uses = engines.iter().filter_map(|engine| {
        let state = states.get_mut(&engine.slot)?;
        Some((engine.key, brittle::occupied(node, engine.slot, state)))
    });
    (uses.collect(), work)
}

/// Whether this router can send requests to `engine` now.
fn is_usable(node: &Node, engine: &Engine) -> bool {
    !engine.leaving && !node.is_down(engine.slot) && node.backoff_left(engine.slot).is_none()
}

/// The address of the router with the key `host`, if it is listed.
fn addr(node: &Node, host: HostKey) -> Option<String> {
    let pool = node.pool.load();
    let router = pool.routers.iter().find(|router| key(&router.addr) == host);
    router.map(|router| router.addr.clone())
}

/// Sends `report` to the coordinator at `addr`, and applies its answer.
async fn send_report(node: Arc<Node>, coordinator: HostKey, addr: String, report: SlotReport) {
    let call = Call::ReportSlots(sender(&node), report);
    match peer::call(&node, &addr, &call, CALL_TIMEOUT).await {
        Ok(Answer::Granted(Some(grant))) => apply_grant(&node, coordinator, grant),
        Ok(_) => {}
        Err(error) => {
            tracing::debug!(target: "brittle", "brittle: no grant: {error}.");
            // A router that is merely slow does not break connections.
            if matches!(error, Error::Peer("call", ..)) {
                node.engine_slots.holder().record_end(coordinator, node.uptime());
                node.engine_slots.note_demand();
            }
        }
    }
}

/// Applies a grant of the router `coordinator`.
pub fn apply_grant(node: &Node, coordinator: HostKey, grant: SlotGrant) {
    node.engine_slots.holder().apply(coordinator, grant, node.uptime());
    node.engine_slots.note_available();
}

/// Handles a report to this router as the coordinator. Returns the grant that answers it.
pub fn handle_report(node: &Arc<Node>, from: Sender, report: &SlotReport) -> Option<SlotGrant> {
    let now = node.uptime();
    let (answer, others) = {
        let mut coordinator = node.engine_slots.coordinator();
        let is_new = coordinator.is_none();
        let coordinator = coordinator.get_or_insert_with(|| {
            tracing::info!(target: "brittle", "brittle: this router grants the slots of engines.");
            Coordinator::new(report.service, rand::random(), report.max, now)
        });
        let grants = coordinator.report(from, report, now);
        if is_new {
            coordinator.set_upstreams(&engine_slots(node), now);
            node.engine_slots.wake();
        }
        grants.into_iter().partition::<Vec<_>, _>(|(host, _)| *host == from.host)
    };
    send_grants(node, others);
    answer.into_iter().next().map(|(_, grant)| sendable(node, grant))
}

/// The grant as it is sent. A router that drains lets others take over.
fn sendable(node: &Node, grant: SlotGrant) -> SlotGrant {
    SlotGrant { has_quorum: grant.has_quorum && node.is_available(), ..grant }
}

/// The slots of brittle engines as this router knows them.
fn engine_slots(node: &Node) -> Vec<UpstreamSlots> {
    let states = node.brittle.lock();
    let pool = node.pool.load();
    let slots = |engine: &Engine| {
        let state = states.get(&engine.slot)?;
        Some(UpstreamSlots {
            upstream: engine.key,
            slots: state.report.slots.max(1),
            is_open: !engine.leaving && !node.is_down(engine.slot),
        })
    };
    pool.engines.iter().filter_map(slots).collect()
}

/// Brings the accounts that this router keeps up to date.
fn advance(node: &Arc<Node>) {
    let now = node.uptime();
    let grants = {
        let mut kept = node.engine_slots.coordinator();
        let Some(coordinator) = kept.as_mut() else { return };
        coordinator.set_upstreams(&engine_slots(node), now);
        let grants = coordinator.advance(now);
        if now >= coordinator.last_report() + UNUSED_SPAN {
            *kept = None;
        }
        grants
    };
    send_grants(node, grants);
}

/// Sends `grants` to the routers with these keys.
fn send_grants(node: &Arc<Node>, grants: Vec<(HostKey, SlotGrant)>) {
    let own = sender(node).host;
    for (host, grant) in grants {
        let grant = sendable(node, grant);
        if host == own {
            apply_grant(node, own, grant);
        } else if let Some(addr) = addr(node, host) {
            let node = node.clone();
            ntex::rt::spawn(async move {
                let call = Call::GrantSlots(own, grant);
                // The answer to the router's next report repeats the grant.
                let _ = peer::call(&node, &addr, &call, CALL_TIMEOUT).await;
            });
        }
    }
}
