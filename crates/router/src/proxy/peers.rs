//! Exchanges heartbeats and other messages with the other hosts.
//!
//! Messages are `bincode` datagrams. The next heartbeat repeats everything a
//! moment later, so a lost one needs no retransmission, and a host that is gone
//! costs its peers nothing. (An `h2` stream to each of eight peers would cost a
//! connection's memory and several system calls per message, and nothing here
//! needs order or delivery.) None of this state is agreed on between hosts: an
//! incorrect view costs a caller one detour, or sends a request to a less
//! suitable engine.

mod heartbeat;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use marjoram_core::switches::Mechanism;
use tokio::net::UdpSocket;

use super::fleet::Upstream;
use super::hosts::{Message, PERIOD};
use super::leadership::handover;
use super::site::Site;
use super::{
    announced, backlog, brittle, cachefeed, notices, poison, quota, rate_limits, slot_leases,
    state_transfer,
};
use crate::clock;
use heartbeat::apply_announcement_ages;
pub use heartbeat::send_heartbeats;

/// Number of times each peer is sent an event, since a datagram may be lost.
const EVENT_SENDS: u32 = 2;

/// Largest datagram, in bytes.
const MAX_DATAGRAM: usize = 16 << 10;

/// Sends heartbeats and receives messages until the process ends.
pub async fn run(site: Rc<Site>) {
    let addr = site.peers.record.peers;
    let socket = match UdpSocket::bind(addr).await {
        Ok(socket) => Rc::new(socket),
        Err(error) => {
            tracing::error!(target: "peers", %addr, %error,
                "cannot bind the socket for messages between hosts");
            return;
        }
    };
    site.peers.open_socket(socket.clone());
    ntex::rt::spawn(listen(site.clone(), socket));
    loop {
        site.peers.now.set(site.now());
        site.update_store_availability();
        announced::update_ages(&site);
        send_heartbeats(&site);
        update_remote_loads(&site);
        tokio::time::sleep(PERIOD).await;
    }
}

fn update_remote_loads(site: &Site) {
    let sums = match site.has(Mechanism::Loads) {
        true => site.peers.loads(),
        false => HashMap::new(),
    };
    for upstream in site.fleet.all() {
        upstream.remote_load.set(sums.get(&upstream.key).copied().unwrap_or_default());
    }
}

async fn listen(site: Rc<Site>, socket: Rc<UdpSocket>) {
    let mut buf = vec![0u8; MAX_DATAGRAM];
    loop {
        let Ok((len, from)) = socket.recv_from(&mut buf).await else {
            // An error reported for a port without a listener: that peer is down.
            tokio::task::yield_now().await;
            continue;
        };
        let config = bincode::config::standard();
        match bincode::serde::decode_from_slice::<Message, _>(&buf[..len], config) {
            Ok((Message::Forward(slice, message), _)) => {
                site.peers.pass_on(slice, &message, from);
                handle(&site, *message, from);
            }
            Ok((message, _)) => handle(&site, message, from),
            Err(error) => tracing::warn!(target: "peers", %from, %error, "cannot decode datagram"),
        }
    }
}

/// Processes a message that the host at `from` sent or forwarded.
fn handle(site: &Rc<Site>, message: Message, from: SocketAddr) {
    match message {
        Message::Heartbeat(mut heartbeat) => {
            let enabled = site.has(Mechanism::UnreachableReports);
            let is_reported = |u: &Rc<Upstream>| enabled && heartbeat.unreachable.contains(&u.key);
            site.fleet
                .all()
                .iter()
                .filter(|u| is_reported(u))
                .for_each(|u| u.note_unreachable_report(&heartbeat.name, site.now()));
            apply_announcement_ages(site, &heartbeat.announcement_ages);
            cachefeed::apply_updates(site, &heartbeat.news);
            state_transfer::compare(site, from, &heartbeat.versions);
            brittle::apply_reported(site, &heartbeat.brittle);
            poison::handle_quarantine_entries(site, std::mem::take(&mut heartbeat.quarantine));
            site.peers.receive_heartbeat(*heartbeat, site.now());
        }
        Message::Notices(notices) => notices::receive(site, &notices),
        Message::Relay(relay) => {
            notices::apply_weights(site, &relay.weights);
            site.relays.receive(relay, site.now());
        }
        Message::Crashes(reports) => poison::handle_crash_reports(site, &reports),
        Message::PartCrashes(reports) => poison::handle_part_crashes(site, &reports),
        Message::PartQuery(parts) => poison::handle_part_query(site, &parts, from),
        Message::PartCompletions(completions) => {
            poison::handle_part_completions(site, &completions)
        }
        Message::Quarantine(entries) => poison::handle_quarantine_entries(site, entries),
        Message::Usages(sender, usages) => quota::handle_usages(site, sender, &usages, from),
        Message::Allocations(coordinator, allocations) => {
            quota::apply_allocations(site, coordinator, &allocations)
        }
        Message::LimitReports(sender, reports) => {
            rate_limits::handle_reports(site, sender, &reports, from)
        }
        Message::LimitAnswers(coordinator, answers) => {
            rate_limits::handle_answers(site, coordinator, &answers, from)
        }
        Message::BrittleServices(statements) => brittle::apply_reported(site, &statements),
        Message::SlotReport(sender, report) => slot_leases::handle_report(site, sender, &report),
        Message::SlotGrant(coordinator, grant) => {
            slot_leases::apply_grant(site, coordinator, grant)
        }
        Message::BacklogQuery { id, query } => backlog::handle_query(site, id, &query, from),
        Message::BacklogAnswer { id, answer } => site.backlog.complete(id, answer),
        Message::LeaderQuery(token) => handover::handle_query(site, token, from),
        Message::LeaderAnswer { token, idle_ms } => {
            site.handover.record_answer(from, token, Duration::from_millis(idle_ms), clock::now())
        }
        Message::Claim(sender, report) => backlog::handle_claim(site, sender, &report),
        // A message is forwarded only once.
        Message::Forward(..) => {}
    }
}
