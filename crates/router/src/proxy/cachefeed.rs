//! Follows the cache events of engines and cache stores, to keep an index of the
//! prompt parts that each has cached.
//!
//! An engine lets only a limited number of callers wait for events at once. Where
//! there are more hosts than that, the first two hosts by rendezvous hashing for an
//! engine read its events, and forward those on large parts to all other hosts.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use marjoram_core::cache_updates::CacheUpdate;
use marjoram_core::catalog::Role;
use marjoram_core::part_index::{Page, PartIndex};
use marjoram_core::switches::Mechanism;
use marjoram_platform::engine::{self, EVENTS_WAIT_MS, WAIT_HEADER};

use super::fleet::Upstream;
use super::reach;
use super::site::Site;
use super::storeclient::HttpClient;
use super::stores::Store;

/// Time between checks for engines and stores that are not followed yet.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Time between the first reads of two engines. Each returns all events that
/// the engine still has, thousands of them, while callers of a host that has
/// just started are waiting.
const STAGGER: Duration = Duration::from_millis(60);

/// Time-out of an answer, in addition to the time that the call asks to wait.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(700);

/// How many of the callers that may wait for a cache's events at once are left
/// for hosts that restart.
const RESERVED_LISTENERS: usize = 2;

/// Hosts that read the events of one cache where not all can: one of the two may
/// be down.
const READERS: usize = 2;

/// A cache whose events are read: that of an engine, or a cache store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Source {
    /// The cache's key in messages between hosts.
    key: u64,
    addr: SocketAddr,
    /// Hosts that may read its events at once.
    max_readers: usize,
}

impl Source {
    /// Whether not all hosts can read these events, so that readers forward them.
    fn is_forwarded(&self, site: &Site) -> bool {
        site.peers.count() > self.max_readers
    }

    /// Whether this host is to read these events.
    fn is_reader(&self, site: &Site) -> bool {
        !self.is_forwarded(site) || site.peers.ranks_within(self.key, READERS.min(self.max_readers))
    }
}

/// Follows the events of all engines and cache stores that this host is to read.
pub async fn run(site: Rc<Site>) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let Some(catalog) = site.catalog().filter(|_| site.has(Mechanism::CacheUpdates)) else {
            continue;
        };
        let services = catalog.services.values();
        let engines = services.filter_map(|s| match &s.role {
            Role::Engine(spec) => Some((s.name.clone(), spec.listeners as usize)),
            _ => None,
        });
        for (service, listeners) in engines {
            for upstream in site.fleet.service(&service) {
                let addr = upstream.entry.borrow().addr;
                let max_readers = listeners.saturating_sub(RESERVED_LISTENERS);
                let source = Source { key: upstream.key, addr, max_readers };
                if source.is_reader(&site) && !upstream.followed.replace(true) {
                    ntex::rt::spawn(follow_engine(site.clone(), upstream, source));
                    tokio::time::sleep(STAGGER).await;
                }
            }
        }
        for listed in catalog.cache_stores() {
            let store = site.stores.at(listed.addr);
            let max_readers = (listed.listeners as usize).saturating_sub(RESERVED_LISTENERS);
            let source = Source { key: store.key, addr: store.addr, max_readers };
            if source.is_reader(&site) && !store.followed.replace(true) {
                ntex::rt::spawn(follow_store(site.clone(), store, source));
            }
        }
    }
}

/// Applies cache updates that another host has forwarded, except for caches whose
/// events this host reads itself.
pub fn apply_updates(site: &Site, updates: &[CacheUpdate]) {
    let engines: HashMap<u64, Rc<Upstream>> = match updates.is_empty() {
        true => return,
        false => site.fleet.all().into_iter().map(|u| (u.key, u)).collect(),
    };
    for update in updates {
        let event = update.event();
        match (engines.get(&update.source), site.stores.get(update.source)) {
            (Some(engine), _) if !engine.followed.get() => {
                engine.cache_index.borrow_mut().apply_remote(update.epoch, &event);
            }
            (None, Some(store)) if !store.followed.get() => {
                store.cache_index.borrow_mut().apply_remote(update.epoch, &event);
            }
            _ => {}
        }
    }
}

