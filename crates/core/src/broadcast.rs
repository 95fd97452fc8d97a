//! Broadcasts a message to all hosts through a few relays.
//!
//! Load pattern: one host sends each event to every other host itself. With 295
//! hosts and 130 engines that change their weights, some 150,000 datagrams
//! leave one host within seconds and saturate its link, and its calls to the
//! platform's store time out along with everything else.
//!
//! Limits: with more than [`MAX_DIRECT_HOSTS`] hosts, a message is sent to as
//! many relays as the square root of their number, and each relay forwards it to
//! its slice of the hosts, so no host sends more than [`fan_out`] datagrams for a
//! message. A slice is described by a seed rather than by its members: when
//! sender and relay know different sets of hosts, only hosts that the relay does
//! not know are not sent the message. The slices are drawn again for each
//! message, so a host whose relay is down receives the next one.

use serde::{Deserialize, Serialize};

use crate::place;

/// Number of hosts up to which a message is sent to each host directly.
pub const MAX_DIRECT_HOSTS: usize = 16;

/// A subset of the hosts, chosen by hash: every host that knows the same hosts
/// computes the same subset.
///
/// ```
/// use marjoram_core::broadcast::Slice;
/// let slices: Vec<Slice> = (0..4).map(|index| Slice { seed: 9, count: 4, index }).collect();
/// // Each host is in exactly one of them.
/// assert!((0..100u64).all(|host| slices.iter().filter(|s| s.contains(host)).count() == 1));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Slice {
    /// Random seed, drawn for each message.
    pub seed: u64,
    /// Number of slices.
    pub count: u32,
    /// Index of this slice, below `count`.
    pub index: u32,
}

impl Slice {
    /// Whether the host with the hashed name `host` is in this slice.
    pub fn contains(&self, host: u64) -> bool {
        place::rank(self.seed, host) % u64::from(self.count.max(1)) == u64::from(self.index)
    }
}

/// Another host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Host {
    /// Its hashed name.
    pub name: u64,
    /// A heartbeat of it was received recently, so it can be used as a relay.
    pub alive: bool,
}

/// One datagram of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Datagram {
    /// Index of the receiving host among those given to [`plan`].
    pub to: usize,
    /// The hosts that the receiver forwards the message to; `None` where every
    /// host is sent the message directly.
    pub slice: Option<Slice>,
}

/// Maximum number of datagrams that one host sends to broadcast a message to
/// `hosts` others.
///
/// ```
/// use marjoram_core::broadcast::fan_out;
/// assert_eq!([8, 16, 69, 294, 409].map(fan_out), [8, 16, 9, 18, 21]);
/// ```
pub fn fan_out(hosts: usize) -> usize {
    match hosts {
        few if few <= MAX_DIRECT_HOSTS => few,
        many => (many as f64).sqrt().ceil() as usize,
    }
}

/// The datagrams by which one host broadcasts a message to `hosts`; `seed` is
/// drawn for each message. Relays are hosts with a recent heartbeat where there
/// are any in the slice.
///
/// ```
/// use marjoram_core::broadcast::{Host, fan_out, plan};
/// let hosts: Vec<Host> = (0..294).map(|name| Host { name, alive: name % 3 > 0 }).collect();
/// let datagrams = plan(&hosts, 7);
/// assert!(datagrams.len() <= fan_out(hosts.len()));
/// // Each host is in the slice of a relay.
/// let receives =
///     |host: &Host| datagrams.iter().any(|d| d.slice.unwrap().contains(host.name));
/// assert!(hosts.iter().all(receives));
/// assert!(datagrams.iter().all(|datagram| hosts[datagram.to].alive));
/// ```
pub fn plan(hosts: &[Host], seed: u64) -> Vec<Datagram> {
    if hosts.len() <= MAX_DIRECT_HOSTS {
        return (0..hosts.len()).map(|to| Datagram { to, slice: None }).collect();
    }
    let count = fan_out(hosts.len()) as u32;
    let relay = |index| {
        let slice = Slice { seed, count, index };
        let members = (0..hosts.len()).filter(|at| slice.contains(hosts[*at].name));
        let to =
            members.max_by_key(|at| (hosts[*at].alive, place::rank(!seed, hosts[*at].name)))?;
        Some(Datagram { to, slice: Some(slice) })
    };
    (0..count).filter_map(relay).collect()
}
