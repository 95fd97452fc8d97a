//! Replays small prompts from many hosts against engines that reject requests when they are full.

#[path = "engine.rs"]
mod engine;

use std::ops::Range;
use std::time::Duration;

use marjoram_core::credit::{Credit, free_places};
use marjoram_core::waiting::{Queue, Request, Ticket, Urgency};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use engine::{Engine, Prompt, SLOTS};

pub const HOSTS: usize = 75;
pub const ENGINES: usize = 45;
/// Engines that close for a while, the first ones.
pub const CLOSABLE: usize = ENGINES / 3;

/// The replay starts when the hosts have run for a while, in milliseconds.
const START: u64 = 1_000;
pub const BURST: Range<u64> = 4_000..10_200;
pub const CLOSED: Range<u64> = 5_500..7_000;
pub const ISOLATED: Range<u64> = 4_500..9_500;
/// When the last request arrives.
const END: u64 = 13_000;

/// Interval at which a host sends its loads to the next of the others, and adds up those it has
/// heard.
const PERIOD: u64 = 100;
/// Time in which a host hears once of each other host.
const ROUND: u64 = 5 * PERIOD;
/// Others to which a host sends its loads at a time.
const FANOUT: usize = (HOSTS - 1).div_ceil(5);
/// Time after which a host that is not heard counts as gone.
const PEER_TIMEOUT: u64 = 3 * ROUND;
/// Interval at which a host tries its first waiting request.
const WAIT_INTERVAL: u64 = 40;
/// How long a request waits at its host.
const MAX_WAIT: u64 = 2_000;
const QUEUE_PLACES: usize = 256;
const TARGET: u64 = 2_000;
const DEADLINE: u64 = 4_000;

#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    pub credits: bool,
    /// Requests per second, and those per second that the burst adds.
    pub base: f64,
    pub burst: f64,
    /// Whether a third of the engines is closed for a while.
    pub closes: bool,
    /// Hosts that neither hear other hosts nor are heard for a while.
    pub isolated_hosts: usize,
    pub seed: u64,
}

#[derive(Debug)]
struct Send {
    at: u64,
    rejected: bool,
}

#[derive(Debug, Default)]
pub struct Outcome {
    sends: Vec<Send>,
    /// Per millisecond since the start: the closable and the other engines that prefill.
    prefilling: Vec<[usize; 2]>,
    pub arrived: u32,
    /// Requests that waited for too long.
    pub refused: u32,
    pub answered_by_target: u32,
    pub answered_after_deadline: u32,
    /// Longest time that a request waited at its host, in milliseconds.
    pub longest_wait: u64,
}

impl Outcome {
    /// Share of the sends in `span` that engines rejected.
    pub fn rejected_in(&self, span: Range<u64>) -> f64 {
        let sends = || self.sends.iter().filter(|s| span.contains(&s.at));
        sends().filter(|s| s.rejected).count() as f64 / sends().count().max(1) as f64
    }

    pub fn rejected(&self) -> f64 {
        self.rejected_in(0..u64::MAX)
    }

    /// Share of the time in `span` in which engines prefilled.
    pub fn busy(&self, span: Range<u64>) -> f64 {
        let sum: usize = self.in_span(&span).map(|[closable, others]| closable + others).sum();
        sum as f64 / (ENGINES as u64 * (span.end - span.start)) as f64
    }

    /// The same of the engines that close.
    pub fn closable_busy(&self, span: Range<u64>) -> f64 {
        let sum: usize = self.in_span(&span).map(|[closable, _]| closable).sum();
        sum as f64 / (CLOSABLE as u64 * (span.end - span.start)) as f64
    }

    fn in_span(&self, span: &Range<u64>) -> impl Iterator<Item = &[usize; 2]> {
        self.prefilling[(span.start - START) as usize..(span.end - START) as usize].iter()
    }

    pub fn summary(&self) -> String {
        format!(
            "{} arrived, {} sent, {:.4} of them rejected, {} refused, {} answered by the target, {} \
             after the deadline, longest wait {} ms",
            self.arrived,
            self.sends.len(),
            self.rejected(),
            self.refused,
            self.answered_by_target,
            self.answered_after_deadline,
            self.longest_wait
        )
    }
}

