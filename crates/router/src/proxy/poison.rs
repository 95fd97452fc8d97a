//! Requests that crash upstreams: the hosts' reports of crashes are combined,
//! and a request that is found is no longer sent by any host.
//!
//! Load pattern: see `marjoram_core::poison`. A host sees at most a few of the
//! crashes, and any host may be asked next, so each host that loses requests
//! with an upstream reports to the hosts that detect; an entry is sent to all
//! hosts, repeated in their greetings, and kept in the platform's store for
//! those that start later.
//!
//! Limits: an upstream has crashed if it closed a connection in mid-request
//! and then refuses new ones, or answers them in another life. One that only
//! reset connections accepts new ones; a link that is cut answers nothing; one
//! that leaves, or changes weights on our order, may end requests for that
//! reason.

mod detection;
mod records;

use std::io;
use std::rc::Rc;
use std::time::Duration;

use marjoram_core::catalog::Role;
use marjoram_core::place::FRESH_HOSTS;
use marjoram_core::poison::CrashReport;
use marjoram_platform::engine;
use marjoram_platform::store::Call;
use xxhash_rust::xxh3::xxh3_64;

use super::conn::Conn;
use super::failure::Failure;
use super::fleet::Upstream;
use super::hosts::Message;
use super::reports;
use super::site::{Broken, Site};
use crate::clock;

pub use detection::{hear_quarantined, refuses, take_quarantined, take_record};
pub use records::{keep, restore_records};

/// Time in which a host notices all of its requests that an upstream ended.
const COLLECT_TIME: Duration = Duration::from_millis(20);

/// Longest time to connect to an upstream that may have crashed.
const CONNECT: Duration = Duration::from_millis(300);

/// Questions to an upstream that accepts connections but does not answer: one that
/// has just started again may be slow to.
const MAX_QUESTIONS: u32 = 2;

/// Key by which hosts are ranked for detecting crashes.
const DETECTION: &str = "crashes";

/// Hosts that detect, where there are more than [`FRESH_HOSTS`]: two of them may
/// be down or unreachable.
const DETECTORS: usize = 3;

/// Reports in one datagram, and how often each datagram is sent.
const MAX_REPORTS: usize = 200;
const SENDS: u32 = 2;

/// Records that a send to `upstream` ended by `failure`; whether that may be
/// a crash.
pub fn broke(site: &Rc<Site>, upstream: &Rc<Upstream>, failure: &Failure, request: Broken) -> bool {
    let now = site.now();
    let listed = site.fleet.get(&upstream.life).is_some() && !upstream.entry.borrow().leaving;
    if !matches!(failure, Failure::Closed(..)) || !listed || upstream.is_closed(now) {
        return false;
    }
    let mut broken = site.poison.broken.borrow_mut();
    let first = !broken.contains_key(&upstream.life);
    broken.entry(upstream.life.clone()).or_default().push(request);
    if first {
        ntex::rt::spawn(inspect(site.clone(), upstream.clone()));
    }
    true
}

/// Checks whether `upstream` has crashed, and reports the requests at it.
async fn inspect(site: Rc<Site>, upstream: Rc<Upstream>) {
    tokio::time::sleep(COLLECT_TIME).await;
    let crashed = has_crashed(&site, &upstream).await;
    let broken = site.poison.broken.borrow_mut().remove(&upstream.life).unwrap_or_default();
    tracing::info!(target: "poison", upstream = %upstream.life, key = upstream.key,
        requests = broken.len(), crashed, "upstream ended requests");
    if !crashed {
        return;
    }
    site.counters.count("upstream.crashed");
    let (now, wall) = (site.now(), clock::wall());
    let reports = broken.into_iter().map(|b| CrashReport {
        request: b.request,
        upstream: upstream.key,
        attempt: b.attempt,
        ran: b.ran,
        well: site.poison.well.borrow().age(b.request, now),
        at: wall,
    });
    let reports: Vec<CrashReport> = reports.collect();
    for report in &reports {
        tracing::info!(target: "poison", fingerprint = %report.request, upstream = %upstream.life,
            attempt = report.attempt, ran_ms = report.ran.map(|ran| ran.as_millis() as u64),
            well_ms = report.well.map(|age| age.as_millis() as u64), "was there when it crashed");
    }
    let detectors = site.peers.first_ranked(xxh3_64(DETECTION.as_bytes()), detectors(&site));
    for some in reports.chunks(MAX_REPORTS) {
        let some = some.to_vec();
        site.peers.tell(detectors.clone(), SENDS, move || Message::Crashes(some.clone()));
    }
    hear_reports(&site, &reports);
}

/// Whether `upstream`, which has just ended requests, has crashed.
async fn has_crashed(site: &Site, upstream: &Upstream) -> bool {
    for _ in 0..MAX_QUESTIONS {
        if let Some(crashed) = looks_crashed(site, upstream).await {
            return crashed;
        }
    }
    tracing::info!(target: "poison", upstream = %upstream.life, questions = MAX_QUESTIONS,
        "no report, not taken to have crashed");
    false
}

/// Whether `upstream` refuses connections, or another life accepts them already;
/// `None` if it accepts them and does not answer.
async fn looks_crashed(site: &Site, upstream: &Upstream) -> Option<bool> {
    let addr = upstream.entry.borrow().addr;
    match Conn::connect(addr, CONNECT).await {
        // What outlives the requests is a connection to the same life.
        Ok(_) if upstream.pool.has_quiet(site.now()) => Some(false),
        Ok(_) => match question(site, upstream) {
            Some(question) => reports::is_replaced(upstream, &question).await,
            None => Some(false),
        },
        Err(error) => Some(error.kind() == io::ErrorKind::ConnectionRefused),
    }
}

/// The question that any other life of `upstream` refuses, if there is one.
fn question(site: &Site, upstream: &Upstream) -> Option<Call> {
    let catalog = site.catalog()?;
    let service = catalog.services.get(&upstream.entry.borrow().service)?;
    match service.role {
        Role::Engine(_) => Some(engine::report()),
        Role::Plain if !service.health.is_empty() => Some(engine::health(&service.health)),
        Role::Plain | Role::Store(_) => None,
    }
}

/// The number of hosts that detect: all, where there are few.
fn detectors(site: &Site) -> usize {
    match site.peers.count() {
        hosts if hosts <= FRESH_HOSTS => hosts,
        _ => DETECTORS,
    }
}

/// Handles a host's reports of a crash.
pub fn hear_reports(site: &Rc<Site>, reports: &[CrashReport]) {
    let (now, wall) = (site.now(), clock::wall());
    let poison = &site.poison;
    for report in reports {
        // The clock of another host may be ahead.
        let report = CrashReport { at: report.at.min(wall), ..report.clone() };
        let (refused, again) = {
            let quarantine = poison.quarantine.borrow();
            (quarantine.refuses(report.request, wall), quarantine.again(&report, wall))
        };
        match (refused, again) {
            (Some(_), _) => poison.suspects.borrow_mut().explain(&[report.upstream]),
            (None, Some(entry)) => detection::pass(site, vec![entry]),
            (None, None) => poison.suspects.borrow_mut().add(&report, now),
        }
    }
    if poison.suspects.borrow().is_pending() {
        poison.called.set(poison.called.get() + 1);
        if !poison.detecting.replace(true) {
            ntex::rt::spawn(detection::run(site.clone()));
        }
    }
}
