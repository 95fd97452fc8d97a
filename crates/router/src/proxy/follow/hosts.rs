//! The hosts' records, which name the first hosts to send heartbeats to, and in the
//! same topic the quarantine records (requests that no host sends any more) and the
//! records of when weights were announced.
//! Hosts learn of each other from heartbeats. Long-polling these records would
//! make all hosts read every start of one host, which was half of all calls on
//! days with many restarts.
//!
//! A store that was restored from a copy may lack records. A host writes its own
//! record again when a listing shows that it is missing, and a few hosts do so
//! for the other records. Nothing is written that the copy still has.

use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use marjoram_core::heartbeat::SINGLE_ROUND_HOSTS;
use marjoram_platform::store::{self, Record};

use super::Sink;
use crate::proxy::announced;
use crate::proxy::hosts::HostRecord;
use crate::proxy::poison;
use crate::proxy::site::Site;
use crate::proxy::storelink::{LatestRecords, write};

/// Time between reads of the hosts' records, multiplied by a factor that grows
/// with the number of hosts, since any host that finds a new one makes it known
/// to the others.
const HOSTS_POLL: Duration = Duration::from_secs(5);

/// Longest random delay before a host lists the records again after the store was
/// restored from a copy. It grows with the number of hosts, which would otherwise
/// all list them at once.
const RELIST_JITTER: Duration = Duration::from_millis(250);

pub(super) struct Hosts {
    /// Records read so far in the listing in progress.
    listed: LatestRecords,
    /// Whether this host's record is in the store, with no write in progress.
    written: Rc<Cell<bool>>,
}

impl Hosts {
    /// `written` is set once this host's record has been written.
    pub(super) fn new(written: Rc<Cell<bool>>) -> Self {
        Self { listed: HashMap::new(), written }
    }

    /// After a complete listing, writes again those of this host's records that
    /// are missing from it.
    fn restore(&self, site: &Rc<Site>, listed: &LatestRecords) {
        let (key, own) = own_record(site);
        let is_missing = listed.get(&key) != Some(&own);
        if is_missing && self.written.get() && site.stopping.get().is_none() {
            tracing::warn!(target: "store",
                "own host record is missing in the store; writing it again");
            ntex::rt::spawn(register(site.clone(), self.written.clone()));
        }
        poison::restore_records(site, listed);
        announced::restore_records(site, listed);
    }
}

fn own_record(site: &Site) -> (String, Vec<u8>) {
    let value = serde_json::to_vec(&site.peers.record).expect("a plain structure");
    (site.settings.load().name.clone(), value)
}

fn interval_factor(site: &Site) -> u32 {
    site.peers.count().div_ceil(SINGLE_ROUND_HOSTS) as u32
}

impl Sink for Hosts {
    const TOPIC: &'static str = store::HOSTS;

    fn pause(site: &Site) -> Option<Duration> {
        Some(HOSTS_POLL * interval_factor(site))
    }

    fn relist_jitter(site: &Site) -> Duration {
        RELIST_JITTER * interval_factor(site)
    }

    fn record(&mut self, site: &Site, record: &Record, offset: Option<u64>) {
        if let (None, Some(value)) = (offset, &record.value) {
            self.listed.insert(record.key.clone(), value.clone());
        }
        let value = record.value.as_deref();
        if poison::apply_quarantine_record(site, &record.key, value)
            || announced::apply_record(site, &record.key, value)
        {
            return;
        }
        let parsed = record.value.as_deref().map(serde_json::from_slice::<HostRecord>);
        match parsed {
            None => site.peers.apply_record(&record.key, None),
            Some(Ok(host)) => site.peers.apply_record(&record.key, Some(host)),
            Some(Err(error)) => {
                tracing::debug!(target: "peers", key = record.key, %error,
                    "record is not a valid host record");
            }
        }
    }

    fn complete(&mut self, site: &Rc<Site>, keys: &[String]) {
        site.end_startup_reads();
        site.hosts_listed.set(true);
        // An earlier listing that was interrupted may have added keys that are
        // gone by now.
        let mut listed = std::mem::take(&mut self.listed);
        listed.retain(|key, _| keys.contains(key));
        self.restore(site, &listed);
    }
}

/// Writes this host's record, retrying until the store has it; then sets
/// `written`.
pub(super) async fn register(site: Rc<Site>, written: Rc<Cell<bool>>) {
    written.set(false);
    let (key, value) = own_record(&site);
    write(&site, &Record { key, value: Some(value) }).await;
    written.set(true);
}