/// A host's requests, and what it knows of the others'.
struct Host {
    credits: [Credit; ENGINES],
    /// Its own requests at each engine.
    own: [u32; ENGINES],
    /// The requests of each other host as last heard, and when.
    heard: Vec<([u32; ENGINES], u64)>,
    /// Their sums, without hosts that count as gone.
    others: [u32; ENGINES],
    queue: Queue,
}

impl Host {
    fn new(rng: &mut ChaCha8Rng) -> Self {
        Self {
            credits: std::array::from_fn(|_| Credit::new(rng.random(), Duration::ZERO)),
            own: [0; ENGINES],
            heard: vec![([0; ENGINES], START); HOSTS],
            others: [0; ENGINES],
            queue: Queue::new(QUEUE_PLACES),
        }
    }

    fn add_up_heard(&mut self, now: u64) {
        self.others = [0; ENGINES];
        for (loads, _) in self.heard.iter().filter(|(_, at)| now - at <= PEER_TIMEOUT) {
            self.others.iter_mut().zip(loads).for_each(|(sum, load)| *sum += load);
        }
    }

    /// The requests at each engine, as far as this host knows.
    fn known(&self) -> [u32; ENGINES] {
        std::array::from_fn(|engine| self.own[engine] + self.others[engine])
    }
}

fn request(arrived: u64) -> Request {
    Request {
        urgency: Urgency::new(None, 2),
        workspace: 0,
        cost: 383,
        arrived: ms(arrived),
        expires: ms(arrived + MAX_WAIT),
        service: Duration::ZERO,
    }
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

struct Replay {
    scenario: Scenario,
    rng: ChaCha8Rng,
    now: u64,
    hosts: Vec<Host>,
    engines: Vec<Engine>,
    outcome: Outcome,
}

/// The times at which requests arrive and their hosts, the same with and without credits.
fn arrivals(scenario: Scenario) -> Vec<(u64, usize)> {
    let mut rng = ChaCha8Rng::seed_from_u64(scenario.seed);
    let mut arrivals = Vec::new();
    let spans = [(START..END, scenario.base), (BURST, scenario.burst)];
    for (span, rate) in spans.into_iter().filter(|(_, rate)| *rate > 0.0) {
        let mut at = span.start as f64;
        loop {
            at -= (1.0 - rng.random::<f64>()).ln() * 1e3 / rate;
            if at >= span.end as f64 {
                break;
            }
            arrivals.push((at as u64, rng.random_range(0..HOSTS)));
        }
    }
    arrivals.sort_unstable();
    arrivals
}

pub fn replay(scenario: Scenario) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(!scenario.seed);
    let mut replay = Replay {
        scenario,
        now: START,
        hosts: (0..HOSTS).map(|_| Host::new(&mut rng)).collect(),
        engines: vec![Engine::default(); ENGINES],
        outcome: Outcome::default(),
        rng,
    };
    let mut arrivals = arrivals(scenario).into_iter().peekable();
    while replay.now < END + DEADLINE {
        replay.run_engines();
        replay.report();
        while let Some((at, host)) = arrivals.next_if(|(at, _)| *at <= replay.now) {
            replay.arrive(host, at);
        }
        let opens = scenario.closes && replay.now == CLOSED.end;
        for host in 0..HOSTS {
            if opens || (replay.now + host as u64 * 7).is_multiple_of(WAIT_INTERVAL) {
                replay.try_waiting(host);
            }
        }
        replay.now += 1;
    }
    replay.outcome
}

impl Replay {
    fn is_closed(&self, engine: usize) -> bool {
        self.scenario.closes && engine < CLOSABLE && CLOSED.contains(&self.now)
    }

    fn is_isolated(&self, host: usize) -> bool {
        host < self.scenario.isolated_hosts && ISOLATED.contains(&self.now)
    }

