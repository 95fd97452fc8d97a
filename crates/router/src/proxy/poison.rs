//! Detects requests that crash upstreams: combines the crash reports of all
//! hosts, and keeps all hosts from sending a request that is identified.
//!
//! Load pattern: see `marjoram_core::poison`. A host sees at most a few of the
//! crashes, and the caller may send the request to any host next. So each host
//! that loses requests in a crash reports them to the detecting hosts. An
//! identified request is put in quarantine: the entry is sent to all hosts,
//! repeated in their heartbeats, and stored in the platform's store for hosts
//! that start later.
//!
//! Limits: an upstream counts as crashed only if it closed a connection during
//! a request and then refuses new connections of a host that reaches other upstreams,
//! answers them as another incarnation, or has gone from the registry. An upstream
//! that merely reset connections accepts new ones, and over a broken link nothing
//! answers. If no host reaches any upstream of the service, either the links are lost
//! or all of them have crashed, and only the registry or a later connect tells.
//! Upstreams that are leaving, or that change weights on the routers' order, are not
//! checked, since they may end requests for that reason.

mod detection;
mod parts;
mod quarantine;
mod records;

use std::rc::Rc;
use std::time::Duration;

use marjoram_core::catalog::Role;
use marjoram_core::heartbeat::SINGLE_ROUND_HOSTS;
use marjoram_core::poison::{self, BrokenRequest, CrashReport, CrashedService, Notice, WATCH_TIME};
use marjoram_platform::engine;
use marjoram_platform::store::Call;
use xxhash_rust::xxh3::xxh3_64;

use super::brittle;
use super::failure::Failure;
use super::fleet::Upstream;
use super::hosts::Message;
use super::reach;
use super::reports;
use super::site::Site;
use super::slot_leases;
use crate::paths::ConnectError;

pub use detection::handle_part_crashes;
pub use parts::{handle_part_completions, handle_part_query, record_prompt_completion};
pub use quarantine::{
    add_quarantine_entries, apply_quarantine_record, handle_quarantine_entries, refused_for,
};
pub use records::{maintain_records, restore_records};

/// Delay before an upstream is checked, in which this host notices all of its own
/// requests that failed when the upstream closed their connections.
const COLLECT_TIME: Duration = Duration::from_millis(20);

/// Probes of an upstream that accepts connections but does not answer: one that
/// has just restarted may be slow.
const MAX_PROBES: u32 = 2;

/// Time in which a probe of a brittle upstream gets a slot, as it may be rejected like a request.
const SLOT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time between two checks of an upstream to which no path is known.
const WATCH_INTERVAL: Duration = Duration::from_millis(200);

/// Key by which rendezvous hashing selects the detecting hosts.
const DETECTION: &str = "crashes";

/// Detecting hosts where there are more than [`SINGLE_ROUND_HOSTS`] hosts: two of the
/// three may be down or unreachable.
const DETECTORS: usize = 3;

/// Crash reports in one datagram.
const MAX_REPORTS: usize = 200;
/// Times that each datagram is sent, since datagrams can be lost.
const SENDS: u32 = 2;

