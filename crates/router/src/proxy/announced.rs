//! Records in the platform's store of when weights were announced, for hosts that start
//! while no other host is running.
//!
//! A host that starts reads the newest weights of each model, but not since when they
//! have been the newest. It learns that from running hosts; if there are none, from
//! these records. A few hosts write one record for each announcement.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use marjoram_platform::store::Record;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::site::Site;
use super::storelink::{self, LatestRecords};

/// Prefix of the keys of these records among the hosts' records.
const KEY_PREFIX: &str = "announced/";

/// Hosts that write each record: one may be down, and another unreachable.
const WRITERS: usize = 3;

/// Record of when the weights of one model were announced.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct AnnouncementRecord {
    /// The versions, and when they were announced, since the Unix epoch.
    versions: BTreeMap<u64, Duration>,
}

/// Queues the record of `model` for writing, if this host is one of the writers.
pub fn queue_write(site: &Site, model: &str) {
    if site.peers.ranks_within(xxh3_64(KEY_PREFIX.as_bytes()), WRITERS) {
        site.stored_announcements.unwritten.borrow_mut().insert(model.to_string());
        site.stored_announcements.write_requested.notify_one();
    }
}

/// Queues the records from which an announcement is missing that a running host has
/// observed: the store may have been restored from a copy without it. `listed` is the
/// complete list of records.
pub fn restore_records(site: &Site, listed: &LatestRecords) {
    let (now, announced) = (site.now(), site.announced_weights.borrow());
    for (model, versions) in announced.iter() {
        let stored = listed.get(&format!("{KEY_PREFIX}{model}"));
        let stored = stored.and_then(|v| serde_json::from_slice::<AnnouncementRecord>(v).ok());
        let is_missing =
            |version| stored.as_ref().is_none_or(|r| !r.versions.contains_key(version));
        if versions.ages(now, Duration::MAX).iter().any(|(version, _)| is_missing(version)) {
            queue_write(site, model);
        }
    }
}

/// Handles the record under `key` if it is one of these; false if not.
pub fn apply_record(site: &Site, key: &str, value: Option<&[u8]>) -> bool {
    let Some(model) = key.strip_prefix(KEY_PREFIX) else { return false };
    match value.map(serde_json::from_slice::<AnnouncementRecord>) {
        None => {}
        Some(Ok(record)) => {
            tracing::info!(target: "weights", model, versions = ?record.versions.keys(),
                newest_age_ms = newest_age(site, &record).map(|age| age.as_millis() as u64),
                "times of announcements read from the store");
            let mut times = site.stored_announcements.times.borrow_mut();
            times.insert(model.to_string(), record.versions);
        }
        Some(Err(error)) => {
            tracing::error!(target: "weights", key, %error, "malformed record of announcements")
        }
    }
    update_ages(site);
    true
}

fn newest_age(site: &Site, record: &AnnouncementRecord) -> Option<Duration> {
    record.versions.values().next_back().map(|at| site.unix_time().saturating_sub(*at))
}

/// Updates the ages of versions that are known from records only. Called regularly: a
/// host that has just started has not heard the others' clocks yet.
pub fn update_ages(site: &Site) {
    let (now, wall) = (site.now(), site.unix_time());
    let mut announced = site.announced_weights.borrow_mut();
    for (model, times) in site.stored_announcements.times.borrow().iter() {
        let Some(versions) = announced.get_mut(model) else { continue };
        for (version, at) in times {
            versions.record_stored(*version, wall.saturating_sub(*at), now);
        }
    }
}

/// The record of `model`: what running hosts have observed, and what is known from the
/// previous record only.
fn record(site: &Site, model: &str) -> Record {
    let (now, wall) = (site.now(), site.unix_time());
    let mut stored = site.stored_announcements.times.borrow_mut();
    let versions = stored.entry(model.to_string()).or_default();
    if let Some(announced) = site.announced_weights.borrow().get(model) {
        let observed = announced.ages(now, Duration::MAX).into_iter();
        versions.extend(observed.map(|(version, age)| (version, wall.saturating_sub(age))));
        versions.retain(|version, _| announced.contains(*version));
    }
    let record = AnnouncementRecord { versions: versions.clone() };
    let value = serde_json::to_vec(&record).expect("a plain structure");
    Record { key: format!("{KEY_PREFIX}{model}"), value: Some(value) }
}

/// Writes the queued records until the process ends.
pub async fn maintain_records(site: Rc<Site>) {
    let stored = &site.stored_announcements;
    loop {
        let next = stored.unwritten.borrow_mut().pop_first();
        match next {
            Some(model) => storelink::write(&site, &record(&site, &model)).await,
            None => stored.write_requested.notified().await,
        }
    }
}
