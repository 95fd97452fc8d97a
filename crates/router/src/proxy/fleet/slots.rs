//! Which slots of upstreams this host's requests occupy.

use std::cell::Cell;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use super::Upstream;

/// How long an abandoned request is taken to run on, as a multiple of the time that requests run,
/// and within bounds: an upstream may notice late that nobody waits for its answer.
const ABANDONED_FACTOR: f64 = 2.0;
const MIN_ABANDONED: Duration = Duration::from_millis(50);
const MAX_ABANDONED: Duration = Duration::from_secs(1);

/// Tells the task that asks for slots of brittle upstreams when this host needs more or fewer.
#[derive(Debug, Default)]
pub struct SlotDemand {
    is_followed: Cell<bool>,
    changed: Notify,
}

impl SlotDemand {
    /// Sets whether changes are followed: whether a service is brittle.
    pub fn set_followed(&self, is_followed: bool) {
        self.is_followed.set(is_followed);
    }

    /// Records a change.
    pub fn note_change(&self) {
        if self.is_followed.get() {
            self.changed.notify_one();
        }
    }

    /// Ends the wait for changes, also if none are followed yet.
    pub fn wake(&self) {
        self.changed.notify_one();
    }

    /// Waits for the next change.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }
}

impl Upstream {
    /// This host's requests that may be running there.
    pub fn occupied(&self) -> u32 {
        self.remove_ended();
        self.local_load.get().running + self.abandoned.borrow().len() as u32
    }

    /// Removes abandoned requests that are no longer taken to run.
    fn remove_ended(&self) {
        let now = Instant::now();
        self.abandoned.borrow_mut().retain(|until| now < *until);
    }

    /// Records that a request is given up that may still be running.
    pub(super) fn note_abandoned(&self) {
        let work = self.health.borrow().latency().unwrap_or_default();
        let span = Duration::from_secs_f64(work * ABANDONED_FACTOR / 1e3);
        let until = Instant::now() + span.clamp(MIN_ABANDONED, MAX_ABANDONED);
        // While no service is brittle, nothing else does.
        self.remove_ended();
        self.abandoned.borrow_mut().push(until);
    }

    /// Records that the number of this host's requests there has fallen.
    pub(super) fn note_ended(&self) {
        self.demand.note_change();
    }
}
