//! Serves other routers: their calls, and the tunnels that they open.

use std::sync::Arc;

use marjoram_core::peer_budget::Exhausted;
use tokio::net::TcpListener;

use crate::node::Node;
use crate::peer::wire::{self, Answer, Call};
use crate::tunnel::{self, Tunnels};
use crate::{gossip, link, slot_grants, startup, upstream_client};

/// Serves other routers on `listener`, forever.
pub async fn serve(node: Arc<Node>, listener: TcpListener) {
    let callee = node.clone();
    let port = node.request_limits.routers.clone();
    let report = |why: Exhausted| tracing::debug!(target: "link", "link closed for others: {why}.");
    let answer = move |bytes: &[u8]| {
        let answer = match wire::decode(bytes)? {
            Call::Ping(updates) => Answer::Pong(gossip::answer(&callee, updates)),
            Call::ReportSlots(from, report) => {
                Answer::Granted(slot_grants::handle_report(&callee, from, &report))
            }
            Call::GrantSlots(coordinator, grant) => {
                slot_grants::apply_grant(&callee, coordinator, grant);
                Answer::Granted(None)
            }
            Call::FetchState => Answer::RouterState(startup::current_state(&callee)),
        };
        wire::encode(&answer)
    };
    let tunnels = Tunnels::new(node.request_limits.tunnels);
    let tunnel = move |stream| {
        let (node, tunnels) = (node.clone(), tunnels.clone());
        async move {
            let connect = async |key| upstream_client::relay(&node, &tunnels, key).await;
            tunnel::serve(&tunnels, stream, connect).await
        }
    };
    link::serve(listener, port, report, answer, tunnel).await;
}
