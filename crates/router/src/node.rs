//! The state one router node shares between its threads.
//!
//! The request path reads configuration and the engine pool through
//! `ArcSwap` (read-copy-update: followers build a new value and swap it in)
//! and counts load with atomics; only the cache picture takes short locks.

use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use arc_swap::ArcSwap;
use cadence::{BufferedUdpMetricSink, QueuingMetricSink, StatsdClient};
use marjoram_core::admission::{Budget, Pace};
use marjoram_core::cache::{MAX_SLOTS, Picture, Slot};
use marjoram_core::claims::Claims;
use marjoram_core::config::{Config, Routing};
use marjoram_core::feed::Cursor;
use marjoram_core::ids::{Fencing, Incarnation, Offset, Tokens, WorkspaceId};
use marjoram_core::lease::Contender;
use marjoram_core::members::Members;
use marjoram_core::policy;
use marjoram_core::wire::HostEntry;
use serde::Serialize;

use crate::clock;
use crate::options::Settings;
use crate::peer::links::Links;
use crate::quarantine::Poison;

/// Second attempts allowed, in thousandths of the requests.
const RETRY_SHARE: u32 = 200;
/// Second attempts allowed at once beyond that share.
const RETRY_RESERVE: u32 = 20;

/// Low bits of a request id that count this process's requests.
const ID_BITS: u32 = 24;

/// The configuration in force, as the request path sees it.
#[derive(Debug, Default, Serialize)]
pub struct Active {
    /// Offset of the last configuration record applied.
    pub offset: Option<Offset>,
    /// Policy and parameters by workspace.
    pub routing: Arc<BTreeMap<WorkspaceId, Routing>>,
    /// The whole configuration, for snapshots and starting routers.
    #[serde(skip)]
    pub config: Arc<Config>,
}

impl From<&Config> for Active {
    fn from(config: &Config) -> Self {
        Self { offset: config.offset, routing: config.routing(), config: Arc::new(config.clone()) }
    }
}

/// An engine of the pool.
#[derive(Debug, Clone, Serialize)]
pub struct Engine {
    /// Its slot in the cache picture.
    pub slot: Slot,
    /// `ip:port`.
    pub addr: String,
    /// Hash of the address, stable across routers.
    pub key: u64,
    /// Its data centre.
    pub dc: String,
    /// The host list says it is leaving.
    pub leaving: bool,
}

/// Entry hosts, engines and plain services, as the host list last said.
#[derive(Debug, Default, Serialize)]
pub struct Pool {
    /// Engines, by slot.
    pub engines: Vec<Engine>,
    /// Live routers, this one included.
    pub routers: Vec<HostEntry>,
    /// Live plain services.
    pub services: Vec<String>,
}

/// Counters for the state dump and metrics.
#[derive(Debug, Default, Serialize)]
pub struct Counters {
    /// Completions received.
    pub requests: AtomicU64,
    /// Completions answered whole.
    pub answered: AtomicU64,
    /// Completions that failed.
    pub failed: AtomicU64,
    /// Attempts that moved to another engine before it accepted.
    pub retried: AtomicU64,
    /// Requests refused because every queue was too long.
    pub late: AtomicU64,
    /// Second attempts not made because the budget was spent.
    pub unretried: AtomicU64,
    /// Streams resumed on another engine after a break.
    pub resumed: AtomicU64,
    /// Cache events applied.
    pub events: AtomicU64,
    /// Gaps seen in engines' event sequences.
    pub gaps: AtomicU64,
}

/// Everything one node shares between threads.
pub struct Node {
    /// Checked settings.
    pub settings: Settings,
    /// Configuration in force.
    pub active: ArcSwap<Active>,
    /// Hosts as last listed.
    pub pool: ArcSwap<Pool>,
    /// Which engine holds which block.
    pub picture: Picture,
    /// One instance of every policy.
    pub policies: policy::Router,
    /// Requests in flight from this node, by slot.
    pub inflight: [AtomicU32; MAX_SLOTS],
    /// Prompt tokens sent from this node and not yet read, by slot.
    pub pending: [AtomicU64; MAX_SLOTS],
    /// How fast each engine reads prompts, by slot.
    pub pace: [Pace; MAX_SLOTS],
    /// Second attempts this node may make.
    pub budget: Budget,
    /// Requests each engine last reported beyond this node's own, by slot.
    pub others: [AtomicU32; MAX_SLOTS],
    /// Engines this node could not reach, by slot.
    pub down: [AtomicBool; MAX_SLOTS],
    /// A configuration has been read up to the stream's end once.
    pub configured: AtomicBool,
    /// Warm enough for callers (see `warm`).
    pub ready: AtomicBool,
    /// Set on SIGTERM: take no new work, send callers elsewhere.
    pub draining: AtomicBool,
    /// Counters.
    pub counters: Counters,
    /// Metrics sink.
    pub metrics: StatsdClient,
    /// Claims of at-most-once calls read from the log service.
    pub claims: Mutex<Claims>,
    /// Requests under which engines crash.
    pub poison: Poison,
    /// Where each engine's events have been read up to.
    pub cursors: Mutex<HashMap<Slot, Cursor>>,
    /// A configuration another router offered, not yet taken up.
    pub offered: Mutex<Option<Config>>,
    /// Which routers are up.
    pub members: Mutex<Members>,
    /// Routers callers may be sent to: listed, and up as far as is known.
    pub entries: ArcSwap<Vec<HostEntry>>,
    /// This router's side of the fleet's lease.
    pub contender: Mutex<Contender>,
    /// Connections to other routers.
    pub links: Links,
    next_id: AtomicU64,
}

