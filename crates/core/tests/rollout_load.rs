//! Invariant: one host with a link of 10 Mbit/s changes the engines of the largest systems
//! to a newly announced weights version in time, and leaves capacity on its link for callers.
//!
//! Simulates the announcement of a version with 9 to 410 hosts and 12 to 870 engines,
//! with failing attempts, with versions in quick succession, and with a leader that is
//! lost as the version is announced. The system on which this failed had 295 hosts.

#[path = "rollout_load/model.rs"]
mod model;

use std::time::Duration;

use marjoram_core::broadcast::{Host, plan};
use marjoram_core::pace::{CALL_BYTES, MAX_CONCURRENT_CALLS};
use model::{Outcome, Simulation, simulate};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

/// Bytes per second of a link of 10 Mbit/s, and the shares of it for messages and for calls.
const LINK_BYTES: f64 = 1.25e6;
const MESSAGE_RATE: f64 = LINK_BYTES / 20.0;
const CALL_RATE: f64 = LINK_BYTES * 0.3;

/// Seconds to finish running requests: usual ones, and long streams.
const SHORT: f64 = 0.35;
const LONG: f64 = 3.0;

/// Longest simulated time, in seconds.
const MAX_TIME: f64 = 40.0;

fn case(hosts: usize, engines: usize, finish: f64) -> Simulation {
    Simulation { hosts, engines, finish, announced_at: vec![0.0], failing: 0.0 }
}

fn run(simulation: &Simulation) -> Outcome {
    let outcome = simulate(simulation, MAX_TIME);
    println!("{simulation:?}: {outcome:?}");
    outcome
}

#[test_case(9, 12, SHORT)]
#[test_case(9, 12, LONG)]
#[test_case(70, 56, SHORT)]
#[test_case(70, 56, LONG)]
#[test_case(295, 130, SHORT)]
#[test_case(295, 130, LONG)]
#[test_case(410, 870, SHORT)]
#[test_case(410, 870, LONG)]
fn messages_use_at_most_a_twentieth_of_the_link(hosts: usize, engines: usize, finish: f64) {
    for (failing, announced_at) in
        [(0.0, vec![0.0]), (0.1, vec![0.0]), (0.0, vec![0.0, 2.0, 4.0, 6.0])]
    {
        let outcome = run(&Simulation { failing, announced_at, ..case(hosts, engines, finish) });
        let bound = MESSAGE_RATE + outcome.largest;
        assert!(outcome.message_rate <= bound, "{} bytes in a second", outcome.message_rate);
    }
}

#[test_case(9, 12, SHORT)]
#[test_case(9, 12, LONG)]
#[test_case(70, 56, SHORT)]
#[test_case(70, 56, LONG)]
#[test_case(295, 130, SHORT)]
#[test_case(295, 130, LONG)]
#[test_case(410, 870, SHORT)]
#[test_case(410, 870, LONG)]
fn calls_use_at_most_three_tenths_of_the_link(hosts: usize, engines: usize, finish: f64) {
    for (failing, announced_at) in
        [(0.0, vec![0.0]), (0.1, vec![0.0]), (0.0, vec![0.0, 2.0, 4.0, 6.0])]
    {
        let outcome = run(&Simulation { failing, announced_at, ..case(hosts, engines, finish) });
        let bound = CALL_RATE + MAX_CONCURRENT_CALLS as f64 * CALL_BYTES;
        assert!(outcome.call_rate <= bound, "{} bytes in a second", outcome.call_rate);
    }
}

#[test_case(9, 12, 0.0, 6.5)]
#[test_case(70, 56, 0.0, 6.5)]
#[test_case(295, 130, 0.0, 10.0)]
#[test_case(410, 870, 0.0, 10.0)]
#[test_case(9, 12, 0.1, 6.5)]
#[test_case(70, 56, 0.1, 6.5)]
#[test_case(295, 130, 0.1, 10.0)]
#[test_case(410, 870, 0.1, 10.0)]
fn the_last_engine_changes_in_time(hosts: usize, engines: usize, failing: f64, bound: f64) {
    let outcome = run(&Simulation { failing, ..case(hosts, engines, SHORT) });
    assert!(outcome.changed < bound, "{} s", outcome.changed);
}

