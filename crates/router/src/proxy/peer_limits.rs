//! Limits on what this host holds for peers: their memory, and the connections of each port.

use std::time::Duration;

use marjoram_core::host::Capacity;
use marjoram_core::peer_budget::{Exhausted, PeerBudget, Port};
use rustix::process::{Resource, getrlimit};

use super::counters::Counters;
use crate::log_limit::LogLimit;

/// What was given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GivenUp {
    /// A new connection of a caller.
    CallerConn,
    /// A caller's connection without a request.
    IdleCaller,
    /// A caller's request that was being received.
    Request,
    /// An answer that its caller did not read, or that there was no memory to keep.
    Answer,
    /// A connection to a status port.
    Status,
    /// A connection of another host.
    Host,
}

impl GivenUp {
    /// Name of its counter.
    fn counter(self) -> &'static str {
        match self {
            Self::CallerConn => "peer_limit.conns_refused",
            Self::IdleCaller => "peer_limit.idle_closed",
            Self::Request => "peer_limit.requests_refused",
            Self::Answer => "peer_limit.answers_given_up",
            Self::Status => "peer_limit.status_closed",
            Self::Host => "peer_limit.hosts_closed",
        }
    }
}

/// The budget of all peers, and the ports that share it.
pub struct PeerLimits {
    /// The memory of all connections.
    pub budget: PeerBudget,
    /// Connections of callers.
    pub callers: Port,
    /// Connections to the status ports.
    pub status: Port,
    /// Connections of other hosts.
    pub hosts: Port,
    /// Memory in the settings, in bytes.
    memory: usize,
    log: LogLimit,
}

impl PeerLimits {
    /// Limits for a process with `capacity`.
    pub fn new(capacity: Capacity) -> Self {
        let memory = capacity.peer_bytes();
        let budget = PeerBudget::new(memory);
        Self {
            callers: budget.port(capacity.caller_conns()),
            status: budget.port(capacity.status_conns()),
            hosts: budget.port(capacity.host_conns()),
            budget,
            memory,
            log: LogLimit::default(),
        }
    }

    /// Leaves room for a request of `bytes` bytes at least.
    pub fn allow_request(&self, bytes: usize) {
        self.budget.set_limit(self.memory, bytes);
    }

    /// Counts what was given up, and logs it at most once a second.
    pub fn report(&self, counters: &Counters, what: GivenUp, why: Exhausted, now: Duration) {
        counters.count(what.counter());
        let Some(count) = self.log.count(now) else { return };
        tracing::warn!(target: "peer_limit", ?what, %why, count, callers = self.callers.conns(),
            status = self.status.conns(), hosts = self.hosts.conns(), bytes = self.budget.used(),
            "connections given up");
    }
}

/// `capacity`, with no more descriptors than the system lets the process open.
pub fn within_system_limit(capacity: Capacity) -> Capacity {
    let system = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
    Capacity { fds: capacity.fds.min(system), ..capacity }
}
