//! Following the platform's store: the operators' records, the upstreams'
//! entries and the hosts' records.
//!
//! Configuration and weights change seldom and are waited for. Upstreams
//! write all the time and are read twice within the time in which a leaving
//! one must get no more work. Hosts learn of each other from their greetings;
//! their records, which name the first hosts to greet, are read now and then:
//! waiting for them had every start of one host read by all others, half of
//! all calls on days with many restarts.

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use marjoram_core::catalog::Catalog;
use marjoram_core::upstream::{Change, UpstreamId};
use marjoram_platform::store::{self, Call, Record};
use marjoram_platform::{catalog, registry};
use xxhash_rust::xxh3::xxh3_64;

use super::peers::HostRecord;
use super::site::Site;
use super::storeclient::{CallError, Caller, Reply};

/// How long the store is asked to wait for a record.
const WAIT: Duration = Duration::from_secs(25);

/// Part of the bound on leaving upstreams that passes between two reads of
/// their entries: a read may take as long again as that leaves.
const POLL_SHARE: f64 = 0.45;

/// Time between reads of the hosts' records.
const HOSTS_POLL: Duration = Duration::from_secs(5);

/// How long a host waits for its own record to be written before it first
/// reads the others': of two hosts that start at once, one then finds the other.
const REGISTERED: Duration = Duration::from_millis(100);

/// Time for an answer beyond what the store was asked to wait.
const ANSWER: Duration = Duration::from_millis(1_500);

/// An answer that takes longer shows that the store is not sound: it takes a
/// few milliseconds.
const SLOW: Duration = Duration::from_millis(150);

/// First and longest pause after a call that failed.
const FIRST_PAUSE: Duration = Duration::from_millis(150);
const LONGEST_PAUSE: Duration = Duration::from_millis(900);

/// What a topic's records are taken into.
trait Sink {
    /// The topic.
    const TOPIC: &'static str;

    /// How long to pause between two reads; `None` if the store is asked to
    /// wait for records.
    fn pause(site: &Site) -> Option<Duration>;

    /// Takes in one record.
    fn record(&mut self, site: &Site, record: &Record);

    /// The records just taken in are all there are.
    fn complete(&mut self, _site: &Site, _keys: &[String]) {}

    /// A read has been taken in.
    fn read(&mut self, _site: &Site) {}

    /// The store answers again after it did not.
    fn returned(&mut self, _site: &Site) {}
}

/// Follows a topic for as long as the process runs.
async fn follow<S: Sink>(site: Rc<Site>, mut sink: S) {
    let mut caller = Caller::new(site.settings.load().store.addr);
    let mut link = Link { topic: S::TOPIC, down: false, pause: FIRST_PAUSE };
    let mut from: Option<u64> = None;
    loop {
        let asked = site.now();
        let result = match from {
            None => list(&site, &mut caller, &mut sink).await.map(Some),
            Some(at) => tokio::select! {
                read = read(&site, &mut caller, &mut sink, at) => read,
                // A call that was waiting while the store was away, or at
                // its old address, may never be answered: ask again.
                () = site.regained.notified() => {
                    caller = Caller::new(site.settings.load().store.addr);
                    continue;
                }
            },
        };
        match result {
            Ok(next) => {
                if link.up() {
                    sink.returned(&site);
                    site.regained.notify_waiters();
                }
                from = next;
                let pause = S::pause(&site);
                match site.now() - asked > SLOW {
                    _ if pause.is_none() => {}
                    true => site.meet_trouble(),
                    false => site.soundness.borrow_mut().good(site.now()),
                }
                sink.read(&site);
                if let Some(pause) = pause.filter(|_| from.is_some()) {
                    tokio::time::sleep(pause).await;
                }
            }
            Err(why) => {
                let pause = link.failed(&why);
                site.meet_trouble();
                sink.read(&site);
                tokio::time::sleep(pause).await;
                caller = Caller::new(site.settings.load().store.addr);
            }
        }
    }
}

/// The state of one way to the store.
struct Link {
    topic: &'static str,
    down: bool,
    pause: Duration,
}

impl Link {
    /// A call worked; true if the one before did not.
    fn up(&mut self) -> bool {
        self.pause = FIRST_PAUSE;
        let was_down = std::mem::replace(&mut self.down, false);
        if was_down {
            tracing::info!(target: "store", topic = self.topic, "store regained");
        }
        was_down
    }

    /// A call failed; how long to pause.
    fn failed(&mut self, why: &str) -> Duration {
        if !std::mem::replace(&mut self.down, true) {
            tracing::warn!(target: "store", topic = self.topic, why, "store lost");
        }
        let pause = self.pause;
        self.pause = (pause * 2).min(LONGEST_PAUSE);
        pause
    }
}

