//! Fingerprints of sets of prompt parts, under which they are kept in the quarantine.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::exchange::PartId;
use crate::fingerprint::Fingerprint;

/// Seed that keeps fingerprints of parts apart from those of requests.
const SEED: u64 = 0x7061_7274;

/// Maximum number of parts in a set. Of more that cannot be told apart the first ones
/// stand for all.
const MAX_SET: usize = 4;

/// Number of leading parts of a prompt that are combined into sets of several.
const MAX_COMBINED: usize = 8;

/// The fingerprint of the set of `parts`, the same in any order.
pub fn part_set(parts: &[PartId]) -> Fingerprint {
    Fingerprint(parts.iter().take(MAX_SET).fold(0, |sum, part| combine(sum, *part)))
}

fn combine(sum: u64, part: PartId) -> u64 {
    sum.wrapping_add(xxh3_64_with_seed(&part.0.to_le_bytes(), SEED))
}

/// The fingerprints of all sets that the shared `parts` of a prompt contain.
///
/// ```
/// use marjoram_core::exchange::PartId;
/// use marjoram_core::poison::{part_set, part_sets};
/// let prompt = [1, 2, 3].map(PartId);
/// let sets = part_sets(&prompt);
/// assert_eq!(sets.len(), 7);
/// assert!(sets.contains(&part_set(&[PartId(3), PartId(1)])));
/// assert!(!sets.contains(&part_set(&[PartId(4)])));
/// ```
pub fn part_sets(parts: &[PartId]) -> Vec<Fingerprint> {
    let mut sets: Vec<(usize, u64)> = Vec::new();
    for part in parts.iter().take(MAX_COMBINED) {
        let larger = sets.iter().filter(|(size, _)| *size < MAX_SET);
        let larger: Vec<_> = larger.map(|(size, sum)| (size + 1, combine(*sum, *part))).collect();
        sets.extend(larger);
        sets.push((1, combine(0, *part)));
    }
    let single = parts.iter().skip(MAX_COMBINED).map(|part| (1, combine(0, *part)));
    sets.into_iter().chain(single).map(|(_, sum)| Fingerprint(sum)).collect()
}
