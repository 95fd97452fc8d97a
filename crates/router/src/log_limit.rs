//! Limits how often a repeated event is logged.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// Shortest time between two log lines.
const INTERVAL: Duration = Duration::from_secs(1);

/// Events of one kind, of which at most one a second is logged.
#[derive(Debug, Default)]
pub struct LogLimit(Mutex<Events>);

#[derive(Debug, Default)]
struct Events {
    /// When the last line was logged.
    logged: Option<Duration>,
    /// Events since then.
    count: u64,
}

impl LogLimit {
    /// Counts an event at `now`. Returns the number of events since the last line, if it is to be
    /// logged.
    pub fn count(&self, now: Duration) -> Option<u64> {
        let mut events = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        events.count += 1;
        if events.logged.is_some_and(|logged| now < logged + INTERVAL) {
            return None;
        }
        events.logged = Some(now);
        Some(std::mem::take(&mut events.count))
    }
}
