//! What a host knows of the workspaces' quotas.

use std::cell::RefCell;
use std::collections::HashMap;

use marjoram_core::quota::gate::Gate;
use marjoram_core::quota::ledger::{Hosts, Ledger};
use tokio::sync::Notify;

/// What a host knows of the workspaces' quotas.
#[derive(Default)]
pub struct Quotas {
    /// Decides on the requests that reach this host.
    pub gate: RefCell<Gate>,
    /// The accounts that this host keeps for all.
    pub ledger: RefCell<Ledger>,
    /// The hosts, as last looked at.
    pub hosts: RefCell<Hosts>,
    /// Told when a workspace's first request has come.
    pub first: Notify,
    /// Workspaces whose requests were last not all admitted, by hashed name.
    pub limited: RefCell<HashMap<u64, bool>>,
}
