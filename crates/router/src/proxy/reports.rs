//! Queries engines for their state, to correct this host's records of them.
//!
//! Load pattern: an order to change weights that seemed lost is carried out
//! seconds later, so an engine serves another version than any host has recorded
//! and refuses all requests sent for the recorded one. One engine refused 700
//! requests in 20 seconds that way, since each host guessed the new version and
//! never queried the engine. Or a host has not received the notice that an engine
//! is changing its weights, and loses a request each time it tries the engine
//! again.
//!
//! Limits: a host sends an engine one query at a time. The query runs in a task of
//! its own that always ends, also if the caller of the refused request
//! disconnects.

use std::rc::Rc;
use std::time::Duration;

use marjoram_core::rollout;
use marjoram_core::switches::Mechanism;
use marjoram_core::upstream::Weights;
use marjoram_platform::engine::{self, Report, UPSTREAM_HEADER};
use marjoram_platform::headers::MISDIRECTED;
use marjoram_platform::store::Call;
use tokio::sync::oneshot;

use super::fleet::Upstream;
use super::reach;
use super::site::Site;
use super::storeclient::HttpClient;
use crate::conn::Conn;

/// Time-out of an engine's answer, which usually takes a few milliseconds.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest report, in bytes. Many may be read at once, one for each silent stream.
const MAX_REPORT_SIZE: usize = 256 << 10;

/// How far a report may lag behind the engine's state: a query sent this long
/// after a refusal returns the state after the refusal.
const LAG: Duration = Duration::from_millis(300);

/// Longest time between two queries to an engine that is changing its weights:
/// each costs it a little time, and the streams that it finishes first last
/// seconds.
const MAX_INTERVAL: Duration = Duration::from_millis(1_200);

/// How long an engine that reports a change is queried and gets no requests; after
/// that it is used again.
const MAX_WATCH: Duration = Duration::from_secs(10);

/// Marks an engine as being queried, until dropped.
struct Query(Rc<Upstream>);

impl Query {
    /// Begins a query of `upstream`; `None` if one is under way.
    fn begin(upstream: &Rc<Upstream>) -> Option<Self> {
        (!upstream.asking.replace(true)).then(|| Self(upstream.clone()))
    }
}

impl Drop for Query {
    fn drop(&mut self) {
        self.0.asking.set(false);
    }
}

/// Queries the state of `upstream`. An answer of another incarnation is an error.
pub async fn query(client: &mut HttpClient, upstream: &Upstream) -> Result<Report, String> {
    let headers = [(UPSTREAM_HEADER, upstream.life.id.0.as_str())];
    match client.call(&engine::report(), &headers, ANSWER_TIMEOUT).await {
        Ok(reply) if reply.status == 200 => {
            let report = engine::parse_report(&reply.body).map_err(|e| e.to_string())?;
            match report.born.may_equal(upstream.life.born) {
                true => Ok(report),
                false => Err(format!("report of another incarnation, started {}", report.born)),
            }
        }
        Ok(reply) => Err(format!("report: status {}", reply.status)),
        Err(error) => Err(error.to_string()),
    }
}

/// Queries `upstream` once, on a new connection.
pub async fn query_once(site: &Site, upstream: &Upstream) -> Result<Report, String> {
    let conn = reach::connect(site, upstream).await.map_err(|e| e.to_string())?;
    query(&mut client(upstream, conn), upstream).await
}

/// A client that uses `conn`, a new connection to `upstream`.
fn client(upstream: &Upstream, conn: Conn) -> HttpClient {
    HttpClient::new(upstream.entry.borrow().addr)
        .with_conn(conn)
        .with_max_body_size(MAX_REPORT_SIZE)
}

/// Handles the refusal by `upstream` of a request sent for the version `asked` of
/// `model`: queries which version it serves, once for all requests of this host,
/// and returns when that has been recorded.
pub async fn handle_weights_refusal(
    site: &Rc<Site>,
    upstream: &Rc<Upstream>,
    model: &str,
    asked: u64,
) {
    let Some(query) = Query::begin(upstream) else { return };
    let recorded = Weights { model: model.to_string(), version: asked };
    let (sender, receiver) = oneshot::channel();
    ntex::rt::spawn(resolve_weights(site.clone(), query, recorded, sender));
    // Fails only if the task has ended without a result.
    let _ = receiver.await;
}

