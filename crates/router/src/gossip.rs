//! Keeps the membership table: pings one other router a second.
//!
//! A router that failed a ping is pinged again on the next turn, so a dead
//! one is declared down within about two turns of the first miss, by
//! whichever router noticed first, and the news spreads with the pings.

use std::sync::Arc;
use std::time::Duration;

use marjoram_core::members::{Member, Status};
use rand::seq::IndexedRandom;

use crate::node::Node;
use crate::peer;
use crate::peer::wire::{Answer, Call, WireMember};

/// Pause between pings.
const EVERY: Duration = Duration::from_secs(1);
/// Longest wait for an answer to a ping.
const LIMIT: Duration = Duration::from_millis(500);

/// Pings other routers for ever.
pub async fn run(node: Arc<Node>) {
    let mut again: Option<String> = None;
    loop {
        ntex::time::sleep(EVERY).await;
        forget_unlisted(&node);
        if let Some(addr) = again.take().or_else(|| choose(&node)) {
            again = (!ping(&node, &addr).await).then_some(addr);
        }
        node.refresh_entries();
    }
}

/// Merges a ping's news and answers with ours.
pub fn answer(node: &Node, news: Vec<WireMember>) -> Vec<WireMember> {
    let mut members = node.members.lock().unwrap();
    members.merge(&decode(news));
    members.news().into_iter().map(WireMember::from).collect()
}

/// Says `status` of this router from now on, and tells one other at once.
pub async fn declare(node: &Node, status: Status) {
    node.members.lock().unwrap().set_status(status);
    node.refresh_entries();
    if let Some(addr) = choose(node) {
        ping(node, &addr).await;
    }
}

/// One exchange of news; whether `addr` answered or is known to be down.
async fn ping(node: &Node, addr: &str) -> bool {
    let news = node.members.lock().unwrap().news();
    let call = Call::Ping(news.into_iter().map(WireMember::from).collect());
    let result = peer::call(node, addr, &call, LIMIT).await;
    let mut members = node.members.lock().unwrap();
    match result {
        Ok(Answer::Pong(news)) => {
            members.merge(&decode(news));
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

fn decode(news: Vec<WireMember>) -> Vec<Member> {
    news.into_iter().filter_map(|wire| Member::try_from(wire).ok()).collect()
}

/// Another router of the host list, at random.
fn choose(node: &Node) -> Option<String> {
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
