//! The upstreams' registry entries. Upstreams write them all the time. They are
//! read at least twice within the time in which a leaving upstream must stop
//! getting work: by every host, or, where there are many hosts, by a few that
//! forward the changes to the others.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use marjoram_core::relay::{Advance, Position};
use marjoram_core::upstream::{Change, UpstreamId};
use marjoram_platform::registry;
use marjoram_platform::store::{self, Record};
use xxhash_rust::xxh3::xxh3_64;

use super::relay::{self, Role};
use super::{Read, Sink};
use crate::proxy::relays::{RegistryChanges, RegistryRecord, Relay};
use crate::proxy::site::Site;

/// Share of the bound on leaving upstreams that passes between two reads of their
/// entries. Two such intervals fit into the bound; the rest of it is left for the
/// reads themselves.
const POLL_SHARE: f64 = 0.45;

/// The same for hosts that read for all: the others then receive updates before
/// they would read for themselves, even if all readers read at the same moment.
const READER_SHARE: f64 = 0.3;

/// What a record changed for this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Effect {
    /// Nothing changed.
    Unchanged,
    /// Only an upstream's weights changed.
    Weights,
    /// Something else changed.
    Other,
}

/// Applies a record to this host's registry.
fn apply(registry_record: &RegistryRecord, site: &Site) -> Effect {
    let (id, now) = (registry_record.id(), site.now());
    let missing = site.registry.borrow().is_missing(id);
    let change = match registry_record {
        RegistryRecord::Entry(entry) => site.registry.borrow_mut().apply(entry.clone(), now),
        RegistryRecord::Deleted(id) => site.registry.borrow_mut().unlist(id, now),
        RegistryRecord::Invalid(id) => site.registry.borrow_mut().handle_invalid_record(id, now),
    };
    upstream_changed(site, id, &change);
    match change {
        // An upstream that reappears unchanged is also a change for other hosts
        // that list it as missing.
        _ if missing => Effect::Other,
        Change::None => Effect::Unchanged,
        Change::Weights => Effect::Weights,
        _ => Effect::Other,
    }
}

/// Updates this host's upstreams after `change` to the upstream `id` in the
/// registry.
pub fn upstream_changed(site: &Site, id: &UpstreamId, change: &Change) {
    match change {
        Change::None => return,
        Change::Joined | Change::Changed | Change::Weights | Change::Reborn => {
            if let Some(entry) = site.registry.borrow().get(id) {
                site.fleet.upsert(entry);
                tracing::info!(target: "registry", upstream = %entry.life, ?change, beat = entry.beat,
                    leaving = entry.leaving, service = entry.service, "upstream entry changed");
            }
        }
        Change::Left => {
            site.fleet.remove_id(id);
            tracing::info!(target: "registry", upstream = %id, "upstream removed");
        }
        Change::Missing => {
            tracing::info!(target: "registry", upstream = %id,
                "upstream missing in the store; kept for now");
        }
    }
    site.rollout_check.notify_one();
}

/// Processes the upstreams' entries.
#[derive(Default)]
pub(super) struct Upstreams {
    /// Hash of the last invalid record of each key, so that it is logged once and
    /// not at each read.
    last_invalid: HashMap<UpstreamId, u64>,
    /// Changes in the records just read, with their offsets.
    changes: RegistryChanges,
}

impl Upstreams {
    /// Parses `record`; an invalid one is logged once.
    fn parse(&mut self, record: &Record) -> RegistryRecord {
        let id = UpstreamId(record.key.clone());
        let Some(value) = &record.value else { return RegistryRecord::Deleted(id) };
        match registry::parse(&record.key, value) {
            Ok(entry) => {
                self.last_invalid.remove(&id);
                RegistryRecord::Entry(entry)
            }
            Err(error) => {
                let hash = xxh3_64(value);
                if self.last_invalid.insert(id.clone(), hash) != Some(hash) {
                    tracing::error!(target: "registry", upstream = %id, %error,
                        "cannot parse registry entry; it adds no upstream");
                }
                RegistryRecord::Invalid(id)
            }
        }
    }

    /// Applies the changes from offset `after` on that another host has read.
    fn apply_relay(&self, site: &Site, relay: &Relay, after: u64) {
        for (_, registry_record) in relay.changes.iter().filter(|(offset, _)| *offset >= after) {
            apply(registry_record, site);
        }
        expire(site);
    }
}

/// Removes upstreams that have been missing for too long, and closes connections
/// that have been idle for too long.
fn expire(site: &Site) {
    let gone = site.registry.borrow_mut().expire(site.now());
    for id in gone {
        upstream_changed(site, &id, &Change::Left);
    }
    for upstream in site.fleet.all() {
        upstream.pool.sweep(site.now());
    }
}

impl Sink for Upstreams {
    const TOPIC: &'static str = store::UPSTREAMS;

    fn pause(site: &Site) -> Option<Duration> {
        Some(site.settings.load().bounds.drain.mul_f64(POLL_SHARE))
    }

    fn record(&mut self, site: &Site, record: &Record, offset: Option<u64>) {
        let registry_record = self.parse(record);
        match (apply(&registry_record, site), offset) {
            (Effect::Other, Some(offset)) => self.changes.push((offset, registry_record)),
            (Effect::Weights, Some(_)) => site.relays.note_weights(&registry_record),
            _ => {}
        }
    }

    fn complete(&mut self, site: &Rc<Site>, keys: &[String]) {
        let ids: Vec<UpstreamId> = keys.iter().cloned().map(UpstreamId).collect();
        let changes = site.registry.borrow_mut().retain(&ids, site.now());
        for (id, change) in changes {
            upstream_changed(site, &id, &change);
        }
        site.listed.set(true);
    }

    fn done(&mut self, site: &Rc<Site>, read: Option<Read>) {
        let changes = std::mem::take(&mut self.changes);
        if let Some(read) = read {
            relay::send_update(site, read, changes);
        }
        expire(site);
    }

    async fn wait_next(&mut self, site: &Rc<Site>, read: Read) -> u64 {
        let pause = Self::pause(site).unwrap_or_default();
        let own = match Role::of(site) {
            Role::Alone => Some(pause),
            Role::Reader => Some(pause.mul_f64(READER_SHARE / POLL_SHARE)),
            Role::Listener => None,
        };
        if let Some(pause) = own {
            tokio::time::sleep(pause).await;
            return read.span.next;
        }
        let mut position = Position::new(read.span.era, read.span.next, read.asked);
        loop {
            let left = position.due(pause).saturating_sub(site.now());
            let Ok(received) = tokio::time::timeout(left, site.relays.next()).await else {
                return position.at();
            };
            match position.advance(received.relay.span, received.asked) {
                Advance::Old => {}
                Advance::Gap => return position.at(),
                Advance::New { after } => {
                    self.apply_relay(site, &received.relay, after);
                    site.store_availability.borrow_mut().record_success(received.asked);
                }
            }
        }
    }

    fn returned(&mut self, site: &Site) {
        site.registry.borrow_mut().store_recovered(site.now());
    }
}
