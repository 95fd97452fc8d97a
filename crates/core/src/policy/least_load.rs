//! The engine with the fewest requests in flight.

use std::sync::atomic::{AtomicUsize, Ordering};

use super::{Candidate, Policy, PolicyInput};

/// Picks the least loaded candidate; ties are broken in rotation.
#[derive(Debug, Default)]
pub struct LeastLoad {
    next: AtomicUsize,
}

impl Policy for LeastLoad {
    fn pick(&self, _: PolicyInput<'_>, candidates: &[Candidate]) -> Option<usize> {
        let least = candidates.iter().map(|c| c.load).min()?;
        let ties = candidates.iter().filter(|c| c.load == least).count();
        let turn = self.next.fetch_add(1, Ordering::Relaxed) % ties;
        candidates.iter().enumerate().filter(|(_, c)| c.load == least).nth(turn).map(|(i, _)| i)
    }
}
