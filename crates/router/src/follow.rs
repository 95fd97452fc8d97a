//! Background loops that keep a node's picture of the world current.
//!
//! - `config`: reads the log service's `config` stream forward from the
//!   last offset applied and swaps in each new configuration.
//! - `hosts`: reads the host list and swaps in the pool of engines,
//!   routers and services; an engine gone from the list loses its entries.
//! - `engines`: reads each engine's cache events and load report. A new
//!   incarnation or model version clears the engine's entries, and so does
//!   an engine that cannot be reached, which is also marked down.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures::future::join_all;
use marjoram_core::cache::{Life, MAX_SLOTS, Slot};
use marjoram_core::config::{Applied, Config, Record};
use marjoram_core::wire::{CacheEvents, EventKind, HostList, HostState, LoadReport, LogRead, Role};
use ntex::http::client::Client;
use xxhash_rust::xxh3::xxh3_64;

use crate::node::{Active, Engine, Node, Pool};

/// Pause between reads of the config stream.
const CONFIG_EVERY: Duration = Duration::from_millis(200);
/// Pause between reads of the host list.
const HOSTS_EVERY: Duration = Duration::from_millis(300);
/// Pause between reads of engine events and load.
const ENGINES_EVERY: Duration = Duration::from_millis(100);

/// Follows the `config` stream for ever.
pub async fn config(node: Arc<Node>) {
    let client = Client::new();
    let mut config = Config::new();
    let mut next = 0u64;
    let url = format!("http://{}/v1/streams/config", node.settings.log_service);
    loop {
        let read: Result<LogRead, String> = get_json(&client, &format!("{url}?from={next}")).await;
        match read {
            Ok(read) => {
                if read.oldest.0 > next {
                    tracing::warn!(target: "follow", "config: records {next} to {} expired unread.", read.oldest);
                }
                let changed = apply_all(&mut config, &read, &mut next);
                if changed {
                    node.active.store(Arc::new(Active {
                        offset: config.offset,
                        routing: config.routing(),
                    }));
                }
            }
            Err(error) => {
                tracing::debug!(target: "follow", "config: read from {} failed: {error}.", node.settings.log_service)
            }
        }
        ntex::time::sleep(CONFIG_EVERY).await;
    }
}

fn apply_all(config: &mut Config, read: &LogRead, next: &mut u64) -> bool {
    let mut changed = false;
    for record in &read.records {
        *next = record.offset.0 + 1;
        let outcome = match serde_json::from_str::<Record>(&record.body) {
            Ok(parsed) => config.apply(record.offset, &parsed),
            Err(error) => config.skip(record.offset, format!("malformed: {error}")),
        };
        match outcome {
            Applied::Accepted => changed = true,
            Applied::Stale => {}
            Applied::Gap { expected } => {
                tracing::warn!(target: "follow", "config: record {} is beyond a gap; reading again from {expected}.", record.offset);
                *next = expected.0;
                return changed;
            }
            Applied::Rejected(why) => {
                tracing::warn!(target: "follow", "config: record {} rejected: {why}.", record.offset);
                changed = true;
            }
        }
    }
    changed
}

/// Follows the host list for ever.
pub async fn hosts(node: Arc<Node>) {
    let client = Client::new();
    let mut slots: HashMap<String, Slot> = HashMap::new();
    let url = format!("http://{}/v1/hosts", node.settings.host_list);
    loop {
        match get_json::<HostList>(&client, &url).await {
            Ok(list) => node.pool.store(Arc::new(pool(&node, &list, &mut slots))),
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

/// Follows every engine's cache events and load for ever.
pub async fn engines(node: Arc<Node>) {
    let client = Client::new();
    let mut cursors: HashMap<Slot, (Life, u64)> = HashMap::new();
    loop {
        let pool = node.pool.load_full();
        let reads = pool.engines.iter().map(|engine| read_engine(&client, engine, &cursors));
        let results = join_all(reads).await;
        for (engine, result) in pool.engines.iter().zip(results) {
            apply_engine(&node, engine, result, &mut cursors);
        }
        ntex::time::sleep(ENGINES_EVERY).await;
    }
}

type EngineRead = Result<(CacheEvents, LoadReport), String>;

async fn read_engine(
    client: &Client,
    engine: &Engine,
    cursors: &HashMap<Slot, (Life, u64)>,
) -> EngineRead {
    let from = cursors.get(&engine.slot).map(|(_, next)| *next).unwrap_or(0);
    let events = get_json(client, &format!("http://{}/v1/events?from={from}", engine.addr)).await?;
    let load = get_json(client, &format!("http://{}/v1/load", engine.addr)).await?;
    Ok((events, load))
}

fn apply_engine(
    node: &Node,
    engine: &Engine,
    result: EngineRead,
    cursors: &mut HashMap<Slot, (Life, u64)>,
) {
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
