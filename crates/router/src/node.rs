//! The state that the threads of one router node share.
//!
//! The request path reads configuration and the engine pool through
//! `ArcSwap` (read-copy-update: followers build a new value and swap it in)
//! and counts load with atomics; only the cache index takes short locks.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use cadence::{BufferedUdpMetricSink, QueuingMetricSink, StatsdClient};
use marjoram_core::admission::{Budget, PrefillTime};
use marjoram_core::cache::{CacheIndex, MAX_SLOTS, Slot};
use marjoram_core::claims::Claims;
use marjoram_core::config::{Config, Routing};
use marjoram_core::feed::Cursor;
use marjoram_core::ids::{Fencing, Incarnation, Offset, Tokens, WorkspaceId};
use marjoram_core::lease::Contender;
use marjoram_core::members::Members;
use marjoram_core::policy;
use marjoram_core::wire::{HostEntry, Role};
use serde::Serialize;

use crate::backoffs::Backoffs;
use crate::brittle_engines::BrittleEngines;
use crate::clock;
use crate::engine_slots::EngineSlots;
use crate::options::Settings;
use crate::peer_links::PeerLinks;
use crate::quarantine::Poison;
use crate::request_limits::RequestLimits;
use crate::upstream_links::UpstreamLinks;

/// Retries allowed, in thousandths of the requests.
const RETRY_BUDGET_PER_MILLE: u32 = 200;
/// Retries allowed in a burst beyond that share.
const RETRY_BURST: u32 = 20;

/// Number of low bits of a request id that count this process's requests.
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
    /// Its slot in the cache index.
    pub slot: Slot,
    /// `ip:port`.
    pub addr: String,
    /// Hash of the address, stable across routers.
    pub key: u64,
    /// Its data centre.
    pub dc: String,
    /// The host list marks it as leaving.
    pub leaving: bool,
}

/// An engine or a plain service.
#[derive(Debug, Clone, Copy)]
pub struct Upstream {
    /// Which of the two it is.
    pub role: Role,
    /// Its address.
    pub addr: SocketAddr,
}

/// Entry hosts, engines and plain services of the host list last read.
#[derive(Debug, Default, Serialize)]
pub struct Pool {
    /// Engines, by slot.
    pub engines: Vec<Engine>,
    /// Live routers, this one included.
    pub routers: Vec<HostEntry>,
    /// Live plain services.
    pub services: Vec<String>,
    /// Engines and plain services, by the keys that are the same at all routers.
    #[serde(skip)]
    pub upstreams: HashMap<u64, Upstream>,
}

impl Pool {
    /// The key of the engine or plain service at `addr`; 0 if it is not listed.
    pub fn key(&self, addr: SocketAddr) -> u64 {
        let mut matching = self.upstreams.iter().filter(|(_, listed)| listed.addr == addr);
        matching.next().map(|(key, _)| *key).unwrap_or_default()
    }
}

/// Counters for the state dump and metrics.
#[derive(Debug, Default, Serialize)]
pub struct Counters {
    /// Completions received.
    pub requests: AtomicU64,
    /// Completions answered in full.
    pub answered: AtomicU64,
    /// Completions that failed.
    pub failed: AtomicU64,
    /// Attempts that failed before the engine accepted the request, which then moved to
    /// another engine.
    pub retried: AtomicU64,
    /// Requests refused because those of all callers use up the memory or the connections.
    pub exhausted: AtomicU64,
    /// Connections refused because all others have requests in progress.
    pub conns_refused: AtomicU64,
    /// Connections without a request in progress that were closed for others.
    pub idle_closed: AtomicU64,
    /// Requests refused because the first token was not expected in time.
    pub late: AtomicU64,
    /// Retries not made because the retry budget was used up.
    pub unretried: AtomicU64,
    /// Refusals with which engines asked to back off.
    pub backoffs: AtomicU64,
    /// Requests that brittle engines rejected.
    pub brittle_rejections: AtomicU64,
    /// Requests refused because brittle engines had no slot for them.
    pub full: AtomicU64,
    /// Streams resumed on another engine after a break.
    pub resumed: AtomicU64,
    /// Cache events applied.
    pub events: AtomicU64,
    /// Gaps detected in engines' event sequences.
    pub gaps: AtomicU64,
}

