//! Quotas that all hosts share, as one host knows them: what it admits, and the
//! accounts that it keeps as a coordinator.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use marjoram_core::quota::Limit;
use marjoram_core::quota::gate::{Gate, Totals};
use marjoram_core::quota::ledger::{AccountStatus, Allocation, Hosts, Ledger, Sender, Usage};
use tokio::sync::Notify;

/// The quotas of one kind, by the key of what they limit: a workspace or an
/// upstream.
#[derive(Default)]
pub struct Quotas {
    /// Admits or refuses the requests that reach this host.
    pub gate: RefCell<Gate>,
    /// The accounts for which this host is quota coordinator.
    pub ledger: RefCell<Ledger>,
    /// The hosts, as of the last update of the accounts.
    pub hosts: RefCell<Hosts>,
    /// Notified at the first request under a quota.
    pub first: Notify,
    /// Whether only a part of the requests was to be admitted at the last update of
    /// the accounts.
    limited: RefCell<HashMap<u64, bool>>,
}

impl Quotas {
    /// Brings the accounts kept here up to date. Returns the state of those whose
    /// requests are admitted in part from now on, or completely again.
    pub fn advance(
        &self,
        limits: &HashMap<u64, Limit>,
        hosts: Hosts,
        now: Duration,
    ) -> Vec<(u64, AccountStatus)> {
        let mut ledger = self.ledger.borrow_mut();
        ledger.retain(|key| limits.contains_key(&key));
        self.limited.borrow_mut().retain(|key, _| limits.contains_key(key));
        let mut changed = Vec::new();
        for key in ledger.workspaces() {
            let Some(limit) = limits.get(&key) else { continue };
            ledger.advance(key, limit, &hosts, now);
            let Some(status) = ledger.status(key, now) else { continue };
            let limited = status.admission_ratio < 1.0;
            let before = self.limited.borrow_mut().insert(key, limited);
            if before.unwrap_or_default() != limited {
                changed.push((key, status));
            }
        }
        *self.hosts.borrow_mut() = hosts;
        changed
    }

    /// Forgets what this host admitted under quotas that are not among `limits`, and
    /// returns it.
    pub fn remove_unlimited(&self, limits: &HashMap<u64, Limit>) -> Vec<(u64, Totals)> {
        self.gate.borrow_mut().retain(|key| limits.contains_key(&key))
    }

    /// What this host admitted, to be reported to the coordinators. `window` is the
    /// window of the quotas.
    pub fn usages(&self, window: Duration, now: Duration) -> Vec<Usage> {
        self.gate.borrow().usages(window, now)
    }

    /// Applies usages reported by `sender` to the accounts kept here; returns the
    /// allocations, or none while this host may not act as a coordinator. Accounts
    /// that these usages have opened are advanced at once, by their `limits`.
    pub fn apply_usages(
        &self,
        sender: Sender,
        usages: &[Usage],
        limits: impl FnOnce() -> HashMap<u64, Limit>,
        now: Duration,
    ) -> Vec<Allocation> {
        let mut ledger = self.ledger.borrow_mut();
        usages.iter().for_each(|usage| ledger.report(sender, usage, now));
        let hosts = self.hosts.borrow();
        if !hosts.can_coordinate() {
            return Vec::new();
        }
        let opened = |usage: &&Usage| !ledger.is_initialized(usage.workspace);
        let opened: Vec<u64> = usages.iter().filter(opened).map(|usage| usage.workspace).collect();
        if !opened.is_empty() {
            let limits = limits();
            for key in opened {
                let Some(limit) = limits.get(&key) else { continue };
                ledger.advance(key, limit, &hosts, now);
            }
        }
        usages.iter().filter_map(|usage| ledger.allocation(usage.workspace, sender.host)).collect()
    }

    /// Applies the allocations of `coordinator`, a hash of that host's name.
    pub fn apply_allocations(&self, coordinator: u64, allocations: &[Allocation], now: Duration) {
        let mut gate = self.gate.borrow_mut();
        allocations.iter().for_each(|allocation| gate.apply(coordinator, *allocation, now));
    }
}
