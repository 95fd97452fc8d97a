//! A TCP connection with its read buffer.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::BytesMut;
use marjoram_core::correlation::ConnId;
use marjoram_core::host::RECEIVE_BUFFER;
use marjoram_core::peer_budget::{Exhausted, Holding, Stage};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::Instant;

/// Space in the buffer, in bytes, before each read.
const READ_SIZE: usize = 16 << 10;

/// Idle time before a TCP keep-alive probe, and the time between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered probes after which the kernel closes a connection.
const MAX_PROBES: u32 = 2;

/// How long sent bytes may stay unacknowledged before the kernel closes the
/// connection. It also limits keep-alive probes, whatever their number, so it is
/// the time that all of them take.
const USER_TIMEOUT: Duration = PROBE_INTERVAL.saturating_mul(MAX_PROBES + 1);

/// An id that no other connection of the process has.
fn next_id() -> ConnId {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    ConnId(NEXT.fetch_add(1, Ordering::Relaxed))
}

/// How a peer ended its side of a connection.
#[derive(Debug)]
pub enum PeerEnd {
    /// It has closed its sending side, and may still read.
    Closed,
    /// The connection has failed.
    Failed(io::Error),
}

impl fmt::Display for PeerEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Closed => f.write_str("closed its sending side"),
            Self::Failed(error) => write!(f, "connection failed: {error}"),
        }
    }
}

/// A connection and the bytes read from it and not yet used.
#[derive(Debug)]
pub struct Conn {
    /// Its id, for logs and to tell it from others.
    pub id: ConnId,
    stream: TcpStream,
    /// Bytes read and not yet used.
    pub buf: BytesMut,
    /// The peer has closed its side without a reset.
    pub read_closed: bool,
    /// A write has begun since this was last cleared.
    pub written: bool,
    /// Another host passes the bytes on to the upstream.
    pub relayed: bool,
    /// Requests that have been sent on it to an upstream.
    pub requests: u64,
    /// What the process holds for the peer, of a connection that it has accepted.
    holding: Option<Holding>,
    /// Bytes that the process keeps for the peer beside `buf`.
    kept: usize,
}

impl Conn {
    /// Wraps an accepted connection.
    pub fn new(stream: TcpStream) -> Self {
        set_options(&stream);
        Self {
            id: next_id(),
            stream,
            buf: BytesMut::new(),
            read_closed: false,
            written: false,
            relayed: false,
            requests: 0,
            holding: None,
            kept: 0,
        }
    }

    /// Wraps an accepted connection whose peer shares a budget with others. Reads and writes
    /// fail once it has been given up.
    pub fn accepted(stream: TcpStream, holding: Holding) -> Self {
        Self { holding: Some(holding), ..Self::new(stream) }
    }

    /// Wraps a connection that another host relays.
    pub fn relayed(stream: TcpStream) -> Self {
        Self { relayed: true, ..Self::new(stream) }
    }

    /// Connects to `addr` within `limit`; a time-out is `TimedOut`.
    pub async fn connect(addr: SocketAddr, limit: Duration) -> io::Result<Self> {
        connect(new_socket(addr)?, addr, limit).await
    }

    /// Like [`Conn::connect`], to a peer whose answers are passed on to others: the socket receives
    /// [`RECEIVE_BUFFER`] bytes at most while they do not read.
    pub async fn connect_upstream(addr: SocketAddr, limit: Duration) -> io::Result<Self> {
        let socket = new_socket(addr)?;
        limit_receive_buffer(&socket);
        connect(socket, addr, limit).await
    }

    /// The address of the other side.
    pub fn peer(&self) -> Option<SocketAddr> {
        self.stream.peer_addr().ok()
    }

    /// The connection is used for `stage` from now on.
    pub fn enter(&self, stage: Stage) {
        if let Some(holding) = &self.holding {
            holding.enter(stage, Instant::now().into_std());
        }
    }

    /// Sets the bytes that the process keeps for the peer beside `buf`. Fails if there is no
    /// room for them.
    pub fn keep(&mut self, bytes: usize) -> Result<(), Exhausted> {
        let before = std::mem::replace(&mut self.kept, bytes);
        self.account().inspect_err(|_| self.kept = before)
    }

