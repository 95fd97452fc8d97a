//! Opens connections to upstreams over a host's own link or through other hosts.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use futures::StreamExt;
use futures::future::Either;
use futures::stream::FuturesUnordered;
use marjoram_core::reach::{self, Conclusion, Connect, HEDGE_DELAY, Path};
use quick_error::quick_error;

use crate::conn::Conn;
use crate::control_connects::reaches_any;
use crate::tunnel::{self, OpenError};

/// Time-out of a connect. Within a region it takes a few milliseconds; beyond
/// this, the upstream is down or its accept queue is full.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

quick_error! {
    /// Why no connection to an upstream was opened.
    #[derive(Debug)]
    pub enum ConnectError {
        /// The upstream is down: hosts that reach others do not reach it.
        Down(why: io::Error) {
            display("upstream down: {why}")
        }
        /// No host is known to have a link to the upstream.
        NoPath {
            display("no path to the upstream")
        }
    }
}

impl ConnectError {
    /// Whether the upstream refuses connections.
    pub fn is_refusal(&self) -> bool {
        matches!(self, Self::Down(why) if why.kind() == io::ErrorKind::ConnectionRefused)
    }
}

/// The connects to one upstream.
struct Connects {
    direct: Connect,
    relayed: Vec<Connect>,
    /// Hosts that answered that they cannot relay, or did not answer.
    failed_relays: Vec<SocketAddr>,
    /// Why the last one failed.
    error: io::Error,
}

/// The end of one connect: `None` for the direct one, else the number of the relayed
/// one and the host that was asked.
type Ended = (Option<(usize, SocketAddr)>, Result<Conn, OpenError>);

impl Connects {
    fn conclude(&self, more: bool) -> Conclusion {
        reach::conclude(self.direct, &self.relayed, more)
    }

    /// Ends the connects that are still pending. A host that has not answered confirms
    /// nothing.
    fn time_out(&mut self) {
        self.error = io::ErrorKind::TimedOut.into();
        if self.direct == Connect::Pending {
            self.direct = Connect::Failed;
        }
        for connect in self.relayed.iter_mut().filter(|c| **c == Connect::Pending) {
            *connect = Connect::Unavailable;
        }
    }

    /// Records how a connect ended; returns the connection if it succeeded.
    fn record(&mut self, (which, result): Ended) -> Option<Conn> {
        let (outcome, conn) = match result {
            Ok(conn) => (Connect::Connected, Some(conn)),
            Err(OpenError::Upstream(error)) => {
                self.error = error;
                (Connect::Failed, None)
            }
            Err(OpenError::Host(why)) => {
                tracing::debug!(target: "tunnel", why, "no tunnel");
                self.failed_relays.extend(which.map(|(_, host)| host));
                (Connect::Unavailable, None)
            }
        };
        match which {
            None => self.direct = outcome,
            Some((number, _)) => self.relayed[number] = outcome,
        }
        conn
    }
}

/// The paths to one upstream.
#[derive(Debug)]
pub struct Paths {
    /// Its address for this host.
    pub addr: SocketAddr,
    /// The key by which hosts name it to each other.
    pub key: u64,
    /// Which of them are tried.
    pub path: Path,
    /// Other hosts that may relay a connection, in the order to ask them.
    pub hosts: Vec<SocketAddr>,
}

/// What connects to one upstream have shown.
#[derive(Debug)]
pub struct Outcome {
    pub conclusion: Conclusion,
    /// Hosts that could not relay a connection.
    pub failed_relays: Vec<SocketAddr>,
    pub result: Result<Conn, ConnectError>,
}

/// Connects over `paths` within [`CONNECT_TIMEOUT`], and concludes what the connects
/// show. `others` returns addresses of other upstreams (see [`reaches_any`]), for the
/// case that no other host can tell whether the upstream is down.
pub async fn connect(paths: Paths, others: impl FnOnce() -> Vec<SocketAddr>) -> Outcome {
    let mut hosts = paths.hosts.into_iter();
    let mut running = FuturesUnordered::new();
    let mut connects = Connects {
        direct: Connect::NotTried,
        relayed: Vec::new(),
        failed_relays: Vec::new(),
        error: io::ErrorKind::HostUnreachable.into(),
    };
    if paths.path != Path::Relayed {
        connects.direct = Connect::Pending;
        running.push(Either::Left(direct(paths.addr)));
    }
    let mut ask_next = paths.path != Path::Direct;
    let end = tokio::time::sleep(CONNECT_TIMEOUT);
    tokio::pin!(end);
    let conn = loop {
        if ask_next && let Some(host) = hosts.next() {
            let number = connects.relayed.len();
            running.push(Either::Right(relayed(number, host, paths.key)));
            connects.relayed.push(Connect::Pending);
        }
        let more = hosts.len() > 0;
        if connects.conclude(more) != Conclusion::Undecided {
            break None;
        }
        tokio::select! {
            Some(ended) = running.next() => match connects.record(ended) {
                Some(conn) => break Some(conn),
                None => ask_next = true,
            },
            () = tokio::time::sleep(HEDGE_DELAY), if more => ask_next = true,
            () = &mut end => {
                connects.time_out();
                break None;
            }
        }
    };
    if connects.direct == Connect::Failed && connects.conclude(false) == Conclusion::Unknown {
        // No other host can tell.
        connects.relayed.push(match reaches_any(others()).await {
            true => Connect::Failed,
            false => Connect::Unavailable,
        });
    }
    let conclusion = connects.conclude(false);
    let result = match (conn, conclusion) {
        (Some(conn), _) => Ok(conn),
        (None, Conclusion::UpstreamDown) => Err(ConnectError::Down(connects.error)),
        (None, _) => Err(ConnectError::NoPath),
    };
    Outcome { conclusion, failed_relays: connects.failed_relays, result }
}

async fn direct(addr: SocketAddr) -> Ended {
    let result = Conn::connect_upstream(addr, CONNECT_TIMEOUT).await;
    (None, result.map_err(OpenError::Upstream))
}

async fn relayed(number: usize, host: SocketAddr, upstream: u64) -> Ended {
    (Some((number, host)), tunnel::open(host, upstream, CONNECT_TIMEOUT).await)
}
