//! Tracks how far a host has read a log that a few hosts read on behalf of all.
//!
//! The hosts that read the log relay the records to the others in datagrams.
//! The datagrams of different readers overlap, and arrive late, twice or not at all.
//! The log offsets show which of the records are new to a host. A store that returns
//! from a backup issues the same offsets again, in a later era.
//!
//! A host never counts a record as read that it may have missed. A relay confirms
//! that no newer records existed when its reader sent the read request, but
//! nothing about later times. Spans of different eras are never combined: a span
//! of a later era is a gap, whatever its offsets are.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::era::Era;

/// A range of log offsets in one era: from `from` up to, but not including,
/// `next`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Span {
    /// The era of the store.
    pub era: Era,
    /// First offset in the range.
    pub from: u64,
    /// Offset after the last one in the range.
    pub next: u64,
}

/// How relayed records relate to what a host has already read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Advance {
    /// The host has already read all of them, or they are of an earlier era.
    Old,
    /// Records before them are missing, or they are of a later era.
    Gap,
    /// The records from offset `after` on are new; there may be none.
    New {
        /// The offset that the host was due to read next.
        after: u64,
    },
}

/// The log position that a host has reached by its own reads and by relays, and
/// the latest time at which that was known to be the end of the log.
///
/// ```
/// use std::time::Duration;
/// use marjoram_core::era::Era;
/// use marjoram_core::relay::{Position, Span, Advance};
/// let secs = Duration::from_secs;
/// let span = |era, from, next| Span { era: Era(era), from, next };
/// let mut position = Position::new(Era(1), 40, secs(1));
/// let advance = position.advance(span(1, 30, 50), secs(2));
/// assert_eq!((advance, position.at()), (Advance::New { after: 40 }, 50));
/// assert_eq!(position.advance(span(1, 30, 45), secs(3)), Advance::Old);
/// assert_eq!(position.advance(span(1, 51, 60), secs(3)), Advance::Gap);
/// assert_eq!(position.advance(span(0, 45, 60), secs(3)), Advance::Old);
/// assert_eq!(position.advance(span(2, 45, 60), secs(3)), Advance::Gap);
/// assert_eq!(position.due(secs(1)), secs(3));
/// ```
#[derive(Debug, Clone, Copy)]
pub struct Position {
    era: Era,
    at: u64,
    confirmed: Duration,
}

impl Position {
    /// Position of a host that has read up to `at` (exclusive) of `era`, with a
    /// read request sent at `asked`.
    pub fn new(era: Era, at: u64, asked: Duration) -> Self {
        Self { era, at, confirmed: asked }
    }

    /// Records that another host, which sent its read request at `asked`, has
    /// read `span`.
    pub fn advance(&mut self, span: Span, asked: Duration) -> Advance {
        match self.at {
            _ if span.era < self.era => Advance::Old,
            _ if span.era > self.era => Advance::Gap,
            at if span.next < at => Advance::Old,
            at if span.from > at => Advance::Gap,
            after => {
                self.at = span.next;
                self.confirmed = self.confirmed.max(asked);
                Advance::New { after }
            }
        }
    }

    /// The offset to read next.
    pub fn at(&self) -> u64 {
        self.at
    }

    /// When the host has to read the log itself, if what it has read may be `pause`
    /// behind the end of the log.
    pub fn due(&self, pause: Duration) -> Duration {
        self.confirmed + pause
    }
}
