//! Reads the log service's `config` stream forward from the last offset
//! applied and puts each new configuration in force; where the records have
//! expired, from the newest snapshot (see `duty`).

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use marjoram_core::config::{Applied, Config, Record};
use marjoram_core::wire::LogRead;

use crate::duty;
use crate::error::Error;
use crate::log::{self, Log};
use crate::node::{Active, Node};

/// Pause between reads of the stream.
const EVERY: Duration = Duration::from_secs(1);

/// Follows the `config` stream for ever.
pub async fn config(node: Arc<Node>) {
    let log = Log::new(node.settings.log_service);
    let mut config = Config::new();
    loop {
        let offered = node.offered.lock().unwrap().take();
        if offered.is_some_and(|snapshot| config.restore(snapshot)) {
            put_in_force(&node, &config);
        }
        match read_on(&log, &mut config).await {
            Ok(Progress::Moved) => put_in_force(&node, &config),
            Ok(Progress::AtEnd) => node.configured.store(true, Ordering::Release),
            Err(error) => tracing::debug!(target: "follow", "config: {error}."),
        }
        ntex::time::sleep(EVERY).await;
    }
}

fn put_in_force(node: &Node, config: &Config) {
    node.active.store(Arc::new(Active::from(config)));
    node.configured.store(true, Ordering::Release);
}

/// What one reading of the `config` stream led to.
enum Progress {
    /// The offset in force moved on.
    Moved,
    /// Nothing new.
    AtEnd,
}

/// Reads and applies what follows the offset in force; from a snapshot when
/// the records that follow it have expired.
async fn read_on(log: &Log, config: &mut Config) -> Result<Progress, Error> {
    let before = config.offset;
    let mut read = log.read(log::CONFIG, config.expected()).await?;
    if read.oldest > config.expected() {
        let (from, to) = (config.expected(), read.oldest);
        let restored = match duty::newest_snapshot(log).await? {
            Some(snapshot) => config.restore(snapshot),
            None => false,
        };
        if !restored || config.expected() < read.oldest {
            let why = format!("records {from} to {to} expired and no snapshot covers them");
            tracing::warn!(target: "follow", "config: {why}.");
            return Err(Error::Log("read config", "snapshots".into(), why));
        }
        tracing::info!(target: "follow", "config: restored from the snapshot of offset {}.", config.expected().0 - 1);
        read = log.read(log::CONFIG, config.expected()).await?;
    }
    apply_all(config, &read);
    match config.offset == before {
        true => Ok(Progress::AtEnd),
        false => Ok(Progress::Moved),
    }
}

/// Applies `read` in order, up to a gap if there is one.
fn apply_all(config: &mut Config, read: &LogRead) {
    for record in &read.records {
        let outcome = match serde_json::from_str::<Record>(&record.body) {
            Ok(parsed) => config.apply(record.offset, &parsed),
            Err(error) => config.skip(record.offset, format!("malformed: {error}")),
        };
        match outcome {
            Applied::Accepted | Applied::Stale => {}
            Applied::Gap { expected } => {
                tracing::warn!(target: "follow", "config: record {} is beyond a gap; reading again from {expected}.", record.offset);
                return;
            }
            Applied::Rejected(why) => {
                tracing::warn!(target: "follow", "config: record {} rejected: {why}.", record.offset);
            }
        }
    }
}