/// Queues the events of `page` on large parts for the other hosts. `page` must not
/// have been applied to `part_index` yet.
fn forward(site: &Site, source: Source, part_index: &PartIndex, page: &Page) {
    if source.is_forwarded(site) {
        site.cache_updates.borrow_mut().add(
            source.key,
            page.epoch,
            &part_index.large_part_events(page),
            site.now(),
        );
    }
}

/// Reads the events of an engine until it ends or another host is to read them.
async fn follow_engine(site: Rc<Site>, upstream: Rc<Upstream>, source: Source) {
    let mut client = connect(&site, &upstream).await;
    while site.fleet.get(&upstream.life).is_some() && source.is_reader(&site) {
        if client.is_relayed() && !upstream.link.borrow().is_lost() {
            client = connect(&site, &upstream).await;
        }
        let since = upstream.cache_index.borrow().next();
        match read(&mut client, since).await {
            Ok(page) => {
                forward(&site, source, &upstream.cache_index.borrow(), &page);
                upstream.cache_index.borrow_mut().apply(&page);
            }
            Err(why) => {
                tracing::debug!(target: "cachefeed", upstream = %upstream.life, why, "failed to read cache events");
                tokio::time::sleep(RETRY_PAUSE).await;
                client = connect(&site, &upstream).await;
            }
        }
    }
    upstream.followed.set(false);
}

/// A client of `upstream`, connected if it can be reached.
async fn connect(site: &Site, upstream: &Upstream) -> HttpClient {
    let client = HttpClient::new(upstream.entry.borrow().addr);
    match reach::connect(site, upstream).await {
        Ok(conn) => client.with_conn(conn),
        Err(error) => {
            tracing::debug!(target: "cachefeed", upstream = %upstream.life, %error, "cannot connect");
            client
        }
    }
}

/// Reads the events of a cache store until another host is to read them. A store
/// that cannot be reached counts as empty, at all hosts, unless this host has lost
/// its links to engines too: these may still reach the store.
async fn follow_store(site: Rc<Site>, store: Rc<Store>, source: Source) {
    let addr = source.addr;
    let mut client = HttpClient::new(addr);
    let mut down = false;
    while source.is_reader(&site) {
        let since = store.cache_index.borrow().next();
        match read(&mut client, since).await {
            Ok(page) => {
                if std::mem::take(&mut down) {
                    tracing::info!(target: "cachefeed", %addr, "cache store reachable again");
                }
                forward(&site, source, &store.cache_index.borrow(), &page);
                if store.cache_index.borrow_mut().apply(&page) {
                    tracing::info!(target: "cachefeed", %addr, "cache store has lost its contents");
                }
            }
            Err(why) if !site.cut_off.borrow().is_empty() => {
                tracing::debug!(target: "cachefeed", %addr, why, "cut off from the cache store");
                tokio::time::sleep(RETRY_PAUSE).await;
                client = HttpClient::new(addr);
            }
            Err(why) => {
                // The contents cannot be used while the store is unreachable.
                store.cache_index.borrow_mut().clear();
                if !std::mem::replace(&mut down, true) {
                    site.cache_updates.borrow_mut().add_removed_cache(source.key, site.now());
                    tracing::warn!(target: "cachefeed", %addr, why, "cache store unreachable");
                }
                tokio::time::sleep(RETRY_PAUSE).await;
                client = HttpClient::new(addr);
            }
        }
    }
    store.followed.set(false);
}

/// Reads the events from `since` on; waits for new ones if there are none.
async fn read(client: &mut HttpClient, since: u64) -> Result<Page, String> {
    let wait = EVENTS_WAIT_MS.to_string();
    let limit = Duration::from_millis(EVENTS_WAIT_MS) + ANSWER_TIMEOUT;
    let call = engine::events(since);
    let reply =
        client.call(&call, &[(WAIT_HEADER, &wait)], limit).await.map_err(|e| e.to_string())?;
    match reply.status {
        200 => engine::parse_events(&reply.body).map_err(|e| e.to_string()),
        status => Err(format!("status {status}")),
    }
}
