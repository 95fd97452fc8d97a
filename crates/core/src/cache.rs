//! The router's cache index: which engine has which prompt block cached.
//!
//! The index is built from the engines' cache events, which arrive late and
//! with gaps, and from the router's own dispatches, which predict the blocks an
//! engine will have cached once it has computed a prompt. It is an estimate:
//! routing may use it, correctness must not depend on it. Three rules keep it
//! safe to use:
//!
//! - Each slot records the incarnation and model version that its entries
//!   belong to. Events of another incarnation or version clear the slot first, so
//!   a restarted engine or new weights never inherit old entries.
//! - Block hashes are salted by workspace and version (see [`crate::prefix`]),
//!   so one workspace's entries never match another's prompt.
//! - The slot of an engine that has failed is cleared as soon as the router
//!   detects the failure.
//!
//! Structure: a table of up to [`MAX_SLOTS`] engines, and 16 shards that map a
//! block hash to a 64-bit mask of the slots that have the block (about 17 bytes
//! per entry, including the map's overhead). Reads and writes lock one shard at
//! a time.

use std::collections::HashMap;
use std::fmt;
use std::sync::RwLock;

use serde::Serialize;

use crate::ids::{BlockHash, Incarnation, ModelVersion};

/// Maximum number of engines in an index: one pool, such as the engines of one
/// model.
pub const MAX_SLOTS: usize = 64;

const SHARDS: usize = 16;

/// Position of an engine in a cache index, below [`MAX_SLOTS`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct Slot(pub u8);

impl Slot {
    fn bit(self) -> u64 {
        1 << self.0
    }
}

impl fmt::Display for Slot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The engine process and weights that a slot's entries belong to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize)]
pub struct CacheGeneration {
    /// The engine's incarnation.
    pub incarnation: Incarnation,
    /// Version of the weights it serves.
    pub version: ModelVersion,
}

/// Counters of a cache index, for the state dump.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Counts {
    /// Current number of block entries over all slots.
    pub entries: u64,
    /// Number of times a slot was cleared (restart, new weights or failure).
    pub clears: u64,
}

/// Index of the blocks that each engine has cached, as far as the router knows.
#[derive(Debug)]
pub struct CacheIndex {
    shards: Vec<RwLock<HashMap<u64, u64>>>,
    generations: RwLock<[Option<CacheGeneration>; MAX_SLOTS]>,
    clears: std::sync::atomic::AtomicU64,
}

impl Default for CacheIndex {
    fn default() -> Self {
        Self::new()
    }
}

impl CacheIndex {
    /// An empty index.
    pub fn new() -> Self {
        Self {
            shards: (0..SHARDS).map(|_| RwLock::new(HashMap::new())).collect(),
            generations: RwLock::new([None; MAX_SLOTS]),
            clears: Default::default(),
        }
    }

    /// Records that `slot` has cached `blocks`, as reported for `generation`.
    ///
    /// A `generation` other than the slot's current one clears the slot first.
    pub fn stored(&self, slot: Slot, generation: CacheGeneration, blocks: &[BlockHash]) {
        self.begin(slot, generation);
        for block in blocks {
            let mut shard = self.shard(*block).write().unwrap();
            *shard.entry(block.0).or_insert(0) |= slot.bit();
        }
    }

    /// Records that `slot` will have cached `blocks` once it has computed a prompt
    /// that the router sent it; ignored unless `generation` is the slot's current one.
    pub fn predicted(&self, slot: Slot, generation: CacheGeneration, blocks: &[BlockHash]) {
        if self.life(slot) != Some(generation) {
            return;
        }
        for block in blocks {
            let mut shard = self.shard(*block).write().unwrap();
            *shard.entry(block.0).or_insert(0) |= slot.bit();
        }
    }

    /// Records that `slot` evicted `blocks`; ignored unless `generation` is the slot's
    /// current one.
    pub fn removed(&self, slot: Slot, generation: CacheGeneration, blocks: &[BlockHash]) {
        if self.life(slot) != Some(generation) {
            return;
        }
        for block in blocks {
            self.unset(slot, *block);
        }
    }

