//! The other hosts as this one knows them from heartbeats: which take callers,
//! how many requests each has at which upstream, and whether each is a candidate
//! for leadership of weights rollouts.
//!
//! A starting host finds the others by the records that they keep in the
//! platform's store; they learn of it from its heartbeats.

mod clock;
mod delivery;
mod message;
mod relaying;

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use marjoram_core::candidacy::{ControlCapacity, OtherHost};
use marjoram_core::heartbeat;
use marjoram_core::host::HostSettings;
use marjoram_core::leadership::CandidateStatus;
use marjoram_core::pace::LinkSpeed;
use marjoram_core::place;
use marjoram_core::quota::ledger::Hosts;
use marjoram_core::reach::FailedRelays;
use tokio::net::UdpSocket;
use xxhash_rust::xxh3::xxh3_64;

use super::fleet::Load;
use super::traffic::Traffic;
pub use message::{
    BacklogAnswer, BacklogQuery, ClaimReport, Heartbeat, HostRecord, LimitAnswer, LimitReport,
    LostLinks, Message, Notice, StateVersions,
};

/// Time between two rounds of heartbeats, each to the next few peers.
pub const PERIOD: Duration = Duration::from_millis(100);

/// Number of peers that get a heartbeat at once. If there are more, they take
/// turns.
pub const FANOUT: usize = heartbeat::SINGLE_ROUND_HOSTS - 1;

/// How long a peer may be silent before it counts as gone, and, where there are
/// many hosts, how many of its heartbeats may be missed: more than one in forty
/// is rarely lost.
const MIN_PEER_TIMEOUT: Duration = Duration::from_millis(1_225);
const MAX_MISSED_HEARTBEATS: u32 = 3;

/// Heartbeats that must be missed before another incarnation of a peer is
/// accepted: a late datagram of a process that has ended arrives while the new
/// process sends heartbeats.
const MISSED_BEFORE_NEW_INCARNATION: u32 = 2;

/// Multiple of the allowed silence after which other hosts take over a silent
/// host's work. A host that merely restarts is back before then.
const GONE_FACTOR: u32 = 2;

#[derive(Debug, Clone)]
struct Peer {
    /// Hash of its name.
    key: u64,
    record: HostRecord,
    added: Duration,
    last_heartbeat: Option<Duration>,
    open: bool,
    candidate_status: CandidateStatus,
    control_capacity: ControlCapacity,
    store_error: Option<Duration>,
    /// Its time of day less this host's [`Peers::now`], when its last heartbeat arrived.
    epoch_offset: Option<Duration>,
    loads: Vec<(u64, Load)>,
    unreachable: Vec<u64>,
    lost_links: LostLinks,
    rejections: Vec<(u64, u32)>,
}

pub struct Peers {
    pub name: String,
    /// This host's own record.
    pub record: HostRecord,
    known: RefCell<HashMap<String, Peer>>,
    failed_relays: RefCell<FailedRelays>,
    socket: RefCell<Option<Rc<UdpSocket>>>,
    /// The time of the last heartbeat round.
    pub now: Cell<Duration>,
    next_target: Cell<usize>,
    traffic: Rc<Traffic>,
    link: LinkSpeed,
}

impl Peers {
    /// Starts without any known host.
    pub fn new(settings: &HostSettings, traffic: Rc<Traffic>) -> Self {
        let record = HostRecord {
            callers: settings.callers,
            peers: SocketAddr::new(settings.ip, settings.ports.0),
            life: rand::random(),
        };
        Self {
            name: settings.name.clone(),
            record,
            known: RefCell::default(),
            failed_relays: RefCell::default(),
            socket: RefCell::default(),
            now: Cell::default(),
            next_target: Cell::default(),
            traffic,
            link: settings.capacity.link,
        }
    }

    /// Processes the store record of the host `name`, or its deletion.
    pub fn apply_record(&self, name: &str, record: Option<HostRecord>) {
        match record {
            None => drop(self.known.borrow_mut().remove(name)),
            Some(record) => self.add(name, record, "store"),
        }
    }

