//! The engine's prefix cache and the events it publishes about it.
//!
//! Blocks yield least recently used first, and after lying unused for a
//! while. Events become visible after a lag, and a share of them never does,
//! which leaves a gap in the sequence.

use std::collections::VecDeque;
use std::num::NonZeroUsize;
use std::time::{Duration, Instant};

use lru::LruCache;
use marjoram_core::ids::BlockHash;
use marjoram_core::prefix::BLOCK_TOKENS;
use marjoram_core::wire::{CacheEvent, EventKind};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::options::EngineOptions;

/// Events kept for readers; older ones are gone for good.
const EVENTS_KEPT: usize = 100_000;

/// Cached blocks and the events about them.
pub struct Cache {
    blocks: LruCache<BlockHash, Instant>,
    idle: Duration,
    lag: Duration,
    loss: f64,
    next: u64,
    kept: VecDeque<(Instant, CacheEvent)>,
    rng: ChaCha8Rng,
}

impl Cache {
    /// An empty cache with the sizes and faults of `opts`.
    pub fn new(opts: &EngineOptions) -> Self {
        Self {
            blocks: LruCache::new(NonZeroUsize::new(opts.capacity).unwrap_or(NonZeroUsize::MIN)),
            idle: Duration::from_millis(opts.idle_ms),
            lag: Duration::from_millis(opts.event_lag_ms),
            loss: opts.event_loss,
            next: 0,
            kept: VecDeque::new(),
            rng: ChaCha8Rng::seed_from_u64(opts.seed),
        }
    }

    /// Cached prompt tokens: the longest run of leading blocks held.
    pub fn lookup(&mut self, blocks: &[BlockHash]) -> u64 {
        let held = blocks.iter().take_while(|block| self.blocks.get(*block).is_some()).count();
        (held * BLOCK_TOKENS) as u64
    }

    /// Holds `blocks`, evicting the least recently used beyond capacity.
    pub fn store(&mut self, blocks: &[BlockHash]) {
        let now = Instant::now();
        let mut fresh = Vec::new();
        let mut evicted = Vec::new();
        for block in blocks {
            match self.blocks.push(*block, now) {
                None => fresh.push(*block),
                Some((old, _)) if old != *block => {
                    fresh.push(*block);
                    evicted.push(old);
                }
                Some(_) => {}
            }
        }
        self.publish(EventKind::Removed, evicted);
        self.publish(EventKind::Stored, fresh);
    }

    /// Drops blocks left unused for too long.
    pub fn expire(&mut self) {
        let now = Instant::now();
        let mut evicted = Vec::new();
        while self.blocks.peek_lru().is_some_and(|(_, at)| now.duration_since(*at) >= self.idle) {
            evicted.extend(self.blocks.pop_lru().map(|(block, _)| block));
        }
        self.publish(EventKind::Removed, evicted);
    }

    /// Drops every block.
    pub fn clear(&mut self) {
        self.blocks.clear();
        self.push(EventKind::Cleared, Vec::new());
    }

    /// The events visible now from number `from` on, and the number to read
    /// on from.
    pub fn events(&self, from: u64) -> (Vec<CacheEvent>, u64) {
        let now = Instant::now();
        let visible = self.kept.iter().filter(|(at, event)| *at <= now && event.seq >= from);
        let list: Vec<CacheEvent> = visible.map(|(_, event)| event.clone()).collect();
        let next = list.last().map(|event| event.seq + 1).unwrap_or(from);
        (list, next)
    }

    fn publish(&mut self, kind: EventKind, blocks: Vec<BlockHash>) {
        if !blocks.is_empty() {
            self.push(kind, blocks);
        }
    }

    fn push(&mut self, kind: EventKind, blocks: Vec<BlockHash>) {
        let seq = self.next;
        self.next += 1;
        if self.loss > 0.0 && self.rng.random_bool(self.loss) {
            return;
        }
        self.kept.push_back((Instant::now() + self.lag, CacheEvent { seq, kind, blocks }));
        if self.kept.len() > EVENTS_KEPT {
            self.kept.pop_front();
        }
    }
}
