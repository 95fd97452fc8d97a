//! Reads the topics of the platform's store: the operators' records, the
//! upstreams' entries and the hosts' records. Each has a file that says how it is
//! read.

mod hosts;
mod operators;
mod relay;
mod upstreams;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use marjoram_core::era::Era;
use marjoram_core::poll_renewal::poll_time;
use marjoram_core::relay::Span;
use marjoram_platform::store::{self, Record};

use super::site::Site;
use super::storeclient::HttpClient;
use super::storelink::{ANSWER_TIMEOUT, CallState, SLOW_ANSWER, call};
use hosts::Hosts;
use operators::Operators;
pub use operators::{apply_announced_weights, apply_configuration};
use upstreams::Upstreams;
pub use upstreams::upstream_changed;

/// How long a host waits for its own record to be written before it first reads
/// the others': of two hosts that start at the same time, at least one then finds
/// the other.
const REGISTER_TIMEOUT: Duration = Duration::from_millis(100);

/// How long a starting host waits for the hosts' records before it takes callers;
/// a store that is available answers within this time.
const STARTUP_READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Time between checks whether a poll lasts too long, since hosts have gone.
const POLL_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// The offset at which to continue reading, and the era of the store to which it
/// belongs.
#[derive(Debug, Clone, Copy)]
struct Offset {
    era: Era,
    at: u64,
}

impl Offset {
    /// Whether the offset is still valid: the store has not been restored from a
    /// copy since.
    fn is_current(&self, site: &Site) -> bool {
        site.era.get() == Some(self.era)
    }
}

/// A range of offsets that a host has read, and when it sent the request.
#[derive(Debug, Clone, Copy)]
struct Read {
    span: Span,
    asked: Duration,
}

/// Processes the records of one topic.
trait Sink {
    const TOPIC: &'static str;

    /// How long to pause between two reads; `None` if the store is asked to wait
    /// for new records instead.
    fn pause(site: &Site) -> Option<Duration>;

    /// Processes one record. One that comes from a listing of all keys has no
    /// offset.
    fn record(&mut self, site: &Site, record: &Record, offset: Option<u64>);

    /// Called at the end of a listing: `keys` are all keys of the topic.
    fn complete(&mut self, _site: &Rc<Site>, _keys: &[String]) {}

    /// Called after each request to the store; the records of `read`, if any,
    /// have been processed.
    fn done(&mut self, _site: &Rc<Site>, _read: Option<Read>) {}

    /// Waits after `read` until the next one is due; returns the offset at which
    /// to continue.
    async fn wait_next(&mut self, site: &Rc<Site>, read: Read) -> u64 {
        if let Some(pause) = Self::pause(site) {
            tokio::time::sleep(pause).await;
        }
        read.span.next
    }

    /// Upper limit of a random delay before the records are listed in a new era
    /// of the store, so that many hosts do not list them at once.
    fn relist_jitter(_site: &Site) -> Duration {
        Duration::ZERO
    }

    /// Called when the store answers again after a failure, or was restored from
    /// a copy.
    fn returned(&mut self, _site: &Site) {}
}

/// Reads a topic for as long as the process runs.
async fn follow<S: Sink>(site: Rc<Site>, mut sink: S) {
    let mut client = HttpClient::new(site.settings.load().store.addr);
    let mut call_state = CallState::new(S::TOPIC);
    let mut from: Option<Offset> = None;
    let mut has_answered = false;
    loop {
        client.set_peer(site.settings.load().store.addr);
        let (asked, random) = (site.now(), rand::random());
        let valid = from.filter(|from| from.is_current(&site));
        let result = match valid {
            None => list(&site, &mut client, &mut sink, from).await,
            Some(at) => tokio::select! {
                read = read(&site, &mut client, &mut sink, at, random) => read,
                // A call that waits for longer than the hosts that are left allow.
                () = poll_expired(&site, asked, random), if S::pause(&site).is_none() => {
                    client = HttpClient::new(site.settings.load().store.addr);
                    continue;
                }
                // A call that was waiting when the store became unavailable or
                // changed its address may never be answered, so it is sent again.
                () = site.store_recovered.notified() => {
                    client = HttpClient::new(site.settings.load().store.addr);
                    continue;
                }
            },
        };
        match result {
            Ok(next) => {
                if call_state.record_success() {
                    sink.returned(&site);
                    site.store_recovered.notify_waiters();
                }
                let is_first = !std::mem::replace(&mut has_answered, true);
                match site.now() - asked > SLOW_ANSWER {
                    _ if S::pause(&site).is_none() => {}
                    // Hosts that start together load the store and their own processors.
                    true if is_first => {}
                    true => site.note_store_error(),
                    false => site.store_availability.borrow_mut().record_success(site.now()),
                }
                let span = |next: Offset| {
                    let from = valid.unwrap_or(next).at;
                    Span { era: next.era, from, next: next.at }
                };
                let read = next.map(|next| Read { span: span(next), asked });
                sink.done(&site, read);
                from = match read {
                    Some(read) => Some(wait_next(&site, &mut sink, read).await),
                    // The era is outdated, or the records at this offset have
                    // been deleted.
                    None => from.filter(|from| !from.is_current(&site)),
                };
            }
            Err(why) => {
                let pause = call_state.record_failure(&why);
                site.note_store_error();
                sink.done(&site, None);
                tokio::time::sleep(pause).await;
                client = HttpClient::new(site.settings.load().store.addr);
            }
        }
    }
}

