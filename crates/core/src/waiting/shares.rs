//! Fair shares of workspaces among the requests of one level: start-time fair queueing by tokens.

use std::collections::HashMap;

/// Accounts of a level above which those that no longer matter are dropped.
const MIN_PRUNED: usize = 1_024;

/// The accounts of one level.
#[derive(Debug, Default)]
pub(super) struct Accounts {
    /// Start tag of the last request sent in order.
    virtual_time: u64,
    /// Finish tag of the last request of each workspace.
    finishes: HashMap<u64, u64>,
    /// Number of accounts at which they are pruned next.
    prune_at: usize,
}

impl Accounts {
    /// Start tag of the next request of `workspace`. The virtual time is the lower bound, so a
    /// workspace gets no credit for the time in which it had nothing to send at this level.
    pub(super) fn start(&self, workspace: u64) -> u64 {
        self.finishes.get(&workspace).copied().unwrap_or(0).max(self.virtual_time)
    }

    /// Charges `cost` to `workspace`. The virtual time advances only if the request was the first
    /// `in_order` of its level: otherwise workspaces that have been served less would lose their
    /// precedence.
    pub(super) fn charge(&mut self, workspace: u64, cost: u64, in_order: bool) {
        let start = self.start(workspace);
        self.finishes.insert(workspace, start.saturating_add(cost));
        if in_order {
            self.virtual_time = start;
        }
        if self.finishes.len() > self.prune_at.max(MIN_PRUNED) {
            let virtual_time = self.virtual_time;
            self.finishes.retain(|_, finish| *finish > virtual_time);
            self.prune_at = 2 * self.finishes.len();
        }
    }
}
