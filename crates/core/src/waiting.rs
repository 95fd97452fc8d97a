//! Requests that wait on one host for an engine of a coordinated service.
//!
//! They leave in the order of urgency, then of the fair shares of their workspaces, then of
//! arrival. A tenth of the departures is reserved for the less urgent levels, so none of them
//! starves.

mod departures;
mod level;
mod shares;
mod urgency;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use slotmap::{SlotMap, new_key_type};

use departures::Departures;
use level::{Level, Place};
pub use urgency::Urgency;

/// Shortest time after which refused callers may return: sooner, hardly a request would have left.
const MIN_RETRY: Duration = Duration::from_millis(100);

/// The time after which refused callers may return while no departures are known. With 150 ms, up
/// to 256 of 500 callers returned within 40 ms, as jitter grows with this time.
const DEFAULT_RETRY: Duration = Duration::from_millis(200);

/// Of this many requests that leave while more than one level waits, one is of a less urgent level.
/// The most urgent level keeps nine tenths of the capacity.
const RESERVED_EVERY: usize = 10;

new_key_type! {
    /// Key of a waiting request.
    pub struct Ticket;
}

/// A request that waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Request {
    /// Priorities of its workspace and route.
    pub urgency: Urgency,
    /// Hash of its workspace's name.
    pub workspace: u64,
    /// Tokens of its prompt; 0 counts as 1.
    pub cost: u64,
    /// When it arrived.
    pub arrived: Duration,
    /// When its caller's time is over.
    pub expires: Duration,
    /// The shortest time in which it can be answered.
    pub service: Duration,
}

/// Result of adding a request to a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pushed {
    /// Ticket of the new request.
    pub ticket: Ticket,
    /// Ticket of the request that was removed because the queue was full. It may be the new one.
    pub evicted: Option<Ticket>,
}

#[derive(Debug)]
struct Entry {
    request: Request,
    number: u64,
}

impl Entry {
    fn place(&self, ticket: Ticket) -> Place {
        let Request { arrived, cost, .. } = self.request;
        Place { arrived, number: self.number, ticket, cost }
    }

    /// The last moment at which there is time enough to answer it.
    fn latest(&self) -> Duration {
        self.request.expires.saturating_sub(self.request.service)
    }
}

/// The requests that wait on one host for an engine of one service.
///
/// ```
/// use std::time::Duration;
/// use marjoram_core::waiting::{Queue, Request, Urgency};
/// let ms = Duration::from_millis;
/// let request = |route, arrived| Request {
///     urgency: Urgency::new(Some(1), route),
///     workspace: 7,
///     cost: 400,
///     arrived,
///     expires: arrived + ms(4_000),
///     service: ms(20),
/// };
/// let mut queue = Queue::new(256);
/// let slow = queue.push(request(1, ms(0)), ms(0)).ticket;
/// for _ in 0..9 {
///     let urgent = queue.push(request(0, ms(100)), ms(100)).ticket;
///     assert_eq!(queue.first(), Some(urgent));
///     queue.sent(urgent, ms(100));
/// }
/// queue.push(request(0, ms(100)), ms(100));
/// // Every tenth request that leaves is a less urgent one.
/// assert_eq!(queue.first(), Some(slow));
/// queue.sent(slow, ms(200));
/// assert_eq!(queue.len(), 1);
/// ```
#[derive(Debug)]
pub struct Queue {
    capacity: usize,
    entries: SlotMap<Ticket, Entry>,
    /// Levels stay when they become empty, as their accounts are still needed.
    levels: BTreeMap<Urgency, Level>,
    /// Requests that have left since the last one on a reserved turn, while more than one level
    /// waited.
    since_turn: usize,
    /// The level that had the last reserved turn.
    last_turn: Option<Urgency>,
    departures: Departures,
    /// Requests by the last moment at which they can be sent.
    latest: BTreeSet<(Duration, Ticket)>,
    next_number: u64,
}