#[test_case(9, 12, 6.5)]
#[test_case(70, 56, 6.5)]
#[test_case(295, 130, 10.0)]
#[test_case(410, 870, 10.0)]
fn no_engine_lags_while_a_version_is_announced_every_two_seconds(
    hosts: usize,
    engines: usize,
    bound: f64,
) {
    let announced_at = (0..6).map(|n| f64::from(n) * 2.0).collect();
    let outcome = run(&Simulation { announced_at, ..case(hosts, engines, SHORT) });
    assert!(outcome.lag < bound, "{} s on a replaced version", outcome.lag);
}

/// Longest time until another leader takes over: the lease of a leader that is lost just after
/// a renewal, a renewal interval of the next one, the bound on turns, and the answer that
/// confirms its leadership.
const TAKEOVER: f64 = 2.7 + 2.7 / 4.0 + 3.0 + 0.01;

#[test_case(295, 130)]
#[test_case(410, 870)]
fn a_leader_lost_as_a_version_is_announced_leaves_no_engine_on_the_old_one(
    hosts: usize,
    engines: usize,
) {
    let outcome = run(&case(hosts, engines, SHORT));
    let total = TAKEOVER + outcome.changed;
    println!("taken over after {TAKEOVER} s, changed after {total} s");
    assert!(total < 14.0, "{total} s");
}

/// Share of datagrams lost.
const LOSS: f64 = 0.05;

#[test_case(70)]
#[test_case(295)]
#[test_case(410)]
fn nearly_all_hosts_receive_a_change_before_the_order_despite_datagram_loss(hosts: usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(0x5eed);
    let others: Vec<u64> = (1..hosts).map(|_| rng.random()).collect();
    let known: Vec<Host> = others.iter().map(|name| Host { name: *name, alive: true }).collect();
    let (rounds, mut receipts) = (200, 0);
    for _ in 0..rounds {
        let mut received = vec![false; others.len()];
        // Sent twice within a tenth of a second, through different relays.
        for _ in 0..2 {
            for datagram in plan(&known, rng.random()) {
                if rng.random_bool(LOSS) {
                    continue;
                }
                received[datagram.to] = true;
                for (at, host) in others.iter().enumerate() {
                    let forwarded = datagram.slice.is_some_and(|slice| slice.contains(*host));
                    received[at] |= forwarded && !rng.random_bool(LOSS);
                }
            }
        }
        receipts += received.iter().filter(|received| **received).count();
    }
    let share = receipts as f64 / (rounds * others.len()) as f64;
    println!("{hosts} hosts: {share:.4} receive it");
    // Sent to a relay and forwarded by it, twice: each transmission reaches 0.95 x 0.95.
    let missed = 1.0 - (1.0 - LOSS) * (1.0 - LOSS);
    assert!(share > 1.0 - missed * missed - 0.005, "{share} receive it");
}

/// Hosts that missed the first messages receive the change when it is announced again.
#[test]
fn a_closed_engine_is_announced_again_within_a_second() {
    use marjoram_core::announce::{Announcements, Change};
    let ms = Duration::from_millis;
    let mut announcements = Announcements::default();
    let closed = Change::Closed { model: "m".into(), version: 2, span: ms(4_500) };
    announcements.put(1, closed, ms(0));
    let mut times = Vec::new();
    for at in (0..4_000).step_by(100).map(ms) {
        times.extend((!announcements.next(at).is_empty()).then_some(at));
    }
    assert!(times.windows(2).all(|pair| pair[1] - pair[0] <= ms(1_000)), "{times:?}");
    assert!(times[1] <= ms(100) && times.len() >= 5, "{times:?}");
}