    /// Adds a host's record received from `source`, unless another incarnation of
    /// that host is still sending heartbeats.
    fn add(&self, name: &str, record: HostRecord, source: &str) {
        let (now, silence) =
            (self.now.get(), self.heartbeat_round() * MISSED_BEFORE_NEW_INCARNATION);
        let mut known = self.known.borrow_mut();
        match known.get(name) {
            _ if name == self.name => {}
            Some(peer) if peer.record == record || peer.is_alive(now, silence) => {}
            _ => {
                tracing::info!(target: "peers", host = name, addr = %record.peers, source,
                    "host added");
                let peer = Peer {
                    key: xxh3_64(name.as_bytes()),
                    record,
                    added: now,
                    last_heartbeat: None,
                    open: false,
                    candidate_status: CandidateStatus::NotMember,
                    control_capacity: ControlCapacity::default(),
                    store_error: None,
                    epoch_offset: None,
                    loads: Vec::new(),
                    unreachable: Vec::new(),
                    lost_links: LostLinks::default(),
                    rejections: Vec::new(),
                };
                known.insert(name.to_string(), peer);
            }
        }
    }

    /// Number of known hosts, including this one.
    pub fn count(&self) -> usize {
        self.known.borrow().len() + 1
    }

    /// The candidate status and rank of the other hosts that take callers.
    pub fn others(&self) -> Vec<OtherHost> {
        let (now, peer_timeout) = (self.now.get(), self.peer_timeout());
        let known = self.known.borrow();
        let others = known.values().filter(|p| p.open && p.is_alive(now, peer_timeout));
        let other = |p: &Peer| OtherHost {
            candidate_status: p.candidate_status,
            rank: (p.control_capacity, p.key),
            errors: p.store_error.map(|at| now.saturating_sub(at)),
        };
        others.map(other).collect()
    }

    /// How long ago at `now` the other hosts last had a store error, and the
    /// number of other hosts whose heartbeats are received.
    pub fn store_errors(&self, now: Duration) -> (Vec<Duration>, usize) {
        let (peer_timeout, known) = (self.peer_timeout(), self.known.borrow());
        let alive = known.values().filter(|p| p.is_alive(now, peer_timeout));
        let ages = alive.clone().filter_map(|p| p.store_error).map(|at| now.saturating_sub(at));
        (ages.collect(), alive.count())
    }

    /// Whether this host, with the capacity `own`, is among the `count` hosts with
    /// the most capacity, of those whose heartbeats are received.
    pub fn has_most_capacity(&self, own: ControlCapacity, count: usize) -> bool {
        let (now, peer_timeout) = (self.now.get(), self.peer_timeout());
        let own = (own, xxh3_64(self.name.as_bytes()));
        let known = self.known.borrow();
        let alive = known.values().filter(|p| p.is_alive(now, peer_timeout));
        alive.filter(|p| (p.control_capacity, p.key) > own).count() < count
    }

    /// Whether this host is among the first `count` by rendezvous hashing of
    /// `key`, of all hosts that have not been gone for long.
    pub fn ranks_within(&self, key: u64, count: usize) -> bool {
        self.rank(key) < count
    }

    /// This host's place, from 0, by rendezvous hashing of `key`, among all hosts that have
    /// not been gone for long.
    pub fn rank(&self, key: u64) -> usize {
        self.ranked_above(key).len()
    }

    /// Number of hosts that have not been gone for long, this one included.
    pub fn present_count(&self) -> usize {
        self.present_hosts().len() + 1
    }

    /// The other hosts among the first `count` by rendezvous hashing of `key`.
    pub fn first_ranked(&self, key: u64, count: usize) -> Vec<SocketAddr> {
        let rank = self.rank(key);
        let mut ranked = self.ranked(key);
        ranked.sort_unstable_by_key(|(rank, _)| std::cmp::Reverse(*rank));
        // This host takes one of these places if it ranks high enough.
        let others = count - usize::from(rank < count);
        ranked.into_iter().take(others).map(|(_, addr)| addr).collect()
    }

