//! Settings shared by the state-machine tests: a fixed seed, so that CI runs are
//! reproducible, which `MARJORAM_FUZZ_SEED` overrides, and the number of cases, which
//! `MARJORAM_FUZZ_CASES` overrides for longer runs (256 by default).

use std::str::FromStr;

use proptest::test_runner::{Config, RngSeed};

/// Number of cases unless `MARJORAM_FUZZ_CASES` is set.
const CASES: u32 = 256;

/// A proptest configuration that uses `seed`, unless `MARJORAM_FUZZ_SEED` is set, and writes no
/// failure files.
pub fn config(seed: u64) -> Config {
    let cases = env_number("MARJORAM_FUZZ_CASES").unwrap_or(CASES);
    let seed = env_number("MARJORAM_FUZZ_SEED").unwrap_or(seed);
    Config { cases, rng_seed: RngSeed::Fixed(seed), failure_persistence: None, ..Config::default() }
}

fn env_number<T: FromStr>(name: &str) -> Option<T> {
    let text = std::env::var(name).ok()?;
    let value = text.parse().unwrap_or_else(|_| panic!("{name}: not a number: {text}"));
    Some(value)
}