async fn call(caller: &mut Caller, call: &Call, limit: Duration) -> Result<Reply, String> {
    caller.call(call, &[], limit).await.map_err(|e: CallError| e.to_string())
}

/// Reads the newest record of each key; where to read on.
async fn list<S: Sink>(site: &Site, caller: &mut Caller, sink: &mut S) -> Result<u64, String> {
    let mut after: Option<String> = None;
    let mut end: Option<u64> = None;
    let mut keys = Vec::new();
    loop {
        let ask = store::newest(S::TOPIC, after.as_deref());
        let reply = call(caller, &ask, ANSWER).await?;
        if reply.status != 200 {
            return Err(format!("list of {}: status {}", S::TOPIC, reply.status));
        }
        let page = store::parse_newest(&reply.body).map_err(|e| e.to_string())?;
        note_strange(S::TOPIC, &page.strange);
        for record in &page.records {
            keys.push(record.key.clone());
            sink.record(site, record);
        }
        // Pages are no snapshot: what changed since the first is read again.
        let from = *end.get_or_insert(page.end);
        match page.after {
            Some(key) => after = Some(key),
            None => {
                sink.complete(site, &keys);
                return Ok(from);
            }
        }
    }
}

/// Reads records from `from` on; where to read on, `None` to list again.
async fn read<S: Sink>(
    site: &Site,
    caller: &mut Caller,
    sink: &mut S,
    from: u64,
) -> Result<Option<u64>, String> {
    let wait = if S::pause(site).is_none() { WAIT } else { Duration::ZERO };
    let reply = call(caller, &store::read(S::TOPIC, from, wait), wait + ANSWER).await?;
    match reply.status {
        200 => {
            let page = store::page(from, &reply.body).map_err(|e| e.to_string())?;
            note_strange(S::TOPIC, &page.strange);
            page.records.iter().for_each(|record| sink.record(site, record));
            Ok(Some(page.next))
        }
        410 => {
            tracing::info!(target: "store", topic = S::TOPIC, from, "records gone, listing anew");
            Ok(None)
        }
        status => Err(format!("read of {} from {from}: status {status}", S::TOPIC)),
    }
}

/// Logs records that cannot be read as such; they are passed over.
fn note_strange(topic: &str, strange: &[String]) {
    for why in strange {
        tracing::error!(target: "store", topic, why, "record not understood, passed over");
    }
}

/// The operators' records.
#[derive(Default)]
struct Operators {
    /// They have been listed once: what comes now is new.
    listed: bool,
}

impl Sink for Operators {
    const TOPIC: &'static str = store::OPERATORS;

    fn pause(_site: &Site) -> Option<Duration> {
        None
    }

    fn record(&mut self, site: &Site, record: &Record) {
        let Some(value) = &record.value else { return };
        if record.key == catalog::CONFIG_KEY {
            return configure(site, value);
        }
        match catalog::parse_weights(&record.key, value) {
            Some(Ok(named)) => {
                name_weights(site, &named.model, named.version, self.listed, "store")
            }
            Some(Err(error)) => {
                tracing::error!(target: "config", key = record.key, %error, "record not understood");
            }
            None => {}
        }
    }

    fn complete(&mut self, _site: &Site, _keys: &[String]) {
        self.listed = true;
    }
}

fn configure(site: &Site, record: &[u8]) {
    match catalog::parse(record) {
        Ok(new) => put_in_force(site, new, "store"),
        Err(error) => {
            let kept = site.catalog.load().as_ref().map(|c| c.version);
            tracing::error!(target: "config", %error, kept, "configuration not understood");
        }
    }
}

/// Puts a configuration learnt from `source` in force, unless one as new is.
pub fn put_in_force(site: &Site, new: Catalog, source: &str) {
    let known = site.catalog.load().as_ref().map(|c| c.version);
    if known.is_some_and(|known| new.version <= known) {
        tracing::debug!(target: "config", version = new.version, known, "older configuration left");
        return;
    }
    tracing::info!(target: "config", version = new.version, before = known, source,
        routes = new.routes().count(), "configuration in force");
    site.catalog.store(Some(Arc::new(new)));
}

/// Takes in that weights are named; `fresh` when it was just now, not before
/// this process started.
pub fn name_weights(site: &Site, model: &str, version: u64, fresh: bool, source: &str) {
    let mut all = site.named.borrow_mut();
    let named = all.entry(model.to_string()).or_default();
    let news = match fresh {
        true => named.name(version, site.now()),
        false => named.found(version, site.now()),
    };
    if news {
        tracing::info!(target: "weights", model, version, source, "weights named");
        site.duty.notify_one();
    }
}

