//! Promise: single-writer duties (orders to engines, snapshots) have one
//! holder at a time, whatever is paused, lost or late.
//!
//! Stateful fuzzing of three contenders before one log with conditional
//! append. Each has its own clock, off in zero and by up to 2% in rate.
//! Reads and appends may be answered late or never; an append given up on
//! may still be carried out long after; a contender may be paused at any
//! point (it simply takes no step while time moves on). The oracle looks at
//! all of them at once, as no router can: after every step at most one
//! holds the lease, and fencing tokens never fall.

#[path = "support/fuzz.rs"]
mod fuzz;

use std::time::Duration;

use marjoram_core::ids::{Fencing, Offset};
use marjoram_core::lease::{Attempt, Contender, Grant, Tail};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const ROUTERS: usize = 3;
const TTL: Duration = Duration::from_millis(3000);

#[derive(Debug, Clone)]
enum Step {
    /// Real time passes.
    Advance(u64),
    /// Router `r` reads, sends what it wants and hears back, all in time.
    Turn(usize),
    /// The log answers router `r`'s read; the answer is on its way.
    ReadLog(usize),
    /// Router `r` takes in that answer.
    Observe(usize),
    /// Router `r` sends the append it wants made.
    Send(usize),
    /// The log carries out the append sent `i`th (modulo those open).
    Execute(usize),
    /// Router `r` hears that its last append was made.
    Answer(usize),
    /// Router `r` stops waiting for its last append.
    GiveUp(usize),
    /// Router `r` gives the lease up.
    Release(usize),
}

#[derive(Debug, Clone)]
struct Append {
    attempt: Attempt,
    sent: Duration,
    done: Option<bool>,
}

struct Router {
    contender: Contender,
    zero: Duration,
    rate: f64,
    read: Option<Tail>,
    waiting: Option<usize>,
}

struct World {
    now: Duration,
    log: Vec<Grant>,
    routers: Vec<Router>,
    appends: Vec<Append>,
    highest: Option<Fencing>,
}

impl World {
    fn clock(&self, router: usize) -> Duration {
        let r = &self.routers[router];
        r.zero + self.now.mul_f64(r.rate)
    }

    fn tail(&self) -> Tail {
        Tail { next: Offset(self.log.len() as u64), last: self.log.last().cloned() }
    }

    fn send(&mut self, router: usize, attempt: Attempt) {
        let sent = self.clock(router);
        self.appends.push(Append { attempt, sent, done: None });
        self.routers[router].waiting = Some(self.appends.len() - 1);
    }
}

struct Contest;

impl ReferenceStateMachine for Contest {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_: &()) -> BoxedStrategy<Step> {
        let router = 0..ROUTERS;
        prop_oneof![
            8 => (50u64..1500).prop_map(Step::Advance),
            8 => router.clone().prop_map(Step::Turn),
            4 => router.clone().prop_map(Step::ReadLog),
            4 => router.clone().prop_map(Step::Observe),
            6 => router.clone().prop_map(Step::Send),
            6 => (0usize..4).prop_map(Step::Execute),
            6 => router.clone().prop_map(Step::Answer),
            1 => router.clone().prop_map(Step::GiveUp),
            1 => router.prop_map(Step::Release),
        ]
        .boxed()
    }

    fn apply(state: (), _: &Step) {
        state
    }
}

struct ContestTest;

impl StateMachineTest for ContestTest {
    type SystemUnderTest = World;
    type Reference = Contest;

    fn init_test(_: &()) -> World {
        let router = |i: usize| Router {
            contender: Contender::new(format!("r{i}"), TTL),
            zero: Duration::from_secs(1000 * i as u64),
            rate: 0.98 + 0.02 * i as f64,
            read: None,
            waiting: None,
        };
        World {
            now: Duration::ZERO,
            log: Vec::new(),
            routers: (0..ROUTERS).map(router).collect(),
            appends: Vec::new(),
            highest: None,
        }
    }

