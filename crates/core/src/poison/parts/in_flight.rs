//! The prompt parts that a host has in flight.

use std::collections::HashMap;

use crate::exchange::PartId;

/// Number of prompts in flight by their parts.
///
/// ```
/// use marjoram_core::exchange::PartId;
/// use marjoram_core::poison::PartsInFlight;
/// let mut in_flight = PartsInFlight::default();
/// in_flight.add(&[PartId(1), PartId(2)]);
/// in_flight.add(&[PartId(1)]);
/// in_flight.remove(&[PartId(1), PartId(2)]);
/// assert!(in_flight.contains(PartId(1)) && !in_flight.contains(PartId(2)));
/// ```
#[derive(Debug, Default)]
pub struct PartsInFlight(HashMap<PartId, u32>);

impl PartsInFlight {
    /// Adds a prompt with `parts`.
    pub fn add(&mut self, parts: &[PartId]) {
        for part in parts {
            *self.0.entry(*part).or_default() += 1;
        }
    }

    /// Removes a prompt with `parts` that was added.
    pub fn remove(&mut self, parts: &[PartId]) {
        for part in parts {
            let Some(count) = self.0.get_mut(part) else { continue };
            *count -= 1;
            if *count == 0 {
                self.0.remove(part);
            }
        }
    }

    /// Whether a prompt with `part` is in flight.
    pub fn contains(&self, part: PartId) -> bool {
        self.0.contains_key(&part)
    }
}
