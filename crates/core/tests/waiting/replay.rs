//! Replays arrivals through a queue in front of an engine that starts one request at a time.

use std::collections::HashMap;
use std::time::Duration;

use marjoram_core::waiting::{Queue, Request, Ticket, Urgency};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Requests waiting at one host.
pub const CAPACITY: usize = 256;

/// Requests that leave in a second.
pub const RATE: f64 = 50.0;

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Requests of one kind.
#[derive(Debug, Clone, Copy)]
pub struct Kind {
    pub urgency: Urgency,
    /// Workspaces `from..to` send them in equal parts.
    pub workspaces: (u64, u64),
    /// Arrivals per second.
    pub rate: f64,
    pub target: Duration,
    pub deadline: Duration,
    /// Start and end of the arrivals, in seconds.
    pub span: (f64, f64),
}

impl Kind {
    fn arrivals(&self, rng: &mut ChaCha8Rng) -> Vec<Request> {
        let mut requests = Vec::new();
        let mut at = self.span.0;
        loop {
            at += -rng.random::<f64>().max(1e-12).ln() / self.rate;
            if at >= self.span.1 {
                return requests;
            }
            let arrived = Duration::from_secs_f64(at);
            requests.push(Request {
                urgency: self.urgency,
                workspace: rng.random_range(self.workspaces.0..self.workspaces.1),
                cost: rng.random_range(300..500),
                arrived,
                expires: arrived + self.deadline,
                service: ms(20),
            });
        }
    }
}

/// What became of the requests of one kind.
#[derive(Debug, Clone, Copy, Default)]
pub struct Outcome {
    pub asked: u32,
    pub sent: u32,
    pub on_time: u32,
    pub max_wait: Duration,
    /// Requests of all kinds that were sent while one of this kind waited.
    pub sent_beside: u32,
    /// Longest time in the queue, of those sent or expired, divided by the number of requests of
    /// the kind that waited when the request was added, itself included.
    pub max_wait_per_place: Duration,
}

impl Outcome {
    pub fn on_time_share(&self) -> f64 {
        f64::from(self.on_time) / f64::from(self.asked)
    }

    pub fn sent_share(&self) -> f64 {
        f64::from(self.sent) / f64::from(self.asked)
    }

    /// Part of the requests sent while one of this kind waited that were of this kind.
    pub fn departure_share(&self) -> f64 {
        f64::from(self.sent) / f64::from(self.sent_beside)
    }
}

/// Replays `kinds`. With `by_arrival`, all requests have the same urgency and workspace.
pub fn replay(kinds: &[Kind], by_arrival: bool, seed: u64) -> Vec<Outcome> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let of_kind = |(kind, k): (usize, &Kind)| {
        k.arrivals(&mut rng).into_iter().map(|r| (r, kind)).collect::<Vec<_>>()
    };
    let mut arrivals: Vec<_> = kinds.iter().enumerate().flat_map(of_kind).collect();
    arrivals.sort_by_key(|(r, _)| r.arrived);
    let mut outcomes = vec![Outcome::default(); kinds.len()];
    let mut queue = Queue::new(CAPACITY);
    // Kind of each request that waits, and its place among those of its kind when it was added.
    let mut places: HashMap<Ticket, (usize, u32)> = HashMap::new();
    let waiting_of = |places: &HashMap<Ticket, (usize, u32)>, kind: usize| {
        places.values().filter(|(k, _)| *k == kind).count() as u32
    };
    let step = Duration::from_secs_f64(1.0 / RATE);
    let mut arrivals = arrivals.into_iter().peekable();
    let mut now = Duration::ZERO;
    while arrivals.peek().is_some() || !queue.is_empty() {
        now += step;
        while let Some((request, kind)) = arrivals.next_if(|(r, _)| r.arrived <= now) {
            outcomes[kind].asked += 1;
            let waiting = match by_arrival {
                true => Request { urgency: Urgency::new(None, 0), workspace: 0, ..request },
                false => request,
            };
            let place = waiting_of(&places, kind) + 1;
            let pushed = queue.push(waiting, request.arrived);
            places.insert(pushed.ticket, (kind, place));
            pushed.evicted.map(|evicted| places.remove(&evicted));
        }
        for ticket in queue.expired(now) {
            let request = queue.remove(ticket).unwrap();
            let (kind, place) = places.remove(&ticket).unwrap();
            let wait = (now - request.arrived) / place;
            outcomes[kind].max_wait_per_place = outcomes[kind].max_wait_per_place.max(wait);
        }
        let Some(ticket) = queue.first() else { continue };
        for (kind, outcome) in outcomes.iter_mut().enumerate() {
            outcome.sent_beside += u32::from(waiting_of(&places, kind) > 0);
        }
        let request = queue.sent(ticket, now).unwrap();
        let (kind, place) = places.remove(&ticket).unwrap();
        let outcome = &mut outcomes[kind];
        let wait = now - request.arrived;
        outcome.sent += 1;
        outcome.on_time += u32::from(wait <= kinds[kind].target);
        outcome.max_wait = outcome.max_wait.max(wait);
        outcome.max_wait_per_place = outcome.max_wait_per_place.max(wait / place);
    }
    outcomes
}
