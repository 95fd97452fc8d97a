//! Greets the other hosts, and takes in what they say.
//!
//! Datagrams with `bincode`: each says everything again a moment later, so a
//! lost one needs no repair, and a host that has gone costs its peers
//! nothing. (An `h2` stream to each of eight peers costs a connection's
//! memory and several system calls a message; nothing here needs order or
//! delivery.) Nothing here is agreed on: a wrong view costs a caller one detour
//! or a request a worse place.

mod greeting;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use marjoram_core::switches::Mechanism;
use tokio::net::UdpSocket;

use super::fleet::Upstream;
use super::hosts::{Message, PERIOD};
use super::site::Site;
use super::{cachefeed, notices, poison, quota, warm};
pub use greeting::greet;
use greeting::take_ages;

/// Times each peer is told of an event: a datagram may be lost.
const SENDS: u32 = 2;

/// Largest datagram.
const DATAGRAM: usize = 16 << 10;

/// Greets the other hosts and listens to them until the process ends.
pub async fn run(site: Rc<Site>) {
    let addr = site.peers.record.peers;
    let socket = match UdpSocket::bind(addr).await {
        Ok(socket) => Rc::new(socket),
        Err(error) => {
            tracing::error!(target: "peers", %addr, %error, "no socket between hosts");
            return;
        }
    };
    site.peers.open_socket(socket.clone());
    ntex::rt::spawn(listen(site.clone(), socket));
    loop {
        site.peers.now.set(site.now());
        site.judge_store();
        greet(&site);
        share_loads(&site);
        tokio::time::sleep(PERIOD).await;
    }
}

fn share_loads(site: &Site) {
    let sums = match site.has(Mechanism::Loads) {
        true => site.peers.loads(),
        false => HashMap::new(),
    };
    for upstream in site.fleet.all() {
        upstream.others.set(sums.get(&upstream.key).copied().unwrap_or_default());
    }
}

async fn listen(site: Rc<Site>, socket: Rc<UdpSocket>) {
    let mut buf = vec![0u8; DATAGRAM];
    loop {
        let Ok((len, from)) = socket.recv_from(&mut buf).await else {
            // A reset from a port without a listener: that peer is down.
            tokio::task::yield_now().await;
            continue;
        };
        let config = bincode::config::standard();
        match bincode::serde::decode_from_slice::<Message, _>(&buf[..len], config) {
            Ok((Message::PassOn(slice, message), _)) => {
                site.peers.pass_on(slice, &message, from);
                hear(&site, *message, from);
            }
            Ok((message, _)) => hear(&site, message, from),
            Err(error) => tracing::warn!(target: "peers", %from, %error, "datagram not understood"),
        }
    }
}

/// Takes in what the host at `from` says or passes on.
fn hear(site: &Rc<Site>, message: Message, from: SocketAddr) {
    match message {
        Message::Hello(mut hello) => {
            let told = site.has(Mechanism::Doubts);
            let doubts = |u: &Rc<Upstream>| told && hello.doubts.contains(&u.key);
            site.fleet.all().iter().filter(|u| doubts(u)).for_each(|u| u.heard_doubt(site.now()));
            take_ages(site, &hello.named);
            cachefeed::hear(site, &hello.news);
            warm::compare(site, from, &hello.extent);
            poison::hear_quarantined(site, std::mem::take(&mut hello.quarantine));
            site.peers.hear(*hello, site.now());
        }
        Message::Notices(told) => notices::take(site, &told),
        Message::Relay(relay) => {
            notices::take_weights(site, &relay.weights);
            site.relays.hear(relay, site.now());
        }
        Message::Crashes(reports) => poison::hear_reports(site, &reports),
        Message::Quarantine(entries) => poison::hear_quarantined(site, entries),
        Message::Usages(sender, usages) => quota::hear_usages(site, sender, &usages, from),
        Message::Verdicts(account, verdicts) => quota::hear_verdicts(site, account, &verdicts),
        // A message is passed on once.
        Message::PassOn(..) => {}
    }
}
