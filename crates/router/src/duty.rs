//! Duties of which one router at a time is the keeper, by the fleet's lease.
//!
//! - Snapshots: the configuration in force is written to the log service
//!   when it has changed, and again before the last one could expire, so
//!   that a router can start after the records themselves have expired.
//! - Weights: engines serving older weights than the operator named are
//!   ordered to load them, a few at a time, each order with the lease's
//!   fencing token.
//!
//! Every single act is preceded by a look at the lease. A keeper that was
//! paused between look and act is stopped by the fencing token at engines
//! that check it; at the others a late order can only name weights that were
//! in force before, and the present keeper sees the engine fall back and
//! orders it again. Snapshots need no fencing: readers take the newest.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::future::join_all;
use marjoram_core::config::Config;
use marjoram_core::ids::{Fencing, ModelVersion, Offset};
use marjoram_core::lease::{Grant, Tail};
use marjoram_core::wire::WeightsOrder;
use ntex::http::client::Client;

use crate::clock;
use crate::error::Error;
use crate::log::{self, Conditional, Log};
use crate::node::{Engine, Node};

/// Pause between looks at the lease, as a share of its time to live, while
/// the fleet has at most [`SMALL_FLEET`] routers.
const LOOKS: u32 = 3;
/// In a larger fleet routers that are not the keeper look the more rarely,
/// so that the log service is not read more often by more routers.
const SMALL_FLEET: u32 = 9;
/// Longest pause between looks.
const LONGEST_PAUSE: Duration = Duration::from_secs(5);
/// Pause between rounds of duties.
const ROUND: Duration = Duration::from_millis(500);
/// Least time between two snapshots.
const SNAPSHOT_GAP: Duration = Duration::from_secs(5);
/// A snapshot is renewed after this share of the log's retention.
const RENEWALS: u32 = 3;
/// The share of engines ordered to load weights at a time.
const LOADING_SHARE: usize = 4;
/// Longest wait for an engine to take an order.
const ORDER_LIMIT: Duration = Duration::from_secs(5);

/// Contends for the lease for ever.
pub async fn contend(node: Arc<Node>) {
    let log = Log::new(node.settings.log_service);
    loop {
        if let Err(error) = look(&node, &log).await {
            tracing::debug!(target: "duty", "duty: lease: {error}.");
        }
        ntex::time::sleep(pause(&node)).await;
    }
}

/// How long to wait before the next look at the lease.
fn pause(node: &Node) -> Duration {
    let shortest = node.settings.lease_ttl / LOOKS;
    let routers = node.pool.load().routers.len() as u32;
    match node.token() {
        Some(_) => shortest,
        None => (shortest * routers / SMALL_FLEET).clamp(shortest, LONGEST_PAUSE.max(shortest)),
    }
}

/// Reads the lease and takes or renews it if it is time to.
async fn look(node: &Node, log: &Log) -> Result<(), Error> {
    let (next, last) = log.tail(log::LEASE).await?;
    let last = last.and_then(|record| serde_json::from_str::<Grant>(&record.body).ok());
    let attempt = {
        let mut contender = node.contender.lock().unwrap();
        contender.observe(Tail { next, last }, clock::now());
        contender.attempt(clock::now())
    };
    let Some(attempt) = attempt.filter(|_| node.fit()) else {
        return Ok(());
    };
    let sent = clock::now();
    if log.append_at(log::LEASE, attempt.at, &attempt.grant).await? == Conditional::Done {
        node.contender.lock().unwrap().granted(&attempt, sent);
        if attempt.grant.token.is_none() {
            tracing::info!(target: "duty", "duty: this router is the keeper, fencing token {}.", attempt.at);
        }
    }
    Ok(())
}

/// Gives the lease up, if this router holds it.
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
            tracing::info!(target: "duty", "duty: lease not given up: {error}.");
        }
    }
}

/// Does the keeper's duties whenever this router is the keeper, for ever.
pub async fn keep(node: Arc<Node>) {
    let client = Client::build().timeout(ORDER_LIMIT).finish();
    let log = Log::new(node.settings.log_service);
    let mut written = Written::default();
    loop {
        ntex::time::sleep(ROUND).await;
        if node.token().is_none() {
            written = Written::default();
            continue;
        }
        if let Err(error) = snapshot(&node, &log, &mut written).await {
            tracing::info!(target: "duty", "duty: snapshot not written: {error}.");
        }
        order_weights(&node, &client).await;
    }
}

/// The last snapshot this keeper wrote.
#[derive(Debug, Default)]
struct Written {
    offset: Option<Offset>,
    at: Option<Instant>,
}

/// Writes a snapshot if the configuration moved on or the last one is old.
async fn snapshot(node: &Node, log: &Log, written: &mut Written) -> Result<(), Error> {
    let active = node.active.load_full();
    let age = written.at.map(|at| at.elapsed());
    let due = match age {
        None => true,
        Some(age) if age < SNAPSHOT_GAP => false,
        Some(age) => active.offset > written.offset || age > node.settings.log_retention / RENEWALS,
    };
    if !due || active.offset.is_none() || node.token().is_none() {
        return Ok(());
    }
    let offset = log.append(log::SNAPSHOTS, &*active.config).await?;
    *written = Written { offset: active.offset, at: Some(Instant::now()) };
    tracing::debug!(target: "duty", "duty: snapshot {offset} written.");
    Ok(())
}

/// The newest snapshot in the log service, if one is kept.
pub async fn newest_snapshot(log: &Log) -> Result<Option<Config>, Error> {
    let (_, last) = log.tail(log::SNAPSHOTS).await?;
    match last {
        None => Ok(None),
        Some(record) => serde_json::from_str(&record.body)
            .map(Some)
            .map_err(|e| Error::Log("read snapshot", record.offset.to_string(), e.to_string())),
    }
}

/// Orders the engines that are behind to load the weights named, a share of
/// the pool at a time.
async fn order_weights(node: &Node, client: &Client) {
    let Some(version) = node.active.load().config.weights else {
        return;
    };
    let pool = node.pool.load_full();
    let behind = |e: &&Engine| {
        let life = node.picture.life(e.slot);
        !e.leaving && life.is_some_and(|life| life.version < version)
    };
    let at_a_time = pool.engines.len().div_ceil(LOADING_SHARE);
    let orders = pool.engines.iter().filter(behind).take(at_a_time);
    join_all(orders.map(|engine| order(node, client, engine, version))).await;
}

async fn order(node: &Node, client: &Client, engine: &Engine, version: ModelVersion) {
    let Some(token) = node.token() else {
        return;
    };
    match send_order(client, &engine.addr, version, token).await {
        Ok(()) => {
            tracing::info!(target: "duty", "duty: engine {} ordered to weights {version}.", engine.addr);
        }
        Err(error) => tracing::warn!(target: "duty", "duty: {error}."),
    }
}

async fn send_order(
    client: &Client,
    addr: &str,
    version: ModelVersion,
    token: Fencing,
) -> Result<(), Error> {
    let failed = |why: String| Error::Order(addr.into(), why);
    let order = WeightsOrder { version, fencing: token };
    let response = client
        .post(format!("http://{addr}/v1/admin/weights"))
        .send_json(&order)
        .await
        .map_err(|e| failed(e.to_string()))?;
    match response.status() {
        status if status.is_success() => Ok(()),
        status => Err(failed(format!("status {status}"))),
    }
}
