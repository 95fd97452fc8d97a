//! Settings shared by the state-machine tests: a fixed seed, so CI gives
//! the same verdict every run, and `MARJORAM_FUZZ_CASES` cases (256 by
//! default) for longer runs, of another sequence with `MARJORAM_FUZZ_SEED`.

use std::str::FromStr;

use proptest::test_runner::{Config, RngSeed};

/// Cases run unless `MARJORAM_FUZZ_CASES` says otherwise.
const CASES: u32 = 256;

/// A proptest configuration with `seed`, unless the environment names another,
/// and no failure files.
pub fn config(seed: u64) -> Config {
    let cases = setting("MARJORAM_FUZZ_CASES").unwrap_or(CASES);
    let seed = setting("MARJORAM_FUZZ_SEED").unwrap_or(seed);
    Config { cases, rng_seed: RngSeed::Fixed(seed), failure_persistence: None, ..Config::default() }
}

fn setting<T: FromStr>(name: &str) -> Option<T> {
    let text = std::env::var(name).ok()?;
    let value = text.parse().unwrap_or_else(|_| panic!("{name}: not a number: {text}"));
    Some(value)
}
