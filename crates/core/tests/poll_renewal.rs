//! Replays polls of many hosts whose wake-up is lost: how long until one of them is renewed, and
//! what the renewals cost.

use std::time::Duration;

use marjoram_core::poll_renewal::poll_time;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

const LIMIT: Duration = Duration::from_secs(2);

/// Time that is left within the limit for the heartbeat of the host that finds the record, and for
/// the others to fetch it.
const SPREAD_TIME: Duration = Duration::from_millis(800);

/// Most renewals of all hosts in a second: a fiftieth of the reads that the store serves.
const MAX_RENEWALS_PER_S: f64 = 2_000.0 / 50.0;

/// Replays per number of hosts.
const REPLAYS: u32 = 2_000;

/// Begins the polls of `hosts` hosts at once, as after a record that wakes all of them. Returns how
/// long after the moment `lost`, at which a record wakes none, the first one is renewed, and the
/// renewals until then.
fn replay(hosts: usize, lost: Duration, rng: &mut ChaCha8Rng) -> (Duration, u32) {
    let mut renewals = 0;
    let first = (0..hosts).map(|_| {
        let mut at = Duration::ZERO;
        loop {
            at += poll_time(hosts, LIMIT, rng.random());
            if at >= lost {
                return at - lost;
            }
            renewals += 1;
        }
    });
    let first = first.min().expect("at least one host");
    (first, renewals)
}

#[test_case(1; "one host")]
#[test_case(2; "two hosts")]
#[test_case(9; "9 hosts")]
#[test_case(76; "76 hosts")]
#[test_case(295; "295 hosts")]
#[test_case(410; "410 hosts")]
fn a_record_whose_wake_up_is_lost_is_found_in_time(hosts: usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(hosts as u64);
    let late = (0..REPLAYS).filter(|_| {
        let lost = Duration::from_secs_f64(rng.random_range(1.0..60.0));
        replay(hosts, lost, &mut rng).0 > LIMIT - SPREAD_TIME
    });
    let late = late.count();
    assert!(late * 100 <= REPLAYS as usize, "late in {late} of {REPLAYS} replays");
}

#[test_case(1; "one host")]
#[test_case(9; "9 hosts")]
#[test_case(76; "76 hosts")]
#[test_case(410; "410 hosts")]
fn renewals_of_all_hosts_together_are_few(hosts: usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let span = Duration::from_secs(300);
    let (_, renewals) = replay(hosts, span, &mut rng);
    let per_s = f64::from(renewals) / span.as_secs_f64();
    assert!(per_s <= MAX_RENEWALS_PER_S, "{per_s:.1} renewals a second");
}
