//! Each engine in turn.

use std::sync::atomic::{AtomicUsize, Ordering};

use super::{Ask, Candidate, Policy};

/// Hands requests to the candidates in turn; ignores load and cache.
#[derive(Debug, Default)]
pub struct RoundRobin {
    next: AtomicUsize,
}

impl Policy for RoundRobin {
    fn pick(&self, _: Ask<'_>, candidates: &[Candidate]) -> Option<usize> {
        match candidates.len() {
            0 => None,
            n => Some(self.next.fetch_add(1, Ordering::Relaxed) % n),
        }
    }
}
