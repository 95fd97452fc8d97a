//! The measures of the brief, as the load tool computes them.
//!
//! - Prefix hit rate: cached prompt tokens over prompt tokens.
//! - Time to first token: microseconds from send to the first chunk.
//! - Wasted recomputation: prompt tokens computed again although some engine
//!   had computed the same block within the eviction horizon (the load tool
//!   cannot see the engines' memory, so "held" means "computed recently").
//! - Lost, repeated and falsely refused calls, which must all be zero.

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
    /// Prompt tokens recomputed though recently computed somewhere.
    pub wasted: u64,
    /// Completions answered whole and in order.
    pub answered: u64,
    /// Calls accepted but never answered whole.
    pub lost: u64,
    /// Calls answered with another request's answer or run twice.
    pub repeated: u64,
    /// Calls refused as not run.
    pub refused: u64,
    /// Calls refused as not run that did run.
    pub false_refusals: u64,
}

impl Default for Measures {
    fn default() -> Self {
        Self::new()
    }
}

impl Measures {
    /// Empty totals.
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

    /// Cached prompt tokens over prompt tokens, from 0 to 1.
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

    /// Wasted recomputation over prompt tokens, from 0 to 1.
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

/// When each block was last computed anywhere, to judge recomputation.
#[derive(Debug)]
pub struct Seen {
    horizon: Duration,
    last: HashMap<BlockHash, Instant>,
}

impl Seen {
    /// Blocks count as held for `horizon` after they were last computed.
    pub fn new(horizon: Duration) -> Self {
        Self { horizon, last: HashMap::new() }
    }

    /// Records a finished request whose first `cached` tokens were cached;
    /// returns the wasted tokens among those it computed.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use marjoram_core::ids::BlockHash;
    /// use marjoram_core::measure::Seen;
    /// let mut seen = Seen::new(Duration::from_secs(10));
    /// let blocks = [BlockHash(1), BlockHash(2)];
    /// let now = Instant::now();
    /// assert_eq!(seen.finished(&blocks, 0, now), 0);
    /// assert_eq!(seen.finished(&blocks, 16, now), 16);
    /// ```
    pub fn finished(&mut self, blocks: &[BlockHash], cached: u64, now: Instant) -> u64 {
        let skip = (cached as usize) / BLOCK_TOKENS;
        let mut wasted = 0;
        for (index, block) in blocks.iter().enumerate() {
            let held =
                self.last.get(block).is_some_and(|at| now.duration_since(*at) < self.horizon);
            if index >= skip && held {
                wasted += BLOCK_TOKENS as u64;
            }
            self.last.insert(*block, now);
        }
        wasted
    }
}
