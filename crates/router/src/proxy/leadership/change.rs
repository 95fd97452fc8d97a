//! One engine's change to newly announced weights: it is announced to the other
//! hosts, ordered and awaited.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use marjoram_core::pace::MIN_POLL_INTERVAL;
use marjoram_core::upstream::Weights;
use marjoram_platform::engine::{OrderOutcome, Report, UPSTREAM_HEADER, WeightsOrder};
use marjoram_platform::store::Call;

use super::Leadership;
use crate::proxy::fleet::Upstream;
use crate::proxy::notices;
use crate::proxy::reports::{self, ANSWER_TIMEOUT};
use crate::proxy::storeclient::HttpClient;

/// Time between the announcement that an engine closes and the order to it.
/// Requests already on their way to the engine begin within this time; the engine
/// refuses those that do not.
const ORDER_DELAY: Duration = Duration::from_millis(120);

/// Time after an accepted order before the engine is first polled. Its report is
/// some hundred milliseconds old.
const FIRST_POLL_DELAY: Duration = Duration::from_millis(650);

/// How long an engine may take to change before the attempt is given up and
/// repeated later.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(6);

/// How long a former leader goes on with a change; by then, the next leader
/// announces the engine's state.
const FORMER_LEADER_TIMEOUT: Duration = Duration::from_secs(3);

/// Delay before an engine whose order failed gets another. Doubled for each
/// further failure, at most `MAX_RETRY_DOUBLINGS` times.
const ORDER_RETRY_DELAY: Duration = Duration::from_millis(400);
const MAX_RETRY_DOUBLINGS: u32 = 3;

/// How an engine's change ended.
enum End {
    Changed,
    /// The engine still serves its former weights.
    Failed(String),
    /// The engine may still be changing.
    Unknown(String),
}

/// Changes one engine to `weights`.
pub(super) async fn change(leadership: Rc<Leadership>, upstream: Rc<Upstream>, weights: Weights) {
    let begun = leadership.site.now();
    let mut closed = false;
    let end = order(&leadership, &upstream, &weights, &mut closed).await;
    let now = leadership.site.now();
    let ms = (now - begun).as_millis() as u64;
    {
        let mut states = leadership.engine_states.borrow_mut();
        let state = states.entry(upstream.life.clone()).or_default();
        state.changing = None;
        match &end {
            End::Changed => {
                state.failures = 0;
                upstream.record_weights(&weights.model, weights.version);
                tracing::info!(target: "weights", upstream = %upstream.life, version = weights.version,
                    ms, "engine changed its weights");
            }
            End::Failed(why) | End::Unknown(why) => {
                state.retry_at = Some(
                    now + ORDER_RETRY_DELAY * 2u32.pow(state.failures.min(MAX_RETRY_DOUBLINGS)),
                );
                state.failures += 1;
                state.orders = None;
                tracing::warn!(target: "weights", upstream = %upstream.life, version = weights.version,
                    ms, why, failures = state.failures, "engine did not change its weights");
            }
        }
    }
    // Hosts that were not sent the announcement that the engine closes need none
    // that it is open again. An engine that may still be changing stays closed for
    // as long as was announced.
    if matches!(end, End::Changed) || closed && matches!(end, End::Failed(_)) {
        let served = upstream.weights(&weights.model).unwrap_or_default();
        notices::open(&leadership.site, &upstream, &Weights { version: served, ..weights });
    }
    leadership.site.rollout_check.notify_one();
}

/// Whether an engine reports that it is carrying out an order.
pub(super) async fn is_changing(leadership: Rc<Leadership>, upstream: Rc<Upstream>) -> bool {
    let addr = upstream.entry.borrow().addr;
    fetch_report(&leadership, &mut HttpClient::new(addr), &upstream)
        .await
        .is_ok_and(|report| report.busy)
}

