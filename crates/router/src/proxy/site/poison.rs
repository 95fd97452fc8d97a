//! What a host knows of requests that crash upstreams.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::Duration;

use marjoram_core::fingerprint::Fingerprint;
use marjoram_core::poison::{Quarantine, Quarantined, Recent, Suspects};
use marjoram_core::upstream::Life;
use tokio::sync::Notify;

/// Entries in one greeting: about 90 bytes each.
const MAX_GREETED: usize = 32;

/// A send that ended with its connection.
#[derive(Debug, Clone)]
pub struct Broken {
    /// The request.
    pub request: Fingerprint,
    /// Hash of the caller's attempt.
    pub attempt: u64,
    /// How long its answer had run, if that had begun.
    pub ran: Option<Duration>,
}

/// What a host knows of requests that crash upstreams.
#[derive(Default)]
pub struct Poison {
    /// Requests that were at crashes.
    pub suspects: RefCell<Suspects>,
    /// Requests that are not sent.
    pub quarantine: RefCell<Quarantine>,
    /// Sends that broke off, by upstreams not yet known to have crashed.
    pub broken: RefCell<HashMap<Life, Vec<Broken>>>,
    /// Requests that ran to their end lately.
    pub well: RefCell<Recent>,
    /// Entries learnt lately, for greetings.
    pub told: RefCell<Vec<(Quarantined, Duration)>>,
    /// Counts reports that complete a suspect's crashes; a task checks them.
    pub called: Cell<u64>,
    /// That task runs.
    pub detecting: Cell<bool>,
    /// Records to be written to the store, `None` to be dropped.
    pub writes: RefCell<HashMap<Fingerprint, Option<Quarantined>>>,
    /// Told when there are records to be written.
    pub written: Notify,
}

impl Poison {
    /// `request` ran to its end at `now`.
    pub fn ended_well(&self, request: Fingerprint, now: Duration) {
        self.well.borrow_mut().note(request, now);
        self.suspects.borrow_mut().clear(request);
    }

    /// Whether `request` was at a crash, as far as this host knows.
    pub fn suspects(&self, request: Fingerprint) -> bool {
        self.suspects.borrow().contains(request)
    }

    /// Whether `request` is not sent for now: it was at enough crashes and all
    /// hosts are still to report on them, or was at one fewer and its last
    /// upstream is being looked at.
    pub fn withholds(&self, request: Fingerprint) -> bool {
        let suspects = self.suspects.borrow();
        let broke = || self.broken.borrow().values().flatten().any(|b| b.request == request);
        suspects.withholds(request) || suspects.is_close(request) && broke()
    }

    /// Requests suspected, and those in quarantine or lately.
    pub fn counts(&self) -> (usize, usize) {
        (self.suspects.borrow().len(), self.quarantine.borrow().len())
    }

    /// Times that the latter were found: equal on hosts that know the same entries.
    pub fn extent(&self) -> u64 {
        self.quarantine.borrow().extent()
    }

    /// The entries in force.
    pub fn entries(&self) -> Vec<Quarantined> {
        self.quarantine.borrow().entries().cloned().collect()
    }

    /// The newest entries learnt within `span` before `now`, for greetings.
    pub fn lately(&self, span: Duration, now: Duration) -> Vec<Quarantined> {
        let mut told = self.told.borrow_mut();
        told.retain(|(_, at)| now < *at + span);
        told.iter().rev().take(MAX_GREETED).map(|(entry, _)| entry.clone()).collect()
    }
}
