//! Which slots of upstreams this host's requests occupy.

use std::cell::Cell;
use std::time::Duration;

use tokio::sync::Notify;

use super::Upstream;
use crate::clock;

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
        self.local_load.get().running + self.abandoned.borrow_mut().count(clock::now())
    }

    /// Records that a request is given up that may still be running.
    pub(super) fn note_abandoned(&self) {
        let work_ms = self.health.borrow().latency().unwrap_or_default();
        let work = Duration::from_secs_f64(work_ms / 1e3);
        self.abandoned.borrow_mut().record(work, clock::now());
    }

    /// Records that the number of this host's requests there has fallen.
    pub(super) fn note_ended(&self) {
        self.demand.note_change();
    }
}
