//! Pool of keep-alive connections to one upstream.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::time::Duration;

use crate::conn::Conn;

/// Idle time-out that is assumed for an upstream which sends none in `Keep-Alive`.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Subtracted from the upstream's idle time-out: the request must arrive before
/// the upstream closes, and the time-out is given in whole seconds.
const IDLE_MARGIN: Duration = Duration::from_millis(800);

/// The idle connections, and the number of those in use.
#[derive(Debug, Default)]
pub struct Pool {
    /// Idle connections with the time until which they can be used.
    idle: RefCell<VecDeque<(Conn, Duration)>>,
    in_use: Cell<u32>,
}

impl Pool {
    /// Takes the most recently used connection for which `is_candidate`, if it can still be used
    /// at `now` and `may_use` allows it. Candidates that cannot be used are closed; connections
    /// that are no candidates stay.
    pub fn take(
        &self,
        now: Duration,
        is_candidate: impl Fn(&Conn) -> bool,
        may_use: impl Fn(&Conn) -> bool,
    ) -> Option<Conn> {
        let mut idle = self.idle.borrow_mut();
        loop {
            let index = idle.iter().rposition(|(conn, _)| is_candidate(conn))?;
            let (mut conn, until) = idle.remove(index)?;
            if now < until && may_use(&conn) && conn.is_reusable() {
                return Some(conn);
            }
        }
    }

    /// Returns `conn` to the pool; `idle_timeout` is the upstream's, if it sent one.
    pub fn put(&self, conn: Conn, idle_timeout: Option<Duration>, now: Duration) {
        let keep = idle_timeout.unwrap_or(DEFAULT_IDLE_TIMEOUT).saturating_sub(IDLE_MARGIN);
        if keep > Duration::ZERO {
            self.idle.borrow_mut().push_back((conn, now + keep));
        }
    }

    /// Drops the connections that have been idle for too long at `now`, or that the
    /// upstream has closed.
    pub fn sweep(&self, now: Duration) {
        self.idle.borrow_mut().retain_mut(|(conn, until)| now < *until && conn.is_reusable());
    }

    /// Whether an idle connection is still open at `now`.
    pub fn has_open_idle(&self, now: Duration) -> bool {
        self.sweep(now);
        self.idle() > 0
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Number of idle connections.
    pub fn idle(&self) -> usize {
        self.idle.borrow().len()
    }

    /// Number of connections in use.
    pub fn in_use(&self) -> u32 {
        self.in_use.get()
    }

    /// Changes the number of connections in use by `change`.
    pub fn count(&self, change: i32) {
        self.in_use.set(self.in_use.get().saturating_add_signed(change));
    }
}
