//! Stores quarantine entries in the platform's store, for hosts that start later.

use std::rc::Rc;
use std::time::Duration;

use marjoram_core::fingerprint::Fingerprint;
use marjoram_core::poison::Quarantined;
use marjoram_platform::store::Record;
use xxhash_rust::xxh3::xxh3_64;

use super::DETECTION;
use crate::proxy::site::Site;
use crate::proxy::storelink::{self, LatestRecords};

/// Prefix of the keys of quarantine entries among the hosts' records.
pub(super) const KEY_PREFIX: &str = "quarantine/";

/// Source of an entry, in logs: read from the store.
pub(super) const STORE: &str = "store";

/// Hosts that write each entry: one may be down, and another unreachable.
const WRITERS: usize = 3;

/// Time between checks for expired entries.
const SWEEP_INTERVAL: Duration = Duration::from_secs(60);

/// Records that may be queued for writing while the store is unavailable.
const MAX_QUEUED: usize = 1_024;

/// Queues the entries in force that are missing from `listed`, the complete list
/// of records, or are older there: the store may have been restored from a copy
/// without them.
pub fn restore_records(site: &Site, listed: &LatestRecords) {
    for entry in site.poison.entries() {
        let stored = listed.get(&format!("{KEY_PREFIX}{}", entry.request));
        let stored = stored.and_then(|v| serde_json::from_slice::<Quarantined>(v).ok());
        if stored.is_none_or(|stored| stored.repeats < entry.repeats) {
            queue_write(site, entry);
        }
    }
}

/// Whether this host is among the first `count` by rendezvous hashing for
/// quarantine records.
fn ranks_within(site: &Site, count: usize) -> bool {
    site.peers.ranks_within(xxh3_64(DETECTION.as_bytes()), count)
}

/// Queues a new entry for writing, if this host is one of the writers.
pub(super) fn queue_write(site: &Site, entry: Quarantined) {
    if ranks_within(site, WRITERS) {
        queue(site, entry.request, Some(entry));
    }
}

/// Queues the removal of the record of an entry that is no longer in force.
pub(super) fn queue_removal(site: &Site, request: Fingerprint) {
    if ranks_within(site, 1) {
        queue(site, request, None);
    }
}

fn queue(site: &Site, request: Fingerprint, entry: Option<Quarantined>) {
    let mut writes = site.poison.writes.borrow_mut();
    if writes.len() < MAX_QUEUED || writes.contains_key(&request) {
        writes.insert(request, entry);
        site.poison.write_requested.notify_one();
    }
}

/// Writes the queued records and removes expired entries, until the process ends.
pub async fn maintain_records(site: Rc<Site>) {
    loop {
        let next = site.poison.writes.borrow().iter().next().map(|(r, v)| (*r, v.clone()));
        match next {
            Some((request, entry)) => {
                let value =
                    entry.as_ref().map(|v| serde_json::to_vec(v).expect("a plain structure"));
                storelink::write(&site, &Record { key: format!("{KEY_PREFIX}{request}"), value })
                    .await;
                let mut writes = site.poison.writes.borrow_mut();
                // A newer value may have been queued during the write.
                if writes.get(&request) == Some(&entry) {
                    writes.remove(&request);
                }
            }
            None => {
                let _ =
                    tokio::time::timeout(SWEEP_INTERVAL, site.poison.write_requested.notified())
                        .await;
                let expired = site.poison.quarantine.borrow_mut().expire(site.unix_time());
                for request in expired {
                    tracing::info!(target: "poison", fingerprint = %request, "quarantine expired");
                    queue_removal(&site, request);
                }
            }
        }
    }
}
