//! Requests that wait on one host for an engine of a coordinated service.
//!
//! They leave in the order of their effective urgency, which rises while they wait, then of the fair
//! shares of their workspaces, then of arrival. The order changes with time, so nothing is sorted by it:
//! requests of the same workspace, urgency and target always keep their order, and only the ends of
//! these groups are compared.

mod departures;
mod lanes;
mod shares;
mod urgency;

use std::collections::BTreeSet;
use std::time::Duration;

use slotmap::{SlotMap, new_key_type};

use departures::Departures;
use lanes::{Lanes, Place};
use shares::Shares;
pub use urgency::{Level, Urgency};

/// Shortest time after which refused callers may return: sooner, hardly a request would have left.
const MIN_RETRY: Duration = Duration::from_millis(100);

/// The time after which refused callers may return while no departures are known and nothing waits: a
/// quarter of the shortest target of a coordinated service.
const DEFAULT_RETRY: Duration = Duration::from_millis(150);

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
    /// Latency target of its route. Each quarter of it spent waiting is one step of ageing.
    pub target: Duration,
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
        Place { arrived: self.request.arrived, number: self.number, ticket }
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
///     target: ms(800),
///     service: ms(20),
/// };
/// let mut queue = Queue::new(256);
/// let slow = queue.push(request(1, ms(0)), ms(0)).ticket;
/// let urgent = queue.push(request(0, ms(100)), ms(100)).ticket;
/// assert_eq!(queue.first(ms(100)), Some(urgent));
/// // A quarter of its target later, the less urgent request counts as urgent and arrived first.
/// assert_eq!(queue.first(ms(200)), Some(slow));
/// queue.sent(slow, ms(200));
/// assert_eq!(queue.len(), 1);
/// ```
#[derive(Debug)]
pub struct Queue {
    capacity: usize,
    entries: SlotMap<Ticket, Entry>,
    lanes: Lanes,
    shares: Shares,
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
            lanes: Lanes::default(),
            shares: Shares::default(),
            departures: Departures::default(),
            latest: BTreeSet::new(),
            next_number: 0,
        }
    }

    /// Adds a request. If the queue is over its capacity, the last request in order is removed.
    pub fn push(&mut self, request: Request, now: Duration) -> Pushed {
        let request = Request { cost: request.cost.max(1), ..request };
        let entry = Entry { request, number: self.next_number };
        self.next_number += 1;
        let latest = entry.latest();
        let ticket = self.entries.insert(entry);
        self.latest.insert((latest, ticket));
        self.lanes.insert(&request, self.entries[ticket].place(ticket));
        self.departures.waiting(now);
        let is_over = self.entries.len() > self.capacity;
        let evicted = is_over.then(|| self.lanes.last(&self.shares, now)).flatten();
        if let Some(evicted) = evicted {
            self.take(evicted, Some(now));
        }
        Pushed { ticket, evicted }
    }

    /// The first request in order: the one to try next.
    pub fn first(&self, now: Duration) -> Option<Ticket> {
        self.lanes.first(&self.shares, now)
    }

    /// Removes a request that is not sent: its caller has left, or it is refused.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Request> {
        self.take(ticket, None)
    }

    /// Removes a request that is sent, and charges its cost to its workspace.
    pub fn sent(&mut self, ticket: Ticket, now: Duration) -> Option<Request> {
        let in_order = self.first(now) == Some(ticket);
        let request = *self.get(ticket)?;
        let level = self.lanes.level(&request, now)?;
        self.shares.charge(level, request.workspace, request.cost, in_order);
        self.departures.sent(now);
        self.take(ticket, Some(now))
    }

    /// Charges a request that was sent without waiting to its workspace, among requests of `urgency`.
    ///
    /// Such requests are sent only if [`must_join`](Self::must_join) is false, so no request of this
    /// urgency waits and the shares advance as if it had been the first in order.
    pub fn note_sent(&mut self, urgency: Urgency, workspace: u64, cost: u64) {
        self.shares.charge(urgency.level(0), workspace, cost.max(1), true);
    }

    /// Whether a new request of `urgency` has to wait because others of the same or a higher effective
    /// urgency wait already.
    pub fn must_join(&self, urgency: Urgency, now: Duration) -> bool {
        self.lanes.best(now).is_some_and(|best| best <= urgency.level(0))
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

    /// The time after which a refused caller should return, without jitter: the time in which the
    /// requests ahead of a new one of `urgency` are expected to leave, at most a third of the caller's
    /// remaining time `left`, but never less than 100 ms.
    ///
    /// While no departures are known, it is a quarter of the target of the request that has waited
    /// longest, as the order changes by one step of ageing in that time.
    pub fn retry_after(&self, urgency: Urgency, left: Duration, now: Duration) -> Duration {
        let ahead = self.lanes.count(urgency.level(0), now);
        let wait = self.departures.time_for(ahead, now).unwrap_or_else(|| {
            self.lanes.oldest_target().map_or(DEFAULT_RETRY, |target| target / 4)
        });
        wait.min(left / 3).max(MIN_RETRY)
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

    fn take(&mut self, ticket: Ticket, now: Option<Duration>) -> Option<Request> {
        let entry = self.entries.remove(ticket)?;
        self.latest.remove(&(entry.latest(), ticket));
        let cost = |ticket: Ticket| self.entries[ticket].request.cost;
        self.lanes.remove(&entry.request, entry.place(ticket), cost);
        if self.entries.is_empty() {
            self.departures.emptied(now);
        }
        Some(entry.request)
    }
}
