//! Invariants: what all hosts together send to an upstream stays within the rate limit that it
//! states and what it tolerates, and most of that rate is used; the last statement of an upstream
//! holds, in whatever order its answers arrive.

#[path = "support/fuzz.rs"]
mod fuzz;
#[path = "quota_model/world.rs"]
#[allow(dead_code, reason = "shared with the model of the quotas")]
mod world;

use std::time::Duration;

use marjoram_core::conditions::{
    Changes, Conditions, RateLimit, ReportedLimit, Stated, StatedConditions,
};
use proptest::prelude::*;
use test_case::test_case;
use world::{Event, Fault, Load, World};

/// Time in which hosts learn of a limit and of each other's use.
const SETTLE_TIME: f64 = 3.0;

fn secs(secs: f64) -> Duration {
    Duration::from_secs_f64(secs)
}

fn limit(rate: f64) -> RateLimit {
    rate.to_string().parse().unwrap()
}

/// A world of hosts that send an upstream `factor` times the requests that its limit `rate` allows.
fn overloaded(hosts: usize, rate: f64, factor: f64, seed: u64) -> World {
    let load = Load {
        usual: rate * factor,
        burst_factor: 1.0,
        from: secs(0.0),
        span: secs(0.0),
        sizes: [1, 1],
    };
    World::new(hosts, limit(rate).quota(), load, seed).with_first_checked()
}

#[test_case(9, 15.0, 3.0; "nine hosts, three times the limit")]
#[test_case(9, 15.0, 20.0; "nine hosts, twenty times the limit")]
#[test_case(69, 15.0, 3.0; "69 hosts, three times the limit")]
#[test_case(295, 15.0, 3.0; "295 hosts, three times the limit")]
#[test_case(9, 2.0, 10.0; "nine hosts, a limit below one request for each host")]
#[test_case(2, 100.0, 1.5; "two hosts, a little above the limit")]
fn an_upstream_gets_its_limit_and_not_more(hosts: usize, rate: f64, factor: f64) {
    let seeds = if hosts > 100 { 1 } else { 8 };
    for seed in 0..seeds {
        let mut world = overloaded(hosts, rate, factor, seed);
        world.run(secs(24.0), &[]);
        let excess = world.excess_since(secs(SETTLE_TIME));
        assert_eq!(excess, None, "seed {seed}");
        let used = world.admitted(secs(SETTLE_TIME), secs(24.0)) / (rate * (24.0 - SETTLE_TIME));
        assert!(used >= 0.8, "seed {seed}: {used:.2} of the limit used");
    }
}

#[test]
fn a_limit_that_is_lowered_and_raised_takes_effect() {
    for seed in 0..8 {
        let mut world = overloaded(9, 20.0, 4.0, seed);
        let change = |at, factor| Event { at: secs(at), fault: Fault::Limit { factor } };
        world.run(secs(36.0), &[change(10.0, 0.3), change(22.0, 1.5)]);
        assert_eq!(world.excess_since(secs(SETTLE_TIME)), None, "seed {seed}");
        let raised = world.admitted(secs(25.0), secs(36.0)) / 11.0;
        assert!(raised >= 24.0, "seed {seed}: {raised:.1} of 30 requests a second");
    }
}

proptest! {
    #![proptest_config(fuzz::config(53))]

    /// Answers to requests that were sent after an upstream's last change of its statement decide,
    /// however answers overtake each other.
    #[test]
    fn the_last_statement_holds_in_whatever_order_answers_arrive(
        statements in prop::collection::vec(prop::option::of(1..50u32), 1..6),
        delays in prop::collection::vec((0..400u64, 0..400u64), 40),
    ) {
        // The upstream changes its statement once a second and answers 20 requests a second.
        let mut answers = Vec::new();
        for (n, (to, back)) in delays.iter().cycle().take(statements.len() * 20 + 40).enumerate() {
            let sent = n as u64 * 50;
            let index = ((sent + to) / 1_000) as usize;
            let stated = statements.get(index).or(statements.last()).unwrap();
            answers.push((sent + to + back, sent, *stated));
        }
        answers.sort();
        let mut conditions = Conditions::default();
        for (received, sent, rate) in answers {
            let value = rate.map_or(Stated::Nothing, |rate| Stated::Value(limit(f64::from(rate))));
            let stated = StatedConditions { limit: value, ..Default::default() };
            let ms = Duration::from_millis;
            conditions.record(&stated, ms(sent), ms(received));
        }
        let last = statements.last().unwrap().map(|rate| limit(f64::from(rate)));
        prop_assert_eq!(conditions.limit(), last);
    }
}

