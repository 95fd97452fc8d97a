//! Asks other hosts for the limits in force when this host starts. Without that, a host that
//! has restarted would send without a limit until the upstream answers.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::{FIRST_GROUP, GROUPS};
use crate::proxy::brittle;
use crate::proxy::fleet::Upstream;
use crate::proxy::hosts::{LimitAnswer, Message};
use crate::proxy::quota::{MAX_BATCH, coordinators, sender};
use crate::proxy::site::Site;

/// How often hosts that have not answered are asked again, and when: datagrams can be lost.
const QUERIES: u32 = 4;
const QUERY_INTERVAL: Duration = Duration::from_millis(50);

/// How long services are probed if no host has answered: longer than most requests run.
const PROBE_SPAN: Duration = Duration::from_millis(500);

/// Hosts that are asked besides the coordinators of limits.
const QUERIED_HOSTS: usize = 8;

/// Asks other hosts for the limits in force once this host knows them.
pub async fn learn(site: Rc<Site>) {
    site.startup_reads.wait().await;
    let query = &site.startup_query;
    let queried: HashSet<SocketAddr> = queried_hosts(&site).into_iter().collect();
    let asked = queried.len();
    query.begin(queried);
    for _ in 0..QUERIES {
        let unanswered = query.unanswered();
        if unanswered.is_empty() {
            break;
        }
        for addr in unanswered {
            site.peers.send_to(addr, &Message::LimitReports(sender(&site), Vec::new()));
        }
        let _ = tokio::time::timeout(QUERY_INTERVAL, query.ended()).await;
    }
    let unanswered = query.unanswered().len();
    tracing::info!(target: "conditions", unanswered, "asked other hosts for the limits in force");
    if unanswered > 0 && unanswered == asked {
        query.begin_probing(site.now() + PROBE_SPAN);
    }
    query.end();
}

/// The coordinators of limits, and some other hosts in case this host does not know all yet.
fn queried_hosts(site: &Site) -> Vec<SocketAddr> {
    let groups = (0..GROUPS).flat_map(|group| coordinators(site, FIRST_GROUP + group));
    let others = site.peers.first_ranked(rand::random(), QUERIED_HOSTS);
    groups.flatten().chain(others).collect()
}

/// Waits, for at most `limit`, until this host knows the limits in force.
pub async fn wait_until_learned(site: &Site, limit: Duration) {
    let query = &site.startup_query;
    if !query.has_ended() {
        let _ = tokio::time::timeout(limit, query.ended()).await;
    }
}

/// Answers the query of the host at `from`. A host that has just started itself does not answer.
pub fn answer_query(site: &Site, from: SocketAddr) {
    if !site.startup_query.has_ended() || site.startup_query.is_probing(site.now()) {
        return;
    }
    let brittle = brittle::reported_statements(site);
    if !brittle.is_empty() {
        // Sent first: the answer below ends the wait of a host that asks.
        site.peers.send_to(from, &Message::BrittleServices(brittle));
    }
    let (own, limits) = (sender(site).host, limits_in_force(site));
    if limits.is_empty() {
        site.peers.send_to(from, &Message::LimitAnswers(own, Vec::new()));
    }
    for chunk in limits.chunks(MAX_BATCH) {
        site.peers.send_to(from, &Message::LimitAnswers(own, chunk.to_vec()));
    }
}

/// The limits in force of all listed upstreams.
fn limits_in_force(site: &Site) -> Vec<LimitAnswer> {
    let upstreams = site.fleet.all();
    let stated = |upstream: &Rc<Upstream>| {
        let stated = upstream.conditions.borrow().reported_limit(Duration::ZERO, site.now())?;
        Some(LimitAnswer { upstream: upstream.key, stated, allocation: None })
    };
    upstreams.iter().filter_map(stated).collect()
}

/// Records that the host at `from` has answered; an answer to a report counts as well.
pub fn record_answer(site: &Site, from: SocketAddr) {
    site.startup_query.record_answer(from);
}
