//! HTTP client for engines and plain services, whose connections are opened over this
//! node's own link or through other routers (see `paths`).
//!
//! Load pattern: a router may lose its links to all engines for seconds while callers
//! and the other routers still reach it. Its open connections hang or are reset. The
//! client is replaced when a link is lost or an engine becomes unreachable, which
//! closes the idle connections of all threads.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use marjoram_core::reach::MAX_RELAYS;
use ntex::connect::{self, Connect, Resolver};
use ntex::http::Uri;
use ntex::http::client::{Client, ClientRequest, Connector};
use ntex::io::Io;
use ntex::{Service, ServiceCtx};
use rand::seq::{IteratorRandom, SliceRandom};

use crate::conn::Conn;
use crate::control_connects::CONTROL_CONNECTS;
use crate::node::{Node, Upstream};
use crate::paths::{self, ConnectError, Outcome, Paths};
use crate::peer;
use crate::tunnel::{self, Answer, Connected, Tunnels};

thread_local! {
    /// This thread's client, and the generation of connections for which it was built.
    static CLIENT: RefCell<Option<(u64, Client)>> = const { RefCell::new(None) };
    /// This thread's client for requests that share no connection with others.
    static SINGLE_USE_CLIENT: RefCell<Option<Client>> = const { RefCell::new(None) };
}

/// The client of the current thread.
pub fn client(node: &Arc<Node>) -> Client {
    let generation = node.upstream_links.generation();
    CLIENT.with_borrow_mut(|current| match current {
        Some((known, client)) if *known == generation => client.clone(),
        _ => {
            let client = new_client(node);
            *current = Some((generation, client.clone()));
            client
        }
    })
}

/// A POST request to `url` on a connection of its own, so that a late answer to another request
/// cannot be taken for its answer.
pub fn post_on_new_connection(node: &Arc<Node>, url: &str) -> ClientRequest {
    SINGLE_USE_CLIENT.with_borrow_mut(|client| {
        let client = client.get_or_insert_with(|| new_client(node));
        client.post(url).force_close()
    })
}

fn new_client(node: &Arc<Node>) -> Client {
    let connector = Connector::default().connector(PathConnector(node.clone()));
    Client::build().connector(connector.finish()).finish()
}

/// Connects to the upstream at `addr`.
pub async fn connect(node: &Node, addr: SocketAddr) -> Result<Conn, ConnectError> {
    let links = &node.upstream_links;
    let paths = Paths {
        addr,
        key: node.pool.load().key(addr),
        path: links.begin_connect(addr, node.uptime()),
        hosts: relays(node),
    };
    let Outcome { conclusion, result, .. } = paths::connect(paths, || others(node, addr)).await;
    links.apply(addr, conclusion, node.uptime());
    if let Some(relay) = result.as_ref().ok().filter(|conn| conn.relayed).and_then(Conn::peer) {
        links.record_relay(relay);
    }
    result
}

/// Other routers that may relay a connection, in the order to ask them.
fn relays(node: &Node) -> Vec<SocketAddr> {
    let entries = node.entries.load();
    let others = entries.iter().filter(|router| router.addr != node.settings.advertise);
    let mut relays: Vec<SocketAddr> =
        others.filter_map(|router| peer::link_addr(node, &router.addr).ok()).collect();
    relays.shuffle(&mut rand::rng());
    let last = node.upstream_links.last_relay();
    relays.sort_by_key(|relay| Some(*relay) != last);
    relays.truncate(MAX_RELAYS);
    relays
}

/// Addresses of other upstreams, drawn at random: of those with the role of the one at
/// `addr`, or of all if there is no other one with that role.
fn others(node: &Node, addr: SocketAddr) -> Vec<SocketAddr> {
    let pool = node.pool.load();
    let role = pool.upstreams.values().find(|u| u.addr == addr).map(|u| u.role);
    let mut others: Vec<&Upstream> = pool.upstreams.values().filter(|u| u.addr != addr).collect();
    if others.iter().any(|u| Some(u.role) == role) {
        others.retain(|u| Some(u.role) == role);
    }
    others.into_iter().map(|u| u.addr).choose_multiple(&mut rand::rng(), CONTROL_CONNECTS)
}

/// Connects to the upstream with the key `key` for another router.
pub async fn relay(node: &Node, tunnels: &Tunnels, key: u64) -> Connected {
    let addr = node.pool.load().upstreams.get(&key).map(|u| u.addr);
    let addr = addr.filter(|addr| !node.upstream_links.is_lost(*addr) && !tunnels.is_full());
    match addr.filter(|_| !node.draining.load(Ordering::Acquire)) {
        Some(addr) => tunnel::connect(addr, || others(node, addr)).await,
        None => (Answer::Unavailable, None),
    }
}

/// Opens the connections of HTTP clients.
struct PathConnector(Arc<Node>);

impl Service<Connect<Uri>> for PathConnector {
    type Response = Io;
    type Error = connect::ConnectError;

    async fn call(
        &self,
        request: Connect<Uri>,
        _: ServiceCtx<'_, Self>,
    ) -> Result<Io, connect::ConnectError> {
        let request = Resolver::new().lookup(request).await?;
        let addr = request.addrs().next().ok_or(connect::ConnectError::Unresolved)?;
        let opened = connect(&self.0, addr).await.map_err(io::Error::other);
        let stream = opened.and_then(|conn| conn.into_stream().into_std());
        Ok(stream.and_then(ntex::rt::from_tcp_stream)?)
    }
}
