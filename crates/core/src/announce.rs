//! Announcements of the engines that are closed for a change of weights, sent
//! to the other hosts by the host that leads the rollout.
//!
//! Load pattern: a fifth of up to 870 engines close at once and reopen one by
//! one, while attempts fail and are repeated.
//!
//! Limits: changes since the last message are sent in one message of at most
//! [`MAX_ENGINES_PER_MESSAGE`] engines, so the message rate does not grow with
//! the number of engines. Each change is sent in two messages; engines that are
//! closed, or were opened recently, are announced again every second. Only the
//! latest state of an engine is sent.

use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum number of engines in one message, so that it fits into one packet.
pub const MAX_ENGINES_PER_MESSAGE: usize = 120;

/// Number of messages in which a change is sent before the repeat interval applies.
const INITIAL_SENDS: u32 = 2;

/// Minimum time between two messages.
pub const PERIOD: Duration = Duration::from_millis(100);

/// Interval at which a state that still applies is sent again.
const REPEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which an engine is announced as open.
const ANNOUNCE_OPEN_FOR: Duration = Duration::from_millis(2_500);

/// Announced state of an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// It is closed for a change to `version` of `model`, for up to `span`.
    Closed {
        /// The model.
        model: String,
        /// The version.
        version: u64,
        /// Time after which it counts as open, unless that is announced earlier.
        span: Duration,
    },
    /// It is open and serves `version` of `model`.
    Open {
        /// The model.
        model: String,
        /// The version.
        version: u64,
    },
}

#[derive(Debug, Clone)]
struct Entry {
    change: Change,
    /// When the state was last set.
    since: Duration,
    /// Number of messages that carried it.
    sent_count: u32,
    /// When it was last sent.
    last_sent: Duration,
}

impl Entry {
    /// When it must be sent next.
    fn due(&self) -> Duration {
        match self.sent_count {
            count if count < INITIAL_SENDS => self.since,
            _ => self.last_sent + REPEAT_INTERVAL,
        }
    }

    /// When it is no longer announced.
    fn expires(&self) -> Duration {
        match &self.change {
            Change::Closed { span, .. } => self.since + *span,
            Change::Open { .. } => self.since + ANNOUNCE_OPEN_FOR,
        }
    }
}

/// The engine states that one host announces, by engine key.
///
/// ```
/// use std::time::Duration;
/// use marjoram_core::announce::{Announcements, Change};
/// let ms = Duration::from_millis;
/// let closed = Change::Closed { model: "m".into(), version: 2, span: ms(4_500) };
/// let mut announcements = Announcements::default();
/// announcements.put(7, closed, ms(0));
/// assert_eq!(announcements.next(ms(0)).len(), 1);
/// // Sent twice, then again a second later.
/// assert_eq!(announcements.next(ms(100)).len(), 1);
/// assert_eq!(announcements.next(ms(200)).len(), 0);
/// assert_eq!(announcements.due(), Some(ms(1_100)));
/// announcements.put(7, Change::Open { model: "m".into(), version: 2 }, ms(300));
/// assert!(matches!(announcements.next(ms(300))[..], [(7, Change::Open { .. })]));
/// ```
#[derive(Debug, Clone, Default)]
pub struct Announcements {
    entries: BTreeMap<u64, Entry>,
}

impl Announcements {
    /// Sets the state of the engine `key` from `now` on. An unchanged state is
    /// extended, and is not sent as a new one.
    pub fn put(&mut self, key: u64, change: Change, now: Duration) {
        match self.entries.get_mut(&key) {
            Some(entry) if entry.change == change => entry.since = now,
            _ => {
                let entry = Entry { change, since: now, sent_count: 0, last_sent: now };
                self.entries.insert(key, entry);
            }
        }
    }

    /// When the next message is due; `None` while there is nothing to send.
    pub fn due(&self) -> Option<Duration> {
        self.entries.values().map(Entry::due).min()
    }

    /// The content of the message sent at `now`: changes not yet sent in two
    /// messages first, then states to repeat, those that are due longest first.
    pub fn next(&mut self, now: Duration) -> Vec<(u64, Change)> {
        self.entries.retain(|_, entry| now < entry.expires());
        let entries = self.entries.iter();
        let mut due: Vec<(bool, Duration, u64)> = entries
            .map(|(key, entry)| (entry.sent_count >= INITIAL_SENDS, entry.due(), *key))
            .collect();
        due.retain(|(_, at, _)| *at <= now);
        due.sort_unstable();
        due.truncate(MAX_ENGINES_PER_MESSAGE);
        let mark_sent = |(_, _, key)| {
            let entry = self.entries.get_mut(&key).expect("key was taken from this map");
            entry.sent_count += 1;
            entry.last_sent = now;
            (key, entry.change.clone())
        };
        due.into_iter().map(mark_sent).collect()
    }

    /// Whether the latest state of the engine `key` has been sent at least once, or
    /// there is none.
    pub fn is_announced(&self, key: u64) -> bool {
        self.entries.get(&key).is_none_or(|entry| entry.sent_count > 0)
    }
}
