//! Invariants: a call that may not be repeated runs at most once, and a call
//! refused as "not run" has not run.
//!
//! Stateful fuzzing of the claim protocol: three routers, each with its
//! own [`Claims`] read from one shared log at its own speed, make attempts
//! with a few idempotency keys. Appends fail during outages, or take effect
//! although their answer is lost; routers crash after sending and before the
//! outcome is recorded; callers retry on other routers; routers restart
//! without state; the log drops old records. The oracle records the calls
//! actually sent per key. After every step no key has been sent twice
//! while the log still kept a record of its first call, no attempt answered
//! "not run" was sent, every replayed answer is the answer of a call sent,
//! and a key that every claimant abandoned unsent can be claimed again.

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
    /// Router `r` claims key `k`; `fault` 0: none, 1: outage, 2: answer lost,
    /// 3: answer lost and claim appended only after the abandon.
    Begin(usize, usize, u8),
    /// Attempt `i` (modulo the attempts) reads the log to its end and acts on the decision.
    Decide(usize),
    /// Attempt `i`, if it was sent, records its outcome, or its router crashes first.
    Finish(usize, bool),
    /// Router `r` reads up to `n` more records in the background.
    Read(usize, usize),
    /// Router `r` restarts without state and loses its attempts.
    Restart(usize),
    /// The log drops its `n` oldest records.
    Expire(usize),
}

#[derive(Debug, Clone, PartialEq)]
enum Stage {
    Claimed(Offset),
    Sent,
    Ended,
}

#[derive(Debug, Clone)]
struct Attempt {
    router: usize,
    key: String,
    owner: String,
    stage: Stage,
    not_run: bool,
    /// Whether it left no claim behind that could block the key.
    releases_key: bool,
}

#[derive(Default)]
struct World {
    log: Vec<ClaimRecord>,
    /// Records before this offset have expired.
    first_kept: usize,
    routers: Vec<Claims>,
    attempts: Vec<Attempt>,
    /// Calls sent by key, with the offset of their last record.
    sent: HashMap<String, Vec<(Answer, usize)>>,
    replays: Vec<(String, Answer)>,
}

