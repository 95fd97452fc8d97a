//! What a host knows of the workspaces' quotas.

use std::cell::RefCell;
use std::collections::HashMap;

use marjoram_core::quota::gate::Gate;
use marjoram_core::quota::ledger::{Hosts, Ledger};

/// What a host knows of the workspaces' quotas.
#[derive(Default)]
pub struct Quotas {
    /// Decides on the requests that reach this host.
    pub gate: RefCell<Gate>,
    /// The accounts that this host keeps for all.
    pub ledger: RefCell<Ledger>,
    /// The hosts, as last looked at.
    pub hosts: RefCell<Hosts>,
    /// Workspaces whose requests were last not all admitted, by hashed name.
    pub limited: RefCell<HashMap<u64, bool>>,
}
