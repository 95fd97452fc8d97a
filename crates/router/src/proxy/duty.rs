//! Leadership of weights rollouts: one host at a time orders engines to change to
//! new weights.
//!
//! The leader is the member of a candidate group in the platform's store to which
//! the store assigns the group's only partition. The store decides, keeps the
//! lease and numbers each reassignment; that number is the fencing token. When a
//! host that was assigned leadership may send orders is decided by
//! [`marjoram_core::tenure`]. Each order names the incarnation of the engine and
//! the number of orders that it has accepted, so an order that arrives late has
//! no effect.

mod change;
mod membership;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use marjoram_core::candidacy::{self, Unreached};
use marjoram_core::era::Token;
use marjoram_core::pace::{self, Calls};
use marjoram_core::rollout::{self, Named};
use marjoram_core::tenure::{Dealt, MARGIN, Tenure};
use marjoram_core::upstream::{Life, Weights};
use marjoram_platform::store;
use tokio::sync::{Semaphore, SemaphorePermit};

use super::fleet::Upstream;
use super::notices;
use super::site::Site;
use super::storeclient::Caller;
use crate::clock;
use membership::JOIN_ANSWER;

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
const DOUBT_ROUNDS: u32 = 2;

/// Time between two polls of the engines that a former leader ordered to change,
/// by a new leader that may not order yet. Each poll costs a call to each of
/// these engines.
const TAKE_OVER_INTERVAL: Duration = Duration::from_millis(700);

/// What the leader knows about one engine.
#[derive(Debug, Clone, Default)]
struct Known {
    /// Number of orders that the engine has accepted.
    orders: Option<u64>,
    /// The version to which it is changing.
    changing: Option<u64>,
    /// No order is sent to it before this time.
    pause: Option<Duration>,
    /// Consecutive failed attempts.
    failures: u32,
    /// Since when it has not answered.
    unreached: Option<Duration>,
}

/// This host's side of the leadership.
pub struct Duty {
    site: Rc<Site>,
    /// This host's leadership term, on the clock of [`clock::now`].
    tenure: RefCell<Tenure>,
    /// Set once the host has left the group for good, when the process stops.
    released: Cell<bool>,
    known: RefCell<HashMap<Life, Known>>,
    /// Limits concurrent calls to engines.
    calls: Semaphore,
    /// Decides when the next call may begin.
    paced: Cell<Calls>,
    /// Set when this host is to leave the group for a while, so that another
    /// becomes leader.
    hands_over: Cell<bool>,
    /// Set while the engines that a former leader ordered to change are being
    /// polled.
    takes_over: Cell<bool>,
}

/// Starts the tasks that keep this host a candidate and run rollouts while it is
/// leader.
pub fn start(site: &Rc<Site>) -> Rc<Duty> {
    let duty = Rc::new(Duty {
        site: site.clone(),
        tenure: RefCell::new(Tenure::new(lease(site))),
        released: Cell::default(),
        known: RefCell::default(),
        calls: Semaphore::new(pace::CALLS),
        paced: Cell::default(),
        hands_over: Cell::default(),
        takes_over: Cell::default(),
    });
    ntex::rt::spawn(membership::stand(duty.clone()));
    ntex::rt::spawn(carry_out(duty.clone()));
    ntex::rt::spawn(watch(duty.clone()));
    duty
}

/// Gives up leadership and candidacy for good; no order is sent after this call.
pub async fn release(duty: &Duty) {
    if duty.released.replace(true) {
        return;
    }
    leave(duty).await;
}

/// Leaves the group; no order is sent until it is joined again. The wait lets
/// orders in flight arrive before the store can assign leadership to another
/// host.
async fn leave(duty: &Duty) {
    let held = duty.tenure.borrow().is_held();
    duty.tenure.borrow_mut().release();
    if held {
        tokio::time::sleep(MARGIN).await;
    }
    let settings = duty.site.settings.load_full();
    let leave = store::leave(GROUP, &settings.name);
    let left = Caller::new(settings.store.addr).call(&leave, &[], JOIN_ANSWER).await;
    tracing::info!(target: "duty", outcome = ?left.map(|r| r.status), "left the candidate group");
}

