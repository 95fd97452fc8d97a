//! Weights versions announced every few seconds under load, replayed against engines that
//! finish their running requests before they load a version.

use std::time::Duration;

use marjoram_core::rollout::{AnnouncedVersions, Engine, next};
use test_case::test_case;

/// Seconds to load, while no more than a fifth of the engines, or two, load at once;
/// with more it takes longer in proportion.
const LOAD: f64 = 0.57;
/// Seconds to finish running requests before loading.
const FINISH: f64 = 0.35;

/// Simulates `seconds`. Returns the longest time that any engine stayed on replaced weights, and
/// the number of loads.
fn simulate(engines: usize, announced_at: &[f64], seconds: f64) -> (f64, u32) {
    simulate_with_finish(FINISH, engines, announced_at, seconds)
}

/// Like `simulate`, with engines that take `finish` seconds to finish running requests.
fn simulate_with_finish(
    finish: f64,
    engines: usize,
    announced_at: &[f64],
    seconds: f64,
) -> (f64, u32) {
    let engine = |n| Engine {
        life: format!("e{n:02}").parse().unwrap(),
        version: 1,
        changing: None,
        pause: None,
        // With long streams, every engine has running requests.
        work: n as u64 % 5 + u64::from(finish > 1.0),
    };
    let mut all: Vec<Engine> = (0..engines).map(engine).collect();
    let mut remaining: Vec<Option<f64>> = vec![None; engines];
    let (mut announced_versions, mut loads, mut longest) = (AnnouncedVersions::new(), 0, 0.0f64);
    let step = 0.02;
    for tick in 0..(seconds / step) as u32 {
        let now = f64::from(tick) * step;
        let clock = Duration::from_secs_f64(now);
        for (version, at) in announced_at.iter().enumerate() {
            if now >= *at {
                announced_versions.record_announced(version as u64 + 2, clock);
            }
        }
        let Some(newest) = announced_versions.newest() else { continue };
        let loading = remaining.iter().filter(|l| l.is_some_and(|l| l <= LOAD)).count().max(1);
        let slowdown = (loading as f64 / (engines / 5).max(2) as f64).max(1.0);
        for (e, remaining) in all.iter_mut().zip(&mut remaining) {
            match remaining {
                Some(time) if *time <= step => {
                    e.version = e.changing.take().unwrap();
                    *remaining = None;
                }
                Some(time) if *time > LOAD => {
                    *time -= step;
                    e.work = if *time > LOAD { e.work } else { 0 };
                }
                Some(time) => *time -= step / slowdown,
                None => {}
            }
        }
        for instance in next(&all, newest, clock) {
            let index = all.iter().position(|e| e.life == instance).unwrap();
            all[index].changing = Some(newest);
            remaining[index] = Some(LOAD + finish);
            loads += 1;
        }
        let age = |e: &Engine| {
            announced_versions.replaced(e.version, clock).unwrap_or_default().as_secs_f64()
        };
        longest = all.iter().map(age).fold(longest, f64::max);
    }
    (longest, loads)
}

#[test_case(12, &[2.0], 12.0; "one version, twelve engines")]
#[test_case(12, &[2.0, 5.2, 8.4, 18.9, 22.9], 30.0; "five versions in quick succession")]
#[test_case(72, &[2.0, 5.0, 9.0], 20.0; "seventy-two engines")]
#[test_case(870, &[2.0], 12.0; "eight hundred and seventy engines")]
fn no_engine_stays_on_weights_past_their_bound(engines: usize, announced_at: &[f64], seconds: f64) {
    let (longest, _) = simulate(engines, announced_at, seconds);
    assert!(longest < 6.5, "{longest} s on replaced weights");
}

#[test]
fn a_restarted_host_learns_replaced_versions_from_other_hosts() {
    // To a starting host, the store lists only the newest version.
    let (start, now) = (Duration::from_secs(10), Duration::from_secs(11));
    let mut announced_versions = AnnouncedVersions::new();
    announced_versions.record_existing(4, start);
    announced_versions.record_reported(4, Duration::from_millis(1_200), now);
    announced_versions.record_reported(3, Duration::from_millis(5_600), now);
    assert_eq!(announced_versions.replaced(2, now), Some(Duration::from_millis(5_600)));
    assert_eq!(announced_versions.replaced(3, now), Some(Duration::from_millis(1_200)));
    assert_eq!(announced_versions.newest(), Some(4));
}

#[test]
fn versions_replaced_before_an_engine_loads_them_are_skipped() {
    let (_, loads) = simulate(12, &[2.0, 2.5, 3.0, 3.5], 14.0);
    assert!(loads <= 12 * 2, "{loads} loads for four versions of twelve engines");
}

#[test]
fn engines_that_finish_streams_of_three_seconds_change_in_two_rounds() {
    let (longest, _) = simulate_with_finish(3.0, 12, &[2.0], 16.0);
    assert!(longest < 9.5, "{longest} s on replaced weights");
}

#[test]
fn no_more_than_a_fifth_of_the_engines_changes_at_once() {
    let engine = |n| Engine {
        life: format!("e{n}").parse().unwrap(),
        version: 1,
        changing: (n < 10).then_some(2),
        pause: None,
        work: 0,
    };
    let engines: Vec<Engine> = (0..72).map(engine).collect();
    assert_eq!(next(&engines, 2, Duration::ZERO).len(), 72 / 5 - 10);
}
