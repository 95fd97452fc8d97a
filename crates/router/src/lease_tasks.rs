//! Tasks that only the holder of the fleet's lease performs, one router at a time.
//!
//! - Snapshots: the configuration in force is written to the log service
//!   when it has changed, and again before the last one could expire, so
//!   that a router can start after the records themselves have expired.
//! - Weights: engines serving an older weights version than the operator announced
//!   are ordered to load it, a few at a time, each order with the lease's fencing
//!   token.
//!
//! The lease is checked before every single action. If a lease holder was paused
//! between the check and the action, engines that check the fencing token reject
//! the late order. At other engines a late order can only name weights that were
//! in force before; the current lease holder then detects that the engine went
//! back to older weights and orders it again. Snapshots need no fencing: readers take
//! the newest.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::future::join_all;
use marjoram_core::config::Config;
use marjoram_core::ids::{Fencing, ModelVersion, Offset};
use marjoram_core::lease::{Grant, Tail};
use marjoram_core::wire::WeightsOrder;

use crate::clock;
use crate::error::Error;
use crate::log::{self, ConditionalAppend, Log};
use crate::node::{Engine, Node};
use crate::upstream_client;

/// Number of lease checks per time to live of the lease, while the fleet has at
/// most [`SMALL_FLEET`] routers.
const CHECKS_PER_TTL: u32 = 3;
/// Number of routers above which routers other than the lease holder check less
/// often, in proportion, so that the log service is not read more often when there are
/// more routers.
const SMALL_FLEET: u32 = 9;
/// Longest interval between checks of the lease.
const MAX_CHECK_INTERVAL: Duration = Duration::from_secs(5);
/// Interval between rounds of the lease holder's tasks.
const ROUND_INTERVAL: Duration = Duration::from_millis(500);
/// Least time between two snapshots.
const MIN_SNAPSHOT_INTERVAL: Duration = Duration::from_secs(5);
/// Divisor of the log's retention time that gives the age at which a snapshot is
/// written again.
const RENEWALS_PER_RETENTION: u32 = 3;
/// Divisor of the number of engines that gives how many are ordered to load weights
/// at a time.
const LOADING_DIVISOR: usize = 4;
/// Time-out of an order to an engine.
const ORDER_TIMEOUT: Duration = Duration::from_secs(5);

/// Tries to acquire or renew the lease, forever.
pub async fn contend(node: Arc<Node>) {
    let log = Log::new(node.settings.log_service);
    loop {
        if let Err(error) = check_lease(&node, &log).await {
            tracing::debug!(target: "duty", "duty: lease: {error}.");
        }
        ntex::time::sleep(check_interval(&node)).await;
    }
}

/// Time until the next check of the lease.
fn check_interval(node: &Node) -> Duration {
    let shortest = node.settings.lease_ttl / CHECKS_PER_TTL;
    let routers = node.pool.load().routers.len() as u32;
    match node.token() {
        Some(_) => shortest,
        None => {
            (shortest * routers / SMALL_FLEET).clamp(shortest, MAX_CHECK_INTERVAL.max(shortest))
        }
    }
}

/// Reads the lease and acquires or renews it if that is due.
async fn check_lease(node: &Node, log: &Log) -> Result<(), Error> {
    let (next, last) = log.tail(log::LEASE).await?;
    let last = last.and_then(|record| serde_json::from_str::<Grant>(&record.body).ok());
    let attempt = {
        let mut contender = node.contender.lock().unwrap();
        contender.observe(Tail { next, last }, clock::now());
        contender.attempt(clock::now())
    };
    let Some(attempt) = attempt.filter(|_| node.is_available()) else {
        return Ok(());
    };
    let sent = clock::now();
    if log.append_at(log::LEASE, attempt.at, &attempt.grant).await? == ConditionalAppend::Done {
        node.contender.lock().unwrap().granted(&attempt, sent);
        if attempt.grant.token.is_none() {
            tracing::info!(target: "duty", "duty: this router holds the lease, fencing token {}.", attempt.at);
        }
    }
    Ok(())
}

