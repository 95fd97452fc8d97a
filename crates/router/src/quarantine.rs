//! A router's state about completions that crash engines, on its own interface (see
//! `serve`): suspected requests, quarantined requests, and records not yet appended to
//! the log service.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use marjoram_core::fingerprint::Fingerprint;
use marjoram_core::ids::Offset;
use marjoram_core::poison::{
    self, Admission, BrokenRequest, CRASH_REPORT_WINDOW, CrashReport, CrashedService, Notice,
    Quarantine, Quarantined, RecentCompletions, Suspects,
};
use serde::{Deserialize, Serialize};

use crate::clock;
use crate::error::Error;

/// Interval between reads of the `crashes` stream.
pub const READ_INTERVAL: Duration = Duration::from_millis(500);
/// Time after a crash within which all routers have appended their reports of requests
/// in flight at the crash, and this router has read them (one read interval plus
/// [`CRASH_REPORT_WINDOW`]).
pub const REPORT_WINDOW: Duration = READ_INTERVAL.saturating_add(CRASH_REPORT_WINDOW);
/// Time after which an entry in force is appended again, because the log service
/// keeps its records for a limited time.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(900);
/// Most records queued for the log service.
const MAX_PENDING_RECORDS: usize = 256;

/// A record of the `crashes` stream.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CrashRecord {
    /// Requests of one router that were in flight at an engine when it crashed.
    Crash(Vec<CrashReport>),
    /// A request that no router sends to engines while the entry is in force.
    Quarantined(Quarantined),
}

#[derive(Debug)]
struct State {
    suspects: Suspects,
    quarantine: Quarantine,
    completed: RecentCompletions,
    /// Broken completions by engine incarnation, for engines not yet checked for a crash.
    broken: HashMap<u64, Vec<BrokenRequest>>,
    /// When each entry was last read from the stream or appended to it.
    entry_times: HashMap<Fingerprint, Duration>,
    /// Records not yet appended to the log service.
    pending_records: Vec<CrashRecord>,
    /// Offset to continue reading from.
    next: Offset,
}

impl Default for State {
    fn default() -> Self {
        Self {
            suspects: Suspects::with_report_window(REPORT_WINDOW),
            quarantine: Quarantine::default(),
            completed: RecentCompletions::default(),
            broken: HashMap::new(),
            entry_times: HashMap::new(),
            pending_records: Vec::new(),
            next: Offset::default(),
        }
    }
}

