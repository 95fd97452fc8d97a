//! When weights were announced, as recorded in the platform's store.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use tokio::sync::Notify;

/// When weights were announced, as recorded in the platform's store, and what is still
/// to be recorded.
#[derive(Default)]
pub struct StoredAnnouncements {
    /// By model: the announced versions, and when, since the Unix epoch.
    pub times: RefCell<HashMap<String, BTreeMap<u64, Duration>>>,
    /// The models whose record is to be written.
    pub unwritten: RefCell<BTreeSet<String>>,
    /// Notified when a record is to be written.
    pub write_requested: Notify,
}