    fn run_engines(&mut self) {
        let mut prefilling = [0; 2];
        for index in 0..ENGINES {
            for prompt in self.engines[index].advance(self.now) {
                let took = self.now - prompt.arrived;
                self.outcome.answered_by_target += u32::from(took <= TARGET);
                self.outcome.answered_after_deadline += u32::from(took > DEADLINE);
                self.hosts[prompt.host].own[index] -= 1;
                self.try_waiting(prompt.host);
            }
            let group = usize::from(index >= CLOSABLE);
            prefilling[group] += usize::from(self.engines[index].is_prefilling());
        }
        self.outcome.prefilling.push(prefilling);
    }

    /// Each host sends its loads to some of the others at a time, in turn and not at the same time
    /// as the other hosts.
    fn report(&mut self) {
        for from in 0..HOSTS {
            let shifted = self.now + from as u64 * 37;
            if !shifted.is_multiple_of(PERIOD) {
                continue;
            }
            let turn = (shifted / PERIOD % (ROUND / PERIOD)) as usize;
            let loads = self.hosts[from].own;
            for ahead in (turn * FANOUT..(turn + 1) * FANOUT).take_while(|n| n + 1 < HOSTS) {
                let to = (from + 1 + ahead) % HOSTS;
                if !self.is_isolated(from) && !self.is_isolated(to) {
                    self.hosts[to].heard[from] = (loads, self.now);
                }
            }
            self.hosts[from].add_up_heard(self.now);
        }
    }

    fn arrive(&mut self, host: usize, at: u64) {
        self.outcome.arrived += 1;
        let request = request(at);
        if self.scenario.credits && self.hosts[host].queue.must_join(request.urgency) {
            self.join(host, request);
            return;
        }
        match self.choose(host) {
            Some(engine) => {
                let queue = &mut self.hosts[host].queue;
                queue.note_sent(request.urgency, request.workspace, request.cost);
                self.send(host, engine, at);
            }
            None => self.join(host, request),
        }
    }

    fn join(&mut self, host: usize, request: Request) {
        let pushed = self.hosts[host].queue.push(request, ms(self.now));
        self.outcome.refused += u32::from(pushed.evicted.is_some());
    }

    /// Sends the first waiting requests while engines have room for them.
    fn try_waiting(&mut self, host: usize) {
        for ticket in self.hosts[host].queue.expired(ms(self.now)) {
            self.hosts[host].queue.remove(ticket);
            self.outcome.refused += 1;
            self.outcome.longest_wait = MAX_WAIT;
        }
        while let Some(ticket) = self.hosts[host].queue.first() {
            let Some(engine) = self.choose(host) else { break };
            self.send_waiting(host, engine, ticket);
        }
    }

    fn send_waiting(&mut self, host: usize, engine: usize, ticket: Ticket) {
        let request = self.hosts[host].queue.sent(ticket, ms(self.now)).expect("waits");
        let arrived = request.arrived.as_millis() as u64;
        self.outcome.longest_wait = self.outcome.longest_wait.max(self.now - arrived);
        self.send(host, engine, arrived);
    }

    /// The less loaded of two engines drawn at random, of those for which there is enough credit.
    fn choose(&mut self, host: usize) -> Option<usize> {
        let known = self.hosts[host].known();
        let mut engines: Vec<usize> = (0..ENGINES).filter(|e| !self.is_closed(*e)).collect();
        if self.scenario.credits {
            engines.retain(|e| self.has_credit(host, *e, known[*e]));
        }
        engines.choose_multiple(&mut self.rng, 2).copied().min_by_key(|e| known[*e])
    }

    fn has_credit(&mut self, host: usize, engine: usize, running: u32) -> bool {
        let share = free_places(SLOTS as u32, running) / HOSTS as f64;
        let credit = &mut self.hosts[host].credits[engine];
        credit.earn(share, ms(ROUND), ms(self.now));
        credit.is_enough()
    }

    fn send(&mut self, host: usize, engine: usize, arrived: u64) {
        self.hosts[host].credits[engine].spend();
        let accepted = self.engines[engine].accept(Prompt { host, arrived });
        self.hosts[host].own[engine] += u32::from(accepted);
        self.outcome.sends.push(Send { at: self.now, rejected: !accepted });
    }
}
