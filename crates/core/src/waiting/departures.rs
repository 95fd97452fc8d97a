//! The rate at which requests are sent from a queue.

use std::time::Duration;

/// Time with requests waiting that one period covers; the rate is that of the last one to two
/// periods.
const PERIOD: Duration = Duration::from_secs(2);

/// Idle time after which earlier departures no longer predict the rate.
const MAX_IDLE: Duration = Duration::from_secs(5);

/// Shortest time that a rate is based on, so that one quick departure does not count as a high
/// rate.
const MIN_BUSY: Duration = Duration::from_millis(100);

#[derive(Debug, Default, Clone, Copy)]
struct Period {
    sent: u32,
    /// Time in which requests waited.
    busy: Duration,
}

/// Counts departures. Time in which no request waits is left out, as nothing can leave then.
#[derive(Debug, Default)]
pub(super) struct Departures {
    current: Period,
    previous: Period,
    /// Up to when the busy time has been added, if requests wait.
    counted: Option<Duration>,
    /// When the queue last became empty.
    emptied: Duration,
}

impl Departures {
    /// Records that a request waits at `now`.
    pub(super) fn waiting(&mut self, now: Duration) {
        if self.counted.is_none() && now.saturating_sub(self.emptied) > MAX_IDLE {
            *self = Self::default();
        }
        self.advance(now);
        self.counted = Some(now);
    }

    /// Records that a request was sent at `now`.
    pub(super) fn sent(&mut self, now: Duration) {
        self.advance(now);
        self.current.sent += 1;
    }

    /// Records that no request waits any more.
    pub(super) fn emptied(&mut self, now: Option<Duration>) {
        let now = now.or(self.counted).unwrap_or(self.emptied);
        self.advance(now);
        self.counted = None;
        self.emptied = now;
    }

    fn advance(&mut self, now: Duration) {
        if let Some(counted) = self.counted {
            self.current.busy += now.saturating_sub(counted);
            self.counted = Some(now.max(counted));
        }
        if self.current.busy >= PERIOD {
            self.previous = std::mem::take(&mut self.current);
        }
    }

    /// The time in which `count` requests are expected to leave, if any departure is known.
    pub(super) fn time_for(&self, count: usize, now: Duration) -> Option<Duration> {
        let sent = self.current.sent + self.previous.sent;
        let open = self.counted.map_or(Duration::ZERO, |at| now.saturating_sub(at));
        let busy = (self.current.busy + self.previous.busy + open).max(MIN_BUSY);
        (sent > 0).then(|| busy.mul_f64(count as f64 / f64::from(sent)))
    }
}
