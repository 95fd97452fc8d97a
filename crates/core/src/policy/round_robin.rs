//! Round-robin routing.

use std::sync::atomic::{AtomicUsize, Ordering};

use super::{Candidate, Policy, PolicyInput};

/// Picks the candidates in rotation; ignores load and cache.
#[derive(Debug, Default)]
pub struct RoundRobin {
    next: AtomicUsize,
}

impl Policy for RoundRobin {
    fn pick(&self, _: PolicyInput<'_>, candidates: &[Candidate]) -> Option<usize> {
        match candidates.len() {
            0 => None,
            n => Some(self.next.fetch_add(1, Ordering::Relaxed) % n),
        }
    }
}