    /// The bytes that the process keeps for the peer beside `buf`.
    pub fn kept(&self) -> usize {
        self.kept
    }

    /// Frees `buf` if it is empty.
    pub fn free_buffer(&mut self) {
        if self.buf.is_empty() {
            self.buf = BytesMut::new();
        }
    }

    /// Why the connection has been given up for others, if it has.
    pub fn given_up(&self) -> Option<Exhausted> {
        self.holding.as_ref().and_then(Holding::given_up)
    }

    /// Frees what is held for the peer, which gets one more answer.
    pub fn begin_close(&mut self) {
        self.buf = BytesMut::new();
        self.kept = 0;
        if let Some(holding) = &self.holding {
            holding.close(Instant::now().into_std());
        }
    }

    /// Counts what is held for the peer.
    fn account(&self) -> Result<(), Exhausted> {
        match &self.holding {
            Some(holding) => {
                holding.resize(self.buf.capacity() + self.kept, Instant::now().into_std())
            }
            None => Ok(()),
        }
    }

    /// The same, with the bytes that the socket may receive while nothing is read.
    fn account_unread(&self) -> Result<(), Exhausted> {
        match &self.holding {
            Some(holding) => {
                let held = self.buf.capacity() + self.kept + RECEIVE_BUFFER;
                holding.resize(held, Instant::now().into_std())
            }
            None => Ok(()),
        }
    }

    /// Reads more bytes; 0 when the peer has closed its side.
    pub async fn fill(&mut self) -> io::Result<usize> {
        let (stream, buf) = (&mut self.stream, &mut self.buf);
        let read = async {
            if buf.capacity() == 0 {
                // Connections without a request need no buffer.
                stream.readable().await?;
            }
            buf.reserve(READ_SIZE);
            stream.read_buf(buf).await
        };
        let read = or_given_up(self.holding.as_ref(), read).await?;
        self.read_closed |= read == 0;
        self.record_progress(read);
        self.account().map_err(io::Error::other)?;
        Ok(read)
    }

    fn record_progress(&self, bytes: usize) {
        if let Some(holding) = &self.holding {
            holding.record_progress(bytes, Instant::now().into_std());
        }
    }

