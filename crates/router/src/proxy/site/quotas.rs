//! What a host knows about the workspaces' quotas.

use std::cell::RefCell;
use std::collections::HashMap;

use marjoram_core::quota::gate::Gate;
use marjoram_core::quota::ledger::{Hosts, Ledger};
use tokio::sync::Notify;

/// What a host knows about the workspaces' quotas.
#[derive(Default)]
pub struct Quotas {
    /// Admits or refuses the requests that reach this host.
    pub gate: RefCell<Gate>,
    /// The accounts for which this host is quota coordinator.
    pub ledger: RefCell<Ledger>,
    /// The hosts, as of the last update of the accounts.
    pub hosts: RefCell<Hosts>,
    /// Notified at the first request of a workspace.
    pub first: Notify,
    /// Whether only a part of a workspace's requests was to be admitted at the last
    /// update of the accounts, by the hash of its name.
    pub limited: RefCell<HashMap<u64, bool>>,
}