    /// The other hosts that rank above this one for `key`.
    fn ranked_above(&self, key: u64) -> Vec<(u64, SocketAddr)> {
        let own = place::rank(key, xxh3_64(self.name.as_bytes()));
        let mut ranked = self.ranked(key);
        ranked.retain(|(rank, _)| *rank > own);
        ranked
    }

    /// The other hosts that have not been gone for long, with their ranks for
    /// `key`.
    fn ranked(&self, key: u64) -> Vec<(u64, SocketAddr)> {
        let (now, gone) = (self.now.get(), self.peer_timeout() * GONE_FACTOR);
        let known = self.known.borrow();
        let present = known.values().filter(|p| now < p.last_heartbeat.unwrap_or(p.added) + gone);
        present.map(|p| (place::rank(key, p.key), p.record.peers)).collect()
    }

    /// The `count` hosts with the most capacity for `group`, of those that send
    /// heartbeats and take callers. This host is `None` in the result; it takes
    /// part with the capacity `own`, if given.
    pub fn hosts_by_capacity(
        &self,
        group: u64,
        count: usize,
        own: Option<ControlCapacity>,
    ) -> Vec<Option<SocketAddr>> {
        let hosts = self.named_by_capacity(group, count, own);
        hosts.into_iter().map(|(_, addr)| addr).collect()
    }

    /// The same, with the hashes of the hosts' names.
    pub fn named_by_capacity(
        &self,
        group: u64,
        count: usize,
        own: Option<ControlCapacity>,
    ) -> Vec<(u64, Option<SocketAddr>)> {
        let (now, peer_timeout) = (self.now.get(), self.peer_timeout());
        let host = |name, capacity, addr| ((capacity, place::rank(group, name)), (name, addr));
        let known = self.known.borrow();
        let alive = known.values().filter(|p| p.open && p.is_alive(now, peer_timeout));
        let mut ranked: Vec<_> =
            alive.map(|p| host(p.key, p.control_capacity, Some(p.record.peers))).collect();
        let own_name = xxh3_64(self.name.as_bytes());
        ranked.extend(own.map(|capacity| host(own_name, capacity, None)));
        ranked.sort_unstable_by_key(|(rank, _)| std::cmp::Reverse(*rank));
        ranked.into_iter().take(count).map(|(_, host)| host).collect()
    }

    /// The address of the host with this hashed name.
    pub fn addr(&self, name: u64) -> Option<SocketAddr> {
        let known = self.known.borrow();
        known.values().find(|p| p.key == name).map(|p| p.record.peers)
    }

    /// The hosts as the quota accounts need them: how many send heartbeats, and
    /// which have been unreachable for less than `span`.
    pub fn quota_hosts(&self, span: Duration) -> Hosts {
        let (now, peer_timeout) = (self.now.get(), self.peer_timeout());
        let known = self.known.borrow();
        let reachable = known.values().filter(|p| p.is_alive(now, peer_timeout)).count() + 1;
        let is_recent = |p: &Peer| now < p.last_heartbeat.unwrap_or(p.added) + span;
        let unreachable = known.values().filter(|p| !p.is_alive(now, peer_timeout) && is_recent(p));
        Hosts { reachable, unreachable: unreachable.map(|p| p.key).collect() }
    }

    /// Hashes of the names of the other hosts that have not been gone for long.
    pub fn present_names(&self) -> HashSet<u64> {
        self.present_hosts().into_iter().map(|(host, _)| host.name).collect()
    }

    /// Addresses at which the other hosts take callers, of those that do, and whether
    /// each is cut off from all upstreams.
    pub fn open(&self) -> Vec<(SocketAddr, bool)> {
        let (now, peer_timeout) = (self.now.get(), self.peer_timeout());
        let known = self.known.borrow();
        let open = known.values().filter(|p| p.open && p.is_alive(now, peer_timeout));
        open.map(|p| (p.record.callers, p.lost_links.all)).collect()
    }

    /// Time in which every peer gets one heartbeat.
    pub fn heartbeat_round(&self) -> Duration {
        PERIOD * self.known.borrow().len().div_ceil(FANOUT).max(1) as u32
    }

