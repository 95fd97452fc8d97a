//! Directory of the engines that have recently prefilled prompt parts, kept with the accounts of
//! outstanding prompts.
//!
//! Load pattern: more parts than an engine has memory for, each requested again by another host
//! within seconds. Cache events reach the other hosts a second later, so most of them do not know
//! which engine to use or to copy from, and parts are prefilled again. Hosts therefore report the
//! parts of each large prompt as soon as it has been prefilled. An entry may be outdated: it then
//! costs a prefill, since the engine checks its own cache.

use std::num::NonZeroUsize;
use std::time::Duration;

use lru::LruCache;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::exchange::PartId;
use crate::part_index::CacheId;

/// Parts in the directory: some 50 parts for each of 300 engines.
const MAX_PARTS: NonZeroUsize = NonZeroUsize::new(16_384).expect("not zero");

/// Engines kept for a part, the most recent ones.
const MAX_ENGINES: usize = 4;

/// How long an engine is assumed to keep a part that it has prefilled or used. Under load, engines
/// evict parts after some seconds without use.
const RETENTION: Duration = Duration::from_secs(5);

/// Hash of a part in one cache.
pub fn part_key(cache: CacheId, part: PartId) -> u64 {
    xxh3_64_with_seed(&part.0.to_le_bytes(), cache.0)
}

/// The engines that have recently prefilled or used parts.
///
/// ```
/// use std::time::Duration;
/// use marjoram_core::part_directory::PartDirectory;
/// let mut directory = PartDirectory::new();
/// directory.record(&[7], 3, Duration::from_secs(1));
/// assert_eq!(directory.engines(7, Duration::from_secs(2)), [3]);
/// assert!(directory.engines(7, Duration::from_secs(9)).is_empty());
/// ```
#[derive(Debug)]
pub struct PartDirectory {
    entries: LruCache<u64, Vec<Holder>>,
}

/// An engine that has a part cached, and when it last used it.
#[derive(Debug, Clone, Copy)]
struct Holder {
    engine: u64,
    used: Duration,
}

impl Default for PartDirectory {
    fn default() -> Self {
        Self { entries: LruCache::unbounded() }
    }
}

impl PartDirectory {
    /// Creates an empty directory.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that `engine` has prefilled or used `parts` at `now`.
    pub fn record(&mut self, parts: &[u64], engine: u64, now: Duration) {
        for part in parts {
            let holders = self.entries.get_or_insert_mut(*part, Vec::new);
            holders.retain(|h| h.engine != engine);
            holders.insert(0, Holder { engine, used: now });
            holders.truncate(MAX_ENGINES);
        }
        while self.entries.len() > MAX_PARTS.get() {
            self.entries.pop_lru();
        }
    }

    /// The engines that have recently prefilled or used `part`, the most recent first.
    pub fn engines(&self, part: u64, now: Duration) -> Vec<u64> {
        let holders = self.entries.peek(&part).map(Vec::as_slice).unwrap_or_default();
        let recent = holders.iter().filter(|h| now.saturating_sub(h.used) < RETENTION);
        recent.map(|h| h.engine).collect()
    }

    /// Number of parts.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no parts.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
