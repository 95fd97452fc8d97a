//! Answers other routers' calls.

use std::sync::Arc;

use tokio::net::TcpListener;

use crate::node::Node;
use crate::peer::wire::{self, Answer, Call};
use crate::{gossip, link, warm};

/// Answers other routers' calls on `listener` for ever.
pub async fn serve(node: Arc<Node>, listener: TcpListener) {
    link::serve(listener, move |bytes| {
        let answer = match wire::decode(bytes)? {
            Call::Ping(news) => Answer::Pong(gossip::answer(&node, news)),
            Call::Warm => Answer::Warmth(warm::offer(&node)),
        };
        wire::encode(&answer)
    })
    .await;
}
