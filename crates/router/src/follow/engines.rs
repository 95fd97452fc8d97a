//! Reads each engine's cache events and load report, each engine by tasks of
//! its own. An engine that cannot be reached is marked down and loses its
//! entries.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use marjoram_core::feed;
use marjoram_core::wire::{CacheEvents, LoadReport};
use ntex::http::client::Client;

use super::get_json;
use crate::node::{Engine, Node};

/// Pause between looks for engines not yet followed.
const POOL_EVERY: Duration = Duration::from_millis(100);
/// How long a read of an engine's events waits there for some.
const EVENTS_WAIT: Duration = Duration::from_secs(1);
/// Pause between reads of an engine's events.
const EVENTS_EVERY: Duration = Duration::from_millis(50);
/// Pause between reads of an engine's load report.
const LOAD_EVERY: Duration = Duration::from_millis(500);
/// Longest wait for an engine's answer, the wait it was asked for aside.
const LIMIT: Duration = Duration::from_secs(1);

/// Follows every engine's cache events and load for ever, each by a task of
/// its own: an engine that does not answer holds up no other's events.
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
        ntex::time::sleep(POOL_EVERY).await;
    }
}

/// Follows one engine until it leaves the pool.
async fn follow_engine(node: Arc<Node>, engine: Engine) {
    let client = Client::new();
    futures::join!(follow_events(&node, &engine, &client), follow_load(&node, &engine, &client));
}

/// Whether the pool still holds `engine` in its slot.
fn listed(node: &Node, engine: &Engine) -> bool {
    node.pool.load().engines.iter().any(|e| e.addr == engine.addr && e.slot == engine.slot)
}

/// Reads an engine's events as they come: each read waits at the engine
/// until there are some.
async fn follow_events(node: &Node, engine: &Engine, client: &Client) {
    while listed(node, engine) {
        let cursor = node.cursors.lock().unwrap().get(&engine.slot).copied();
        let from = cursor.map(|cursor| cursor.next).unwrap_or(0);
        let wait = match cursor {
            Some(_) => EVENTS_WAIT.as_millis(),
            None => 0,
        };
        let url = format!("http://{}/v1/events?from={from}&wait_ms={wait}", engine.addr);
        let read = get_json::<CacheEvents>(client, &url, EVENTS_WAIT + LIMIT).await;
        if !listed(node, engine) {
            return;
        }
        match read {
            Ok(events) => {
                reached(node, engine);
                apply_events(node, engine, &events);
            }
            Err(error) => lost(node, engine, &error),
        }
        ntex::time::sleep(EVENTS_EVERY).await;
    }
}

/// Reads an engine's load report now and again.
async fn follow_load(node: &Node, engine: &Engine, client: &Client) {
    let url = format!("http://{}/v1/load", engine.addr);
    while listed(node, engine) {
        let read = get_json::<LoadReport>(client, &url, LIMIT).await;
        if !listed(node, engine) {
            return;
        }
        match read {
            Ok(load) => {
                reached(node, engine);
                node.report(engine.slot, load.running + load.waiting);
            }
            Err(error) => lost(node, engine, &error),
        }
        ntex::time::sleep(LOAD_EVERY).await;
    }
}

/// Marks an engine reachable.
fn reached(node: &Node, engine: &Engine) {
    if node.down[usize::from(engine.slot.0)].swap(false, Ordering::AcqRel) {
        tracing::info!(target: "follow", "engines: {} reachable again.", engine.addr);
    }
}

/// Marks an engine unreachable and forgets what it was known to hold.
fn lost(node: &Node, engine: &Engine, error: &str) {
    if !node.down[usize::from(engine.slot.0)].swap(true, Ordering::AcqRel) {
        tracing::warn!(target: "follow", "engines: {} unreachable, entries dropped: {error}.", engine.addr);
    }
    node.cursors.lock().unwrap().remove(&engine.slot);
    node.picture.clear(engine.slot);
}

fn apply_events(node: &Node, engine: &Engine, read: &CacheEvents) {
    let mut cursors = node.cursors.lock().unwrap();
    let known = cursors.get(&engine.slot).copied();
    let (cursor, taken) = feed::apply(&node.picture, engine.slot, known, read);
    cursors.insert(engine.slot, cursor);
    node.counters.events.fetch_add(taken.events, Ordering::Relaxed);
    node.counters.gaps.fetch_add(taken.gaps, Ordering::Relaxed);
}
