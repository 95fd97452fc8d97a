//! Limits on the memory and the connections that a process has for all peers together.
//!
//! Load pattern: many peers each keep within the limits for one. They send bodies that stop short
//! of their end, open connections and leave them idle, or do not read answers. Together they
//! exceed the memory or the descriptors of the host, and the process is killed with all requests
//! in progress, or can accept and connect to nobody.
//!
//! When a limit is reached, other connections are given up for the one that needs more:
//!
//! - Requests in progress are never given up.
//! - For memory, the connection that has held the most bytes for the longest time without
//!   progress. If all make progress, the newest of those with large requests that are still being
//!   received, so that the others can be completed.
//! - For a connection, the one without progress for the longest time.
//!
//! A part of the memory is reserved for small requests.

mod table;

use std::future::poll_fn;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use quick_error::quick_error;

use table::{ConnKey, PortKey, Table};

/// Bytes that a connection takes in addition to those received or to be sent on it.
pub const CONN_SIZE: usize = 8 << 10;

/// Shortest time after which a peer should retry whose connection was given up, and by how much
/// that time varies, so that those given up together do not return together.
const MIN_RETRY: Duration = Duration::from_millis(500);
const RETRY_SPREAD: Duration = Duration::from_secs(1);

quick_error! {
    /// Why a connection is given up, or not accepted.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum Exhausted {
        /// The memory for all connections.
        Memory(limit: usize) {
            display("connections use up the {limit} bytes that all may have together")
        }
        /// The connections that a port may have.
        Conns(limit: usize) {
            display("the port has its {limit} connections")
        }
    }
}

/// When a peer should retry whose connection was given up; `share`, from 0 to 1, distinguishes those
/// given up together.
///
/// ```
/// use marjoram_core::peer_budget::retry_after;
/// use std::time::Duration;
/// assert_eq!(retry_after(0.0), Duration::from_millis(500));
/// assert_eq!(retry_after(1.0), Duration::from_millis(1_500));
/// ```
pub fn retry_after(share: f64) -> Duration {
    MIN_RETRY + RETRY_SPREAD.mul_f64(share)
}

/// What a connection is used for at the moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// It waits for a request.
    Idle,
    /// A request is being received.
    Receiving,
    /// A request has been received, and has no complete answer.
    InProgress,
    /// A complete answer is being sent.
    Sending,
    /// It closes once the peer has received its last answer.
    Closing,
}

/// The memory that all connections may use together, and the ports that they were accepted on.
///
/// ```
/// use marjoram_core::peer_budget::{CONN_SIZE, PeerBudget, Stage};
/// use std::time::{Duration, Instant};
/// let (start, budget) = (Instant::now(), PeerBudget::new(2 * CONN_SIZE + 100));
/// let port = budget.port(10);
/// let (stalled, moving) = (port.accept(start)?, port.accept(start)?);
/// stalled.enter(Stage::Receiving, start);
/// stalled.resize(80, start)?;
/// let later = start + Duration::from_secs(1);
/// moving.enter(Stage::Receiving, later);
/// moving.resize(80, later)?;
/// assert!(stalled.given_up().is_some());
/// # Ok::<(), marjoram_core::peer_budget::Exhausted>(())
/// ```
#[derive(Debug, Clone)]
pub struct PeerBudget(Arc<Mutex<Table>>);

impl PeerBudget {
    /// A budget of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self(Arc::new(Mutex::new(Table::new(limit))))
    }

    /// Sets the limit to `limit` bytes, or as many as one request of `request` bytes needs.
    pub fn set_limit(&self, limit: usize, request: usize) {
        self.table().set_limit(limit, request);
    }

    /// A port that may have `limit` connections.
    pub fn port(&self, limit: usize) -> Port {
        let key = self.table().add_port(limit);
        Port { budget: self.clone(), key }
    }

    /// The bytes that all connections use.
    pub fn used(&self) -> usize {
        self.table().used()
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        // The table is consistent between calls, also after a panic of a caller.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A port with a limit on its connections.
#[derive(Debug, Clone)]
pub struct Port {
    budget: PeerBudget,
    key: PortKey,
}

impl Port {
    /// Counts a connection that was accepted at `now`. Fails if there is no room and no other
    /// connection can be given up.
    pub fn accept(&self, now: Instant) -> Result<Holding, Exhausted> {
        let key = self.budget.table().accept(self.key, now)?;
        Ok(Holding { budget: self.budget.clone(), key })
    }

    /// Whether another connection would replace one.
    pub fn is_full(&self) -> bool {
        self.budget.table().is_full(self.key)
    }

    /// Number of connections, without those given up.
    pub fn conns(&self) -> usize {
        self.budget.table().conns(self.key)
    }
}

/// What a process holds for one connection, until dropped.
#[derive(Debug)]
pub struct Holding {
    budget: PeerBudget,
    key: ConnKey,
}

impl Holding {
    /// The connection is used for `stage` from `now` on.
    pub fn enter(&self, stage: Stage, now: Instant) {
        self.budget.table().enter(self.key, stage, now);
    }

    /// The peer has sent or accepted `bytes` more bytes at `now`.
    pub fn record_progress(&self, bytes: usize, now: Instant) {
        self.budget.table().record_progress(self.key, bytes, now);
    }

    /// The connection needs `bytes` bytes from `now` on. Fails if it has been given up, or is
    /// given up for this; a request in progress keeps what it has.
    pub fn resize(&self, bytes: usize, now: Instant) -> Result<(), Exhausted> {
        self.budget.table().resize(self.key, bytes, now)
    }

    /// Why the connection has been given up, if it has.
    pub fn given_up(&self) -> Option<Exhausted> {
        self.budget.table().given_up(self.key)
    }

    /// Waits until the connection is given up.
    pub async fn wait_given_up(&self) -> Exhausted {
        poll_fn(|cx| self.poll_given_up(cx)).await
    }

    /// Polls whether the connection has been given up; wakes the last task that polled.
    pub fn poll_given_up(&self, cx: &mut Context<'_>) -> Poll<Exhausted> {
        self.budget.table().poll_given_up(self.key, cx.waker())
    }

    /// Counts a connection again that was given up, for its last answer.
    pub fn close(&self, now: Instant) {
        self.budget.table().close(self.key, now);
    }
}

impl Drop for Holding {
    fn drop(&mut self) {
        self.budget.table().remove(self.key);
    }
}