    /// How long a host may be silent before it counts as gone.
    fn peer_timeout(&self) -> Duration {
        MIN_PEER_TIMEOUT.max(self.heartbeat_round() * MAX_MISSED_HEARTBEATS)
    }

    /// Processes a heartbeat received at `now`.
    pub fn receive_heartbeat(&self, heartbeat: Heartbeat, now: Duration) {
        self.add(&heartbeat.name, heartbeat.record.clone(), "greeting");
        let mut known = self.known.borrow_mut();
        let Some(peer) = known.get_mut(&heartbeat.name) else { return };
        if peer.record != heartbeat.record {
            return;
        }
        if peer.open != heartbeat.open || peer.last_heartbeat.is_none() {
            tracing::info!(target: "peers", host = heartbeat.name, open = heartbeat.open,
                "first heartbeat of host, or its readiness changed");
        }
        peer.last_heartbeat = Some(now);
        peer.open = heartbeat.open;
        peer.candidate_status = heartbeat.candidate_status;
        peer.control_capacity = heartbeat.room;
        peer.store_error =
            heartbeat.store_error.map(|ms| now.saturating_sub(Duration::from_millis(ms)));
        peer.epoch_offset = Some(Duration::from_millis(heartbeat.unix_time).saturating_sub(now));
        peer.loads = heartbeat.loads;
        peer.unreachable = heartbeat.unreachable;
        peer.lost_links = heartbeat.lost_links;
        peer.rejections = heartbeat.rejections;
    }

    /// Sum of the other hosts' requests at each upstream, by the upstream's key.
    pub fn loads(&self) -> HashMap<u64, Load> {
        let (now, peer_timeout) = (self.now.get(), self.peer_timeout());
        let mut sums: HashMap<u64, Load> = HashMap::new();
        for peer in self.known.borrow().values().filter(|p| p.is_alive(now, peer_timeout)) {
            for (key, load) in &peer.loads {
                let sum = sums.entry(*key).or_default();
                *sum = sum.plus(*load);
            }
        }
        sums
    }

    /// Number of requests of other hosts that the brittle upstream with the key
    /// `upstream` recently rejected.
    pub fn rejections(&self, upstream: u64) -> u32 {
        let (now, peer_timeout) = (self.now.get(), self.peer_timeout());
        let known = self.known.borrow();
        let alive = known.values().filter(|p| p.is_alive(now, peer_timeout));
        let counts = alive.flat_map(|p| &p.rejections).filter(|(key, _)| *key == upstream);
        counts.map(|(_, count)| count).sum()
    }

    /// The records of the other hosts.
    pub fn records(&self) -> Vec<(String, HostRecord)> {
        self.known.borrow().iter().map(|(n, p)| (n.clone(), p.record.clone())).collect()
    }

    /// The hosts, for the state dump.
    pub fn state(&self, now: Duration) -> serde_json::Value {
        let known = self.known.borrow();
        let state = |(name, p): (&String, &Peer)| {
            let heard = p.last_heartbeat.map(|at| now.saturating_sub(at).as_millis() as u64);
            serde_json::json!({ "name": name, "callers": p.record.callers, "open": p.open,
                "heard_ms_ago": heard })
        };
        known.iter().map(state).collect()
    }

    /// Sets the socket from which heartbeats and messages are sent.
    pub fn open_socket(&self, socket: Rc<UdpSocket>) {
        *self.socket.borrow_mut() = Some(socket);
    }

    /// The next hosts to get a heartbeat, in turn.
    fn targets(&self, count: usize) -> Vec<SocketAddr> {
        let known = self.known.borrow();
        let mut names: Vec<(&String, SocketAddr)> =
            known.iter().map(|(n, p)| (n, p.record.peers)).collect();
        names.sort();
        let all = names.len();
        let first = self.next_target.get();
        self.next_target.set((first + count.min(all)) % all.max(1));
        (0..count.min(all)).map(|i| names[(first + i) % all].1).collect()
    }
}

impl Peer {
    fn is_alive(&self, now: Duration, peer_timeout: Duration) -> bool {
        self.last_heartbeat.is_some_and(|at| now < at + peer_timeout)
    }
}
