//! The engine's prefix cache and the events it publishes about it.
//!
//! Blocks are evicted least recently used first, and after an idle time. Events
//! become visible after a delay. A share of them is lost, which leaves a gap in
//! the sequence numbers.

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

/// Number of events retained for readers; older ones are dropped.
const MAX_RETAINED_EVENTS: usize = 100_000;

/// Cached blocks and the events that report their changes.
pub struct Cache {
    blocks: LruCache<BlockHash, Instant>,
    idle: Duration,
    lag: Duration,
    loss: f64,
    next: u64,
    retained: VecDeque<(Instant, CacheEvent)>,
    rng: ChaCha8Rng,
}

impl Cache {
    /// Creates an empty cache with the sizes and injected faults of `opts`.
    pub fn new(opts: &EngineOptions) -> Self {
        Self {
            blocks: LruCache::new(NonZeroUsize::new(opts.capacity).unwrap_or(NonZeroUsize::MIN)),
            idle: Duration::from_millis(opts.idle_ms),
            lag: Duration::from_millis(opts.event_lag_ms),
            loss: opts.event_loss,
            next: 0,
            retained: VecDeque::new(),
            rng: ChaCha8Rng::seed_from_u64(opts.seed),
        }
    }

    /// Returns the number of cached prompt tokens: the longest run of leading
    /// blocks in the cache.
    pub fn lookup(&mut self, blocks: &[BlockHash]) -> u64 {
        let hits = blocks.iter().take_while(|block| self.blocks.get(*block).is_some()).count();
        (hits * BLOCK_TOKENS) as u64
    }

    /// Stores `blocks`, evicting the least recently used beyond capacity.
    pub fn store(&mut self, blocks: &[BlockHash]) {
        let now = Instant::now();
        let mut stored = Vec::new();
        let mut evicted = Vec::new();
        for block in blocks {
            match self.blocks.push(*block, now) {
                None => stored.push(*block),
                Some((old, _)) if old != *block => {
                    stored.push(*block);
                    evicted.push(old);
                }
                Some(_) => {}
            }
        }
        self.publish(EventKind::Removed, evicted);
        self.publish(EventKind::Stored, stored);
    }

    /// Drops blocks that were not used for the idle time.
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

    /// Returns the visible events from sequence number `from` on, and the number
    /// to continue reading from.
    pub fn events(&self, from: u64) -> (Vec<CacheEvent>, u64) {
        let now = Instant::now();
        let visible = self.retained.iter().filter(|(at, event)| *at <= now && event.seq >= from);
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
        self.retained.push_back((Instant::now() + self.lag, CacheEvent { seq, kind, blocks }));
        if self.retained.len() > MAX_RETAINED_EVENTS {
            self.retained.pop_front();
        }
    }
}
