//! The state of the query by which a host that starts learns the limits in force.

use std::cell::RefCell;
use std::collections::HashSet;
use std::net::SocketAddr;

use tokio::sync::SetOnce;

/// What this host has learned, since it started, of the limits in force.
#[derive(Default)]
pub struct StartupQuery {
    /// The hosts asked that have not answered.
    unanswered: RefCell<HashSet<SocketAddr>>,
    /// Set once all have answered, or the wait for them has timed out.
    ended: SetOnce<()>,
}

impl StartupQuery {
    /// Begins to wait for the answers of `hosts`.
    pub fn begin(&self, hosts: Vec<SocketAddr>) {
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

    pub fn has_ended(&self) -> bool {
        self.ended.initialized()
    }

    /// Waits until the query has ended.
    pub async fn ended(&self) {
        self.ended.wait().await;
    }
}