/// Suspected and quarantined completions, shared between the threads of a router.
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

    /// Records that `request` completed, which clears it of suspicion.
    pub fn record_completed(&self, request: Fingerprint) {
        let mut state = self.state.lock().unwrap();
        state.completed.record(request, clock::now());
        state.suspects.clear(request);
    }

    /// Whether `request` was in flight at a crash and is suspected.
    pub fn is_suspect(&self, request: Fingerprint) -> bool {
        self.state.lock().unwrap().suspects.contains(request)
    }

    /// Whether `request` is withheld from engines for now: it was in flight at enough
    /// crashes but the routers' reports on them are not all in, or it was in flight at
    /// one fewer and an engine that broke it is being checked for a crash.
    pub fn is_withheld(&self, request: Fingerprint) -> bool {
        let state = self.state.lock().unwrap();
        let is_being_checked = || state.broken.values().flatten().any(|b| b.request == request);
        state.suspects.withholds(request) || state.suspects.is_close(request) && is_being_checked()
    }

    /// The error to answer `request` with, if it is quarantined.
    pub fn quarantine_error(&self, request: Fingerprint) -> Option<Error> {
        let state = self.state.lock().unwrap();
        let left = state.quarantine.refuses(request, clock::unix_time())?;
        Some(Error::Quarantined(request.to_string(), left))
    }

    /// The entries in force, for the state dump.
    pub fn entries(&self) -> Vec<Quarantined> {
        self.state.lock().unwrap().quarantine.entries().cloned().collect()
    }

    /// Records that the engine incarnation `key` broke `request`. Returns whether it is
    /// the first since that incarnation was last checked for a crash.
    pub fn record_broken(&self, key: u64, request: BrokenRequest) -> bool {
        let mut state = self.state.lock().unwrap();
        let broken = state.broken.entry(key).or_default();
        broken.push(request);
        broken.len() == 1
    }

    /// Removes the completions that the engine incarnation `key` broke and returns them
    /// as reports of its crash, one of `engines`, which was `noticed` before. The next one recorded starts
    /// a new check.
    pub fn take_crash_reports(
        &self,
        key: u64,
        engines: usize,
        noticed: Notice,
    ) -> Vec<CrashReport> {
        let service = CrashedService { key: 0, upstreams: engines };
        let mut state = self.state.lock().unwrap();
        let broken = state.broken.remove(&key).unwrap_or_default();
        poison::crash_reports(&broken, (key, service), noticed, &state.completed, clock::now())
    }

    /// Queues `record` to be appended to the stream, for the other routers.
    pub fn queue(&self, record: CrashRecord) {
        self.state.lock().unwrap().queue(record);
    }

    /// Takes the records queued for the log service.
    pub fn take_pending_records(&self) -> Vec<CrashRecord> {
        std::mem::take(&mut self.state.lock().unwrap().pending_records)
    }

    /// Adds a quarantine entry read from the stream.
    pub fn admit(&self, entry: Quarantined) {
        self.state.lock().unwrap().admit(entry, "log");
    }

    /// Offset to continue reading the stream from.
    pub fn next(&self) -> Offset {
        self.state.lock().unwrap().next
    }

    /// Records that the stream has been read up to `next`.
    pub fn set_read_offset(&self, next: Offset) {
        self.state.lock().unwrap().next = next;
        self.read.store(true, Ordering::Release);
    }

    /// Adds the crash reports of a router, this one or another. A report on a request
    /// already in quarantine only marks the engine's crash as explained.
    pub fn add(&self, reports: &[CrashReport]) {
        let mut state = self.state.lock().unwrap();
        let wall = clock::unix_time();
        for e in reports {
            let refused = state.quarantine.refuses(e.request, wall);
            match (refused, state.quarantine.recurrence(e, wall)) {
                (Some(_), _) => state.suspects.explain(&[e.upstream]),
                (None, Some(entry)) => state.publish(entry),
                (None, None) => state.suspects.add(e, clock::now()),
            }
        }
    }

    /// Quarantines the suspects with enough evidence, queues entries in force for renewal
    /// in the stream and drops expired ones.
    pub fn detect(&self) {
        let mut state = self.state.lock().unwrap();
        for (request, upstreams) in state.suspects.detect(clock::now()) {
            state.publish(Quarantined::new(request, upstreams, clock::unix_time()));
        }
        let state = &mut *state;
        let stale =
            state.entry_times.iter().filter(|(_, at)| clock::now() >= **at + RENEWAL_INTERVAL);
        let stale: Vec<Fingerprint> = stale.map(|(request, _)| *request).collect();
        for entry in state.quarantine.entries().filter(|v| stale.contains(&v.request)) {
            state.entry_times.insert(entry.request, clock::now());
            state.pending_records.push(CrashRecord::Quarantined(entry.clone()));
        }
        for request in state.quarantine.expire(clock::unix_time()) {
            state.entry_times.remove(&request);
            tracing::info!(target: "poison", "poison: quarantine of request {request} expired.");
        }
    }
}

impl State {
    /// Adds an entry that this router decided on and queues it for the other routers.
    fn publish(&mut self, entry: Quarantined) {
        self.admit(entry.clone(), "own");
        self.queue(CrashRecord::Quarantined(entry));
    }

    fn admit(&mut self, entry: Quarantined, source: &str) {
        let (request, upstreams) = (entry.request, entry.upstreams.clone());
        let admission = self.quarantine.admit(entry, clock::unix_time());
        if admission != Admission::Over {
            self.entry_times.insert(request, clock::now());
        }
        if let Admission::New(_) = admission {
            tracing::warn!(target: "poison", "poison: request {request} quarantined (source: {source}): {} engines crashed while running it.", upstreams.len());
            self.suspects.clear(request);
            self.suspects.explain(&upstreams);
        }
    }

    fn queue(&mut self, record: CrashRecord) {
        if self.pending_records.len() < MAX_PENDING_RECORDS {
            self.pending_records.push(record);
        }
    }
}
