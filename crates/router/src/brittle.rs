//! Limits what this router sends to engines that state how few rejections they can bear,
//! on its own interface (see `marjoram_core::brittle`). Each router learns of it, and of
//! the rejections of all routers, from the engines' load reports.

use std::sync::atomic::Ordering;
use std::time::Duration;

use marjoram_core::brittle::{self, Load};
use marjoram_core::cache::Slot;
use marjoram_core::place;
use marjoram_core::wire::BrittleReport;
use xxhash_rust::xxh3::xxh3_64;

use crate::brittle_engines::BrittleEngine;
use crate::node::{Engine, Node};

/// The load of an engine as far as this router knows. How many routers have requests there is not
/// known, so all of them count as users.
fn load(state: &BrittleEngine, node: &Node, engine: &Engine) -> Load {
    let routers = node.entries.load();
    let hosts = routers.len().max(1);
    let rank = match brittle::divides_slots(hosts) {
        true => {
            let key = |addr: &str| place::rank(engine.key, xxh3_64(addr.as_bytes()));
            let own = key(&node.settings.advertise);
            routers.iter().filter(|router| key(&router.addr) > own).count()
        }
        false => hosts,
    };
    Load {
        slots: state.report.slots,
        running: node.load(engine.slot),
        own: node.inflight[usize::from(engine.slot.0)].load(Ordering::Relaxed),
        hosts,
        users: hosts,
        rank,
        work: state.work,
    }
}

/// Records what the load report of `engine`, just received, states.
pub fn record_report(node: &Node, engine: &Engine, report: Option<BrittleReport>) {
    if node.brittle.record_report(engine.slot, report, node.uptime()) {
        tracing::info!(target: "brittle", "brittle: engine {} states {report:?}.", engine.addr);
    }
}

/// Slots of the engines that may not get a request of this router now.
pub fn withheld(node: &Node) -> Vec<Slot> {
    let mut brittle = node.brittle.lock();
    if brittle.is_empty() {
        return Vec::new();
    }
    let (now, pool) = (node.uptime(), node.pool.load());
    let mut is_withheld = |engine: &&Engine| {
        let Some(state) = brittle.get_mut(&engine.slot) else { return false };
        let Some(max) = state.statement.in_force(now) else { return false };
        let (load, others) = (load(state, node, engine), state.others(now));
        !state.sends.is_allowed(max, load, others, rand::random(), now)
    };
    pool.engines.iter().filter(&mut is_withheld).map(|engine| engine.slot).collect()
}

/// Records a send to `engine`.
pub fn record_send(node: &Node, engine: &Engine) {
    if let Some(state) = node.brittle.lock().get_mut(&engine.slot) {
        state.sends.record_send(node.uptime());
    }
}

/// Records that `engine` rejected a request for want of a slot.
pub fn record_rejection(node: &Node, engine: &Engine) {
    let now = node.uptime();
    let mut brittle = node.brittle.lock();
    let Some(state) = brittle.get_mut(&engine.slot) else { return };
    let Some(max) = state.statement.in_force(now) else { return };
    let load = load(state, node, engine);
    state.sends.record_rejection(max, load, rand::random(), now);
    node.counters.brittle_rejections.fetch_add(1, Ordering::Relaxed);
}

/// Records that a request ran at `engine` for `took`.
pub fn record_completion(node: &Node, engine: &Engine, took: Duration) {
    if let Some(state) = node.brittle.lock().get_mut(&engine.slot) {
        state.record_completion(took);
    }
}

/// Whether `engine` may have failed because of the requests that it rejected, and not
/// under one that it ran.
pub fn may_have_failed(node: &Node, engine: &Engine) -> bool {
    let now = node.uptime();
    let brittle = node.brittle.lock();
    brittle.get(&engine.slot).is_some_and(|state| {
        state.statement.in_force(now).is_some()
            && state.others(now) + state.sends.rejections(now) > 0
    })
}
