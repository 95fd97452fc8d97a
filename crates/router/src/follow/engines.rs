//! Reads each engine's cache events and load report, with separate tasks for each
//! engine. An engine that cannot be reached is marked down and its entries in the
//! cache index are dropped.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use marjoram_core::feed;
use marjoram_core::wire::{CacheEvents, LoadReport};

use super::get_json;
use crate::brittle;
use crate::node::{Engine, Node};
use crate::upstream_client;

/// Interval between checks of the pool for engines not yet followed.
const POOL_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How long an engine is asked to wait for events before it answers a read.
const EVENTS_WAIT: Duration = Duration::from_secs(1);
/// Pause between reads of an engine's events.
const EVENTS_READ_PAUSE: Duration = Duration::from_millis(50);
/// Interval between reads of an engine's load report.
const LOAD_READ_INTERVAL: Duration = Duration::from_millis(500);
/// Time-out of an engine's answer, on top of the wait it was asked for.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Follows every engine's cache events and load forever, with a separate task for
/// each, so that an engine that does not answer does not delay the events of others.
pub async fn engines(node: Arc<Node>) {
    let mut followed: HashSet<String> = HashSet::new();
    loop {
        let pool = node.pool.load_full();
        followed.retain(|addr| pool.engines.iter().any(|e| &e.addr == addr));
        for engine in &pool.engines {
            if followed.insert(engine.addr.clone()) {
                ntex::rt::spawn(follow_engine(node.clone(), engine.clone()));
            }
        }
        ntex::time::sleep(POOL_CHECK_INTERVAL).await;
    }
}

/// Follows one engine until it leaves the pool.
async fn follow_engine(node: Arc<Node>, engine: Engine) {
    futures::join!(follow_events(&node, &engine), follow_load(&node, &engine));
}

/// Whether the pool still contains `engine`, in the same slot.
fn listed(node: &Node, engine: &Engine) -> bool {
    node.pool.load().engines.iter().any(|e| e.addr == engine.addr && e.slot == engine.slot)
}

/// Reads an engine's events by long polling: each read waits at the engine until
/// there are events.
async fn follow_events(node: &Arc<Node>, engine: &Engine) {
    while listed(node, engine) {
        let cursor = node.cursors.lock().unwrap().get(&engine.slot).copied();
        let from = cursor.map(|cursor| cursor.next).unwrap_or(0);
        let wait = match cursor {
            Some(_) => EVENTS_WAIT.as_millis(),
            None => 0,
        };
        let url = format!("http://{}/v1/events?from={from}&wait_ms={wait}", engine.addr);
        let read = get_json::<CacheEvents>(
            &upstream_client::client(node),
            &url,
            EVENTS_WAIT + ANSWER_TIMEOUT,
        )
        .await;
        if !listed(node, engine) {
            return;
        }
        match read {
            Ok(events) => {
                mark_reachable(node, engine);
                apply_events(node, engine, &events);
            }
            Err(error) => mark_unreachable(node, engine, &error),
        }
        ntex::time::sleep(EVENTS_READ_PAUSE).await;
    }
}

/// Reads an engine's load report at regular intervals.
async fn follow_load(node: &Arc<Node>, engine: &Engine) {
    let url = format!("http://{}/v1/load", engine.addr);
    while listed(node, engine) {
        let read =
            get_json::<LoadReport>(&upstream_client::client(node), &url, ANSWER_TIMEOUT).await;
        if !listed(node, engine) {
            return;
        }
        match read {
            Ok(load) => {
                mark_reachable(node, engine);
                node.record_load_report(engine.slot, load.running + load.waiting);
                brittle::record_report(node, engine, load.brittle);
            }
            Err(error) => mark_unreachable(node, engine, &error),
        }
        ntex::time::sleep(LOAD_READ_INTERVAL).await;
    }
}

/// Marks an engine reachable.
fn mark_reachable(node: &Node, engine: &Engine) {
    if node.down[usize::from(engine.slot.0)].swap(false, Ordering::AcqRel) {
        tracing::info!(target: "follow", "engines: {} reachable again.", engine.addr);
    }
}

/// Marks an engine unreachable and drops its entries in the cache index.
fn mark_unreachable(node: &Node, engine: &Engine, error: &str) {
    if !node.down[usize::from(engine.slot.0)].swap(true, Ordering::AcqRel) {
        tracing::warn!(target: "follow", "engines: {} unreachable, cache entries dropped: {error}.", engine.addr);
        node.outages[usize::from(engine.slot.0)].fetch_add(1, Ordering::Relaxed);
        node.upstream_links.drop_idle_connections();
    }
    node.cursors.lock().unwrap().remove(&engine.slot);
    node.cache_index.clear(engine.slot);
}

fn apply_events(node: &Node, engine: &Engine, read: &CacheEvents) {
    let mut cursors = node.cursors.lock().unwrap();
    let known = cursors.get(&engine.slot).copied();
    let (cursor, taken) = feed::apply(&node.cache_index, engine.slot, known, read);
    cursors.insert(engine.slot, cursor);
    node.counters.events.fetch_add(taken.events, Ordering::Relaxed);
    node.counters.gaps.fetch_add(taken.gaps, Ordering::Relaxed);
}
