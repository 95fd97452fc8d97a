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
pub enum RegistryRecord {
    /// The upstream's own entry.
    Entry(Entry),
    /// Its entry has been deleted.
    Deleted(UpstreamId),
    /// The record under its key is not a valid entry, so somebody else wrote it.
    Invalid(UpstreamId),
}

impl RegistryRecord {
    /// The upstream that the record is about.
    pub fn id(&self) -> &UpstreamId {
        match self {
            Self::Entry(entry) => &entry.life.id,
            Self::Deleted(id) | Self::Invalid(id) => id,
        }
    }
}

/// Number of reads covered by each message, so that one lost datagram leaves no
/// gap.
const READS_PER_MESSAGE: usize = 2;

/// Received relays that may wait to be processed.
const MAX_QUEUED: usize = 16;

/// Changes in some records, with their offsets.
pub type RegistryChanges = Vec<(u64, RegistryRecord)>;

/// What one host has read for the others.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Relay {
    /// Milliseconds since the request to the store.
    pub age: u64,
    /// The offsets read.
    pub span: Span,
    /// The changes in them, with their offsets.
    pub changes: RegistryChanges,
    /// Engines that changed their weights, by the keys of their incarnations.
    /// These are sent a few at a time: the leader that ordered the change has
    /// announced it already, and many engines change at once.
    pub weights: Vec<(u64, Vec<Weights>)>,
}

/// A received relay.
pub struct ReceivedRelay {
    pub relay: Relay,
    /// When its sender sent the request to the store, on this host's clock.
    pub asked: Duration,
}

/// Engines with changed weights in one message.
const MAX_WEIGHTS_PER_MESSAGE: usize = 24;

/// Relays between hosts: those received, and those that this host sent last.
#[derive(Default)]
pub struct Relays {
    /// Weights changes still to be sent.
    weights: RefCell<BTreeMap<u64, Vec<Weights>>>,
    received: RefCell<VecDeque<ReceivedRelay>>,
    arrived: Notify,
    recent_reads: RefCell<VecDeque<(Span, RegistryChanges)>>,
}

impl Relays {
    /// Queues a relay received at `now`.
    pub fn receive(&self, relay: Relay, now: Duration) {
        let asked = now.saturating_sub(Duration::from_millis(relay.age));
        let mut received = self.received.borrow_mut();
        if received.len() == MAX_QUEUED {
            received.pop_front();
        }
        received.push_back(ReceivedRelay { relay, asked });
        self.arrived.notify_one();
    }

    /// Waits for the next received relay.
    pub async fn next(&self) -> ReceivedRelay {
        loop {
            if let Some(received) = self.received.borrow_mut().pop_front() {
                return received;
            }
            self.arrived.notified().await;
        }
    }

    /// Records that only the weights in an engine's entry changed.
    pub fn note_weights(&self, record: &RegistryRecord) {
        if let RegistryRecord::Entry(entry) = record {
            let key = xxh3_64(entry.life.to_string().as_bytes());
            self.weights.borrow_mut().insert(key, entry.weights.clone());
        }
    }

    /// Takes the next weights changes to be sent.
    pub fn next_weights(&self) -> Vec<(u64, Vec<Weights>)> {
        let mut weights = self.weights.borrow_mut();
        (0..MAX_WEIGHTS_PER_MESSAGE).map_while(|_| weights.pop_first()).collect()
    }

    /// Discards the weights changes to be sent, since this host does not read for
    /// others.
    pub fn drop_weights(&self) {
        self.weights.borrow_mut().clear();
    }

    /// Adds a read to the last ones. Returns the span and the changes of all of
    /// them, to be sent together.
    pub fn add(&self, span: Span, changes: RegistryChanges) -> (Span, RegistryChanges) {
        let mut recent_reads = self.recent_reads.borrow_mut();
        if recent_reads
            .back()
            .is_some_and(|(last, _)| (last.era, last.next) != (span.era, span.from))
        {
            recent_reads.clear();
        }
        recent_reads.push_back((span, changes));
        if recent_reads.len() > READS_PER_MESSAGE {
            recent_reads.pop_front();
        }
        let from = recent_reads.front().map_or(span.from, |(first, _)| first.from);
        let changes =
            recent_reads.iter().flat_map(|(_, changes)| changes.iter().cloned()).collect();
        (Span { from, ..span }, changes)
    }
}
