//! Bounded tables of suspects.

use std::hash::Hash;

use lru::LruCache;

/// Maximum number of suspects with one crash and with several.
const MAX_WITH_ONE: usize = 4_096;
const MAX_WITH_SEVERAL: usize = 1_024;

/// What is suspected of crashes.
pub(super) trait Suspected {
    /// Number of crashes that count against it.
    fn crash_count(&self) -> usize;
}

/// Suspects by key. Those with one crash and with several are kept apart so that
/// callers with ever new requests cannot evict one with two crashes.
#[derive(Debug)]
pub(super) struct SuspectTable<K: Hash + Eq, S> {
    one: LruCache<K, S>,
    several: LruCache<K, S>,
}

impl<K: Hash + Eq, S> Default for SuspectTable<K, S> {
    fn default() -> Self {
        Self { one: LruCache::unbounded(), several: LruCache::unbounded() }
    }
}

impl<K: Hash + Eq + Copy, S: Suspected> SuspectTable<K, S> {
    /// Number of suspects.
    pub(super) fn len(&self) -> usize {
        self.one.len() + self.several.len()
    }

    /// Whether there is a suspect with this key.
    pub(super) fn contains(&self, key: &K) -> bool {
        self.several.contains(key) || self.one.contains(key)
    }

    /// Removes and returns a suspect.
    pub(super) fn take(&mut self, key: &K) -> Option<S> {
        self.several.pop(key).or_else(|| self.one.pop(key))
    }

    /// Stores a suspect in the list for its number of crashes; one without crashes is
    /// dropped.
    pub(super) fn put(&mut self, key: K, suspect: S) {
        let (list, limit) = match suspect.crash_count() {
            0 => return,
            1 => (&mut self.one, MAX_WITH_ONE),
            _ => (&mut self.several, MAX_WITH_SEVERAL),
        };
        list.put(key, suspect);
        if list.len() > limit {
            list.pop_lru();
        }
    }

    /// All suspects.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&K, &S)> {
        self.one.iter().chain(self.several.iter())
    }

    /// The suspects with several crashes.
    pub(super) fn several(&self) -> impl Iterator<Item = (&K, &S)> {
        self.several.iter()
    }

    /// The same, to be changed.
    pub(super) fn several_mut(&mut self) -> impl Iterator<Item = (&K, &mut S)> {
        self.several.iter_mut()
    }

    /// A suspect with several crashes, without counting it as used.
    pub(super) fn peek_several(&self, key: &K) -> Option<&S> {
        self.several.peek(key)
    }
}
