//! Reading one engine's cache events into a picture.
//!
//! Events are numbered within one incarnation of the engine, from 0. A read
//! asks from a [`Cursor`] on and is answered with the engine's present life;
//! when that shows another incarnation, the numbers asked for meant nothing
//! there, so the answer's events are left and the new incarnation is read
//! from its beginning. New weights keep the numbering and clear the picture.

use crate::cache::{Life, Picture, Slot};
use crate::wire::{CacheEvents, EventKind};

/// Where an engine's events have been read up to, and in which life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cursor {
    /// The life the picture's entries were learnt under.
    pub life: Life,
    /// Number of the next event to read.
    pub next: u64,
}

/// What one read came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Taken {
    /// Events applied.
    pub events: u64,
    /// Gaps passed in the numbering: events lost.
    pub gaps: u64,
}

/// Applies `read`, asked for from `cursor` on (from 0 without one), to the
/// entries of `slot`; the cursor to read on from.
///
/// ```
/// use marjoram_core::cache::{Picture, Slot};
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
/// let picture = Picture::new();
/// let (cursor, taken) = feed::apply(&picture, Slot(0), None, &read);
/// assert_eq!((cursor.next, taken.events, taken.gaps), (1, 1, 0));
/// assert_eq!(picture.held(Slot(0)), [BlockHash(7)]);
/// ```
pub fn apply(
    picture: &Picture,
    slot: Slot,
    cursor: Option<Cursor>,
    read: &CacheEvents,
) -> (Cursor, Taken) {
    let life = Life { incarnation: read.incarnation, version: read.version };
    match cursor {
        Some(known) if known.life.incarnation != life.incarnation => {
            picture.clear(slot);
            picture.begin(slot, life);
            return (Cursor { life, next: 0 }, Taken::default());
        }
        // The same life may have been cleared meanwhile, as by an engine
        // taken for dead: begin is idempotent.
        _ => picture.begin(slot, life),
    }
    let mut next = cursor.map(|known| known.next).unwrap_or(0);
    let mut taken = Taken::default();
    for event in &read.events {
        taken.gaps += u64::from(event.seq != next);
        taken.events += 1;
        next = event.seq + 1;
        match event.kind {
            EventKind::Stored => picture.stored(slot, life, &event.blocks),
            EventKind::Removed => picture.removed(slot, life, &event.blocks),
            EventKind::Cleared => {
                picture.clear(slot);
                picture.begin(slot, life);
            }
        }
    }
    (Cursor { life, next: next.max(read.next) }, taken)
}
