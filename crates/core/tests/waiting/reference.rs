//! Reference model of the queue: keeps all requests in one list and sorts it whenever it is asked.

use std::collections::HashMap;
use std::time::Duration;

use marjoram_core::waiting::{Request, Ticket};

/// Priorities of a request, as the test states them.
pub type Priorities = (Option<u8>, u8);

type Level = (u8, u8);
type Key = (Level, u64, Duration, usize);

#[derive(Debug, Clone, Copy)]
pub struct Waiting {
    pub ticket: Ticket,
    pub priorities: Priorities,
    pub request: Request,
    pub number: usize,
}

impl Waiting {
    fn level(&self, now: Duration) -> Level {
        let quarter = (self.request.target / 4).as_nanos();
        let steps = now.saturating_sub(self.request.arrived).as_nanos() / quarter;
        let (workspace, route) = self.priorities;
        let route = u128::from(route).saturating_sub(steps) as u8;
        workspace.map_or((route / 3, route % 3), |workspace| (workspace, route))
    }

    fn is_same_lane(&self, other: &Self) -> bool {
        self.priorities == other.priorities
            && self.request.workspace == other.request.workspace
            && self.request.target == other.request.target
    }
}

#[derive(Debug, Default)]
pub struct Reference {
    pub waiting: Vec<Waiting>,
    virtual_times: HashMap<Level, u64>,
    finishes: HashMap<(Level, u64), u64>,
}

impl Reference {
    fn start(&self, level: Level, workspace: u64) -> u64 {
        let finish = self.finishes.get(&(level, workspace)).copied().unwrap_or(0);
        finish.max(self.virtual_times.get(&level).copied().unwrap_or(0))
    }

    fn key(&self, waiting: &Waiting, now: Duration) -> Key {
        let place = |w: &Waiting| (w.request.arrived, w.number);
        let ahead = self.waiting.iter().filter(|w| w.is_same_lane(waiting));
        let ahead = ahead.filter(|w| place(w) < place(waiting)).map(|w| w.request.cost);
        let level = waiting.level(now);
        let start = self.start(level, waiting.request.workspace) + ahead.sum::<u64>();
        (level, start, waiting.request.arrived, waiting.number)
    }

    /// The tickets in order.
    pub fn order(&self, now: Duration) -> Vec<Ticket> {
        let mut order: Vec<_> = self.waiting.iter().map(|w| (self.key(w, now), w.ticket)).collect();
        order.sort();
        order.into_iter().map(|(_, ticket)| ticket).collect()
    }

    pub fn remove(&mut self, ticket: Ticket) {
        self.waiting.retain(|w| w.ticket != ticket);
    }

    pub fn sent(&mut self, ticket: Ticket, now: Duration) {
        let in_order = self.order(now).first() == Some(&ticket);
        let Some(waiting) = self.waiting.iter().find(|w| w.ticket == ticket).copied() else {
            return;
        };
        let level = waiting.level(now);
        self.charge(level, waiting.request.workspace, waiting.request.cost, in_order);
        self.remove(ticket);
    }

    pub fn note_sent(&mut self, (workspace, route): Priorities, of: u64, cost: u64) {
        let level = workspace.map_or((route / 3, route % 3), |workspace| (workspace, route));
        self.charge(level, of, cost, true);
    }

    fn charge(&mut self, level: Level, workspace: u64, cost: u64, in_order: bool) {
        let start = self.start(level, workspace);
        self.finishes.insert((level, workspace), start + cost);
        if in_order {
            self.virtual_times.insert(level, start);
        }
    }

    /// Whether requests wait at the level that a new one has, or at a more urgent one.
    pub fn must_join(&self, (workspace, route): Priorities, now: Duration) -> bool {
        let level = workspace.map_or((route / 3, route % 3), |workspace| (workspace, route));
        self.waiting.iter().any(|w| w.level(now) <= level)
    }

    pub fn expired(&self, now: Duration) -> Vec<Ticket> {
        let late = |w: &&Waiting| now + w.request.service > w.request.expires;
        self.waiting.iter().filter(late).map(|w| w.ticket).collect()
    }
}
