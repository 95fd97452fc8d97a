//! The upstreams as this host sees them: which are listed and reachable, and how
//! loaded each is.

mod load;
mod slots;
mod unlisted;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use marjoram_core::brittle::RecentRejections;
use marjoram_core::conditions::{Conditions, RateLimit};
use marjoram_core::credit::Credit;
use marjoram_core::exchange::{Part, PartId};
use marjoram_core::health::Health;
use marjoram_core::host::DataCentre;
use marjoram_core::part_index::{CacheId, PartIndex};
use marjoram_core::reach::{self, Link};
use marjoram_core::slot_leases::abandoned::AbandonedRequests;
use marjoram_core::upstream::{Entry, Instance, UpstreamId};
use rand::seq::IteratorRandom;
use xxhash_rust::xxh3::xxh3_64;

use super::failure::Failure;
use super::pool::Pool;
use crate::paths::ConnectError;
pub use load::{Flight, Load};
pub use slots::SlotDemand;
use unlisted::Unlisted;

/// How long parts of a prefix path that were just read into an engine's cache are
/// assumed to be cached without an event that confirms it: where this host reads
/// the engine's events itself, and where another host forwards them.
const ASSUMED_CACHED_TTL: Duration = Duration::from_millis(400);
const FORWARDED_ASSUMED_CACHED_TTL: Duration = Duration::from_millis(1_200);

/// Number of assumed parts per engine at which expired ones are dropped.
const MAX_ASSUMED_PARTS: usize = 64;

/// How long another host's unreachable report counts, unless the upstream sends
/// something.
const UNREACHABLE_REPORT_TTL: Duration = Duration::from_millis(500);

/// One upstream.
pub struct Upstream {
    /// Id and incarnation.
    pub life: Instance,
    /// Hash that identifies the incarnation in messages between hosts.
    pub key: u64,
    /// Hash of its address, for rendezvous hashing.
    pub address_hash: u64,
    /// The rest of its registry entry.
    pub entry: RefCell<Entry>,
    /// Until when it gets no requests because its weights are being changed.
    pub closed: Cell<Option<Duration>>,
    /// The conditions under which it takes requests.
    pub conditions: Rc<RefCell<Conditions>>,
    /// An invalid statement of its conditions has been logged.
    pub invalid_logged: Cell<bool>,
    /// Its health as observed by this host.
    pub health: RefCell<Health>,
    /// This host's requests that it rejected while its service was brittle.
    pub rejections: RefCell<RecentRejections>,
    /// A connection to it is being tried, since it was down.
    pub retrying: Cell<bool>,
    /// This host's link to it.
    pub link: RefCell<Link>,
    /// Connections to it.
    pub pool: Pool,
    /// This host's requests there.
    pub local_load: Cell<Load>,
    /// This host's credit for small prompts of a coordinated service.
    pub credit: Cell<Credit>,
    /// Prefill throughput that other hosts measured, in prompt tokens per millisecond.
    pub reported_throughput: Cell<Option<f64>>,
    /// This host's requests that it has given up.
    abandoned: RefCell<AbandonedRequests>,
    /// Told when one of this host's requests there has ended.
    demand: Rc<SlotDemand>,
    /// Other hosts' requests there, from their last heartbeats.
    pub remote_load: Cell<Load>,
    /// Until when other hosts' unreachable reports count.
    reported_unreachable_until: Cell<Option<Duration>>,
    /// Parts in its caches, according to its events.
    pub cache_index: RefCell<PartIndex>,
    /// This host is reading its events.
    pub followed: Cell<bool>,
    /// A request for the weights that it serves is in progress.
    pub asking: Cell<bool>,
    /// When parts were last read into its caches, by this host's requests.
    assumed_parts: RefCell<HashMap<(CacheId, PartId), Duration>>,
}

