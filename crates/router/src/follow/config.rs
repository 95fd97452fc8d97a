//! Reads the log service's `config` stream from the last offset applied and puts
//! each new configuration in force. If the records that follow have expired, it
//! starts from the newest snapshot (see `lease_tasks`).

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use marjoram_core::config::{Applied, Config, Record};
use marjoram_core::wire::LogRead;

use crate::error::Error;
use crate::lease_tasks;
use crate::log::{self, Log};
use crate::node::{Active, Node};

/// Interval between reads of the stream.
const READ_INTERVAL: Duration = Duration::from_secs(1);

/// Follows the `config` stream forever.
pub async fn config(node: Arc<Node>) {
    let log = Log::new(node.settings.log_service);
    let mut config = Config::new();
    loop {
        let offered_config = node.offered_config.lock().unwrap().take();
        if offered_config.is_some_and(|snapshot| config.restore(snapshot)) {
            put_in_force(&node, &config);
        }
        match read_new_records(&log, &mut config).await {
            Ok(Progress::Advanced) => put_in_force(&node, &config),
            Ok(Progress::AtEnd) => node.configured.store(true, Ordering::Release),
            Err(error) => tracing::debug!(target: "follow", "config: {error}."),
        }
        ntex::time::sleep(READ_INTERVAL).await;
    }
}

fn put_in_force(node: &Node, config: &Config) {
    node.active.store(Arc::new(Active::from(config)));
    node.configured.store(true, Ordering::Release);
}

/// Result of one read of the `config` stream.
enum Progress {
    /// New records were applied.
    Advanced,
    /// There was no new record.
    AtEnd,
}

/// Reads and applies the records after the offset in force; restores the newest
/// snapshot first if those records have expired.
async fn read_new_records(log: &Log, config: &mut Config) -> Result<Progress, Error> {
    let before = config.offset;
    let mut read = log.read(log::CONFIG, config.expected()).await?;
    if read.oldest > config.expected() {
        let (from, to) = (config.expected(), read.oldest);
        let restored = match lease_tasks::newest_snapshot(log).await? {
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
        false => Ok(Progress::Advanced),
    }
}

/// Applies the records of `read` in order, up to a gap if there is one.
fn apply_all(config: &mut Config, read: &LogRead) {
    for record in &read.records {
        let outcome = match serde_json::from_str::<Record>(&record.body) {
            Ok(parsed) => config.apply(record.offset, &parsed),
            Err(error) => config.skip(record.offset, format!("malformed: {error}")),
        };
        match outcome {
            Applied::Accepted | Applied::Stale => {}
            Applied::Gap { expected } => {
                tracing::warn!(target: "follow", "config: record {} follows a gap; reading again from {expected}.", record.offset);
                return;
            }
            Applied::Rejected(why) => {
                tracing::warn!(target: "follow", "config: record {} rejected: {why}.", record.offset);
            }
        }
    }
}
