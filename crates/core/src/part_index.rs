//! Index of the prompt parts that an engine or a cache store has cached, built
//! from its events.
//!
//! The events arrive late and a few are lost, so the index is an estimate: an
//! error costs a copy or a prefill, never a wrong answer, since the engine checks
//! its own cache. There is one map per engine, by cache and part; the number of
//! engines is not limited.
//!
//! Load pattern: more hosts than an engine lets read its events, and more
//! parts than all engines together have memory for. A host that does not know
//! where a part is cached causes it to be prefilled again, which evicts another
//! part. So the few hosts that read an engine's events pass on those of large
//! parts to the others, each event twice. Events of a part are ordered by their
//! numbers.

use std::collections::HashMap;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::exchange::{Part, PartId};
use crate::upstream::StartTime;

/// Tokens by which a cached part may be shorter than the whole part: caches
/// store blocks, and the last block is stored only if it is full.
pub const BLOCK_SLACK: u64 = 16;

/// Hashed name of a cache; parts are shared only within one cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct CacheId(pub u64);

impl CacheId {
    /// The cache called `name`.
    pub fn new(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }
}

/// Tokens from which a part is large, so that hosts pass on its events:
/// prefilling it again takes an engine tens of milliseconds.
pub const LARGE_PART: u64 = 1_000;

/// Number of entries, including those of evicted parts, from which the entries of
/// evicted parts are removed before an event from another host is applied.
const MAX_ENTRIES: usize = 512;

/// Epoch of a cache: it identifies the incarnation of the upstream, by its
/// start time `born`, and of the cache itself, which counts its `restarts`.
///
/// ```
/// use marjoram_core::part_index::epoch;
/// use marjoram_core::upstream::StartTime;
/// assert_eq!(epoch(StartTime(0), 7), 7);
/// assert_ne!(epoch(StartTime(1), 7), epoch(StartTime(2), 7));
/// ```
pub fn epoch(born: StartTime, restarts: u64) -> u64 {
    match born {
        StartTime(0) => restarts,
        StartTime(born) => xxh3_64_with_seed(&restarts.to_le_bytes(), born),
    }
}

/// One change of a cache's contents.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Event {
    /// Sequence number: later changes have higher ones.
    pub number: u64,
    /// The cache.
    pub cache: CacheId,
    /// The part.
    pub part: PartId,
    /// Tokens of the part that are cached now; 0 once it was evicted.
    pub tokens: u64,
}

/// Events read in one call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// Epoch of the cache; entries of another epoch are dropped.
    pub epoch: u64,
    /// Position from which to read the next page.
    pub next: u64,
    /// Some events were discarded before they could be read.
    pub lost: bool,
    /// The events.
    pub events: Vec<Event>,
}

/// Index of the parts that one engine or store has cached.
///
/// ```
/// use marjoram_core::exchange::{Part, PartId};
/// use marjoram_core::part_index::{CacheId, Event, PartIndex, Page};
/// let cache = CacheId::new("3");
/// let event = Event { number: 8, cache, part: PartId(7), tokens: 800 };
/// let mut part_index = PartIndex::new();
/// part_index.apply(&Page { epoch: 1, next: 9, lost: false, events: vec![event] });
/// let parts = [Part { id: PartId(7), tokens: 805 }, Part { id: PartId(8), tokens: 100 }];
/// assert_eq!(part_index.cached_tokens(cache, &parts), 800);
/// assert_eq!(part_index.cached_tokens(CacheId::new("4"), &parts), 0);
/// ```
#[derive(Debug, Clone, Default)]
pub struct PartIndex {
    epoch: Option<u64>,
    next: u64,
    entries: HashMap<(CacheId, PartId), PartEntry>,
}

/// Index entry of one part.
#[derive(Debug, Clone, Copy, Default)]
struct PartEntry {
    /// Tokens of the part that are cached; 0 once it was evicted.
    tokens: u64,
    /// Number of the event that reported this.
    number: u64,
}

impl PartIndex {
    /// An empty index.
    pub fn new() -> Self {
        Self::default()
    }

    /// Position from which to read the next page of events.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Number of entries, including evicted parts that are not yet removed.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Applies events read from the cache. Returns whether its epoch changed.
    pub fn apply(&mut self, page: &Page) -> bool {
        let new_epoch = self.set_epoch(page.epoch);
        self.next = page.next;
        for event in &page.events {
            match event.tokens {
                0 => drop(self.entries.remove(&(event.cache, event.part))),
                _ => self.put(event),
            }
        }
        new_epoch
    }

