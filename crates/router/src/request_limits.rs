//! Limits on what the own interface holds for callers and other routers together.

use std::fmt::Display;
use std::sync::Arc;
use std::time::{Duration, Instant};

use marjoram_core::blocks::Blocks;
use marjoram_core::host::Capacity;
use marjoram_core::pace::LinkSpeed;
use marjoram_core::peer_budget::{Exhausted, Holding, PeerBudget, Port, Stage};
use ntex::util::{Bytes, BytesMut};
use ntex::web::types::Payload;
use rustix::process::{Resource, getrlimit};

use crate::answer_memory::AnswerMemory;
use crate::caller_conns::{CallerConns, RequestOnConn};
use crate::error::Error;
use crate::log_limit::LogLimit;
use crate::options::Settings;

/// How often the bytes of a request in progress are kept: as parsed, and encoded for an engine,
/// where some take two bytes.
const COPIES: usize = 3;

/// Time-out for receiving the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Fraction of the memory for the buffers of callers' connections, and the bytes that each takes.
const CONN_FRACTION: usize = 4;
const CONN_BUFFERS: usize = 64 << 10;

/// Descriptors of a process whose number the system does not limit.
const UNLIMITED_FDS: u64 = 1 << 20;

/// The budget of a process, and the ports that share it.
#[derive(Debug)]
pub struct RequestLimits {
    /// Requests of callers.
    requests: Port,
    /// Connections of other routers.
    pub routers: Port,
    /// Connections of callers.
    pub callers: Arc<CallerConns>,
    /// Answers that are collected.
    pub answers: AnswerMemory,
    /// Connections that may wait to be accepted on a port.
    pub backlog: u32,
    /// Tunnels that may be served at the same time.
    pub tunnels: usize,
    log: LogLimit,
}

impl RequestLimits {
    /// Limits for a process with `settings` that accepts requests of `body_limit` bytes.
    pub fn new(settings: &Settings, body_limit: usize) -> Self {
        let fds = getrlimit(Resource::Nofile).current.unwrap_or(UNLIMITED_FDS);
        let memory = settings.memory_mb * 1_000_000;
        let capacity = Capacity { cores: 1.0, link: LinkSpeed(1_000.0), memory, fds };
        let by_memory = memory as usize / CONN_FRACTION / CONN_BUFFERS;
        let conns = capacity.caller_conns().min(by_memory).max(1);
        let budget = PeerBudget::new(capacity.peer_bytes());
        budget.set_limit(capacity.peer_bytes(), COPIES * body_limit);
        Self {
            requests: budget.port(capacity.caller_conns()),
            routers: budget.port(capacity.host_conns()),
            callers: Arc::new(CallerConns::new(&budget, conns)),
            answers: AnswerMemory::new(capacity.buffered_bytes()),
            backlog: capacity.accept_backlog(),
            tunnels: capacity.tunnels(),
            log: LogLimit::default(),
        }
    }

    /// Logs that `what` was given up at `now`, at most once a second.
    pub fn report(&self, what: &str, why: &impl Display, now: Duration) {
        if let Some(count) = self.log.count(now) {
            tracing::warn!(target: "serve", "serve: {what}: {why}; {count} since the last such line.");
        }
    }

    /// Reads the body of a request from `peer`, at most `limit` bytes, which arrives on `conn`. The
    /// request counts as held until the result is dropped.
    pub async fn read(
        &self,
        mut payload: Payload,
        limit: usize,
        peer: &str,
        conn: Option<&RequestOnConn>,
    ) -> Result<(Bytes, HeldRequest), Error> {
        let exhausted = |why: Exhausted| Error::Exhausted(peer.into(), why);
        let now = Instant::now();
        let held = HeldRequest(self.requests.accept(now).map_err(exhausted)?);
        held.0.enter(Stage::Receiving, now);
        let mut body = Blocks::default();
        let end = now + BODY_TIMEOUT;
        loop {
            let received = tokio::select! {
                biased;
                why = held.0.wait_given_up() => return Err(exhausted(why)),
                received = payload.recv() => received,
                () = tokio::time::sleep_until(end.into()) => {
                    return Err(Error::Slow(peer.into(), BODY_TIMEOUT));
                }
            };
            let Some(received) = received else { break };
            let bytes = received.map_err(|e| Error::Parse(peer.into(), e.to_string()))?;
            let size = body.len() + bytes.len();
            if size > limit {
                return Err(Error::TooLarge(peer.into(), size, limit));
            }
            held.resize(size, bytes.len()).map_err(exhausted)?;
            if let Some(conn) = conn {
                conn.record_progress(bytes.len());
            }
            body.append(&bytes);
        }
        held.0.enter(Stage::InProgress, Instant::now());
        held.resize(COPIES * body.len(), 0).map_err(exhausted)?;
        let mut whole = BytesMut::with_capacity(body.len());
        body.into_iter().for_each(|block| whole.extend_from_slice(&block));
        Ok((whole.freeze(), held))
    }
}

/// What is held for a request, until dropped.
#[derive(Debug)]
pub struct HeldRequest(Holding);

impl HeldRequest {
    /// Counts `size` bytes, of which `received` have just been received.
    fn resize(&self, size: usize, received: usize) -> Result<(), Exhausted> {
        let now = Instant::now();
        self.0.record_progress(received, now);
        self.0.resize(size, now)
    }
}
