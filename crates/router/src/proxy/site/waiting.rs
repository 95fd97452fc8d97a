//! The queues of requests that wait at this host for an engine of a coordinated service.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use marjoram_core::waiting::Queue;
use tokio::sync::Notify;

/// Requests that one queue holds at most: more than arrive at a host within the longest deadline.
const CAPACITY: usize = 256;

/// What a queue's requests wait for: large prompts for engines with little to prefill, small ones
/// for engines with free slots, so neither holds up the other.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct QueueKey {
    /// The service.
    pub service: String,
    /// Whether the queue is that of large prompts.
    pub large: bool,
}

/// One queue.
#[derive(Debug)]
pub struct WaitQueue {
    /// The requests in order.
    pub order: RefCell<Queue>,
    /// Notified when a request leaves or is evicted, and when an engine may have room.
    pub changed: Notify,
}

/// All queues of this host.
#[derive(Debug, Default)]
pub struct Waiting {
    queues: RefCell<HashMap<QueueKey, Rc<WaitQueue>>>,
}

impl Waiting {
    /// The queue `key`.
    pub fn queue(&self, key: QueueKey) -> Rc<WaitQueue> {
        let new = || {
            Rc::new(WaitQueue { order: RefCell::new(Queue::new(CAPACITY)), changed: Notify::new() })
        };
        self.queues.borrow_mut().entry(key).or_insert_with(new).clone()
    }

    /// Number of requests that wait.
    pub fn len(&self) -> usize {
        self.queues.borrow().values().map(|q| q.order.borrow().len()).sum()
    }
}