impl Upstream {
    fn new(entry: Entry, conditions: Rc<RefCell<Conditions>>, demand: &Rc<SlotDemand>) -> Self {
        Self {
            life: entry.life.clone(),
            key: key(&entry.life),
            address_hash: xxh3_64(entry.addr.to_string().as_bytes()),
            entry: RefCell::new(entry),
            closed: Cell::default(),
            conditions,
            invalid_logged: Cell::default(),
            health: RefCell::default(),
            rejections: RefCell::default(),
            abandoned: RefCell::default(),
            demand: demand.clone(),
            retrying: Cell::default(),
            link: RefCell::default(),
            pool: Pool::default(),
            local_load: Cell::default(),
            credit: Cell::new(Credit::new(rand::random(), Duration::ZERO)),
            reported_throughput: Cell::default(),
            remote_load: Cell::default(),
            reported_unreachable_until: Cell::default(),
            cache_index: RefCell::default(),
            followed: Cell::default(),
            asking: Cell::default(),
            assumed_parts: RefCell::default(),
        }
    }

    /// All hosts' requests there.
    pub fn load(&self) -> Load {
        self.local_load.get().plus(self.remote_load.get())
    }

    /// Records that a request to it got no answer.
    pub fn record_failure(&self, failure: &Failure, now: Duration) {
        self.health.borrow_mut().record_response(false);
        if matches!(failure, Failure::Lost(..) | Failure::TimedOut(_)) {
            self.mark_unreachable(now);
        }
    }

    /// Marks it as unreachable. Its idle connections are closed, so that the next
    /// attempt begins with connecting and costs no request if the upstream is
    /// gone.
    pub fn mark_unreachable(&self, now: Duration) {
        self.health.borrow_mut().unreachable(now);
        self.pool.clear();
    }

    /// Marks it as down or without a path: no connection to it could be opened.
    pub fn mark_down(&self, error: &ConnectError, now: Duration) {
        match error {
            ConnectError::Down(_) => self.health.borrow_mut().down(now),
            ConnectError::NoPath => self.health.borrow_mut().no_path(now),
        }
        self.pool.clear();
    }

    /// Takes in the report of the host `reporter` that the upstream is unreachable.
    pub fn note_unreachable_report(&self, reporter: &str, now: Duration) {
        if !self.health.borrow().was_alive(now, UNREACHABLE_REPORT_TTL)
            && !self.is_reported_unreachable(now)
        {
            tracing::info!(target: "fleet", upstream = %self.life, reporter,
                "upstream avoided: another host reports it unreachable");
            self.reported_unreachable_until.set(Some(now + UNREACHABLE_REPORT_TTL));
            self.pool.clear();
        }
    }

    /// Whether another host's unreachable report counts at `now`: this host has
    /// received nothing from the upstream since.
    pub fn is_reported_unreachable(&self, now: Duration) -> bool {
        self.reported_unreachable_until.get().is_some_and(|until| now < until)
            && !self.health.borrow().was_alive(now, UNREACHABLE_REPORT_TTL)
    }

    /// Whether another host's unreachable report counted within `span` before
    /// `now`.
    pub fn was_reported_unreachable(&self, now: Duration, span: Duration) -> bool {
        self.reported_unreachable_until.get().is_some_and(|until| now < until + span)
    }

    /// The version of the weights of `model` that it serves.
    pub fn weights(&self, model: &str) -> Option<u64> {
        self.entry.borrow().weights.iter().find(|w| w.model == model).map(|w| w.version)
    }

    /// Records its own report, just received, that it serves `version` of
    /// `model`. This may be older than the known version: an order that arrives
    /// late, after a restart, brings back replaced weights.
    pub fn record_report(&self, model: &str, version: u64) {
        let mut entry = self.entry.borrow_mut();
        let known = entry.weights.iter_mut().find(|w| w.model == model);
        if let Some(weights) = known.filter(|w| w.version > version) {
            weights.version = version;
        }
        drop(entry);
        self.record_weights(model, version);
    }

    /// Records that it serves `version` of `model`. Lower versions are ignored; a
    /// higher one ends the change for which the engine was closed.
    pub fn record_weights(&self, model: &str, version: u64) {
        let mut entry = self.entry.borrow_mut();
        match entry.weights.iter_mut().find(|w| w.model == model) {
            Some(weights) if version > weights.version => {
                weights.version = version;
                self.closed.set(None);
                self.assumed_parts.borrow_mut().clear();
                self.cache_index.borrow_mut().clear();
            }
            _ => {}
        }
    }

    /// Whether it is closed for a change of weights at `now`.
    pub fn is_closed(&self, now: Duration) -> bool {
        self.closed.get().is_some_and(|until| now < until)
    }