    /// The events of `page` that concern parts which are large, or were large before
    /// the event. To be called before the page is applied.
    ///
    /// ```
    /// use marjoram_core::exchange::PartId;
    /// use marjoram_core::part_index::{CacheId, Event, PartIndex, Page};
    /// let event = |number, part, tokens| Event {
    ///     number,
    ///     cache: CacheId::new("3"),
    ///     part: PartId(part),
    ///     tokens,
    /// };
    /// let page = |events| Page { epoch: 1, next: 9, lost: false, events };
    /// let mut part_index = PartIndex::new();
    /// let first = page(vec![event(1, 7, 8_000), event(2, 8, 60)]);
    /// assert_eq!(part_index.large_part_events(&first), [event(1, 7, 8_000)]);
    /// part_index.apply(&first);
    /// let dropped = page(vec![event(3, 8, 0), event(4, 7, 0)]);
    /// assert_eq!(part_index.large_part_events(&dropped), [event(4, 7, 0)]);
    /// ```
    pub fn large_part_events(&self, page: &Page) -> Vec<Event> {
        let before =
            |e: &Event| self.entries.get(&(e.cache, e.part)).map_or(0, |entry| entry.tokens);
        let large = |e: &&Event| e.tokens >= LARGE_PART || before(e) >= LARGE_PART;
        page.events.iter().filter(large).copied().collect()
    }

    /// Applies an event that another host read from the cache in its epoch
    /// `epoch`. Ignores it if a newer event of the same part is known.
    ///
    /// ```
    /// use marjoram_core::exchange::{Part, PartId};
    /// use marjoram_core::part_index::{CacheId, Event, PartIndex};
    /// let cache = CacheId::new("3");
    /// let event = |number, tokens| Event { number, cache, part: PartId(7), tokens };
    /// let parts = [Part { id: PartId(7), tokens: 8_000 }];
    /// let mut part_index = PartIndex::new();
    /// part_index.apply_remote(1, &event(4, 8_000));
    /// part_index.apply_remote(1, &event(6, 0));
    /// part_index.apply_remote(1, &event(4, 8_000));
    /// assert_eq!(part_index.cached_tokens(cache, &parts), 0);
    /// ```
    pub fn apply_remote(&mut self, epoch: u64, event: &Event) {
        self.set_epoch(epoch);
        if self.entries.len() >= MAX_ENTRIES {
            self.entries.retain(|_, entry| entry.tokens > 0);
        }
        let known = self.entries.get(&(event.cache, event.part));
        if known.is_none_or(|known| event.number > known.number) {
            self.put(event);
        }
    }

    fn put(&mut self, event: &Event) {
        let entry = PartEntry { tokens: event.tokens, number: event.number };
        self.entries.insert((event.cache, event.part), entry);
    }

    /// Clears the index if `epoch` is another epoch of the cache. Returns whether
    /// it is.
    fn set_epoch(&mut self, epoch: u64) -> bool {
        let new_epoch = self.epoch.is_some_and(|known| known != epoch);
        if new_epoch {
            self.entries.clear();
        }
        self.epoch = Some(epoch);
        new_epoch
    }

    /// Removes all entries: the engine has activated other weights.
    pub fn clear(&mut self) {
        self.entries.clear();
    }

    /// Number of leading tokens of `parts` that are cached in `cache`.
    pub fn cached_tokens(&self, cache: CacheId, parts: &[Part]) -> u64 {
        self.cached_tokens_assuming(cache, parts, |_| false)
    }

    /// Number of leading tokens of `parts` that are cached in `cache`. Parts for
    /// which `known_cached` is true count as cached in full, whatever the events have
    /// reported so far. A part is usable only together with those before it, which
    /// were used as recently: if a part is cached, all parts before it are assumed
    /// to be, since events of small parts are not passed on.
    ///
    /// ```
    /// use marjoram_core::exchange::{Part, PartId};
    /// use marjoram_core::part_index::{CacheId, PartIndex};
    /// let part = |id| Part { id: PartId(id), tokens: 500 };
    /// let (cache, part_index) = (CacheId::new("3"), PartIndex::new());
    /// // The first part was just prefilled there; the second is not known to be cached.
    /// let cached = part_index.cached_tokens_assuming(cache, &[part(1), part(2)], |p| p.id == PartId(1));
    /// assert_eq!(cached, 500);
    /// ```
    pub fn cached_tokens_assuming(
        &self,
        cache: CacheId,
        parts: &[Part],
        known_cached: impl Fn(&Part) -> bool,
    ) -> u64 {
        let cached = |part: &Part| match known_cached(part) {
            true => part.tokens,
            false => {
                self.entries.get(&(cache, part.id)).map_or(0, |entry| entry.tokens.min(part.tokens))
            }
        };
        let last_whole = parts.iter().rposition(|p| cached(p) + BLOCK_SLACK >= p.tokens);
        let (before, after) = parts.split_at(last_whole.map_or(0, |last| last + 1));
        let assumed =
            |part: &Part| Some(cached(part)).filter(|tokens| *tokens > 0).unwrap_or(part.tokens);
        before.iter().map(assumed).sum::<u64>() + after.first().map_or(0, cached)
    }
}