impl World {
    fn read(&mut self, router: usize, end: usize) {
        let claims = &mut self.routers[router];
        claims.forget_before(Offset(self.first_kept as u64));
        let from = claims.next().0 as usize;
        for offset in from..end.min(self.log.len()) {
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
            3 => (0..ROUTERS, 0..KEYS, prop_oneof![4 => Just(0u8), 1 => 1u8..4])
                .prop_map(|(r, k, f)| Step::Begin(r, k, f)),
            4 => (0usize..64).prop_map(Step::Decide),
            2 => (0usize..64, any::<bool>()).prop_map(|(i, c)| Step::Finish(i, c)),
            1 => (0..ROUTERS, 1usize..4).prop_map(|(r, n)| Step::Read(r, n)),
            1 => (0..ROUTERS).prop_map(Step::Restart),
            1 => (1usize..6).prop_map(Step::Expire),
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
                    1 => Stage::Ended,
                    _ => {
                        let abandon =
                            ClaimRecord::Abandon { key: key.clone(), owner: owner.clone() };
                        let (first, second) = match fault {
                            2 => (claim, abandon),
                            _ => (abandon, claim),
                        };
                        world.append(first);
                        world.append(second);
                        Stage::Ended
                    }
                };
                let not_run = stage == Stage::Ended;
                world.attempts.push(Attempt {
                    router,
                    key,
                    owner,
                    stage,
                    not_run,
                    releases_key: not_run,
                });
            }
            Step::Decide(index) if !world.attempts.is_empty() => {
                let index = index % world.attempts.len();
                let Attempt { router, key, owner, stage, .. } = world.attempts[index].clone();
                let Stage::Claimed(claimed) = stage else {
                    return world;
                };
                world.read(router, world.log.len());
                // As in the router, a claim that expired before it was acted on is not abandoned.
                if (claimed.0 as usize) < world.first_kept {
                    world.attempts[index].stage = Stage::Ended;
                    world.attempts[index].not_run = true;
                    return world;
                }
                let decision = world.routers[router].decide(&key, &owner, claimed);
                let attempt = &mut world.attempts[index];
                match decision {
                    Decision::Send => {
                        attempt.stage = Stage::Sent;
                        let answer = Answer { status: 200, kind: None, body: owner.clone().into() };
                        let first_kept = world.first_kept;
                        let sends = world.sent.entry(key.clone()).or_default();
                        let kept: Vec<_> =
                            sends.iter().filter(|(_, last)| *last >= first_kept).collect();
                        assert!(
                            kept.is_empty(),
                            "{key} sent again while the log keeps its first call: {kept:?}"
                        );
                        sends.push((answer, claimed.0 as usize));
                    }
                    Decision::Done(answer) => {
                        attempt.stage = Stage::Ended;
                        world.replays.push((key, answer));
                    }
                    Decision::Held(_) => attempt.stage = Stage::Ended,
                    Decision::Unseen => {
                        attempt.stage = Stage::Ended;
                        attempt.not_run = true;
                        attempt.releases_key = true;
                        world.append(ClaimRecord::Abandon { key, owner });
                    }
                }
            }
            Step::Finish(index, crash) if !world.attempts.is_empty() => {
                let index = index % world.attempts.len();
                if world.attempts[index].stage == Stage::Sent {
                    world.attempts[index].stage = Stage::Ended;
                    let Attempt { key, owner, .. } = world.attempts[index].clone();
                    if !crash {
                        let answer = Answer { status: 200, kind: None, body: owner.clone().into() };
                        let record = ClaimRecord::Outcome {
                            key: key.clone(),
                            owner,
                            answer: answer.clone(),
                        };
                        let last = world.append(record).0 as usize;
                        let sends = world.sent.entry(key).or_default();
                        sends.iter_mut().filter(|s| s.0 == answer).for_each(|s| s.1 = last);
                    }
                }
            }
            Step::Read(router, count) => {
                let end = world.routers[router].next().0 as usize + count;
                world.read(router, end);
            }
            Step::Restart(router) => {
                world.routers[router] = Claims::new();
                let lost = world.attempts.iter_mut().filter(|a| a.router == router);
                lost.for_each(|a| a.stage = Stage::Ended);
            }
            Step::Expire(count) => {
                world.first_kept = (world.first_kept + count).min(world.log.len())
            }
            Step::Decide(_) | Step::Finish(..) => {}
        }
        world
    }

    fn check_invariants(world: &World, _: &()) {
        for attempt in world.attempts.iter().filter(|a| a.not_run) {
            let sent = world.sent.get(&attempt.key).into_iter().flatten();
            assert!(
                sent.into_iter().all(|(a, _)| a.body != attempt.owner.as_bytes()),
                "{} was answered as not run but was sent",
                attempt.owner
            );
        }
        for (key, answer) in &world.replays {
            let sent = world.sent.get(key).into_iter().flatten();
            assert!(sent.into_iter().any(|(a, _)| a == answer), "replay of {key} was never sent");
        }
        for key in (0..KEYS).map(|k| format!("k{k}")) {
            let mut claimants = world.attempts.iter().filter(|a| a.key == key);
            if claimants.all(|a| a.releases_key) {
                assert_claimable(world, &key);
            }
        }
    }
}

/// Checks that a new claim for `key` would be sent.
fn assert_claimable(world: &World, key: &str) {
    let mut claims = Claims::new();
    let mut log = world.log.clone();
    log.push(ClaimRecord::Claim { key: key.into(), owner: "next".into() });
    for (offset, record) in log.iter().enumerate() {
        claims.apply(Offset(offset as u64), record);
    }
    let claimed = Offset(log.len() as u64 - 1);
    assert_eq!(
        claims.decide(key, "next", claimed),
        Decision::Send,
        "{key} was abandoned unsent but cannot be claimed"
    );
}

prop_state_machine! {
    #![proptest_config(fuzz::config(0x0c1a))]

    #[test]
    fn calls_run_at_most_once_and_not_run_is_truthful(sequential 1..60 => ProtocolTest);
}

/// Runs `steps` and checks the invariants after each.
fn replay(steps: &[Step]) {
    let mut world = ProtocolTest::init_test(&());
    for step in steps {
        world = ProtocolTest::apply(world, &(), step.clone());
        ProtocolTest::check_invariants(&world, &());
    }
}

/// The second claimant must read beyond its own claim, since the first one's claim
/// may have expired before its outcome.
#[test]
fn outcome_after_the_own_claim_is_read() {
    replay(&[
        Step::Begin(0, 2, 0),
        Step::Decide(0),
        Step::Begin(0, 2, 0),
        Step::Expire(1),
        Step::Finish(0, false),
        Step::Decide(1),
    ]);
}

/// Abandoning an expired claim would free the key only on routers that still
/// have that claim in memory.
#[test]
fn expired_claim_is_not_abandoned() {
    replay(&[
        Step::Begin(0, 0, 0),
        Step::Begin(2, 0, 0),
        Step::Begin(1, 0, 0),
        Step::Decide(1),
        Step::Expire(2),
        Step::Decide(0),
        Step::Begin(2, 0, 0),
        Step::Decide(3),
        Step::Decide(2),
    ]);
}