    /// Whether it is leaving, according to its entry or to an answer.
    pub fn is_leaving(&self) -> bool {
        self.entry.borrow().leaving || self.conditions.borrow().is_leaving()
    }

    /// How long at `now` this host still backs off from it, as it has asked.
    pub fn backoff_left(&self, now: Duration) -> Option<Duration> {
        self.conditions.borrow().backoff_left(now)
    }

    /// Whether `entry` describes this incarnation, in the same service.
    fn is_updated_by(&self, entry: &Entry) -> bool {
        entry.life == self.life && entry.service == self.entry.borrow().service
    }

    /// Whether it is in the data centre `dc`.
    pub fn is_in(&self, dc: &DataCentre) -> bool {
        self.entry.borrow().dc == *dc
    }

    /// Leading tokens of the prefix path `shared` that are in `cache`: according
    /// to its events, or because this host has just sent it a prompt that begins
    /// with them.
    pub fn cached_tokens(&self, cache: CacheId, shared: &[Part], now: Duration) -> u64 {
        let span = self.assumed_cached_ttl();
        let assumed = self.assumed_parts.borrow();
        let is_assumed = |p: &Part| assumed.get(&(cache, p.id)).is_some_and(|at| now < *at + span);
        self.cache_index.borrow().cached_tokens_assuming(cache, shared, is_assumed)
    }

    /// Records that a prompt with the prefix path `shared` was read into `cache`
    /// at `now`.
    pub fn note_cached(&self, cache: CacheId, shared: &[Part], now: Duration) {
        let span = self.assumed_cached_ttl();
        let mut assumed = self.assumed_parts.borrow_mut();
        if assumed.len() >= MAX_ASSUMED_PARTS {
            assumed.retain(|_, at| now < *at + span);
        }
        assumed.extend(shared.iter().map(|part| ((cache, part.id), now)));
    }

    fn assumed_cached_ttl(&self) -> Duration {
        match self.followed.get() {
            true => ASSUMED_CACHED_TTL,
            false => FORWARDED_ASSUMED_CACHED_TTL,
        }
    }
}

/// All upstreams by id and by service, each in its newest incarnation.
#[derive(Default)]
pub struct Fleet {
    all: RefCell<HashMap<UpstreamId, Rc<Upstream>>>,
    by_key: RefCell<HashMap<u64, Rc<Upstream>>>,
    services: RefCell<HashMap<String, Vec<Rc<Upstream>>>>,
    /// Told when the number of requests at an upstream has fallen.
    pub demand: Rc<SlotDemand>,
    /// What upstreams stated that are not listed any more, and may be listed again in
    /// the same incarnation, or that only other hosts list so far.
    unlisted: RefCell<Unlisted>,
}

impl Fleet {
    /// Adds or updates an upstream. A restarted upstream replaces its former
    /// incarnation, of which nothing is kept. So does an entry for another
    /// service, which may come from another writer.
    pub fn upsert(&self, entry: &Entry) {
        let known = self.all.borrow().get(&entry.life.id).cloned();
        match known {
            Some(upstream) if entry.life.born < upstream.life.born => {}
            Some(upstream) if upstream.is_updated_by(entry) => {
                {
                    let mut current = upstream.entry.borrow_mut();
                    current.leaving = entry.leaving;
                    current.addr = entry.addr;
                    current.slots = entry.slots;
                }
                for weights in &entry.weights {
                    upstream.record_weights(&weights.model, weights.version);
                }
            }
            former => {
                if let Some(former) = former {
                    self.remove(&former.life);
                }
                let conditions = self.unlisted.borrow_mut().0.pop(&key(&entry.life));
                let upstream =
                    Upstream::new(entry.clone(), conditions.unwrap_or_default(), &self.demand);
                let upstream = Rc::new(upstream);
                self.all.borrow_mut().insert(entry.life.id.clone(), upstream.clone());
                self.by_key.borrow_mut().insert(upstream.key, upstream.clone());
                let mut services = self.services.borrow_mut();
                services.entry(entry.service.clone()).or_default().push(upstream);
            }
        }
    }

    /// Removes one incarnation of an upstream and closes its idle connections.
    pub fn remove(&self, life: &Instance) {
        if let Some(upstream) = self.get(life) {
            self.all.borrow_mut().remove(&life.id);
            self.by_key.borrow_mut().remove(&upstream.key);
            upstream.pool.clear();
            self.unlisted.borrow_mut().0.put(upstream.key, upstream.conditions.clone());
            for list in self.services.borrow_mut().values_mut() {
                list.retain(|u| u.life != *life);
            }
        }
    }

