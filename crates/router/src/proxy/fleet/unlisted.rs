//! What upstreams stated that are not listed any more.

use std::cell::RefCell;
use std::num::NonZeroUsize;
use std::rc::Rc;

use lru::LruCache;
use marjoram_core::conditions::Conditions;

/// Upstreams whose conditions are kept after they are not listed any more.
const MAX_UNLISTED: NonZeroUsize = NonZeroUsize::new(1_024).expect("not zero");

/// The conditions of upstreams that are not listed, by the keys of their incarnations.
pub struct Unlisted(pub LruCache<u64, Rc<RefCell<Conditions>>>);

impl Default for Unlisted {
    fn default() -> Self {
        Self(LruCache::new(MAX_UNLISTED))
    }
}
