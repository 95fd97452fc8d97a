//! Engines that have refused a request and asked for a time without any.

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
pub struct Rests(ArcSwap<HashMap<Slot, (Option<Incarnation>, Conditions)>>);

impl Rests {
    /// Records that the engine in `slot`, in the incarnation `life`, refused a request
    /// and asked for the time `text`. Returns the time, unless it cannot be used.
    pub fn record(
        &self,
        slot: Slot,
        life: Option<Incarnation>,
        text: &str,
        now: Duration,
    ) -> Option<Duration> {
        let mut stated = StatedConditions::default();
        stated.add_rest(text);
        self.0.rcu(|rests| {
            let mut rests = HashMap::clone(rests);
            let known = rests.entry(slot).or_insert_with(|| (life, Conditions::default()));
            if known.0 != life {
                *known = (life, Conditions::default());
            }
            known.1.record(&stated, now, now);
            Arc::new(rests)
        });
        self.left(slot, life, now)
    }

    /// How long the engine in `slot`, in the incarnation `life`, still wants no requests.
    pub fn left(&self, slot: Slot, life: Option<Incarnation>, now: Duration) -> Option<Duration> {
        let rests = self.0.load();
        let (stated_by, conditions) = rests.get(&slot)?;
        let same = stated_by.is_none() || *stated_by == life;
        same.then(|| conditions.rest_left(now)).flatten()
    }
}
