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

use marjoram_core::cache::{MAX_SLOTS, Slot};
use marjoram_core::config::{Applied, Config, Record};
use marjoram_core::feed;
use marjoram_core::wire::{CacheEvents, HostList, HostState, LoadReport, LogRead, Role};
use ntex::http::StatusCode;
use ntex::http::client::Client;
use serde::de::DeserializeOwned;
use xxhash_rust::xxh3::xxh3_64;

use crate::duty;
use crate::error::Error;
use crate::log::{self, Log};
use crate::node::{Active, Engine, Node, Pool};

/// Pause between reads of the config stream.
const CONFIG_EVERY: Duration = Duration::from_millis(500);
/// Pause between reads of the host list.
const HOSTS_EVERY: Duration = Duration::from_millis(300);
/// Largest answer read.
const BODY_LIMIT: usize = 64 << 20;
/// Longest wait for the host list.
const HOSTS_LIMIT: Duration = Duration::from_secs(1);
/// Pause between looks for engines not yet followed.
const ENGINES_EVERY: Duration = Duration::from_millis(100);
/// How long a read of an engine's events waits there for some.
const EVENTS_WAIT: Duration = Duration::from_secs(1);
/// Pause between reads of an engine's events.
const EVENTS_EVERY: Duration = Duration::from_millis(50);
/// Pause between reads of an engine's load report.
const LOAD_EVERY: Duration = Duration::from_millis(500);
/// Longest wait for an engine's answer, the wait it was asked for aside.
const ENGINE_LIMIT: Duration = Duration::from_millis(1000);

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
    let mut version = None;
    loop {
        let known = version.map(|v: u64| format!("?version={v}")).unwrap_or_default();
        let url = format!("http://{}/v1/hosts{known}", node.settings.host_list);
        match read_json::<HostList>(&client, &url, HOSTS_LIMIT).await {
            Ok(None) => {}
            Ok(Some(list)) => {
                version = Some(list.version);
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
        let read = get_json::<CacheEvents>(client, &url, EVENTS_WAIT + ENGINE_LIMIT).await;
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
        let read = get_json::<LoadReport>(client, &url, ENGINE_LIMIT).await;
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

/// The JSON body at `url`.
async fn get_json<T: DeserializeOwned>(
    client: &Client,
    url: &str,
    limit: Duration,
) -> Result<T, String> {
    read_json(client, url, limit).await?.ok_or_else(|| "not modified".into())
}

/// The JSON body at `url`; `None` when it is not modified.
async fn read_json<T: DeserializeOwned>(
    client: &Client,
    url: &str,
    limit: Duration,
) -> Result<Option<T>, String> {
    let mut response = client.get(url).timeout(limit).send().await.map_err(|e| e.to_string())?;
    match response.status() {
        StatusCode::NOT_MODIFIED => return Ok(None),
        status if !status.is_success() => return Err(format!("status {status}")),
        _ => {}
    }
    let body = response.body().limit(BODY_LIMIT).await.map_err(|e| e.to_string())?;
    serde_json::from_slice(&body).map(Some).map_err(|e| e.to_string())
}
