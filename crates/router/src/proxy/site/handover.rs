//! What hosts tell each other when the leadership of weights rollouts moves: when each
//! last sent an order to an engine.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::Notify;

/// State of the handovers of leadership as this host sees them. Tokens are those of
/// [`marjoram_core::era::Token::number`].
#[derive(Default)]
pub struct Handover {
    /// The token of this host's term.
    pub held_token: Cell<Option<u64>>,
    /// The highest token of another leader that has asked this host.
    pub later_token: Cell<u64>,
    /// When this host last began or ended sending an order, since its start.
    last_order: Cell<Duration>,
    /// Orders that are being sent.
    sending: Cell<u32>,
    query: RefCell<Query>,
    /// Notified when all hosts that were asked have answered.
    pub answered: Notify,
}

/// This host's own query of the others.
#[derive(Default)]
struct Query {
    token: u64,
    unanswered: HashSet<SocketAddr>,
    /// Since when the hosts that have answered have sent no order, on [`crate::clock::now`].
    idle_since: Duration,
}

impl Handover {
    /// Records that an order is being sent from `now` on, times being since the start of
    /// the process.
    pub fn begin_order(&self, now: Duration) {
        self.sending.set(self.sending.get() + 1);
        self.last_order.set(now);
    }

    /// Records that the sending of an order has ended.
    pub fn end_order(&self, now: Duration) {
        self.sending.set(self.sending.get() - 1);
        self.last_order.set(now);
    }

    /// For how long at `now` this process has sent no order. One that has just started has
    /// sent none since.
    pub fn idle_for(&self, now: Duration) -> Duration {
        match self.sending.get() {
            0 => now.saturating_sub(self.last_order.get()),
            _ => Duration::ZERO,
        }
    }

    /// Begins a query with `token` of the hosts at `addrs`.
    pub fn begin_query(&self, token: u64, addrs: Vec<SocketAddr>) {
        let unanswered = addrs.into_iter().collect();
        *self.query.borrow_mut() = Query { token, unanswered, idle_since: Duration::ZERO };
    }

    /// The hosts that have not answered the query with `token`; `None` if another one has
    /// begun since.
    pub fn unanswered(&self, token: u64) -> Option<Vec<SocketAddr>> {
        let query = self.query.borrow();
        (query.token == token).then(|| query.unanswered.iter().copied().collect())
    }

    /// Since when the hosts that have answered have sent no order.
    pub fn idle_since(&self) -> Duration {
        self.query.borrow().idle_since
    }

    /// Records the answer to the query with `token`, received at `now` from the host at
    /// `from`, that it has sent no order for `idle`.
    pub fn record_answer(&self, from: SocketAddr, token: u64, idle: Duration, now: Duration) {
        let mut query = self.query.borrow_mut();
        if query.token == token && query.unanswered.remove(&from) {
            query.idle_since = query.idle_since.max(now.saturating_sub(idle));
            if query.unanswered.is_empty() {
                self.answered.notify_one();
            }
        }
    }
}