/// Whether any engine still has to change its weights.
fn is_pending(site: &Site) -> bool {
    let named = newest(site);
    engines(site).iter().any(|u| named.iter().any(|w| is_behind(u, w)))
}

/// Whether `upstream` serves weights older than `newest` and is not leaving.
fn is_behind(upstream: &Upstream, newest: &Weights) -> bool {
    let older = upstream.weights(&newest.model).is_some_and(|v| v < newest.version);
    older && !upstream.entry.borrow().leaving
}

/// The upstreams whose service the configuration declares as an engine. Entries
/// of other services are left out: any writer could have made them.
fn engines(site: &Site) -> Vec<Rc<Upstream>> {
    let Some(catalog) = site.catalog() else { return Vec::new() };
    let all = site.fleet.all().into_iter();
    all.filter(|u| catalog.engine(&u.entry.borrow().service).is_some()).collect()
}

impl Duty {
    /// Handles the store's answer to a request sent at `asked`: whether it
    /// assigned leadership to this host.
    fn dealt(self: &Rc<Self>, held: bool, token: Token, asked: Duration) {
        let now = clock::now();
        match self.tenure.borrow_mut().dealt(held, token, asked, now, self.turns()) {
            Dealt::Unchanged => {}
            Dealt::Taken { token, since } => {
                let settled_ms = now.saturating_sub(since).as_millis() as u64;
                tracing::info!(target: "duty", token = token.number(), settled_ms,
                    "became leader of weights rollouts");
                self.known.borrow_mut().retain(|_, known| known.changing.is_some());
                if !self.takes_over.replace(true) {
                    ntex::rt::spawn(take_over(self.clone()));
                }
            }
            Dealt::Lost { token } => {
                tracing::info!(target: "duty", token = token.number(),
                    "lost leadership of weights rollouts")
            }
        }
    }

    /// The minimum time between the last order of one leader and the first of the
    /// next.
    fn turns(&self) -> Duration {
        self.site.settings.load().bounds.lease
    }

    /// The fencing token, while this host may send orders.
    fn token(&self) -> Option<Token> {
        self.tenure.borrow().token(clock::now(), self.turns())
    }

    /// Waits until a call to an engine may begin. The call counts as in progress
    /// until the returned permit is dropped.
    async fn call_slot(&self) -> Option<SemaphorePermit<'_>> {
        let permit = self.calls.acquire().await.ok();
        let mut paced = self.paced.get();
        let wait = paced.wait(self.site.settings.load().capacity.link, self.site.now());
        self.paced.set(paced);
        tokio::time::sleep(wait).await;
        permit
    }

    /// Time between two polls of an engine that is changing.
    fn question_pause(&self) -> Duration {
        let known = self.known.borrow();
        let changing = known.values().filter(|k| k.changing.is_some()).count();
        self.site.settings.load().capacity.link.question_pause(changing)
    }

    /// Whether this host may send orders and has some to send. Stopping waits for
    /// this, since the next leader first has to wait out the bound between two
    /// leaders' orders.
    pub fn is_busy(&self) -> bool {
        self.token().is_some() && is_pending(&self.site)
    }
}

/// The lease to request from the store.
fn lease(site: &Site) -> Duration {
    LEASE.max(site.settings.load().store.lease_min)
}

/// Runs rollouts: checks for engines on replaced weights and orders them to
/// change.
async fn carry_out(duty: Rc<Duty>) {
    loop {
        let _ = tokio::time::timeout(MAX_INTERVAL, duty.site.duty.notified()).await;
        if duty.token().is_some() {
            look(&duty);
        }
        tokio::time::sleep(MIN_INTERVAL).await;
    }
}

