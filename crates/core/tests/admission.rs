//! Invariant: retries never exceed their permitted share of the requests.

#[path = "support/fuzz.rs"]
mod fuzz;

use marjoram_core::admission::Budget;
use proptest::prelude::*;

proptest! {
    #![proptest_config(fuzz::config(0xb1d6))]

    /// In any sequence of requests and retry attempts, the retries allowed
    /// within any contiguous part stay within the reserve plus a fifth of the
    /// requests of that part.
    #[test]
    fn retries_stay_within_their_share(steps in prop::collection::vec(any::<bool>(), 1..300)) {
        const RESERVE: u32 = 5;
        let budget = Budget::new(200, RESERVE);
        let outcomes: Vec<(bool, bool)> = steps
            .iter()
            .map(|&request| match request {
                true => { budget.earn(); (true, false) }
                false => (false, budget.take()),
            })
            .collect();
        for start in 0..outcomes.len() {
            let (mut requests, mut retries) = (0u32, 0u32);
            for (request, retry) in &outcomes[start..] {
                requests += u32::from(*request);
                retries += u32::from(*retry);
                prop_assert!(retries * 5 <= requests + RESERVE * 5);
            }
        }
    }
}