/// Everything one node shares between threads.
pub struct Node {
    /// Checked settings.
    pub settings: Settings,
    /// Configuration in force.
    pub active: ArcSwap<Active>,
    /// Hosts of the host list last read.
    pub pool: ArcSwap<Pool>,
    /// Index of the blocks in each engine's cache.
    pub cache_index: CacheIndex,
    /// One instance of every policy.
    pub policies: policy::Router,
    /// Requests in flight from this node, by slot.
    pub inflight: [AtomicU32; MAX_SLOTS],
    /// Tasks that serve requests of callers.
    pub serving: AtomicU32,
    /// Prompt tokens sent from this node and not yet read, by slot.
    pub pending: [AtomicU64; MAX_SLOTS],
    /// Measured time each engine takes to read prompts, by slot.
    pub prefill_time: [PrefillTime; MAX_SLOTS],
    /// Retry budget of this node.
    pub budget: Budget,
    /// Requests each engine last reported beyond this node's own, by slot.
    pub remote_load: [AtomicU32; MAX_SLOTS],
    /// Engines this node could not reach, by slot.
    pub down: [AtomicBool; MAX_SLOTS],
    /// Number of times that this node could not reach an engine any more, by slot.
    pub outages: [AtomicU32; MAX_SLOTS],
    /// Links to engines and plain services.
    pub upstream_links: UpstreamLinks,
    /// Engines that have asked this node to back off.
    pub backoffs: Backoffs,
    /// Engines that can bear few rejections.
    pub brittle: BrittleEngines,
    /// Slots of brittle engines that this node holds or grants.
    pub engine_slots: EngineSlots,
    /// Identifies this process among those at the same address.
    pub life: u64,
    /// A configuration has been put in force, or the stream has been read to its end.
    pub configured: AtomicBool,
    /// The start-up reads are done and callers are accepted (see `startup`).
    pub ready: AtomicBool,
    /// Set on SIGTERM or SIGINT: accept no new work, send callers to other routers.
    pub draining: AtomicBool,
    /// Counters.
    pub counters: Counters,
    /// Metrics sink.
    pub metrics: StatsdClient,
    /// Claims of at-most-once calls read from the log service.
    pub claims: Mutex<Claims>,
    /// Requests suspected of crashing engines, and those in quarantine.
    pub poison: Poison,
    /// Position up to which each engine's events have been read.
    pub cursors: Mutex<HashMap<Slot, Cursor>>,
    /// A configuration received from another router, not yet applied.
    pub offered_config: Mutex<Option<Config>>,
    /// Membership table of the routers.
    pub members: Mutex<Members>,
    /// Routers callers may be sent to: in the host list and not known to be unusable.
    pub entries: ArcSwap<Vec<HostEntry>>,
    /// State of this router as a candidate for, or the holder of, the fleet's lease.
    pub contender: Mutex<Contender>,
    /// Connections to other routers.
    pub links: PeerLinks,
    /// What is held for callers and other routers.
    pub request_limits: RequestLimits,
    started: Instant,
    next_id: AtomicU64,
}

