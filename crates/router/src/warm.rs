//! Starting without a cold start.
//!
//! A router that starts knows nothing, and its host keeps nothing. Before it
//! says it is ready it takes, in this order:
//!
//! 1. the pool, from the host list;
//! 2. from another router that is ready: its configuration (which stands in
//!    while the log service is down) and its cache picture with the position
//!    in each engine's events it was read up to;
//! 3. the configuration, from the log service (see `follow`);
//! 4. one reading of every engine's events from that position on. When no
//!    other router is ready, as after a herd restart, the engines' own
//!    retained events are read from the beginning and rebuild the picture.
//!
//! 5. which requests no router sends any more, from the log service.
//!
//! Until then `/healthz` answers 503 and other routers send it no callers.
//! The cache picture and those requests wait [`LIMIT`] at most: a router is worth more cold
//! than absent. The configuration has no limit: without it no request can
//! be routed, and requests are refused as not run.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use marjoram_core::cache::Life;
use marjoram_core::config::Config;
use marjoram_core::feed::Cursor;
use marjoram_core::members::Status;
use rand::seq::SliceRandom;

use crate::follow;
use crate::gossip;
use crate::node::{Engine, Node};
use crate::peer;
use crate::peer::wire::{Answer, Call, Warmth, WireEngine};

/// Longest wait for the pool and the cache picture.
pub const LIMIT: Duration = Duration::from_secs(3);
/// Longest wait for one other router's answer.
const CALL_LIMIT: Duration = Duration::from_secs(1);
/// Other routers asked before giving up on them.
const ASKED: usize = 3;
/// Pause between looks at what is still missing.
const STEP: Duration = Duration::from_millis(20);

/// Warms the node up, follows the engines, and declares the node ready.
pub async fn start(node: Arc<Node>) {
    let begun = Instant::now();
    wait_until(begun + LIMIT, || !node.pool.load().engines.is_empty()).await;
    let source = ask(&node).await;
    ntex::rt::spawn(follow::engines(node.clone()));
    while !node.configured.load(Ordering::Acquire) {
        ntex::time::sleep(STEP).await;
    }
    wait_until(begun + LIMIT, || read_once(&node) && node.poison.is_read()).await;
    node.ready.store(true, Ordering::Release);
    if !node.draining.load(Ordering::Acquire) {
        gossip::declare(&node, Status::Ready).await;
    }
    tracing::info!(
        target: "warm",
        "warm: ready after {:?}, picture of {} entries from {}.",
        begun.elapsed(),
        node.picture.counts().entries,
        source.as_deref().unwrap_or("the engines"),
    );
}

/// What this node can tell a starting one.
pub fn offer(node: &Node) -> Warmth {
    if !node.ready.load(Ordering::Acquire) {
        return Warmth::default();
    }
    let cursors = node.cursors.lock().unwrap().clone();
    let pool = node.pool.load();
    let engines = pool.engines.iter().filter_map(|engine| {
        let Cursor { life, next } = cursors.get(&engine.slot).copied()?;
        let blocks = node.picture.held(engine.slot).into_iter().map(|b| b.0).collect();
        Some(WireEngine {
            addr: engine.addr.clone(),
            incarnation: life.incarnation.0,
            version: life.version.0,
            next,
            blocks,
        })
    });
    let active = node.active.load();
    Warmth {
        config: serde_json::to_vec(&*active.config).unwrap_or_default(),
        engines: engines.collect(),
    }
}

/// Asks other routers in turn; the one that had something to tell.
async fn ask(node: &Node) -> Option<String> {
    let me = &node.settings.advertise;
    let mut others: Vec<String> =
        node.pool.load().routers.iter().map(|r| r.addr.clone()).filter(|a| a != me).collect();
    others.shuffle(&mut rand::rng());
    for addr in others.into_iter().take(ASKED) {
        match peer::call(node, &addr, &Call::Warm, CALL_LIMIT).await {
            Ok(Answer::Warmth(warmth)) if !warmth.config.is_empty() => {
                take(node, &addr, warmth);
                return Some(addr);
            }
            Ok(_) => tracing::debug!(target: "warm", "warm: router {addr} is not warm itself."),
            Err(error) => tracing::info!(target: "warm", "warm: {error}."),
        }
    }
    None
}

fn take(node: &Node, addr: &str, warmth: Warmth) {
    match serde_json::from_slice::<Config>(&warmth.config) {
        Ok(config) => *node.offered.lock().unwrap() = Some(config),
        Err(error) => {
            tracing::warn!(target: "warm", "warm: configuration from {addr} unreadable: {error}.");
        }
    }
    let pool = node.pool.load();
    for told in &warmth.engines {
        let Some(engine) = pool.engines.iter().find(|e| e.addr == told.addr) else {
            continue;
        };
        let (incarnation, version, blocks) = told.entries();
        let life = Life { incarnation, version };
        node.picture.stored(engine.slot, life, &blocks);
        node.cursors.lock().unwrap().insert(engine.slot, Cursor { life, next: told.next });
    }
}

/// Whether every engine has been read, or found unreachable, once.
fn read_once(node: &Node) -> bool {
    let pool = node.pool.load();
    let cursors = node.cursors.lock().unwrap();
    let read = |e: &Engine| cursors.contains_key(&e.slot) || node.is_down(e.slot);
    !pool.engines.is_empty() && pool.engines.iter().all(read)
}

async fn wait_until(deadline: Instant, done: impl Fn() -> bool) {
    while !done() && Instant::now() < deadline {
        ntex::time::sleep(STEP).await;
    }
}
