//! Completions under which engines crash, on the own interface.
//!
//! A router that loses completions with an engine that crashed appends what it
//! had there to the log service's `crashes` stream; all routers read it and
//! find alike which request it was (see [`marjoram_core::poison`]). What is found
//! stands in the same stream, and is appended anew while it matters: the log
//! service keeps its records for a limited time. While that is away each router
//! goes by what it has seen itself, and what it has to tell waits.
//!
//! An engine has crashed if it refuses connections right after it broke off, or
//! answers in another life; one that is leaving, or not listed, ends without any
//! request's doing.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use marjoram_core::cache::Life;
use marjoram_core::wire::LoadReport;
use ntex::http::client::Client;
use tokio::net::TcpStream;
use xxhash_rust::xxh3::xxh3_64;

use crate::error::Error;
use crate::follow;
use crate::log::{self, Log};
use crate::node::{Engine, Node};
use crate::quarantine::{Broken, CrashRecord, EVERY, TOLD};

/// Time in which all completions that an engine ended are noticed.
const GATHER: Duration = Duration::from_millis(20);
/// Longest time to connect to an engine that may have crashed.
const CONNECT: Duration = Duration::from_millis(300);

/// Key of one life of an engine.
fn key(engine: &Engine, life: Option<Life>) -> u64 {
    let incarnation = life.map(|life| life.incarnation.0);
    xxh3_64(format!("{}@{incarnation:?}", engine.addr).as_bytes())
}

/// Takes in that `engine`, in `life`, broke off a completion.
pub fn broke(node: &Arc<Node>, engine: &Engine, life: Option<Life>, request: Broken) {
    let listed = |e: &Engine| e.addr == engine.addr && !e.leaving;
    if !node.pool.load().engines.iter().any(listed) {
        return;
    }
    let key = key(engine, life);
    if node.poison.broke(key, request) {
        ntex::rt::spawn(inspect(node.clone(), engine.addr.clone(), life, key));
    }
}

/// Whether the engine at `addr`, which has just ended requests in `life`, has
/// crashed: it refuses connections, or another life takes them already.
async fn has_crashed(addr: &str, life: Option<Life>) -> bool {
    match tokio::time::timeout(CONNECT, TcpStream::connect(addr)).await {
        Ok(Err(error)) => error.kind() == io::ErrorKind::ConnectionRefused,
        Ok(Ok(_)) => {
            let url = format!("http://{addr}/v1/load");
            let report = follow::get_json::<LoadReport>(&Client::new(), &url, CONNECT).await;
            let other = |life: Life| report.is_ok_and(|r| r.incarnation != life.incarnation);
            life.is_some_and(other)
        }
        Err(_) => false,
    }
}

/// Finds out whether an engine has crashed, and tells what was there.
async fn inspect(node: Arc<Node>, addr: String, life: Option<Life>, key: u64) {
    ntex::time::sleep(GATHER).await;
    let crashed = has_crashed(&addr, life).await;
    let reports = node.poison.take_broken(key);
    tracing::info!(target: "poison", "poison: engine {addr} ended {} requests, crashed: {crashed}.", reports.len());
    if !crashed {
        return;
    }
    node.poison.add(&reports);
    node.poison.queue(CrashRecord::Crash(reports));
    tell(&node, &Log::new(node.settings.log_service)).await;
    ntex::time::sleep(TOLD).await;
    node.poison.detect();
}

/// Appends what waits; what the log service does not take goes on waiting.
async fn tell(node: &Node, log: &Log) {
    let mut left = Vec::new();
    for record in node.poison.take_waiting() {
        if let Err(error) = log.append(log::CRASHES, &record).await {
            tracing::info!(target: "poison", "poison: crash not recorded yet: {error}.");
            left.push(record);
        }
    }
    left.into_iter().for_each(|record| node.poison.queue(record));
}

/// Follows the stream for ever.
pub async fn follow(node: Arc<Node>) {
    let log = Log::new(node.settings.log_service);
    loop {
        if let Err(error) = read_on(&node, &log).await {
            tracing::debug!(target: "poison", "poison: {error}.");
        }
        node.poison.detect();
        tell(&node, &log).await;
        ntex::time::sleep(EVERY).await;
    }
}

/// Reads and takes in what the stream holds beyond the last read.
async fn read_on(node: &Node, log: &Log) -> Result<(), Error> {
    let read = log.read(log::CRASHES, node.poison.next()).await?;
    for record in &read.records {
        match serde_json::from_str::<CrashRecord>(&record.body) {
            Ok(CrashRecord::Crash(reports)) => node.poison.add(&reports),
            Ok(CrashRecord::Quarantined(entry)) => node.poison.admit(entry),
            Err(error) => {
                tracing::warn!(target: "poison", "poison: crash record {} passed over, malformed: {error}.", record.offset);
            }
        }
    }
    node.poison.read_to(read.next);
    Ok(())
}
