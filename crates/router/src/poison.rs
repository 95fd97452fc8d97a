//! Completions under which engines crash, on the own interface.
//!
//! A router that loses completions with an engine that crashed appends what it
//! had there to the log service's `crashes` stream; all routers read it and
//! find alike which request it was (see [`marjoram_core::poison`]). What is found
//! stands in the same stream, and is appended anew while it matters: the log
//! service keeps its records for a limited time. While that is away each router
//! goes by what it has seen itself, and what it has to tell waits.
//!
//! An engine has crashed if it refuses connections right after it broke off, or
//! answers in another life; one that is leaving, or not listed, ends without any
//! request's doing.

use std::collections::HashMap;
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use marjoram_core::cache::Life;
use marjoram_core::fingerprint::Fingerprint;
use marjoram_core::ids::Offset;
use marjoram_core::poison::{
    Admission, CrashReport, Quarantine, Quarantined, Recent, SETTLE, Suspects,
};
use marjoram_core::wire::LoadReport;
use ntex::http::client::Client;
use serde::{Deserialize, Serialize};
use tokio::net::TcpStream;
use xxhash_rust::xxh3::xxh3_64;

use crate::clock;
use crate::error::Error;
use crate::follow;
use crate::log::{self, Log};
use crate::node::{Engine, Node};

/// Time in which all completions that an engine ended are noticed.
const GATHER: Duration = Duration::from_millis(20);
/// Longest time to connect to an engine that may have crashed.
const CONNECT: Duration = Duration::from_millis(300);
/// Pause between reads of the stream.
const EVERY: Duration = Duration::from_millis(500);
/// Time after a crash in which all routers have appended what they had there, and
/// this one has read it.
const TOLD: Duration = EVERY.saturating_add(SETTLE);
/// Time after which an entry in force is appended anew: the log service keeps
/// its records for a limited time.
const RENEWED: Duration = Duration::from_secs(900);
/// Records that wait for the log service at most.
const WAITING: usize = 256;

/// A record of the stream.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
enum CrashRecord {
    /// What a router had at an engine that crashed.
    Crash(Vec<CrashReport>),
    /// A request that no router sends any more.
    Quarantined(Quarantined),
}

/// A completion that an engine broke off.
#[derive(Debug, Clone, Copy)]
pub struct Broken {
    /// The request.
    pub request: Fingerprint,
    /// The router's id for it.
    pub attempt: u64,
    /// How long its answer had run, if that had begun.
    pub ran: Option<Duration>,
}

#[derive(Debug)]
struct State {
    suspects: Suspects,
    quarantine: Quarantine,
    well: Recent,
    /// Completions broken off, by engines not yet known to have crashed.
    broken: HashMap<u64, Vec<Broken>>,
    /// When entries were last read in the stream, or appended.
    told: HashMap<Fingerprint, Duration>,
    /// Records that the log service has not taken yet.
    waiting: Vec<CrashRecord>,
    /// Where to read on.
    next: Offset,
}

impl Default for State {
    fn default() -> Self {
        Self {
            suspects: Suspects::with_settle(TOLD),
            quarantine: Quarantine::default(),
            well: Recent::default(),
            broken: HashMap::new(),
            told: HashMap::new(),
            waiting: Vec::new(),
            next: Offset::default(),
        }
    }
}

/// What a router knows of completions that crash engines.
#[derive(Debug, Default)]
pub struct Poison {
    state: Mutex<State>,
    read: AtomicBool,
}

impl Poison {
    /// Whether the stream has been read to its end once.
    pub fn is_read(&self) -> bool {
        self.read.load(Ordering::Acquire)
    }

    /// `request` ran to its end.
    pub fn ended_well(&self, request: Fingerprint) {
        let mut state = self.state.lock().unwrap();
        state.well.note(request, clock::now());
        state.suspects.clear(request);
    }

    /// Whether `request` was at a crash.
    pub fn suspects(&self, request: Fingerprint) -> bool {
        self.state.lock().unwrap().suspects.contains(request)
    }

