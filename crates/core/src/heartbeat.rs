//! The exchange of heartbeats between hosts.

/// Number of hosts up to which each host reports its loads to all others in a
/// single round. Loads are then recent enough to compare all engines.
pub const SINGLE_ROUND_HOSTS: usize = 17;
