//! Limits what this router sends to engines that state how few rejections they can bear,
//! on its own interface, to slots that it holds (see `marjoram_core::slot_leases`). Each router
//! learns of it from the engines' load reports.

use std::sync::atomic::Ordering;
use std::time::Duration;

use marjoram_core::cache::Slot;
use marjoram_core::wire::BrittleReport;

use crate::brittle_engines::BrittleEngine;
use crate::node::{Engine, Node};

/// This router's requests that may be running at the engine in `slot`.
pub fn occupied(node: &Node, slot: Slot, state: &mut BrittleEngine) -> u32 {
    let running = node.inflight[usize::from(slot.0)].load(Ordering::Relaxed);
    running + state.abandoned.count(node.uptime())
}

/// Records what the load report of `engine`, just received, states.
pub fn record_report(node: &Node, engine: &Engine, report: Option<BrittleReport>) {
    if node.brittle.record_report(engine.slot, report, node.uptime()) {
        tracing::info!(target: "brittle", "brittle: engine {} states {report:?}.", engine.addr);
        node.engine_slots.wake();
    }
}

/// Slots of the engines that may not get a request of this router now.
pub fn withheld(node: &Node) -> Vec<Slot> {
    let mut brittle = node.brittle.lock();
    if brittle.is_empty() {
        return Vec::new();
    }
    let (now, pool, holder) = (node.uptime(), node.pool.load(), node.engine_slots.holder());
    let mut is_withheld = |engine: &&Engine| {
        let limited = brittle.get_mut(&engine.slot).filter(|state| state.is_limited(now));
        limited.is_some_and(|state| {
            !holder.is_allowed(engine.key, occupied(node, engine.slot, state), now)
        })
    };
    pool.engines.iter().filter(&mut is_withheld).map(|engine| engine.slot).collect()
}

/// Records that `engine` rejected a request for want of a slot.
pub fn record_rejection(node: &Node, engine: &Engine) {
    let now = node.uptime();
    let mut brittle = node.brittle.lock();
    let Some(state) = brittle.get_mut(&engine.slot) else { return };
    if state.max_rejections(now).is_none() {
        return;
    }
    state.rejections.record(now);
    node.engine_slots.holder().record_rejection(engine.key, now);
    node.engine_slots.note_demand();
    node.counters.brittle_rejections.fetch_add(1, Ordering::Relaxed);
}

/// Records that a request ran at `engine` for `took`.
pub fn record_completion(node: &Node, engine: &Engine, took: Duration) {
    if let Some(state) = node.brittle.lock().get_mut(&engine.slot) {
        state.record_completion(took);
    }
}

/// Records that a request to the engine in `slot` is given up that may still be running.
pub fn record_abandoned(node: &Node, slot: Slot) {
    if let Some(state) = node.brittle.lock().get_mut(&slot) {
        let work = state.work;
        state.abandoned.record(work, node.uptime());
    }
}

/// Whether `engine` may have failed because of the requests that it rejected, and not
/// under one that it ran.
pub fn may_have_failed(node: &Node, engine: &Engine) -> bool {
    let now = node.uptime();
    let brittle = node.brittle.lock();
    let is_brittle = |state: &&BrittleEngine| state.max_rejections(now).is_some();
    brittle.get(&engine.slot).filter(is_brittle).is_some_and(|state| state.has_rejected(now))
}
