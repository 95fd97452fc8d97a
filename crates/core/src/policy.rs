//! Routing policies behind one small trait.
//!
//! A policy gets the request's prefix and, for each eligible engine, a
//! [`Candidate`]: its load and the number of leading blocks of the prompt that
//! the router's cache index lists for it. It returns the index of the chosen
//! candidate. [`Router`] contains one instance of each policy and dispatches on
//! [`PolicyName`] with a `match`, so the request path has no dynamic dispatch.

mod least_load;
pub mod maglev;
mod prefix_aware;
mod round_robin;

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

pub use least_load::LeastLoad;
pub use maglev::{Maglev, MaglevTable};
pub use prefix_aware::PrefixAware;
pub use round_robin::RoundRobin;

use crate::Error;
use crate::cache::Slot;
use crate::ids::Tokens;
use crate::params::Params;
use crate::prefix::Prefix;

/// One engine that is eligible for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// The engine's slot in the cache index.
    pub slot: Slot,
    /// Stable key of the engine (a hash of its address), for hashing policies.
    pub key: u64,
    /// Requests in flight there: this router's own, and what the engine
    /// last reported beyond those.
    pub load: u32,
    /// Prompt tokens that this router has sent there and that are not yet
    /// prefilled, according to the cache index.
    pub pending: Tokens,
    /// Leading prompt blocks that the cache index lists for the engine.
    pub matched: u32,
}

/// The request that a policy chooses an engine for.
#[derive(Debug, Clone, Copy)]
pub struct PolicyInput<'a> {
    /// The prompt's blocks.
    pub prefix: &'a Prefix,
    /// The workspace's routing parameters.
    pub params: &'a Params,
}

/// Chooses an engine for a request.
pub trait Policy {
    /// Index into `candidates` of the chosen engine; `None` when empty.
    fn pick(&self, policy_input: PolicyInput<'_>, candidates: &[Candidate]) -> Option<usize>;
}

/// The name of a routing policy, as written in configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PolicyName {
    /// The engines in rotation.
    RoundRobin,
    /// The engine with the fewest requests in flight.
    LeastLoad,
    /// Consistent hashing of the prompt's prefix, with bounded load.
    Maglev,
    /// The engine with the shortest expected prefill wait, cached prompt blocks
    /// and load considered.
    PrefixAware,
}

impl PolicyName {
    /// All policies, in the order in which reports list them.
    pub const ALL: [PolicyName; 4] =
        [Self::RoundRobin, Self::LeastLoad, Self::Maglev, Self::PrefixAware];
}

impl fmt::Display for PolicyName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::RoundRobin => "round-robin",
            Self::LeastLoad => "least-load",
            Self::Maglev => "maglev",
            Self::PrefixAware => "prefix-aware",
        })
    }
}

impl FromStr for PolicyName {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        Self::ALL
            .into_iter()
            .find(|name| name.to_string() == text)
            .ok_or_else(|| Error::Unknown("policy", text.into()))
    }
}

/// One instance of each policy, selected by name without dynamic dispatch.
#[derive(Debug, Default)]
pub struct Router {
    round_robin: RoundRobin,
    least_load: LeastLoad,
    maglev: Maglev,
    prefix_aware: PrefixAware,
}

impl Router {
    /// A router with the initial state of each policy.
    pub fn new() -> Self {
        Self::default()
    }

    /// Chooses an engine by the policy `name`.
    ///
    /// ```
    /// use marjoram_core::cache::Slot;
    /// use marjoram_core::params::Params;
    /// use marjoram_core::ids::Tokens;
    /// use marjoram_core::policy::{PolicyInput, Candidate, PolicyName, Router};
    /// use marjoram_core::prefix::Prefix;
    /// let prefix = Prefix { blocks: vec![], tokens: Tokens(0) };
    /// let params = Params::default();
    /// let policy_input = PolicyInput { prefix: &prefix, params: &params };
    /// let idle =
    ///     Candidate { slot: Slot(0), key: 1, load: 0, pending: Tokens(0), matched: 0 };
    /// let busy = Candidate { slot: Slot(1), load: 9, ..idle };
    /// let router = Router::new();
    /// assert_eq!(router.pick(PolicyName::LeastLoad, policy_input, &[busy, idle]), Some(1));
    /// ```
    pub fn pick(
        &self,
        name: PolicyName,
        policy_input: PolicyInput<'_>,
        candidates: &[Candidate],
    ) -> Option<usize> {
        match name {
            PolicyName::RoundRobin => self.round_robin.pick(policy_input, candidates),
            PolicyName::LeastLoad => self.least_load.pick(policy_input, candidates),
            PolicyName::Maglev => self.maglev.pick(policy_input, candidates),
            PolicyName::PrefixAware => self.prefix_aware.pick(policy_input, candidates),
        }
    }
}
