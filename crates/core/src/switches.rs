//! Which mechanisms of the decisions are in use. All are, unless an operator
//! switches one off to measure what it is worth on a site's own load; the
//! table of docs/DECISIONS.md was made so.

use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;

use crate::Error;

/// A mechanism that can be switched off. No promise rests on one of these.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Mechanism {
    /// Each chain of shared parts has a home among the engines.
    Homes,
    /// Shared parts are copied from where they are kept.
    Copies,
    /// Shared parts are saved to the cache stores and copied from there.
    Stores,
    /// Some engines take small prompts first.
    Lanes,
    /// Large fleets compare a few engines drawn for each request.
    Drawing,
    /// Large prompts wait at the router behind others.
    Waiting,
    /// Hosts count each other's requests at the engines.
    Loads,
    /// The events of caches are read and passed on.
    News,
    /// Hosts pass on which upstreams they could not reach.
    Doubts,
    /// An engine that refuses for its weights is asked which it serves.
    Reports,
    /// A few hosts account for each workspace; else each host keeps to a fixed
    /// share of its quota.
    Accounts,
}

/// All mechanisms, with their names.
const NAMES: [(Mechanism, &str); 11] = [
    (Mechanism::Homes, "homes"),
    (Mechanism::Copies, "copies"),
    (Mechanism::Stores, "stores"),
    (Mechanism::Lanes, "lanes"),
    (Mechanism::Drawing, "drawing"),
    (Mechanism::Waiting, "waiting"),
    (Mechanism::Loads, "loads"),
    (Mechanism::News, "news"),
    (Mechanism::Doubts, "doubts"),
    (Mechanism::Reports, "reports"),
    (Mechanism::Accounts, "accounts"),
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
        let known = NAMES.iter().find(|(_, name)| *name == text);
        known
            .map(|(mechanism, _)| *mechanism)
            .ok_or_else(|| Error::Parse("mechanism", text.into(), "no such mechanism"))
    }
}

/// The mechanisms that are switched off.
///
/// ```
/// use marjoram_core::switches::{Mechanism, Switches};
/// let switches: Switches = "homes,copies".parse().unwrap();
/// assert!(!switches.has(Mechanism::Homes) && switches.has(Mechanism::Lanes));
/// assert_eq!(switches.to_string(), "homes,copies");
/// assert!("home".parse::<Switches>().is_err());
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Switches {
    off: BTreeSet<Mechanism>,
}

impl Switches {
    /// Whether `mechanism` is in use.
    pub fn has(&self, mechanism: Mechanism) -> bool {
        !self.off.contains(&mechanism)
    }
}

impl fmt::Display for Switches {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names: Vec<String> = self.off.iter().map(Mechanism::to_string).collect();
        f.write_str(&names.join(","))
    }
}

impl FromStr for Switches {
    type Err = Error;

    /// Names separated by commas.
    fn from_str(text: &str) -> Result<Self, Error> {
        let names = text.split(',').map(str::trim).filter(|name| !name.is_empty());
        Ok(Self { off: names.map(str::parse).collect::<Result<_, Error>>()? })
    }
}
