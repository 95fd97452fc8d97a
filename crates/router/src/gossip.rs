//! Maintains the membership table: pings one other router per second.
//!
//! A router that failed a ping is pinged again in the next round. A dead one is
//! therefore declared down within about two rounds of the first miss, by whichever
//! router detected it first, and the update spreads with the pings.

use std::sync::Arc;
use std::time::Duration;

use marjoram_core::members::{Member, Status};
use rand::seq::IndexedRandom;

use crate::node::Node;
use crate::peer;
use crate::peer::wire::{Answer, Call, WireMember};

/// Interval between pings.
const PING_INTERVAL: Duration = Duration::from_secs(1);
/// Time-out of the answer to a ping.
const PING_TIMEOUT: Duration = Duration::from_millis(500);

/// Pings other routers forever.
pub async fn run(node: Arc<Node>) {
    let mut retry: Option<String> = None;
    loop {
        ntex::time::sleep(PING_INTERVAL).await;
        forget_unlisted(&node);
        if let Some(addr) = retry.take().or_else(|| random_router(&node)) {
            retry = (!ping(&node, &addr).await).then_some(addr);
        }
        node.refresh_entries();
    }
}

/// Merges the membership updates of a received ping and returns this router's updates.
pub fn answer(node: &Node, updates: Vec<WireMember>) -> Vec<WireMember> {
    let mut members = node.members.lock().unwrap();
    members.merge(&decode(updates));
    members.outgoing_updates().into_iter().map(WireMember::from).collect()
}

/// Sets this router's status to `status` and pings one other router at once, to spread it.
pub async fn announce_status(node: &Node, status: Status) {
    node.members.lock().unwrap().set_status(status);
    node.refresh_entries();
    if let Some(addr) = random_router(node) {
        ping(node, &addr).await;
    }
}

/// Exchanges membership updates with `addr`; returns whether it answered or is known to
/// be down.
async fn ping(node: &Node, addr: &str) -> bool {
    let updates = node.members.lock().unwrap().outgoing_updates();
    let call = Call::Ping(updates.into_iter().map(WireMember::from).collect());
    let result = peer::call(node, addr, &call, PING_TIMEOUT).await;
    let mut members = node.members.lock().unwrap();
    match result {
        Ok(Answer::Pong(updates)) => {
            members.merge(&decode(updates));
            members.answered(addr);
            true
        }
        Ok(_) => true,
        Err(error) => {
            let down = members.missed(addr);
            if down {
                tracing::warn!(target: "gossip", "gossip: router {addr} is down: {error}.");
            }
            down || members.status(addr) == Some(Status::Down)
        }
    }
}

fn decode(updates: Vec<WireMember>) -> Vec<Member> {
    updates.into_iter().filter_map(|wire| Member::try_from(wire).ok()).collect()
}

/// A random other router of the host list.
fn random_router(node: &Node) -> Option<String> {
    let pool = node.pool.load();
    let me = &node.settings.advertise;
    let others: Vec<&str> =
        pool.routers.iter().map(|r| r.addr.as_str()).filter(|addr| addr != me).collect();
    others.choose(&mut rand::rng()).map(|addr| addr.to_string())
}

fn forget_unlisted(node: &Node) {
    let pool = node.pool.load();
    let listed = |addr: &str| pool.routers.iter().any(|r| r.addr == addr);
    node.members.lock().unwrap().retain(listed);
}
