//! Simulation, on a virtual clock, of one host that orders engines to change their weights: the
//! messages and calls it sends, and when engines have changed.

use std::time::Duration;

use marjoram_core::announce::{Announcements, Change, PERIOD};
use marjoram_core::broadcast::fan_out;
use marjoram_core::pace::{
    CALL_BYTES, CallLimiter, LinkSpeed, MAX_CONCURRENT_CALLS, MIN_POLL_INTERVAL,
};
use marjoram_core::rollout::{self, AnnouncedVersions};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Link of the ordering host.
pub const LINK: LinkSpeed = LinkSpeed(10.0);

/// Seconds to load, longer in proportion while more than a fifth of the engines load.
const LOAD: f64 = 0.57;

/// Seconds until a call is answered, and until an unanswered call fails.
const CALL: f64 = 0.01;
const NO_ANSWER: f64 = 0.3;

/// Seconds between the announcement and the order, between the order and the first question
/// whether the engine has changed, and between polls for changes that are due, and the longest
/// wait for the announcement to be sent.
const ORDER_DELAY: f64 = 0.12;
const FIRST_QUESTION_DELAY: f64 = 0.65;
const POLL: f64 = 0.05;
const ANNOUNCE_TIMEOUT: f64 = 1.0;

/// Seconds for which a message collects changes announced at nearly the same time.
const COLLECT: f64 = 0.015;

/// How long an engine is announced as closed.
const CLOSED: Duration = Duration::from_millis(4_500);

/// Pause in seconds after a failed attempt, doubled for each further one, and the largest number
/// of doublings.
const ORDER_PAUSE: f64 = 0.4;
const ORDER_DOUBLINGS: u32 = 3;

/// Bytes per engine in a message, per group of engines, and of the rest of the message, and
/// bytes of headers per datagram.
const ENGINE_BYTES: usize = 9;
const GROUP_BYTES: usize = 12;
const MESSAGE_BYTES: usize = 32;
const DATAGRAM_HEADERS: usize = 28;

const STEP: f64 = 0.005;

/// Parameters of a simulation.
#[derive(Debug, Clone)]
pub struct Simulation {
    pub hosts: usize,
    pub engines: usize,
    /// Time to finish running requests.
    pub finish: f64,
    /// When version 2 and the following ones are announced.
    pub announced_at: Vec<f64>,
    /// Share of the attempts that fail: half get no answer to the report call, half none to the
    /// order.
    pub failing: f64,
}

