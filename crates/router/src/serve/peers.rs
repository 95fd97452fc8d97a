//! Serves the calls of other routers.

use std::sync::Arc;

use tokio::net::TcpListener;

use crate::node::Node;
use crate::peer::wire::{self, Answer, Call};
use crate::{gossip, link, startup};

/// Serves the calls of other routers on `listener`, forever.
pub async fn serve(node: Arc<Node>, listener: TcpListener) {
    link::serve(listener, move |bytes| {
        let answer = match wire::decode(bytes)? {
            Call::Ping(updates) => Answer::Pong(gossip::answer(&node, updates)),
            Call::FetchState => Answer::RouterState(startup::current_state(&node)),
        };
        wire::encode(&answer)
    })
    .await;
}
