//! Load: hosts are stopped one after another while weights versions are announced, so that
//! one engine stays on the oldest; then the store is slow for some seconds. The bound on
//! replaced weights is eight seconds in one uninterrupted period of store availability.

use std::time::Duration;

use marjoram_core::store_availability::{StoreAvailability, outage_age};

const BOUND: Duration = Duration::from_secs(8);

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Version 3 is announced at 6.4 s and version 4 at 10.8 s; the store is slow from 18.5 to
/// 25 s, as calls every 0.9 s show.
fn store_with_slow_period() -> StoreAvailability {
    let mut store = StoreAvailability::new();
    (0..=20).for_each(|n| store.record_success(at(n * 900)));
    (21..28).for_each(|n| store.note_error(at(n * 900)));
    store.record_success(at(28 * 900));
    store
}

#[test]
fn weights_overdue_before_store_errors_stay_overdue() {
    let (store, now) = (store_with_slow_period(), at(27_600));
    assert!(
        store.error_free_for(now) < BOUND,
        "the current period of availability is shorter than the bound"
    );
    assert!(
        store.longest_past_period(now - at(6_400), now) >= BOUND,
        "version 2 was overdue at 14.4 s"
    );
    assert!(
        store.longest_past_period(now - at(10_800), now) < BOUND,
        "version 3 was not yet overdue"
    );
}

#[test]
fn weights_announced_during_store_errors_have_no_earlier_period_of_availability() {
    let (store, now) = (store_with_slow_period(), at(27_600));
    assert_eq!(store.longest_past_period(now - at(20_000), now), Duration::ZERO);
}

#[test]
fn the_history_of_a_flapping_store_is_bounded() {
    let mut store = StoreAvailability::new();
    for n in 0..1_000 {
        store.record_success(at(n * 5_000 + 4_000));
        store.note_error(at(n * 5_000 + 4_500));
    }
    let now = at(5_000_000);
    assert!(store.longest_past_period(now, now) <= at(4_500));
}

/// Two of eight hosts are suspended at the same time and then report timeouts of a healthy
/// store. The other six must ignore these, or replaced weights stay in use there past
/// their bound.
#[test]
fn timeouts_on_hosts_suspended_together_do_not_count_as_an_outage_on_the_others() {
    let suspended = [at(0), at(100)];
    assert_eq!(outage_age(None, suspended, 8), None);
    // An error that the host itself had long before does not change that.
    assert_eq!(outage_age(Some(at(9_000)), suspended, 8), None);
}

/// The store rejects three of nine hosts.
#[test]
fn hosts_that_the_store_rejects_agree_on_an_outage() {
    assert_eq!(outage_age(Some(at(200)), [at(0), at(500)], 9), Some(at(200)));
}
