//! Replays overload at brittle upstreams whose slots many hosts share by leases.

#[path = "slot_leases/replay.rs"]
mod replay;

use std::time::Duration;

use marjoram_core::slot_leases::abandoned::AbandonedRequests;
use marjoram_core::slot_leases::holder::Holder;
use replay::{Disturbance, ENGINES, Outcome, PLAIN, Replay, Service};
use test_case::{test_case, test_matrix};

/// Share of the slots that is used while upstreams get more requests than they complete.
const MIN_USED: f64 = 0.7;

fn replay(hosts: usize, service: Service, max: u32, disturbance: Disturbance) -> Outcome {
    let outcome = Replay::new(hosts, service, max, 1.5, disturbance, 7).run();
    println!("{hosts} hosts, {max}/s, {disturbance:?}: {outcome:?}");
    outcome
}

fn check_slots_used(hosts: usize, service: Service, max: u32, disturbance: Disturbance) {
    let outcome = replay(hosts, service, max, disturbance);
    assert_eq!(outcome.falls, 0, "{outcome:?}");
    assert!(outcome.used >= MIN_USED, "{outcome:?}");
}

#[test_matrix([9, 70, 295, 410], [PLAIN, ENGINES], [1, 5, 20])]
fn slots_are_used_and_no_upstream_falls(hosts: usize, service: Service, max: u32) {
    check_slots_used(hosts, service, max, Disturbance::None);
}

#[test_matrix(
    [9, 70, 295, 410],
    [PLAIN, ENGINES],
    [1, 20],
    [Disturbance::Slow(8.0), Disturbance::Burst(3.0), Disturbance::LostUpstreams(0.5)]
)]
fn slots_are_used_while_upstreams_are_disturbed(
    hosts: usize,
    service: Service,
    max: u32,
    disturbance: Disturbance,
) {
    check_slots_used(hosts, service, max, disturbance);
}

#[test_matrix(
    [9, 70, 295, 410],
    [PLAIN, ENGINES],
    [1, 20],
    [Disturbance::Restart(0.3), Disturbance::Restart(1.0), Disturbance::Silent(0.3), Disturbance::Cut(0.2), Disturbance::Cut(0.5)]
)]
fn slots_are_not_granted_twice_while_hosts_are_disturbed(
    hosts: usize,
    service: Service,
    max: u32,
    disturbance: Disturbance,
) {
    let outcome = replay(hosts, service, max, disturbance);
    assert_eq!(outcome.falls, 0, "{outcome:?}");
    assert!(outcome.used_at_end >= MIN_USED, "{outcome:?}");
}

#[test_matrix([9, 70, 410], [PLAIN, ENGINES])]
fn nearly_all_is_served_at_a_third_of_the_load(hosts: usize, service: Service) {
    let outcome = Replay::new(hosts, service, 5, 0.33, Disturbance::None, 3).run();
    assert_eq!(outcome.falls, 0, "{outcome:?}");
    assert!(outcome.served >= 0.95, "{outcome:?}");
    assert!(outcome.wait < Duration::from_millis(30), "{outcome:?}");
}

/// Short requests at few slots.
const SHORT: Service =
    Service { upstreams: 6, slots: 6, queue: 4, work: Duration::from_millis(50) };

#[test_case(9, 0; "nine hosts")]
#[test_case(9, 3; "nine hosts, three of which hear of it late")]
#[test_case(76, 0; "76 hosts")]
#[test_case(76, 10; "76 hosts, ten of which hear of it late")]
fn upstreams_bear_twice_the_load_that_they_complete(hosts: usize, unaware: usize) {
    for seed in 0..5 {
        let replay = Replay::new(hosts, SHORT, 10, 2.0, Disturbance::None, seed);
        let outcome = replay.with_unaware(unaware).run();
        println!("seed {seed}: {outcome:?}");
        assert_eq!(outcome.falls, 0, "seed {seed}: {outcome:?}");
        assert!(outcome.used > 0.8, "seed {seed}: {outcome:?}");
    }
}

#[test_case(2; "two of nine hosts")]
#[test_case(4; "four of nine hosts")]
fn at_a_third_of_the_load_nearly_all_is_served_if_some_hosts_have_it_all(busy: usize) {
    for seed in 0..3 {
        let replay = Replay::new(9, SHORT, 10, 0.33, Disturbance::None, seed);
        let outcome = replay.with_busy(busy).run();
        assert_eq!(outcome.falls, 0, "seed {seed}: {outcome:?}");
        assert!(outcome.used > 0.33 * 0.85, "seed {seed}: {outcome:?}");
        assert!(outcome.served >= 0.95, "seed {seed}: {outcome:?}");
    }
}

/// Bytes a second that a host of a large site may send to the others for one purpose.
const MAX_BYTES: u64 = 2_000;

#[test_matrix([295, 410], [PLAIN, ENGINES])]
fn hosts_of_large_sites_send_few_bytes(hosts: usize, service: Service) {
    let outcome = replay(hosts, service, 5, Disturbance::None);
    let [mean, _coordinator] = outcome.sent;
    assert!(mean.bytes <= MAX_BYTES, "{outcome:?}");
}

#[test]
fn a_coordinator_whose_process_has_ended_is_replaced_at_once() {
    let (mut holder, ms) = (Holder::default(), Duration::from_millis);
    assert_eq!(holder.coordinator(|| vec![7, 8], ms(0)), Some(7));
    holder.record_report(1, ms(10));
    holder.record_end(7, ms(20));
    // The leases that it has granted must have ended.
    assert_eq!(holder.coordinator(|| vec![7, 8], ms(800)), None);
    assert_eq!(holder.coordinator(|| vec![7, 8], ms(810)), Some(8));
}

#[test]
fn abandoned_requests_are_not_kept_while_no_service_is_brittle() {
    let (mut abandoned, work) = (AbandonedRequests::default(), Duration::from_millis(100));
    // Nothing asks for the number of those that may be running.
    for ms in 0..10_000 {
        abandoned.record(work, Duration::from_millis(ms));
    }
    // One a millisecond, each of which may run for 200 ms.
    assert!(abandoned.kept() <= 201, "{} requests are kept", abandoned.kept());
}
