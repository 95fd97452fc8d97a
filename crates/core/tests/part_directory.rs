//! Bounds and order of the directory of the engines that have prefilled parts.

#[path = "support/fuzz.rs"]
mod fuzz;

use std::time::Duration;

use marjoram_core::part_directory::PartDirectory;
use proptest::prelude::*;

const MAX_PARTS: u64 = 16_384;
const MAX_ENGINES: usize = 4;
const RETENTION: Duration = ms(5_000);

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn directory_grows_with_every_part() {
    let mut directory = PartDirectory::new();
    for part in 0..MAX_PARTS + 100 {
        directory.record(&[part], 1, ms(0));
    }
    assert_eq!(directory.len() as u64, MAX_PARTS);
    // The parts recorded least recently are the ones forgotten.
    assert!((0..100).all(|part| directory.engines(part, ms(0)).is_empty()));
    assert!((100..MAX_PARTS + 100).all(|part| directory.engines(part, ms(0)) == [1]));
}

#[test]
fn one_report_of_many_parts_exceeds_the_bound() {
    let mut directory = PartDirectory::new();
    let parts: Vec<u64> = (0..2 * MAX_PARTS).collect();
    directory.record(&parts, 1, ms(0));
    assert_eq!(directory.len() as u64, MAX_PARTS);
}

#[test]
fn parts_in_use_are_forgotten_before_unused_ones() {
    let mut directory = PartDirectory::new();
    for part in 0..MAX_PARTS {
        directory.record(&[part], 1, ms(0));
    }
    directory.record(&[0], 2, ms(1));
    directory.record(&[MAX_PARTS], 1, ms(2));
    assert_eq!(directory.engines(0, ms(2)), [2, 1]);
    assert!(directory.engines(1, ms(2)).is_empty());
}

#[test]
fn engines_that_have_evicted_a_part_are_listed() {
    let mut directory = PartDirectory::new();
    directory.record(&[7], 1, ms(0));
    directory.record(&[7], 2, ms(3_000));
    assert_eq!(directory.engines(7, RETENTION - ms(1)), [2, 1]);
    assert_eq!(directory.engines(7, RETENTION), [2]);
    assert!(directory.engines(7, ms(3_000) + RETENTION).is_empty());
}

#[test]
fn an_engine_that_uses_a_part_again_is_forgotten() {
    let mut directory = PartDirectory::new();
    directory.record(&[7], 1, ms(0));
    directory.record(&[7], 1, ms(4_000));
    assert_eq!(directory.engines(7, ms(4_000) + RETENTION - ms(1)), [1]);
}

#[test]
fn engines_of_long_ago_precede_recent_ones() {
    let mut directory = PartDirectory::new();
    for (at, engine) in [3, 1, 4, 2, 5, 6].into_iter().enumerate() {
        directory.record(&[7], engine, ms(at as u64));
    }
    assert_eq!(directory.engines(7, ms(10)), [6, 5, 2, 4]);
    directory.record(&[7], 2, ms(10));
    assert_eq!(directory.engines(7, ms(10)), [2, 6, 5, 4]);
}

#[test]
fn an_engine_recorded_twice_displaces_others() {
    let mut directory = PartDirectory::new();
    for engine in [1, 2, 3, 4, 4, 4, 4] {
        directory.record(&[7, 7], engine, ms(0));
    }
    assert_eq!(directory.engines(7, ms(0)), [4, 3, 2, 1]);
}

/// All records in order, searched backwards.
#[derive(Default)]
struct Reference(Vec<(u64, u64, Duration)>);

impl Reference {
    fn engines(&self, part: u64, now: Duration) -> Vec<u64> {
        let mut latest: Vec<(u64, Duration)> = Vec::new();
        for (_, engine, used) in self.0.iter().rev().filter(|(other, _, _)| *other == part) {
            if !latest.iter().any(|(other, _)| other == engine) {
                latest.push((*engine, *used));
            }
        }
        latest.truncate(MAX_ENGINES);
        let recent = latest.into_iter().filter(|(_, used)| now - *used < RETENTION);
        recent.map(|(engine, _)| engine).collect()
    }

    fn parts(&self) -> usize {
        let mut parts: Vec<u64> = self.0.iter().map(|(part, _, _)| *part).collect();
        parts.sort_unstable();
        parts.dedup();
        parts.len()
    }
}

proptest! {
    #![proptest_config(fuzz::config(54))]

    #[test]
    fn engines_differ_from_those_in_a_list_of_all_records(
        reports in prop::collection::vec(
            (prop::collection::vec(0..5u64, 0..4), 0..7u64, 0..1_500u64),
            1..80,
        ),
    ) {
        let (mut directory, mut reference) = (PartDirectory::new(), Reference::default());
        let mut now = ms(0);
        for (parts, engine, pause) in reports {
            now += ms(pause);
            directory.record(&parts, engine, now);
            reference.0.extend(parts.into_iter().map(|part| (part, engine, now)));
            for part in 0..6 {
                prop_assert_eq!(directory.engines(part, now), reference.engines(part, now));
            }
            prop_assert_eq!(directory.len(), reference.parts());
            prop_assert_eq!(directory.is_empty(), reference.parts() == 0);
        }
    }
}
