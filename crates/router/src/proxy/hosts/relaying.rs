//! Which other hosts may relay connections to upstreams.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::seq::IndexedRandom;
use xxhash_rust::xxh3::xxh3_64;

use super::{Peer, Peers};
use crate::proxy::fleet::Upstream;

impl Peers {
    /// Whether the other host that other hosts reach at `addr` sends heartbeats and takes callers.
    pub fn is_open(&self, addr: SocketAddr) -> bool {
        let (now, peer_timeout) = (self.now.get(), self.peer_timeout());
        let known = self.known.borrow();
        let mut alive = known.values().filter(|p| p.is_alive(now, peer_timeout));
        alive.any(|p| p.open && p.record.peers == addr)
    }

    /// Up to `count` hosts that may relay a connection to `upstream`, drawn by their
    /// capacity: those that are not cut off from its service and do not report it
    /// unreachable. Those that could not relay recently come last, and before them those
    /// that are stopping.
    pub fn relays(&self, upstream: &Upstream, count: usize) -> Vec<SocketAddr> {
        let (now, peer_timeout) = (self.now.get(), self.peer_timeout());
        let service = service_key(upstream);
        let (known, failed) = (self.known.borrow(), self.failed_relays.borrow());
        let reaches = |p: &&Peer| {
            !p.lost_links.services.contains(&service) && !p.unreachable.contains(&upstream.key)
        };
        let mut ranks: BTreeMap<(bool, bool), Vec<&Peer>> = BTreeMap::new();
        for peer in known.values().filter(|p| p.is_alive(now, peer_timeout)).filter(reaches) {
            let rank = (failed.contains(peer.record.peers, service, now), !peer.open);
            ranks.entry(rank).or_default().push(peer);
        }
        let mut relays = Vec::new();
        for hosts in ranks.values() {
            relays.extend(draw(hosts, count - relays.len()));
        }
        relays
    }

    /// Records that `hosts` could not relay a connection to `upstream`.
    pub fn record_failed_relays(&self, upstream: &Upstream, hosts: Vec<SocketAddr>) {
        let (now, service) = (self.now.get(), service_key(upstream));
        let mut failed = self.failed_relays.borrow_mut();
        hosts.into_iter().for_each(|host| failed.record(host, service, now));
    }
}

/// Hash of the name of the service of `upstream`, as in heartbeats.
fn service_key(upstream: &Upstream) -> u64 {
    xxh3_64(upstream.entry.borrow().service.as_bytes())
}

/// Draws up to `count` of `hosts` by their capacity.
fn draw(hosts: &[&Peer], count: usize) -> Vec<SocketAddr> {
    let weight = |p: &&Peer| f64::from(p.control_capacity.0.max(1));
    let drawn = hosts.choose_multiple_weighted(&mut rand::rng(), count, weight);
    // Weights are positive, so an error means that there are no hosts.
    drawn.map(|drawn| drawn.map(|p| p.record.peers).collect()).unwrap_or_default()
}
