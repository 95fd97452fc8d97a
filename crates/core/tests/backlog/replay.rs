//! Replays large prompts from many hosts against engines that prefill in order of arrival.

use std::collections::BTreeMap;
use std::time::Duration;

use marjoram_core::backlog::{Change, ClaimChange, Ledger};
use marjoram_core::place::{self, Candidate, CostFactors, Need, WeightsAge};
use marjoram_core::quota::ledger::Sender;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub const HOSTS: usize = 76;
const ENGINES: usize = 60;
/// Large prompts per second.
const RATE: f64 = 125.0;
const SECONDS: u64 = 30;
/// Prompt tokens, and those of them in the shared part.
const INPUT: u64 = 17_020;
const SHARED: u64 = 13_300;
/// Share of the prompts whose shared part is cached: 13,800 tokens are prefilled on average.
const CACHED: f64 = 3_220.0 / SHARED as f64;
/// Prefill throughput of an engine of speed 1, in tokens per millisecond.
const THROUGHPUT: f64 = 56.6;
/// Interval at which a host learns of the others' loads, in milliseconds.
const REPORT_MS: u64 = 500;
/// Time of one message, in milliseconds.
const MESSAGE_MS: u64 = 1;
/// Time from the prefill of a prompt to the end of its answer, in milliseconds.
const ANSWER_MS: u64 = 200;
/// Engines compared for a prompt when there are accounts.
const SAMPLE: usize = 8;
const SLOTS: u32 = 16;
/// Interval at which the coordinator removes old claims, in milliseconds.
const EXPIRE_MS: u64 = 500;

#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    /// Whether hosts decide by the accounts.
    pub accounts: bool,
    /// Speeds of the engines, in turn.
    pub speeds: [f64; 3],
    /// Throughput that hosts assume for an engine whose throughput is not known.
    pub assumed_throughput: f64,
    /// Latency target in milliseconds.
    pub target: f64,
    /// Probability that a message about a claim is lost.
    pub lost: f64,
    /// Hosts that reach neither the coordinator nor other hosts.
    pub isolated_hosts: usize,
    pub seed: u64,
}

#[derive(Debug, Default)]
pub struct Outcome {
    /// Prompts of all hosts, and those of them that are on time.
    all: (u32, u32),
    /// The same of the hosts that are not isolated.
    connected: (u32, u32),
}

impl Outcome {
    pub fn on_time(&self) -> f64 {
        f64::from(self.all.1) / f64::from(self.all.0)
    }

    pub fn connected_on_time(&self) -> f64 {
        f64::from(self.connected.1) / f64::from(self.connected.0)
    }

