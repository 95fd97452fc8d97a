//! Slots of brittle engines that this router holds, waits for, or grants.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use marjoram_core::slot_leases::coordinator::Coordinator;
use marjoram_core::slot_leases::holder::Holder;
use tokio::sync::Notify;

/// The slots of all brittle engines.
#[derive(Default)]
pub struct EngineSlots {
    /// The slots that this router holds.
    holder: Mutex<Holder>,
    /// The accounts, if this router coordinates the slots.
    coordinator: Mutex<Option<Coordinator>>,
    /// Held from the choice of an engine until the request counts as running there.
    choice: Mutex<()>,
    /// Requests that wait for a slot.
    waiting: AtomicUsize,
    is_followed: AtomicBool,
    changed: Notify,
    available: Notify,
}

impl EngineSlots {
    /// The slots that this router holds, locked.
    pub fn holder(&self) -> MutexGuard<'_, Holder> {
        self.holder.lock().unwrap()
    }

    /// The accounts, locked.
    pub fn coordinator(&self) -> MutexGuard<'_, Option<Coordinator>> {
        self.coordinator.lock().unwrap()
    }

    /// Keeps other requests from choosing an engine until dropped.
    pub fn begin_choice(&self) -> MutexGuard<'_, ()> {
        self.choice.lock().unwrap()
    }

    /// Requests that wait for a slot.
    pub fn waiting(&self) -> usize {
        self.waiting.load(Ordering::Relaxed)
    }

    /// Sets whether changes are followed: whether an engine is brittle.
    pub fn set_followed(&self, is_followed: bool) {
        self.is_followed.store(is_followed, Ordering::Relaxed);
    }

    /// Records that this router needs more or fewer slots.
    pub fn note_demand(&self) {
        if self.is_followed.load(Ordering::Relaxed) {
            self.changed.notify_one();
        }
    }

    /// Records that a request has ended, or that slots have been granted.
    pub fn note_available(&self) {
        if self.is_followed.load(Ordering::Relaxed) {
            self.available.notify_waiters();
        }
        self.note_demand();
    }

    /// Ends the wait for changes, also if none are followed yet.
    pub fn wake(&self) {
        self.changed.notify_one();
    }

    /// Waits until this router needs more or fewer slots.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }
}

/// A request that waits for a slot, until dropped.
pub struct SlotWait<'a>(&'a EngineSlots);

impl<'a> SlotWait<'a> {
    /// Counts a request that waits.
    pub fn new(slots: &'a EngineSlots) -> Self {
        slots.waiting.fetch_add(1, Ordering::Relaxed);
        slots.note_demand();
        Self(slots)
    }

    /// Waits until a slot may be available, no longer than `limit`.
    pub async fn wait(&self, limit: Duration) {
        // Ends without a notification when the limit is reached.
        let _ = tokio::time::timeout(limit, self.0.available.notified()).await;
    }
}

impl Drop for SlotWait<'_> {
    fn drop(&mut self) {
        self.0.waiting.fetch_sub(1, Ordering::Relaxed);
        self.0.note_demand();
    }
}
