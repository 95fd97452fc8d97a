//! Asks the other hosts when they last sent an order, so that a new leader need not wait
//! for the minimum time between two leaders' orders once that has passed already: the
//! former leader's process may have ended long ago.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use marjoram_core::era::Token;

use super::Leadership;
use crate::clock;
use crate::proxy::hosts::Message;
use crate::proxy::site::Site;

/// Time between two queries of hosts that have not answered: datagrams can be lost.
const QUERY_INTERVAL: Duration = Duration::from_millis(200);

/// Asks all other hosts until each has answered, or the term that began with `token` has
/// ended or may give orders anyway. A host that does not answer may be cut off and still
/// send orders.
pub(super) async fn query_others(leadership: Rc<Leadership>, token: Token) {
    let (site, number) = (&leadership.site, token.number());
    if !site.hosts_listed.get() {
        return;
    }
    let addrs = site.peers.addrs();
    let asked = addrs.len();
    site.handover.begin_query(number, addrs);
    let begun = clock::now();
    while leadership.leader_term.borrow().is_held() && leadership.token().is_none() {
        let Some(unanswered) = site.handover.unanswered(number) else { return };
        if unanswered.is_empty() {
            let since = site.handover.idle_since();
            let now = clock::now();
            tracing::info!(target: "duty", token = number, asked,
                idle_ms = now.saturating_sub(since).as_millis() as u64,
                query_ms = now.saturating_sub(begun).as_millis() as u64,
                "all other hosts have answered when they last sent an order");
            leadership.leader_term.borrow_mut().record_others_idle(since);
            leadership.renewal_due.notify_one();
            return;
        }
        site.peers.send_chunked(unanswered, 1, move || Message::LeaderQuery(number));
        let _ = tokio::time::timeout(QUERY_INTERVAL, site.handover.answered.notified()).await;
    }
}

/// Answers the host at `from`, which leads with `token`, unless this host leads with a
/// later one.
pub fn handle_query(site: &Site, token: u64, from: SocketAddr) {
    let handover = &site.handover;
    if handover.held_token.get().is_some_and(|held| held >= token) {
        return;
    }
    handover.later_token.set(handover.later_token.get().max(token));
    let idle_ms = handover.idle_for(site.now()).as_millis() as u64;
    site.peers.send_to(from, &Message::LeaderAnswer { token, idle_ms });
}
