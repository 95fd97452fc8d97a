//! The HTTP endpoints of a host itself: for callers and the platform, the list of
//! hosts to connect to and whether this one is ready; for operators, metrics and a
//! dump of the process's state.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use marjoram_core::peer_budget::Stage;
use marjoram_core::reach;
use marjoram_platform::entry::{self, HostQuery};
use tokio::net::TcpListener;
use tracing_appender::non_blocking::ErrorCounter;

use super::fleet::Upstream;
use super::http1::{self, ResponseWriter};
use super::peer_limits::GivenUp;
use super::site::Site;
use super::{backlog, quota, rate_limits};
use crate::conn::Conn;

/// Longest head of a request, in bytes.
const HEAD_LIMIT: usize = 8 << 10;

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// How long callers may use a list of hosts: short, since hosts come and go, and
/// some callers use it three times as long.
const ANSWER_TTL: Duration = Duration::from_secs(2);

/// Pause after a failed accept, most likely for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Path of the metrics.
const METRICS: &str = "/metrics";

/// Path of the state dump.
const STATE: &str = "/debug/state";

/// Answers requests on `listener` until the process stops.
pub async fn serve(site: Rc<Site>, listener: TcpListener, dropped: ErrorCounter) {
    loop {
        if site.peer_limits.status.is_full() {
            tokio::task::yield_now().await;
        }
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = site.stop.notified() => return,
        };
        match accepted {
            Ok((stream, _)) => match site.peer_limits.status.accept(Instant::now()) {
                Ok(holding) => {
                    let conn = Conn::accepted(stream, holding);
                    ntex::rt::spawn(serve_connection(site.clone(), conn, dropped.clone()));
                }
                Err(why) => site.report_given_up(GivenUp::Status, why),
            },
            Err(error) => {
                tracing::warn!(target: "callers", %error, "accept failed on a status port");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves a connection until it ends or is given up.
async fn serve_connection(site: Rc<Site>, mut conn: Conn, dropped: ErrorCounter) {
    let lingers = connection(&site, &mut conn, dropped).await;
    match conn.given_up() {
        Some(why) => site.report_given_up(GivenUp::Status, why),
        None if lingers => conn.linger(Duration::from_millis(200)).await,
        None => {}
    }
}

/// Answers the requests of one connection. Returns whether it is to be closed after the last
/// answer has been received.
async fn connection(site: &Site, conn: &mut Conn, dropped: ErrorCounter) -> bool {
    loop {
        let head = match http1::request_head(&mut conn.buf, HEAD_LIMIT) {
            Ok(Some(head)) => head,
            Ok(None) => match tokio::time::timeout(IDLE_TIMEOUT, conn.fill()).await {
                Ok(Ok(read)) if read > 0 => continue,
                _ => return false,
            },
            Err(_) => return false,
        };
        let bytes = match (entry::parse_query(&head.target), head.target.as_str()) {
            (HostQuery::Ready, _) => {
                let status = if site.is_ready() { 200 } else { 503 };
                ResponseWriter::new(status).finish(b"")
            }
            (HostQuery::Addresses(_), _) => addresses(site),
            (HostQuery::Unknown, METRICS) => {
                let mut writer = ResponseWriter::new(200);
                writer.header("content-type", b"text/plain");
                writer.finish(metrics(site, &dropped).as_bytes())
            }
            (HostQuery::Unknown, STATE) => {
                let mut writer = ResponseWriter::new(200);
                writer.header("content-type", b"application/json");
                writer.finish(state(site).to_string().as_bytes())
            }
            _ => ResponseWriter::new(404).finish(b""),
        };
        conn.enter(Stage::Sending);
        if conn.keep(bytes.len()).is_err() || conn.write(&bytes).await.is_err() {
            return false;
        }
        if head.headers.closes(head.minor) {
            return true;
        }
        conn.free_buffer();
        conn.enter(Stage::Idle);
        if conn.keep(0).is_err() {
            return false;
        }
    }
}

/// Counters, histograms and a few gauges as text.
fn metrics(site: &Site, dropped: &ErrorCounter) -> String {
    let mut text = site.counters.text();
    let sum = |of: fn(&Upstream) -> u64| site.fleet.all().iter().map(|u| of(u)).sum::<u64>();
    let now = site.now();
    let count = |is: fn(&Upstream, Duration) -> bool| {
        site.fleet.all().iter().filter(|u| is(u, now)).count() as u64
    };
    let traffic = site.traffic.totals();
    let gauges = [
        ("ready", u64::from(site.is_ready())),
        ("handled", site.handled.count() as u64),
        ("configuration", site.catalog.load().as_ref().map_or(0, |c| c.version)),
        ("hosts", site.peers.open().len() as u64 + 1),
        ("services_cut_off", site.cut_off.borrow().len() as u64),
        ("links_lost", count(|u, _| u.link.borrow().is_lost())),
        ("tunnels", u64::from(site.tunnels.count())),
        ("caller_connections", site.peer_limits.callers.conns() as u64),
        ("status_connections", site.peer_limits.status.conns() as u64),
        ("host_connections", site.peer_limits.hosts.conns() as u64),
        ("peer_bytes", site.peer_limits.budget.used() as u64),
        ("upstreams", site.fleet.all().len() as u64),
        ("upstreams_paused", count(|u, now| u.health.borrow().is_paused(now))),
        ("upstreams_unreachable", count(|u, now| u.health.borrow().is_unreachable(now))),
        ("upstreams_reported_unreachable", count(Upstream::is_reported_unreachable)),
        ("upstreams_limited", rate_limits::limited(site)),
        ("upstreams_backed_off", count(|u, now| u.backoff_left(now).is_some())),
        ("upstream_requests", sum(|u| u64::from(u.local_load.get().running))),
        ("unread_tokens", sum(|u| u.load().unread)),
        ("requests_waiting", site.waiting.len() as u64),
        ("backlog_claims", site.backlog.ledger.borrow().claims() as u64),
        ("requests_suspected", site.poison.counts().0 as u64),
        ("requests_quarantined", site.poison.counts().1 as u64),
        ("log_lines_dropped", dropped.dropped_lines() as u64),
        ("datagrams_sent", traffic.datagrams),
        ("datagram_bytes_sent", traffic.datagram_bytes),
        ("datagrams_not_sent", traffic.unsent),
        ("engine_calls", traffic.calls),
        ("engine_calls_failed", traffic.failed),
        ("engine_call_bytes", traffic.call_bytes),
    ];
    for (name, value) in gauges {
        text += &format!("marjoram_{name} {value}\n");
    }
    text + &quota::metrics(site)
}

/// The addresses of the hosts that accept callers, this one included if it is
/// ready. Hosts that are cut off from all upstreams are left out if there are enough
/// others.
fn addresses(site: &Site) -> bytes::BytesMut {
    let mut open = site.peers.open();
    let settings = site.settings.load();
    if site.is_ready() {
        open.push((settings.callers, site.is_cut_off_from_all()));
    }
    let cut_off = open.iter().filter(|(_, cut_off)| *cut_off).count();
    if !reach::names_cut_off(open.len(), cut_off) {
        open.retain(|(_, cut_off)| !cut_off);
    }
    let mut known: Vec<SocketAddr> = open.into_iter().map(|(addr, _)| addr).collect();
    known.truncate(entry::MAX_ADDRESSES);
    if known.is_empty() {
        return ResponseWriter::new(503).finish(b"");
    }
    let ttl = ANSWER_TTL.min(settings.bounds.answer_ttl);
    let mut writer = ResponseWriter::new(200);
    writer.header("content-type", b"application/json");
    writer.finish(&entry::addresses(&known, ttl))
}

/// The quarantine: entries in force, and those that expired recently.
fn quarantine(site: &Site) -> Vec<serde_json::Value> {
    let wall = site.unix_time();
    let entries = site.poison.entries().into_iter().map(|v| {
        serde_json::json!({ "fingerprint": v.request.to_string(), "repeats": v.repeats,
            "left_s": v.until().saturating_sub(wall).as_secs(), "upstreams": v.upstreams })
    });
    entries.collect()
}

/// The state of the process, for operators.
fn state(site: &Site) -> serde_json::Value {
    let now = site.now();
    let upstreams: Vec<_> = site
        .fleet
        .all()
        .iter()
        .map(|u| {
            let entry = u.entry.borrow();
            let health = u.health.borrow();
            serde_json::json!({
                "id": u.life.id, "born": u.life.born, "service": entry.service, "addr": entry.addr, "dc": entry.dc,
                "leaving": u.is_leaving(), "weights": entry.weights,
                "limit": rate_limits::state(site, u),
                "backoff_ms": u.backoff_left(now).unwrap_or_default().as_millis() as u64,
                "closed": u.is_closed(now), "paused": health.is_paused(now),
                "unreachable": health.is_unreachable(now),
                "link_lost": u.link.borrow().is_lost(),
                "reported_unreachable": u.is_reported_unreachable(now),
                "silent_ms": health.stalled_for(now).as_millis() as u64,
                "failures": health.failures(), "pace": health.prefill_throughput(),
                "own": u.local_load.get(), "others": u.remote_load.get(), "idle": u.pool.idle(),
            })
        })
        .collect();
    serde_json::json!({
        "host": site.settings.load().name,
        "up_ms": now.as_millis() as u64,
        "ready": site.is_ready(),
        "stopping": site.stopping.get().is_some(),
        "cut_off": *site.cut_off.borrow(),
        "tunnels": site.tunnels.count(),
        "configuration": site.catalog.load().as_ref().map(|c| c.version),
        "handled": site.handled.count(),
        "quarantine": quarantine(site),
        "quotas": quota::state(site),
        "backlog": backlog::state(site),
        "suspected": site.poison.counts().0,
        "hosts": site.peers.state(now),
        "upstreams": upstreams,
    })
}
