//! Settings shared by the state-machine tests: a fixed seed, so CI gives
//! the same verdict every run, and `MARJORAM_FUZZ_CASES` cases (256 by
//! default) for longer runs.

use proptest::test_runner::{Config, RngSeed};

/// Cases run unless `MARJORAM_FUZZ_CASES` says otherwise.
const CASES: u32 = 256;

/// A proptest configuration with `seed` and no failure files.
pub fn config(seed: u64) -> Config {
    let cases =
        std::env::var("MARJORAM_FUZZ_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(CASES);
    Config { cases, rng_seed: RngSeed::Fixed(seed), failure_persistence: None, ..Config::default() }
}
