//! Which parts of prompts an engine or a cache store keeps, as its events
//! tell.
//!
//! The events come late and a few never do, so this is a guess: a wrong one
//! costs a copy or a read, never a wrong answer, since the engine looks for
//! itself. It is kept by cache and part in one map an engine; there is no
//! limit on how many engines there are.

use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64;

use crate::exchange::{Part, PartId};

/// Tokens by which a kept part may be shorter than the part: memory goes by
/// blocks, the last of which is not kept unless it is full.
const BLOCK_SLACK: u64 = 16;

/// Name of a cache, hashed: parts are found only under the same name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct CacheId(u64);

impl CacheId {
    /// The cache called `name`.
    pub fn new(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }
}

/// One change of what is kept.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// The cache.
    pub cache: CacheId,
    /// The part.
    pub part: PartId,
    /// Tokens of it that are kept now.
    pub tokens: u64,
}

/// Events read at once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// One life of the cache: everything is dropped when it changes.
    pub epoch: u64,
    /// Where to read on.
    pub next: u64,
    /// Some events were dropped before they could be read.
    pub lost: bool,
    /// The events.
    pub events: Vec<Event>,
}

/// What one engine or store keeps.
///
/// ```
/// use marjoram_core::exchange::{Part, PartId};
/// use marjoram_core::holdings::{CacheId, Event, Holdings, Page};
/// let cache = CacheId::new("3");
/// let event = Event { cache, part: PartId(7), tokens: 800 };
/// let mut holdings = Holdings::new();
/// holdings.apply(&Page { epoch: 1, next: 9, lost: false, events: vec![event] });
/// let parts = [Part { id: PartId(7), tokens: 805 }, Part { id: PartId(8), tokens: 100 }];
/// assert_eq!(holdings.held(cache, &parts), 800);
/// assert_eq!(holdings.held(CacheId::new("4"), &parts), 0);
/// ```
#[derive(Debug, Clone, Default)]
pub struct Holdings {
    epoch: Option<u64>,
    next: u64,
    kept: HashMap<(CacheId, PartId), u64>,
}

impl Holdings {
    /// Nothing known.
    pub fn new() -> Self {
        Self::default()
    }

    /// Where to read on.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Parts known to be kept.
    pub fn len(&self) -> usize {
        self.kept.len()
    }

    /// Whether no part is known to be kept.
    pub fn is_empty(&self) -> bool {
        self.kept.is_empty()
    }

    /// Takes in events; whether the cache began a new life.
    pub fn apply(&mut self, page: &Page) -> bool {
        let reborn = self.epoch.is_some_and(|epoch| epoch != page.epoch);
        if reborn {
            self.kept.clear();
        }
        self.epoch = Some(page.epoch);
        self.next = page.next;
        for event in &page.events {
            match event.tokens {
                0 => drop(self.kept.remove(&(event.cache, event.part))),
                tokens => drop(self.kept.insert((event.cache, event.part), tokens)),
            }
        }
        reborn
    }

    /// Forgets everything: other weights are in use.
    pub fn clear(&mut self) {
        self.kept.clear();
    }

    /// Leading tokens of `parts` that are kept in `cache`.
    pub fn held(&self, cache: CacheId, parts: &[Part]) -> u64 {
        let mut held = 0;
        for part in parts {
            let kept = self.kept.get(&(cache, part.id)).copied().unwrap_or_default();
            held += kept.min(part.tokens);
            if kept + BLOCK_SLACK < part.tokens {
                break;
            }
        }
        held
    }
}
