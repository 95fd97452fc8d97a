//! Engines that have refused a request and asked this node to back off.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use marjoram_core::cache::Slot;
use marjoram_core::conditions::{Conditions, StatedConditions};
use marjoram_core::ids::Incarnation;

/// The conditions that engines have stated to this node, by slot, and the incarnation
/// that stated them.
#[derive(Default)]
pub struct Backoffs(ArcSwap<HashMap<Slot, (Option<Incarnation>, Conditions)>>);

impl Backoffs {
    /// Records that the engine in `slot`, in the incarnation `life`, refused a request
    /// and asked to back off for the time `text`. Returns the time, unless it cannot be used.
    pub fn record(
        &self,
        slot: Slot,
        life: Option<Incarnation>,
        text: &str,
        now: Duration,
    ) -> Option<Duration> {
        let mut stated = StatedConditions::default();
        stated.add_backoff(text);
        self.0.rcu(|engines| {
            let mut engines = HashMap::clone(engines);
            let known = engines.entry(slot).or_insert_with(|| (life, Conditions::default()));
            if known.0 != life {
                *known = (life, Conditions::default());
            }
            known.1.record(&stated, now, now);
            Arc::new(engines)
        });
        self.left(slot, life, now)
    }

    /// How long this node still backs off from the engine in `slot`, in the incarnation
    /// `life`.
    pub fn left(&self, slot: Slot, life: Option<Incarnation>, now: Duration) -> Option<Duration> {
        let engines = self.0.load();
        let (stated_by, conditions) = engines.get(&slot)?;
        let same = stated_by.is_none() || *stated_by == life;
        same.then(|| conditions.backoff_left(now)).flatten()
    }
}
