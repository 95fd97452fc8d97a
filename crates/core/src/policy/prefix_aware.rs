//! The engine that will have read the prompt soonest.
//!
//! Each candidate costs the prompt tokens it has to read before the first
//! token of this answer: those sent there and not yet read, those of this
//! prompt it does not have cached, and `load_tokens` for every request in
//! flight, which slows each step of its batch. The cheapest wins. So a hot
//! prefix draws requests to the engine that holds it until waiting there
//! costs more than reading the prefix again elsewhere.
//!
//! `balance_cap` bounds the requests by which the chosen engine may exceed
//! the idlest, for engines that hold few at once.

use std::sync::atomic::{AtomicUsize, Ordering};

use super::{Ask, Candidate, Policy};
use crate::prefix::BLOCK_TOKENS;

/// Prefix-aware policy: least expected wait for the first token.
#[derive(Debug, Default)]
pub struct PrefixAware {
    next: AtomicUsize,
}

impl Policy for PrefixAware {
    fn pick(&self, ask: Ask<'_>, candidates: &[Candidate]) -> Option<usize> {
        let blocks = ask.prefix.blocks.len() as u64;
        let per_load = u64::from(ask.params.load_tokens());
        let cost = |c: &Candidate| {
            let unread = (blocks - u64::from(c.matched).min(blocks)) * BLOCK_TOKENS as u64;
            c.pending.0 + unread + u64::from(c.load) * per_load
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