impl Node {
    /// A node with empty state for `settings`.
    pub fn new(settings: Settings) -> Self {
        let metrics = statsd(&settings);
        // Random, not from the time of day: that may step back at a restart.
        let life: u64 = rand::random();
        let members = Members::new(settings.advertise.clone(), unix_ms());
        let owner = format!("{}/{life:016x}", settings.advertise);
        let contender = Contender::new(owner, settings.lease_ttl);
        Self {
            settings,
            active: ArcSwap::default(),
            pool: ArcSwap::default(),
            picture: Picture::new(),
            policies: policy::Router::new(),
            inflight: std::array::from_fn(|_| AtomicU32::new(0)),
            pending: std::array::from_fn(|_| AtomicU64::new(0)),
            pace: std::array::from_fn(|_| Pace::new()),
            budget: Budget::new(RETRY_SHARE, RETRY_RESERVE),
            others: std::array::from_fn(|_| AtomicU32::new(0)),
            down: std::array::from_fn(|_| AtomicBool::new(false)),
            configured: AtomicBool::new(false),
            ready: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            counters: Counters::default(),
            metrics,
            claims: Mutex::new(Claims::new()),
            poison: Poison::default(),
            cursors: Mutex::default(),
            offered: Mutex::default(),
            members: Mutex::new(members),
            entries: ArcSwap::default(),
            contender: Mutex::new(contender),
            links: Links::default(),
            next_id: AtomicU64::new(life << ID_BITS),
        }
    }

    /// A fresh request id.
    pub fn request_id(&self) -> u64 {
        self.next_id.fetch_add(1, Ordering::Relaxed)
    }

    /// Whether this router takes callers and duties.
    pub fn fit(&self) -> bool {
        self.ready.load(Ordering::Acquire) && !self.draining.load(Ordering::Acquire)
    }

    /// The fencing token, while this router is the keeper.
    pub fn token(&self) -> Option<Fencing> {
        self.contender.lock().unwrap().token(clock::now())
    }

    /// Works out again which routers callers may be sent to.
    pub fn refresh_entries(&self) {
        let members = self.members.lock().unwrap();
        let pool = self.pool.load();
        let usable = pool.routers.iter().filter(|r| members.usable(&r.addr)).cloned();
        self.entries.store(Arc::new(usable.collect()));
    }

    /// Requests in flight at the engine in `slot`, from this node and others.
    pub fn load(&self, slot: Slot) -> u32 {
        let index = usize::from(slot.0);
        self.inflight[index].load(Ordering::Relaxed) + self.others[index].load(Ordering::Relaxed)
    }

    /// Takes in that the engine in `slot` reports `total` requests. Its
    /// report lags, so what it says of this node's own requests is replaced
    /// by what this node knows.
    pub fn report(&self, slot: Slot, total: u32) {
        let index = usize::from(slot.0);
        let own = self.inflight[index].load(Ordering::Relaxed);
        self.others[index].store(total.saturating_sub(own), Ordering::Relaxed);
    }

    /// Prompt tokens this node has sent to `slot` that are not yet read.
    pub fn pending(&self, slot: Slot) -> Tokens {
        Tokens(self.pending[usize::from(slot.0)].load(Ordering::Relaxed))
    }

    /// Whether this node cannot reach the engine in `slot`.
    pub fn is_down(&self, slot: Slot) -> bool {
        self.down[usize::from(slot.0)].load(Ordering::Relaxed)
    }

    /// Requests in flight from this node over all engines.
    pub fn inflight_total(&self) -> u32 {
        self.inflight.iter().map(|n| n.load(Ordering::Relaxed)).sum()
    }
}

/// A number for this life of the process: later lives have higher ones, as
/// long as the time of day does not step back (see `members`).
fn unix_ms() -> Incarnation {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    Incarnation(since.map(|d| d.as_millis() as u64).unwrap_or(0))
}

fn statsd(settings: &Settings) -> StatsdClient {
    let sink = std::net::UdpSocket::bind("0.0.0.0:0")
        .map_err(cadence::MetricError::from)
        .and_then(|socket| BufferedUdpMetricSink::from(settings.statsd, socket));
    match sink {
        Ok(sink) => StatsdClient::from_sink("marjoram", QueuingMetricSink::from(sink)),
        Err(error) => {
            tracing::warn!(target: "node", "node: statsd sink {} unusable: {error}.", settings.statsd);
            StatsdClient::from_sink("marjoram", cadence::NopMetricSink)
        }
    }
}