/// Queries which weights are served by an engine that refused a request for
/// `recorded`, and queries once more when the report can no longer be from before
/// the refusal.
async fn resolve_weights(
    site: Rc<Site>,
    query: Query,
    recorded: Weights,
    done: oneshot::Sender<()>,
) {
    let upstream = &query.0;
    let (model, asked) = (&recorded.model, recorded.version);
    let reported = match site.has(Mechanism::Reports) {
        true => served(&site, upstream, model).await,
        false => None,
    };
    let newest = site.announced_weights.borrow().get(model).and_then(|n| n.newest());
    let version = rollout::after_refusal(asked, reported, newest);
    tracing::info!(target: "weights", upstream = %upstream.life, asked, reported, version,
        "upstream refused request for its weights version");
    upstream.record_report(model, version);
    // The request that waits for this may have ended.
    let _ = done.send(());
    if !site.has(Mechanism::Reports) {
        return;
    }
    tokio::time::sleep(LAG).await;
    if let Some(version) = served(&site, upstream, model).await {
        upstream.record_report(model, version);
        site.rollout_check.notify_one();
    }
}

/// Handles the refusal of a request by `upstream` without a reason. If a newer
/// version of `model` has been announced than it serves, it is most likely changing
/// its weights: this host sends it no requests until it reports no change.
pub fn handle_unexplained_refusal(site: &Rc<Site>, upstream: &Rc<Upstream>, model: &str) {
    let newest = site.announced_weights.borrow().get(model).and_then(|n| n.newest());
    if !site.has(Mechanism::Reports) || upstream.weights(model) >= newest {
        return;
    }
    if let Some(query) = Query::begin(upstream) {
        ntex::rt::spawn(watch(site.clone(), query));
    }
}

/// Keeps an engine closed at this host while it reports a change of weights.
async fn watch(site: Rc<Site>, query: Query) {
    let upstream = &query.0;
    let begun = site.now();
    let mut pause = LAG;
    let mut looks = 0;
    let mut closed_until = Duration::ZERO;
    let why = loop {
        closed_until = closed_until.max(site.now() + pause + ANSWER_TIMEOUT);
        upstream.closed.set(upstream.closed.get().max(Some(closed_until)));
        tokio::time::sleep(pause).await;
        looks += 1;
        match query_once(&site, upstream).await {
            // The rollout leader has meanwhile sent notice that it is open.
            _ if upstream.closed.get().is_none() => break "notified open",
            Ok(report) if report.busy && site.now() - begun < MAX_WATCH => {
                pause = (pause * 2).min(MAX_INTERVAL);
            }
            Ok(report) => {
                report.weights.iter().for_each(|w| upstream.record_weights(&w.model, w.version));
                break "reports no change";
            }
            Err(_) => break "no report",
        }
    };
    // A notice of the rollout leader may have set a later time, which is kept.
    if upstream.closed.get().is_some_and(|until| until <= closed_until) {
        upstream.closed.set(None);
    }
    tracing::info!(target: "weights", upstream = %upstream.life, looks, why,
        ms = (site.now() - begun).as_millis() as u64, "engine used again");
}

/// Whether `upstream` still answers queries on a path that a connection of this
/// kind, `relayed` or not, can use. An engine whose stream is silent may only have
/// suspended that stream in favour of others; but if only other hosts reach it, a
/// stream over this host's link is lost.
pub async fn is_responsive(site: &Site, upstream: &Upstream, relayed: bool) -> bool {
    let Ok(conn) = reach::connect(site, upstream).await else { return false };
    let headers = [(UPSTREAM_HEADER, upstream.life.id.0.as_str())];
    let usable = relayed || !conn.relayed;
    let mut client = client(upstream, conn);
    usable && client.call(&engine::report(), &headers, ANSWER_TIMEOUT).await.is_ok()
}

/// Whether another incarnation answers the call `probe` on `conn`, a new connection
/// to the address of `upstream`; `None` if there is no answer.
pub async fn is_replaced(upstream: &Upstream, conn: Conn, probe: &Call) -> Option<bool> {
    let headers = [(UPSTREAM_HEADER, upstream.life.id.0.as_str())];
    match client(upstream, conn).call(probe, &headers, ANSWER_TIMEOUT).await {
        Ok(reply) if reply.status == MISDIRECTED => Some(true),
        Ok(reply) if reply.status == 200 => Some(
            engine::parse_report(&reply.body)
                .is_ok_and(|report| !report.born.may_equal(upstream.life.born)),
        ),
        Ok(_) => Some(false),
        Err(error) => {
            tracing::debug!(target: "poison", upstream = %upstream.life, %error, "no answer");
            None
        }
    }
}

/// The version of `model` that `upstream` reports; `None` without a report.
async fn served(site: &Site, upstream: &Upstream, model: &str) -> Option<u64> {
    match query_once(site, upstream).await {
        Ok(report) => report.weights.iter().find(|w| w.model == model).map(|w| w.version),
        Err(why) => {
            tracing::debug!(target: "weights", upstream = %upstream.life, why, "no report");
            None
        }
    }
}
