//! Request quotas of workspaces, enforced over all hosts together.
//!
//! Load pattern: one workspace sends many times its usual load, through all hosts
//! at once. Its quota is a token bucket over all hosts, and one host's part of
//! that is less than one large prompt: with 69 hosts, 8,000 units a second
//! against 17,000. Fixed parts would refuse requests of workspaces that
//! are far below their quota, since callers choose hosts unevenly.
//!
//! Limits: each host reports to two hosts, the quota coordinators of the
//! workspace ([`ledger`]), the demand of its callers and the units that it
//! admitted. They keep one token bucket for all reachable hosts, and answer with
//! the admission ratio: the fraction of requests to admit. A host admits requests
//! at random with that probability ([`gate`]), whatever their size. The ratio is
//! as old as [`REPORT_INTERVAL`] plus the network delay; what was admitted in
//! excess during that time is charged later.
//!
//! A host that no coordinator answers keeps to its share of the quota in each
//! window, as stated in the last answer that it received, and the coordinators
//! reserve that share in the bucket of the others for [`RESERVATION_TIME`]. All shares
//! together are never more than the quota: a host's share is raised only by what other
//! hosts have reported to have given up. So both sides of a network partition
//! together stay within the quota, at whatever moment it begins. Hosts that have
//! just started have received no share and use an equal one, counted only over
//! the time since their start: what they admitted before is no longer known.

mod flow;
pub mod gate;
pub mod ledger;

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Time between two reports of a host to the coordinators.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// How long an answer of a coordinator is valid: more than two report intervals,
/// so that one report or answer may be lost.
pub const ANSWER_SPAN: Duration = Duration::from_millis(600);

/// How long the share of an unreachable host is reserved.
pub const RESERVATION_TIME: Duration = Duration::from_secs(30);

/// Number of quota coordinators of a workspace.
pub const COORDINATORS: usize = 2;

/// Number of workspaces with quotas per pair of coordinators.
const GROUP_SIZE: usize = 64;

/// Fraction of the tolerated overage that is used on purpose; the rest covers late
/// reports.
const USED_TOLERANCE: f64 = 0.25;

/// What a quota counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Unit {
    /// Requests.
    Requests,
    /// Prompt tokens and completion tokens.
    Tokens {
        /// Units charged for a request that does not state its tokens.
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
    /// What is counted.
    pub unit: Unit,
    /// Units a second.
    pub rate: f64,
    /// Size of the token bucket: units beyond the rate that may be used at once.
    pub burst: f64,
}

impl Quota {
    /// Units charged for a request that states `tokens`.
    pub fn cost(&self, tokens: Option<u64>) -> u64 {
        match self.unit {
            Unit::Requests => 1,
            Unit::Tokens { unstated } => tokens.unwrap_or(unstated),
        }
    }
}

/// By how much the operators allow the requests of a window to exceed a quota.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tolerance {
    /// The window.
    pub window: Duration,
    /// As a fraction of what the quota allows in the window.
    pub overage: f64,
    /// In units, in addition to that fraction.
    pub slack: f64,
}

/// A quota with its tolerance, as hosts enforce it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// The quota.
    pub quota: Quota,
    /// The overage that is tolerated.
    pub tolerance: Tolerance,
}

impl Limit {
    /// Units that may be admitted in a window by the quota alone.
    pub fn window(&self) -> f64 {
        self.quota.rate * self.tolerance.window.as_secs_f64() + self.quota.burst
    }

    /// Units that may be admitted in a window with the whole tolerance.
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

    /// Units by which the bucket may be overdrawn before requests are refused.
    fn credit(&self) -> f64 {
        USED_TOLERANCE * (self.bound() - self.window())
    }
}

/// Number of the group that the workspace with the hashed name `workspace`
/// belongs to, where `workspaces` is the number of workspaces with quotas. Each
/// group is coordinated by one pair of hosts.
///
/// ```
/// use marjoram_core::quota::group;
/// assert_eq!(group(77, 16), 0);
/// assert!((0..1_000u64).all(|workspace| group(workspace, 1_500) < 24));
/// ```
pub fn group(workspace: u64, workspaces: usize) -> u64 {
    workspace % workspaces.div_ceil(GROUP_SIZE).max(1) as u64
}
