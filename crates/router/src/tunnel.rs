//! Relays connections to upstreams for hosts that have lost their own links.
//!
//! A tunnel is a TCP connection to another host, which opens one to the upstream
//! and passes bytes on in both directions. It carries no knowledge of requests: the
//! host that took a request from its caller decides alone when it is sent, and
//! whether it may have run. A tunnel is never relayed again.
//!
//! Closes and resets are passed on as they are, since an answer may end with its
//! connection. A tunnel whose process ends is reset.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use marjoram_core::reach::HEDGE_DELAY;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};

use crate::conn::{self, Conn};
use crate::control_connects;

/// First byte of a tunnel; the other protocol on the port, HTTP/2, begins with `P`.
pub const MAGIC: u8 = b'T';

/// Lengths in bytes of an encoded [`Request`] and [`Answer`], whose numbers have a fixed size.
const REQUEST_LENGTH: usize = 8;
const ANSWER_LENGTH: usize = 4;

/// Time-out of the request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// Time-out of the connect to the upstream: shorter than that of the host which
/// waits for it, so that this host can still be told of the failure.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Most tunnels that a host serves at once; each takes two descriptors and 16 KB.
const MAX_TUNNELS: usize = 512;

/// Bytes read at once.
const BUFFER_SIZE: usize = 8 << 10;

/// How long a tunnel whose upstream has closed may take to close at the other end.
const LINGER: Duration = Duration::from_secs(1);

/// Asks for a connection to the upstream with this key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct Request {
    upstream: u64,
}

/// The answer to a [`Request`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// Connected: the bytes that follow are the upstream's.
    Connected,
    /// The upstream refused the connection; others do not.
    Refused,
    /// The upstream did not answer; others do.
    TimedOut,
    /// The connect was not tried, or failed like those to other upstreams.
    Unavailable,
}

/// How a host's connect to an upstream for another host ended.
pub type Connected = (Answer, Option<TcpStream>);

/// Why no tunnel was opened.
#[derive(Debug)]
pub enum OpenError {
    /// The connect to the upstream failed.
    Upstream(io::Error),
    /// The relaying host could not be reached, did not try, or reaches no upstream.
    Host(String),
}

impl From<io::Error> for OpenError {
    fn from(error: io::Error) -> Self {
        Self::Host(error.to_string())
    }
}

/// Number of tunnels that a host serves.
#[derive(Debug, Clone)]
pub struct Tunnels {
    count: Rc<Cell<u32>>,
    limit: usize,
}

impl Tunnels {
    /// None yet, and at most `limit` at once.
    pub fn new(limit: usize) -> Self {
        Self { count: Rc::default(), limit: limit.min(MAX_TUNNELS) }
    }

    /// The number at this moment.
    pub fn count(&self) -> u32 {
        self.count.get()
    }

    /// Whether no further tunnel is served.
    pub fn is_full(&self) -> bool {
        self.count() as usize > self.limit
    }

    /// Counts one more until the result is dropped.
    fn enter(&self) -> Entered {
        self.count.set(self.count.get() + 1);
        Entered(self.clone())
    }
}

/// A tunnel being served.
struct Entered(Tunnels);

impl Drop for Entered {
    fn drop(&mut self) {
        let count = &self.0.count;
        count.set(count.get().saturating_sub(1));
    }
}

/// Opens a connection to the upstream with the key `upstream` through the host at
/// `host`, within `limit`.
pub async fn open(host: SocketAddr, upstream: u64, limit: Duration) -> Result<Conn, OpenError> {
    let opened = async {
        let mut stream = Conn::connect_upstream(host, limit).await?.into_stream();
        let mut request = vec![MAGIC];
        request.extend(encode(&Request { upstream })?);
        stream.write_all(&request).await?;
        match read::<Answer, ANSWER_LENGTH>(&mut stream).await? {
            Answer::Connected => Ok(Conn::relayed(stream)),
            Answer::Refused => Err(OpenError::Upstream(io::ErrorKind::ConnectionRefused.into())),
            Answer::TimedOut => Err(OpenError::Upstream(io::ErrorKind::TimedOut.into())),
            Answer::Unavailable => Err(OpenError::Host("not available".into())),
        }
    };
    let timed_out = |_| Err(OpenError::Host(format!("no answer in {} ms", limit.as_millis())));
    tokio::time::timeout(limit, opened).await.unwrap_or_else(timed_out)
}

