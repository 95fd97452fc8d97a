//! Outstanding requests at upstreams.

use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Upstream;

/// Outstanding requests at an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests sent and not yet answered completely.
    pub running: u32,
    /// Prompt tokens sent and not yet processed.
    pub unread: u64,
    /// Tokens that these requests occupy in the upstream's memory.
    pub memory: u64,
}

impl Load {
    pub fn plus(self, other: Self) -> Self {
        Self {
            running: self.running + other.running,
            unread: self.unread + other.unread,
            memory: self.memory + other.memory,
        }
    }
}

/// A request at an upstream. It counts towards the load until dropped.
pub struct Flight {
    upstream: Rc<Upstream>,
    load: Load,
    awaiting_first_output: bool,
    /// The upstream does not run it any more.
    has_ended: bool,
}

impl Flight {
    /// Counts a request that is about to be sent at `now`.
    pub fn new(upstream: Rc<Upstream>, unread: u64, memory: u64, now: Duration) -> Self {
        let load = Load { running: 1, unread, memory };
        upstream.local_load.set(upstream.local_load.get().plus(load));
        upstream.health.borrow_mut().begin_wait(now);
        Self { upstream, load, awaiting_first_output: true, has_ended: false }
    }

    /// Records that the upstream has answered completely, or has not run the request.
    pub fn end(&mut self) {
        self.has_ended = true;
    }

    /// Records that the prompt has been processed, or that the answer has begun.
    pub fn read(&mut self) {
        let unread = std::mem::take(&mut self.load.unread);
        let current = self.upstream.local_load.get();
        self.upstream
            .local_load
            .set(Load { unread: current.unread.saturating_sub(unread), ..current });
        if std::mem::take(&mut self.awaiting_first_output) {
            self.upstream.health.borrow_mut().end_wait();
        }
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.read();
        let current = self.upstream.local_load.get();
        self.upstream.local_load.set(Load {
            running: current.running.saturating_sub(self.load.running),
            unread: current.unread,
            memory: current.memory.saturating_sub(self.load.memory),
        });
        if !self.has_ended {
            self.upstream.note_abandoned();
        }
        self.upstream.note_ended();
    }
}