impl Node {
    /// A node with empty state for `settings`.
    pub fn new(settings: Settings) -> Self {
        let metrics = statsd(&settings);
        // Random rather than from the wall clock, which may step back at a restart.
        let nonce: u64 = rand::random();
        let members = Members::new(settings.advertise.clone(), start_incarnation());
        let owner = format!("{}/{nonce:016x}", settings.advertise);
        let request_limits = RequestLimits::new(&settings, settings.body_limit());
        let contender = Contender::new(owner, settings.lease_ttl);
        Self {
            settings,
            active: ArcSwap::default(),
            pool: ArcSwap::default(),
            cache_index: CacheIndex::new(),
            policies: policy::Router::new(),
            inflight: std::array::from_fn(|_| AtomicU32::new(0)),
            serving: AtomicU32::new(0),
            pending: std::array::from_fn(|_| AtomicU64::new(0)),
            prefill_time: std::array::from_fn(|_| PrefillTime::new()),
            budget: Budget::new(RETRY_BUDGET_PER_MILLE, RETRY_BURST),
            remote_load: std::array::from_fn(|_| AtomicU32::new(0)),
            down: std::array::from_fn(|_| AtomicBool::new(false)),
            outages: std::array::from_fn(|_| AtomicU32::new(0)),
            upstream_links: UpstreamLinks::default(),
            backoffs: Backoffs::default(),
            brittle: BrittleEngines::default(),
            engine_slots: EngineSlots::default(),
            life: nonce,
            configured: AtomicBool::new(false),
            ready: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            counters: Counters::default(),
            metrics,
            claims: Mutex::new(Claims::new()),
            poison: Poison::default(),
            cursors: Mutex::default(),
            offered_config: Mutex::default(),
            members: Mutex::new(members),
            entries: ArcSwap::default(),
            contender: Mutex::new(contender),
            links: PeerLinks::default(),
            request_limits,
            started: Instant::now(),
            next_id: AtomicU64::new(nonce << ID_BITS),
        }
    }

    /// Allocates a new request id.
    pub fn request_id(&self) -> u64 {
        self.next_id.fetch_add(1, Ordering::Relaxed)
    }

    /// Whether this router may serve callers and hold the lease: ready and not draining.
    pub fn is_available(&self) -> bool {
        self.ready.load(Ordering::Acquire) && !self.draining.load(Ordering::Acquire)
    }

    /// The fencing token, while this router is the lease holder.
    pub fn token(&self) -> Option<Fencing> {
        self.contender.lock().unwrap().token(clock::now())
    }

    /// Recomputes which routers callers may be sent to.
    pub fn refresh_entries(&self) {
        let members = self.members.lock().unwrap();
        let pool = self.pool.load();
        let usable = pool.routers.iter().filter(|r| members.usable(&r.addr)).cloned();
        self.entries.store(Arc::new(usable.collect()));
    }

    /// Requests in flight at the engine in `slot`, from this node and others.
    pub fn load(&self, slot: Slot) -> u32 {
        let index = usize::from(slot.0);
        self.inflight[index].load(Ordering::Relaxed)
            + self.remote_load[index].load(Ordering::Relaxed)
    }

    /// Records that the engine in `slot` reports `total` requests. The report lags
    /// behind, so this node's own requests, which it counts itself, are subtracted
    /// and only the rest is stored.
    pub fn record_load_report(&self, slot: Slot, total: u32) {
        let index = usize::from(slot.0);
        let own = self.inflight[index].load(Ordering::Relaxed);
        self.remote_load[index].store(total.saturating_sub(own), Ordering::Relaxed);
    }

    /// Prompt tokens this node has sent to `slot` that the engine has not yet read.
    pub fn pending(&self, slot: Slot) -> Tokens {
        Tokens(self.pending[usize::from(slot.0)].load(Ordering::Relaxed))
    }

    /// The incarnation of the engine in `slot`, once it is known.
    pub fn incarnation(&self, slot: Slot) -> Option<Incarnation> {
        self.cache_index.life(slot).map(|generation| generation.incarnation)
    }

    /// Time since this node was started.
    pub fn uptime(&self) -> Duration {
        self.started.elapsed()
    }

    /// How long this node still backs off from the engine in `slot`, as it has asked.
    pub fn backoff_left(&self, slot: Slot) -> Option<Duration> {
        self.backoffs.left(slot, self.incarnation(slot), self.uptime())
    }

    /// Whether this node cannot reach the engine in `slot`.
    pub fn is_down(&self, slot: Slot) -> bool {
        self.down[usize::from(slot.0)].load(Ordering::Relaxed)
    }

    /// Number of times that this node could not reach the engine in `slot` any more.
    pub fn outages(&self, slot: Slot) -> u32 {
        self.outages[usize::from(slot.0)].load(Ordering::Relaxed)
    }
}

/// Incarnation of this process, from the wall clock: higher after each restart, as
/// long as the wall clock does not step back (see `members`).
fn start_incarnation() -> Incarnation {
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
