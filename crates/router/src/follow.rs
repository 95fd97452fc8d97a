//! Background loops that keep a node's picture of the world current.
//!
//! - `config`: reads the log service's `config` stream forward from the
//!   last offset applied and swaps in each new configuration; where the
//!   records have expired, from the newest snapshot (see `duty`).
//! - `hosts`: reads the host list and swaps in the pool of engines,
//!   routers and services; an engine gone from the list loses its entries.
//! - `engines`: reads each engine's cache events and load report. A new
//!   incarnation or model version clears the engine's entries, and so does
//!   an engine that cannot be reached, which is also marked down.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use marjoram_core::cache::{Life, MAX_SLOTS, Slot};
use marjoram_core::config::{Applied, Config, Record};
use marjoram_core::wire::{CacheEvents, EventKind, HostList, HostState, LoadReport, LogRead, Role};
use ntex::http::client::Client;
use xxhash_rust::xxh3::xxh3_64;

use crate::duty;
use crate::error::Error;
use crate::log::{self, Log};
use crate::node::{Active, Engine, Node, Pool};

/// Pause between reads of the config stream.
const CONFIG_EVERY: Duration = Duration::from_millis(200);
/// Pause between reads of the host list.
const HOSTS_EVERY: Duration = Duration::from_millis(300);
/// Pause between reads of engine events and load.
const ENGINES_EVERY: Duration = Duration::from_millis(100);

/// Follows the `config` stream for ever.
pub async fn config(node: Arc<Node>) {
    let log = Log::new(node.settings.log_service);
    let mut config = Config::new();
    loop {
        let offered = node.offered.lock().unwrap().take();
        if offered.is_some_and(|snapshot| config.restore(snapshot)) {
            put_in_force(&node, &config);
        }
        match read_on(&log, &mut config).await {
            Ok(Progress::Moved) => put_in_force(&node, &config),
            Ok(Progress::AtEnd) => node.configured.store(true, Ordering::Release),
            Err(error) => tracing::debug!(target: "follow", "config: {error}."),
        }
        ntex::time::sleep(CONFIG_EVERY).await;
    }
}

fn put_in_force(node: &Node, config: &Config) {
    node.active.store(Arc::new(Active::from(config)));
    node.configured.store(true, Ordering::Release);
}

/// What one reading of the `config` stream led to.
enum Progress {
    /// The offset in force moved on.
    Moved,
    /// Nothing new.
    AtEnd,
}

/// Reads and applies what follows the offset in force; from a snapshot when
/// the records that follow it have expired.
async fn read_on(log: &Log, config: &mut Config) -> Result<Progress, Error> {
    let before = config.offset;
    let mut read = log.read(log::CONFIG, config.expected()).await?;
    if read.oldest > config.expected() {
        let (from, to) = (config.expected(), read.oldest);
        let restored = match duty::newest_snapshot(log).await? {
            Some(snapshot) => config.restore(snapshot),
            None => false,
        };
        if !restored || config.expected() < read.oldest {
            let why = format!("records {from} to {to} expired and no snapshot covers them");
            tracing::warn!(target: "follow", "config: {why}.");
            return Err(Error::Log("read config", "snapshots".into(), why));
        }
        tracing::info!(target: "follow", "config: restored from the snapshot of offset {}.", config.expected().0 - 1);
        read = log.read(log::CONFIG, config.expected()).await?;
    }
    apply_all(config, &read);
    match config.offset == before {
        true => Ok(Progress::AtEnd),
        false => Ok(Progress::Moved),
    }
}

/// Applies `read` in order, up to a gap if there is one.
fn apply_all(config: &mut Config, read: &LogRead) {
    for record in &read.records {
        let outcome = match serde_json::from_str::<Record>(&record.body) {
            Ok(parsed) => config.apply(record.offset, &parsed),
            Err(error) => config.skip(record.offset, format!("malformed: {error}")),
        };
        match outcome {
            Applied::Accepted | Applied::Stale => {}
            Applied::Gap { expected } => {
                tracing::warn!(target: "follow", "config: record {} is beyond a gap; reading again from {expected}.", record.offset);
                return;
            }
            Applied::Rejected(why) => {
                tracing::warn!(target: "follow", "config: record {} rejected: {why}.", record.offset);
            }
        }
    }
}

/// Follows the host list for ever.
pub async fn hosts(node: Arc<Node>) {
    let client = Client::new();
    let mut slots: HashMap<String, Slot> = HashMap::new();
    let url = format!("http://{}/v1/hosts", node.settings.host_list);
    loop {
        match get_json::<HostList>(&client, &url).await {
            Ok(list) => {
                node.pool.store(Arc::new(pool(&node, &list, &mut slots)));
                node.refresh_entries();
            }
            Err(error) => {
                tracing::debug!(target: "follow", "hosts: read from {} failed: {error}.", node.settings.host_list)
            }
        }
        ntex::time::sleep(HOSTS_EVERY).await;
    }
}

