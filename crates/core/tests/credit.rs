//! Load: 75 hosts send small prompts to 45 engines, in a burst more than these can prefill, and
//! learn of each other's requests every 500 ms. Replayed with credits and without them.
//!
//! Without credits, a host sends each request at once to the less loaded of two random engines.

#[path = "credit/replay.rs"]
mod replay;

use std::time::Duration;

use marjoram_core::credit::Credit;
use replay::{BURST, CLOSED, HOSTS, ISOLATED, Scenario, replay};

const BURSTY: Scenario = Scenario {
    credits: true,
    base: 835.0,
    burst: 1_840.0,
    closes: false,
    isolated_hosts: 0,
    seed: 0,
};

const CLOSING: Scenario = Scenario { closes: true, ..BURSTY };

const SEEDS: std::ops::Range<u64> = 1..4;

#[test]
fn full_engines_reject_a_burst() {
    for seed in SEEDS {
        let outcome = replay(Scenario { seed, ..BURSTY });
        println!("seed {seed}: {}", outcome.summary());
        assert!(outcome.rejected() < 0.05, "seed {seed}: {}", outcome.summary());
        assert_eq!(outcome.answered_after_deadline, 0, "seed {seed}");
    }
}

#[test]
fn engines_idle_while_requests_wait_for_credit() {
    for seed in SEEDS {
        let busy = replay(Scenario { seed, ..BURSTY }).busy(BURST);
        println!("seed {seed}: {busy:.4} of the burst busy");
        assert!(busy >= 0.9, "seed {seed}: {busy:.4}");
    }
}

#[test]
fn engines_that_open_at_one_moment_reject_the_requests_of_all_hosts() {
    for seed in SEEDS {
        let outcome = replay(Scenario { seed, ..CLOSING });
        let rejected = outcome.rejected_in(CLOSED.end..CLOSED.end + 1_000);
        println!("seed {seed}: {rejected:.4} rejected after the opening; {}", outcome.summary());
        assert!(rejected < 0.05, "seed {seed}: {rejected:.4}");
    }
}

#[test]
fn engines_that_open_stay_idle_for_longer_than_a_second() {
    for seed in SEEDS {
        let outcome = replay(Scenario { seed, ..CLOSING });
        let busy = outcome.closable_busy(CLOSED.end + 1_000..CLOSED.end + 1_500);
        println!("seed {seed}: {busy:.4} busy a second after the opening");
        assert!(busy >= 0.9, "seed {seed}: {busy:.4}");
    }
}

/// Guards against a replay whose load is so light that the credits are not needed.
#[test]
fn without_credits_engines_do_not_reject_more() {
    for seed in SEEDS {
        let bursty = replay(Scenario { credits: false, seed, ..BURSTY });
        let closing = replay(Scenario { credits: false, seed, ..CLOSING });
        let opened = closing.rejected_in(CLOSED.end..CLOSED.end + 1_000);
        println!("seed {seed}: {opened:.4} rejected after the opening; {}", bursty.summary());
        assert!(bursty.rejected() >= 0.05 || opened >= 0.05, "seed {seed}: {opened:.4}");
    }
}

#[test]
fn requests_wait_for_credit_in_calm() {
    for seed in SEEDS {
        let outcome = replay(Scenario { base: 300.0, burst: 0.0, seed, ..BURSTY });
        println!("seed {seed}: {}", outcome.summary());
        assert!(outcome.longest_wait <= 50, "seed {seed}: {}", outcome.summary());
    }
}

#[test]
fn isolated_hosts_fill_the_engines_of_all() {
    for seed in SEEDS {
        let outcome = replay(Scenario { isolated_hosts: HOSTS / 3, seed, ..BURSTY });
        let rejected = outcome.rejected_in(ISOLATED);
        println!("seed {seed}: {rejected:.4} rejected in isolation; {}", outcome.summary());
        assert!(rejected < 0.1, "seed {seed}: {rejected:.4}");
    }
}

#[test]
fn requests_sent_without_credit_leave_a_debt_that_outlasts_them() {
    let round = Duration::from_millis(500);
    let mut credit = Credit::new(0.0, Duration::ZERO);
    (0..1_000).for_each(|_| credit.spend());
    // An idle engine: a whole place in each round.
    (1..=2).for_each(|rounds| credit.earn(1.0, round, round * rounds));
    assert!(credit.is_enough());
}
