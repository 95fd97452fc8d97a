//! Reads the host list and replaces the pool of engines, routers and services. When
//! an engine is no longer in the list, its entries in the cache index are dropped.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use marjoram_core::cache::{MAX_SLOTS, Slot};
use marjoram_core::wire::{HostEntry, HostList, HostState, Role};
use ntex::http::client::Client;
use xxhash_rust::xxh3::xxh3_64;

use super::host_list::ReceivedList;
use super::read_json;
use crate::node::{Engine, Node, Pool, Upstream};

/// Interval between reads of the list.
const READ_INTERVAL: Duration = Duration::from_secs(1);
/// Time-out of an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Follows the host list forever.
pub async fn hosts(node: Arc<Node>) {
    let client = Client::new();
    let mut slots: HashMap<String, Slot> = HashMap::new();
    let mut version = None;
    loop {
        let known = version.map(|v: u64| format!("?version={v}")).unwrap_or_default();
        let url = format!("http://{}/v1/hosts{known}", node.settings.host_list);
        match read_json::<ReceivedList>(&client, &url, ANSWER_TIMEOUT).await {
            Ok(None) => {}
            Ok(Some(received)) => {
                let list = HostList::from(received);
                version = Some(list.version);
                node.pool.store(Arc::new(pool(&node, &list, &mut slots)));
                node.refresh_entries();
            }
            Err(error) => {
                tracing::debug!(target: "follow", "hosts: read from {} failed: {error}.", node.settings.host_list)
            }
        }
        ntex::time::sleep(READ_INTERVAL).await;
    }
}

/// Key of an engine or a plain service, the same at all routers.
fn key(host: &HostEntry) -> u64 {
    xxh3_64(host.name.as_ref().unwrap_or(&host.addr).as_bytes())
}

fn pool(node: &Node, list: &HostList, slots: &mut HashMap<String, Slot>) -> Pool {
    let listed: Vec<_> = list.hosts.iter().filter(|h| h.role == Role::Engine).collect();
    slots.retain(|addr, slot| {
        let kept = listed.iter().any(|h| &h.addr == addr);
        if !kept {
            tracing::info!(target: "follow", "hosts: engine {addr} was removed from the host list.");
            node.cache_index.clear(*slot);
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
                    tracing::warn!(target: "follow", "hosts: no free slot for engine {}; it gets no requests.", host.addr);
                    continue;
                };
                slots.insert(host.addr.clone(), free);
                free
            }
        };
        engines.push(Engine {
            slot,
            addr: host.addr.clone(),
            key: key(host),
            dc: host.dc.clone(),
            leaving: host.state == HostState::Leaving,
        });
    }
    engines.sort_by_key(|e| e.slot);
    let live = |role: Role| {
        list.hosts.iter().filter(move |h| h.role == role && h.state == HostState::Live)
    };
    let is_upstream = |h: &&HostEntry| matches!(h.role, Role::Engine | Role::Service);
    let upstream = |host: &HostEntry| {
        let addr = host.addr.parse().ok()?;
        Some((key(host), Upstream { role: host.role, addr }))
    };
    Pool {
        engines,
        upstreams: list.hosts.iter().filter(is_upstream).filter_map(upstream).collect(),
        routers: live(Role::Router).cloned().collect(),
        services: live(Role::Service).map(|h| h.addr.clone()).collect(),
    }
}
