//! The connections of callers of the own interface: how many there may be, and which of them are
//! closed for others.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use marjoram_core::peer_budget::{Exhausted, Holding, PeerBudget, Port, Stage};
use tokio::sync::{AcquireError, OwnedSemaphorePermit, Semaphore};

/// Connections that may be closing beyond those counted: they are closed by other threads.
const MAX_CLOSING: usize = 16;

/// The connections that are open.
#[derive(Debug)]
pub struct CallerConns {
    port: Port,
    open: Mutex<HashMap<SocketAddr, Arc<OpenConn>>>,
    permits: Arc<Semaphore>,
}

#[derive(Debug)]
struct OpenConn {
    holding: Holding,
    /// Requests being served on it.
    requests: AtomicU32,
}

impl CallerConns {
    /// At most `limit` connections, which share `budget`.
    pub fn new(budget: &PeerBudget, limit: usize) -> Self {
        let permits = Arc::new(Semaphore::new(limit + MAX_CLOSING));
        Self { port: budget.port(limit), open: Mutex::default(), permits }
    }

    /// Waits until another connection can be accepted.
    pub async fn permit(&self) -> Result<OwnedSemaphorePermit, AcquireError> {
        self.permits.clone().acquire_owned().await
    }

    /// Counts the connection accepted from `addr`; another one without a request in progress is
    /// given up for it if there are too many. Fails if there is none.
    pub fn accept(
        self: &Arc<Self>,
        addr: SocketAddr,
        permit: OwnedSemaphorePermit,
    ) -> Result<CallerConn, Exhausted> {
        let holding = self.port.accept(Instant::now())?;
        let open = Arc::new(OpenConn { holding, requests: AtomicU32::new(0) });
        self.open().insert(addr, open.clone());
        Ok(CallerConn { conns: self.clone(), addr, open, _permit: permit })
    }

    /// Begins a request on the connection from `addr`; `None` if it has closed.
    pub fn begin_request(&self, addr: SocketAddr) -> Option<RequestOnConn> {
        let open = self.open().get(&addr)?.clone();
        if open.requests.fetch_add(1, Ordering::AcqRel) == 0 {
            open.holding.enter(Stage::Receiving, Instant::now());
        }
        Some(RequestOnConn(open))
    }

    fn open(&self) -> MutexGuard<'_, HashMap<SocketAddr, Arc<OpenConn>>> {
        // The map is consistent between calls, also after a panic of a caller.
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A connection of a caller, counted until dropped.
#[derive(Debug)]
pub struct CallerConn {
    conns: Arc<CallerConns>,
    addr: SocketAddr,
    open: Arc<OpenConn>,
    _permit: OwnedSemaphorePermit,
}

impl CallerConn {
    /// Waits until the connection is to be closed for another one.
    pub async fn wait_given_up(&self) -> Exhausted {
        self.open.holding.wait_given_up().await
    }
}

impl Drop for CallerConn {
    fn drop(&mut self) {
        let mut open = self.conns.open();
        // The caller may have connected again from the same port.
        if open.get(&self.addr).is_some_and(|known| Arc::ptr_eq(known, &self.open)) {
            open.remove(&self.addr);
        }
    }
}

/// A request on a connection of a caller, until dropped.
#[derive(Debug)]
pub struct RequestOnConn(Arc<OpenConn>);

impl RequestOnConn {
    /// Records that `bytes` more bytes of the request have been received.
    pub fn record_progress(&self, bytes: usize) {
        self.0.holding.record_progress(bytes, Instant::now());
    }

    /// Records that the request has been received: its connection is kept until the answer is
    /// complete.
    pub fn set_received(&self) {
        self.0.holding.enter(Stage::InProgress, Instant::now());
    }

    /// Records that a complete answer of `size` bytes is sent. Fails if there is no room for it:
    /// the connection is closed.
    pub fn begin_answer(&self, size: usize) -> Result<(), Exhausted> {
        let now = Instant::now();
        self.0.holding.enter(Stage::Sending, now);
        self.0.holding.resize(size, now)
    }

    /// Records that `bytes` more bytes of the answer have been sent, and `left` have not. Fails if
    /// the connection has been given up.
    pub fn record_sent(&self, bytes: usize, left: usize) -> Result<(), Exhausted> {
        let now = Instant::now();
        self.0.holding.record_progress(bytes, now);
        self.0.holding.resize(left, now)
    }
}

impl Drop for RequestOnConn {
    fn drop(&mut self) {
        if self.0.requests.fetch_sub(1, Ordering::AcqRel) == 1 {
            let now = Instant::now();
            self.0.holding.enter(Stage::Idle, now);
            // Err: the connection has been given up, and counts for nothing.
            let _ = self.0.holding.resize(0, now);
        }
    }
}