/// Result of a simulation.
#[derive(Debug, Default)]
pub struct Outcome {
    /// When the last engine had changed to the newest version.
    pub changed: f64,
    /// Longest time that an engine stayed on a version after it was replaced.
    pub lag: f64,
    /// Most bytes of messages in a second, and bytes of the largest message.
    pub message_rate: f64,
    pub largest: f64,
    /// Most bytes of calls in a second.
    pub call_rate: f64,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Step {
    Idle,
    FirstReport,
    /// Waiting since this time until the other hosts have been notified.
    Announced(f64),
    Delayed(f64),
    Order,
    /// Waiting until this time for the next question.
    Waiting(f64),
    Question,
}

struct Engine {
    step: Step,
    /// Start time, possibly in the future, of the current call.
    call: Option<f64>,
    failures: u32,
    /// Whether this attempt's report call, and whether its order, gets no answer.
    fails: (bool, bool),
    /// Answers since the order that the engine has not changed and is not loading.
    idle: u32,
    /// Seconds left of finishing and of loading.
    finishing: f64,
    loading: Option<f64>,
    served: u64,
}

struct Model {
    simulation: Simulation,
    now: f64,
    engines: Vec<Engine>,
    known: Vec<rollout::Engine>,
    announcements: Announcements,
    active_calls: usize,
    call_limiter: CallLimiter,
    calls: Vec<(f64, f64)>,
    messages: Vec<(f64, f64)>,
    rng: ChaCha8Rng,
}

fn secs(secs: f64) -> Duration {
    Duration::from_secs_f64(secs)
}

/// Simulates until all engines serve the newest version, for `max_time` seconds at most.
pub fn simulate(simulation: &Simulation, max_time: f64) -> Outcome {
    let mut model = Model::new(simulation.clone());
    let (mut announced_versions, mut outcome) = (AnnouncedVersions::new(), Outcome::default());
    let (mut poll, mut message) = (0.0, 0.0);
    let newest = simulation.announced_at.len() as u64 + 1;
    while model.now < max_time {
        let now = model.now;
        for (version, at) in simulation.announced_at.iter().enumerate() {
            if now >= *at {
                announced_versions.record_announced(version as u64 + 2, secs(now));
            }
        }
        if let Some(version) = announced_versions.newest().filter(|_| now >= poll) {
            model.poll(version);
            poll = now + POLL;
        }
        if now >= message {
            message = model.send_message(now);
        }
        model.load();
        (0..simulation.engines).for_each(|engine| model.step(engine));
        let lags =
            model.engines.iter().filter_map(|e| announced_versions.replaced(e.served, secs(now)));
        outcome.lag = lags.map(|lag| lag.as_secs_f64()).fold(outcome.lag, f64::max);
        if model.engines.iter().all(|e| e.served == newest) {
            break;
        }
        model.now += STEP;
    }
    outcome.changed = model.now;
    outcome.message_rate = max_per_second(&model.messages);
    outcome.largest = model.messages.iter().map(|(_, bytes)| *bytes).fold(0.0, f64::max);
    outcome.call_rate = max_per_second(&model.calls);
    outcome
}

/// Largest sum within any one second.
fn max_per_second(sent: &[(f64, f64)]) -> f64 {
    let (mut first, mut sum, mut max) = (0, 0.0, 0.0f64);
    for (at, bytes) in sent {
        sum += bytes;
        while sent[first].0 <= at - 1.0 {
            sum -= sent[first].1;
            first += 1;
        }
        max = max.max(sum);
    }
    max
}

impl Model {
    fn new(simulation: Simulation) -> Self {
        let engine = |_| Engine {
            step: Step::Idle,
            call: None,
            failures: 0,
            fails: (false, false),
            idle: 0,
            finishing: 0.0,
            loading: None,
            served: 1,
        };
        let known = |n| rollout::Engine {
            life: format!("e{n:03}").parse().unwrap(),
            version: 1,
            changing: None,
            pause: None,
            work: 1 + n as u64 % 5,
        };
        Self {
            now: 0.0,
            engines: (0..simulation.engines).map(engine).collect(),
            known: (0..simulation.engines).map(known).collect(),
            announcements: Announcements::default(),
            active_calls: 0,
            call_limiter: CallLimiter::default(),
            calls: Vec::new(),
            messages: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(0x10ad),
            simulation,
        }
    }

    /// Starts the changes that are due.
    fn poll(&mut self, version: u64) {
        for instance in rollout::next(&self.known, version, secs(self.now)) {
            let at = self.known.iter().position(|e| e.life == instance).unwrap();
            self.known[at].changing = Some(version);
            let half = self.simulation.failing / 2.0;
            let draw: f64 = self.rng.random();
            self.engines[at].fails = (draw < half, draw >= half && draw < half * 2.0);
            self.engines[at].step = Step::FirstReport;
        }
    }

    /// Sends the message that is due and returns when the next may be sent.
    fn send_message(&mut self, now: f64) -> f64 {
        let Some(due) = self.announcements.due() else { return now };
        let at = due.as_secs_f64().max(now) + COLLECT;
        if due > secs(now) {
            return now;
        }
        let next = self.announcements.next(secs(now));
        if next.is_empty() {
            return now;
        }
        let mut groups: Vec<(u64, bool)> = next.iter().map(|(_, change)| group(change)).collect();
        groups.sort_unstable();
        groups.dedup();
        let bytes = MESSAGE_BYTES + groups.len() * GROUP_BYTES + next.len() * ENGINE_BYTES;
        let datagrams = fan_out(self.simulation.hosts - 1);
        self.messages.push((now, (datagrams * (bytes + DATAGRAM_HEADERS)) as f64));
        at + PERIOD.max(LINK.message_pause(datagrams, bytes)).as_secs_f64()
    }

    /// Advances the engines that finish their requests and then load.
    fn load(&mut self) {
        let is_loading = |e: &&Engine| e.loading.is_some() && e.finishing <= 0.0;
        let loading = self.engines.iter().filter(is_loading).count();
        let slowdown = (loading as f64 / (self.simulation.engines / 5).max(2) as f64).max(1.0);
        for (engine, known) in self.engines.iter_mut().zip(&mut self.known) {
            match engine.loading {
                Some(_) if engine.finishing > STEP => engine.finishing -= STEP,
                Some(_) if engine.finishing > 0.0 => (engine.finishing, known.work) = (0.0, 0),
                Some(left) if left > STEP => engine.loading = Some(left - STEP / slowdown),
                Some(_) => {
                    engine.served = known.changing.expect("a loading engine has a version ordered");
                    engine.loading = None;
                }
                None => {}
            }
        }
    }

