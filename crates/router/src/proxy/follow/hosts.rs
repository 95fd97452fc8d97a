//! The hosts' records, which name the first hosts to greet, and beside them the
//! requests that no host sends any more. Hosts learn of each
//! other from their greetings; waiting for the records had every start of one
//! host read by all others, half of all calls on days with many restarts.
//!
//! A store that returned from a copy may lack records. A host writes its own
//! again when a list shows that it is not there, and a few hosts the requests
//! that are missing; nothing is written that the copy has.

use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use marjoram_core::place::FRESH_HOSTS;
use marjoram_platform::store::{self, Record};

use super::Sink;
use crate::proxy::hosts::HostRecord;
use crate::proxy::poison;
use crate::proxy::site::Site;
use crate::proxy::storelink::{Listed, write};

/// Time between reads of the hosts' records; longer the more hosts there are,
/// any of which tells the others of one that it finds.
const HOSTS_POLL: Duration = Duration::from_secs(5);

/// Longest wait before a host lists them again after the store's return from
/// a copy; longer the more hosts there are, which would all list them at once.
const RELIST: Duration = Duration::from_millis(250);

/// The hosts' records.
pub(super) struct Hosts {
    /// What the list that is being read has shown so far.
    listed: Listed,
    /// This host's record has been written, and is not being written.
    written: Rc<Cell<bool>>,
}

impl Hosts {
    /// Nothing read yet; `written` is set once this host's record is.
    pub(super) fn new(written: Rc<Cell<bool>>) -> Self {
        Self { listed: HashMap::new(), written }
    }

    /// Writes what this host has in the store again where a whole list lacks it.
    fn restore(&self, site: &Rc<Site>, listed: &Listed) {
        let (key, own) = own_record(site);
        let lacks = listed.get(&key) != Some(&own);
        if lacks && self.written.get() && site.stopping.get().is_none() {
            tracing::warn!(target: "store", "own record is gone, written again");
            ntex::rt::spawn(register(site.clone(), self.written.clone()));
        }
        poison::restore_records(site, listed);
    }
}

fn own_record(site: &Site) -> (String, Vec<u8>) {
    let value = serde_json::to_vec(&site.peers.record).expect("a plain structure");
    (site.settings.load().name.clone(), value)
}

fn many(site: &Site) -> u32 {
    site.peers.count().div_ceil(FRESH_HOSTS) as u32
}

impl Sink for Hosts {
    const TOPIC: &'static str = store::HOSTS;

    fn pause(site: &Site) -> Option<Duration> {
        Some(HOSTS_POLL * many(site))
    }

    fn spread(site: &Site) -> Duration {
        RELIST * many(site)
    }

    fn record(&mut self, site: &Site, record: &Record, offset: Option<u64>) {
        if let (None, Some(value)) = (offset, &record.value) {
            self.listed.insert(record.key.clone(), value.clone());
        }
        if poison::take_record(site, &record.key, record.value.as_deref()) {
            return;
        }
        let parsed = record.value.as_deref().map(serde_json::from_slice::<HostRecord>);
        match parsed {
            None => site.peers.list(&record.key, None),
            Some(Ok(host)) => site.peers.list(&record.key, Some(host)),
            Some(Err(error)) => {
                tracing::debug!(target: "peers", key = record.key, %error, "record of no host");
            }
        }
    }

    fn complete(&mut self, site: &Rc<Site>, keys: &[String]) {
        site.recalled.set(true);
        // A list that broke off before may have shown more.
        let mut listed = std::mem::take(&mut self.listed);
        listed.retain(|key, _| keys.contains(key));
        self.restore(site, &listed);
    }
}

/// Writes this host's record until the store has it; `written` tells that.
pub(super) async fn register(site: Rc<Site>, written: Rc<Cell<bool>>) {
    written.set(false);
    let (key, value) = own_record(&site);
    write(&site, &Record { key, value: Some(value) }).await;
    written.set(true);
}
