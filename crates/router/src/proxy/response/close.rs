//! Whether a caller's connection closes after an answer.

use marjoram_core::catalog::Limits;

use super::READ_AHEAD;
use crate::conn::Conn;
use crate::proxy::http1::{self, ResponseWriter};
use crate::proxy::site::Site;

/// Whether a caller's connection closes after an answer, decided when its head is
/// written: a process that stops, or whose caller sends nothing more, first answers the
/// requests that have been read ahead.
#[derive(Debug)]
pub struct Close {
    /// The caller has asked for it.
    requested: bool,
    /// The head of the answer announces it.
    announced: bool,
    /// Limits on the requests read ahead.
    limits: Limits,
}

impl Close {
    /// Not announced yet; `requested` by the caller or not.
    pub fn new(requested: bool, limits: Limits) -> Self {
        Self { requested, announced: false, limits }
    }

    /// Decides it for an answer to `caller` whose head is about to be written.
    pub fn decide(&mut self, site: &Site, caller: &mut Conn) -> bool {
        let ends = site.stopping.get().is_some() || caller.read_closed;
        self.announced = self.requested || ends && !has_read_ahead(caller, self.limits.head);
        self.announced
    }

    /// Decides it, and adds it to `head`.
    pub fn finish(
        &mut self,
        mut head: ResponseWriter,
        site: &Site,
        caller: &mut Conn,
    ) -> ResponseWriter {
        if self.decide(site, caller) {
            head.header("connection", b"close");
        }
        head
    }

    /// Whether the head of the answer has announced it.
    pub fn is_announced(&self) -> bool {
        self.announced
    }
}

/// Whether `caller` has already sent another whole request, within what is read ahead.
fn has_read_ahead(caller: &mut Conn, head_limit: usize) -> bool {
    if let Err(error) = caller.read_available(READ_AHEAD) {
        tracing::debug!(target: "callers", %error, "cannot read ahead");
    }
    http1::has_whole_request(&caller.buf, head_limit)
}
