//! The router's picture of which engine holds which cache block.
//!
//! The picture is built from the engines' cache events, which come late and
//! with gaps, and from the router's own dispatches, which predict what an
//! engine will hold once it has computed a prompt. It is a guess: routing
//! may use it, correctness must not. Three rules keep the guess safe:
//!
//! - Every slot records the incarnation and model version its entries were
//!   learnt under. Events of another incarnation or version clear the slot
//!   first, so a restarted engine or new weights never inherit old entries.
//! - Block hashes are salted by workspace and version (see [`crate::prefix`]),
//!   so one workspace's entries never match another's prompt.
//! - A dead engine's slot is cleared as soon as the router learns of it.
//!
//! Shape: a table of up to [`MAX_SLOTS`] engines, and 16 shards mapping a
//! block hash to a 64-bit mask of the slots that hold it (about 17 bytes an
//! entry with the map's own overhead). Reads and writes take one shard's
//! lock at a time.

use std::collections::HashMap;
use std::fmt;
use std::sync::RwLock;

use serde::Serialize;

use crate::ids::{BlockHash, Incarnation, ModelVersion};

/// Engines one picture can hold: one pool, such as the runners of one model.
pub const MAX_SLOTS: usize = 64;

const SHARDS: usize = 16;

/// Index of an engine in a picture, below [`MAX_SLOTS`].
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

/// What one slot's entries were learnt under.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize)]
pub struct Life {
    /// The engine's incarnation.
    pub incarnation: Incarnation,
    /// The weights it serves.
    pub version: ModelVersion,
}

/// Counters of what the picture has seen, for the state dump.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Counts {
    /// Block entries now held, over all slots.
    pub entries: u64,
    /// Times a slot was cleared (restart, new weights or death).
    pub clears: u64,
}

/// Which engine holds which block, as far as the router knows.
#[derive(Debug)]
pub struct Picture {
    shards: Vec<RwLock<HashMap<u64, u64>>>,
    lives: RwLock<[Option<Life>; MAX_SLOTS]>,
    clears: std::sync::atomic::AtomicU64,
}

impl Default for Picture {
    fn default() -> Self {
        Self::new()
    }
}

impl Picture {
    /// An empty picture.
    pub fn new() -> Self {
        Self {
            shards: (0..SHARDS).map(|_| RwLock::new(HashMap::new())).collect(),
            lives: RwLock::new([None; MAX_SLOTS]),
            clears: Default::default(),
        }
    }

    /// Records that `slot` holds `blocks`, learnt under `life`.
    ///
    /// A `life` other than the slot's current one clears the slot first.
    pub fn stored(&self, slot: Slot, life: Life, blocks: &[BlockHash]) {
        self.begin(slot, life);
        for block in blocks {
            let mut shard = self.shard(*block).write().unwrap();
            *shard.entry(block.0).or_insert(0) |= slot.bit();
        }
    }

    /// Records that `slot` will hold `blocks` once it has computed a prompt
    /// the router sent it; ignored unless `life` is the slot's current one.
    pub fn predicted(&self, slot: Slot, life: Life, blocks: &[BlockHash]) {
        if self.life(slot) != Some(life) {
            return;
        }
        for block in blocks {
            let mut shard = self.shard(*block).write().unwrap();
            *shard.entry(block.0).or_insert(0) |= slot.bit();
        }
    }

    /// Records that `slot` evicted `blocks`; ignored for another life.
    pub fn removed(&self, slot: Slot, life: Life, blocks: &[BlockHash]) {
        if self.life(slot) != Some(life) {
            return;
        }
        for block in blocks {
            self.unset(slot, *block);
        }
    }

    /// Forgets everything about `slot`: the engine died or left.
    pub fn clear(&self, slot: Slot) {
        self.lives.write().unwrap()[usize::from(slot.0)] = None;
        self.drop_slot(slot);
    }

    /// The life the slot's entries were learnt under, if any.
    pub fn life(&self, slot: Slot) -> Option<Life> {
        self.lives.read().unwrap()[usize::from(slot.0)]
    }

    /// For each slot in `candidates`, how many leading blocks of `blocks` it
    /// holds; the result is indexed like `candidates`.
    ///
    /// ```
    /// use marjoram_core::cache::{Life, Picture, Slot};
    /// use marjoram_core::ids::BlockHash;
    /// let picture = Picture::new();
    /// let blocks = [BlockHash(1), BlockHash(2), BlockHash(3)];
    /// picture.stored(Slot(0), Life::default(), &blocks[..2]);
    /// assert_eq!(picture.matched(&blocks, &[Slot(0), Slot(1)]), vec![2, 0]);
    /// ```
    pub fn matched(&self, blocks: &[BlockHash], candidates: &[Slot]) -> Vec<u32> {
        let mut live = candidates.iter().fold(0u64, |mask, slot| mask | slot.bit());
        let mut depth = [0u32; MAX_SLOTS];
        for (index, block) in blocks.iter().enumerate() {
            let held = self.shard(*block).read().unwrap().get(&block.0).copied().unwrap_or(0);
            live &= held;
            if live == 0 {
                break;
            }
            let mut rest = live;
            while rest != 0 {
                let slot = rest.trailing_zeros() as usize;
                depth[slot] = index as u32 + 1;
                rest &= rest - 1;
            }
        }
        candidates.iter().map(|slot| depth[usize::from(slot.0)]).collect()
    }

    /// Every block `slot` is believed to hold, in no order; walks every shard.
    pub fn held(&self, slot: Slot) -> Vec<BlockHash> {
        let mut blocks = Vec::new();
        for shard in &self.shards {
            let shard = shard.read().unwrap();
            let held = shard.iter().filter(|(_, mask)| *mask & slot.bit() != 0);
            blocks.extend(held.map(|(block, _)| BlockHash(*block)));
        }
        blocks
    }

    /// Counters for the state dump; walks every shard.
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

    /// Starts `slot` on `life`, clearing entries of any other life.
    pub fn begin(&self, slot: Slot, life: Life) {
        if self.life(slot) == Some(life) {
            return;
        }
        let stale = {
            let mut lives = self.lives.write().unwrap();
            let stale = lives[usize::from(slot.0)].is_some();
            lives[usize::from(slot.0)] = Some(life);
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
