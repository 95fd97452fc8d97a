//! Idle connections to one upstream.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::time::Duration;

use super::conn::Conn;

/// How long a connection is kept where the upstream states no time.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);

/// Subtracted from the time that the upstream states: the request must arrive
/// before the upstream closes, and the time is given in whole seconds.
const IDLE_MARGIN: Duration = Duration::from_millis(800);

/// Idle connections to one upstream, and the count of all.
#[derive(Debug, Default)]
pub struct Pool {
    idle: RefCell<VecDeque<(Conn, Duration)>>,
    open: Cell<u32>,
}

impl Pool {
    /// The connection used last that is still good at `now`.
    pub fn take(&self, now: Duration) -> Option<Conn> {
        loop {
            let (mut conn, until) = self.idle.borrow_mut().pop_back()?;
            if now < until && conn.is_quiet() {
                return Some(conn);
            }
        }
    }

    /// Keeps `conn`, which the upstream keeps open for `stated`.
    pub fn put(&self, conn: Conn, stated: Option<Duration>, now: Duration) {
        let keep = stated.unwrap_or(DEFAULT_IDLE).saturating_sub(IDLE_MARGIN);
        if keep > Duration::ZERO {
            self.idle.borrow_mut().push_back((conn, now + keep));
        }
    }

    /// Closes connections that have been idle for too long at `now`, or that
    /// the upstream has closed.
    pub fn sweep(&self, now: Duration) {
        self.idle.borrow_mut().retain_mut(|(conn, until)| now < *until && conn.is_quiet());
    }

    /// Whether an idle connection is still open at `now`.
    pub fn has_quiet(&self, now: Duration) -> bool {
        self.sweep(now);
        self.idle() > 0
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Idle connections.
    pub fn idle(&self) -> usize {
        self.idle.borrow().len()
    }

    /// Connections in use.
    pub fn in_use(&self) -> u32 {
        self.open.get()
    }

    /// Counts a connection as in use or no longer so.
    pub fn count(&self, change: i32) {
        self.open.set(self.open.get().saturating_add_signed(change));
    }
}
