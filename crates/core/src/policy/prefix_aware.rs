//! Picks the engine that is expected to finish the prompt's prefill first.
//!
//! The cost of a candidate is the number of prompt tokens it has to prefill
//! before the first token of this answer: those sent there and not yet
//! prefilled, those of this prompt that it does not have cached, and
//! `load_tokens` for each request in flight, which slows each step of its batch.
//! The candidate with the lowest cost is picked. So requests with a hot prefix
//! go to the engine that has it cached until waiting there costs more than
//! prefilling the prefix again elsewhere.
//!
//! `balance_cap` limits by how many requests the picked engine may exceed the
//! least loaded one, for engines that run few requests at once.

use std::sync::atomic::{AtomicUsize, Ordering};

use super::{Candidate, Policy, PolicyInput};
use crate::prefix::BLOCK_TOKENS;

/// Prefix-aware policy: least expected wait for the first token.
#[derive(Debug, Default)]
pub struct PrefixAware {
    next: AtomicUsize,
}

impl Policy for PrefixAware {
    fn pick(&self, policy_input: PolicyInput<'_>, candidates: &[Candidate]) -> Option<usize> {
        let blocks = policy_input.prefix.blocks.len() as u64;
        let per_load = u64::from(policy_input.params.load_tokens());
        let cost = |c: &Candidate| {
            let unread = (blocks - u64::from(c.matched).min(blocks)) * BLOCK_TOKENS as u64;
            c.pending.0 + unread + u64::from(c.load) * per_load
        };
        let turn = self.next.fetch_add(1, Ordering::Relaxed);
        let count = candidates.len().max(1);
        let rotated = |i: usize| (i + count - turn % count) % count;
        let best = (0..candidates.len()).min_by_key(|&i| (cost(&candidates[i]), rotated(i)))?;
        let least_loaded =
            (0..candidates.len()).min_by_key(|&i| (candidates[i].load, rotated(i)))?;
        match candidates[best].load {
            load if load > candidates[least_loaded].load + policy_input.params.balance_cap() => {
                Some(least_loaded)
            }
            _ => Some(best),
        }
    }
}
