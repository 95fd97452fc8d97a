//! Load: 76 hosts send 125 large prompts a second (70 in a burst of 1.8) to 60 engines, and learn
//! of each other's loads every 500 ms, while an engine prefills such a prompt in 0.3 s. Replayed
//! with the accounts of outstanding prompts and without them.
//!
//! The model: an engine prefills prompts in order of arrival at a fixed throughput. A prompt is on
//! time if it is prefilled within 70% of its target, which leaves the rest for the steps until the
//! first event.

#[path = "backlog/replay.rs"]
mod replay;

use std::time::Duration;

use marjoram_core::backlog::{Change, ClaimChange, Ledger};
use marjoram_core::quota::ledger::Sender;
use replay::{Scenario, replay};

const EQUAL: Scenario = Scenario {
    accounts: true,
    speeds: [1.0; 3],
    assumed_throughput: 56.6,
    target: 800.0,
    lost: 0.0,
    isolated_hosts: 0,
    seed: 0,
};

const THREE_SPEEDS: Scenario =
    Scenario { speeds: [0.6, 1.0, 1.6], assumed_throughput: 40.0, target: 1_000.0, ..EQUAL };

const SEEDS: std::ops::Range<u64> = 1..4;

fn without_accounts(scenario: Scenario) -> Scenario {
    Scenario { accounts: false, ..scenario }
}

#[test]
fn late_load_reports_do_not_queue_large_prompts_behind_each_other() {
    for seed in SEEDS {
        let scenario = Scenario { seed, ..EQUAL };
        let (with, without) = (replay(scenario), replay(without_accounts(scenario)));
        assert!(with.on_time() >= 0.9, "seed {seed}: {with:?}");
        assert!(with.on_time() > without.on_time(), "seed {seed}: {with:?}, {without:?}");
    }
}

/// Guards against a replay whose load is so light that the accounts are not needed.
#[test]
fn large_prompts_are_late_without_accounts() {
    for seed in SEEDS {
        let without = replay(without_accounts(Scenario { seed, ..EQUAL }));
        assert!(without.on_time() < 0.9, "seed {seed}: {without:?}");
    }
}

#[test]
fn slow_engines_are_not_sent_as_much_as_fast_ones() {
    for seed in SEEDS {
        let scenario = Scenario { seed, ..THREE_SPEEDS };
        let (with, without) = (replay(scenario), replay(without_accounts(scenario)));
        assert!(with.on_time() >= 0.9, "seed {seed}: {with:?}");
        assert!(with.on_time() > without.on_time(), "seed {seed}: {with:?}, {without:?}");
    }
}

#[test]
fn lost_claims_do_not_make_the_accounts_useless() {
    for seed in SEEDS {
        let outcome = replay(Scenario { lost: 0.1, seed, ..EQUAL });
        assert!(outcome.on_time() >= 0.85, "seed {seed}: {outcome:?}");
    }
}

#[test]
fn isolated_hosts_do_not_delay_the_prompts_of_the_others() {
    for seed in SEEDS {
        let scenario = Scenario { isolated_hosts: replay::HOSTS / 3, seed, ..EQUAL };
        let with = replay(scenario);
        let connected = Scenario { isolated_hosts: 0, ..without_accounts(scenario) };
        let (without, isolated) = (replay(connected), replay(without_accounts(scenario)));
        assert!(with.connected_on_time() >= 0.8, "seed {seed}: {with:?}");
        assert!(with.on_time() >= without.on_time(), "seed {seed}: {with:?}, {without:?}");
        assert!(with.on_time() >= isolated.on_time(), "seed {seed}: {with:?}, {isolated:?}");
    }
}

fn claim(request: u64, change: Change) -> ClaimChange {
    ClaimChange { request, upstream: 1, change }
}

const SENT: Change = Change::Sent { tokens: 17_000, memory: 17_020 };

/// A ledger with one claim each of the hosts 1 and 2, sent at 0 ms.
fn two_hosts() -> Ledger {
    let mut ledger = Ledger::new();
    for host in [1, 2] {
        ledger.apply(Sender { host, life: 1 }, &[claim(5, SENT)], |_| 0.0, Duration::ZERO);
    }
    ledger
}

#[test]
fn claims_of_a_killed_host_do_not_count_after_its_restart() {
    let mut ledger = two_hosts();
    let now = Duration::from_millis(900);
    ledger.apply(Sender { host: 1, life: 2 }, &[claim(6, SENT)], |_| 0.0, now);
    ledger.apply(Sender { host: 1, life: 2 }, &[claim(6, Change::Ended)], |_| 0.0, now);
    let account = ledger.account(1, 0.0, now);
    assert_eq!((account.unread, account.requests, account.memory), (17_000, 1, 17_020));
}

#[test]
fn claims_of_a_killed_host_do_not_count_once_it_is_absent() {
    let mut ledger = two_hosts();
    let now = Duration::from_millis(900);
    ledger.expire(|host| host != 1, |_| true, now);
    let account = ledger.account(1, 0.0, now);
    assert_eq!((account.unread, account.requests, account.memory), (17_000, 1, 17_020));
}

#[test]
fn claims_count_for_12_s_even_if_old_ones_are_not_removed() {
    let ledger = two_hosts();
    assert_eq!(ledger.account(1, 0.0, Duration::from_millis(11_999)).requests, 2);
    let account = ledger.account(1, 0.0, Duration::from_millis(12_000));
    assert_eq!((account.unread, account.requests, account.memory), (0, 0, 0));
}

#[test]
fn a_lost_report_of_a_prefill_does_not_hide_later_prompts() {
    let mut ledger = Ledger::new();
    let ms = Duration::from_millis;
    let mut report = |request, change, at| {
        ledger.apply(Sender { host: 1, life: 1 }, &[claim(request, change)], |_| 0.0, ms(at));
    };
    report(1, SENT, 0);
    report(1, Change::Read, 340);
    // The prefill of the second prompt is never reported.
    report(2, SENT, 400);
    report(3, SENT, 4_500);
    assert_eq!(ledger.account(1, 0.0, ms(4_500)).unread, 17_000);
}
