//! Invariants: retries never exceed their permitted share of the requests, and the
//! order in which an engine reads prompts does not change its estimated pace.

#[path = "support/fuzz.rs"]
mod fuzz;

use std::time::Duration;

use marjoram_core::admission::{Budget, PrefillTime};
use marjoram_core::ids::Tokens;
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

    /// Prompts that are sent together and read one after the other, in any order,
    /// at 1 ms a token leave the estimate at 1 ms a token.
    #[test]
    fn prompts_read_in_another_order_than_sent_keep_the_estimate(
        order in Just((1..=20u64).collect::<Vec<_>>()).prop_shuffle(),
    ) {
        let prefill_time = PrefillTime::new();
        let read_before = prefill_time.read();
        let mut now = Duration::ZERO;
        for prompt in order {
            let unread = Tokens(256 + prompt);
            now += Duration::from_millis(unread.0);
            prefill_time.observe(read_before, unread, now);
        }
        prop_assert_eq!(prefill_time.wait(Tokens(1000)), Some(Duration::from_secs(1)));
    }
}