fn pool(node: &Node, list: &HostList, slots: &mut HashMap<String, Slot>) -> Pool {
    let listed: Vec<_> = list.hosts.iter().filter(|h| h.role == Role::Engine).collect();
    slots.retain(|addr, slot| {
        let kept = listed.iter().any(|h| &h.addr == addr);
        if !kept {
            tracing::info!(target: "follow", "hosts: engine {addr} left the list.");
            node.picture.clear(*slot);
            node.cursors.lock().unwrap().remove(slot);
        }
        kept
    });
    let mut engines = Vec::new();
    for host in listed {
        let slot = match slots.get(&host.addr) {
            Some(slot) => *slot,
            None => {
                let Some(free) =
                    (0..MAX_SLOTS as u8).map(Slot).find(|s| !slots.values().any(|t| t == s))
                else {
                    tracing::warn!(target: "follow", "hosts: no slot left for engine {}.", host.addr);
                    continue;
                };
                slots.insert(host.addr.clone(), free);
                free
            }
        };
        engines.push(Engine {
            slot,
            addr: host.addr.clone(),
            key: xxh3_64(host.addr.as_bytes()),
            dc: host.dc.clone(),
            leaving: host.state == HostState::Leaving,
        });
    }
    engines.sort_by_key(|e| e.slot);
    let live = |role: Role| {
        list.hosts.iter().filter(move |h| h.role == role && h.state == HostState::Live)
    };
    Pool {
        engines,
        routers: live(Role::Router).cloned().collect(),
        services: live(Role::Service).map(|h| h.addr.clone()).collect(),
    }
}

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
        ntex::time::sleep(ENGINES_EVERY).await;
    }
}

/// Follows one engine until it leaves the pool.
async fn follow_engine(node: Arc<Node>, engine: Engine) {
    let client = Client::new();
    let listed = |node: &Node| {
        node.pool.load().engines.iter().any(|e| e.addr == engine.addr && e.slot == engine.slot)
    };
    while listed(&node) {
        let result = read_engine(&client, &engine, &node).await;
        if listed(&node) {
            apply_engine(&node, &engine, result);
        }
        ntex::time::sleep(ENGINES_EVERY).await;
    }
}

type EngineRead = Result<(CacheEvents, LoadReport), String>;

async fn read_engine(client: &Client, engine: &Engine, node: &Node) -> EngineRead {
    let cursor = node.cursors.lock().unwrap().get(&engine.slot).copied();
    let from = cursor.map(|(_, next)| next).unwrap_or(0);
    let events = get_json(client, &format!("http://{}/v1/events?from={from}", engine.addr)).await?;
    let load = get_json(client, &format!("http://{}/v1/load", engine.addr)).await?;
    Ok((events, load))
}

fn apply_engine(node: &Node, engine: &Engine, result: EngineRead) {
    let mut cursors = node.cursors.lock().unwrap();
    let index = usize::from(engine.slot.0);
    let (events, load) = match result {
        Ok(read) => read,
        Err(error) => {
            if !node.down[index].swap(true, Ordering::AcqRel) {
                tracing::warn!(target: "follow", "engines: {} unreachable, entries dropped: {error}.", engine.addr);
            }
            node.picture.clear(engine.slot);
            cursors.remove(&engine.slot);
            return;
        }
    };
    if node.down[index].swap(false, Ordering::AcqRel) {
        tracing::info!(target: "follow", "engines: {} reachable again.", engine.addr);
    }
    node.reported[index].store(load.running + load.waiting, Ordering::Relaxed);
    let life = Life { incarnation: events.incarnation, version: events.version };
    let expected = match cursors.get(&engine.slot) {
        Some((known, next)) if *known == life => *next,
        _ => {
            node.picture.clear(engine.slot);
            node.picture.begin(engine.slot, life);
            0
        }
    };
    let mut next = expected;
    for event in &events.events {
        if event.seq != next {
            node.counters.gaps.fetch_add(1, Ordering::Relaxed);
        }
        next = event.seq + 1;
        match event.kind {
            EventKind::Stored => node.picture.stored(engine.slot, life, &event.blocks),
            EventKind::Removed => node.picture.removed(engine.slot, life, &event.blocks),
            EventKind::Cleared => {
                node.picture.clear(engine.slot);
                node.picture.begin(engine.slot, life);
            }
        }
        node.counters.events.fetch_add(1, Ordering::Relaxed);
    }
    cursors.insert(engine.slot, (life, next.max(events.next)));
}

async fn get_json<T: serde::de::DeserializeOwned>(client: &Client, url: &str) -> Result<T, String> {
    let mut response = client
        .get(url)
        .timeout(Duration::from_millis(1000))
        .send()
        .await
        .map_err(|e| e.to_string())?;
    if !response.status().is_success() {
        return Err(format!("status {}", response.status()));
    }
    let body = response.body().limit(64 << 20).await.map_err(|e| e.to_string())?;
    serde_json::from_slice(&body).map_err(|e| e.to_string())
}
