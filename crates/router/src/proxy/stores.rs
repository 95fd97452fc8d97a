//! The cache stores, and this host's index of their contents.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use marjoram_core::part_index::PartIndex;
use xxhash_rust::xxh3::xxh3_64;

/// A cache store.
pub struct Store {
    /// Hash of its address, by which hosts refer to it.
    pub key: u64,
    /// Its address.
    pub addr: SocketAddr,
    /// Index of its contents, built from its events.
    pub cache_index: RefCell<PartIndex>,
    /// A task is reading its events.
    pub followed: Cell<bool>,
}

/// All cache stores, by address.
#[derive(Default)]
pub struct Stores(RefCell<HashMap<SocketAddr, Rc<Store>>>);

impl Stores {
    /// The store at `addr`, added if it is new.
    pub fn at(&self, addr: SocketAddr) -> Rc<Store> {
        let mut all = self.0.borrow_mut();
        let new = || Store {
            key: xxh3_64(addr.to_string().as_bytes()),
            addr,
            cache_index: RefCell::default(),
            followed: Cell::default(),
        };
        all.entry(addr).or_insert_with(|| Rc::new(new())).clone()
    }

    /// The store with `key`.
    pub fn get(&self, key: u64) -> Option<Rc<Store>> {
        self.0.borrow().values().find(|s| s.key == key).cloned()
    }
}
