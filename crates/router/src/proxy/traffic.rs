//! Counts the traffic that this host causes besides callers' requests: datagrams
//! to other hosts, and calls to the engines' control interface.

use std::cell::Cell;

/// Totals since the process started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Totals {
    /// Datagrams sent.
    pub datagrams: u64,
    /// Bytes of these, without network headers.
    pub datagram_bytes: u64,
    /// Datagrams that were not sent because the socket's buffer was full.
    pub unsent: u64,
    /// Calls to engines about their weights.
    pub calls: u64,
    /// Those without an answer.
    pub failed: u64,
    /// Bytes of these calls, sent and received.
    pub call_bytes: u64,
}

impl Totals {
    /// The difference to the earlier totals `before`.
    pub fn since(self, before: Self) -> Self {
        Self {
            datagrams: self.datagrams - before.datagrams,
            datagram_bytes: self.datagram_bytes - before.datagram_bytes,
            unsent: self.unsent - before.unsent,
            calls: self.calls - before.calls,
            failed: self.failed - before.failed,
            call_bytes: self.call_bytes - before.call_bytes,
        }
    }
}

/// Traffic counters of one process.
#[derive(Debug, Default)]
pub struct Traffic(Cell<Totals>);

impl Traffic {
    /// Counts a datagram of `bytes`; `sent` is false if it could not be sent.
    pub fn datagram(&self, bytes: usize, sent: bool) {
        let mut totals = self.0.get();
        match sent {
            true => {
                totals.datagrams += 1;
                totals.datagram_bytes += bytes as u64;
            }
            false => totals.unsent += 1,
        }
        self.0.set(totals);
    }

    /// Counts a call to an engine with `bytes` in both directions together.
    pub fn call(&self, bytes: u64, answered: bool) {
        let mut totals = self.0.get();
        totals.calls += 1;
        totals.failed += u64::from(!answered);
        totals.call_bytes += bytes;
        self.0.set(totals);
    }

    /// The totals so far.
    pub fn totals(&self) -> Totals {
        self.0.get()
    }
}