    /// Removes the upstream `id` in whichever incarnation is known.
    pub fn remove_id(&self, id: &UpstreamId) {
        let known = self.all.borrow().get(id).cloned();
        if let Some(upstream) = known {
            self.remove(&upstream.life);
        }
    }

    /// The upstreams of `service`.
    pub fn service(&self, service: &str) -> Vec<Rc<Upstream>> {
        self.services.borrow().get(service).cloned().unwrap_or_default()
    }

    /// The services from which this host is cut off.
    pub fn cut_off_services(&self) -> Vec<String> {
        let services = self.services.borrow();
        let is_cut_off = |upstreams: &[Rc<Upstream>]| {
            let lost = upstreams.iter().filter(|u| u.link.borrow().is_lost()).count();
            reach::is_cut_off(lost, upstreams.len())
        };
        let cut_off = services.iter().filter(|(_, upstreams)| is_cut_off(upstreams));
        cut_off.map(|(service, _)| service.clone()).collect()
    }

    /// The service whose name has the hash `key`.
    pub fn service_name(&self, key: u64) -> Option<String> {
        let services = self.services.borrow();
        services.keys().find(|name| xxh3_64(name.as_bytes()) == key).cloned()
    }

    /// Whether this host is cut off from all services that have upstreams: from those
    /// in `cut_off`.
    pub fn is_cut_off_from_all(&self, cut_off: &[String]) -> bool {
        let services = self.services.borrow();
        let mut used = services.iter().filter(|(_, upstreams)| !upstreams.is_empty());
        !cut_off.is_empty() && used.all(|(service, _)| cut_off.contains(service))
    }

    /// Addresses of up to `count` other upstreams, drawn at random: of the service of
    /// `upstream`, or of any service if that has no other one.
    pub fn others(&self, upstream: &Upstream, count: usize) -> Vec<SocketAddr> {
        let service = self.service(&upstream.entry.borrow().service);
        let candidates = if service.len() > 1 { service } else { self.all() };
        let others = candidates.iter().filter(|other| other.key != upstream.key);
        let drawn = others.choose_multiple(&mut rand::rng(), count);
        drawn.into_iter().map(|other| other.entry.borrow().addr).collect()
    }

    /// The upstream with the key `key` in messages between hosts.
    pub fn by_key(&self, key: u64) -> Option<Rc<Upstream>> {
        self.by_key.borrow().get(&key).cloned()
    }

    /// The conditions of the upstream with this key, which need not be listed.
    pub fn conditions(&self, key: u64) -> Rc<RefCell<Conditions>> {
        match self.by_key(key) {
            Some(upstream) => upstream.conditions.clone(),
            None => self.unlisted.borrow_mut().0.get_or_insert(key, Rc::default).clone(),
        }
    }

    /// The rate limits in force, by the keys of their upstreams. Those of upstreams that
    /// are not listed count for `span` after the last statement.
    pub fn rate_limits(&self, span: Duration, now: Duration) -> Vec<(u64, RateLimit)> {
        let listed = self.all().into_iter().map(|u| (u.key, u.conditions.clone()));
        let unlisted = self.unlisted.borrow();
        let is_recent = |c: &Conditions| c.stated_limit_since(now.saturating_sub(span));
        let unlisted = unlisted.0.iter().filter(|(_, c)| is_recent(&c.borrow()));
        let all = listed.chain(unlisted.map(|(key, c)| (*key, c.clone())));
        all.filter_map(|(key, conditions)| Some((key, conditions.borrow().limit()?))).collect()
    }

    /// The upstream in this incarnation, unless that has ended.
    pub fn get(&self, life: &Instance) -> Option<Rc<Upstream>> {
        self.all.borrow().get(&life.id).filter(|u| u.life == *life).cloned()
    }

    pub fn all(&self) -> Vec<Rc<Upstream>> {
        self.all.borrow().values().cloned().collect()
    }
}

/// Hash that identifies an incarnation in messages between hosts.
fn key(life: &Instance) -> u64 {
    xxh3_64(life.to_string().as_bytes())
}
