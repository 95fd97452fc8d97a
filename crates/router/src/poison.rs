//! Detection of completions that crash engines, on the router's own interface (see
//! `serve`).
//!
//! When an engine crashes, each router appends the completions it had in flight there to
//! the log service's `crashes` stream. All routers read the stream and reach the same
//! result as to which request caused the crashes (see [`marjoram_core::poison`]). The
//! resulting quarantine entries are in the same stream, and are appended again while
//! they are in force, because the log service keeps its records for a limited time.
//! While the log service is unavailable, each router relies on its own observations and
//! its records are queued.
//!
//! An engine counts as crashed if it refuses connections right after it broke a
//! completion, also those of routers that reach other engines (see `paths`), or if it
//! answers with another incarnation, within some seconds if no router reaches any
//! engine. An engine that is leaving, or is not in the host list, stops for other
//! reasons than a request and is not counted.

use std::sync::Arc;
use std::time::Duration;

use marjoram_core::cache::CacheGeneration;
use marjoram_core::poison::{BrokenRequest, Notice, WATCH_TIME};
use marjoram_core::wire::LoadReport;
use xxhash_rust::xxh3::xxh3_64;

use crate::clock;
use crate::error::Error;
use crate::follow;
use crate::log::{self, Log};
use crate::node::{Engine, Node};
use crate::paths::ConnectError;
use crate::quarantine::{CrashRecord, READ_INTERVAL, REPORT_WINDOW};
use crate::upstream_client;

/// Delay before an engine is checked for a crash, within which all completions that it
/// broke are noticed.
const GATHER_DELAY: Duration = Duration::from_millis(20);
/// Time between two connects to an engine to which no path is known.
const WATCH_INTERVAL: Duration = Duration::from_millis(250);
/// Time-out to read the load report of an engine that may have crashed.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);

/// Hash that identifies one incarnation of an engine.
fn key(engine: &Engine, generation: Option<CacheGeneration>) -> u64 {
    let incarnation = generation.map(|generation| generation.incarnation.0);
    xxh3_64(format!("{}@{incarnation:?}", engine.addr).as_bytes())
}

/// Records that `engine`, while in cache `generation`, broke a completion, and starts a
/// check for a crash unless one is under way.
pub fn handle_broken(
    node: &Arc<Node>,
    engine: &Engine,
    generation: Option<CacheGeneration>,
    request: BrokenRequest,
) {
    let listed = |e: &Engine| e.addr == engine.addr && !e.leaving;
    if !node.pool.load().engines.iter().any(listed) {
        return;
    }
    let key = key(engine, generation);
    if node.poison.record_broken(key, request) {
        ntex::rt::spawn(check_for_crash(node.clone(), engine.addr.clone(), generation, key));
    }
}

/// Whether the engine at `addr`, which has just broken completions in cache `generation`,
/// has crashed: it refuses connections, or a restarted process accepts them, if need be
/// only once a path to it is known.
async fn has_crashed(node: &Arc<Node>, addr: &str, generation: Option<CacheGeneration>) -> bool {
    let Ok(socket_addr) = addr.parse() else { return false };
    let watch_end = clock::now() + WATCH_TIME;
    while let Err(error) = upstream_client::connect(node, socket_addr).await {
        if !matches!(error, ConnectError::NoPath) || clock::now() >= watch_end {
            return error.is_refusal();
        }
        ntex::time::sleep(WATCH_INTERVAL).await;
    }
    let url = format!("http://{addr}/v1/load");
    let client = upstream_client::client(node);
    let report = follow::get_json::<LoadReport>(&client, &url, REPORT_TIMEOUT).await;
    let restarted = |generation: CacheGeneration| {
        report.is_ok_and(|report| report.incarnation != generation.incarnation)
    };
    generation.is_some_and(restarted)
}

/// Checks whether an engine has crashed and, if so, reports the completions it broke.
async fn check_for_crash(
    node: Arc<Node>,
    addr: String,
    generation: Option<CacheGeneration>,
    key: u64,
) {
    let engines = node.pool.load().engines.len();
    let noticed = Notice { at: clock::now(), wall: clock::unix_time() };
    ntex::time::sleep(GATHER_DELAY).await;
    let crashed = has_crashed(&node, &addr, generation).await;
    let reports = node.poison.take_crash_reports(key, engines, noticed);
    tracing::info!(target: "poison", "poison: engine {addr} broke {} requests; crashed: {crashed}.", reports.len());
    if !crashed {
        return;
    }
    node.poison.add(&reports);
    node.poison.queue(CrashRecord::Crash(reports));
    append_pending(&node, &Log::new(node.settings.log_service)).await;
    ntex::time::sleep(REPORT_WINDOW).await;
    node.poison.detect();
}

/// Appends the queued records; those that the log service does not accept are queued again.
async fn append_pending(node: &Node, log: &Log) {
    let mut left = Vec::new();
    for record in node.poison.take_pending_records() {
        if let Err(error) = log.append(log::CRASHES, &record).await {
            tracing::info!(target: "poison", "poison: crash record not appended, will retry: {error}.");
            left.push(record);
        }
    }
    left.into_iter().for_each(|record| node.poison.queue(record));
}

/// Follows the `crashes` stream forever.
pub async fn follow(node: Arc<Node>) {
    let log = Log::new(node.settings.log_service);
    loop {
        if let Err(error) = read_new_records(&node, &log).await {
            tracing::debug!(target: "poison", "poison: {error}.");
        }
        node.poison.detect();
        append_pending(&node, &log).await;
        ntex::time::sleep(READ_INTERVAL).await;
    }
}

/// Reads and applies the records appended to the stream since the last read.
async fn read_new_records(node: &Node, log: &Log) -> Result<(), Error> {
    let read = log.read(log::CRASHES, node.poison.next()).await?;
    for record in &read.records {
        match serde_json::from_str::<CrashRecord>(&record.body) {
            Ok(CrashRecord::Crash(reports)) => node.poison.add(&reports),
            Ok(CrashRecord::Quarantined(entry)) => node.poison.admit(entry),
            Err(error) => {
                tracing::warn!(target: "poison", "poison: crash record {} skipped, malformed: {error}.", record.offset);
            }
        }
    }
    node.poison.set_read_offset(read.next);
    Ok(())
}