    /// Whether `request` is not sent for now: it was at enough crashes and all
    /// routers are still to report on them, or was at one fewer and its last engine
    /// is being looked at.
    pub fn withholds(&self, request: Fingerprint) -> bool {
        let state = self.state.lock().unwrap();
        let broke = || state.broken.values().flatten().any(|b| b.request == request);
        state.suspects.withholds(request) || state.suspects.is_close(request) && broke()
    }

    /// The error for `request`, if it is kept from engines.
    pub fn refuses(&self, request: Fingerprint) -> Option<Error> {
        let state = self.state.lock().unwrap();
        let left = state.quarantine.refuses(request, clock::wall())?;
        Some(Error::Quarantined(request.to_string(), left))
    }

    /// The entries in force, for the state dump.
    pub fn entries(&self) -> Vec<Quarantined> {
        self.state.lock().unwrap().quarantine.entries().cloned().collect()
    }

    /// Takes in what another router, or this one, had at an engine.
    fn add(&self, reports: &[CrashReport]) {
        let mut state = self.state.lock().unwrap();
        let wall = clock::wall();
        for e in reports {
            let refused = state.quarantine.refuses(e.request, wall);
            match (refused, state.quarantine.again(e, wall)) {
                (Some(_), _) => state.suspects.explain(&[e.upstream]),
                (None, Some(entry)) => state.pass(entry),
                (None, None) => state.suspects.add(e, clock::now()),
            }
        }
    }

    fn detect(&self) {
        let mut state = self.state.lock().unwrap();
        for (request, upstreams) in state.suspects.detect(clock::now()) {
            state.pass(Quarantined::new(request, upstreams, clock::wall()));
        }
        let state = &mut *state;
        let stale = state.told.iter().filter(|(_, at)| clock::now() >= **at + RENEWED);
        let stale: Vec<Fingerprint> = stale.map(|(request, _)| *request).collect();
        for entry in state.quarantine.entries().filter(|v| stale.contains(&v.request)) {
            state.told.insert(entry.request, clock::now());
            state.waiting.push(CrashRecord::Quarantined(entry.clone()));
        }
        for request in state.quarantine.expire(clock::wall()) {
            state.told.remove(&request);
            tracing::info!(target: "poison", "poison: request {request} is no longer in quarantine.");
        }
    }
}

impl State {
    /// Takes in an entry of this router, and has it told.
    fn pass(&mut self, entry: Quarantined) {
        self.admit(entry.clone(), "own");
        self.queue(CrashRecord::Quarantined(entry));
    }

    fn admit(&mut self, entry: Quarantined, source: &str) {
        let (request, upstreams) = (entry.request, entry.upstreams.clone());
        let admission = self.quarantine.admit(entry, clock::wall());
        if admission != Admission::Over {
            self.told.insert(request, clock::now());
        }
        if let Admission::New(_) = admission {
            tracing::warn!(target: "poison", "poison: request {request} is quarantined ({source}): {} engines crashed under it.", upstreams.len());
            self.suspects.clear(request);
            self.suspects.explain(&upstreams);
        }
    }

    fn queue(&mut self, record: CrashRecord) {
        if self.waiting.len() < WAITING {
            self.waiting.push(record);
        }
    }
}

/// Key of one life of an engine.
fn key(engine: &Engine, life: Option<Life>) -> u64 {
    let incarnation = life.map(|life| life.incarnation.0);
    xxh3_64(format!("{}@{incarnation:?}", engine.addr).as_bytes())
}

/// Takes in that `engine`, in `life`, broke off a completion.
pub fn broke(node: &Arc<Node>, engine: &Engine, life: Option<Life>, request: Broken) {
    let listed = |e: &Engine| e.addr == engine.addr && !e.leaving;
    if !node.pool.load().engines.iter().any(listed) {
        return;
    }
    let key = key(engine, life);
    let mut state = node.poison.state.lock().unwrap();
    let broken = state.broken.entry(key).or_default();
    broken.push(request);
    if broken.len() == 1 {
        ntex::rt::spawn(inspect(node.clone(), engine.addr.clone(), life, key));
    }
}

