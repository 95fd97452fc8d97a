//! What a router of the own interface knows of completions that crash engines: those
//! suspected, those in quarantine, and what the log service is still to be told.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use marjoram_core::fingerprint::Fingerprint;
use marjoram_core::ids::Offset;
use marjoram_core::poison::{
    Admission, CrashReport, Quarantine, Quarantined, Recent, SETTLE, Suspects,
};
use serde::{Deserialize, Serialize};

use crate::clock;
use crate::error::Error;

/// Pause between reads of the stream.
pub const EVERY: Duration = Duration::from_millis(500);
/// Time after a crash in which all routers have appended what they had there, and
/// this one has read it.
pub const TOLD: Duration = EVERY.saturating_add(SETTLE);
/// Time after which an entry in force is appended anew: the log service keeps
/// its records for a limited time.
const RENEWED: Duration = Duration::from_secs(900);
/// Records that wait for the log service at most.
const WAITING: usize = 256;

/// A record of the stream.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CrashRecord {
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

    /// Records that the engine life `key` broke off `request`; whether it is the first
    /// since that was last looked at.
    pub fn broke(&self, key: u64, request: Broken) -> bool {
        let mut state = self.state.lock().unwrap();
        let broken = state.broken.entry(key).or_default();
        broken.push(request);
        broken.len() == 1
    }

    /// Reports of what the engine life `key` broke off, which is looked at no more.
    pub fn take_broken(&self, key: u64) -> Vec<CrashReport> {
        let mut state = self.state.lock().unwrap();
        let broken = state.broken.remove(&key).unwrap_or_default();
        let (now, wall) = (clock::now(), clock::wall());
        let report = |b: &Broken| CrashReport {
            request: b.request,
            upstream: key,
            attempt: b.attempt,
            ran: b.ran,
            well: state.well.age(b.request, now),
            at: wall,
        };
        broken.iter().map(report).collect()
    }

    /// Has `record` told to the other routers.
    pub fn queue(&self, record: CrashRecord) {
        self.state.lock().unwrap().queue(record);
    }

    /// What the log service is to be told.
    pub fn take_waiting(&self) -> Vec<CrashRecord> {
        std::mem::take(&mut self.state.lock().unwrap().waiting)
    }

    /// Takes in an entry read in the stream.
    pub fn admit(&self, entry: Quarantined) {
        self.state.lock().unwrap().admit(entry, "log");
    }

    /// Where the stream is read on.
    pub fn next(&self) -> Offset {
        self.state.lock().unwrap().next
    }

    /// The stream has been read up to `next`.
    pub fn read_to(&self, next: Offset) {
        self.state.lock().unwrap().next = next;
        self.read.store(true, Ordering::Release);
    }

    /// Takes in what another router, or this one, had at an engine.
    pub fn add(&self, reports: &[CrashReport]) {
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

    /// Judges the suspects, and has entries that are still in force told anew.
    pub fn detect(&self) {
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