    fn apply(mut world: World, _: &(), step: Step) -> World {
        match step {
            Step::Advance(ms) => world.now += Duration::from_millis(ms),
            Step::Turn(r) if world.routers[r].waiting.is_none() => {
                let now = world.clock(r);
                let tail = world.tail();
                world.routers[r].contender.observe(tail, now);
                if let Some(attempt) = world.routers[r].contender.attempt(now) {
                    world.log.push(attempt.grant.clone());
                    world.routers[r].contender.granted(&attempt, now);
                }
            }
            Step::ReadLog(r) if world.routers[r].waiting.is_none() => {
                world.routers[r].read = Some(world.tail());
            }
            Step::Observe(r) => {
                let now = world.clock(r);
                if let Some(tail) = world.routers[r].read.take() {
                    world.routers[r].contender.observe(tail, now);
                }
            }
            Step::Send(r) if world.routers[r].waiting.is_none() => {
                world.routers[r].read = None;
                if let Some(attempt) = world.routers[r].contender.attempt(world.clock(r)) {
                    world.send(r, attempt);
                }
            }
            Step::Execute(i) => {
                let open: Vec<usize> =
                    (0..world.appends.len()).filter(|&i| world.appends[i].done.is_none()).collect();
                if let Some(&index) = open.get(i % open.len().max(1)) {
                    let append = &mut world.appends[index];
                    let holds = append.attempt.at == Offset(world.log.len() as u64);
                    append.done = Some(holds);
                    if holds {
                        world.log.push(append.attempt.grant.clone());
                    }
                }
            }
            Step::Answer(r) => {
                let done = world.routers[r].waiting.map(|i| world.appends[i].clone());
                match done {
                    Some(Append { done: Some(made), attempt, sent, .. }) => {
                        world.routers[r].waiting = None;
                        if made && attempt.grant.ttl_ms > 0 {
                            world.routers[r].contender.granted(&attempt, sent);
                        }
                    }
                    _ => return world,
                }
            }
            Step::GiveUp(r) => world.routers[r].waiting = None,
            Step::Release(r) if world.routers[r].waiting.is_none() => {
                if let Some(attempt) = world.routers[r].contender.release() {
                    world.routers[r].contender.resign();
                    world.send(r, attempt);
                }
            }
            Step::Turn(_) | Step::ReadLog(_) | Step::Send(_) | Step::Release(_) => {}
        }
        let held: Vec<(usize, Fencing)> = (0..ROUTERS)
            .filter_map(|r| Some((r, world.routers[r].contender.token(world.clock(r))?)))
            .collect();
        assert!(held.len() <= 1, "held by several at {:?}: {held:?}", world.now);
        if let Some((router, token)) = held.first().copied() {
            assert!(Some(token) >= world.highest, "router {router} holds {token} after a newer");
            world.highest = Some(token);
        }
        world
    }
}

prop_state_machine! {
    #![proptest_config(fuzz::config(0x1ea5))]

    #[test]
    fn one_holder_at_a_time_and_tokens_rise(sequential 20..160 => ContestTest);
}

/// The fuzzing above would also pass if nobody ever got the lease.
#[test]
fn a_lease_is_taken_renewed_and_taken_over() {
    let second = Duration::from_secs(1);
    let mut log: Vec<Grant> = Vec::new();
    let mut a = Contender::new("a", TTL);
    let mut b = Contender::new("b", TTL);
    let mut tokens = Vec::new();
    for tick in 0..40u32 {
        let now = second * tick / 2;
        for (name, c) in [("a", &mut a), ("b", &mut b)] {
            if name == "a" && tick > 20 {
                continue; // a is paused
            }
            c.observe(Tail { next: Offset(log.len() as u64), last: log.last().cloned() }, now);
            if let Some(attempt) = c.attempt(now) {
                log.push(attempt.grant.clone());
                c.granted(&attempt, now);
            }
            tokens.extend(c.token(now).map(|t| (name, t)));
        }
    }
    assert_eq!(tokens.first(), Some(&("a", Fencing(0))));
    let held_by_a = tokens.iter().filter(|(n, _)| *n == "a").count();
    assert!(held_by_a >= 10, "a keeps the lease while it renews: {tokens:?}");
    let (last, token) = tokens.last().unwrap();
    assert_eq!(*last, "b", "b takes over from a paused holder");
    assert!(*token > Fencing(0), "with a higher token");
}