/// Whether the engine at `addr`, which has just ended requests in `life`, has
/// crashed: it refuses connections, or another life takes them already.
async fn has_crashed(addr: &str, life: Option<Life>) -> bool {
    match tokio::time::timeout(CONNECT, TcpStream::connect(addr)).await {
        Ok(Err(error)) => error.kind() == io::ErrorKind::ConnectionRefused,
        Ok(Ok(_)) => {
            let url = format!("http://{addr}/v1/load");
            let report = follow::get_json::<LoadReport>(&Client::new(), &url, CONNECT).await;
            let other = |life: Life| report.is_ok_and(|r| r.incarnation != life.incarnation);
            life.is_some_and(other)
        }
        Err(_) => false,
    }
}

/// Finds out whether an engine has crashed, and tells what was there.
async fn inspect(node: Arc<Node>, addr: String, life: Option<Life>, key: u64) {
    ntex::time::sleep(GATHER).await;
    let crashed = has_crashed(&addr, life).await;
    let reports: Vec<CrashReport> = {
        let mut state = node.poison.state.lock().unwrap();
        let broken = state.broken.remove(&key).unwrap_or_default();
        let (now, wall) = (clock::now(), clock::wall());
        let well = |b: &Broken| state.well.age(b.request, now);
        broken
            .iter()
            .map(|b| CrashReport {
                request: b.request,
                upstream: key,
                attempt: b.attempt,
                ran: b.ran,
                well: well(b),
                at: wall,
            })
            .collect()
    };
    tracing::info!(target: "poison", "poison: engine {addr} ended {} requests, crashed: {crashed}.", reports.len());
    if !crashed {
        return;
    }
    node.poison.add(&reports);
    node.poison.state.lock().unwrap().queue(CrashRecord::Crash(reports));
    tell(&node, &Log::new(node.settings.log_service)).await;
    ntex::time::sleep(TOLD).await;
    node.poison.detect();
}

/// Appends what waits; what the log service does not take goes on waiting.
async fn tell(node: &Node, log: &Log) {
    let waiting = std::mem::take(&mut node.poison.state.lock().unwrap().waiting);
    let mut left = Vec::new();
    for record in waiting {
        if let Err(error) = log.append(log::CRASHES, &record).await {
            tracing::info!(target: "poison", "poison: crash not recorded yet: {error}.");
            left.push(record);
        }
    }
    let mut state = node.poison.state.lock().unwrap();
    left.into_iter().for_each(|record| state.queue(record));
}

/// Follows the stream for ever.
pub async fn follow(node: Arc<Node>) {
    let log = Log::new(node.settings.log_service);
    loop {
        match read_on(&node, &log).await {
            Ok(()) => node.poison.read.store(true, Ordering::Release),
            Err(error) => tracing::debug!(target: "poison", "poison: {error}."),
        }
        node.poison.detect();
        tell(&node, &log).await;
        ntex::time::sleep(EVERY).await;
    }
}

/// Reads and takes in what the stream holds beyond the last read.
async fn read_on(node: &Node, log: &Log) -> Result<(), Error> {
    let from = node.poison.state.lock().unwrap().next;
    let read = log.read(log::CRASHES, from).await?;
    for record in &read.records {
        match serde_json::from_str::<CrashRecord>(&record.body) {
            Ok(CrashRecord::Crash(reports)) => node.poison.add(&reports),
            Ok(CrashRecord::Quarantined(entry)) => {
                node.poison.state.lock().unwrap().admit(entry, "log");
            }
            Err(error) => {
                tracing::warn!(target: "poison", "poison: crash record {} passed over, malformed: {error}.", record.offset);
            }
        }
    }
    node.poison.state.lock().unwrap().next = read.next;
    Ok(())
}
