//! Applies one engine's cache events to the cache index.
//!
//! Events are numbered from 0 within one incarnation of the engine. A read
//! requests the events from a [`Cursor`] on, and the response names the engine's
//! current incarnation. If that is not the cursor's, the requested numbers refer
//! to the earlier incarnation, so the events in the response are discarded and
//! the new incarnation is read from its start. New weights keep the numbering but
//! clear the index.

use crate::cache::{CacheGeneration, CacheIndex, Slot};
use crate::wire::{CacheEvents, EventKind};

/// Position up to which an engine's events have been read, and the incarnation
/// and weights it refers to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cursor {
    /// Incarnation and weights version under which the index entries were
    /// recorded.
    pub life: CacheGeneration,
    /// Sequence number of the next event to read.
    pub next: u64,
}

/// Statistics of one read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ReadStats {
    /// Events applied.
    pub events: u64,
    /// Gaps in the sequence numbers; each means lost events.
    pub gaps: u64,
}

/// Applies the events in `read`, which were requested from `cursor` on (from 0
/// without one), to the index entries of `slot`. Returns the cursor for the next
/// read.
///
/// ```
/// use marjoram_core::cache::{CacheIndex, Slot};
/// use marjoram_core::feed;
/// use marjoram_core::ids::{BlockHash, Incarnation, ModelVersion};
/// use marjoram_core::wire::{CacheEvent, CacheEvents, EventKind};
/// let stored = CacheEvent { seq: 0, kind: EventKind::Stored, blocks: vec![BlockHash(7)] };
/// let read = CacheEvents {
///     incarnation: Incarnation(1),
///     version: ModelVersion(1),
///     next: 1,
///     events: vec![stored],
/// };
/// let cache_index = CacheIndex::new();
/// let (cursor, stats) = feed::apply(&cache_index, Slot(0), None, &read);
/// assert_eq!((cursor.next, stats.events, stats.gaps), (1, 1, 0));
/// assert_eq!(cache_index.blocks_of(Slot(0)), [BlockHash(7)]);
/// ```
pub fn apply(
    cache_index: &CacheIndex,
    slot: Slot,
    cursor: Option<Cursor>,
    read: &CacheEvents,
) -> (Cursor, ReadStats) {
    let life = CacheGeneration { incarnation: read.incarnation, version: read.version };
    match cursor {
        Some(previous) if previous.life.incarnation != life.incarnation => {
            cache_index.clear(slot);
            cache_index.begin(slot, life);
            return (Cursor { life, next: 0 }, ReadStats::default());
        }
        // The entries of the same incarnation may have been cleared in the
        // meantime, for example because the engine was considered dead. `begin`
        // is idempotent, so it is called for each read.
        _ => cache_index.begin(slot, life),
    }
    let mut next = cursor.map(|previous| previous.next).unwrap_or(0);
    let mut stats = ReadStats::default();
    for event in &read.events {
        stats.gaps += u64::from(event.seq != next);
        stats.events += 1;
        next = event.seq + 1;
        match event.kind {
            EventKind::Stored => cache_index.stored(slot, life, &event.blocks),
            EventKind::Removed => cache_index.removed(slot, life, &event.blocks),
            EventKind::Cleared => {
                cache_index.clear(slot);
                cache_index.begin(slot, life);
            }
        }
    }
    (Cursor { life, next: next.max(read.next) }, stats)
}
