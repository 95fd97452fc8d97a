//! Invariants: an account counts each claim of a host's current incarnation until it ends, its
//! prompt tokens until they are prefilled or 4 s old, and nothing after 12 s.
//!
//! Stateful fuzzing of one ledger against a list of claims. Changes are repeated, and reported for
//! claims that are unknown or have ended; hosts restart and leave; old claims are removed seldom.

#[path = "support/fuzz.rs"]
mod fuzz;

use std::collections::HashMap;
use std::time::Duration;

use marjoram_core::backlog::{Change, ClaimChange, Ledger};
use marjoram_core::quota::ledger::Sender;
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const HOSTS: u64 = 3;
const ENGINES: u64 = 2;
const MAX_UNREAD_MS: u64 = 4_000;
const MAX_CLAIM_MS: u64 = 12_000;

#[derive(Debug, Clone)]
enum Step {
    /// The host reports a change of a claim.
    Report { host: u64, change: ClaimChange },
    /// The host restarts and reports no change.
    Restart { host: u64 },
    /// Old claims are removed, and those of hosts and engines other than these.
    Expire { hosts: Vec<u64>, engines: Vec<u64> },
    /// Time advances by this many milliseconds.
    Advance(u64),
}

#[derive(Debug, Clone)]
struct Claim {
    host: u64,
    upstream: u64,
    request: u64,
    unread: u64,
    memory: u64,
    sent: u64,
}

#[derive(Debug, Clone, Default)]
struct Claims {
    claims: Vec<Claim>,
    /// The number of restarts of each host.
    lives: HashMap<u64, u64>,
    /// Number of the next request.
    next: u64,
    now: u64,
}

impl Claims {
    fn sender(&self, host: u64) -> Sender {
        Sender { host, life: self.lives.get(&host).copied().unwrap_or_default() }
    }

    fn position(&self, host: u64, change: &ClaimChange) -> Option<usize> {
        let same =
            |c: &Claim| (c.host, c.upstream, c.request) == (host, change.upstream, change.request);
        self.claims.iter().position(same)
    }

    fn report(&mut self, host: u64, change: &ClaimChange) {
        self.next = self.next.max(change.request + 1);
        let ClaimChange { request, upstream, .. } = *change;
        match (change.change, self.position(host, change)) {
            (Change::Sent { tokens, memory }, None) => {
                let sent = self.now;
                self.claims.push(Claim { host, upstream, request, unread: tokens, memory, sent });
            }
            (Change::Read, Some(index)) => self.claims[index].unread = 0,
            (Change::Ended, Some(index)) => drop(self.claims.remove(index)),
            _ => {}
        }
    }

    fn younger(&self, upstream: u64, max_age: u64) -> impl Iterator<Item = &Claim> {
        let is_counted = move |c: &&Claim| c.upstream == upstream && self.now - c.sent < max_age;
        self.claims.iter().filter(is_counted)
    }
}

struct Reports;

impl ReferenceStateMachine for Reports {
    type State = Claims;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Claims> {
        Just(Claims::default()).boxed()
    }

    fn transitions(state: &Claims) -> BoxedStrategy<Step> {
        let next = state.next;
        // Most prompts are too small for a sample of the throughput, so that it stays unknown.
        let tokens = prop_oneof![4 => 0u64..2_000, 1 => 2_000u64..20_000];
        let sent =
            (tokens, 0u64..20_000).prop_map(|(tokens, memory)| Change::Sent { tokens, memory });
        let sent = (prop_oneof![4 => Just(0), 1 => 1u64..6], sent);
        let later = (1u64..10, prop_oneof![Just(Change::Read), Just(Change::Ended)]);
        let report = (0..HOSTS, 0..ENGINES, prop_oneof![sent, later]).prop_map(
            move |(host, upstream, (back, change))| {
                let request = next.saturating_sub(back);
                Step::Report { host, change: ClaimChange { request, upstream, change } }
            },
        );
        let subset =
            |count| prop::sample::subsequence((0..count).collect::<Vec<u64>>(), 1..=count as usize);
        let expire = (subset(HOSTS), subset(ENGINES))
            .prop_map(|(hosts, engines)| Step::Expire { hosts, engines });
        prop_oneof![
            24 => report,
            1 => (0..HOSTS).prop_map(|host| Step::Restart { host }),
            1 => expire,
            6 => (1u64..1_500).prop_map(Step::Advance),
        ]
        .boxed()
    }

    fn preconditions(state: &Claims, step: &Step) -> bool {
        // Request numbers are random, so none is used again after its claim is too old.
        match step {
            Step::Report { host, change } => state
                .position(*host, change)
                .is_none_or(|i| state.now - state.claims[i].sent < MAX_CLAIM_MS),
            _ => true,
        }
    }

    fn apply(mut state: Claims, step: &Step) -> Claims {
        match step {
            Step::Report { host, change } => state.report(*host, change),
            Step::Restart { host } => {
                *state.lives.entry(*host).or_default() += 1;
                state.claims.retain(|c| c.host != *host);
            }
            Step::Expire { hosts, engines } => {
                let now = state.now;
                state.claims.retain(|c| {
                    hosts.contains(&c.host)
                        && engines.contains(&c.upstream)
                        && now - c.sent < MAX_CLAIM_MS
                });
            }
            Step::Advance(ms) => state.now += ms,
        }
        state
    }
}

struct LedgerTest;

impl StateMachineTest for LedgerTest {
    type SystemUnderTest = Ledger;
    type Reference = Reports;

    fn init_test(_: &Claims) -> Ledger {
        Ledger::new()
    }

    fn apply(mut ledger: Ledger, state: &Claims, step: Step) -> Ledger {
        let now = Duration::from_millis(state.now);
        match step {
            Step::Report { host, change } => {
                ledger.apply(state.sender(host), &[change], |_| 0.0, now);
            }
            Step::Restart { host } => ledger.apply(state.sender(host), &[], |_| 0.0, now),
            Step::Expire { hosts, engines } => {
                ledger.expire(|host| hosts.contains(&host), |key| engines.contains(&key), now);
            }
            Step::Advance(_) => {}
        }
        ledger
    }

    fn check_invariants(ledger: &Ledger, state: &Claims) {
        for upstream in 0..ENGINES {
            let account = ledger.account(upstream, 0.0, Duration::from_millis(state.now));
            let claims = || state.younger(upstream, MAX_CLAIM_MS);
            let memory: u64 = claims().map(|c| c.memory).sum();
            assert_eq!((account.requests, account.memory), (claims().count() as u32, memory));
            let waiting = || state.younger(upstream, MAX_UNREAD_MS).filter(|c| c.unread > 0);
            let unread: u64 = waiting().map(|c| c.unread).sum();
            // Only the prompt at the head of the queue can be prefilled in part. Claims of the same
            // age are in no order.
            let head = waiting().map(|c| c.sent).min();
            let heads = waiting().filter(|c| Some(c.sent) == head);
            let partial = account.throughput.and(heads.map(|c| c.unread).max()).unwrap_or(0);
            let possible = unread - partial..=unread;
            assert!(possible.contains(&account.unread), "{account:?} outside {possible:?}");
        }
    }
}

prop_state_machine! {
    #![proptest_config(fuzz::config(0xbac1))]

    #[test]
    fn accounts_count_no_claim_that_has_ended_and_miss_none_that_lasts(
        sequential 20..160 => LedgerTest
    );
}
