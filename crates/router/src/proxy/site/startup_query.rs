//! The state of the query by which a host that starts learns the limits in force.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::SetOnce;

/// What this host has learned, since it started, of the limits in force.
#[derive(Default)]
pub struct StartupQuery {
    /// The hosts asked that have not answered.
    unanswered: RefCell<HashSet<SocketAddr>>,
    /// Set once all have answered, or the wait for them has timed out.
    ended: SetOnce<()>,
    /// Until when nobody may know which services are brittle: all hosts have started together.
    probing_until: Cell<Duration>,
    /// Services of which that is known, by the hashes of their names.
    known: RefCell<HashSet<u64>>,
}

impl StartupQuery {
    /// Begins to wait for the answers of `hosts`.
    pub fn begin(&self, hosts: HashSet<SocketAddr>) {
        self.unanswered.borrow_mut().extend(hosts);
    }

    /// The hosts asked that have not answered.
    pub fn unanswered(&self) -> Vec<SocketAddr> {
        self.unanswered.borrow().iter().copied().collect()
    }

    /// Records that the host at `from` has answered; the last one ends the query.
    pub fn record_answer(&self, from: SocketAddr) {
        let mut unanswered = self.unanswered.borrow_mut();
        if unanswered.remove(&from) && unanswered.is_empty() {
            self.end();
        }
    }

    /// Ends the query; no effect if it has ended.
    pub fn end(&self) {
        // Err: it has ended before.
        let _ = self.ended.set(());
    }

    /// Begins the time until `until` in which services are probed, as nobody has answered.
    pub fn begin_probing(&self, until: Duration) {
        self.probing_until.set(until);
    }

    /// Whether services are probed at `now`.
    pub fn is_probing(&self, now: Duration) -> bool {
        now < self.probing_until.get()
    }

    /// Whether it is known if `service`, the hash of a name, is brittle.
    pub fn knows(&self, service: u64) -> bool {
        self.known.borrow().contains(&service)
    }

    /// Records that it is known; returns whether it was not.
    pub fn record_known(&self, service: u64) -> bool {
        self.known.borrow_mut().insert(service)
    }

    pub fn has_ended(&self) -> bool {
        self.ended.initialized()
    }

    /// Waits until the query has ended.
    pub async fn ended(&self) {
        self.ended.wait().await;
    }
}
