//! Slots of brittle upstreams that this host holds, waits for, or grants.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use marjoram_core::slot_leases::coordinator::Coordinator;
use marjoram_core::slot_leases::holder::Holder;
use tokio::sync::Notify;

use super::Site;

/// What this host holds of one service's slots, and its requests that wait for one.
#[derive(Debug, Default)]
pub struct ServiceSlots {
    /// The slots that it holds.
    pub holder: RefCell<Holder>,
    /// Its requests that wait.
    pub waiting: Cell<usize>,
    /// When the last request was sent whose answer came before any statement.
    pub last_sound: Cell<Option<Duration>>,
}

/// The slots of all brittle services, by the hashes of their names.
#[derive(Debug, Default)]
pub struct SlotLeases {
    services: RefCell<HashMap<u64, Rc<ServiceSlots>>>,
    /// The accounts of the services that this host coordinates.
    pub coordinators: RefCell<HashMap<u64, Coordinator>>,
    /// Notified when a grant has been received.
    pub granted: Notify,
}

impl SlotLeases {
    /// The slots of `service`, the hash of a name.
    pub fn service(&self, service: u64) -> Rc<ServiceSlots> {
        self.services.borrow_mut().entry(service).or_default().clone()
    }
}

/// A request that waits for a slot, until dropped.
pub struct SlotWait {
    site: Rc<Site>,
    slots: Rc<ServiceSlots>,
}

impl SlotWait {
    /// Counts a request that waits for a slot of `service`, the hash of a name.
    pub fn new(site: &Rc<Site>, service: u64) -> Self {
        let slots = site.slots.service(service);
        slots.waiting.set(slots.waiting.get() + 1);
        site.fleet.demand.note_change();
        Self { site: site.clone(), slots }
    }
}

impl Drop for SlotWait {
    fn drop(&mut self) {
        self.slots.waiting.set(self.slots.waiting.get() - 1);
        self.site.fleet.demand.note_change();
    }
}
