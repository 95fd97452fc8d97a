//! Fetches what another host knows while this one cannot read the store.
//!
//! A host that starts while the store is unavailable, or that the store rejects,
//! sees in the others' heartbeats that they have a newer configuration or newer
//! weights, and fetches their knowledge. The store remains the source of truth:
//! its records are newer or the same, and versions only increase, so applying
//! something twice or late does no harm.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use marjoram_core::catalog::Catalog;
use marjoram_core::poison::Quarantined;
use marjoram_core::upstream::Entry;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;

use super::follow;
use super::hosts::{HostRecord, StateVersions};
use super::peer_limits::GivenUp;
use super::poison;
use super::site::Site;
use crate::control_connects::CONTROL_CONNECTS;
use crate::link;
use crate::tunnel::{self, Answer, Connected};

/// How long a difference must last before it is fetched: in steady state, all
/// hosts read the store within a few milliseconds of each other.
const FETCH_DELAY: Duration = Duration::from_millis(300);

/// Time that a stopping host must have left to serve another tunnel.
const MIN_TIME_LEFT: Duration = Duration::from_secs(2);

/// Time limit for another host's answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// What a host knows, as sent to hosts that ask.
#[derive(Debug, Serialize, Deserialize)]
struct Knowledge {
    catalog: Option<Catalog>,
    /// Newest announced weights version by model.
    weights: Vec<(String, u64)>,
    upstreams: Vec<Entry>,
    hosts: Vec<(String, HostRecord)>,
    /// Quarantined requests.
    quarantine: Vec<Quarantined>,
}

/// Serves other hosts' connections: their requests for what this host knows, and the
/// tunnels that they open.
pub async fn serve(site: Rc<Site>, listener: TcpListener) {
    let knowledge = knowledge(site.clone());
    let port = site.peer_limits.hosts.clone();
    let reporter = site.clone();
    let report = move |why| reporter.report_given_up(GivenUp::Host, why);
    let tunnel = move |stream| {
        let site = site.clone();
        async move {
            let connect = async |key| relay(&site, key).await;
            tunnel::serve(&site.tunnels, stream, connect).await
        }
    };
    link::serve(listener, port, report, knowledge, tunnel).await;
}

/// Connects to the upstream with the key `key` for another host.
async fn relay(site: &Site, key: u64) -> Connected {
    let upstream = site.fleet.by_key(key).filter(|u| !u.link.borrow().is_lost());
    let stopping = site.stopping.get();
    let may_serve = stopping.is_none_or(|stop| stop.accepts(site.now(), MIN_TIME_LEFT))
        && !site.tunnels.is_full();
    let connected = match upstream.filter(|_| may_serve) {
        Some(upstream) => {
            let addr = upstream.entry.borrow().addr;
            tunnel::connect(addr, || site.fleet.others(&upstream, CONTROL_CONNECTS)).await
        }
        None => (Answer::Unavailable, None),
    };
    site.counters.count(match connected.0 {
        Answer::Connected => "tunnel.served",
        Answer::Refused | Answer::TimedOut => "tunnel.upstream_failed",
        Answer::Unavailable => "tunnel.unavailable",
    });
    connected
}

/// Encodes what this host knows, for each request.
fn knowledge(site: Rc<Site>) -> impl Fn(&[u8]) -> Result<Vec<u8>, String> + Clone + 'static {
    move |_: &[u8]| {
        let announced = site.announced_weights.borrow();
        let newest = announced.iter().filter_map(|(m, v)| Some((m.clone(), v.newest()?)));
        let knowledge = Knowledge {
            catalog: site.catalog().map(|c| (*c).clone()),
            weights: newest.collect(),
            upstreams: site.registry.borrow().entries().cloned().collect(),
            hosts: site.peers.records(),
            quarantine: site.poison.entries(),
        };
        bincode::serde::encode_to_vec(&knowledge, bincode::config::standard())
            .map_err(|e| e.to_string())
    }
}

/// Versions of what this host knows, for heartbeats.
pub fn versions(site: &Site) -> StateVersions {
    StateVersions {
        config: site.catalog.load().as_ref().map_or(0, |c| c.version),
        weights: site.announced_weights.borrow().values().filter_map(|n| n.newest()).sum(),
        entries: site.poison.quarantine_version(),
    }
}

/// Compares the versions reported by the host at `from` with this host's, and
/// fetches its knowledge if this host has lacked some for long enough.
pub fn compare(site: &Rc<Site>, from: SocketAddr, remote: &StateVersions) {
    let (own, now) = (versions(site), site.now());
    let is_up_to_date = remote.config <= own.config
        && remote.weights <= own.weights
        && remote.entries <= own.entries;
    match site.outdated_since.get() {
        _ if is_up_to_date => {}
        Some(since) if now < since + FETCH_DELAY => {}
        // The next fetch is possible only after the same delay again, whether or
        // not this one succeeds.
        Some(since) if now < since + FETCH_DELAY * 2 => {
            site.outdated_since.set(None);
            ntex::rt::spawn(fetch(site.clone(), from));
        }
        _ => site.outdated_since.set(Some(now)),
    }
}

async fn fetch(site: Rc<Site>, from: SocketAddr) {
    let asked = async {
        let sender = link::connect(from).await?;
        link::call(sender, from, Bytes::new()).await
    };
    let answer = match tokio::time::timeout(ANSWER_TIMEOUT, asked).await {
        Ok(answer) => answer,
        Err(_) => Err(format!("no answer in {} ms", ANSWER_TIMEOUT.as_millis())),
    };
    let decoded = answer.and_then(|bytes| {
        bincode::serde::decode_from_slice::<Knowledge, _>(&bytes, bincode::config::standard())
            .map(|(knowledge, _)| knowledge)
            .map_err(|e| e.to_string())
    });
    match decoded {
        Ok(knowledge) => apply(&site, from, knowledge),
        Err(why) => tracing::warn!(target: "warm", %from, why, "cannot fetch another host's state"),
    }
}

fn apply(site: &Site, from: SocketAddr, knowledge: Knowledge) {
    tracing::info!(target: "warm", %from, upstreams = knowledge.upstreams.len(),
        hosts = knowledge.hosts.len(), "applied state fetched from another host");
    let source = from.to_string();
    if let Some(catalog) = knowledge.catalog {
        follow::apply_configuration(site, catalog, &source);
    }
    for (model, version) in knowledge.weights {
        follow::apply_announced_weights(site, &model, version, false, &source);
    }
    poison::add_quarantine_entries(site, knowledge.quarantine, &source);
    site.end_startup_reads();
    // Once this host has listed the upstreams in the store, its own records are
    // newer.
    if !site.listed.get() {
        for entry in knowledge.upstreams {
            let id = entry.life.id.clone();
            let change = site.registry.borrow_mut().apply(entry, site.now());
            follow::upstream_changed(site, &id, &change);
        }
        for (name, record) in knowledge.hosts {
            site.peers.apply_record(&name, Some(record));
        }
        site.listed.set(true);
    }
}
