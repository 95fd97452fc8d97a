//! Invariant: membership among routers converges after kills, partitions and pauses.
//!
//! Stateful fuzzing of five routers that ping each other in turn. Links are
//! cut and restored, routers are killed and restarted (with a clock that may
//! have stepped back, so a lower incarnation than before) and drained. The
//! oracle is each router's actual state: once all links are restored, after a
//! bounded number of rounds every table must show the actual status of every router.

#[path = "support/fuzz.rs"]
mod fuzz;

use std::collections::HashSet;

use marjoram_core::ids::Incarnation;
use marjoram_core::members::{Members, Status};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const ROUTERS: usize = 5;

/// Rounds (each router pinging every other once) within which tables must converge.
const ROUNDS: usize = 4;

#[derive(Debug, Clone)]
enum Step {
    /// Router `a` pings router `b`.
    Ping(usize, usize),
    /// The link between two routers is cut or restored.
    Cut(usize, usize, bool),
    /// A router is killed.
    Kill(usize),
    /// A killed router restarts with its clock at `incarnation`.
    Start(usize, u64),
    /// A router declares itself ready or draining.
    Declare(usize, Status),
}

struct Fleet {
    tables: Vec<Option<Members>>,
    cut_links: HashSet<(usize, usize)>,
}

fn addr(i: usize) -> String {
    format!("r{i}")
}

fn link(a: usize, b: usize) -> (usize, usize) {
    (a.min(b), a.max(b))
}

impl Fleet {
    fn ping(&mut self, a: usize, b: usize) {
        let cut = self.cut_links.contains(&link(a, b));
        let Some(mut from) = self.tables[a].take() else {
            return;
        };
        match self.tables[b].as_mut().filter(|_| !cut) {
            Some(to) => {
                let ping = from.outgoing_updates();
                to.merge(&ping);
                from.merge(&to.outgoing_updates());
                from.answered(&addr(b));
            }
            None => {
                from.missed(&addr(b));
            }
        }
        self.tables[a] = Some(from);
    }

    fn converge(&mut self) {
        self.cut_links.clear();
        for _ in 0..ROUNDS {
            for a in 0..ROUTERS {
                for b in (0..ROUTERS).filter(|&b| b != a) {
                    self.ping(a, b);
                }
            }
        }
        for a in 0..ROUTERS {
            let Some(table) = &self.tables[a] else { continue };
            for b in 0..ROUTERS {
                let actual = self.tables[b].as_ref().map(|t| t.me().status);
                let listed = table.status(&addr(b));
                match actual {
                    Some(status) => {
                        assert_eq!(listed, Some(status), "status of r{b} in the table of r{a}")
                    }
                    None => assert_eq!(
                        listed,
                        Some(Status::Down),
                        "status of the dead r{b} in the table of r{a}"
                    ),
                }
            }
        }
    }
}

struct FleetModel;

impl ReferenceStateMachine for FleetModel {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_: &()) -> BoxedStrategy<Step> {
        let router = 0..ROUTERS;
        let pair = (0..ROUTERS, 1..ROUTERS).prop_map(|(a, d)| (a, (a + d) % ROUTERS));
        let status = prop_oneof![Just(Status::Ready), Just(Status::Draining)];
        prop_oneof![
            12 => pair.clone().prop_map(|(a, b)| Step::Ping(a, b)),
            2 => (pair, any::<bool>()).prop_map(|((a, b), cut)| Step::Cut(a, b, cut)),
            1 => router.clone().prop_map(Step::Kill),
            2 => (router.clone(), 1u64..9).prop_map(|(r, i)| Step::Start(r, i)),
            2 => (router, status).prop_map(|(r, s)| Step::Declare(r, s)),
        ]
        .boxed()
    }

    fn apply(state: (), _: &Step) {
        state
    }
}

struct FleetTest;

impl StateMachineTest for FleetTest {
    type SystemUnderTest = Fleet;
    type Reference = FleetModel;

    fn init_test(_: &()) -> Fleet {
        let table = |i| Some(Members::new(addr(i), Incarnation(5)));
        Fleet { tables: (0..ROUTERS).map(table).collect(), cut_links: HashSet::new() }
    }

    fn apply(mut fleet: Fleet, _: &(), step: Step) -> Fleet {
        match step {
            Step::Ping(a, b) => fleet.ping(a, b),
            Step::Cut(a, b, true) => {
                fleet.cut_links.insert(link(a, b));
            }
            Step::Cut(a, b, false) => {
                fleet.cut_links.remove(&link(a, b));
            }
            Step::Kill(r) => fleet.tables[r] = None,
            Step::Start(r, incarnation) => {
                fleet.tables[r]
                    .get_or_insert_with(|| Members::new(addr(r), Incarnation(incarnation)));
            }
            Step::Declare(r, status) => {
                if let Some(table) = &mut fleet.tables[r] {
                    table.set_status(status);
                }
            }
        }
        fleet
    }

    fn teardown(mut fleet: Fleet, _: ()) {
        fleet.converge();
    }
}

prop_state_machine! {
    #![proptest_config(fuzz::config(0x3e3b))]

    #[test]
    fn tables_converge_once_links_are_restored(sequential 1..60 => FleetTest);
}