    /// Reads the bytes that have arrived, without waiting, until `limit` are buffered.
    pub fn read_available(&mut self, limit: usize) -> io::Result<()> {
        while self.buf.len() < limit && !self.read_closed {
            self.buf.reserve(READ_SIZE);
            match self.stream.try_read_buf(&mut self.buf) {
                Ok(0) => self.read_closed = true,
                Ok(_) => self.account().map_err(io::Error::other)?,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }

    /// Writes all of `bytes`.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.written = true;
        let mut unsent = bytes;
        while !unsent.is_empty() {
            let write = self.stream.write(unsent);
            let written = or_given_up(self.holding.as_ref(), write).await?;
            if written == 0 {
                return Err(io::ErrorKind::WriteZero.into());
            }
            self.record_progress(written);
            unsent = &unsent[written..];
        }
        Ok(())
    }

    /// Writes `unsent` until all is written, or the peer answers or closes first, and advances it
    /// past what was written. An upstream may answer a long request before it has read all of it,
    /// and then reads no further.
    pub async fn send(&mut self, unsent: &mut &[u8]) -> io::Result<()> {
        while !unsent.is_empty() {
            match self.stream.try_write(unsent) {
                Ok(written) => {
                    *unsent = &unsent[written..];
                    continue;
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Err(e),
            }
            tokio::select! {
                biased;
                ready = self.stream.readable() => {
                    ready?;
                    self.buf.reserve(READ_SIZE);
                    match self.stream.try_read_buf(&mut self.buf) {
                        Ok(0) => {
                            self.read_closed = true;
                            return Ok(());
                        }
                        Ok(_) => return Ok(()),
                        Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                        Err(e) => return Err(e),
                    }
                }
                ready = self.stream.writable() => ready?,
            }
        }
        Ok(())
    }

    /// Waits until the peer has closed the connection, and returns how. Bytes that it
    /// sends meanwhile are buffered, up to `limit`; then reading stops, and a close is
    /// no longer noticed. What the socket may receive then counts as held.
    pub async fn wait_until_closed(&mut self, limit: usize) -> PeerEnd {
        loop {
            if self.buf.len() >= limit {
                if let Err(exhausted) = self.account_unread() {
                    return PeerEnd::Failed(io::Error::other(exhausted));
                }
                return std::future::pending().await;
            }
            match self.fill().await {
                Ok(0) => return PeerEnd::Closed,
                Err(error) => return PeerEnd::Failed(error),
                Ok(_) => {}
            }
        }
    }

    /// Whether the idle connection is still open, with no unexpected bytes to read.
    pub fn is_reusable(&mut self) -> bool {
        let mut probe = [0u8; 1];
        self.buf.is_empty()
            && !self.read_closed
            && matches!(self.stream.try_read(&mut probe), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Closes the write side, then discards what the peer still sends for up to
    /// `limit`. Closing with unread bytes would send a reset, and the peer could
    /// lose the end of the answer.
    pub async fn linger(mut self, limit: Duration) {
        if self.stream.shutdown().await.is_err() {
            return;
        }
        self.buf = BytesMut::new();
        let (holding, stream) = (self.holding.as_ref(), &self.stream);
        let drain = or_given_up(holding, async {
            loop {
                stream.readable().await?;
                if discard(stream)? == 0 {
                    return Ok(());
                }
                tokio::task::yield_now().await;
            }
        });
        // An error ends the connection like the time-out.
        let _ = tokio::time::timeout(limit, drain).await;
    }

    /// The socket, to pass bytes on without reading messages from them.
    pub fn into_stream(self) -> TcpStream {
        self.stream
    }

    /// Closes the connection with a reset, so that the peer does not take what it
    /// has received for complete.
    pub fn reset(self) {
        reset_on_close(&self.stream, true);
    }
}

/// A socket for connections to `addr`.
pub fn new_socket(addr: SocketAddr) -> io::Result<TcpSocket> {
    if addr.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }
}

/// Limits what `socket`, and those accepted on it, receive before they are read. The kernel
/// doubles the value for its own use.
pub fn limit_receive_buffer(socket: &TcpSocket) {
    if let Err(error) = socket.set_recv_buffer_size(RECEIVE_BUFFER as u32) {
        tracing::debug!(target: "conn", option = "receive buffer", %error,
            "failed to set socket option");
    }
}

async fn connect(socket: TcpSocket, addr: SocketAddr, limit: Duration) -> io::Result<Conn> {
    match tokio::time::timeout(limit, socket.connect(addr)).await {
        Ok(stream) => Ok(Conn::new(stream?)),
        Err(_) => Err(io::ErrorKind::TimedOut.into()),
    }
}

/// The result of `io`, or an error once `holding` is given up.
async fn or_given_up<T>(
    holding: Option<&Holding>,
    io: impl Future<Output = io::Result<T>>,
) -> io::Result<T> {
    let Some(holding) = holding else { return io.await };
    tokio::select! {
        biased;
        exhausted = holding.wait_given_up() => Err(io::Error::other(exhausted)),
        result = io => result,
    }
}

/// Drops bytes that have arrived; 0 when the peer has closed its side.
fn discard(stream: &TcpStream) -> io::Result<usize> {
    let mut scratch = [0; READ_SIZE];
    match stream.try_read(&mut scratch) {
        Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(1),
        read => read,
    }
}

/// Sets whether `stream` is closed with a reset, also by the kernel when the process is killed.
pub fn reset_on_close(stream: &TcpStream, reset: bool) {
    let linger = reset.then_some(Duration::ZERO);
    if let Err(error) = socket2::SockRef::from(stream).set_linger(linger) {
        tracing::debug!(target: "conn", option = "linger", %error, "failed to set socket option");
    }
}

fn set_options(stream: &TcpStream) {
    let socket = socket2::SockRef::from(stream);
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(MAX_PROBES);
    let set = [
        ("nodelay", stream.set_nodelay(true)),
        ("keep-alive probes", socket.set_tcp_keepalive(&keepalive)),
        ("user timeout", socket.set_tcp_user_timeout(Some(USER_TIMEOUT))),
    ];
    for (option, result) in set {
        if let Err(error) = result {
            tracing::debug!(target: "conn", option, %error, "failed to set socket option");
        }
    }
}