    /// Starts the call to engine `at` as soon as one more is allowed, and returns whether it has
    /// ended, `time` seconds after its start.
    fn call_has_ended(&mut self, at: usize, time: f64) -> bool {
        match self.engines[at].call {
            None if self.active_calls < MAX_CONCURRENT_CALLS => {
                self.active_calls += 1;
                let begins = self.now + self.call_limiter.wait(LINK, secs(self.now)).as_secs_f64();
                self.calls.push((begins, CALL_BYTES));
                self.engines[at].call = Some(begins);
                false
            }
            Some(begun) if self.now >= begun + time => {
                self.active_calls -= 1;
                self.engines[at].call = None;
                true
            }
            _ => false,
        }
    }

    fn step(&mut self, at: usize) {
        let (now, step) = (self.now, self.engines[at].step);
        let (no_report, no_order) = self.engines[at].fails;
        let time = match step {
            Step::FirstReport if no_report => NO_ANSWER,
            Step::Order if no_order => NO_ANSWER,
            _ => CALL,
        };
        let is_call = matches!(step, Step::FirstReport | Step::Order | Step::Question);
        if is_call && !self.call_has_ended(at, time) {
            return;
        }
        self.engines[at].step = match step {
            Step::FirstReport if no_report => self.end_attempt(at, false, false),
            Step::FirstReport => {
                self.announce_closed(at);
                Step::Announced(now)
            }
            Step::Announced(since)
                if self.announcements.is_announced(at as u64)
                    || now >= since + ANNOUNCE_TIMEOUT =>
            {
                Step::Delayed(now + ORDER_DELAY)
            }
            Step::Delayed(until) if now >= until => Step::Order,
            Step::Order => self.ordered(at, !no_order),
            Step::Waiting(until) if now >= until => {
                self.announce_closed(at);
                Step::Question
            }
            Step::Question => self.answered(at),
            step => step,
        };
    }

    /// Handles the end of an order, which the engine accepted or not.
    fn ordered(&mut self, at: usize, accepted: bool) -> Step {
        let engine = &mut self.engines[at];
        engine.idle = 0;
        if !accepted {
            return Step::Waiting(self.now + MIN_POLL_INTERVAL.as_secs_f64());
        }
        engine.finishing = self.simulation.finish;
        engine.loading = Some(LOAD);
        Step::Waiting(self.now + FIRST_QUESTION_DELAY)
    }

    /// Handles an engine's answer to the question whether it has changed.
    fn answered(&mut self, at: usize) -> Step {
        let engine = &mut self.engines[at];
        if Some(engine.served) == self.known[at].changing {
            return self.end_attempt(at, true, true);
        }
        if engine.loading.is_none() && engine.idle >= 1 {
            return self.end_attempt(at, false, true);
        }
        if engine.loading.is_none() {
            engine.idle += 1;
            return Step::Waiting(self.now + MIN_POLL_INTERVAL.as_secs_f64());
        }
        Step::Waiting(self.now + self.question_interval())
    }

    fn question_interval(&self) -> f64 {
        let changing = self.known.iter().filter(|e| e.changing.is_some()).count();
        LINK.poll_interval(changing).as_secs_f64()
    }

    fn announce_closed(&mut self, at: usize) {
        let version = self.known[at].changing.expect("the engine is being changed");
        let change = Change::Closed { model: "m".into(), version, span: CLOSED };
        self.announcements.put(at as u64, change, secs(self.now));
    }

    /// Ends an attempt; the engine had been announced as closed if `closed`.
    fn end_attempt(&mut self, at: usize, changed: bool, closed: bool) -> Step {
        let (now, engine, known) = (self.now, &mut self.engines[at], &mut self.known[at]);
        known.changing = None;
        known.version = engine.served;
        known.work = 1 + at as u64 % 5;
        match changed {
            true => engine.failures = 0,
            false => {
                let doubled = 2u32.pow(engine.failures.min(ORDER_DOUBLINGS));
                known.pause = Some(secs(now + ORDER_PAUSE * f64::from(doubled)));
                engine.failures += 1;
            }
        }
        if closed {
            let change = Change::Open { model: "m".into(), version: known.version };
            self.announcements.put(at as u64, change, secs(now));
        }
        Step::Idle
    }
}

fn group(change: &Change) -> (u64, bool) {
    match change {
        Change::Closed { version, .. } => (*version, true),
        Change::Open { version, .. } => (*version, false),
    }
}
