//! Reading what engines and the cache store keep from their events.
//!
//! An engine lets only so many callers wait for events at once. Where there
//! are more hosts than that, the ones that rank first for an engine by
//! hashing read its events, and the others go by the homes of parts alone.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use marjoram_core::catalog::Role;
use marjoram_core::holdings::Page;
use marjoram_platform::engine::{self, EVENTS_WAIT_MS, WAIT_HEADER};
use xxhash_rust::xxh3::xxh3_64;

use super::fleet::Upstream;
use super::site::Site;
use super::storeclient::Caller;

/// Time between looks for engines that are not followed yet.
const LOOK: Duration = Duration::from_millis(500);

/// Time between the first reads of two engines. Each brings all events that
/// the engine still has, thousands of them, while a host that has just
/// started has callers waiting.
const STAGGER: Duration = Duration::from_millis(60);

/// Time for an answer beyond the wait asked for.
const ANSWER: Duration = Duration::from_millis(700);

/// Pause after a call that failed.
const PAUSE: Duration = Duration::from_millis(700);

/// Places among an engine's listeners that are left for hosts that restart.
const SPARE: usize = 2;

/// Hosts that read the cache store's events.
const STORE_LISTENERS: usize = 10;

/// Follows all engines and the store of prompt caches.
pub async fn run(site: Rc<Site>) {
    let mut store = None;
    loop {
        tokio::time::sleep(LOOK).await;
        let Some(catalog) = site.catalog() else { continue };
        let services = catalog.services.values();
        let engines = services.filter_map(|s| match &s.role {
            Role::Engine(spec) => Some((s.name.clone(), spec.listeners as usize)),
            _ => None,
        });
        for (service, listeners) in engines {
            for upstream in site.fleet.service(&service) {
                let due = site.peers.ranks_within(upstream.key, listeners.saturating_sub(SPARE));
                if due && !upstream.followed.replace(true) {
                    ntex::rt::spawn(follow_engine(site.clone(), upstream));
                    tokio::time::sleep(STAGGER).await;
                }
            }
        }
        let reads = |addr: &SocketAddr| {
            site.peers.ranks_within(xxh3_64(addr.to_string().as_bytes()), STORE_LISTENERS)
        };
        match (store, catalog.cache_store()) {
            (None, Some(keeper)) if reads(&keeper.addr) => {
                store = Some(keeper.addr);
                ntex::rt::spawn(follow_store(site.clone(), keeper.addr));
            }
            _ => {}
        }
    }
}

async fn follow_engine(site: Rc<Site>, upstream: Rc<Upstream>) {
    let addr = upstream.entry.borrow().addr;
    let mut caller = Caller::new(addr);
    loop {
        if site.fleet.get(&upstream.id).is_none() {
            return;
        }
        let since = upstream.kept.borrow().next();
        match read(&mut caller, since).await {
            Ok(page) => drop(upstream.kept.borrow_mut().apply(&page)),
            Err(why) => {
                tracing::debug!(target: "cachefeed", upstream = %upstream.id, why, "events not read");
                tokio::time::sleep(PAUSE).await;
                caller = Caller::new(addr);
            }
        }
    }
}

async fn follow_store(site: Rc<Site>, addr: SocketAddr) {
    let mut caller = Caller::new(addr);
    let mut down = false;
    loop {
        let since = site.kept.borrow().next();
        match read(&mut caller, since).await {
            Ok(page) => {
                if std::mem::take(&mut down) {
                    tracing::info!(target: "cachefeed", %addr, "cache store regained");
                }
                if site.kept.borrow_mut().apply(&page) {
                    tracing::info!(target: "cachefeed", %addr, "cache store returned empty");
                }
            }
            Err(why) => {
                // What a store that cannot be reached keeps is of no use.
                site.kept.borrow_mut().clear();
                if !std::mem::replace(&mut down, true) {
                    tracing::warn!(target: "cachefeed", %addr, why, "cache store lost");
                }
                tokio::time::sleep(PAUSE).await;
                caller = Caller::new(addr);
            }
        }
    }
}

async fn read(caller: &mut Caller, since: u64) -> Result<Page, String> {
    let wait = EVENTS_WAIT_MS.to_string();
    let limit = Duration::from_millis(EVENTS_WAIT_MS) + ANSWER;
    let call = engine::events(since);
    let reply =
        caller.call(&call, &[(WAIT_HEADER, &wait)], limit).await.map_err(|e| e.to_string())?;
    match reply.status {
        200 => engine::parse_events(&reply.body).map_err(|e| e.to_string()),
        status => Err(format!("status {status}")),
    }
}
