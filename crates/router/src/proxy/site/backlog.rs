//! This host's part in the accounts of outstanding large prompts.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::Duration;

use marjoram_core::backlog::{Account, Ledger};
use marjoram_core::part_directory::PartDirectory;
use tokio::sync::oneshot;

use crate::proxy::hosts::BacklogAnswer;

/// Accounts by the keys of their engines' incarnations.
pub type Accounts = HashMap<u64, Account>;

/// The accounts that this host keeps, and its queries to other hosts.
#[derive(Debug, Default)]
pub struct Backlog {
    /// The accounts for which this host is coordinator.
    pub ledger: RefCell<Ledger>,
    /// The engines that have recently prefilled parts, kept with the accounts.
    pub parts: RefCell<PartDirectory>,
    /// Queries that wait for an answer.
    queries: RefCell<HashMap<u64, oneshot::Sender<BacklogAnswer>>>,
    /// Queries in a row that no coordinator answered.
    unanswered: Cell<u32>,
    /// Until when no queries are sent.
    paused_until: Cell<Duration>,
    /// Until when the second coordinator is queried first.
    second_until: Cell<Duration>,
}

/// Unanswered queries in a row after which none is sent for [`QUERY_PAUSE`].
const MAX_UNANSWERED: u32 = 3;

/// Pause after unanswered queries: each delays a request.
const QUERY_PAUSE: Duration = Duration::from_millis(500);

/// How long the second coordinator is queried first after the first has not answered.
const SECOND_FIRST: Duration = Duration::from_secs(1);

impl Backlog {
    /// Whether queries are sent at `now`.
    pub fn is_available(&self, now: Duration) -> bool {
        now >= self.paused_until.get()
    }

    /// Whether the second coordinator is to be queried first at `now`.
    pub fn prefers_second(&self, now: Duration) -> bool {
        now < self.second_until.get()
    }

    /// Registers the query `id`.
    pub fn begin(&self, id: u64) -> oneshot::Receiver<BacklogAnswer> {
        let (sender, receiver) = oneshot::channel();
        self.queries.borrow_mut().insert(id, sender);
        receiver
    }

    /// Forgets the query `id`.
    pub fn end(&self, id: u64) {
        self.queries.borrow_mut().remove(&id);
    }

    /// Completes the query `id`, unless it has ended.
    pub fn complete(&self, id: u64, answer: BacklogAnswer) {
        if let Some(sender) = self.queries.borrow_mut().remove(&id) {
            // Fails only if the query has just ended.
            let _ = sender.send(answer);
        }
    }

    /// Records that a coordinator answered; `first` if it was the first one queried.
    pub fn record_answer(&self, first: bool, now: Duration) {
        self.unanswered.set(0);
        if !first {
            let swapped = !self.prefers_second(now);
            self.second_until.set(if swapped { now + SECOND_FIRST } else { Duration::ZERO });
        }
    }

    /// Records that no coordinator answered.
    pub fn record_silence(&self, now: Duration) {
        self.unanswered.set(self.unanswered.get() + 1);
        if self.unanswered.get() >= MAX_UNANSWERED {
            self.unanswered.set(0);
            self.paused_until.set(now + QUERY_PAUSE);
        }
    }
}
