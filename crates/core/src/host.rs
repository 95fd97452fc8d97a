//! Settings of one host's process, as the project names them.

use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::candidacy::Room;
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

/// Times and shares within which the operators want things done.
#[derive(Debug, Clone, PartialEq)]
pub struct Bounds {
    /// How long a leaving upstream may still get work.
    pub drain: Duration,
    /// How long a process may take to stop.
    pub grace: Duration,
    /// Repeated sends allowed, as a share of first sends, over all hosts.
    pub retry_ratio: f64,
    /// The span over which that share is taken.
    pub retry_window: Duration,
    /// Repeated sends allowed beyond the share, over all hosts.
    pub retry_slack: f64,
    /// How long two holders of a duty must not take turns.
    pub lease: Duration,
    /// Time to bring newly named weights into use.
    pub weights: Duration,
    /// Longest a caller keeps an address answer.
    pub answer_ttl: Duration,
    /// By how much a workspace's requests may exceed its quota.
    pub quota: Tolerance,
}

/// What a host's process may use.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Capacity {
    /// Processor time, in cores.
    pub cores: f64,
    /// Its link.
    pub link: LinkSpeed,
}

impl Capacity {
    /// Its room for duties of the whole system.
    pub fn room(self) -> Room {
        Room::new(self.cores, self.link.0)
    }
}

/// Where the platform's store is.
#[derive(Debug, Clone, PartialEq)]
pub struct StoreSettings {
    /// Its address.
    pub addr: SocketAddr,
    /// The shortest lease of a group membership it grants.
    pub lease_min: Duration,
}

/// Settings of one host's process.
#[derive(Debug, Clone, PartialEq)]
pub struct HostSettings {
    /// The host's name.
    pub name: String,
    /// Its address.
    pub ip: IpAddr,
    /// Its data centre.
    pub dc: DataCentre,
    /// Where callers' requests arrive.
    pub callers: SocketAddr,
    /// Where readiness is asked for.
    pub ready: Option<SocketAddr>,
    /// Where callers ask for addresses.
    pub directory: Option<SocketAddr>,
    /// First and last port free for traffic between hosts.
    pub ports: (u16, u16),
    /// The whole system starts for the first time.
    pub first_start: bool,
    /// What it may use.
    pub capacity: Capacity,
    /// Bounds to keep.
    pub bounds: Bounds,
    /// The platform's store.
    pub store: StoreSettings,
}
