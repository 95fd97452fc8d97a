//! Requests in progress, each with the id by which it can be traced.
//!
//! A request leaves the table however its task ends. One that was read whole and whose
//! task ends before its outcome has been reported, by a panic or with the process, is
//! passed to a handler, so that no request disappears without a trace.

use std::cell::RefCell;
use std::rc::Rc;

use slotmap::{SlotMap, new_key_type};

new_key_type! {
    struct Key;
}

/// The requests in progress.
///
/// ```
/// use marjoram_core::in_progress::InProgress;
/// let requests = InProgress::new(|id| println!("{id} ended without an outcome"));
/// let request = requests.begin();
/// assert_eq!(requests.count(), 1);
/// request.identify("a-1");
/// request.end();
/// assert_eq!(requests.count(), 0);
/// ```
#[derive(Debug, Clone)]
pub struct InProgress {
    /// Ids of the requests; `None` until one has been read whole.
    ids: Rc<RefCell<SlotMap<Key, Option<String>>>>,
    on_lost: fn(&str),
}

impl InProgress {
    /// An empty table. `on_lost` is called with the id of each request that was read
    /// whole and dropped without an outcome.
    pub fn new(on_lost: fn(&str)) -> Self {
        Self { ids: Rc::default(), on_lost }
    }

    /// The number of requests.
    pub fn count(&self) -> usize {
        self.ids.borrow().len()
    }

    /// The ids of the requests that have been read whole.
    pub fn ids(&self) -> Vec<String> {
        self.ids.borrow().values().flatten().cloned().collect()
    }

    /// Adds a request whose first bytes have been received.
    pub fn begin(&self) -> InProgressRequest {
        let key = self.ids.borrow_mut().insert(None);
        InProgressRequest { all: self.clone(), key }
    }
}

/// A request in progress, until dropped.
#[derive(Debug)]
pub struct InProgressRequest {
    all: InProgress,
    key: Key,
}

impl InProgressRequest {
    /// Records the id of the request, which has been read whole.
    pub fn identify(&self, id: &str) {
        if let Some(entry) = self.all.ids.borrow_mut().get_mut(self.key) {
            *entry = Some(id.to_string());
        }
    }

    /// Removes the request, whose outcome has been reported.
    pub fn end(self) {
        self.all.ids.borrow_mut().remove(self.key);
    }
}

impl Drop for InProgressRequest {
    fn drop(&mut self) {
        let id = self.all.ids.borrow_mut().remove(self.key).flatten();
        if let Some(id) = id {
            (self.all.on_lost)(&id);
        }
    }
}
