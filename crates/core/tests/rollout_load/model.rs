//! One host that orders engines to change, on a clock of its own: what it
//! sends, and when engines have changed.

use std::time::Duration;

use marjoram_core::announce::{Announcements, Change, PERIOD};
use marjoram_core::broadcast::fan_out;
use marjoram_core::pace::{
    CALL_BYTES, CallLimiter, LinkSpeed, MAX_CONCURRENT_CALLS, MIN_POLL_INTERVAL,
};
use marjoram_core::rollout::{self, AnnouncedVersions};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The link of the host that orders.
pub const LINK: LinkSpeed = LinkSpeed(10.0);

/// Time to load, longer in proportion while more than a fifth load.
const LOAD: f64 = 0.57;

/// Time for a call that is answered, and for one that is not.
const CALL: f64 = 0.01;
const NO_ANSWER: f64 = 0.3;

/// Between the announcement and the order; between the order and the first
/// question; between looks; and the longest wait for the announcement.
const ORDER_DELAY: f64 = 0.12;
const FIRST_REPORT: f64 = 0.65;
const LOOK: f64 = 0.05;
const TOLD: f64 = 1.0;

/// How long a message gathers what is told at nearly the same time.
const GATHER: f64 = 0.015;

/// For how long an engine is told to be closed.
const CLOSED: Duration = Duration::from_millis(4_500);

/// Pause after a failed attempt, doubled for each further one, no more often
/// than so.
const ORDER_PAUSE: f64 = 0.4;
const ORDER_DOUBLINGS: u32 = 3;

/// Bytes of an engine in a message, of a group of them, and of all else.
const TOLD_BYTES: usize = 9;
const GROUP_BYTES: usize = 12;
const MESSAGE_BYTES: usize = 32;
const DATAGRAM_HEADERS: usize = 28;

const STEP: f64 = 0.005;

/// What is played.
#[derive(Debug, Clone)]
pub struct Play {
    pub hosts: usize,
    pub engines: usize,
    /// Time to finish running requests.
    pub finish: f64,
    /// When versions 2 and on are named.
    pub named: Vec<f64>,
    /// Share of the attempts that fail: half bring no report, half no order.
    pub failing: f64,
}

/// What came of it.
#[derive(Debug, Default)]
pub struct Outcome {
    /// When each engine had changed to the newest version last.
    pub changed: f64,
    /// Longest that an engine stayed on a version after it was replaced.
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
    AskFirst,
    /// Waits since then until others have been told.
    Announced(f64),
    Delayed(f64),
    Order,
    /// The next question is due then.
    Waiting(f64),
    Question,
}

struct Engine {
    step: Step,
    /// When the call under way began, or is to begin.
    call: Option<f64>,
    failures: u32,
    /// This attempt's report, or order, gets no answer.
    fails: (bool, bool),
    idle: u32,
    /// What is left of finishing and loading.
    finishing: f64,
    loading: Option<f64>,
    served: u64,
}

struct Model {
    play: Play,
    now: f64,
    engines: Vec<Engine>,
    seen: Vec<rollout::Engine>,
    told: Announcements,
    under_way: usize,
    paced: CallLimiter,
    calls: Vec<(f64, f64)>,
    messages: Vec<(f64, f64)>,
    rng: ChaCha8Rng,
}

fn secs(secs: f64) -> Duration {
    Duration::from_secs_f64(secs)
}