/// Hands leadership over if this host alone cannot reach some engines.
fn look_for_unreached(duty: &Duty) {
    let (site, mut known) = (&duty.site, duty.known.borrow_mut());
    let (now, named) = (site.now(), newest(site));
    let heard = site.peers.round() * DOUBT_ROUNDS;
    let changing = known.values().filter(|k| k.changing.is_some() && k.unreached.is_none()).count();
    let behind = |u: &Rc<Upstream>| named.iter().any(|w| is_behind(u, w));
    let due = engines(site).into_iter().filter(behind);
    let unreached = due.filter_map(|upstream| {
        let known = known.get_mut(&upstream.life)?;
        // Engines that other hosts cannot reach either are no reason to hand
        // over: their time starts anew.
        let since = if upstream.was_doubted(now, heard) { now } else { known.unreached? };
        known.unreached = known.unreached.map(|_| since);
        let used = upstream.others.get().running > 0;
        known.unreached.map(|since| Unreached { tried: now.saturating_sub(since), used })
    });
    let stands = membership::view(site).standing() > 0;
    if candidacy::hands_over(unreached, changing, stands) {
        duty.hands_over.set(true);
    }
}

/// Every second while a rollout is pending, logs the leader's traffic and checks
/// for engines that it cannot reach.
async fn watch(duty: Rc<Duty>) {
    let site = &duty.site;
    let mut before = site.traffic.totals();
    loop {
        tokio::time::sleep(WATCH_INTERVAL).await;
        let totals = site.traffic.totals();
        if duty.tenure.borrow().is_held() && is_pending(site) {
            let changing =
                duty.known.borrow().values().filter(|known| known.changing.is_some()).count();
            look_for_unreached(&duty);
            tracing::info!(target: "duty", orders = duty.token().is_some(), changing,
                traffic = ?totals.since(before), "leader's traffic in the last second");
        }
        before = totals;
    }
}

fn look(duty: &Rc<Duty>) {
    let site = &duty.site;
    for weights in newest(site) {
        let listed: Vec<Rc<Upstream>> = engines(site)
            .into_iter()
            .filter(|u| !u.entry.borrow().leaving && u.weights(&weights.model).is_some())
            .collect();
        let known = duty.known.borrow();
        let engines: Vec<rollout::Engine> = listed
            .iter()
            .map(|u| {
                let state = known.get(&u.life).cloned().unwrap_or_default();
                rollout::Engine {
                    life: u.life.clone(),
                    version: u.weights(&weights.model).unwrap_or_default(),
                    changing: state.changing,
                    pause: state.pause,
                    work: u64::from(u.load().running),
                }
            })
            .collect();
        drop(known);
        let due = rollout::next(&engines, weights.version, site.now());
        let due = due.iter().filter_map(|life| listed.iter().find(|u| u.life == *life));
        let due: Vec<Rc<Upstream>> = due.cloned().collect();
        for upstream in due {
            let life = upstream.life.clone();
            duty.known.borrow_mut().entry(life).or_default().changing = Some(weights.version);
            ntex::rt::spawn(change::change(duty.clone(), upstream, weights.clone()));
        }
    }
}

/// Until this host may send orders itself, keeps announcing as closed those
/// engines that a former leader ordered to change and that are still carrying out
/// the order.
async fn take_over(duty: Rc<Duty>) {
    let site = &duty.site;
    while duty.tenure.borrow().is_held() && duty.token().is_none() {
        for weights in newest(site) {
            let behind = |u: &Rc<Upstream>| {
                u.is_closed(site.now()) && u.weights(&weights.model) < Some(weights.version)
            };
            let closed: Vec<Rc<Upstream>> = engines(site).into_iter().filter(behind).collect();
            let ask = |u: Rc<Upstream>| ntex::rt::spawn(change::is_busy(duty.clone(), u));
            let asked: Vec<_> = closed.iter().map(|u| ask(u.clone())).collect();
            let mut busy = Vec::new();
            for (upstream, asked) in closed.into_iter().zip(asked) {
                if asked.await.unwrap_or_default() {
                    busy.push(upstream);
                }
            }
            notices::close(site, &busy, &weights);
        }
        tokio::time::sleep(TAKE_OVER_INTERVAL).await;
    }
    duty.takes_over.set(false);
}

/// The newest announced weights version of each model.
fn newest(site: &Site) -> Vec<Weights> {
    let named = site.named.borrow();
    let newest = |(model, named): (&String, &Named)| {
        Some(Weights { model: model.clone(), version: named.newest()? })
    };
    named.iter().filter_map(newest).collect()
}
