//! Leadership of weights rollouts: one host at a time orders engines to change to
//! new weights.
//!
//! The leader is the member of a candidate group in the platform's store to which
//! the store assigns the group's only partition. The store decides, keeps the
//! lease and numbers each reassignment; that number is the fencing token. When a
//! host that was assigned leadership may send orders is decided by
//! [`marjoram_core::leadership`]. Each order names the incarnation of the engine and
//! the number of orders that it has accepted, so an order that arrives late has
//! no effect.

mod change;
pub mod handover;
mod membership;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use marjoram_core::candidacy::{self, UnreachableEngine};
use marjoram_core::era::Token;
use marjoram_core::leadership::{LeaderTerm, LeadershipChange, ORDER_MARGIN};
use marjoram_core::pace::{self, CallLimiter};
use marjoram_core::rollout::{self, AnnouncedVersions};
use marjoram_core::upstream::{Instance, Weights};
use marjoram_platform::store;
use tokio::sync::{Notify, Semaphore, SemaphorePermit};

use super::fleet::Upstream;
use super::notices;
use super::site::Site;
use super::storeclient::HttpClient;
use crate::clock;
use membership::JOIN_TIMEOUT;

/// The candidate group in the store, and the topic whose partition is assigned to
/// the leader.
const GROUP: &str = "marjoram";
const TOPIC: &str = "marjoram-duty";

/// The lease to request, unless the store's minimum is longer. A leader that has
/// failed is replaced after it expires.
const LEASE: Duration = Duration::from_millis(2_700);

/// Longest and shortest time between two checks for due changes.
const MAX_INTERVAL: Duration = Duration::from_millis(500);
const MIN_INTERVAL: Duration = Duration::from_millis(50);

/// Time between two checks of the leader's traffic and of engines that it cannot
/// reach.
const WATCH_INTERVAL: Duration = Duration::from_secs(1);

/// Heartbeat rounds for which another host's unreachable report for an engine
/// counts.
const UNREACHABLE_REPORT_ROUNDS: u32 = 2;

/// Time between two polls of the engines that a former leader ordered to change,
/// by a new leader that may not order yet. Each poll costs a call to each of
/// these engines.
const TAKE_OVER_INTERVAL: Duration = Duration::from_millis(700);

/// What the leader knows about one engine.
#[derive(Debug, Clone, Default)]
struct EngineState {
    /// Number of orders that the engine has accepted.
    orders: Option<u64>,
    /// The version to which it is changing.
    changing: Option<u64>,
    /// No order is sent to it before this time.
    retry_at: Option<Duration>,
    /// Consecutive failed attempts.
    failures: u32,
    /// Since when it has not answered.
    unreachable_since: Option<Duration>,
}

/// This host's leadership term, and what it knows about the engines.
pub struct Leadership {
    site: Rc<Site>,
    /// This host's leadership term, on the clock of [`clock::now`].
    leader_term: RefCell<LeaderTerm>,
    /// Set once the host has left the group for good, when the process stops.
    released: Cell<bool>,
    engine_states: RefCell<HashMap<Instance, EngineState>>,
    /// Limits concurrent calls to engines.
    call_limit: Semaphore,
    /// Decides when the next call may begin.
    call_pacing: Cell<CallLimiter>,
    /// Set when this host is to leave the group for a while, so that another
    /// becomes leader.
    hand_over_requested: Cell<bool>,
    /// Set while the engines that a former leader ordered to change are being
    /// polled.
    takeover_running: Cell<bool>,
    /// Notified when the time of the next renewal has changed.
    renewal_due: Notify,
}

/// Starts the tasks that keep this host a candidate and run rollouts while it is
/// leader.
pub fn start(site: &Rc<Site>) -> Rc<Leadership> {
    let leadership = Rc::new(Leadership {
        site: site.clone(),
        leader_term: RefCell::new(LeaderTerm::new(lease(site))),
        released: Cell::default(),
        engine_states: RefCell::default(),
        call_limit: Semaphore::new(pace::MAX_CONCURRENT_CALLS),
        call_pacing: Cell::default(),
        hand_over_requested: Cell::default(),
        takeover_running: Cell::default(),
        renewal_due: Notify::new(),
    });
    ntex::rt::spawn(membership::run(leadership.clone()));
    ntex::rt::spawn(run_rollouts(leadership.clone()));
    ntex::rt::spawn(watch(leadership.clone()));
    leadership
}

/// Gives up leadership and candidacy for good; no order is sent after this call.
pub async fn release(leadership: &Leadership) {
    if leadership.released.replace(true) {
        return;
    }
    leave(leadership).await;
}

/// Leaves the group; no order is sent until it is joined again. The wait lets
/// orders in flight arrive before the store can assign leadership to another
/// host.
async fn leave(leadership: &Leadership) {
    let was_leader = leadership.leader_term.borrow().is_held();
    leadership.leader_term.borrow_mut().release();
    leadership.publish_held_token();
    if was_leader {
        tokio::time::sleep(ORDER_MARGIN).await;
    }
    let settings = leadership.site.settings.load_full();
    let leave = store::leave(GROUP, &settings.name);
    let left = HttpClient::new(settings.store.addr).call(&leave, &[], JOIN_TIMEOUT).await;
    tracing::info!(target: "duty", outcome = ?left.map(|r| r.status), "left the candidate group");
}

