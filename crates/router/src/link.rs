//! Calls between this system's own processes over `h2`, with one stream per call.
//!
//! Anyone may connect to the port, so connections and what is held for them are limited.
//!
//! The connection of a call that fails or takes too long is dropped, so a connection
//! that no longer delivers any data is detected by the next call and replaced.

use std::cell::Cell;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use h2::client::SendRequest;
use marjoram_core::peer_budget::{Exhausted, Holding, Port, Stage};
use tokio::net::{TcpListener, TcpStream};

use crate::tunnel;

/// Largest call and largest answer, in bytes.
const CALL_LIMIT: usize = 4 << 20;
const ANSWER_LIMIT: usize = 64 << 20;
/// Calls that are answered at once on a connection.
const MAX_CALLS: u32 = 32;
/// Flow-control windows of a connection and of a call on the serving side, in bytes.
const CONN_CALL_WINDOW: u32 = 256 << 10;
const CALL_WINDOW: u32 = 64 << 10;
/// Largest headers of a call, in bytes.
const CALL_HEADERS_LIMIT: u32 = 4 << 10;
/// Flow-control window of a stream, in bytes: a cache index is transferred in a few
/// round trips.
const FLOW_WINDOW: u32 = 4 << 20;
/// Pause after a failed accept, most likely for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
/// Time-out of the first byte of an accepted connection.
const FIRST_BYTE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time without a call after which the serving side closes a connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);

/// Connects to the process at `addr`.
pub async fn connect(addr: SocketAddr) -> Result<SendRequest<Bytes>, String> {
    let socket = TcpStream::connect(addr).await.map_err(|e| e.to_string())?;
    socket.set_nodelay(true).map_err(|e| e.to_string())?;
    let (sender, connection) = h2::client::Builder::new()
        .initial_window_size(FLOW_WINDOW)
        .initial_connection_window_size(FLOW_WINDOW)
        .handshake(socket)
        .await
        .map_err(|e| e.to_string())?;
    ntex::rt::spawn(async move {
        if let Err(error) = connection.await {
            tracing::debug!(target: "link", "link to {addr} ended: {error}");
        }
    });
    Ok(sender)
}

/// Makes one call over an open connection and returns the answer.
pub async fn call(
    sender: SendRequest<Bytes>,
    addr: SocketAddr,
    body: Bytes,
) -> Result<Bytes, String> {
    let mut sender = sender.ready().await.map_err(|e| e.to_string())?;
    let request =
        http::Request::post(format!("http://{addr}/peer")).body(()).map_err(|e| e.to_string())?;
    let (response, mut stream) = sender.send_request(request, false).map_err(|e| e.to_string())?;
    stream.send_data(body, true).map_err(|e| e.to_string())?;
    let response = response.await.map_err(|e| e.to_string())?;
    match response.status() {
        http::StatusCode::OK => read_all(response.into_body(), ANSWER_LIMIT, |_| Ok(())).await,
        status => Err(format!("status {status}")),
    }
}

