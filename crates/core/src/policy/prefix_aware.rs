//! The engine with the most of the prompt cached, weighed against load.
//!
//! Each candidate costs the prompt tokens it would have to compute plus
//! `load_tokens` for every request already in flight there; the cheapest
//! wins. When the cheapest is more than `balance_cap` requests busier than
//! the idlest, the idlest wins instead, so a hot prefix cannot pile all
//! traffic on one engine.

use std::sync::atomic::{AtomicUsize, Ordering};

use super::{Ask, Candidate, Policy};
use crate::prefix::BLOCK_TOKENS;

/// Prefix-aware policy with a load term and a balance cap.
#[derive(Debug, Default)]
pub struct PrefixAware {
    next: AtomicUsize,
}

impl Policy for PrefixAware {
    fn pick(&self, ask: Ask<'_>, candidates: &[Candidate]) -> Option<usize> {
        let blocks = ask.prefix.blocks.len() as u64;
        let per_load = u64::from(ask.params.load_tokens());
        let cost = |c: &Candidate| {
            (blocks - u64::from(c.matched).min(blocks)) * BLOCK_TOKENS as u64
                + u64::from(c.load) * per_load
        };
        let turn = self.next.fetch_add(1, Ordering::Relaxed);
        let count = candidates.len().max(1);
        let rotated = |i: usize| (i + count - turn % count) % count;
        let best = (0..candidates.len()).min_by_key(|&i| (cost(&candidates[i]), rotated(i)))?;
        let idlest = (0..candidates.len()).min_by_key(|&i| (candidates[i].load, rotated(i)))?;
        match candidates[best].load {
            load if load > candidates[idlest].load + ask.params.balance_cap() => Some(idlest),
            _ => Some(best),
        }
    }
}