    fn count(&mut self, isolated: bool, on_time: bool) {
        self.all = (self.all.0 + 1, self.all.1 + u32::from(on_time));
        if !isolated {
            self.connected = (self.connected.0 + 1, self.connected.1 + u32::from(on_time));
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Prompt {
    host: usize,
    tokens: u64,
    /// When it has been prefilled.
    read: f64,
    ended: f64,
}

#[derive(Debug, Clone, Default)]
struct Engine {
    /// When it will have prefilled all prompts sent to it.
    idle_at: f64,
    /// Prompts that have not ended.
    sent: Vec<Prompt>,
}

/// What a host knows of an engine's load.
#[derive(Debug, Clone, Copy, Default)]
struct Known {
    unread: u64,
    requests: u32,
    memory: u64,
    throughput: Option<f64>,
}

type Loads = [Known; ENGINES];

impl Engine {
    /// The load of the prompts of hosts for which `is_counted` is true.
    fn load(&self, now: f64, is_counted: impl Fn(usize) -> bool) -> Known {
        let counted = self.sent.iter().filter(|p| p.ended > now && is_counted(p.host));
        let requests = counted.clone().count() as u32;
        let unread = counted.filter(|p| p.read > now).map(|p| p.tokens).sum();
        Known { unread, requests, memory: u64::from(requests) * INPUT, throughput: None }
    }
}

struct Replay {
    scenario: Scenario,
    /// Draws which messages are lost.
    losses: ChaCha8Rng,
    engines: Vec<Engine>,
    /// Per host: the other hosts' load of each engine, as last reported.
    reported: Vec<Loads>,
    ledger: Ledger,
    /// Changes of claims by the millisecond at which the coordinator receives them.
    in_transit: BTreeMap<u64, Vec<(usize, ClaimChange)>>,
    outcome: Outcome,
}

/// A prompt that a host is about to send.
#[derive(Debug, Clone, Copy)]
struct Arrival {
    host: usize,
    at: u64,
    tokens: u64,
    key: u64,
}

/// The prompts of a run: those of one seed are the same in all scenarios.
fn arrivals(seed: u64) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut at = 0.0;
    let mut arrivals = Vec::new();
    while at < SECONDS as f64 * 1e3 {
        at -= (1.0 - rng.random::<f64>()).ln() * 1e3 / RATE;
        let host = rng.random_range(0..HOSTS);
        let tokens = if rng.random_bool(CACHED) { INPUT - SHARED } else { INPUT };
        arrivals.push(Arrival { host, at: at as u64, tokens, key: rng.random() });
    }
    arrivals
}

/// Runs `scenario` and counts the prompts that are on time.
pub fn replay(scenario: Scenario) -> Outcome {
    let mut replay = Replay {
        scenario,
        losses: ChaCha8Rng::seed_from_u64(scenario.seed),
        engines: vec![Engine::default(); ENGINES],
        reported: vec![[Known::default(); ENGINES]; HOSTS],
        ledger: Ledger::new(),
        in_transit: BTreeMap::new(),
        outcome: Outcome::default(),
    };
    let mut arrivals = arrivals(scenario.seed).into_iter().peekable();
    // Accounts in transit to the hosts that queried them, by the time at which they arrive.
    let mut answers: BTreeMap<u64, Vec<(Arrival, Loads)>> = BTreeMap::new();
    for ms in 0..SECONDS * 1_000 {
        replay.receive(ms);
        replay.report(ms);
        while let Some(arrival) = arrivals.next_if(|a| a.at <= ms) {
            match replay.queries(arrival.host) {
                true => {
                    let answer = (arrival, replay.accounts(ms));
                    answers.entry(ms + MESSAGE_MS).or_default().push(answer);
                }
                false => replay.send(arrival, replay.known(arrival.host, ms), ms),
            }
        }
        for (arrival, loads) in answers.remove(&ms).unwrap_or_default() {
            replay.send(arrival, loads, ms);
        }
    }
    replay.outcome
}

impl Replay {
    fn is_isolated(&self, host: usize) -> bool {
        host < self.scenario.isolated_hosts
    }

    fn queries(&self, host: usize) -> bool {
        self.scenario.accounts && !self.is_isolated(host)
    }

    /// Applies the messages that reach the coordinator at `ms`.
    fn receive(&mut self, ms: u64) {
        let now = Duration::from_millis(ms);
        for (host, change) in self.in_transit.remove(&ms).unwrap_or_default() {
            self.ledger.apply(Sender { host: host as u64, life: 1 }, &[change], |_| 0.0, now);
        }
        if ms.is_multiple_of(EXPIRE_MS) {
            self.ledger.expire(|_| true, |_| true, now);
        }
    }

    /// Tells hosts of the others' loads, each at another time. Isolated hosts learn nothing, and
    /// others nothing of them.
    fn report(&mut self, ms: u64) {
        self.engines.iter_mut().for_each(|e| e.sent.retain(|p| p.ended > ms as f64));
        for host in (0..HOSTS).filter(|h| (ms + *h as u64 * 7).is_multiple_of(REPORT_MS)) {
            let is_heard = |h: usize| h != host && !self.is_isolated(host) && !self.is_isolated(h);
            self.reported[host] =
                std::array::from_fn(|e| self.engines[e].load(ms as f64, is_heard));
        }
    }

    /// The loads that `host` knows without the accounts.
    fn known(&self, host: usize, ms: u64) -> Loads {
        std::array::from_fn(|e| {
            let own = self.engines[e].load(ms as f64, |h| h == host);
            let others = self.reported[host][e];
            Known {
                unread: own.unread + others.unread,
                requests: own.requests + others.requests,
                memory: own.memory + others.memory,
                throughput: None,
            }
        })
    }

    /// The loads by the coordinator's accounts.
    fn accounts(&self, ms: u64) -> Loads {
        std::array::from_fn(|e| {
            let account = self.ledger.account(e as u64, 0.0, Duration::from_millis(ms));
            Known {
                unread: account.unread,
                requests: account.requests,
                memory: account.memory,
                throughput: account.throughput.map(f64::from),
            }
        })
    }

    fn send(&mut self, arrival: Arrival, known: Loads, ms: u64) {
        let Arrival { host, tokens, .. } = arrival;
        let engine = self.choose(arrival, known);
        let throughput = THROUGHPUT * self.scenario.speeds[engine % 3];
        let chosen = &mut self.engines[engine];
        let read = chosen.idle_at.max(ms as f64) + tokens as f64 / throughput;
        chosen.idle_at = read;
        chosen.sent.push(Prompt { host, tokens, read, ended: read + ANSWER_MS as f64 });
        let on_time = read - arrival.at as f64 <= 0.7 * self.scenario.target;
        self.outcome.count(self.is_isolated(host), on_time);
        if self.queries(host) {
            let read = read.ceil() as u64;
            let sent = Change::Sent { tokens, memory: INPUT };
            for (at, change) in
                [(ms, sent), (read, Change::Read), (read + ANSWER_MS, Change::Ended)]
            {
                if !self.losses.random_bool(self.scenario.lost) {
                    let claim =
                        ClaimChange { request: arrival.key, upstream: engine as u64, change };
                    self.in_transit.entry(at + MESSAGE_MS).or_default().push((host, claim));
                }
            }
        }
    }

    fn choose(&self, arrival: Arrival, known: Loads) -> usize {
        let places: Vec<u64> = (0..ENGINES as u64).collect();
        let sampled = match self.queries(arrival.host) {
            true => {
                let mut order: Vec<usize> = (0..ENGINES).collect();
                order.sort_by_key(|&e| place::rank(arrival.key, places[e]));
                let mut sampled = vec![false; ENGINES];
                order.into_iter().take(SAMPLE).for_each(|e| sampled[e] = true);
                sampled
            }
            false => place::sample(arrival.key, &places, &[true; ENGINES], HOSTS),
        };
        let candidates: Vec<Candidate> = (0..ENGINES)
            .map(|e| Candidate {
                rank: place::rank(0, places[e]),
                unread: known[e].unread,
                running: known[e].requests,
                slots: SLOTS,
                memory: known[e].memory,
                capacity: 164_984,
                pace: known[e].throughput.unwrap_or(self.scenario.assumed_throughput),
                held: 0,
                copy: None,
                failures: 0.0,
                remote: false,
                weights: 1,
                age: WeightsAge::Current,
                in_partition: true,
                sampled: sampled[e],
            })
            .collect();
        // Cached tokens are left out of the prompt: all engines have the same ones.
        let (input, target) = (arrival.tokens, self.scenario.target);
        let need = Need { input, shared: 0, output: 30, target, factors: CostFactors::default() };
        place::place(need, &candidates).expect("sampled engines").engine
    }
}
