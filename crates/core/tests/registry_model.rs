//! Fuzzing of the registry against a simple oracle: statements arrive late,
//! twice and out of order, upstreams start again under the id they had,
//! somebody else writes over their records, and entries vanish with and
//! without an outage.

use std::collections::HashMap;
use std::time::Duration;

use marjoram_core::upstream::{Entry, Instance, REPUBLISH_GRACE, Registry, StartTime, UpstreamId};
use proptest::prelude::*;

#[derive(Debug, Clone)]
enum Step {
    /// The upstream states something new.
    State { who: usize, leaving: bool },
    /// An old statement of it arrives again.
    Again { who: usize, back: u64 },
    /// It starts again under its id, and says so.
    Reborn { who: usize, leaving: bool },
    /// Somebody else writes over its record.
    Spoilt { who: usize },
    /// Its entry is gone.
    Gone { who: usize },
    /// The store answers again after an outage.
    Returned,
    /// Time passes.
    Wait { ms: u64 },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0..3usize, any::<bool>()).prop_map(|(who, leaving)| Step::State { who, leaving }),
        3 => (0..3usize, 1..8u64).prop_map(|(who, back)| Step::Again { who, back }),
        2 => (0..3usize, any::<bool>()).prop_map(|(who, leaving)| Step::Reborn { who, leaving }),
        1 => (0..3usize).prop_map(|who| Step::Spoilt { who }),
        2 => (0..3usize).prop_map(|who| Step::Gone { who }),
        1 => Just(Step::Returned),
        2 => (1..3_000u64).prop_map(|ms| Step::Wait { ms }),
    ];
    proptest::collection::vec(step, 1..40)
}

fn entry(who: usize, said: Said) -> Entry {
    let Said { born, beat, leaving } = said;
    Entry {
        life: Instance { id: id(who), born: StartTime(born) },
        service: "s".into(),
        addr: ([10, 0, 0, who as u8], 80).into(),
        dc: String::from("dc").into(),
        slots: 4,
        leaving,
        weights: vec![],
        beat,
    }
}

fn id(who: usize) -> UpstreamId {
    UpstreamId(format!("i-{who}"))
}

/// One statement.
#[derive(Debug, Clone, Copy)]
struct Said {
    /// When the life that made it started.
    born: u64,
    /// Its number in that life.
    beat: u64,
    leaving: bool,
}

/// What must hold of one upstream.
#[derive(Debug, Clone, Default)]
struct Truth {
    /// Statements made, by all of its lives.
    said: Vec<Said>,
    /// It has once said that it is leaving, in a statement that was taken in.
    leaving: bool,
    /// Until when it must be kept; gone once that has passed.
    gone: Option<Duration>,
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    #[test]
    fn an_upstream_that_leaves_or_has_left_never_comes_back_by_an_old_statement(steps in steps()) {
        let mut registry = Registry::new();
        let mut truths: HashMap<usize, Truth> = HashMap::new();
        let (mut now, mut returned) = (Duration::from_secs(100), None);
        for step in steps {
            match step {
                Step::State { who, leaving } => {
                    let truth = truths.entry(who).or_default();
                    let (born, beat) = truth.said.last().map_or((1, 0), |s| (s.born, s.beat));
                    let said = Said { born, beat: beat + 1, leaving };
                    truth.said.push(said);
                    registry.apply(entry(who, said), now);
                    truth.leaving |= leaving && truth.gone.is_none_or(|until| now < until);
                    if truth.gone.is_some_and(|until| now >= until) {
                        // It had left; a new statement lists it afresh.
                        truth.leaving = leaving;
                    }
                    truth.gone = None;
                }
                Step::Reborn { who, leaving } => {
                    let truth = truths.entry(who).or_default();
                    let born = truth.said.last().map_or(1, |s| s.born + 1);
                    let said = Said { born, beat: 1, leaving };
                    truth.said.push(said);
                    registry.apply(entry(who, said), now);
                    (truth.leaving, truth.gone) = (leaving, None);
                }
                Step::Again { who, back } => {
                    let truth = truths.entry(who).or_default();
                    let at = (truth.said.len() as u64).checked_sub(back);
                    if let Some(said) = at.map(|at| truth.said[at as usize]) {
                        registry.apply(entry(who, said), now);
                        // The newest one shows that it is there after all.
                        let shows = back == 1 && truth.gone.is_some_and(|until| now < until);
                        truth.gone = truth.gone.filter(|_| !shows);
                    }
                }
                Step::Spoilt { who } => {
                    let truth = truths.entry(who).or_default();
                    truth.gone = Some(now);
                    registry.handle_invalid_record(&id(who), now);
                }
                Step::Gone { who } => {
                    let truth = truths.entry(who).or_default();
                    let grace = returned.map(|at| at + REPUBLISH_GRACE).filter(|until| now < *until);
                    let kept = grace.filter(|_| !truth.leaving);
                    truth.gone = Some(truth.gone.filter(|_| kept.is_some()).or(kept).unwrap_or(now));
                    registry.unlist(&id(who), now);
                }
                Step::Returned => {
                    returned = Some(now);
                    registry.store_recovered(now);
                }
                Step::Wait { ms } => now += Duration::from_millis(ms),
            }
            registry.expire(now);
            for (who, truth) in &truths {
                let listed = registry.get(&id(*who));
                let there = !truth.said.is_empty() && truth.gone.is_none_or(|until| now < until);
                prop_assert_eq!(listed.is_some(), there, "upstream {} at {:?}", who, now);
                if let Some(listed) = listed {
                    prop_assert_eq!(listed.leaving, truth.leaving, "upstream {}", who);
                }
            }
        }
    }
}
