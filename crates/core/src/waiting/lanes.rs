//! Requests that wait, grouped such that only the ends of each group have to be compared.
//!
//! Requests of one class have the same urgency and target; a lane holds those of one workspace, in order
//! of arrival. Ageing never changes the order within a lane, so it needs no updates as time passes.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use super::shares::{Accounts, Shares};
use super::{Level, Request, Ticket, Urgency};

/// Place of a request in its lane.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Place {
    pub(super) arrived: Duration,
    /// Number of the request, which orders those that arrive at the same time.
    pub(super) number: u64,
    pub(super) ticket: Ticket,
}

#[derive(Debug)]
struct Lane {
    workspace: u64,
    places: VecDeque<Place>,
    /// Sum of the costs of all requests.
    cost: u64,
    /// Cost of the last request.
    last_cost: u64,
}

impl Lane {
    fn head(&self) -> Place {
        self.places[0]
    }

    fn tail(&self) -> Place {
        self.places[self.places.len() - 1]
    }

    /// Start tag of the last request, after all others of its lane.
    fn tail_start(&self, accounts: &Accounts) -> u64 {
        accounts.start(self.workspace).saturating_add(self.cost - self.last_cost)
    }
}

#[derive(Debug)]
struct Class {
    urgency: Urgency,
    target: Duration,
    lanes: Vec<Lane>,
    index: HashMap<u64, usize>,
}

impl Class {
    fn quarter(&self) -> Duration {
        (self.target / 4).max(Duration::from_nanos(1))
    }

    fn level(&self, arrived: Duration, now: Duration) -> Level {
        let quarters = now.saturating_sub(arrived).as_nanos() / self.quarter().as_nanos();
        self.urgency.level(quarters.min(self.urgency.max_steps().into()) as u32)
    }

    /// The level of its most urgent request.
    fn best(&self, now: Duration) -> Option<Level> {
        self.lanes.iter().map(|l| l.head().arrived).min().map(|oldest| self.level(oldest, now))
    }

    /// The level of its least urgent request.
    fn worst(&self, now: Duration) -> Option<Level> {
        self.lanes.iter().map(|l| l.tail().arrived).max().map(|newest| self.level(newest, now))
    }

    /// A test for arrivals whose requests have reached `level` at `now`, if any can.
    fn reached(&self, level: Level, now: Duration) -> Option<impl Fn(Duration) -> bool + use<>> {
        let steps = self.urgency.steps_until(level)?;
        let latest = now.checked_sub(self.quarter() * steps);
        Some(move |arrived| steps == 0 || latest.is_some_and(|latest| arrived <= latest))
    }
}

/// All requests that wait.
#[derive(Debug, Default)]
pub(super) struct Lanes {
    classes: Vec<Class>,
}

impl Lanes {
    fn class(&self, request: &Request) -> Option<usize> {
        let matches = |c: &Class| c.urgency == request.urgency && c.target == request.target;
        self.classes.iter().position(matches)
    }

    pub(super) fn insert(&mut self, request: &Request, place: Place) {
        let class = self.class(request).unwrap_or_else(|| {
            let (urgency, target) = (request.urgency, request.target);
            self.classes.push(Class { urgency, target, lanes: Vec::new(), index: HashMap::new() });
            self.classes.len() - 1
        });
        let Class { lanes, index, .. } = &mut self.classes[class];
        let lane = *index.entry(request.workspace).or_insert_with(|| {
            let (workspace, places) = (request.workspace, VecDeque::new());
            lanes.push(Lane { workspace, places, cost: 0, last_cost: 0 });
            lanes.len() - 1
        });
        let lane = &mut lanes[lane];
        let at = lane.places.partition_point(|p| *p < place);
        if at == lane.places.len() {
            lane.last_cost = request.cost;
        }
        lane.places.insert(at, place);
        lane.cost += request.cost;
    }

    /// Removes the request at `place`; `cost` gives the cost of the request that becomes the last one.
    pub(super) fn remove(
        &mut self,
        request: &Request,
        place: Place,
        cost: impl Fn(Ticket) -> u64,
    ) -> Option<()> {
        let number = self.class(request)?;
        let class = &mut self.classes[number];
        let slot = *class.index.get(&request.workspace)?;
        let lane = &mut class.lanes[slot];
        let at = lane.places.binary_search(&place).ok()?;
        lane.places.remove(at);
        lane.cost -= request.cost;
        if let Some(tail) = lane.places.back() {
            lane.last_cost = cost(tail.ticket);
            return Some(());
        }
        class.lanes.swap_remove(slot);
        class.index.remove(&request.workspace);
        if let Some(moved) = class.lanes.get(slot) {
            class.index.insert(moved.workspace, slot);
        }
        if class.lanes.is_empty() {
            self.classes.swap_remove(number);
        }
        Some(())
    }

    /// The most urgent level that any request has at `now`.
    pub(super) fn best(&self, now: Duration) -> Option<Level> {
        self.classes.iter().filter_map(|c| c.best(now)).min()
    }

    /// The level of `request` at `now`.
    pub(super) fn level(&self, request: &Request, now: Duration) -> Option<Level> {
        self.class(request).map(|class| self.classes[class].level(request.arrived, now))
    }

    /// The first request in order.
    pub(super) fn first(&self, shares: &Shares, now: Duration) -> Option<Ticket> {
        let best = self.best(now)?;
        let accounts = shares.level(best);
        let heads = self.classes.iter().filter_map(|c| Some((c, c.reached(best, now)?)));
        let heads = heads.flat_map(|(class, reached)| {
            class.lanes.iter().filter(move |l| reached(l.head().arrived))
        });
        let key = |lane: &Lane| (accounts.start(lane.workspace), lane.head());
        heads.map(key).min().map(|(_, head)| head.ticket)
    }

    /// The last request in order.
    pub(super) fn last(&self, shares: &Shares, now: Duration) -> Option<Ticket> {
        let worst = self.classes.iter().filter_map(|c| c.worst(now)).max()?;
        let accounts = shares.level(worst);
        let tails = self.classes.iter().flat_map(|c| c.lanes.iter().map(move |l| (c, l)));
        let tails = tails.filter(|(c, l)| c.level(l.tail().arrived, now) == worst);
        let key = |(_, lane): (&Class, &Lane)| (lane.tail_start(accounts), lane.tail());
        tails.map(key).max().map(|(_, tail)| tail.ticket)
    }

    /// Number of requests that have reached `level` at `now`.
    pub(super) fn count(&self, level: Level, now: Duration) -> usize {
        let classes = self.classes.iter().filter_map(|c| Some((c, c.reached(level, now)?)));
        let counts = classes.flat_map(|(class, reached)| {
            let count = move |l: &Lane| l.places.partition_point(|p| reached(p.arrived));
            class.lanes.iter().map(count)
        });
        counts.sum()
    }

    /// The target of the request that has waited longest.
    pub(super) fn oldest_target(&self) -> Option<Duration> {
        let heads = self.classes.iter().flat_map(|c| c.lanes.iter().map(move |l| (c, l)));
        heads.min_by_key(|(_, l)| l.head()).map(|(c, _)| c.target)
    }
}
