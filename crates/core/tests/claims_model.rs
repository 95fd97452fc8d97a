//! Promises: a call that may not be repeated runs at most once, and a
//! refusal saying "not run" is true.
//!
//! Stateful fuzzing of the claim protocol: three routers, each with its
//! own [`Claims`] read from one shared log at its own pace, make attempts
//! at a few idempotency keys. Appends fail during outages, or take effect
//! with their answer lost; routers crash after sending and before the
//! outcome is recorded; callers retry on other routers. The oracle is
//! plain: per key, the calls actually sent. After every step no key has
//! been sent twice, no attempt answered "not run" was sent, and every
//! replayed answer is the answer of the one call sent.

#[path = "support/fuzz.rs"]
mod fuzz;

use std::collections::HashMap;

use marjoram_core::claims::{Answer, ClaimRecord, Claims, Decision};
use marjoram_core::ids::Offset;
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const ROUTERS: usize = 3;
const KEYS: usize = 3;

#[derive(Debug, Clone)]
enum Step {
    /// Router `r` claims key `k`; `fault` 0: fine, 1: outage, 2: answer lost.
    Begin(usize, usize, u8),
    /// The attempt `i` (modulo the attempts) reads its claim back and acts.
    Decide(usize),
    /// The attempt `i` that sent records its outcome, or crashes first.
    Finish(usize, bool),
    /// Router `r` reads up to `n` more records in the background.
    Read(usize, usize),
}

#[derive(Debug, Clone, PartialEq)]
enum Stage {
    Claimed(Offset),
    Sent,
    Over,
}

#[derive(Debug, Clone)]
struct Attempt {
    router: usize,
    key: String,
    owner: String,
    stage: Stage,
    not_run: bool,
}

#[derive(Default)]
struct World {
    log: Vec<ClaimRecord>,
    routers: Vec<Claims>,
    attempts: Vec<Attempt>,
    sent: HashMap<String, Vec<Answer>>,
    replays: Vec<(String, Answer)>,
}

impl World {
    fn read(&mut self, router: usize, upto: usize) {
        let claims = &mut self.routers[router];
        let from = claims.next().0 as usize;
        for offset in from..upto.min(self.log.len()) {
            claims.apply(Offset(offset as u64), &self.log[offset]);
        }
    }

    fn append(&mut self, record: ClaimRecord) -> Offset {
        self.log.push(record);
        Offset(self.log.len() as u64 - 1)
    }
}

struct Protocol;

impl ReferenceStateMachine for Protocol {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_: &()) -> BoxedStrategy<Step> {
        prop_oneof![
            3 => (0..ROUTERS, 0..KEYS, prop_oneof![4 => Just(0u8), 1 => Just(1u8), 1 => Just(2u8)])
                .prop_map(|(r, k, f)| Step::Begin(r, k, f)),
            4 => (0usize..64).prop_map(Step::Decide),
            2 => (0usize..64, any::<bool>()).prop_map(|(i, c)| Step::Finish(i, c)),
            1 => (0..ROUTERS, 1usize..4).prop_map(|(r, n)| Step::Read(r, n)),
        ]
        .boxed()
    }

    fn apply(state: (), _: &Step) {
        state
    }
}

struct ProtocolTest;

impl StateMachineTest for ProtocolTest {
    type SystemUnderTest = World;
    type Reference = Protocol;

    fn init_test(_: &()) -> World {
        World { routers: vec![Claims::new(); ROUTERS], ..World::default() }
    }

    fn apply(mut world: World, _: &(), step: Step) -> World {
        match step {
            Step::Begin(router, key, fault) => {
                let key = format!("k{key}");
                let owner = format!("r{router}/{}", world.attempts.len());
                let claim = ClaimRecord::Claim { key: key.clone(), owner: owner.clone() };
                let stage = match fault {
                    0 => Stage::Claimed(world.append(claim)),
                    1 => Stage::Over,
                    _ => {
                        world.append(claim);
                        let abandon =
                            ClaimRecord::Abandon { key: key.clone(), owner: owner.clone() };
                        world.append(abandon);
                        Stage::Over
                    }
                };
                let not_run = stage == Stage::Over;
                world.attempts.push(Attempt { router, key, owner, stage, not_run });
            }
            Step::Decide(index) if !world.attempts.is_empty() => {
                let index = index % world.attempts.len();
                let Attempt { router, key, owner, stage, .. } = world.attempts[index].clone();
                let Stage::Claimed(claimed) = stage else {
                    return world;
                };
                world.read(router, claimed.0 as usize + 1);
                let decision = world.routers[router].decide(&key, &owner, claimed);
                let attempt = &mut world.attempts[index];
                match decision {
                    Decision::Send => {
                        attempt.stage = Stage::Sent;
                        let answer = Answer { status: 200, body: owner.clone() };
                        world.sent.entry(key).or_default().push(answer);
                    }
                    Decision::Done(answer) => {
                        attempt.stage = Stage::Over;
                        world.replays.push((key, answer));
                    }
                    Decision::Held(_) => attempt.stage = Stage::Over,
                    Decision::Unseen => {
                        attempt.stage = Stage::Over;
                        attempt.not_run = true;
                        world.append(ClaimRecord::Abandon { key, owner });
                    }
                }
            }
            Step::Finish(index, crash) if !world.attempts.is_empty() => {
                let index = index % world.attempts.len();
                if world.attempts[index].stage == Stage::Sent {
                    world.attempts[index].stage = Stage::Over;
                    let Attempt { key, owner, .. } = world.attempts[index].clone();
                    if !crash {
                        let answer = Answer { status: 200, body: owner.clone() };
                        world.append(ClaimRecord::Outcome { key, owner, answer });
                    }
                }
            }
            Step::Read(router, count) => {
                let upto = world.routers[router].next().0 as usize + count;
                world.read(router, upto);
            }
            Step::Decide(_) | Step::Finish(..) => {}
        }
        world
    }

    fn check_invariants(world: &World, _: &()) {
        for (key, sends) in &world.sent {
            assert!(sends.len() <= 1, "key {key} sent {} times: {sends:?}", sends.len());
        }
        for attempt in world.attempts.iter().filter(|a| a.not_run) {
            let sent = world.sent.get(&attempt.key).into_iter().flatten();
            assert!(
                sent.into_iter().all(|a| a.body != attempt.owner),
                "{} said not run but sent",
                attempt.owner
            );
        }
        for (key, answer) in &world.replays {
            assert_eq!(
                world.sent.get(key).and_then(|s| s.first()),
                Some(answer),
                "replay of {key}"
            );
        }
    }
}

prop_state_machine! {
    #![proptest_config(fuzz::config(0x0c1a))]

    #[test]
    fn calls_run_at_most_once_and_not_run_is_true(sequential 1..60 => ProtocolTest);
}