/// Whether any engine still has to change its weights.
fn is_rollout_pending(site: &Site) -> bool {
    let newest = newest_weights(site);
    engines(site).iter().any(|u| newest.iter().any(|w| is_outdated(u, w)))
}

/// Whether `upstream` serves weights older than `newest` and is not leaving.
fn is_outdated(upstream: &Upstream, newest: &Weights) -> bool {
    let older = upstream.weights(&newest.model).is_some_and(|v| v < newest.version);
    older && !upstream.is_leaving()
}

/// The upstreams whose service the configuration declares as an engine. Entries
/// of other services are left out: any writer could have made them.
fn engines(site: &Site) -> Vec<Rc<Upstream>> {
    let Some(catalog) = site.catalog() else { return Vec::new() };
    let all = site.fleet.all().into_iter();
    all.filter(|u| catalog.engine(&u.entry.borrow().service).is_some()).collect()
}

impl Leadership {
    /// Handles the store's answer to a request sent at `sent_at`. `assigned`: whether
    /// the answer assigned leadership to this host.
    fn handle_assignment(self: &Rc<Self>, assigned: bool, token: Token, sent_at: Duration) {
        let now = clock::now();
        self.yield_to_later_leader();
        let change = self.leader_term.borrow_mut().on_store_answer(
            assigned,
            token,
            sent_at,
            now,
            self.term_gap(),
        );
        self.publish_held_token();
        match change {
            // The wait for the first orders may just have ended.
            LeadershipChange::Unchanged if self.token().is_some() => {
                self.site.rollout_check.notify_one()
            }
            LeadershipChange::Unchanged => {}
            LeadershipChange::Gained { token, since } => {
                let settled_ms = now.saturating_sub(since).as_millis() as u64;
                tracing::info!(target: "duty", token = token.number(), settled_ms,
                    "became leader of weights rollouts");
                self.engine_states.borrow_mut().retain(|_, state| state.changing.is_some());
                ntex::rt::spawn(handover::query_others(self.clone(), token));
                if !self.takeover_running.replace(true) {
                    ntex::rt::spawn(take_over(self.clone()));
                }
            }
            LeadershipChange::Lost { token } => {
                tracing::info!(target: "duty", token = token.number(),
                    "lost leadership of weights rollouts")
            }
        }
    }

    /// The minimum time between the last order of one leader and the first of the
    /// next.
    fn term_gap(&self) -> Duration {
        self.site.settings.load().bounds.min_handover_interval
    }

    /// Ends this host's term if a later leader has asked this host.
    fn yield_to_later_leader(&self) {
        self.leader_term.borrow_mut().yield_to(self.site.handover.later_token.get());
        self.publish_held_token();
    }

    fn publish_held_token(&self) {
        let held = self.leader_term.borrow().held_token();
        self.site.handover.held_token.set(held.map(Token::number));
    }

    /// The fencing token, while this host may send orders.
    fn token(&self) -> Option<Token> {
        self.yield_to_later_leader();
        self.leader_term.borrow().token(clock::now(), self.term_gap())
    }

    /// Waits until a call to an engine may begin. The call counts as in progress
    /// until the returned permit is dropped.
    async fn call_slot(&self) -> Option<SemaphorePermit<'_>> {
        let permit = self.call_limit.acquire().await.ok();
        let mut call_pacing = self.call_pacing.get();
        let wait = call_pacing.wait(self.site.settings.load().capacity.link, self.site.now());
        self.call_pacing.set(call_pacing);
        tokio::time::sleep(wait).await;
        permit
    }

    /// Time between two polls of an engine that is changing.
    fn poll_interval(&self) -> Duration {
        let states = self.engine_states.borrow();
        let changing = states.values().filter(|s| s.changing.is_some()).count();
        self.site.settings.load().capacity.link.poll_interval(changing)
    }

    /// Whether this host may send orders and has some to send. Stopping waits for
    /// this, since the next leader first has to wait for the minimum time between
    /// two leaders' orders.
    pub fn is_busy(&self) -> bool {
        self.token().is_some() && is_rollout_pending(&self.site)
    }
}

/// The lease to request from the store.
fn lease(site: &Site) -> Duration {
    LEASE.max(site.settings.load().store.lease_min)
}

/// Runs rollouts: checks for engines on replaced weights and orders them to
/// change.
async fn run_rollouts(leadership: Rc<Leadership>) {
    loop {
        let _ = tokio::time::timeout(MAX_INTERVAL, leadership.site.rollout_check.notified()).await;
        if leadership.token().is_some() {
            order_due_changes(&leadership);
        }
        tokio::time::sleep(MIN_INTERVAL).await;
    }
}

