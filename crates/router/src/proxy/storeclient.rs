//! HTTP client for the platform's store and for upstreams' control interfaces.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use marjoram_core::era::Era;
use marjoram_platform::store::{self, Call};
use quick_error::quick_error;

use super::answer::{self, ReadError};
use super::http1::{self, Body, RequestWriter};
use crate::conn::Conn;

/// Time limit for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Longest body of an answer, in bytes, unless a client has a limit of its own. The store's
/// pages and engines' cache events stay below this.
const MAX_BODY_SIZE: usize = 4 << 20;

quick_error! {
    /// Why an answer was not read whole.
    #[derive(Debug)]
    enum ExchangeError {
        /// It could not be read.
        Read(error: ReadError) {
            from()
            from(error: std::io::Error) -> (error.into())
            from(error: http1::BadMessage) -> (error.into())
            display("{error}")
        }
        /// Its body is longer than allowed.
        BodyTooLong(limit: usize) {
            display("the body is longer than {limit} bytes")
        }
    }
}

quick_error! {
    /// Why a call got no answer.
    #[derive(Debug)]
    pub enum CallError {
        /// The peer could not be reached: the call was not executed.
        Connect(peer: SocketAddr, why: String) {
            display("connect to {peer}: {why}")
        }
        /// The call failed after it was sent: it may have been executed.
        Broken(peer: SocketAddr, why: String) {
            display("call to {peer}: {why}")
        }
    }
}

#[derive(Debug, Clone)]
pub struct Reply {
    pub status: u16,
    /// The store's era; zero for peers that have none.
    pub era: Era,
    pub body: Bytes,
}

/// A client of one peer, over one connection, with one call at a time.
pub struct HttpClient {
    peer: SocketAddr,
    conn: Option<Conn>,
    bytes: u64,
    max_body_size: usize,
}

impl HttpClient {
    /// A client of `peer`, not yet connected.
    pub fn new(peer: SocketAddr) -> Self {
        Self { peer, conn: None, bytes: 0, max_body_size: MAX_BODY_SIZE }
    }

    /// Makes further calls to `peer`, over a new connection if it is another one.
    pub fn set_peer(&mut self, peer: SocketAddr) {
        if self.peer != peer {
            (self.peer, self.conn) = (peer, None);
        }
    }

    /// Uses `conn`, a connection to the peer, for the next calls.
    pub fn with_conn(self, conn: Conn) -> Self {
        Self { conn: Some(conn), ..self }
    }

    /// Limits the bodies of answers to `bytes`.
    pub fn with_max_body_size(self, bytes: usize) -> Self {
        Self { max_body_size: bytes, ..self }
    }

    /// Whether another host relays the connection.
    pub fn is_relayed(&self) -> bool {
        self.conn.as_ref().is_some_and(|conn| conn.relayed)
    }

    /// Bytes of requests sent and bodies received since the last call of this
    /// method.
    pub fn take_bytes(&mut self) -> u64 {
        std::mem::take(&mut self.bytes)
    }

    /// Makes `call` with additional `headers`, within `limit`. A kept connection
    /// that was closed or on which unexpected data arrived is replaced before the
    /// call.
    pub async fn call(
        &mut self,
        call: &Call,
        headers: &[(&str, &str)],
        limit: Duration,
    ) -> Result<Reply, CallError> {
        let mut kept = self.conn.take();
        let mut conn = match kept.take_if(|conn| conn.is_reusable()) {
            Some(conn) => conn,
            None => Conn::connect(self.peer, CONNECT_TIMEOUT.min(limit))
                .await
                .map_err(|e| CallError::Connect(self.peer, e.to_string()))?,
        };
        let bytes = encode(call, headers, self.peer);
        self.bytes += bytes.len() as u64;
        let exchange = exchange(&mut conn, &bytes, call.method, self.max_body_size);
        match tokio::time::timeout(limit, exchange).await {
            Ok(Ok((reply, keep))) => {
                self.bytes += reply.body.len() as u64;
                self.conn = keep.then_some(conn);
                Ok(reply)
            }
            Ok(Err(why)) => Err(CallError::Broken(self.peer, why.to_string())),
            Err(_) => {
                Err(CallError::Broken(self.peer, format!("no answer in {} ms", limit.as_millis())))
            }
        }
    }
}

fn encode(call: &Call, headers: &[(&str, &str)], peer: SocketAddr) -> Bytes {
    let mut writer = RequestWriter::new(call.method, &call.target);
    writer.header("host", peer.to_string().as_bytes());
    for (name, value) in headers {
        writer.header(name, value.as_bytes());
    }
    match &call.body {
        Some((kind, body)) => {
            writer.header("content-type", kind.as_bytes());
            writer.finish(Some(body))
        }
        None => writer.finish(None),
    }
}

/// Sends the request `bytes` and reads the answer; true if the connection can be kept.
async fn exchange(
    conn: &mut Conn,
    bytes: &[u8],
    method: &str,
    max_body_size: usize,
) -> Result<(Reply, bool), ExchangeError> {
    conn.write(bytes).await?;
    let head = answer::read_head(conn).await?;
    let mut body = Body::from(http1::response_framing(method, &head)?);
    let mut received = BytesMut::new();
    while let Some(data) = answer::next_piece(conn, &mut body).await? {
        received.extend_from_slice(&data);
        if received.len() > max_body_size {
            return Err(ExchangeError::BodyTooLong(max_body_size));
        }
    }
    let keep = !head.headers.closes(head.minor) && conn.buf.is_empty() && !conn.read_closed;
    let era = store::era(|name| head.headers.get(name)).unwrap_or_else(|error| {
        // Treated like a store that reports no era: its records are still valid.
        tracing::warn!(target: "store", %error, "cannot parse the store's era");
        Era::default()
    });
    Ok((Reply { status: head.status, era, body: received.freeze() }, keep))
}
