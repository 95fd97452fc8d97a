//! The quota accounts of the workspaces that this host coordinates.
//!
//! An account is a token bucket of the reachable hosts. It fills at the quota's
//! rate, less the shares of unreachable hosts, and each usage report takes out
//! what its host admitted since its previous report. The admission ratio is what
//! the bucket can spend in the next second, divided by the demand, and at most 1.

mod account;

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Limit;
use account::Account;
pub(super) use account::RECENT_SPAN;

/// Time constants of the exponential averages of a host's current demand and of
/// its usual demand. The first is two report intervals, so that the admission
/// ratio follows a change of load quickly; the second is much longer, as shares
/// depend on it and must not follow bursts.
pub(super) const DEMAND_SPAN: Duration = Duration::from_millis(500);
pub(super) const USUAL_SPAN: Duration = Duration::from_secs(10);

/// What one host reports about one workspace.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// Hash of the workspace's name.
    pub workspace: u64,
    /// Current demand: units a second that callers request of the host, averaged
    /// over half a second.
    pub demand: f32,
    /// Usual demand: the same, averaged over ten seconds.
    pub usual: f32,
    /// Units that the host has admitted since its process started.
    pub admitted: i64,
    /// Units that it admitted within the last window of the quota.
    pub admitted_in_window: f32,
    /// Units that it admitted within `RECENT_SPAN`, the last two seconds.
    pub admitted_recently: f32,
    /// The share of the quota that it uses when no coordinator answers; `None` if it
    /// has not received one.
    pub share: Option<f32>,
    /// Whether the process has run for less than a window: it may have admitted
    /// more before its restart, which is not counted in `admitted_in_window`.
    pub newly_started: bool,
}

/// One incarnation of a host's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sender {
    /// Hash of its name.
    pub host: u64,
    /// Its incarnation.
    pub life: u64,
}

/// The coordinator's answer to a usage report: what the host may admit of a
/// workspace's requests.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Allocation {
    /// Hash of the workspace's name.
    pub workspace: u64,
    /// The admission ratio: the fraction of requests to admit, 0 to 1.
    pub admission_ratio: f32,
    /// The share of the quota that the host may use while no coordinator answers.
    pub share: f32,
    /// The share of the quota that is due to the host by its usual demand.
    pub target_share: f32,
    /// The fraction of the burst that is left, 0 to 1.
    pub burst_left: f32,
    /// Retry delay of refused callers, in milliseconds.
    pub retry_after_ms: u32,
}

/// The hosts that an account counts.
#[derive(Debug, Clone, Default)]
pub struct Hosts {
    /// Number of reachable hosts, this one included.
    pub reachable: usize,
    /// Hashed names of the hosts that have been unreachable for less than
    /// [`super::RESERVATION_TIME`].
    pub unreachable: HashSet<u64>,
}

impl Hosts {
    /// Number of reachable and unreachable hosts.
    pub fn count(&self) -> usize {
        self.reachable + self.unreachable.len()
    }

    /// Whether at least half of the hosts are reachable, so that this host may
    /// coordinate quotas.
    ///
    /// ```
    /// use marjoram_core::quota::ledger::Hosts;
    /// assert!(Hosts { reachable: 2, unreachable: [7, 8].into() }.can_coordinate());
    /// assert!(!Hosts { reachable: 1, unreachable: [7, 8].into() }.can_coordinate());
    /// ```
    pub fn can_coordinate(&self) -> bool {
        self.reachable * 2 >= self.count()
    }
}

/// State of an account, for the state dump and the log.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AccountStatus {
    /// The admission ratio.
    pub admission_ratio: f64,
    /// Units in the bucket; negative when overdrawn.
    pub level: f64,
    /// Demand of the reachable hosts, in units a second.
    pub demand: f64,
    /// The fraction of the quota reserved for unreachable hosts.
    pub reserved: f64,
    /// Number of reachable hosts that have reported.
    pub reporting: usize,
}

/// The accounts of the workspaces that one host coordinates.
///
/// ```
/// use std::time::Duration;
/// use marjoram_core::quota::ledger::{Hosts, Ledger, Sender, Usage};
/// use marjoram_core::quota::{Limit, Quota, Tolerance, Unit};
/// let quota = Quota { unit: Unit::Requests, rate: 100.0, burst: 100.0 };
/// let window = Duration::from_secs(8);
/// let limit = Limit { quota, tolerance: Tolerance { window, overage: 0.0, slack: 0.0 } };
/// let hosts = Hosts { reachable: 2, ..Hosts::default() };
/// let mut ledger = Ledger::default();
/// let secs = Duration::from_secs_f64;
/// let sender = Sender { host: 1, life: 1 };
/// let usage = |admitted| Usage {
///     workspace: 7,
///     demand: 400.0,
///     usual: 400.0,
///     admitted,
///     admitted_in_window: 0.0,
///     admitted_recently: 0.0,
///     share: None,
///     newly_started: true,
/// };
/// ledger.report(sender, &usage(0), secs(1.0));
/// ledger.advance(7, &limit, &hosts, secs(1.0));
/// // The demand is four times the quota, and the bucket is still empty.
/// assert_eq!(ledger.allocation(7, 1).unwrap().admission_ratio, 0.25);
/// ledger.report(sender, &usage(600), secs(1.25));
/// ledger.advance(7, &limit, &hosts, secs(1.25));
/// assert_eq!(ledger.allocation(7, 1).unwrap().admission_ratio, 0.0);
/// ```
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    accounts: HashMap<u64, Account>,
}

impl Ledger {
    /// Applies a usage report from `sender`, received at `now`.
    pub fn report(&mut self, sender: Sender, usage: &Usage, now: Duration) {
        self.accounts.entry(usage.workspace).or_default().report(sender, usage, now);
    }

    /// Advances the account of `workspace` to `now`, and computes what hosts may
    /// admit from then on.
    pub fn advance(&mut self, workspace: u64, limit: &Limit, hosts: &Hosts, now: Duration) {
        if let Some(account) = self.accounts.get_mut(&workspace) {
            account.advance(limit, hosts, now);
        }
    }

    /// Whether the account of `workspace` has been updated since it was created.
    pub fn is_initialized(&self, workspace: u64) -> bool {
        self.accounts.get(&workspace).is_some_and(|account| account.is_initialized())
    }

    /// What `host` may admit of the requests of `workspace`, as computed by the last
    /// update.
    pub fn allocation(&mut self, workspace: u64, host: u64) -> Option<Allocation> {
        self.accounts.get_mut(&workspace)?.allocation(workspace, host)
    }

    /// Removes accounts without entries, and those of workspaces for which `keeps`
    /// is false.
    pub fn retain(&mut self, keeps: impl Fn(u64) -> bool) {
        self.accounts.retain(|workspace, account| keeps(*workspace) && !account.is_empty());
    }

    /// Hashed names of the workspaces with an account.
    pub fn workspaces(&self) -> Vec<u64> {
        self.accounts.keys().copied().collect()
    }

    /// The state of the account of `workspace` at `now`.
    pub fn status(&self, workspace: u64, now: Duration) -> Option<AccountStatus> {
        Some(self.accounts.get(&workspace)?.status(now))
    }
}