/// How long a poll waits; `random` is that of the poll, from 0 to 1.
fn poll_wait(site: &Site, random: f64) -> Duration {
    poll_time(site.peers.present_count(), site.settings.load().bounds.config, random)
}

/// Waits until a poll begun at `asked` has lasted longer than it may with the hosts that are
/// present by then.
async fn poll_expired(site: &Site, asked: Duration, random: f64) {
    while site.now() < asked + poll_wait(site, random) + ANSWER_TIMEOUT {
        tokio::time::sleep(POLL_CHECK_INTERVAL).await;
    }
}

/// Waits until the next read is due or a newer era of the store is known; returns
/// where to continue.
async fn wait_next<S: Sink>(site: &Rc<Site>, sink: &mut S, read: Read) -> Offset {
    let Span { era, next, .. } = read.span;
    let at = tokio::select! {
        at = sink.wait_next(site, read) => at,
        () = newer_era(site, era) => {
            tokio::time::sleep(S::relist_jitter(site).mul_f64(rand::random())).await;
            next
        }
    };
    Offset { era, at }
}

/// Waits until an era newer than `era` is known.
async fn newer_era(site: &Site, era: Era) {
    loop {
        let notified = site.store_recovered.notified();
        if site.era.get() > Some(era) {
            return;
        }
        notified.await;
    }
}

/// Lists the newest record of each key. Returns where to continue reading, or
/// `None` if the records must be listed again. `last` is the offset up to which
/// they had been read before.
async fn list<S: Sink>(
    site: &Rc<Site>,
    client: &mut HttpClient,
    sink: &mut S,
    last: Option<Offset>,
) -> Result<Option<Offset>, String> {
    let mut after: Option<String> = None;
    let mut end: Option<Offset> = None;
    let mut keys = Vec::new();
    loop {
        let ask = store::newest(S::TOPIC, after.as_deref());
        let reply = call(site, client, &ask, ANSWER_TIMEOUT).await?;
        if reply.status != 200 {
            return Err(format!("list of {}: status {}", S::TOPIC, reply.status));
        }
        let page = store::parse_newest(&reply.body).map_err(|e| e.to_string())?;
        log_unparsed(S::TOPIC, &page.unreadable);
        // The pages of a listing are no consistent snapshot, so reading continues
        // at the end offset of the first page.
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

/// Reads records starting at `from`. Returns where to continue, or `None` if the
/// records must be listed again.
async fn read<S: Sink>(
    site: &Site,
    client: &mut HttpClient,
    sink: &mut S,
    from: Offset,
    random: f64,
) -> Result<Option<Offset>, String> {
    let wait = match S::pause(site) {
        Some(_) => Duration::ZERO,
        None => poll_wait(site, random),
    };
    let Offset { era, at } = from;
    let reply = call(site, client, &store::read(S::TOPIC, at, wait), wait + ANSWER_TIMEOUT).await?;
    match reply.status {
        // The store was restored and has assigned these offsets anew, so the
        // records read may not follow the earlier ones.
        _ if reply.era != era => Ok(None),
        200 => {
            let page = store::parse_page(at, &reply.body).map_err(|e| e.to_string())?;
            log_unparsed(S::TOPIC, &page.unreadable);
            page.records.iter().for_each(|r| sink.record(site, &r.record, Some(r.offset)));
            Ok(Some(Offset { era, at: page.next }))
        }
        410 => {
            tracing::info!(target: "store", topic = S::TOPIC, from = at,
                "records at this offset were deleted; listing all keys again");
            Ok(None)
        }
        status => Err(format!("read of {} from {at}: status {status}", S::TOPIC)),
    }
}

/// Logs records that could not be parsed; they are skipped.
fn log_unparsed(topic: &str, unparsed: &[String]) {
    for why in unparsed {
        tracing::error!(target: "store", topic, why, "cannot parse record; skipped");
    }
}

/// Starts reading the store.
pub fn start(site: &Rc<Site>) {
    ntex::rt::spawn(end_startup_wait(site.clone()));
    ntex::rt::spawn(follow(site.clone(), Operators::default()));
    ntex::rt::spawn(follow(site.clone(), Upstreams::default()));
    let written = Rc::new(Cell::new(false));
    let registered = ntex::rt::spawn(hosts::register(site.clone(), written.clone()));
    let site = site.clone();
    ntex::rt::spawn(async move {
        // If the host's own record is not written in time, writing goes on in the
        // background.
        let _ = tokio::time::timeout(REGISTER_TIMEOUT, registered).await;
        follow(site, Hosts::new(written)).await;
    });
}

/// Lets the host take callers after [`STARTUP_READ_TIMEOUT`], also if the hosts'
/// records have not been read by then.
async fn end_startup_wait(site: Rc<Site>) {
    tokio::time::sleep(STARTUP_READ_TIMEOUT).await;
    site.end_startup_reads();
}