impl Queue {
    /// Creates an empty queue for at most `capacity` requests.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            entries: SlotMap::with_key(),
            levels: BTreeMap::new(),
            since_turn: 0,
            last_turn: None,
            departures: Departures::default(),
            latest: BTreeSet::new(),
            next_number: 0,
        }
    }

    /// Adds a request. If the queue is over its capacity, the last request in order of urgency is
    /// removed, but never the only one of its level while another level has several.
    pub fn push(&mut self, request: Request, now: Duration) -> Pushed {
        let request = Request { cost: request.cost.max(1), ..request };
        let entry = Entry { request, number: self.next_number };
        self.next_number += 1;
        let latest = entry.latest();
        let ticket = self.entries.insert(entry);
        self.latest.insert((latest, ticket));
        let place = self.entries[ticket].place(ticket);
        self.levels.entry(request.urgency).or_default().insert(request.workspace, place);
        self.departures.waiting(now);
        let is_over = self.entries.len() > self.capacity;
        let evicted = is_over.then(|| self.last()).flatten();
        if let Some(evicted) = evicted {
            self.take(evicted, Some(now));
        }
        Pushed { ticket, evicted }
    }

    /// The request to try next. It stays the same until a request is added or leaves.
    pub fn first(&self) -> Option<Ticket> {
        let reserved = self.turn().filter(|_| self.since_turn + 1 >= RESERVED_EVERY);
        let level = reserved.or_else(|| self.waiting().next().map(|(urgency, _)| urgency))?;
        self.levels[&level].first()
    }

    /// Removes a request that is not sent: its caller has left, or it is refused.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Request> {
        self.take(ticket, None)
    }

    /// Removes a request that is sent, and charges its cost to its workspace.
    pub fn sent(&mut self, ticket: Ticket, now: Duration) -> Option<Request> {
        let request = *self.get(ticket)?;
        // Requests may be sent out of order. Only those of the level whose turn it is use up the
        // turn; otherwise frequent ones of another level would postpone it again and again.
        match self.turn() {
            Some(turn) if turn == request.urgency => {
                self.since_turn = 0;
                self.last_turn = Some(turn);
            }
            Some(_) => self.since_turn += 1,
            None => {}
        }
        let level = self.levels.get_mut(&request.urgency)?;
        let in_order = level.first() == Some(ticket);
        level.accounts.charge(request.workspace, request.cost, in_order);
        self.departures.sent(now);
        self.take(ticket, Some(now))
    }

    /// Charges a request that was sent without waiting to its workspace, among requests of
    /// `urgency`.
    ///
    /// Such requests are sent only if [`must_join`](Self::must_join) is false, so no request of
    /// this urgency waits and the shares advance as if it had been the first in order.
    pub fn note_sent(&mut self, urgency: Urgency, workspace: u64, cost: u64) {
        let level = self.levels.entry(urgency).or_default();
        level.accounts.charge(workspace, cost.max(1), true);
    }

    /// Whether a new request of `urgency` has to wait because others of the same or a higher
    /// urgency wait already.
    pub fn must_join(&self, urgency: Urgency) -> bool {
        self.waiting().next().is_some_and(|(best, _)| best <= urgency)
    }

    /// The requests that have less time left than answering them takes, the earliest first.
    pub fn expired(&self, now: Duration) -> Vec<Ticket> {
        let due = self.latest.iter().take_while(|(latest, _)| *latest <= now);
        let is_late = |ticket: &Ticket| {
            let request = &self.entries[*ticket].request;
            now + request.service > request.expires
        };
        due.map(|(_, ticket)| *ticket).filter(is_late).collect()
    }

    /// The time in which the requests ahead of a new one of `urgency` are expected to leave;
    /// `None` if no recent departures are known.
    pub fn expected_wait(&self, urgency: Urgency, now: Duration) -> Option<Duration> {
        self.departures.time_for(self.ahead(urgency), now)
    }

    /// The time after which a refused caller should return, without jitter: the time in which the
    /// requests ahead of a new one of `urgency` are expected to leave, at most a third of the
    /// caller's remaining time `left`, but never less than 100 ms.
    ///
    /// Ahead are the requests of the same or a higher urgency, but no more than leave until the
    /// reserved turns reach the new one.
    pub fn retry_after(&self, urgency: Urgency, left: Duration, now: Duration) -> Duration {
        let wait = self.expected_wait(urgency, now).unwrap_or(DEFAULT_RETRY);
        wait.min(left / 3).max(MIN_RETRY)
    }

    /// Number of requests that leave before a new one of `urgency`.
    fn ahead(&self, urgency: Urgency) -> usize {
        let ahead: usize = self.levels.range(..=urgency).map(|(_, level)| level.len()).sum();
        let same = self.levels.get(&urgency).map_or(0, Level::len);
        let others = self.waiting().skip(1).filter(|(other, _)| *other != urgency).count();
        let by_turns = RESERVED_EVERY * (others + 1) * (same + 1) - 1;
        // The most urgent level has no reserved turns.
        let has_turns = self.waiting().next().is_some_and(|(best, _)| best < urgency);
        if has_turns { ahead.min(by_turns) } else { ahead }
    }

    /// Number of requests that wait.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The request with this ticket, if it still waits.
    pub fn get(&self, ticket: Ticket) -> Option<&Request> {
        self.entries.get(ticket).map(|e| &e.request)
    }

    /// The levels at which requests wait, the most urgent first.
    fn waiting(&self) -> impl Iterator<Item = (Urgency, &Level)> {
        self.levels.iter().map(|(u, level)| (*u, level)).filter(|(_, level)| level.len() > 0)
    }

    /// The level that has the next reserved turn: those below the most urgent one take turns.
    fn turn(&self) -> Option<Urgency> {
        let lower = || self.waiting().map(|(urgency, _)| urgency).skip(1);
        lower().find(|urgency| Some(*urgency) > self.last_turn).or_else(|| lower().next())
    }

    /// The request to evict.
    fn last(&self) -> Option<Ticket> {
        let several = self.waiting().filter(|(_, level)| level.len() > 1).last();
        several.or_else(|| self.waiting().last())?.1.last()
    }

    fn take(&mut self, ticket: Ticket, now: Option<Duration>) -> Option<Request> {
        let entry = self.entries.remove(ticket)?;
        self.latest.remove(&(entry.latest(), ticket));
        let level = self.levels.get_mut(&entry.request.urgency)?;
        level.remove(&entry.request, entry.place(ticket));
        if self.entries.is_empty() {
            self.departures.emptied(now);
        }
        Some(entry.request)
    }
}
