//! Service-level measures, as the load generator computes them.
//!
//! - Prefix hit rate: cached prompt tokens divided by all prompt tokens.
//! - Time to first token: microseconds from sending a request to its first chunk.
//! - Wasted recomputation: prompt tokens computed again although some engine had
//!   computed the same block within the eviction horizon. The load generator
//!   cannot see the caches of the engines, so it assumes that a block is cached
//!   for that time after it was computed.
//! - Lost, repeated and falsely refused calls, all of which must be zero.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

use crate::ids::BlockHash;
use crate::prefix::BLOCK_TOKENS;

/// Running totals of one load run.
#[derive(Debug, Clone)]
pub struct Measures {
    /// Time to first token, in microseconds.
    pub ttft: Histogram<u64>,
    /// Prompt tokens sent.
    pub prompt: u64,
    /// Prompt tokens served from cache.
    pub cached: u64,
    /// Prompt tokens computed again although recently computed by some engine.
    pub wasted: u64,
    /// Completions answered completely and in order.
    pub answered: u64,
    /// Calls accepted but never answered completely.
    pub lost: u64,
    /// Calls that got the response to another request, or were executed twice.
    pub repeated: u64,
    /// Calls refused as not executed.
    pub refused: u64,
    /// Calls refused as not executed although they were executed.
    pub false_refusals: u64,
}

impl Default for Measures {
    fn default() -> Self {
        Self::new()
    }
}

impl Measures {
    /// Creates totals of zero.
    pub fn new() -> Self {
        Self {
            ttft: Histogram::new_with_bounds(1, 600_000_000, 3).expect("valid bounds"),
            prompt: 0,
            cached: 0,
            wasted: 0,
            answered: 0,
            lost: 0,
            repeated: 0,
            refused: 0,
            false_refusals: 0,
        }
    }

    /// Prefix hit rate, from 0 to 1.
    ///
    /// ```
    /// use marjoram_core::measure::Measures;
    /// let mut m = Measures::new();
    /// m.prompt = 200;
    /// m.cached = 50;
    /// assert_eq!(m.hit_rate(), 0.25);
    /// ```
    pub fn hit_rate(&self) -> f64 {
        match self.prompt {
            0 => 0.0,
            n => self.cached as f64 / n as f64,
        }
    }

    /// Wasted recomputation as a fraction of the prompt tokens, from 0 to 1.
    pub fn waste_rate(&self) -> f64 {
        match self.prompt {
            0 => 0.0,
            n => self.wasted as f64 / n as f64,
        }
    }

    /// Time to first token at quantile `q`, in milliseconds.
    pub fn ttft_ms(&self, q: f64) -> f64 {
        self.ttft.value_at_quantile(q) as f64 / 1000.0
    }
}

/// When each block was last computed by any engine, to detect wasted
/// recomputation.
#[derive(Debug)]
pub struct RecentBlocks {
    horizon: Duration,
    last_computed: HashMap<BlockHash, Instant>,
}

impl RecentBlocks {
    /// Blocks are assumed to be cached for `horizon` after they were last
    /// computed.
    pub fn new(horizon: Duration) -> Self {
        Self { horizon, last_computed: HashMap::new() }
    }

    /// Records a finished request whose first `cached` tokens came from the
    /// cache; returns the wasted tokens among those that were computed.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use marjoram_core::ids::BlockHash;
    /// use marjoram_core::measure::RecentBlocks;
    /// let mut recent_blocks = RecentBlocks::new(Duration::from_secs(10));
    /// let blocks = [BlockHash(1), BlockHash(2)];
    /// let now = Instant::now();
    /// assert_eq!(recent_blocks.finished(&blocks, 0, now), 0);
    /// assert_eq!(recent_blocks.finished(&blocks, 16, now), 16);
    /// ```
    pub fn finished(&mut self, blocks: &[BlockHash], cached: u64, now: Instant) -> u64 {
        let cached_blocks = (cached as usize) / BLOCK_TOKENS;
        let mut wasted = 0;
        for (index, block) in blocks.iter().enumerate() {
            let is_cached = self
                .last_computed
                .get(block)
                .is_some_and(|at| now.duration_since(*at) < self.horizon);
            if index >= cached_blocks && is_cached {
                wasted += BLOCK_TOKENS as u64;
            }
            self.last_computed.insert(*block, now);
        }
        wasted
    }
}
