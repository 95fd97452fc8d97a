//! Which other hosts may relay connections to upstreams.

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
    /// unreachable. Those that take callers come before those that are stopping.
    pub fn relays(&self, upstream: &Upstream, count: usize) -> Vec<SocketAddr> {
        let (now, peer_timeout) = (self.now.get(), self.peer_timeout());
        let service = xxh3_64(upstream.entry.borrow().service.as_bytes());
        let known = self.known.borrow();
        let reaches = |p: &&Peer| {
            !p.lost_links.services.contains(&service) && !p.unreachable.contains(&upstream.key)
        };
        let alive = known.values().filter(|p| p.is_alive(now, peer_timeout));
        let (open, stopping): (Vec<&Peer>, Vec<&Peer>) =
            alive.filter(reaches).partition(|p| p.open);
        let mut relays = draw(&open, count);
        relays.extend(draw(&stopping, count - relays.len()));
        relays
    }
}

/// Draws up to `count` of `hosts` by their capacity.
fn draw(hosts: &[&Peer], count: usize) -> Vec<SocketAddr> {
    let weight = |p: &&Peer| f64::from(p.control_capacity.0.max(1));
    let drawn = hosts.choose_multiple_weighted(&mut rand::rng(), count, weight);
    // Weights are positive, so an error means that there are no hosts.
    drawn.map(|drawn| drawn.map(|p| p.record.peers).collect()).unwrap_or_default()
}
