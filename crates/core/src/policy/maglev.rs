//! Consistent hashing of the prompt's prefix, with bounded load.
//!
//! The table follows section 3.4 of Eisenbud et al., "Maglev: A Fast and
//! Reliable Software Network Load Balancer" (NSDI '16), as described in the
//! maglev_ex release notes (`PAPER-maglev-ex-releases-v0-5683.md`). Two of
//! its points are used, each backed by a test or benchmark of this crate:
//!
//! - Engines are sorted by key before the table is filled, so routers that
//!   learn the same engines in different orders build the same table
//!   (`maglev_table_ignores_order` in the tests).
//! - All engines have equal weight, so only the scanning fill is implemented,
//!   which the paper measures as the fastest for equal weights.
//!   `benches/routing.rs` measures building a table of 12 engines.
//!
//! The key is the hash of the block at depth `hash_blocks` (or the last full
//! block of a shorter prompt), so requests that share that much of a prefix
//! are sent to the same engine. A hot prefix would overload its engine, so an
//! engine over `load_bound` percent of the mean load is skipped for the next
//! engine in the table that is within the bound.

use std::sync::Arc;

use arc_swap::ArcSwapOption;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{Candidate, Policy, PolicyInput};

/// Number of slots in a table: a prime well above the number of engines in a pool.
pub const TABLE_SIZE: usize = 4093;

/// A Maglev lookup table over a set of engine keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MaglevTable {
    keys: Vec<u64>,
    entries: Vec<u16>,
}

impl MaglevTable {
    /// Builds the table for `keys`, in any order; `keys` must not be empty.
    ///
    /// ```
    /// use marjoram_core::policy::MaglevTable;
    /// let a = MaglevTable::new(&[3, 1, 2]);
    /// let b = MaglevTable::new(&[1, 2, 3]);
    /// assert_eq!(a, b);
    /// ```
    pub fn new(keys: &[u64]) -> Self {
        let mut keys = keys.to_vec();
        keys.sort_unstable();
        keys.dedup();
        let size = TABLE_SIZE as u64;
        let permutations: Vec<(u64, u64)> = keys
            .iter()
            .map(|key| {
                let bytes = key.to_le_bytes();
                let offset = xxh3_64_with_seed(&bytes, 1) % size;
                let skip = xxh3_64_with_seed(&bytes, 2) % (size - 1) + 1;
                (offset, skip)
            })
            .collect();
        let mut next = vec![0u64; keys.len()];
        let mut entries = vec![u16::MAX; TABLE_SIZE];
        let mut filled = 0;
        while filled < TABLE_SIZE {
            for (index, (offset, skip)) in permutations.iter().enumerate() {
                let mut slot = ((offset + next[index] * skip) % size) as usize;
                while entries[slot] != u16::MAX {
                    next[index] += 1;
                    slot = ((offset + next[index] * skip) % size) as usize;
                }
                entries[slot] = index as u16;
                next[index] += 1;
                filled += 1;
                if filled == TABLE_SIZE {
                    break;
                }
            }
        }
        Self { keys, entries }
    }

    /// The sorted keys that the table was built from.
    pub fn keys(&self) -> &[u64] {
        &self.keys
    }

    /// The key in the slot of `hash`, followed by the keys of the later slots.
    pub fn walk(&self, hash: u64) -> impl Iterator<Item = u64> + '_ {
        let start = (hash % TABLE_SIZE as u64) as usize;
        (0..TABLE_SIZE)
            .map(move |step| self.keys[usize::from(self.entries[(start + step) % TABLE_SIZE])])
    }
}

/// Maglev policy; caches the table of the last candidate set.
#[derive(Debug, Default)]
pub struct Maglev {
    table: ArcSwapOption<MaglevTable>,
}

impl Maglev {
    fn table(&self, candidates: &[Candidate]) -> Arc<MaglevTable> {
        let mut keys: Vec<u64> = candidates.iter().map(|c| c.key).collect();
        keys.sort_unstable();
        keys.dedup();
        match self.table.load_full() {
            Some(table) if table.keys == keys => table,
            _ => {
                let table = Arc::new(MaglevTable::new(&keys));
                self.table.store(Some(table.clone()));
                table
            }
        }
    }
}

impl Policy for Maglev {
    fn pick(&self, policy_input: PolicyInput<'_>, candidates: &[Candidate]) -> Option<usize> {
        if candidates.is_empty() {
            return None;
        }
        let table = self.table(candidates);
        let depth =
            (policy_input.params.hash_blocks() as usize).min(policy_input.prefix.blocks.len());
        let hash = match depth {
            0 => 0,
            n => policy_input.prefix.blocks[n - 1].0,
        };
        let total: u64 = candidates.iter().map(|c| u64::from(c.load)).sum();
        let mean = total as f64 / candidates.len() as f64;
        let bound = (mean * f64::from(policy_input.params.load_bound()) / 100.0).ceil() as u32 + 1;
        let index_of = |key: u64| candidates.iter().position(|c| c.key == key);
        let first = table.walk(hash).next().and_then(index_of);
        table
            .walk(hash)
            .filter_map(index_of)
            .find(|&index| candidates[index].load <= bound)
            .or(first)
    }
}