/// Announces to the other hosts that one engine closes, then orders it to change
/// and waits until it has. `closed` is set once the announcement has been queued.
async fn order(
    leadership: &Leadership,
    upstream: &Rc<Upstream>,
    weights: &Weights,
    closed: &mut bool,
) -> End {
    let addr: SocketAddr = upstream.entry.borrow().addr;
    let mut client = HttpClient::new(addr);
    let count = leadership.engine_states.borrow().get(&upstream.life).and_then(|k| k.orders);
    let orders = match count {
        Some(orders) => orders,
        None => match fetch_report(leadership, &mut client, upstream).await {
            Ok(report) if has_weights(&report, weights) => return End::Changed,
            Ok(report) if report.busy => {
                *closed = true;
                return wait_until_changed(leadership, upstream, weights, &mut client, false).await;
            }
            Ok(report) => report.orders,
            Err(why) => return End::Failed(why),
        },
    };
    notices::close(&leadership.site, std::slice::from_ref(upstream), weights);
    *closed = true;
    notices::wait_until_sent(&leadership.site, upstream).await;
    tokio::time::sleep(ORDER_DELAY).await;
    // The wait for a call slot may outlast the lease, so the token is read after
    // it.
    let permit = leadership.call_slot().await;
    let Some(token) = leadership.token() else { return End::Failed("no longer leader".into()) };
    let order = WeightsOrder {
        upstream: upstream.life.clone(),
        weights: weights.clone(),
        holder: leadership.site.settings.load().name.clone(),
        token: token.number(),
        orders,
    };
    let headers = [(UPSTREAM_HEADER, upstream.life.id.0.as_str())];
    // On the connection of a report, a late copy of it could be taken for the answer.
    client = HttpClient::new(addr);
    leadership.site.handover.begin_order(leadership.site.now());
    let reply = client.call(&Call::from(&order), &headers, ANSWER_TIMEOUT).await;
    leadership.site.handover.end_order(leadership.site.now());
    drop(permit);
    leadership.site.traffic.call(client.take_bytes(), reply.is_ok());
    tracing::info!(target: "weights", upstream = %upstream.life, version = weights.version, token = token.number(), orders,
        outcome = ?reply.as_ref().map(|r| r.status).map_err(|e| e.to_string()), "order sent");
    match reply.as_ref().map(|r| OrderOutcome::from(r.status)) {
        Ok(OrderOutcome::AlreadyServing) => return End::Changed,
        Ok(OrderOutcome::Accepted) => {
            leadership
                .engine_states
                .borrow_mut()
                .entry(upstream.life.clone())
                .or_default()
                .orders = Some(orders + 1);
        }
        Ok(OrderOutcome::Misdirected) => {
            leadership.site.fleet.remove(&upstream.life);
            return End::Failed("its address belongs to another upstream".into());
        }
        Ok(OrderOutcome::Conflict) => {
            // Another order is in progress, or was accepted unnoticed; the
            // engine's next report decides.
            leadership
                .engine_states
                .borrow_mut()
                .entry(upstream.life.clone())
                .or_default()
                .orders = None;
        }
        Ok(outcome) => return End::Failed(format!("{outcome:?}")),
        // The order may have been accepted although no answer came.
        Err(_) => {
            leadership
                .engine_states
                .borrow_mut()
                .entry(upstream.life.clone())
                .or_default()
                .orders = None;
            client = HttpClient::new(addr);
        }
    }
    let accepted =
        matches!(reply.map(|r| OrderOutcome::from(r.status)), Ok(OrderOutcome::Accepted));
    wait_until_changed(leadership, upstream, weights, &mut client, accepted).await
}

/// Fetches an engine's report and counts the call.
async fn fetch_report(
    leadership: &Leadership,
    client: &mut HttpClient,
    upstream: &Upstream,
) -> Result<Report, String> {
    let permit = leadership.call_slot().await;
    let report = reports::query(client, upstream).await;
    drop(permit);
    leadership.site.traffic.call(client.take_bytes(), report.is_ok());
    if let Some(state) = leadership.engine_states.borrow_mut().get_mut(&upstream.life) {
        state.unreachable_since = match report {
            Ok(_) => None,
            Err(_) => state.unreachable_since.or(Some(leadership.site.now())),
        };
    }
    report
}

/// Waits until the engine reports `weights`.
async fn wait_until_changed(
    leadership: &Leadership,
    upstream: &Rc<Upstream>,
    weights: &Weights,
    client: &mut HttpClient,
    accepted: bool,
) -> End {
    let begun = leadership.site.now();
    // An order that got no answer has most likely not arrived, so the engine is
    // polled earlier.
    let mut pause = if accepted { FIRST_POLL_DELAY } else { MIN_POLL_INTERVAL };
    let mut idle = 0;
    loop {
        tokio::time::sleep(pause).await;
        pause = if accepted { leadership.poll_interval() } else { MIN_POLL_INTERVAL };
        let now = leadership.site.now();
        if leadership.token().is_none() && now - begun > FORMER_LEADER_TIMEOUT {
            return End::Unknown("no longer leader".into());
        }
        // Announced again for hosts that did not receive the previous
        // announcement.
        notices::close(&leadership.site, std::slice::from_ref(upstream), weights);
        if upstream.weights(&weights.model) >= Some(weights.version) {
            return End::Changed;
        }
        match fetch_report(leadership, client, upstream).await {
            Ok(report) if has_weights(&report, weights) => return End::Changed,
            Ok(report) if report.busy => idle = 0,
            Ok(_) if !accepted && idle >= 1 => return End::Failed("order not accepted".into()),
            Ok(_) => idle += 1,
            Err(why) if now - begun > CHANGE_TIMEOUT / 2 => return End::Unknown(why),
            Err(_) => {}
        }
        if now - begun > CHANGE_TIMEOUT {
            return End::Unknown("engine did not change in time".into());
        }
    }
}

fn has_weights(report: &Report, weights: &Weights) -> bool {
    report.weights.iter().any(|w| w.model == weights.model && w.version >= weights.version)
}