    /// Removes all entries of `slot`, whose engine failed or left.
    pub fn clear(&self, slot: Slot) {
        self.generations.write().unwrap()[usize::from(slot.0)] = None;
        self.drop_slot(slot);
    }

    /// The engine process and weights that the slot's entries belong to, if any.
    pub fn life(&self, slot: Slot) -> Option<CacheGeneration> {
        self.generations.read().unwrap()[usize::from(slot.0)]
    }

    /// For each slot in `candidates`, the number of leading blocks of `blocks` that
    /// it has cached; the result is indexed like `candidates`.
    ///
    /// ```
    /// use marjoram_core::cache::{CacheGeneration, CacheIndex, Slot};
    /// use marjoram_core::ids::BlockHash;
    /// let cache_index = CacheIndex::new();
    /// let blocks = [BlockHash(1), BlockHash(2), BlockHash(3)];
    /// cache_index.stored(Slot(0), CacheGeneration::default(), &blocks[..2]);
    /// assert_eq!(cache_index.matched(&blocks, &[Slot(0), Slot(1)]), vec![2, 0]);
    /// ```
    pub fn matched(&self, blocks: &[BlockHash], candidates: &[Slot]) -> Vec<u32> {
        let mut matching = candidates.iter().fold(0u64, |mask, slot| mask | slot.bit());
        let mut depth = [0u32; MAX_SLOTS];
        for (index, block) in blocks.iter().enumerate() {
            let slots = self.shard(*block).read().unwrap().get(&block.0).copied().unwrap_or(0);
            matching &= slots;
            if matching == 0 {
                break;
            }
            let mut rest = matching;
            while rest != 0 {
                let slot = rest.trailing_zeros() as usize;
                depth[slot] = index as u32 + 1;
                rest &= rest - 1;
            }
        }
        candidates.iter().map(|slot| depth[usize::from(slot.0)]).collect()
    }

    /// All blocks indexed for `slot`, in no particular order; visits every shard.
    pub fn blocks_of(&self, slot: Slot) -> Vec<BlockHash> {
        let mut blocks = Vec::new();
        for shard in &self.shards {
            let shard = shard.read().unwrap();
            let cached = shard.iter().filter(|(_, mask)| *mask & slot.bit() != 0);
            blocks.extend(cached.map(|(block, _)| BlockHash(*block)));
        }
        blocks
    }

    /// Counters for the state dump; visits every shard.
    pub fn counts(&self) -> Counts {
        let entries = self
            .shards
            .iter()
            .map(|shard| {
                shard.read().unwrap().values().map(|mask| u64::from(mask.count_ones())).sum::<u64>()
            })
            .sum();
        Counts { entries, clears: self.clears.load(std::sync::atomic::Ordering::Relaxed) }
    }

    /// Assigns `slot` to `generation`, and clears its entries of any other generation.
    pub fn begin(&self, slot: Slot, generation: CacheGeneration) {
        if self.life(slot) == Some(generation) {
            return;
        }
        let stale = {
            let mut generations = self.generations.write().unwrap();
            let stale = generations[usize::from(slot.0)].is_some();
            generations[usize::from(slot.0)] = Some(generation);
            stale
        };
        if stale {
            self.drop_slot(slot);
        }
    }

    fn drop_slot(&self, slot: Slot) {
        self.clears.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        for shard in &self.shards {
            let mut shard = shard.write().unwrap();
            shard.retain(|_, mask| {
                *mask &= !slot.bit();
                *mask != 0
            });
        }
    }

    fn unset(&self, slot: Slot, block: BlockHash) {
        let mut shard = self.shard(block).write().unwrap();
        if let Some(mask) = shard.get_mut(&block.0) {
            *mask &= !slot.bit();
            if *mask == 0 {
                shard.remove(&block.0);
            }
        }
    }

    fn shard(&self, block: BlockHash) -> &RwLock<HashMap<u64, u64>> {
        &self.shards[(block.0 >> 60) as usize % SHARDS]
    }
}
