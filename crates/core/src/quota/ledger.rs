//! The accounts of the workspaces that this host accounts for.
//!
//! An account is a bucket of the hosts that are heard: it fills at the quota's
//! rate, less the shares of the hosts that are not, and each report takes out what
//! its host admitted since the one before. The part of the requests that may pass
//! is what the bucket can spend in a second, over what was asked in the last.

mod account;

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Limit;
use account::Account;
pub(super) use account::RECENT;

/// Span over which what is asked is averaged, and what hosts usually are asked.
pub(super) const DEMAND_SPAN: Duration = Duration::from_millis(500);
pub(super) const USUAL_SPAN: Duration = Duration::from_secs(10);

/// What one host tells of one workspace.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// Hash of the workspace's name.
    pub workspace: u64,
    /// Units asked of the host, a second, lately.
    pub demand: f32,
    /// The same over a longer time.
    pub usual: f32,
    /// Units that it has admitted since its start.
    pub admitted: i64,
    /// Units that it admitted within the last window.
    pub spent: f32,
    /// Units that it admitted within [`RECENT`].
    pub recent: f32,
    /// The share of the quota that it holds, if it was told one.
    pub share: Option<f32>,
    /// It has run for less than a window, so it may have admitted more before.
    pub young: bool,
}

/// One life of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sender {
    /// Hash of its name.
    pub host: u64,
    /// Its life.
    pub life: u64,
}

/// What a host may admit of a workspace's requests.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Verdict {
    /// Hash of the workspace's name.
    pub workspace: u64,
    /// The part of the requests that may pass, 0 to 1.
    pub pass: f32,
    /// The host's share of the quota while no account answers it.
    pub share: f32,
    /// The part of the quota that the host is due by what it is usually asked.
    pub part: f32,
    /// The part of the burst that is left, 0 to 1.
    pub burst: f32,
    /// Milliseconds after which those refused should come back.
    pub wait: u32,
}

/// The hosts as the account knows them.
#[derive(Debug, Clone, Default)]
pub struct Hosts {
    /// Hosts that are heard, this one included.
    pub heard: usize,
    /// Hashed names of those that are not, for less than [`super::RESERVED`].
    pub silent: HashSet<u64>,
}

impl Hosts {
    /// All that count.
    pub fn count(&self) -> usize {
        self.heard + self.silent.len()
    }

    /// Whether this host hears so many that it may account for them.
    ///
    /// ```
    /// use marjoram_core::quota::ledger::Hosts;
    /// assert!(Hosts { heard: 2, silent: [7, 8].into() }.may_account());
    /// assert!(!Hosts { heard: 1, silent: [7, 8].into() }.may_account());
    /// ```
    pub fn may_account(&self) -> bool {
        self.heard * 2 >= self.count()
    }
}

/// How an account stands, for the state dump and the log.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Standing {
    /// The part of the requests that may pass.
    pub pass: f64,
    /// What the bucket holds.
    pub level: f64,
    /// Units asked a second, of the hosts that are heard.
    pub demand: f64,
    /// The part of the quota that is kept back.
    pub reserved: f64,
}

/// The accounts that one host keeps.
///
/// ```
/// use std::time::Duration;
/// use marjoram_core::quota::ledger::{Hosts, Ledger, Sender, Usage};
/// use marjoram_core::quota::{Limit, Quota, Tolerance, Unit};
/// let quota = Quota { unit: Unit::Requests, rate: 100.0, burst: 100.0 };
/// let window = Duration::from_secs(8);
/// let limit = Limit { quota, tolerance: Tolerance { window, overage: 0.0, slack: 0.0 } };
/// let hosts = Hosts { heard: 2, ..Hosts::default() };
/// let mut ledger = Ledger::default();
/// let secs = Duration::from_secs_f64;
/// let sender = Sender { host: 1, life: 1 };
/// let usage = |admitted| Usage {
///     workspace: 7,
///     demand: 400.0,
///     usual: 400.0,
///     admitted,
///     spent: 0.0,
///     recent: 0.0,
///     share: None,
///     young: true,
/// };
/// ledger.report(sender, &usage(0), secs(1.0));
/// ledger.settle(7, &limit, &hosts, secs(1.0));
/// // Four times the quota is asked, and the bucket holds nothing yet.
/// assert_eq!(ledger.verdict(7, 1).unwrap().pass, 0.25);
/// ledger.report(sender, &usage(600), secs(1.25));
/// ledger.settle(7, &limit, &hosts, secs(1.25));
/// assert_eq!(ledger.verdict(7, 1).unwrap().pass, 0.0);
/// ```
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    accounts: HashMap<u64, Account>,
}

impl Ledger {
    /// Takes in what `sender` tells at `now`.
    pub fn report(&mut self, sender: Sender, usage: &Usage, now: Duration) {
        self.accounts.entry(usage.workspace).or_default().report(sender, usage, now);
    }

    /// Brings the account of `workspace` up to `now`.
    pub fn settle(&mut self, workspace: u64, limit: &Limit, hosts: &Hosts, now: Duration) {
        if let Some(account) = self.accounts.get_mut(&workspace) {
            account.settle(limit, hosts, now);
        }
    }

    /// Whether the account of `workspace` has been settled since it was opened.
    pub fn is_settled(&self, workspace: u64) -> bool {
        self.accounts.get(&workspace).is_some_and(|account| account.is_settled())
    }

    /// What `host` is told that it may admit of the requests of `workspace`, as last
    /// settled.
    pub fn verdict(&mut self, workspace: u64, host: u64) -> Option<Verdict> {
        self.accounts.get_mut(&workspace)?.verdict(workspace, host)
    }

    /// Forgets the accounts of workspaces that `keeps` does not hold.
    pub fn retain(&mut self, keeps: impl Fn(u64) -> bool) {
        self.accounts.retain(|workspace, account| keeps(*workspace) && !account.is_empty());
    }

    /// The workspaces that are accounted for.
    pub fn workspaces(&self) -> Vec<u64> {
        self.accounts.keys().copied().collect()
    }

    /// How the account of `workspace` stands at `now`.
    pub fn standing(&self, workspace: u64, now: Duration) -> Option<Standing> {
        Some(self.accounts.get(&workspace)?.standing(now))
    }
}