/// Plays until all engines serve the newest version, or `longest`.
pub fn play(play: &Play, longest: f64) -> Outcome {
    let mut model = Model::new(play.clone());
    let (mut named, mut outcome) = (AnnouncedVersions::new(), Outcome::default());
    let (mut look, mut message) = (0.0, 0.0);
    let newest = play.named.len() as u64 + 1;
    while model.now < longest {
        let now = model.now;
        for (version, at) in play.named.iter().enumerate() {
            if now >= *at {
                named.record_announced(version as u64 + 2, secs(now));
            }
        }
        if let Some(version) = named.newest().filter(|_| now >= look) {
            model.look(version);
            look = now + LOOK;
        }
        if now >= message {
            message = model.tell(now);
        }
        model.load();
        (0..play.engines).for_each(|engine| model.step(engine));
        let lags = model.engines.iter().filter_map(|e| named.replaced(e.served, secs(now)));
        outcome.lag = lags.map(|lag| lag.as_secs_f64()).fold(outcome.lag, f64::max);
        if model.engines.iter().all(|e| e.served == newest) {
            break;
        }
        model.now += STEP;
    }
    outcome.changed = model.now;
    outcome.message_rate = most_in_a_second(&model.messages);
    outcome.largest = model.messages.iter().map(|(_, bytes)| *bytes).fold(0.0, f64::max);
    outcome.call_rate = most_in_a_second(&model.calls);
    outcome
}

/// Most that any second holds.
fn most_in_a_second(sent: &[(f64, f64)]) -> f64 {
    let (mut first, mut sum, mut most) = (0, 0.0, 0.0f64);
    for (at, bytes) in sent {
        sum += bytes;
        while sent[first].0 <= at - 1.0 {
            sum -= sent[first].1;
            first += 1;
        }
        most = most.max(sum);
    }
    most
}

impl Model {
    fn new(play: Play) -> Self {
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
        let seen = |n| rollout::Engine {
            life: format!("e{n:03}").parse().unwrap(),
            version: 1,
            changing: None,
            pause: None,
            work: 1 + n as u64 % 5,
        };
        Self {
            now: 0.0,
            engines: (0..play.engines).map(engine).collect(),
            seen: (0..play.engines).map(seen).collect(),
            told: Announcements::default(),
            under_way: 0,
            paced: CallLimiter::default(),
            calls: Vec::new(),
            messages: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(0x10ad),
            play,
        }
    }

    /// Begins the changes that are due.
    fn look(&mut self, version: u64) {
        for life in rollout::next(&self.seen, version, secs(self.now)) {
            let at = self.seen.iter().position(|e| e.life == life).unwrap();
            self.seen[at].changing = Some(version);
            let half = self.play.failing / 2.0;
            let draw: f64 = self.rng.random();
            self.engines[at].fails = (draw < half, draw >= half && draw < half * 2.0);
            self.engines[at].step = Step::AskFirst;
        }
    }

    /// Sends the message that is due; when the next may be sent.
    fn tell(&mut self, now: f64) -> f64 {
        let Some(due) = self.told.due() else { return now };
        let at = due.as_secs_f64().max(now) + GATHER;
        if due > secs(now) {
            return now;
        }
        let next = self.told.next(secs(now));
        if next.is_empty() {
            return now;
        }
        let mut groups: Vec<(u64, bool)> = next.iter().map(|(_, change)| group(change)).collect();
        groups.sort_unstable();
        groups.dedup();
        let bytes = MESSAGE_BYTES + groups.len() * GROUP_BYTES + next.len() * TOLD_BYTES;
        let datagrams = fan_out(self.play.hosts - 1);
        self.messages.push((now, (datagrams * (bytes + DATAGRAM_HEADERS)) as f64));
        at + PERIOD.max(LINK.message_pause(datagrams, bytes)).as_secs_f64()
    }

    /// Engines that are ordered to finish, and then load.
    fn load(&mut self) {
        let is_loading = |e: &&Engine| e.loading.is_some() && e.finishing <= 0.0;
        let loading = self.engines.iter().filter(is_loading).count();
        let slow = (loading as f64 / (self.play.engines / 5).max(2) as f64).max(1.0);
        for (engine, seen) in self.engines.iter_mut().zip(&mut self.seen) {
            match engine.loading {
                Some(_) if engine.finishing > STEP => engine.finishing -= STEP,
                Some(_) if engine.finishing > 0.0 => (engine.finishing, seen.work) = (0.0, 0),
                Some(left) if left > STEP => engine.loading = Some(left - STEP / slow),
                Some(_) => {
                    engine.served = seen.changing.expect("it was ordered");
                    engine.loading = None;
                }
                None => {}
            }
        }
    }