/// Releases the lease, if this router holds it.
pub async fn release(node: &Node) {
    let attempt = {
        let mut contender = node.contender.lock().unwrap();
        let attempt = contender.release();
        contender.resign();
        attempt
    };
    if let Some(attempt) = attempt {
        let log = Log::new(node.settings.log_service);
        if let Err(error) = log.append_at(log::LEASE, attempt.at, &attempt.grant).await {
            tracing::info!(target: "duty", "duty: lease not released: {error}.");
        }
    }
}

/// Runs the lease holder's tasks whenever this router holds the lease, forever.
pub async fn run_holder_tasks(node: Arc<Node>) {
    let log = Log::new(node.settings.log_service);
    let mut last_snapshot = LastSnapshot::default();
    loop {
        ntex::time::sleep(ROUND_INTERVAL).await;
        if node.token().is_none() {
            last_snapshot = LastSnapshot::default();
            continue;
        }
        if let Err(error) = snapshot(&node, &log, &mut last_snapshot).await {
            tracing::info!(target: "duty", "duty: snapshot not written: {error}.");
        }
        order_weights(&node).await;
    }
}

/// The last snapshot this lease holder wrote.
#[derive(Debug, Default)]
struct LastSnapshot {
    offset: Option<Offset>,
    at: Option<Instant>,
}

/// Writes a snapshot if the configuration has changed or the last snapshot is due for
/// renewal.
async fn snapshot(node: &Node, log: &Log, last_snapshot: &mut LastSnapshot) -> Result<(), Error> {
    let active = node.active.load_full();
    let age = last_snapshot.at.map(|at| at.elapsed());
    let due = match age {
        None => true,
        Some(age) if age < MIN_SNAPSHOT_INTERVAL => false,
        Some(age) => {
            active.offset > last_snapshot.offset
                || age > node.settings.log_retention / RENEWALS_PER_RETENTION
        }
    };
    if !due || active.offset.is_none() || node.token().is_none() {
        return Ok(());
    }
    let offset = log.append(log::SNAPSHOTS, &*active.config).await?;
    *last_snapshot = LastSnapshot { offset: active.offset, at: Some(Instant::now()) };
    tracing::debug!(target: "duty", "duty: snapshot {offset} written.");
    Ok(())
}

/// The newest snapshot in the log service, if it still has one.
pub async fn newest_snapshot(log: &Log) -> Result<Option<Config>, Error> {
    let (_, last) = log.tail(log::SNAPSHOTS).await?;
    match last {
        None => Ok(None),
        Some(record) => serde_json::from_str(&record.body)
            .map(Some)
            .map_err(|e| Error::Log("read snapshot", record.offset.to_string(), e.to_string())),
    }
}

/// Orders engines with an older weights version to load the announced one, a fraction
/// of the pool at a time.
async fn order_weights(node: &Arc<Node>) {
    let Some(version) = node.active.load().config.weights else {
        return;
    };
    let pool = node.pool.load_full();
    let behind = |e: &&Engine| {
        let generation = node.cache_index.life(e.slot);
        !e.leaving && generation.is_some_and(|generation| generation.version < version)
    };
    let at_a_time = pool.engines.len().div_ceil(LOADING_DIVISOR);
    let orders = pool.engines.iter().filter(behind).take(at_a_time);
    join_all(orders.map(|engine| order(node, engine, version))).await;
}

async fn order(node: &Arc<Node>, engine: &Engine, version: ModelVersion) {
    let Some(token) = node.token() else {
        return;
    };
    match send_order(node, &engine.addr, version, token).await {
        Ok(()) => {
            tracing::info!(target: "duty", "duty: ordered engine {} to load weights version {version}.", engine.addr);
        }
        Err(error) => tracing::warn!(target: "duty", "duty: {error}."),
    }
}

async fn send_order(
    node: &Arc<Node>,
    addr: &str,
    version: ModelVersion,
    token: Fencing,
) -> Result<(), Error> {
    let failed = |why: String| Error::Order(addr.into(), why);
    let order = WeightsOrder { version, fencing: token };
    let response = upstream_client::client(node)
        .post(format!("http://{addr}/v1/admin/weights"))
        .timeout(ORDER_TIMEOUT)
        .send_json(&order)
        .await
        .map_err(|e| failed(e.to_string()))?;
    match response.status() {
        status if status.is_success() => Ok(()),
        status => Err(failed(format!("status {status}"))),
    }
}
