//! Following the platform's store: the operators' records, the upstreams'
//! entries and the hosts' records, each in a file that says how it is read.

mod hosts;
mod operators;
mod relay;
mod upstreams;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use marjoram_core::era::Era;
use marjoram_core::relay::Span;
use marjoram_platform::store::{self, Record};

use super::site::Site;
use super::storeclient::Caller;
use super::storelink::{ANSWER, Link, SLOW, call};
use hosts::Hosts;
use operators::Operators;
pub use operators::{name_weights, put_in_force};
use upstreams::Upstreams;
pub use upstreams::upstream_changed;

/// How long a host waits for its own record to be written before it first
/// reads the others': of two hosts that start at once, one then finds the other.
const REGISTER_TIMEOUT: Duration = Duration::from_millis(100);

/// How long a host that starts waits for the hosts' records before it takes
/// callers: a store that answers at all does so within this time.
const RECALL_TIMEOUT: Duration = Duration::from_secs(2);

/// How long the store is asked to wait for a record.
const WAIT: Duration = Duration::from_secs(25);

/// Where to read on, in the era to which the offset belongs.
#[derive(Debug, Clone, Copy)]
struct Offset {
    era: Era,
    at: u64,
}

impl Offset {
    /// Whether the store has not returned from a copy since.
    fn holds(&self, site: &Site) -> bool {
        site.era.get() == Some(self.era)
    }
}

/// Offsets that a host has read, and when it asked for them.
#[derive(Debug, Clone, Copy)]
struct Read {
    span: Span,
    asked: Duration,
}

/// What a topic's records are taken into.
trait Sink {
    /// The topic.
    const TOPIC: &'static str;

    /// How long to pause between two reads; `None` if the store is asked to
    /// wait for records.
    fn pause(site: &Site) -> Option<Duration>;

    /// Takes in one record; one that was listed has no offset.
    fn record(&mut self, site: &Site, record: &Record, offset: Option<u64>);

    /// The records just taken in are all there are.
    fn complete(&mut self, _site: &Rc<Site>, _keys: &[String]) {}

    /// A call is done; the records of `read`, if any, have been taken in.
    fn done(&mut self, _site: &Rc<Site>, _read: Option<Read>) {}

    /// Rests after `read`; where to read on.
    async fn rest(&mut self, site: &Rc<Site>, read: Read) -> u64 {
        if let Some(pause) = Self::pause(site) {
            tokio::time::sleep(pause).await;
        }
        read.span.next
    }

    /// Longest random wait before the records are listed in a new era of the
    /// store, where many hosts would list them at once.
    fn spread(_site: &Site) -> Duration {
        Duration::ZERO
    }

    /// The store answers again after it did not, or returned from a copy.
    fn returned(&mut self, _site: &Site) {}
}

/// Follows a topic for as long as the process runs.
async fn follow<S: Sink>(site: Rc<Site>, mut sink: S) {
    let mut caller = Caller::new(site.settings.load().store.addr);
    let mut link = Link::new(S::TOPIC);
    let mut from: Option<Offset> = None;
    loop {
        let asked = site.now();
        let valid = from.filter(|from| from.holds(&site));
        let result = match valid {
            None => list(&site, &mut caller, &mut sink, from).await,
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
                match site.now() - asked > SLOW {
                    _ if S::pause(&site).is_none() => {}
                    true => site.note_store_error(),
                    false => site.soundness.borrow_mut().good(site.now()),
                }
                let span = |next: Offset| {
                    let from = valid.unwrap_or(next).at;
                    Span { era: next.era, from, next: next.at }
                };
                let read = next.map(|next| Read { span: span(next), asked });
                sink.done(&site, read);
                from = match read {
                    Some(read) => Some(rest(&site, &mut sink, read).await),
                    // Outdated, or the records are gone.
                    None => from.filter(|from| !from.holds(&site)),
                };
            }
            Err(why) => {
                let pause = link.failed(&why);
                site.note_store_error();
                sink.done(&site, None);
                tokio::time::sleep(pause).await;
                caller = Caller::new(site.settings.load().store.addr);
            }
        }
    }
}