/// Serves the tunnel that another host opens on `stream`; `connect` connects to the
/// upstream with the key that it names.
pub async fn serve(
    tunnels: &Tunnels,
    stream: TcpStream,
    connect: impl AsyncFnOnce(u64) -> Connected,
) {
    let mut stream = Conn::new(stream).into_stream();
    let read = async {
        let magic = stream.read_u8().await?;
        debug_assert_eq!(magic, MAGIC);
        read::<Request, REQUEST_LENGTH>(&mut stream).await
    };
    let request = match tokio::time::timeout(REQUEST_TIMEOUT, read).await {
        Ok(Ok(request)) => request,
        Ok(Err(error)) => {
            return tracing::debug!(target: "tunnel", %error, "cannot read the request of a tunnel");
        }
        Err(_) => return tracing::debug!(target: "tunnel", "no request on a tunnel"),
    };
    let _entered = tunnels.enter();
    let (answer, upstream) = connect(request.upstream).await;
    let sent = match encode(&answer) {
        Ok(bytes) => stream.write_all(&bytes).await,
        Err(error) => Err(error),
    };
    if let (Ok(()), Some(upstream)) = (sent, upstream) {
        splice(stream, upstream).await;
    }
}

/// Connects to the upstream at `addr` over this host's own link. `others` returns
/// addresses of other upstreams, which are tried if the connect fails.
pub async fn connect(addr: SocketAddr, others: impl FnOnce() -> Vec<SocketAddr>) -> Connected {
    let mut connecting = pin!(Conn::connect_upstream(addr, CONNECT_TIMEOUT));
    let (result, link_works) = match tokio::time::timeout(HEDGE_DELAY, &mut connecting).await {
        Ok(Ok(conn)) => (Ok(conn), true),
        Ok(failed) => (failed, control_connects::reaches_any(others()).await),
        Err(_) => futures::join!(connecting, control_connects::reaches_any(others())),
    };
    match result {
        Ok(conn) => (Answer::Connected, Some(conn.into_stream())),
        Err(_) if !link_works => (Answer::Unavailable, None),
        Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => (Answer::Refused, None),
        Err(_) => (Answer::TimedOut, None),
    }
}

/// How passing bytes on in one direction ended.
enum End {
    /// The source has closed its side.
    Closed,
    /// The source failed.
    SourceFailed,
    /// The sink accepts no more bytes. The error is `BrokenPipe` if its peer had closed its side
    /// before it reset the connection.
    SinkFailed(io::Error),
}

/// Passes bytes on in both directions until one side closes. `host` is reset unless the bytes that
/// it got are all of the upstream's.
async fn splice(mut host: TcpStream, mut upstream: TcpStream) {
    conn::reset_on_close(&host, true);
    // The kernel reports a reset once: after a failed write, the end of the bytes received before
    // it looks like a close.
    let is_reset = Cell::new(false);
    let intact = {
        let (mut from_host, mut to_host) = host.split();
        let (mut from_upstream, mut to_upstream) = upstream.split();
        let requests = async {
            match pump(&mut from_host, &mut to_upstream).await {
                // An upstream may answer a long request before it has read all of
                // it, and then reads no further.
                End::SinkFailed(error) => {
                    is_reset.set(error.kind() != io::ErrorKind::BrokenPipe);
                    std::future::pending().await
                }
                End::Closed | End::SourceFailed => {}
            }
        };
        tokio::select! {
            // The other host has left: its request ends with the connection.
            () = requests => true,
            end = pump(&mut from_upstream, &mut to_host) => {
                matches!(end, End::Closed) && !is_reset.get()
            }
        }
    };
    if intact {
        conn::reset_on_close(&host, false);
        Conn::new(host).linger(LINGER).await;
    }
}

/// Passes bytes on from `source` to `sink` until one of them ends.
async fn pump(source: &mut ReadHalf<'_>, sink: &mut WriteHalf<'_>) -> End {
    let mut buffer = [0; BUFFER_SIZE];
    loop {
        match source.read(&mut buffer).await {
            Ok(0) => return End::Closed,
            Ok(read) => match sink.write_all(&buffer[..read]).await {
                Ok(()) => {}
                Err(error) => return End::SinkFailed(error),
            },
            Err(_) => return End::SourceFailed,
        }
    }
}

fn encode<T: Serialize>(message: &T) -> io::Result<Vec<u8>> {
    let config = bincode::config::standard().with_fixed_int_encoding();
    bincode::serde::encode_to_vec(message, config).map_err(io::Error::other)
}

/// Reads a message of `LENGTH` bytes.
async fn read<T: DeserializeOwned, const LENGTH: usize>(stream: &mut TcpStream) -> io::Result<T> {
    let mut bytes = [0; LENGTH];
    stream.read_exact(&mut bytes).await?;
    let config = bincode::config::standard().with_fixed_int_encoding();
    let decoded = bincode::serde::decode_from_slice(&bytes, config);
    decoded.map(|(message, _)| message).map_err(io::Error::other)
}