/// Records that a send to `upstream` ended by `failure`; true if that may be a
/// crash, which is then checked in a task of its own.
pub fn record_failed_send(
    site: &Rc<Site>,
    upstream: &Rc<Upstream>,
    failure: &Failure,
    request: BrokenRequest,
) -> bool {
    let now = site.now();
    let in_service = site.fleet.get(&upstream.life).is_some() && !upstream.is_leaving();
    let excused = upstream.is_closed(now) || brittle::may_have_failed(site, upstream);
    if !matches!(failure, Failure::Closed(..)) || !in_service || excused {
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

/// Checks whether `upstream` has crashed, and if so reports this host's requests
/// that were in flight there.
async fn inspect(site: Rc<Site>, upstream: Rc<Upstream>) {
    let service = crashed_service(&site, &upstream);
    let noticed = Notice { at: site.now(), wall: site.unix_time() };
    tokio::time::sleep(COLLECT_TIME).await;
    let crashed = has_crashed(&site, &upstream).await;
    let broken = site.poison.broken.borrow_mut().remove(&upstream.life).unwrap_or_default();
    tracing::info!(target: "poison", upstream = %upstream.life, key = upstream.key,
        requests = broken.len(), crashed, "upstream closed connections during requests");
    if !crashed {
        return;
    }
    site.counters.count("upstream.crashed");
    let reports = {
        let completions = site.poison.recently_completed.borrow();
        poison::crash_reports(&broken, (upstream.key, service), noticed, &completions, site.now())
    };
    for report in &reports {
        tracing::info!(target: "poison", fingerprint = %report.request, upstream = %upstream.life,
            attempt = report.attempt, ran_ms = report.ran.map(|ran| ran.as_millis() as u64),
            well_ms = report.well.map(|age| age.as_millis() as u64), "request was in flight when upstream crashed");
    }
    let detectors = site.peers.first_ranked(xxh3_64(DETECTION.as_bytes()), detectors(&site));
    for chunk in reports.chunks(MAX_REPORTS) {
        let chunk = chunk.to_vec();
        site.peers.send_chunked(detectors.clone(), SENDS, move || Message::Crashes(chunk.clone()));
    }
    handle_crash_reports(&site, &reports);
    let part_reports = parts::report(&site, upstream.key, &broken, noticed, detectors);
    if !part_reports.is_empty() {
        handle_part_crashes(&site, &part_reports);
    }
}

/// The service of `upstream`, with the upstreams that are listed now.
fn crashed_service(site: &Site, upstream: &Upstream) -> CrashedService {
    let name = upstream.entry.borrow().service.clone();
    let upstreams = site.fleet.all().iter().filter(|u| u.entry.borrow().service == name).count();
    CrashedService { key: xxh3_64(name.as_bytes()), upstreams }
}

/// What a probe of an upstream shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Probe {
    /// It refuses connections, or another incarnation already accepts them.
    Crashed,
    /// It is running as far as is known.
    Running,
    /// It accepts connections but does not answer.
    NoAnswer,
    /// It may be running, but no path to it is known.
    NoPath,
}

/// Whether `upstream`, which has just closed connections, has crashed. One that
/// answers no probe is assumed not to have crashed.
async fn has_crashed(site: &Site, upstream: &Rc<Upstream>) -> bool {
    let watch_end = site.now() + WATCH_TIME;
    let mut unanswered = 0;
    while unanswered < MAX_PROBES && site.now() < watch_end {
        match probe(site, upstream).await {
            Probe::Crashed => return true,
            Probe::Running => return false,
            Probe::NoAnswer => unanswered += 1,
            Probe::NoPath if is_removed_before_path_is_known(site, upstream, watch_end).await => {
                return true;
            }
            Probe::NoPath => {}
        }
    }
    tracing::info!(target: "poison", upstream = %upstream.life, unanswered,
        "upstream answered no probe, assumed not to have crashed");
    false
}

/// Waits until `end` at most for the removal of `upstream` from the registry, or for a
/// path to it. True if it was removed without having announced that it leaves.
async fn is_removed_before_path_is_known(site: &Site, upstream: &Upstream, end: Duration) -> bool {
    while site.now() < end {
        tokio::time::sleep(WATCH_INTERVAL).await;
        if site.fleet.get(&upstream.life).is_none() {
            return !upstream.is_leaving();
        }
        if !upstream.health.borrow().has_no_path() {
            return false;
        }
    }
    false
}

/// Probes `upstream` once.
async fn probe(site: &Site, upstream: &Rc<Upstream>) -> Probe {
    let conn = match reach::connect(site, upstream).await {
        Ok(conn) => conn,
        Err(error @ ConnectError::NoPath) => {
            upstream.mark_down(&error, site.now());
            return Probe::NoPath;
        }
        Err(error) if error.is_refusal() => return Probe::Crashed,
        Err(ConnectError::Down(_)) => return Probe::Running,
    };
    // An idle connection that is still open leads to the same process, so that
    // process has not crashed.
    if upstream.pool.has_open_idle(site.now()) {
        return Probe::Running;
    }
    let Some(call) = probe_call(site, upstream) else { return Probe::Running };
    let Some(mut slot) = slot_leases::occupy(site, upstream, SLOT_TIMEOUT).await else {
        return Probe::NoAnswer;
    };
    let replaced = reports::is_replaced(upstream, conn, &call).await;
    if replaced.is_some() {
        slot.end();
    }
    match replaced {
        Some(true) => Probe::Crashed,
        Some(false) => Probe::Running,
        None => Probe::NoAnswer,
    }
}

/// The call by which a probe distinguishes incarnations of `upstream`, if its
/// service has one: an upstream refuses a call addressed to another incarnation.
fn probe_call(site: &Site, upstream: &Upstream) -> Option<Call> {
    let catalog = site.catalog()?;
    let service = catalog.services.get(&upstream.entry.borrow().service)?;
    match service.role {
        Role::Engine(_) => Some(engine::report()),
        Role::Plain if !service.health.is_empty() => Some(engine::health(&service.health)),
        Role::Plain | Role::Store(_) => None,
    }
}

/// The number of detecting hosts: all, where there are few.
fn detectors(site: &Site) -> usize {
    if all_detect(site) { site.peers.count() } else { DETECTORS }
}

/// Whether all hosts detect.
fn all_detect(site: &Site) -> bool {
    site.peers.count() <= SINGLE_ROUND_HOSTS
}

/// Handles crash reports, of this host or another, at a detecting host.
pub fn handle_crash_reports(site: &Rc<Site>, reports: &[CrashReport]) {
    let (now, wall) = (site.now(), site.unix_time());
    let poison = &site.poison;
    for report in reports {
        // Times are wall-clock times, and the clock of another host may be ahead.
        let report = CrashReport { at: report.at.min(wall), ..report.clone() };
        let (refused, recurrence) = {
            let quarantine = poison.quarantine.borrow();
            (quarantine.refuses(report.request, wall), quarantine.recurrence(&report, wall))
        };
        match (refused, recurrence) {
            (Some(_), _) => poison.suspects.borrow_mut().explain(&[report.upstream]),
            (None, Some(entry)) => quarantine::publish(site, vec![entry]),
            (None, None) => poison.suspects.borrow_mut().add(&report, now),
        }
    }
    if poison.suspects.borrow().is_pending() {
        detection::start(site);
    }
}