/// Rests after `read`, until the store is known to have returned from a copy;
/// where to read on.
async fn rest<S: Sink>(site: &Rc<Site>, sink: &mut S, read: Read) -> Offset {
    let Span { era, next, .. } = read.span;
    let at = tokio::select! {
        at = sink.rest(site, read) => at,
        () = outdated(site, era) => {
            tokio::time::sleep(S::spread(site).mul_f64(rand::random())).await;
            next
        }
    };
    Offset { era, at }
}

/// Waits until an era after `era` is known.
async fn outdated(site: &Site, era: Era) {
    loop {
        let told = site.regained.notified();
        if site.era.get() > Some(era) {
            return;
        }
        told.await;
    }
}

/// Reads the newest record of each key; where to read on, `None` to list
/// again. `last` is where the records were read up to before.
async fn list<S: Sink>(
    site: &Rc<Site>,
    caller: &mut Caller,
    sink: &mut S,
    last: Option<Offset>,
) -> Result<Option<Offset>, String> {
    let mut after: Option<String> = None;
    let mut end: Option<Offset> = None;
    let mut keys = Vec::new();
    loop {
        let ask = store::newest(S::TOPIC, after.as_deref());
        let reply = call(site, caller, &ask, ANSWER).await?;
        if reply.status != 200 {
            return Err(format!("list of {}: status {}", S::TOPIC, reply.status));
        }
        let page = store::parse_newest(&reply.body).map_err(|e| e.to_string())?;
        note_strange(S::TOPIC, &page.strange);
        // Pages are no snapshot: what changed since the first is read again.
        let first = end.is_none();
        let from = *end.get_or_insert(Offset { era: reply.era, at: page.end });
        if from.era != reply.era {
            return Ok(None);
        }
        if first && last.is_some_and(|last| last.era < from.era) {
            sink.returned(site);
        }
        for record in &page.records {
            keys.push(record.key.clone());
            sink.record(site, record, None);
        }
        match page.after {
            Some(key) => after = Some(key),
            None => {
                sink.complete(site, &keys);
                return Ok(Some(from));
            }
        }
    }
}

/// Reads records from `from` on; where to read on, `None` to list again.
async fn read<S: Sink>(
    site: &Site,
    caller: &mut Caller,
    sink: &mut S,
    from: Offset,
) -> Result<Option<Offset>, String> {
    let wait = if S::pause(site).is_none() { WAIT } else { Duration::ZERO };
    let Offset { era, at } = from;
    let reply = call(site, caller, &store::read(S::TOPIC, at, wait), wait + ANSWER).await?;
    match reply.status {
        // Offsets were given out again: what it reads is not what follows.
        _ if reply.era != era => Ok(None),
        200 => {
            let page = store::page(at, &reply.body).map_err(|e| e.to_string())?;
            note_strange(S::TOPIC, &page.strange);
            page.records.iter().for_each(|r| sink.record(site, &r.record, Some(r.offset)));
            Ok(Some(Offset { era, at: page.next }))
        }
        410 => {
            tracing::info!(target: "store", topic = S::TOPIC, from = at, "records gone, listing anew");
            Ok(None)
        }
        status => Err(format!("read of {} from {at}: status {status}", S::TOPIC)),
    }
}

/// Logs records that cannot be read as such; they are passed over.
fn note_strange(topic: &str, strange: &[String]) {
    for why in strange {
        tracing::error!(target: "store", topic, why, "record not understood, passed over");
    }
}

/// Starts following the store.
pub fn start(site: &Rc<Site>) {
    ntex::rt::spawn(recall(site.clone()));
    ntex::rt::spawn(follow(site.clone(), Operators::default()));
    ntex::rt::spawn(follow(site.clone(), Upstreams::default()));
    let written = Rc::new(Cell::new(false));
    let registered = ntex::rt::spawn(hosts::register(site.clone(), written.clone()));
    let site = site.clone();
    ntex::rt::spawn(async move {
        // Not written in time, it is written later; the others are read now.
        let _ = tokio::time::timeout(REGISTER_TIMEOUT, registered).await;
        follow(site, Hosts::new(written)).await;
    });
}

/// Callers wait no longer than this for what other hosts have written down.
async fn recall(site: Rc<Site>) {
    tokio::time::sleep(RECALL_TIMEOUT).await;
    site.recalled.set(true);
}
