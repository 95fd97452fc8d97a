//! Invariant: single-writer tasks (orders to engines, snapshots) have one
//! lease holder at a time, despite pauses, losses and delays.
//!
//! Stateful fuzzing of three contenders for a lease in one log with conditional
//! append. Each has its own clock, with a different zero and up to 2% off in rate.
//! Reads and appends may be answered late or never; an append that timed out
//! may still be carried out long after; a contender may be paused at any
//! point (it takes no step while time advances). The oracle checks all
//! contenders at once, which no router can do: after every step at most one
//! holds the lease, and fencing tokens never decrease.

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
    /// Real time advances.
    Advance(u64),
    /// Router `r` reads, sends its append and receives the answer, all without delay.
    Cycle(usize),
    /// The log answers router `r`'s read; the answer is in transit.
    ReadLog(usize),
    /// Router `r` receives that answer.
    Observe(usize),
    /// Router `r` sends an append, if it attempts one.
    Send(usize),
    /// The log carries out the `i`th pending append (modulo the pending ones).
    Execute(usize),
    /// Router `r` receives the answer to its last append.
    Answer(usize),
    /// Router `r` stops waiting for its last append.
    GiveUp(usize),
    /// Router `r` releases the lease.
    Release(usize),
}

#[derive(Debug, Clone)]
struct Append {
    attempt: Attempt,
    sent: Duration,
    result: Option<bool>,
}

struct Router {
    contender: Contender,
    clock_offset: Duration,
    rate: f64,
    /// The answer to its read that is in transit.
    read: Option<Tail>,
    /// Index of the append whose answer it waits for.
    waiting: Option<usize>,
}

struct World {
    now: Duration,
    log: Vec<Grant>,
    routers: Vec<Router>,
    appends: Vec<Append>,
    highest_token: Option<Fencing>,
}

impl World {
    fn clock(&self, router: usize) -> Duration {
        let r = &self.routers[router];
        r.clock_offset + self.now.mul_f64(r.rate)
    }

    fn tail(&self) -> Tail {
        Tail { next: Offset(self.log.len() as u64), last: self.log.last().cloned() }
    }

    fn send(&mut self, router: usize, attempt: Attempt) {
        let sent = self.clock(router);
        self.appends.push(Append { attempt, sent, result: None });
        self.routers[router].waiting = Some(self.appends.len() - 1);
    }
}

struct Contention;

impl ReferenceStateMachine for Contention {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_: &()) -> BoxedStrategy<Step> {
        let router = 0..ROUTERS;
        prop_oneof![
            8 => (50u64..1500).prop_map(Step::Advance),
            8 => router.clone().prop_map(Step::Cycle),
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

struct ContentionTest;

impl StateMachineTest for ContentionTest {
    type SystemUnderTest = World;
    type Reference = Contention;

    fn init_test(_: &()) -> World {
        let router = |i: usize| Router {
            contender: Contender::new(format!("r{i}"), TTL),
            clock_offset: Duration::from_secs(1000 * i as u64),
            rate: 0.98 + 0.02 * i as f64,
            read: None,
            waiting: None,
        };
        World {
            now: Duration::ZERO,
            log: Vec::new(),
            routers: (0..ROUTERS).map(router).collect(),
            appends: Vec::new(),
            highest_token: None,
        }
    }

    fn apply(mut world: World, _: &(), step: Step) -> World {
        match step {
            Step::Advance(ms) => world.now += Duration::from_millis(ms),
            Step::Cycle(r) if world.routers[r].waiting.is_none() => {
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
                let pending: Vec<usize> = (0..world.appends.len())
                    .filter(|&i| world.appends[i].result.is_none())
                    .collect();
                if let Some(&index) = pending.get(i % pending.len().max(1)) {
                    let append = &mut world.appends[index];
                    let matches = append.attempt.at == Offset(world.log.len() as u64);
                    append.result = Some(matches);
                    if matches {
                        world.log.push(append.attempt.grant.clone());
                    }
                }
            }
            Step::Answer(r) => {
                let result = world.routers[r].waiting.map(|i| world.appends[i].clone());
                match result {
                    Some(Append { result: Some(appended), attempt, sent, .. }) => {
                        world.routers[r].waiting = None;
                        if appended && attempt.grant.ttl_ms > 0 {
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
            Step::Cycle(_) | Step::ReadLog(_) | Step::Send(_) | Step::Release(_) => {}
        }
        let holders: Vec<(usize, Fencing)> = (0..ROUTERS)
            .filter_map(|r| Some((r, world.routers[r].contender.token(world.clock(r))?)))
            .collect();
        assert!(holders.len() <= 1, "several lease holders at {:?}: {holders:?}", world.now);
        if let Some((router, token)) = holders.first().copied() {
            assert!(
                Some(token) >= world.highest_token,
                "router {router} has {token} after a newer token"
            );
            world.highest_token = Some(token);
        }
        world
    }
}

prop_state_machine! {
    #![proptest_config(fuzz::config(0x1ea5))]

    #[test]
    fn one_holder_at_a_time_and_tokens_never_decrease(sequential 20..160 => ContentionTest);
}

/// Guards against a vacuous pass: the fuzzing above would also pass if no contender ever got
/// the lease.
#[test]
fn a_lease_is_acquired_renewed_and_taken_over() {
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
    assert_eq!(*last, "b", "b takes over from a paused lease holder");
    assert!(*token > Fencing(0), "with a higher token");
}
