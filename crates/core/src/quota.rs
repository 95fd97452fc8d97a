//! How much each workspace may send, over all hosts together.
//!
//! Load pattern: one workspace sends many times what it usually does, through
//! all hosts at once. Its quota is a token bucket over all of them, and a
//! host's part of that is less than one large prompt: with 69 hosts 8,000 units
//! a second against 17,000. Fixed parts would refuse requests of workspaces that
//! are far below their quota, since callers choose hosts unevenly.
//!
//! Limits: each host tells two others, which account for the workspace
//! ([`ledger`]), what was asked of it and what it admitted. They hold the bucket
//! of all hosts that are heard, and answer which part of the requests may pass.
//! A host refuses that part of them at random ([`gate`]), whatever their
//! size. What it is told is as old as [`REPORT_INTERVAL`] and the way; the excess
//! of that time is taken off later.
//!
//! A host that no account answers keeps to its share of a window, as it was when
//! it was last answered, and the account keeps that share back from the bucket of
//! the others for [`RESERVED`]. All shares together are never more than the quota:
//! a host's is raised only by what others have reported to have given up. So both
//! sides of a cut together stay within the quota, at whatever moment it comes.
//! Hosts that have just started know no share and take an equal one, of the
//! time since their start only: what was admitted before is not known any more.

mod flow;
pub mod gate;
pub mod ledger;

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Time between two reports of a host to the accounts.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// How long an answer of an account holds: one report or answer may be lost.
pub const ANSWER_SPAN: Duration = Duration::from_millis(600);

/// How long the share of a host that is not heard is kept back from the others.
pub const RESERVED: Duration = Duration::from_secs(30);

/// Hosts that account for a workspace.
pub const ACCOUNTS: usize = 2;

/// Workspaces with quotas that one pair of accounts takes.
const GROUP: usize = 64;

/// Part of what the operators tolerate beyond the quota that is used up on
/// purpose; the rest covers reports that are late.
const USED_TOLERANCE: f64 = 0.25;

/// What a quota counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Unit {
    /// Requests.
    Requests,
    /// Tokens to be read and written.
    Tokens {
        /// What a request counts that does not state its tokens.
        unstated: u64,
    },
}

impl fmt::Display for Unit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Requests => "requests",
            Self::Tokens { .. } => "tokens",
        })
    }
}

/// A workspace's quota over all hosts together.
///
/// ```
/// use marjoram_core::quota::{Quota, Unit};
/// let quota = Quota { unit: Unit::Tokens { unstated: 200 }, rate: 8_000.0, burst: 8_000.0 };
/// assert_eq!(quota.cost(Some(1_540)), 1_540);
/// assert_eq!(quota.cost(None), 200);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Quota {
    /// What it counts.
    pub unit: Unit,
    /// Units a second.
    pub rate: f64,
    /// Units beyond the rate that may be used at once.
    pub burst: f64,
}

impl Quota {
    /// What a request counts that states `tokens`.
    pub fn cost(&self, tokens: Option<u64>) -> u64 {
        match self.unit {
            Unit::Requests => 1,
            Unit::Tokens { unstated } => tokens.unwrap_or(unstated),
        }
    }
}

/// By how much the operators let the requests of a window exceed a quota.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tolerance {
    /// The window.
    pub window: Duration,
    /// As a share of the quota.
    pub overage: f64,
    /// In units, beyond that share.
    pub slack: f64,
}

/// A quota as hosts keep to it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// The quota.
    pub quota: Quota,
    /// What is tolerated beyond it.
    pub tolerance: Tolerance,
}

impl Limit {
    /// Units that a window may hold by the quota alone.
    pub fn window(&self) -> f64 {
        self.quota.rate * self.tolerance.window.as_secs_f64() + self.quota.burst
    }

    /// Units that a window may hold with all that is tolerated.
    ///
    /// ```
    /// use std::time::Duration;
    /// use marjoram_core::quota::{Limit, Quota, Tolerance, Unit};
    /// let quota = Quota { unit: Unit::Requests, rate: 100.0, burst: 100.0 };
    /// let window = Duration::from_secs(8);
    /// let limit = Limit { quota, tolerance: Tolerance { window, overage: 0.1, slack: 50.0 } };
    /// assert_eq!(limit.bound(), 1_040.0);
    /// ```
    pub fn bound(&self) -> f64 {
        self.window() * (1.0 + self.tolerance.overage) + self.tolerance.slack
    }

    /// Units by which the bucket may be overdrawn while all requests still pass.
    fn credit(&self) -> f64 {
        USED_TOLERANCE * (self.bound() - self.window())
    }
}

/// The pair of accounts, of `workspaces` with quotas in all, that takes the
/// one with the hashed name `workspace`.
///
/// ```
/// use marjoram_core::quota::group;
/// assert_eq!(group(77, 16), 0);
/// assert!((0..1_000u64).all(|workspace| group(workspace, 1_500) < 24));
/// ```
pub fn group(workspace: u64, workspaces: usize) -> u64 {
    workspace % workspaces.div_ceil(GROUP).max(1) as u64
}
