//! Settings of the process on one host, independent of the format of the
//! platform's settings file.

use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::candidacy::ControlCapacity;
use crate::pace::LinkSpeed;
use crate::quota::Tolerance;

/// Name of a data centre.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct DataCentre(pub String);

impl fmt::Display for DataCentre {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl From<String> for DataCentre {
    fn from(name: String) -> Self {
        Self(name)
    }
}

/// Time limits and ratios that the operators require the system to keep.
#[derive(Debug, Clone, PartialEq)]
pub struct Bounds {
    /// How long an upstream that is leaving may still get requests.
    pub drain: Duration,
    /// How long a process may take to shut down.
    pub grace: Duration,
    /// Retries allowed, as a fraction of first sends, over all hosts.
    pub retry_ratio: f64,
    /// Window over which that fraction is measured.
    pub retry_window: Duration,
    /// Number of retries allowed beyond that fraction, over all hosts.
    pub retry_slack: f64,
    /// Minimum time between the orders of two successive leaders of weights
    /// rollouts.
    pub min_handover_interval: Duration,
    /// How long a new configuration may take to be in force.
    pub config: Duration,
    /// How long a newly announced weights version may take to come into use.
    pub weights: Duration,
    /// How long hosts have to learn of a change of the upstreams' conditions.
    pub stable_window: Duration,
    /// How long a caller may keep an address response.
    pub answer_ttl: Duration,
    /// By how much a workspace's requests may exceed its quota.
    pub quota: Tolerance,
}

/// Fraction of the memory for answers that are read whole, one of 16 MB on a host of 110 MB.
/// The rest is for requests, streams and indices, and for fragmentation of the heap.
const BUFFER_FRACTION: u64 = 6;

/// Fraction of the memory for all connections of peers: their buffers, their requests, and the
/// complete answers that they have not received.
const PEER_FRACTION: u64 = 5;

/// Descriptors that are reserved for files.
const FILE_FDS: u64 = 200;

/// Fractions of the sockets for connections of callers, to the status ports and from other hosts.
/// Each request of a caller may need a connection to an upstream, so callers leave more than that
/// many for connections to others.
const CALLER_FRACTION: usize = 3;
const STATUS_FRACTION: usize = 8;
const HOST_FRACTION: usize = 8;

/// Bytes that the socket of an accepted connection may receive before they are read, and the
/// fraction of the memory for those of all callers.
pub const RECEIVE_BUFFER: usize = 32 << 10;
const RECEIVE_FRACTION: usize = 4;

/// Most connections that may wait to be accepted on a port, and the fraction of the memory for the
/// bytes that they may receive.
const MAX_BACKLOG: usize = 1_024;
const BACKLOG_FRACTION: usize = 8;

/// Fraction of the sockets for tunnels, which have two each: one of those from other hosts, and
/// one to an upstream.
const TUNNEL_FRACTION: usize = 16;

/// Resources that the process on a host may use.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Capacity {
    /// CPU time, in cores.
    pub cores: f64,
    /// Speed of its network link.
    pub link: LinkSpeed,
    /// Memory, in bytes; a process that exceeds it is killed.
    pub memory: u64,
    /// Descriptors that the process may have open.
    pub fds: u64,
}

impl Capacity {
    /// Its capacity for control work, such as leading weights rollouts.
    pub fn control_capacity(self) -> ControlCapacity {
        ControlCapacity::new(self.cores, self.link.0)
    }

    /// The bytes of answers that may be buffered at the same time.
    pub fn buffered_bytes(self) -> usize {
        (self.memory / BUFFER_FRACTION) as usize
    }

    /// The bytes that all connections of peers may use together.
    pub fn peer_bytes(self) -> usize {
        (self.memory / PEER_FRACTION) as usize
    }

    /// The sockets that the process may have open.
    fn sockets(self) -> usize {
        self.fds.saturating_sub(FILE_FDS) as usize
    }

    /// Connections that callers may have together.
    pub fn caller_conns(self) -> usize {
        let by_memory = self.memory as usize / RECEIVE_FRACTION / RECEIVE_BUFFER;
        (self.sockets() / CALLER_FRACTION).min(by_memory).max(1)
    }

    /// Connections that may wait to be accepted on a port.
    pub fn accept_backlog(self) -> u32 {
        let by_memory = self.memory as usize / BACKLOG_FRACTION / RECEIVE_BUFFER;
        by_memory.clamp(1, MAX_BACKLOG) as u32
    }

    /// Connections to all status ports together.
    pub fn status_conns(self) -> usize {
        (self.sockets() / STATUS_FRACTION).max(1)
    }

    /// Connections that other hosts may have together.
    pub fn host_conns(self) -> usize {
        (self.sockets() / HOST_FRACTION).max(1)
    }

    /// Tunnels that may be served at the same time.
    pub fn tunnels(self) -> usize {
        self.sockets() / TUNNEL_FRACTION
    }
}

/// Connection settings for the platform's store.
#[derive(Debug, Clone, PartialEq)]
pub struct StoreSettings {
    /// The store's address.
    pub addr: SocketAddr,
    /// Shortest lease of a group membership that the store grants.
    pub lease_min: Duration,
}

/// Settings of the process on one host.
#[derive(Debug, Clone, PartialEq)]
pub struct HostSettings {
    /// The host's name.
    pub name: String,
    /// The host's IP address.
    pub ip: IpAddr,
    /// The host's data centre.
    pub dc: DataCentre,
    /// Address on which requests from callers arrive.
    pub callers: SocketAddr,
    /// Address of the readiness endpoint, if there is one.
    pub ready: Option<SocketAddr>,
    /// Address on which callers request the address of a host, if there is one.
    pub directory: Option<SocketAddr>,
    /// First and last port of the range for traffic between hosts.
    pub ports: (u16, u16),
    /// Whether the whole system is starting for the first time.
    pub first_start: bool,
    /// Whether an engine crashes if its requests exceed its memory, rather than preempting
    /// some of them.
    pub overcommit_crashes: bool,
    /// Resources that the process may use.
    pub capacity: Capacity,
    /// Time limits and ratios to keep.
    pub bounds: Bounds,
    /// The platform's store.
    pub store: StoreSettings,
}