#[test_case("-1"; "negative")]
#[test_case("soon"; "not a number")]
#[test_case("NaN"; "not a number by name")]
#[test_case("inf"; "infinite")]
#[test_case("Thu, 03 Dec 2026 17:10:57 GMT"; "a date")]
#[test_case(""; "empty")]
fn an_invalid_limit_changes_nothing(text: &str) {
    let (mut stated, mut conditions) = (StatedConditions::default(), Conditions::default());
    stated.add_limit(text);
    assert_eq!(stated.limit, Stated::Invalid);
    assert_eq!(conditions.record(&stated, secs(1.0), secs(1.1)), Changes::default());
    assert_eq!(conditions.limit(), None);
    let valid = StatedConditions { limit: Stated::Value(limit(5.0)), ..Default::default() };
    conditions.record(&valid, secs(2.0), secs(2.1));
    conditions.record(&stated, secs(3.0), secs(3.1));
    assert_eq!(conditions.limit(), Some(limit(5.0)));
}

#[test]
fn a_host_takes_newer_statements_of_others_and_no_older_ones() {
    let mut conditions = Conditions::default();
    let stated = StatedConditions { limit: Stated::Value(limit(5.0)), ..Default::default() };
    conditions.record(&stated, secs(9.0), secs(10.0));
    let older = ReportedLimit { limit: None, age_ms: 3_000 };
    assert_eq!(conditions.apply_reported(older, secs(12.0)), None);
    assert_eq!(conditions.limit(), Some(limit(5.0)));
    let newer = ReportedLimit { limit: None, age_ms: 1_000 };
    assert!(conditions.apply_reported(newer, secs(12.0)).is_some());
    assert_eq!(conditions.limit(), None);
    // It is reported on for a while, so that others learn of it.
    let reported = conditions.reported_limit(secs(5.0), secs(13.0));
    assert_eq!(reported, Some(ReportedLimit { limit: None, age_ms: 2_000 }));
    assert_eq!(conditions.reported_limit(secs(5.0), secs(17.0)), None);
}

/// An answer that states `rate`, or no limit.
fn answer(rate: Option<f64>) -> StatedConditions {
    let limit = rate.map_or(Stated::Nothing, |rate| Stated::Value(limit(rate)));
    StatedConditions { limit, ..Default::default() }
}

#[test_case(None; "that states none")]
#[test_case(Some(9.0); "that states a higher one")]
fn a_limit_is_loosened_by_an_answer_only_when_none_has_stated_it_for_two_seconds(
    rate: Option<f64>,
) {
    let mut conditions = Conditions::default();
    conditions.record(&answer(Some(5.0)), secs(0.9), secs(1.0));
    conditions.record(&answer(rate), secs(2.9), secs(3.5));
    assert_eq!(conditions.limit(), Some(limit(5.0)));
    conditions.record(&answer(Some(5.0)), secs(3.4), secs(3.5));
    conditions.record(&answer(rate), secs(5.4), secs(5.5));
    assert_eq!(conditions.limit(), Some(limit(5.0)));
    conditions.record(&answer(rate), secs(5.5), secs(5.6));
    assert_eq!(conditions.limit(), rate.map(limit));
}

#[test]
fn a_limit_that_another_host_reports_again_is_not_loosened() {
    let mut conditions = Conditions::default();
    conditions.record(&answer(Some(5.0)), secs(0.9), secs(1.0));
    let again = ReportedLimit { limit: Some(limit(5.0)), age_ms: 100 };
    assert_eq!(conditions.apply_reported(again, secs(3.1)), None);
    conditions.record(&answer(None), secs(4.0), secs(4.1));
    assert_eq!(conditions.limit(), Some(limit(5.0)));
}
