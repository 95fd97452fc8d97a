//! The state one router node shares between its threads.
//!
//! The request path reads configuration and the engine pool through
//! `ArcSwap` (read-copy-update: followers build a new value and swap it in)
//! and counts load with atomics; only the cache picture takes short locks.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use arc_swap::ArcSwap;
use cadence::{BufferedUdpMetricSink, QueuingMetricSink, StatsdClient};
use marjoram_core::cache::{MAX_SLOTS, Picture, Slot};
use marjoram_core::claims::Claims;
use marjoram_core::config::Routing;
use marjoram_core::ids::{Offset, WorkspaceId};
use marjoram_core::policy;
use marjoram_core::wire::HostEntry;
use serde::Serialize;

use crate::options::Settings;

/// The configuration in force, as the request path sees it.
#[derive(Debug, Default, Serialize)]
pub struct Active {
    /// Offset of the last configuration record applied.
    pub offset: Option<Offset>,
    /// Policy and parameters by workspace.
    pub routing: Arc<BTreeMap<WorkspaceId, Routing>>,
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
    /// Engine attempts moved to another engine before any chunk was sent.
    pub retried: AtomicU64,
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
    /// Running plus waiting requests each engine last reported, by slot.
    pub reported: [AtomicU32; MAX_SLOTS],
    /// Engines this node could not reach, by slot.
    pub down: [AtomicBool; MAX_SLOTS],
    /// Set on SIGTERM: take no new work, send callers elsewhere.
    pub draining: AtomicBool,
    /// Counters.
    pub counters: Counters,
    /// Metrics sink.
    pub metrics: StatsdClient,
    /// Claims of at-most-once calls read from the log service.
    pub claims: Mutex<Claims>,
    next_id: AtomicU64,
}

impl Node {
    /// A node with empty state for `settings`.
    pub fn new(settings: Settings) -> Self {
        let metrics = statsd(&settings);
        let base: u64 = (xxhash_rust::xxh3::xxh3_64(settings.advertise.as_bytes()) & 0xffff) << 48;
        let stamp = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .map(|d| d.as_micros() as u64 & 0xffff_ffff)
            .unwrap_or(0);
        Self {
            settings,
            active: ArcSwap::default(),
            pool: ArcSwap::default(),
            picture: Picture::new(),
            policies: policy::Router::new(),
            inflight: std::array::from_fn(|_| AtomicU32::new(0)),
            reported: std::array::from_fn(|_| AtomicU32::new(0)),
            down: std::array::from_fn(|_| AtomicBool::new(false)),
            draining: AtomicBool::new(false),
            counters: Counters::default(),
            metrics,
            claims: Mutex::new(Claims::new()),
            next_id: AtomicU64::new(base | (stamp << 16)),
        }
    }

    /// A fresh request id.
    pub fn request_id(&self) -> u64 {
        self.next_id.fetch_add(1, Ordering::Relaxed)
    }

    /// Load of the engine in `slot`: this node's in-flight plus reported.
    pub fn load(&self, slot: Slot) -> u32 {
        let index = usize::from(slot.0);
        self.inflight[index].load(Ordering::Relaxed) + self.reported[index].load(Ordering::Relaxed)
    }

    /// Requests in flight from this node over all engines.
    pub fn inflight_total(&self) -> u32 {
        self.inflight.iter().map(|n| n.load(Ordering::Relaxed)).sum()
    }
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
