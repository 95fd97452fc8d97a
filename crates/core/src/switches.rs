//! Switches that turn off individual mechanisms of the routing decisions. All are
//! on, unless an operator turns one off to measure its effect on a site's own
//! load. The table in docs/DECISIONS.md was measured in this way.

use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;

use crate::Error;

/// A mechanism that can be turned off. None of the system's guarantees depends on
/// one of these.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Mechanism {
    /// Requests that share a prefix path prefer one engine, selected by
    /// rendezvous hashing.
    PreferredEngines,
    /// Cached shared prompt parts are copied from the engine or cache store that
    /// has them cached.
    Copies,
    /// Cached shared prompt parts are saved to the cache stores and copied from
    /// there.
    Stores,
    /// Small prompts prefer a partition of the engines, large ones the others.
    SizePartitions,
    /// With many hosts, only a few engines, sampled by hashing, are compared for
    /// each request.
    EngineSampling,
    /// Large prompts wait at the router, not in the engine's queue, when others
    /// are ahead of them.
    Waiting,
    /// Hosts include each other's requests in the load of the engines.
    Loads,
    /// Hosts read cache events and pass the updates on to other hosts.
    CacheUpdates,
    /// Hosts report to each other which upstreams they could not reach.
    UnreachableReports,
    /// After an engine refuses a request because of its weights version, it is
    /// asked which version it serves.
    Reports,
    /// For each workspace, a few hosts act as quota coordinators. Without this,
    /// each host keeps to a fixed share of the quota.
    QuotaCoordinators,
    /// For each coordinated service, two hosts keep accounts of the large prompts that
    /// are outstanding at its engines. Without this, hosts know of each other's prompts by
    /// heartbeats.
    BacklogAccounts,
    /// Requests for a coordinated service wait in an ordered queue while no engine has
    /// room for them.
    WaitQueue,
}

/// All mechanisms with the names that `--without` takes.
const NAMES: [(Mechanism, &str); 13] = [
    (Mechanism::PreferredEngines, "homes"),
    (Mechanism::Copies, "copies"),
    (Mechanism::Stores, "stores"),
    (Mechanism::SizePartitions, "lanes"),
    (Mechanism::EngineSampling, "drawing"),
    (Mechanism::Waiting, "waiting"),
    (Mechanism::Loads, "loads"),
    (Mechanism::CacheUpdates, "news"),
    (Mechanism::UnreachableReports, "doubts"),
    (Mechanism::Reports, "reports"),
    (Mechanism::QuotaCoordinators, "accounts"),
    (Mechanism::BacklogAccounts, "backlog"),
    (Mechanism::WaitQueue, "queue"),
];

impl fmt::Display for Mechanism {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = NAMES.iter().find(|(mechanism, _)| mechanism == self);
        f.write_str(name.map_or("", |(_, name)| name))
    }
}

impl FromStr for Mechanism {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let entry = NAMES.iter().find(|(_, name)| *name == text);
        entry
            .map(|(mechanism, _)| *mechanism)
            .ok_or_else(|| Error::Parse("mechanism", text.into(), "no such mechanism"))
    }
}

/// The set of mechanisms that are turned off.
///
/// ```
/// use marjoram_core::switches::{Mechanism, Switches};
/// let switches: Switches = "homes,copies".parse().unwrap();
/// assert!(!switches.has(Mechanism::PreferredEngines) && switches.has(Mechanism::SizePartitions));
/// assert_eq!(switches.to_string(), "homes,copies");
/// assert!("home".parse::<Switches>().is_err());
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Switches {
    disabled: BTreeSet<Mechanism>,
}

impl Switches {
    /// Whether `mechanism` is turned on.
    pub fn has(&self, mechanism: Mechanism) -> bool {
        !self.disabled.contains(&mechanism)
    }
}

impl fmt::Display for Switches {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names: Vec<String> = self.disabled.iter().map(Mechanism::to_string).collect();
        f.write_str(&names.join(","))
    }
}

impl FromStr for Switches {
    type Err = Error;

    /// Parses a comma-separated list of names.
    fn from_str(text: &str) -> Result<Self, Error> {
        let names = text.split(',').map(str::trim).filter(|name| !name.is_empty());
        Ok(Self { disabled: names.map(str::parse).collect::<Result<_, Error>>()? })
    }
}
