//! The link between routers: `h2` streams carrying `bincode`.
//!
//! One connection to each router called, one stream a call. A router's
//! link address is its own address with the port moved on by `--peer-offset`,
//! so the host list needs no second address. A call that fails or takes
//! longer than its limit drops the connection: a connection that has gone
//! silent for good is found by the next call and replaced.
//!
//! Nothing that must hold rests on this link: it carries membership news and
//! what a starting router can use to skip a cold start.

pub mod wire;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use h2::client::SendRequest;
use tokio::net::{TcpListener, TcpStream};

use crate::error::Error;
use crate::node::Node;
use wire::{Answer, Call};

/// Largest call or answer.
const MESSAGE_LIMIT: usize = 64 << 20;
/// Flow-control window of a stream: a picture passes in a few round trips.
const WINDOW: u32 = 4 << 20;
/// A served connection with no call for this long is closed.
const IDLE: Duration = Duration::from_secs(120);

/// Open connections to other routers, by link address.
#[derive(Debug, Default)]
pub struct Links(Mutex<HashMap<SocketAddr, SendRequest<Bytes>>>);

/// The link address of the router that callers reach at `addr`.
pub fn link_addr(node: &Node, addr: &str) -> Result<SocketAddr, Error> {
    let wrong = |why: String| Error::Peer("address", addr.into(), why);
    let mut link: SocketAddr = addr.parse().map_err(|_| wrong("not ip:port".into()))?;
    let port = link.port().checked_add(node.settings.peer_offset);
    link.set_port(port.ok_or_else(|| wrong("port out of range".into()))?);
    Ok(link)
}

/// Calls the router that callers reach at `addr`, waiting `limit` at most.
pub async fn call(node: &Node, addr: &str, call: &Call, limit: Duration) -> Result<Answer, Error> {
    let link = link_addr(node, addr)?;
    let body = wire::encode(call).map_err(|e| Error::Peer("encode", addr.into(), e))?;
    let result = tokio::time::timeout(limit, exchange(node, link, body)).await;
    match result {
        Ok(Ok(bytes)) => wire::decode(&bytes).map_err(|e| Error::Peer("decode", addr.into(), e)),
        Ok(Err(why)) => {
            node.links.0.lock().unwrap().remove(&link);
            Err(Error::Peer("call", addr.into(), why))
        }
        Err(_) => {
            node.links.0.lock().unwrap().remove(&link);
            Err(Error::Peer("call", addr.into(), format!("no answer in {limit:?}")))
        }
    }
}

async fn exchange(node: &Node, link: SocketAddr, body: Vec<u8>) -> Result<Bytes, String> {
    let known = node.links.0.lock().unwrap().get(&link).cloned();
    let sender = match known {
        Some(sender) => sender,
        None => {
            let sender = connect(link).await?;
            node.links.0.lock().unwrap().insert(link, sender.clone());
            sender
        }
    };
    let mut sender = sender.ready().await.map_err(|e| e.to_string())?;
    let request =
        http::Request::post(format!("http://{link}/peer")).body(()).map_err(|e| e.to_string())?;
    let (response, mut stream) = sender.send_request(request, false).map_err(|e| e.to_string())?;
    stream.send_data(body.into(), true).map_err(|e| e.to_string())?;
    let response = response.await.map_err(|e| e.to_string())?;
    match response.status() {
        http::StatusCode::OK => read_all(response.into_body()).await,
        status => Err(format!("status {status}")),
    }
}

async fn connect(link: SocketAddr) -> Result<SendRequest<Bytes>, String> {
    let socket = TcpStream::connect(link).await.map_err(|e| e.to_string())?;
    socket.set_nodelay(true).map_err(|e| e.to_string())?;
    let (sender, connection) = h2::client::Builder::new()
        .initial_window_size(WINDOW)
        .initial_connection_window_size(WINDOW)
        .handshake(socket)
        .await
        .map_err(|e| e.to_string())?;
    ntex::rt::spawn(async move {
        if let Err(error) = connection.await {
            tracing::debug!(target: "peer", "peer: link to {link} ended: {error}.");
        }
    });
    Ok(sender)
}

/// Answers other routers' calls on `listener` for ever.
pub async fn serve(node: Arc<Node>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((socket, from)) => {
                let _ = socket.set_nodelay(true);
                let node = node.clone();
                ntex::rt::spawn(async move {
                    if let Err(why) = serve_link(node, socket).await {
                        tracing::debug!(target: "peer", "peer: link from {from} ended: {why}.");
                    }
                });
            }
            Err(error) => {
                tracing::warn!(target: "peer", "peer: accept failed: {error}.");
                ntex::time::sleep(Duration::from_millis(100)).await;
            }
        }
    }
}

async fn serve_link(node: Arc<Node>, socket: TcpStream) -> Result<(), String> {
    let handshake = h2::server::Builder::new()
        .initial_window_size(WINDOW)
        .initial_connection_window_size(WINDOW)
        .handshake::<_, Bytes>(socket);
    let mut connection = tokio::time::timeout(IDLE, handshake)
        .await
        .map_err(|_| "no handshake".to_string())?
        .map_err(|e| e.to_string())?;
    loop {
        let next = tokio::time::timeout(IDLE, connection.accept()).await;
        let (request, respond) = match next {
            Err(_) => return Err("idle".into()),
            Ok(None) => return Ok(()),
            Ok(Some(accepted)) => accepted.map_err(|e| e.to_string())?,
        };
        let node = node.clone();
        ntex::rt::spawn(async move {
            if let Err(why) = serve_call(&node, request, respond).await {
                tracing::debug!(target: "peer", "peer: call not answered: {why}.");
            }
        });
    }
}

async fn serve_call(
    node: &Node,
    request: http::Request<h2::RecvStream>,
    mut respond: h2::server::SendResponse<Bytes>,
) -> Result<(), String> {
    let bytes = read_all(request.into_body()).await?;
    let answer = match wire::decode(&bytes)? {
        Call::Ping(news) => Answer::Pong(crate::gossip::answer(node, news)),
        Call::Warm => Answer::Warmth(crate::warm::offer(node)),
    };
    let body = wire::encode(&answer)?;
    let mut stream =
        respond.send_response(http::Response::new(()), false).map_err(|e| e.to_string())?;
    stream.send_data(body.into(), true).map_err(|e| e.to_string())
}

async fn read_all(mut body: h2::RecvStream) -> Result<Bytes, String> {
    let mut all = BytesMut::new();
    while let Some(chunk) = body.data().await {
        let chunk = chunk.map_err(|e| e.to_string())?;
        all.extend_from_slice(&chunk);
        let _ = body.flow_control().release_capacity(chunk.len());
        if all.len() > MESSAGE_LIMIT {
            return Err(format!("message over {MESSAGE_LIMIT} bytes"));
        }
    }
    Ok(all.freeze())
}
