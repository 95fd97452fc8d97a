//! Sends datagrams to other hosts: directly to a few, or to all through some
//! hosts that forward them.

use std::net::SocketAddr;
use std::time::Duration;

use marjoram_core::broadcast::{self, Host, Slice};
use tokio::net::UdpSocket;

use super::message::Message;
use super::{FANOUT, GONE_FACTOR, Heartbeat, MIN_PEER_TIMEOUT, Peer, Peers};
use crate::proxy::traffic::Traffic;

/// Hosts that are sent a message at once, and the shortest pause before the next
/// chunk.
const CHUNK: usize = 16;
const CHUNK_PAUSE: Duration = Duration::from_millis(2);

/// What a message to all hosts used of the link.
#[derive(Debug, Clone, Copy, Default)]
pub struct Burst {
    /// Number of datagrams sent.
    pub datagrams: usize,
    /// Size of the largest datagram.
    pub bytes: usize,
}

impl Peers {
    /// Sends a heartbeat to the next few hosts.
    pub fn send_heartbeat(&self, heartbeat: Heartbeat) {
        let Some(socket) = self.socket.borrow().clone() else { return };
        send(
            &socket,
            &self.traffic,
            &Message::Heartbeat(Box::new(heartbeat)),
            &self.targets(FANOUT),
        );
    }

    /// Sends `message` to the host at `addr`.
    pub fn send_to(&self, addr: SocketAddr, message: &Message) {
        let Some(socket) = self.socket.borrow().clone() else { return };
        send(&socket, &self.traffic, message, &[addr]);
    }

    /// Sends `message` to all hosts. Where there are many, a few of them forward
    /// it.
    pub fn broadcast(&self, message: &Message) -> Burst {
        let Some(socket) = self.socket.borrow().clone() else { return Burst::default() };
        let hosts = self.present_hosts();
        let listed: Vec<Host> = hosts.iter().map(|(host, _)| *host).collect();
        let mut burst = Burst::default();
        for target in broadcast::plan(&listed, rand::random()) {
            let to = [hosts[target.to].1];
            let bytes = match target.slice {
                None => send(&socket, &self.traffic, message, &to),
                Some(slice) => {
                    let forward = Message::Forward(slice, Box::new(message.clone()));
                    send(&socket, &self.traffic, &forward, &to)
                }
            };
            burst.datagrams += 1;
            burst.bytes = burst.bytes.max(bytes);
        }
        burst
    }

    /// Forwards `message` to the hosts of `slice`, except the one that it came
    /// `from`.
    pub fn pass_on(&self, slice: Slice, message: &Message, from: SocketAddr) {
        let Some(socket) = self.socket.borrow().clone() else { return };
        let hosts = self.present_hosts().into_iter().filter(|(host, _)| slice.contains(host.name));
        let addrs: Vec<SocketAddr> =
            hosts.map(|(_, addr)| addr).filter(|addr| *addr != from).collect();
        send(&socket, &self.traffic, message, &addrs);
    }

    /// The addresses of all other hosts, also of those that send no heartbeats.
    pub fn addrs(&self) -> Vec<SocketAddr> {
        self.known.borrow().values().map(|p| p.record.peers).collect()
    }

    /// Sends every host the result of `message`, directly, `times` times, a few
    /// hosts at a time and using at most half of the link. `message` is called
    /// anew for each chunk.
    pub fn send_to_all(&self, times: u32, message: impl Fn() -> Message + 'static) {
        self.send_chunked(self.addrs(), times, message);
    }

    /// Does the same as `send_to_all` for the hosts at `addrs`.
    pub fn send_chunked(
        &self,
        addrs: Vec<SocketAddr>,
        times: u32,
        message: impl Fn() -> Message + 'static,
    ) {
        let Some(socket) = self.socket.borrow().clone() else { return };
        let (traffic, link) = (self.traffic.clone(), self.link);
        ntex::rt::spawn(async move {
            for _ in 0..times {
                for chunk in addrs.chunks(CHUNK) {
                    let bytes = send(&socket, &traffic, &message(), chunk);
                    let pause = link.burst_pause(chunk.len(), bytes);
                    tokio::time::sleep(CHUNK_PAUSE.max(pause)).await;
                }
            }
        });
    }

    /// The other hosts that have not been gone for long.
    pub(super) fn present_hosts(&self) -> Vec<(Host, SocketAddr)> {
        let (now, gone) = (self.now.get(), self.peer_timeout() * GONE_FACTOR);
        let recent_timeout =
            MIN_PEER_TIMEOUT.min(self.peer_timeout()).max(self.heartbeat_round() * 3 / 2);
        let known = self.known.borrow();
        let present = known.values().filter(|p| now < p.last_heartbeat.unwrap_or(p.added) + gone);
        let host = |p: &Peer| {
            let host = Host { name: p.key, alive: p.is_alive(now, recent_timeout) };
            (host, p.record.peers)
        };
        present.map(host).collect()
    }
}

/// Sends `message` to each of `to`. Returns the size of one datagram in bytes.
fn send(socket: &UdpSocket, traffic: &Traffic, message: &Message, to: &[SocketAddr]) -> usize {
    let bytes = match bincode::serde::encode_to_vec(message, bincode::config::standard()) {
        Ok(bytes) => bytes,
        Err(error) => {
            tracing::warn!(target: "peers", %error, "cannot encode datagram");
            return 0;
        }
    };
    for addr in to {
        // A datagram that cannot be sent now is treated as lost.
        let sent = socket.try_send_to(&bytes, *addr);
        traffic.datagram(bytes.len(), sent.is_ok());
        if let Err(error) = sent {
            tracing::debug!(target: "peers", %addr, %error, "cannot send datagram");
        }
    }
    bytes.len()
}
