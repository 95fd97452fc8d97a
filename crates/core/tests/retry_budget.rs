//! Retry budget that all hosts share without coordinating with each other.

use std::time::Duration;

use marjoram_core::budget::{Allowance, Budget};
use proptest::prelude::*;

const HOSTS: usize = 9;
const ALLOWANCE: Allowance = Allowance { ratio: 0.2, slack: 58.0, window: Duration::from_secs(10) };

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, ..ProptestConfig::default() })]

    /// Every request fails and is to be retried, under changing load.
    #[test]
    fn all_hosts_together_stay_within_the_budget(loads in proptest::collection::vec(0..120u32, 30)) {
        let mut budgets: Vec<Budget> = (0..HOSTS).map(|_| Budget::new(ALLOWANCE)).collect();
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        for (second, load) in loads.iter().enumerate() {
            let (mut received, mut retried) = (0, 0);
            for n in 0..*load {
                let now = Duration::from_secs_f64(second as f64 + f64::from(n) / f64::from(*load));
                let budget = &mut budgets[n as usize % HOSTS];
                budget.request(now);
                received += 1;
                retried += u32::from(budget.repeat(now, HOSTS));
            }
            requests.push(received);
            retries.push(retried);
        }
        for end in 10..=requests.len() {
            let sum = |of: &[u32], from: usize| f64::from(of[from..from + 10].iter().sum::<u32>());
            let previous = if end >= 20 { sum(&requests, end - 20) } else { 0.0 };
            let half_earlier = if end >= 15 { sum(&requests, end - 15) } else { 0.0 };
            let max_requests = sum(&requests, end - 10).max(previous).max(half_earlier);
            let used = sum(&retries, end - 10);
            prop_assert!(
                used <= ALLOWANCE.ratio * max_requests + ALLOWANCE.slack,
                "{used} retries for {max_requests} requests"
            );
        }
    }
}

#[test]
fn a_host_without_load_may_still_retry_a_few_requests() {
    let mut budget = Budget::new(ALLOWANCE);
    let now = Duration::from_secs(50);
    budget.request(now);
    assert!(budget.repeat(now, HOSTS));
    assert_eq!((0..100).filter(|_| budget.repeat(now, HOSTS)).count(), 4);
}