/// Takes in at this host that the upstream `id` changed as `change` says.
pub fn upstream_changed(site: &Site, id: &UpstreamId, change: &Change) {
    match change {
        Change::None => return,
        Change::Joined | Change::Changed | Change::Reborn => {
            if let Some(entry) = site.registry.borrow().get(id) {
                site.fleet.enter(entry);
                tracing::info!(target: "registry", upstream = %entry.life, ?change, beat = entry.beat,
                    leaving = entry.leaving, service = entry.service, "upstream stated");
            }
        }
        Change::Left => {
            site.fleet.remove_id(id);
            tracing::info!(target: "registry", upstream = %id, "upstream left");
        }
        Change::Missing => {
            tracing::info!(target: "registry", upstream = %id, "upstream missing, kept for now");
        }
    }
    site.duty.notify_one();
}

/// The upstreams' entries.
#[derive(Default)]
struct Upstreams {
    /// Hash of the last record of each key that names no upstream: it is
    /// logged once, not at each read.
    strange: HashMap<UpstreamId, u64>,
}

impl Sink for Upstreams {
    const TOPIC: &'static str = store::UPSTREAMS;

    fn pause(site: &Site) -> Option<Duration> {
        Some(site.settings.load().bounds.drain.mul_f64(POLL_SHARE))
    }

    fn record(&mut self, site: &Site, record: &Record) {
        let id = UpstreamId(record.key.clone());
        let change = match &record.value {
            None => site.registry.borrow_mut().unlist(&id, site.now()),
            Some(value) => match registry::parse(&record.key, value) {
                Ok(entry) => {
                    self.strange.remove(&id);
                    site.registry.borrow_mut().state(entry, site.now())
                }
                Err(error) => {
                    let hash = xxh3_64(value);
                    if self.strange.insert(id.clone(), hash) != Some(hash) {
                        tracing::error!(target: "registry", upstream = %id, %error,
                            "entry not understood, no upstream by it");
                    }
                    site.registry.borrow_mut().spoil(&id, site.now())
                }
            },
        };
        upstream_changed(site, &id, &change);
    }

    fn complete(&mut self, site: &Site, keys: &[String]) {
        let ids: Vec<UpstreamId> = keys.iter().cloned().map(UpstreamId).collect();
        let changes = site.registry.borrow_mut().retain(&ids, site.now());
        for (id, change) in changes {
            upstream_changed(site, &id, &change);
        }
        site.listed.set(true);
    }

    fn read(&mut self, site: &Site) {
        let gone = site.registry.borrow_mut().expire(site.now());
        for id in gone {
            upstream_changed(site, &id, &Change::Left);
        }
        for upstream in site.fleet.all() {
            upstream.pool.sweep(site.now());
        }
    }

    fn returned(&mut self, site: &Site) {
        site.registry.borrow_mut().returned(site.now());
    }
}

/// The hosts' records.
struct Hosts;

impl Sink for Hosts {
    const TOPIC: &'static str = store::HOSTS;

    fn pause(_site: &Site) -> Option<Duration> {
        Some(HOSTS_POLL)
    }

    fn record(&mut self, site: &Site, record: &Record) {
        let parsed = record.value.as_deref().map(serde_json::from_slice::<HostRecord>);
        match parsed {
            None => site.peers.list(&record.key, None),
            Some(Ok(host)) => site.peers.list(&record.key, Some(host)),
            Some(Err(error)) => {
                tracing::debug!(target: "peers", key = record.key, %error, "record of no host");
            }
        }
    }
}

/// Writes this host's record until the store has it.
async fn register(site: Rc<Site>) {
    let value = serde_json::to_vec(&site.peers.record).expect("a plain structure");
    let key = site.settings.load().name.clone();
    let write = store::write(store::HOSTS, &Record { key, value: Some(value) });
    let mut link = Link { topic: store::HOSTS, down: false, pause: FIRST_PAUSE };
    loop {
        let mut caller = Caller::new(site.settings.load().store.addr);
        let why = match call(&mut caller, &write, ANSWER).await {
            Ok(reply) if reply.status == 200 => {
                link.up();
                return;
            }
            Ok(reply) => format!("write: status {}", reply.status),
            Err(why) => why,
        };
        tokio::time::sleep(link.failed(&why)).await;
    }
}

/// Starts following the store.
pub fn start(site: &Rc<Site>) {
    ntex::rt::spawn(follow(site.clone(), Operators::default()));
    ntex::rt::spawn(follow(site.clone(), Upstreams::default()));
    let (site, registered) = (site.clone(), ntex::rt::spawn(register(site.clone())));
    ntex::rt::spawn(async move {
        // Not written in time, it is written later; the others are read now.
        let _ = tokio::time::timeout(REGISTERED, registered).await;
        follow(site, Hosts).await;
    });
}
