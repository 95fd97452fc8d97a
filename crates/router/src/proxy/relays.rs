//! Registry changes that hosts read for each other.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use marjoram_core::relay::Span;
use marjoram_core::upstream::{Entry, UpstreamId, Weights};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use xxhash_rust::xxh3::xxh3_64;

/// What a registry record says about an upstream.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Statement {
    /// The upstream's own entry.
    Stated(Entry),
    /// Its entry has been deleted.
    Gone(UpstreamId),
    /// The record under its key is not a valid entry, so somebody else wrote it.
    Foreign(UpstreamId),
}

impl Statement {
    /// The upstream that the record is about.
    pub fn id(&self) -> &UpstreamId {
        match self {
            Self::Stated(entry) => &entry.life.id,
            Self::Gone(id) | Self::Foreign(id) => id,
        }
    }
}

/// Number of reads covered by each message, so that one lost datagram leaves no
/// gap.
const MAX_READS: usize = 2;

/// Received relays that may wait to be processed.
const MAX_WAITING: usize = 16;

/// Changes in some records, with their offsets.
pub type News = Vec<(u64, Statement)>;

/// What one host has read for the others.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Relay {
    /// Milliseconds since the request to the store.
    pub age: u64,
    /// The offsets read.
    pub span: Span,
    /// The changes in them, with their offsets.
    pub news: News,
    /// Engines that changed their weights, by the keys of their incarnations.
    /// These are sent a few at a time: the leader that ordered the change has
    /// announced it already, and many engines change at once.
    pub weights: Vec<(u64, Vec<Weights>)>,
}

/// A received relay.
pub struct Heard {
    pub relay: Relay,
    /// When its sender sent the request to the store, on this host's clock.
    pub asked: Duration,
}

/// Engines with changed weights in one message.
const MAX_WEIGHTS: usize = 24;

/// Relays between hosts: those received, and those that this host sent last.
#[derive(Default)]
pub struct Relays {
    /// Weights changes still to be sent.
    weights: RefCell<BTreeMap<u64, Vec<Weights>>>,
    heard: RefCell<VecDeque<Heard>>,
    arrived: Notify,
    told: RefCell<VecDeque<(Span, News)>>,
}

impl Relays {
    /// Takes in a relay received at `now`.
    pub fn hear(&self, relay: Relay, now: Duration) {
        let asked = now.saturating_sub(Duration::from_millis(relay.age));
        let mut heard = self.heard.borrow_mut();
        if heard.len() == MAX_WAITING {
            heard.pop_front();
        }
        heard.push_back(Heard { relay, asked });
        self.arrived.notify_one();
    }

    /// Waits for the next received relay.
    pub async fn next(&self) -> Heard {
        loop {
            if let Some(heard) = self.heard.borrow_mut().pop_front() {
                return heard;
            }
            self.arrived.notified().await;
        }
    }

    /// Records that only the weights in an engine's entry changed.
    pub fn note_weights(&self, statement: &Statement) {
        if let Statement::Stated(entry) = statement {
            let key = xxh3_64(entry.life.to_string().as_bytes());
            self.weights.borrow_mut().insert(key, entry.weights.clone());
        }
    }

    /// Takes the next weights changes to be sent.
    pub fn next_weights(&self) -> Vec<(u64, Vec<Weights>)> {
        let mut weights = self.weights.borrow_mut();
        (0..MAX_WEIGHTS).map_while(|_| weights.pop_first()).collect()
    }

    /// Discards the weights changes to be sent, since this host does not read for
    /// others.
    pub fn drop_weights(&self) {
        self.weights.borrow_mut().clear();
    }

    /// Adds a read to the last ones. Returns the span and the changes of all of
    /// them, to be sent together.
    pub fn add(&self, span: Span, news: News) -> (Span, News) {
        let mut told = self.told.borrow_mut();
        if told.back().is_some_and(|(last, _)| (last.era, last.next) != (span.era, span.from)) {
            told.clear();
        }
        told.push_back((span, news));
        if told.len() > MAX_READS {
            told.pop_front();
        }
        let from = told.front().map_or(span.from, |(first, _)| first.from);
        let news = told.iter().flat_map(|(_, news)| news.iter().cloned()).collect();
        (Span { from, ..span }, news)
    }
}
