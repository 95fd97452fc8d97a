//! Start-up: gathers the state that a router needs, to avoid a cold start.
//!
//! A router starts with no state, and its host stores none. Before it reports that
//! it is ready it reads, in this order:
//!
//! 1. the pool, from the host list;
//! 2. from another router that is ready: its configuration (used while the log
//!    service is down) and its cache index, with the position in each engine's events
//!    up to which the index is current;
//! 3. the configuration, from the log service (see `follow`);
//! 4. the events of every engine, once, from that position on. When no other
//!    router is ready, as after a restart of all routers, the events that the engines
//!    retain are read from the beginning to rebuild the index;
//! 5. the requests in quarantine, from the log service.
//!
//! Until then `/healthz` answers 503 and other routers send it no callers.
//! It waits [`STATE_TIMEOUT`] at most for the cache index and the quarantine, because a router
//! without them is more useful than none. There is no limit on the wait for the
//! configuration: without it no request can be routed, and requests are refused as not run.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use marjoram_core::cache::CacheGeneration;
use marjoram_core::config::Config;
use marjoram_core::feed::Cursor;
use marjoram_core::members::Status;
use rand::seq::SliceRandom;

use crate::follow;
use crate::gossip;
use crate::node::{Engine, Node};
use crate::peer;
use crate::peer::wire::{Answer, Call, RouterState, WireEngine};

/// Longest wait for the pool and, counted from the same start, for the cache index and
/// the quarantine.
pub const STATE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time-out of another router's answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Most other routers asked for their state.
const MAX_ROUTERS_ASKED: usize = 3;
/// Interval between checks whether the awaited state is complete.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Gathers the node's state, starts to follow the engines, and announces the node as ready.
pub async fn start(node: Arc<Node>) {
    let begun = Instant::now();
    wait_until(begun + STATE_TIMEOUT, || !node.pool.load().engines.is_empty()).await;
    let source = fetch_state(&node).await;
    ntex::rt::spawn(follow::engines(node.clone()));
    while !node.configured.load(Ordering::Acquire) {
        ntex::time::sleep(POLL_INTERVAL).await;
    }
    wait_until(begun + STATE_TIMEOUT, || all_engines_read(&node) && node.poison.is_read()).await;
    node.ready.store(true, Ordering::Release);
    if !node.draining.load(Ordering::Acquire) {
        gossip::announce_status(&node, Status::Ready).await;
    }
    tracing::info!(
        target: "warm",
        "warm: ready after {:?}, cache index of {} entries from {}.",
        begun.elapsed(),
        node.cache_index.counts().entries,
        source.as_deref().unwrap_or("the engines"),
    );
}

/// This node's state for a router that starts; empty unless this node is ready.
pub fn current_state(node: &Node) -> RouterState {
    if !node.ready.load(Ordering::Acquire) {
        return RouterState::default();
    }
    let cursors = node.cursors.lock().unwrap().clone();
    let pool = node.pool.load();
    let engines = pool.engines.iter().filter_map(|engine| {
        let Cursor { life, next } = cursors.get(&engine.slot).copied()?;
        let blocks = node.cache_index.blocks_of(engine.slot).into_iter().map(|b| b.0).collect();
        Some(WireEngine {
            addr: engine.addr.clone(),
            incarnation: life.incarnation.0,
            version: life.version.0,
            next,
            blocks,
        })
    });
    let active = node.active.load();
    RouterState {
        config: serde_json::to_vec(&*active.config).unwrap_or_default(),
        engines: engines.collect(),
    }
}

/// Asks other routers in turn for their state and applies the first that is not empty;
/// returns that router's address.
async fn fetch_state(node: &Node) -> Option<String> {
    let me = &node.settings.advertise;
    let mut others: Vec<String> =
        node.pool.load().routers.iter().map(|r| r.addr.clone()).filter(|a| a != me).collect();
    others.shuffle(&mut rand::rng());
    for addr in others.into_iter().take(MAX_ROUTERS_ASKED) {
        match peer::call(node, &addr, &Call::FetchState, CALL_TIMEOUT).await {
            Ok(Answer::RouterState(state)) if !state.config.is_empty() => {
                apply_state(node, &addr, state);
                return Some(addr);
            }
            Ok(_) => {
                tracing::debug!(target: "warm", "warm: router {addr} is not ready and sent no state.")
            }
            Err(error) => tracing::info!(target: "warm", "warm: {error}."),
        }
    }
    None
}

fn apply_state(node: &Node, addr: &str, state: RouterState) {
    match serde_json::from_slice::<Config>(&state.config) {
        Ok(config) => *node.offered_config.lock().unwrap() = Some(config),
        Err(error) => {
            tracing::warn!(target: "warm", "warm: configuration from router {addr} cannot be parsed: {error}.");
        }
    }
    let pool = node.pool.load();
    for received in &state.engines {
        let Some(engine) = pool.engines.iter().find(|e| e.addr == received.addr) else {
            continue;
        };
        let (incarnation, version, blocks) = received.entries();
        let life = CacheGeneration { incarnation, version };
        node.cache_index.stored(engine.slot, life, &blocks);
        node.cursors.lock().unwrap().insert(engine.slot, Cursor { life, next: received.next });
    }
}

/// Whether the events of every engine have been read once, or the engine is unreachable.
fn all_engines_read(node: &Node) -> bool {
    let pool = node.pool.load();
    let cursors = node.cursors.lock().unwrap();
    let read = |e: &Engine| cursors.contains_key(&e.slot) || node.is_down(e.slot);
    !pool.engines.is_empty() && pool.engines.iter().all(read)
}

async fn wait_until(deadline: Instant, done: impl Fn() -> bool) {
    while !done() && Instant::now() < deadline {
        ntex::time::sleep(POLL_INTERVAL).await;
    }
}