/// Accepts connections on `listener`, forever, as many as `port` allows; `report` is told of
/// those given up. Their calls are answered with `answer`; those that begin like a tunnel are
/// given to `tunnel`.
pub async fn serve<A, T, F, R>(listener: TcpListener, port: Port, report: R, answer: A, tunnel: T)
where
    A: Fn(&[u8]) -> Result<Vec<u8>, String> + Clone + 'static,
    T: Fn(TcpStream) -> F + Clone + 'static,
    F: Future<Output = ()> + 'static,
    R: Fn(Exhausted) + Clone + 'static,
{
    loop {
        if port.is_full() {
            // Connections that have been given up are closed first.
            tokio::task::yield_now().await;
        }
        match listener.accept().await {
            Ok((socket, from)) => match port.accept(Instant::now()) {
                Ok(holding) => {
                    let (answer, tunnel, report) = (answer.clone(), tunnel.clone(), report.clone());
                    ntex::rt::spawn(async move {
                        let held = Rc::new(Held::new(holding));
                        tokio::select! {
                            biased;
                            why = held.holding.wait_given_up() => report(why),
                            () = serve_connection(socket, from, &held, answer, tunnel) => {}
                        }
                    });
                }
                Err(why) => report(why),
            },
            Err(error) => {
                tracing::warn!(target: "link", "cannot accept connection: {error}");
                ntex::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// What is held for the calls of one connection.
struct Held {
    holding: Holding,
    bytes: Cell<usize>,
}

impl Held {
    fn new(holding: Holding) -> Self {
        Self { holding, bytes: Cell::default() }
    }

    /// Counts `bytes` more.
    fn add(&self, bytes: usize) -> Result<(), Exhausted> {
        let now = Instant::now();
        self.holding.record_progress(bytes, now);
        self.bytes.set(self.bytes.get() + bytes);
        self.holding.resize(self.bytes.get(), now)
    }

    /// Counts `bytes` less.
    fn subtract(&self, bytes: usize) {
        self.bytes.set(self.bytes.get().saturating_sub(bytes));
        // Err: the connection has been given up, and nothing counts any more.
        let _ = self.holding.resize(self.bytes.get(), Instant::now());
    }
}

/// Bytes of one call or answer that count as held until dropped.
struct HeldBytes {
    held: Rc<Held>,
    bytes: usize,
}

impl HeldBytes {
    fn add(&mut self, bytes: usize) -> Result<(), String> {
        self.bytes += bytes;
        self.held.add(bytes).map_err(|e| e.to_string())
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.held.subtract(self.bytes);
    }
}

/// Serves `socket`, a connection accepted from `from`, by the protocol that its first
/// byte shows.
async fn serve_connection<A, T, F>(
    socket: TcpStream,
    from: SocketAddr,
    held: &Rc<Held>,
    answer: A,
    tunnel: T,
) where
    A: Fn(&[u8]) -> Result<Vec<u8>, String> + Clone + 'static,
    T: Fn(TcpStream) -> F + 'static,
    F: Future<Output = ()>,
{
    let _ = socket.set_nodelay(true);
    let mut first = [0];
    let ended = match tokio::time::timeout(FIRST_BYTE_TIMEOUT, socket.peek(&mut first)).await {
        Ok(Ok(read)) if read > 0 && first[0] == tunnel::MAGIC => {
            // Tunnels have a limit of their own, and may carry a request in progress.
            held.holding.enter(Stage::InProgress, Instant::now());
            return tunnel(socket).await;
        }
        Ok(Ok(_)) => {
            held.holding.enter(Stage::Receiving, Instant::now());
            serve_link(socket, held, answer).await
        }
        Ok(Err(error)) => Err(error.to_string()),
        Err(_) => Err("no first byte".into()),
    };
    if let Err(why) = ended {
        tracing::debug!(target: "link", "link from {from} ended: {why}");
    }
}

async fn serve_link<A>(socket: TcpStream, held: &Rc<Held>, answer: A) -> Result<(), String>
where
    A: Fn(&[u8]) -> Result<Vec<u8>, String> + Clone + 'static,
{
    let handshake = h2::server::Builder::new()
        .initial_window_size(CALL_WINDOW)
        .initial_connection_window_size(CONN_CALL_WINDOW)
        .max_concurrent_streams(MAX_CALLS)
        .max_header_list_size(CALL_HEADERS_LIMIT)
        .handshake::<_, Bytes>(socket);
    let mut connection = tokio::time::timeout(IDLE_TIMEOUT, handshake)
        .await
        .map_err(|_| "no handshake".to_string())?
        .map_err(|e| e.to_string())?;
    loop {
        let next = tokio::time::timeout(IDLE_TIMEOUT, connection.accept()).await;
        let (request, respond) = match next {
            Err(_) => return Err("idle".into()),
            Ok(None) => return Ok(()),
            Ok(Some(accepted)) => accepted.map_err(|e| e.to_string())?,
        };
        let answer = answer.clone();
        let bytes = HeldBytes { held: held.clone(), bytes: 0 };
        ntex::rt::spawn(async move {
            if let Err(why) = serve_call(answer, bytes, request, respond).await {
                tracing::debug!(target: "link", "call not answered: {why}");
            }
        });
    }
}

async fn serve_call<A>(
    answer: A,
    mut held: HeldBytes,
    request: http::Request<h2::RecvStream>,
    mut respond: h2::server::SendResponse<Bytes>,
) -> Result<(), String>
where
    A: Fn(&[u8]) -> Result<Vec<u8>, String>,
{
    let bytes = read_all(request.into_body(), CALL_LIMIT, |bytes| held.add(bytes)).await?;
    let body = Bytes::from(answer(&bytes)?);
    drop(bytes);
    held.add(body.len())?;
    let stream =
        respond.send_response(http::Response::new(()), false).map_err(|e| e.to_string())?;
    send_all(stream, body, &held).await
}

/// Sends `body` as the other side reads it.
async fn send_all(
    mut stream: h2::SendStream<Bytes>,
    mut body: Bytes,
    held: &HeldBytes,
) -> Result<(), String> {
    while !body.is_empty() {
        stream.reserve_capacity(body.len());
        let allowed = poll_fn(|cx| stream.poll_capacity(cx)).await.ok_or("stream closed")?;
        let part = body.split_to(allowed.map_err(|e| e.to_string())?.min(body.len()));
        held.held.holding.record_progress(part.len(), Instant::now());
        stream.send_data(part, false).map_err(|e| e.to_string())?;
    }
    stream.send_data(Bytes::new(), true).map_err(|e| e.to_string())
}

/// Reads a message of at most `limit` bytes. `add` is told of each piece.
async fn read_all(
    mut body: h2::RecvStream,
    limit: usize,
    mut add: impl FnMut(usize) -> Result<(), String>,
) -> Result<Bytes, String> {
    let mut all = BytesMut::new();
    while let Some(chunk) = body.data().await {
        let chunk = chunk.map_err(|e| e.to_string())?;
        all.extend_from_slice(&chunk);
        let _ = body.flow_control().release_capacity(chunk.len());
        add(chunk.len())?;
        if all.len() > limit {
            return Err(format!("message over {limit} bytes"));
        }
    }
    Ok(all.freeze())
}
