//! A request's place in the queue of those that wait for an engine.

use std::rc::Rc;
use std::time::Duration;

use marjoram_core::waiting::{Request, Ticket};

use super::site::{Site, WaitQueue};

/// A place in a queue, given up when dropped.
pub struct Place {
    site: Rc<Site>,
    queue: Rc<WaitQueue>,
    ticket: Ticket,
    /// When the request joined the queue.
    joined: Duration,
}

impl Place {
    /// Adds `request` to `queue`. The request that is evicted if the queue is full learns of it
    /// from [`Place::is_evicted`].
    pub fn join(site: &Rc<Site>, queue: &Rc<WaitQueue>, request: Request) -> Self {
        let joined = site.now();
        let pushed = queue.order.borrow_mut().push(request, joined);
        site.counters.count("queue.joined");
        if pushed.evicted.is_some() {
            site.counters.count("queue.evicted");
            queue.changed.notify_waiters();
        }
        Self { site: site.clone(), queue: queue.clone(), ticket: pushed.ticket, joined }
    }

    /// Whether this is the next request to be tried.
    pub fn is_first(&self) -> bool {
        self.queue.order.borrow().first() == Some(self.ticket)
    }

    /// Whether the request was removed because the queue was full.
    pub fn is_evicted(&self) -> bool {
        self.queue.order.borrow().get(self.ticket).is_none()
    }

    /// How long the request has waited.
    pub fn waited(&self) -> Duration {
        self.site.now().saturating_sub(self.joined)
    }

    /// Waits until the queue has changed, or until `end`.
    pub async fn changed(&self, end: Duration) {
        // Ends without a notification at `end`.
        let _ = tokio::time::timeout_at(self.site.at(end), self.queue.changed.notified()).await;
    }

    /// Leaves the queue because the request is being sent.
    pub fn sent(self) {
        self.queue.order.borrow_mut().sent(self.ticket, self.site.now());
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.queue.order.borrow_mut().remove(self.ticket);
        self.queue.changed.notify_waiters();
    }
}
