//! How datagrams leave for other hosts: to each of a few, or to all through
//! some that pass them on.

use std::net::SocketAddr;
use std::time::Duration;

use marjoram_core::spread::{self, Host, Slice};
use tokio::net::UdpSocket;
use xxhash_rust::xxh3::xxh3_64;

use super::message::Message;
use super::{FANOUT, GONE, Hello, Peer, Peers, SILENCE};
use crate::proxy::traffic::Traffic;

/// Hosts told the same at once, and the shortest pause before the next few.
const CHUNK: usize = 16;
const CHUNK_PAUSE: Duration = Duration::from_millis(2);

/// What a message to all hosts took of the link.
#[derive(Debug, Clone, Copy, Default)]
pub struct Burst {
    /// Datagrams sent.
    pub datagrams: usize,
    /// Bytes of the largest.
    pub bytes: usize,
}

impl Peers {
    /// Sends the next few hosts a greeting.
    pub fn greet(&self, hello: Hello) {
        let Some(socket) = self.socket.borrow().clone() else { return };
        send(&socket, &self.traffic, &Message::Hello(Box::new(hello)), &self.targets(FANOUT));
    }

    /// Sends the host at `addr` `message`.
    pub fn send_to(&self, addr: SocketAddr, message: &Message) {
        let Some(socket) = self.socket.borrow().clone() else { return };
        send(&socket, &self.traffic, message, &[addr]);
    }

    /// Sends all hosts `message`, through a few of them where there are many.
    pub fn broadcast(&self, message: &Message) -> Burst {
        let Some(socket) = self.socket.borrow().clone() else { return Burst::default() };
        let hosts = self.present();
        let listed: Vec<Host> = hosts.iter().map(|(host, _)| *host).collect();
        let mut burst = Burst::default();
        for leg in spread::plan(&listed, rand::random()) {
            let to = [hosts[leg.to].1];
            let bytes = match leg.slice {
                None => send(&socket, &self.traffic, message, &to),
                Some(slice) => {
                    let passed = Message::PassOn(slice, Box::new(message.clone()));
                    send(&socket, &self.traffic, &passed, &to)
                }
            };
            burst.datagrams += 1;
            burst.bytes = burst.bytes.max(bytes);
        }
        burst
    }

    /// Sends `message` on to the hosts of `slice`, but for the one it is `from`.
    pub fn pass_on(&self, slice: Slice, message: &Message, from: SocketAddr) {
        let Some(socket) = self.socket.borrow().clone() else { return };
        let hosts = self.present().into_iter().filter(|(host, _)| slice.holds(host.name));
        let addrs: Vec<SocketAddr> =
            hosts.map(|(_, addr)| addr).filter(|addr| *addr != from).collect();
        send(&socket, &self.traffic, message, &addrs);
    }

    /// Sends every host itself what `message` makes, `times` times, a few hosts
    /// at a time and no faster than half of the link carries.
    pub fn spread(&self, times: u32, message: impl Fn() -> Message + 'static) {
        let all = self.known.borrow().values().map(|p| p.record.peers).collect();
        self.tell(all, times, message);
    }

    /// The same to the hosts at `addrs`.
    pub fn tell(
        &self,
        addrs: Vec<SocketAddr>,
        times: u32,
        message: impl Fn() -> Message + 'static,
    ) {
        let Some(socket) = self.socket.borrow().clone() else { return };
        let (traffic, link) = (self.traffic.clone(), self.link);
        ntex::rt::spawn(async move {
            for _ in 0..times {
                for some in addrs.chunks(CHUNK) {
                    let bytes = send(&socket, &traffic, &message(), some);
                    let pause = link.burst_pause(some.len(), bytes);
                    tokio::time::sleep(CHUNK_PAUSE.max(pause)).await;
                }
            }
        });
    }

    /// The other hosts that have not been gone for long.
    fn present(&self) -> Vec<(Host, SocketAddr)> {
        let (now, gone) = (self.now.get(), self.patience() * GONE);
        let lately = SILENCE.min(self.patience()).max(self.round() * 3 / 2);
        let known = self.known.borrow();
        let there = known.iter().filter(|(_, p)| now < p.heard.unwrap_or(p.entered) + gone);
        let host = |(name, p): (&String, &Peer)| {
            let host = Host { name: xxh3_64(name.as_bytes()), heard: p.is_heard(now, lately) };
            (host, p.record.peers)
        };
        there.map(host).collect()
    }
}

/// Sends `message` to each of `to`; the bytes of one datagram.
fn send(socket: &UdpSocket, traffic: &Traffic, message: &Message, to: &[SocketAddr]) -> usize {
    let bytes = match bincode::serde::encode_to_vec(message, bincode::config::standard()) {
        Ok(bytes) => bytes,
        Err(error) => {
            tracing::warn!(target: "peers", %error, "datagram not encoded");
            return 0;
        }
    };
    for addr in to {
        // A datagram that cannot be sent now is lost like any other.
        let sent = socket.try_send_to(&bytes, *addr);
        traffic.datagram(bytes.len(), sent.is_ok());
        if let Err(error) = sent {
            tracing::debug!(target: "peers", %addr, %error, "datagram not sent");
        }
    }
    bytes.len()
}
