//! Counts the requests that are being served, and logs those whose connection closes before
//! the answer.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use marjoram_core::ids::RequestId;
use ntex::http::body::Body;
use ntex::util::Bytes;

use super::answer_body::answer_body;
use crate::caller_conns::RequestOnConn;
use crate::error::Error;
use crate::node::Node;
use crate::request_limits::HeldRequest;

/// Counts one task that serves a request until dropped. A stop waits for it.
pub struct Count(Arc<Node>);

impl Count {
    pub fn new(node: Arc<Node>) -> Self {
        node.serving.fetch_add(1, Ordering::AcqRel);
        Self(node)
    }
}

impl Drop for Count {
    fn drop(&mut self) {
        self.0.serving.fetch_sub(1, Ordering::AcqRel);
    }
}

/// A request being served.
pub struct Serving {
    count: Count,
    /// The router's id of the request.
    pub id: RequestId,
    /// Address of the caller.
    pub peer: String,
    answered: bool,
    /// What is held for it.
    held: Option<HeldRequest>,
    /// Its use of the caller's connection.
    conn: Option<RequestOnConn>,
}

impl Serving {
    pub fn new(node: Arc<Node>, peer: Option<std::net::SocketAddr>) -> Self {
        let id = RequestId(node.request_id());
        let conn = peer.and_then(|addr| node.request_limits.callers.begin_request(addr));
        let peer = peer.map_or_else(|| "caller".into(), |addr| addr.to_string());
        Self { count: Count::new(node), id, peer, answered: false, held: None, conn }
    }

    /// Its use of the caller's connection, if that is still open.
    pub fn conn(&self) -> Option<&RequestOnConn> {
        self.conn.as_ref()
    }

    /// Keeps `held` as long as the request, which has been received, is served.
    pub fn hold(&mut self, held: HeldRequest) {
        self.held = Some(held);
        self.set_received();
    }

    /// Records that the request has been received.
    pub fn set_received(&self) {
        if let Some(conn) = &self.conn {
            conn.set_received();
        }
    }

    /// Records that the request has its answer or refusal.
    pub fn set_answered(&mut self) {
        self.answered = true;
    }

    /// The body `bytes` of its complete answer, which counts until the caller has taken it. Fails if
    /// the caller's connection is closed for others.
    pub fn answer_body(&mut self, bytes: Bytes) -> Result<Body, Error> {
        self.held = None;
        let body = answer_body(bytes, self.conn.take());
        body.map_err(|why| Error::Engine("send answer", self.peer.clone(), why.to_string()))
    }
}

impl Drop for Serving {
    fn drop(&mut self) {
        if !self.answered {
            let draining = self.count.0.draining.load(Ordering::Acquire);
            tracing::info!(target: "serve", "serve: connection of {} closed before the answer to {}; draining: {draining}.", self.peer, self.id);
        }
    }
}