/// Hands leadership over if this host alone cannot reach some engines.
fn hand_over_if_unreachable(leadership: &Leadership) {
    let (site, mut states) = (&leadership.site, leadership.engine_states.borrow_mut());
    let (now, newest) = (site.now(), newest_weights(site));
    let report_span = site.peers.heartbeat_round() * UNREACHABLE_REPORT_ROUNDS;
    let changing =
        states.values().filter(|s| s.changing.is_some() && s.unreachable_since.is_none()).count();
    let behind = |u: &Rc<Upstream>| newest.iter().any(|w| is_outdated(u, w));
    let due = engines(site).into_iter().filter(behind);
    let unreached = due.filter_map(|upstream| {
        let state = states.get_mut(&upstream.life)?;
        // Engines that other hosts cannot reach either are no reason to hand
        // over: the time for which they count as unreachable starts anew.
        let since = if upstream.was_reported_unreachable(now, report_span) {
            now
        } else {
            state.unreachable_since?
        };
        state.unreachable_since = state.unreachable_since.map(|_| since);
        let used = upstream.remote_load.get().running > 0;
        state
            .unreachable_since
            .map(|since| UnreachableEngine { tried: now.saturating_sub(since), used })
    });
    let has_other_candidates = membership::view(site).candidates() > 0;
    if candidacy::hands_over(unreached, changing, has_other_candidates) {
        leadership.hand_over_requested.set(true);
    }
}

/// Every second while a rollout is pending, logs the leader's traffic and checks
/// for engines that it cannot reach.
async fn watch(leadership: Rc<Leadership>) {
    let site = &leadership.site;
    let mut before = site.traffic.totals();
    loop {
        tokio::time::sleep(WATCH_INTERVAL).await;
        let totals = site.traffic.totals();
        if leadership.leader_term.borrow().is_held() && is_rollout_pending(site) {
            let changing = leadership
                .engine_states
                .borrow()
                .values()
                .filter(|state| state.changing.is_some())
                .count();
            hand_over_if_unreachable(&leadership);
            tracing::info!(target: "duty", orders = leadership.token().is_some(), changing,
                traffic = ?totals.since(before), "leader's traffic in the last second");
        }
        before = totals;
    }
}

fn order_due_changes(leadership: &Rc<Leadership>) {
    let site = &leadership.site;
    for weights in newest_weights(site) {
        let listed: Vec<Rc<Upstream>> = engines(site)
            .into_iter()
            .filter(|u| !u.is_leaving() && u.weights(&weights.model).is_some())
            .collect();
        let states = leadership.engine_states.borrow();
        let engines: Vec<rollout::Engine> = listed
            .iter()
            .map(|u| {
                let state = states.get(&u.life).cloned().unwrap_or_default();
                rollout::Engine {
                    life: u.life.clone(),
                    version: u.weights(&weights.model).unwrap_or_default(),
                    changing: state.changing,
                    pause: state.retry_at,
                    work: u64::from(u.load().running),
                }
            })
            .collect();
        drop(states);
        let due = rollout::next(&engines, weights.version, site.now());
        let due = due.iter().filter_map(|life| listed.iter().find(|u| u.life == *life));
        let due: Vec<Rc<Upstream>> = due.cloned().collect();
        for upstream in due {
            let life = upstream.life.clone();
            leadership.engine_states.borrow_mut().entry(life).or_default().changing =
                Some(weights.version);
            ntex::rt::spawn(change::change(leadership.clone(), upstream, weights.clone()));
        }
    }
}

/// Until this host may send orders itself, keeps announcing as closed those
/// engines that a former leader ordered to change and that are still carrying out
/// the order.
async fn take_over(leadership: Rc<Leadership>) {
    let site = &leadership.site;
    while leadership.leader_term.borrow().is_held() && leadership.token().is_none() {
        for weights in newest_weights(site) {
            let behind = |u: &Rc<Upstream>| {
                u.is_closed(site.now()) && u.weights(&weights.model) < Some(weights.version)
            };
            let closed: Vec<Rc<Upstream>> = engines(site).into_iter().filter(behind).collect();
            let ask = |u: Rc<Upstream>| ntex::rt::spawn(change::is_changing(leadership.clone(), u));
            let answers: Vec<_> = closed.iter().map(|u| ask(u.clone())).collect();
            let mut busy = Vec::new();
            for (upstream, answer) in closed.into_iter().zip(answers) {
                if answer.await.unwrap_or_default() {
                    busy.push(upstream);
                }
            }
            notices::close(site, &busy, &weights);
        }
        tokio::time::sleep(TAKE_OVER_INTERVAL).await;
    }
    leadership.takeover_running.set(false);
}

/// The newest announced weights version of each model.
fn newest_weights(site: &Site) -> Vec<Weights> {
    let announced = site.announced_weights.borrow();
    let newest = |(model, versions): (&String, &AnnouncedVersions)| {
        Some(Weights { model: model.clone(), version: versions.newest()? })
    };
    announced.iter().filter_map(newest).collect()
}
