//! The link between routers: `h2` streams carrying `bincode`.
//!
//! There is one connection to each router called and one stream per call. A router's
//! link address is its caller-facing address with `--peer-offset` added to the port,
//! so the host list needs no second address.
//!
//! Correctness does not depend on this link: it carries membership updates and state
//! that a starting router can use to avoid a cold start.

pub mod wire;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;

use crate::error::Error;
use crate::link;
use crate::node::Node;
use wire::{Answer, Call};

/// The link address of the router whose caller-facing address is `addr`.
pub fn link_addr(node: &Node, addr: &str) -> Result<SocketAddr, Error> {
    let invalid = |why: String| Error::Peer("address", addr.into(), why);
    let mut link: SocketAddr = addr.parse().map_err(|_| invalid("not ip:port".into()))?;
    let port = link.port().checked_add(node.settings.peer_offset);
    link.set_port(port.ok_or_else(|| invalid("port out of range".into()))?);
    Ok(link)
}

/// Calls the router whose caller-facing address is `addr`, with time-out `limit`. Drops
/// the connection if the call fails or times out.
pub async fn call(node: &Node, addr: &str, call: &Call, limit: Duration) -> Result<Answer, Error> {
    let link = link_addr(node, addr)?;
    let body = wire::encode(call).map_err(|e| Error::Peer("encode", addr.into(), e))?;
    let result = tokio::time::timeout(limit, exchange(node, link, body)).await;
    match result {
        Ok(Ok(bytes)) => wire::decode(&bytes).map_err(|e| Error::Peer("decode", addr.into(), e)),
        Ok(Err(why)) => {
            node.links.remove(link);
            Err(Error::Peer("call", addr.into(), why))
        }
        Err(_) => {
            node.links.remove(link);
            Err(Error::Peer("await", addr.into(), format!("no answer in {limit:?}")))
        }
    }
}

async fn exchange(node: &Node, link: SocketAddr, body: Vec<u8>) -> Result<Bytes, String> {
    let known = node.links.get(link);
    let sender = match known {
        Some(sender) => sender,
        None => {
            let sender = link::connect(link).await?;
            node.links.insert(link, sender.clone());
            sender
        }
    };
    link::call(sender, link, body.into()).await
}
