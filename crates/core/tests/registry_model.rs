//! Fuzzing of the registry against a simple oracle: statements of upstreams arrive late,
//! twice and out of order, upstreams restart under the same id, other writers
//! overwrite their records, and entries disappear with and without an outage of the store.

use std::collections::HashMap;
use std::time::Duration;

use marjoram_core::upstream::{Entry, Instance, REPUBLISH_GRACE, Registry, StartTime, UpstreamId};
use proptest::prelude::*;

#[derive(Debug, Clone)]
enum Step {
    /// The upstream makes a new statement.
    State { who: usize, leaving: bool },
    /// The `back`th last statement arrives again.
    Repeated { who: usize, back: u64 },
    /// The upstream restarts under its id and makes a statement.
    Restarted { who: usize, leaving: bool },
    /// Another writer overwrites its record.
    Overwritten { who: usize },
    /// Its entry has disappeared from the store.
    Disappeared { who: usize },
    /// The store answers again after an outage.
    StoreRecovered,
    /// Time passes.
    Wait { ms: u64 },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0..3usize, any::<bool>()).prop_map(|(who, leaving)| Step::State { who, leaving }),
        3 => (0..3usize, 1..8u64).prop_map(|(who, back)| Step::Repeated { who, back }),
        2 => (0..3usize, any::<bool>()).prop_map(|(who, leaving)| Step::Restarted { who, leaving }),
        1 => (0..3usize).prop_map(|who| Step::Overwritten { who }),
        2 => (0..3usize).prop_map(|who| Step::Disappeared { who }),
        1 => Just(Step::StoreRecovered),
        2 => (1..3_000u64).prop_map(|ms| Step::Wait { ms }),
    ];
    proptest::collection::vec(step, 1..40)
}

fn entry(who: usize, statement: Statement) -> Entry {
    let Statement { start_time, sequence, leaving } = statement;
    Entry {
        life: Instance { id: id(who), born: StartTime(start_time) },
        service: "s".into(),
        addr: ([10, 0, 0, who as u8], 80).into(),
        dc: String::from("dc").into(),
        slots: 4,
        leaving,
        weights: vec![],
        beat: sequence,
    }
}

fn id(who: usize) -> UpstreamId {
    UpstreamId(format!("i-{who}"))
}

/// A statement of an upstream.
#[derive(Debug, Clone, Copy)]
struct Statement {
    /// Start time of the incarnation that made it.
    start_time: u64,
    /// Its sequence number within that incarnation.
    sequence: u64,
    leaving: bool,
}

/// Expected state of one upstream.
#[derive(Debug, Clone, Default)]
struct Expected {
    /// Statements of all its incarnations.
    statements: Vec<Statement>,
    /// Whether an accepted statement has said that it is leaving.
    leaving: bool,
    /// Until when it must stay listed after its entry disappeared.
    listed_until: Option<Duration>,
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    #[test]
    fn a_leaving_or_removed_upstream_is_never_restored_by_an_old_statement(steps in steps()) {
        let mut registry = Registry::new();
        let mut all_expected: HashMap<usize, Expected> = HashMap::new();
        let (mut now, mut recovered_at) = (Duration::from_secs(100), None);
        for step in steps {
            match step {
                Step::State { who, leaving } => {
                    let expected = all_expected.entry(who).or_default();
                    let (start_time, sequence) =
                        expected.statements.last().map_or((1, 0), |s| (s.start_time, s.sequence));
                    let statement = Statement { start_time, sequence: sequence + 1, leaving };
                    expected.statements.push(statement);
                    registry.apply(entry(who, statement), now);
                    expected.leaving |=
                        leaving && expected.listed_until.is_none_or(|until| now < until);
                    if expected.listed_until.is_some_and(|until| now >= until) {
                        // It was no longer listed; a new statement lists it again.
                        expected.leaving = leaving;
                    }
                    expected.listed_until = None;
                }
                Step::Restarted { who, leaving } => {
                    let expected = all_expected.entry(who).or_default();
                    let start_time = expected.statements.last().map_or(1, |s| s.start_time + 1);
                    let statement = Statement { start_time, sequence: 1, leaving };
                    expected.statements.push(statement);
                    registry.apply(entry(who, statement), now);
                    (expected.leaving, expected.listed_until) = (leaving, None);
                }
                Step::Repeated { who, back } => {
                    let expected = all_expected.entry(who).or_default();
                    let at = (expected.statements.len() as u64).checked_sub(back);
                    if let Some(statement) = at.map(|at| expected.statements[at as usize]) {
                        registry.apply(entry(who, statement), now);
                        // Its newest statement shows that it is still present.
                        let shows_presence =
                            back == 1 && expected.listed_until.is_some_and(|until| now < until);
                        expected.listed_until = expected.listed_until.filter(|_| !shows_presence);
                    }
                }
                Step::Overwritten { who } => {
                    let expected = all_expected.entry(who).or_default();
                    expected.listed_until = Some(now);
                    registry.handle_invalid_record(&id(who), now);
                }
                Step::Disappeared { who } => {
                    let expected = all_expected.entry(who).or_default();
                    let grace =
                        recovered_at.map(|at| at + REPUBLISH_GRACE).filter(|until| now < *until);
                    let kept = grace.filter(|_| !expected.leaving);
                    expected.listed_until = Some(
                        expected.listed_until.filter(|_| kept.is_some()).or(kept).unwrap_or(now),
                    );
                    registry.unlist(&id(who), now);
                }
                Step::StoreRecovered => {
                    recovered_at = Some(now);
                    registry.store_recovered(now);
                }
                Step::Wait { ms } => now += Duration::from_millis(ms),
            }
            registry.expire(now);
            for (who, expected) in &all_expected {
                let listed = registry.get(&id(*who));
                let must_be_listed = !expected.statements.is_empty()
                    && expected.listed_until.is_none_or(|until| now < until);
                prop_assert_eq!(listed.is_some(), must_be_listed, "upstream {} at {:?}", who, now);
                if let Some(listed) = listed {
                    prop_assert_eq!(listed.leaving, expected.leaving, "upstream {}", who);
                }
            }
        }
    }
}
