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
    fn level(&self) -> Level {
        level(self.priorities)
    }

    fn is_same_lane(&self, other: &Self) -> bool {
        self.level() == other.level() && self.request.workspace == other.request.workspace
    }
}

fn level((workspace, route): Priorities) -> Level {
    workspace.map_or((route, 0), |workspace| (workspace, route))
}

#[derive(Debug, Default)]
pub struct Reference {
    pub waiting: Vec<Waiting>,
    virtual_times: HashMap<Level, u64>,
    finishes: HashMap<(Level, u64), u64>,
    /// Levels of the requests that left since the last reserved turn, while several levels waited.
    since_turn: Vec<Level>,
    last_turn: Option<Level>,
}

impl Reference {
    fn start(&self, level: Level, workspace: u64) -> u64 {
        let finish = self.finishes.get(&(level, workspace)).copied().unwrap_or(0);
        finish.max(self.virtual_times.get(&level).copied().unwrap_or(0))
    }

    fn key(&self, waiting: &Waiting) -> Key {
        let place = |w: &Waiting| (w.request.arrived, w.number);
        let ahead = self.waiting.iter().filter(|w| w.is_same_lane(waiting));
        let ahead = ahead.filter(|w| place(w) < place(waiting)).map(|w| w.request.cost);
        let start = self.start(waiting.level(), waiting.request.workspace) + ahead.sum::<u64>();
        (waiting.level(), start, waiting.request.arrived, waiting.number)
    }

    /// Levels and tickets in strict order.
    fn order(&self) -> Vec<(Level, Ticket)> {
        let mut order: Vec<_> = self.waiting.iter().map(|w| (self.key(w), w.ticket)).collect();
        order.sort();
        order.into_iter().map(|(key, ticket)| (key.0, ticket)).collect()
    }

    /// The level with the next reserved turn: the levels below the first, rotated to start after
    /// the one that had the last turn.
    fn turn(&self) -> Option<Level> {
        let mut levels: Vec<_> = self.order().into_iter().map(|(level, _)| level).collect();
        levels.dedup();
        let mut lower = levels.into_iter().skip(1).collect::<Vec<_>>();
        lower.sort_by_key(|level| (self.last_turn.is_some_and(|last| *level <= last), *level));
        lower.first().copied()
    }

    pub fn first(&self) -> Option<Ticket> {
        let order = self.order();
        match self.turn() {
            Some(turn) if self.since_turn.len() >= 9 => order.iter().find(|(l, _)| *l == turn),
            _ => order.first(),
        }
        .map(|(_, ticket)| *ticket)
    }

    /// The request that is evicted: the last in order that is not the only one of its level, or the
    /// last if each level has one.
    pub fn last(&self) -> Option<Ticket> {
        let order = self.order();
        let is_only = |level: Level| order.iter().filter(|(l, _)| *l == level).count() == 1;
        let last = order.iter().rfind(|(level, _)| !is_only(*level)).or(order.last());
        last.map(|(_, ticket)| *ticket)
    }

    pub fn remove(&mut self, ticket: Ticket) {
        self.waiting.retain(|w| w.ticket != ticket);
    }

    pub fn sent(&mut self, ticket: Ticket) {
        let Some(waiting) = self.waiting.iter().find(|w| w.ticket == ticket).copied() else {
            return;
        };
        let level = waiting.level();
        match self.turn() {
            Some(turn) if turn == level => {
                self.last_turn = Some(turn);
                self.since_turn.clear();
            }
            Some(_) => self.since_turn.push(level),
            None => {}
        }
        let first = self.order().into_iter().find(|(l, _)| *l == level);
        let in_order = first == Some((level, ticket));
        self.charge(level, waiting.request.workspace, waiting.request.cost, in_order);
        self.remove(ticket);
    }

    pub fn note_sent(&mut self, priorities: Priorities, of: u64, cost: u64) {
        self.charge(level(priorities), of, cost, true);
    }

    fn charge(&mut self, level: Level, workspace: u64, cost: u64, in_order: bool) {
        let start = self.start(level, workspace);
        self.finishes.insert((level, workspace), start + cost);
        if in_order {
            self.virtual_times.insert(level, start);
        }
    }

    /// Whether requests wait at the level that a new one has, or at a more urgent one.
    pub fn must_join(&self, priorities: Priorities) -> bool {
        self.waiting.iter().any(|w| w.level() <= level(priorities))
    }

    pub fn expired(&self, now: Duration) -> Vec<Ticket> {
        let late = |w: &&Waiting| now + w.request.service > w.request.expires;
        self.waiting.iter().filter(late).map(|w| w.ticket).collect()
    }
}
