//! Cache updates: events that a host has read from a cache and passes on to the
//! other hosts in its heartbeats.
//!
//! Load pattern: an engine lets fewer hosts read its events than there are,
//! and each host sends a heartbeat to each other host only every few hundred
//! milliseconds, by datagrams that may be lost. So each event is sent to each
//! host twice, and the newest are sent first when there are more than fit into a
//! heartbeat.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::exchange::PartId;
use crate::part_index::{CacheId, Event};

/// Maximum number of updates in one heartbeat: they fill a third of a packet.
const MAX_EVENTS: usize = 16;

/// Maximum number of queued updates: after a burst the oldest are dropped.
const MAX_QUEUED: usize = 256;

/// Epoch that marks a cache which no longer exists.
const NO_EPOCH: u64 = 0;

/// One cache event, in the form in which hosts send it to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheUpdate {
    /// Key of the engine or the store.
    pub source: u64,
    /// Epoch of the cache, see [`crate::part_index::epoch`].
    pub epoch: u64,
    number: u64,
    cache: u64,
    part: u64,
    tokens: u64,
}

impl CacheUpdate {
    /// Whether it concerns the same part in the same cache as `other`.
    fn same_part(&self, other: &Self) -> bool {
        (self.source, self.cache, self.part) == (other.source, other.cache, other.part)
    }

    /// The event.
    pub fn event(&self) -> Event {
        Event {
            number: self.number,
            cache: CacheId(self.cache),
            part: PartId(self.part),
            tokens: self.tokens,
        }
    }
}

/// Queue of the cache updates to send.
///
/// ```
/// use std::time::Duration;
/// use marjoram_core::exchange::PartId;
/// use marjoram_core::part_index::{CacheId, Event};
/// use marjoram_core::cache_updates::UpdateQueue;
/// let event = Event { number: 3, cache: CacheId::new("1"), part: PartId(7), tokens: 8_000 };
/// let mut update_queue = UpdateQueue::new();
/// let now = Duration::from_secs(1);
/// update_queue.add(5, 1, &[event], now);
/// let updates = update_queue.recent(Duration::from_millis(800), now);
/// assert_eq!((updates[0].source, updates[0].event()), (5, event));
/// assert!(update_queue.recent(Duration::from_millis(800), now * 2).is_empty());
/// ```
#[derive(Debug, Default)]
pub struct UpdateQueue {
    queued: VecDeque<(Duration, CacheUpdate)>,
}

impl UpdateQueue {
    /// An empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds `events` of the cache `source` in its epoch `epoch`, read at `now`.
    pub fn add(&mut self, source: u64, epoch: u64, events: &[Event], now: Duration) {
        for event in events {
            let Event { number, cache, part, tokens } = *event;
            let update =
                CacheUpdate { source, epoch, number, cache: cache.0, part: part.0, tokens };
            // A part is prefilled in chunks with an event each; the last one suffices.
            self.queued.retain(|(_, queued)| !queued.same_part(&update));
            self.queued.push_back((now, update));
        }
        let excess = self.queued.len().saturating_sub(MAX_QUEUED);
        self.queued.drain(..excess);
    }

    /// Adds an update which reports that the cache `source` no longer existed at
    /// `now`. It carries another epoch, so receivers drop all entries of the cache.
    pub fn add_removed_cache(&mut self, source: u64, now: Duration) {
        let placeholder = Event { number: 0, cache: CacheId(0), part: PartId(0), tokens: 0 };
        self.add(source, NO_EPOCH, &[placeholder], now);
    }

    /// The updates whose events were read within `span` before `now`, the newest
    /// first, as many as fit into a heartbeat.
    pub fn recent(&mut self, span: Duration, now: Duration) -> Vec<CacheUpdate> {
        while self.queued.front().is_some_and(|(at, _)| *at + span < now) {
            self.queued.pop_front();
        }
        self.queued.iter().rev().take(MAX_EVENTS).map(|(_, update)| *update).collect()
    }
}