    /// Whether the call of the engine `at`, begun as soon as one more is
    /// allowed, has ended after `time`.
    fn has_called(&mut self, at: usize, time: f64) -> bool {
        match self.engines[at].call {
            None if self.under_way < MAX_CONCURRENT_CALLS => {
                self.under_way += 1;
                let begins = self.now + self.paced.wait(LINK, secs(self.now)).as_secs_f64();
                self.calls.push((begins, CALL_BYTES));
                self.engines[at].call = Some(begins);
                false
            }
            Some(begun) if self.now >= begun + time => {
                self.under_way -= 1;
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
            Step::AskFirst if no_report => NO_ANSWER,
            Step::Order if no_order => NO_ANSWER,
            _ => CALL,
        };
        let calls = matches!(step, Step::AskFirst | Step::Order | Step::Question);
        if calls && !self.has_called(at, time) {
            return;
        }
        self.engines[at].step = match step {
            Step::AskFirst if no_report => self.end(at, false, false),
            Step::AskFirst => {
                self.close(at);
                Step::Announced(now)
            }
            Step::Announced(since) if self.told.is_announced(at as u64) || now >= since + TOLD => {
                Step::Delayed(now + ORDER_DELAY)
            }
            Step::Delayed(until) if now >= until => Step::Order,
            Step::Order => self.ordered(at, !no_order),
            Step::Waiting(until) if now >= until => {
                self.close(at);
                Step::Question
            }
            Step::Question => self.answered(at),
            step => step,
        };
    }

    /// An engine has been ordered to change, and accepted that or not.
    fn ordered(&mut self, at: usize, accepted: bool) -> Step {
        let engine = &mut self.engines[at];
        engine.idle = 0;
        if !accepted {
            return Step::Waiting(self.now + MIN_POLL_INTERVAL.as_secs_f64());
        }
        engine.finishing = self.play.finish;
        engine.loading = Some(LOAD);
        Step::Waiting(self.now + FIRST_REPORT)
    }

    /// An engine has answered whether it has changed.
    fn answered(&mut self, at: usize) -> Step {
        let engine = &mut self.engines[at];
        if Some(engine.served) == self.seen[at].changing {
            return self.end(at, true, true);
        }
        if engine.loading.is_none() && engine.idle >= 1 {
            return self.end(at, false, true);
        }
        if engine.loading.is_none() {
            engine.idle += 1;
            return Step::Waiting(self.now + MIN_POLL_INTERVAL.as_secs_f64());
        }
        Step::Waiting(self.now + self.pause())
    }

    fn pause(&self) -> f64 {
        let changing = self.seen.iter().filter(|e| e.changing.is_some()).count();
        LINK.poll_interval(changing).as_secs_f64()
    }

    fn close(&mut self, at: usize) {
        let version = self.seen[at].changing.expect("it is being changed");
        let change = Change::Closed { model: "m".into(), version, span: CLOSED };
        self.told.put(at as u64, change, secs(self.now));
    }

    /// An attempt has ended, of which others had been told if `closed`.
    fn end(&mut self, at: usize, changed: bool, closed: bool) -> Step {
        let (now, engine, seen) = (self.now, &mut self.engines[at], &mut self.seen[at]);
        seen.changing = None;
        seen.version = engine.served;
        seen.work = 1 + at as u64 % 5;
        match changed {
            true => engine.failures = 0,
            false => {
                let doubled = 2u32.pow(engine.failures.min(ORDER_DOUBLINGS));
                seen.pause = Some(secs(now + ORDER_PAUSE * f64::from(doubled)));
                engine.failures += 1;
            }
        }
        if closed {
            let change = Change::Open { model: "m".into(), version: seen.version };
            self.told.put(at as u64, change, secs(now));
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
