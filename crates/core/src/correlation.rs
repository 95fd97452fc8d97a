//! Ties answers to sends.
//!
//! Load pattern: an upstream sends a second copy of an answer late, where the next answer on the
//! connection is expected. An answer names the attempt that it answers, and an attempt may be sent
//! several times. If two of its sends share a connection, a copy of the first answer cannot be told
//! from the second: a request that runs is then taken for one that was rejected.
//!
//! Or the copy names no attempt at all.
//!
//! Limits: an attempt is sent once on each connection, so that a connection and the id of an
//! attempt identify a send. Its further sends need further connections; other attempts go on to use
//! the former ones. An attempt has few sends, so the list is short. An answer that names no attempt
//! answers the last send only if it was the first one on its connection.

use std::fmt;

/// Identifies a connection within the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ConnId(pub u64);

impl fmt::Display for ConnId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The connections on which an attempt has been sent.
///
/// ```
/// use marjoram_core::correlation::{ConnId, SentOn};
/// let mut sent_on = SentOn::default();
/// assert!(sent_on.may_use(ConnId(7)));
/// sent_on.record(ConnId(7));
/// assert!(!sent_on.may_use(ConnId(7)) && sent_on.may_use(ConnId(8)));
/// ```
#[derive(Debug, Clone, Default)]
pub struct SentOn(Vec<ConnId>);

impl SentOn {
    /// Whether the attempt may be sent on `conn`.
    pub fn may_use(&self, conn: ConnId) -> bool {
        !self.0.contains(&conn)
    }

    /// Records that the attempt is being sent on `conn`.
    pub fn record(&mut self, conn: ConnId) {
        self.0.push(conn);
    }
}

/// The send that an answer belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answered {
    /// The last one on its connection.
    LastSend,
    /// A send of another attempt: the answer to the last one is still to come.
    OtherAttempt,
    /// It cannot be told: the last send may be running.
    Unknown,
}

/// Which send an answer belongs to that names the attempt `echo`, if any, on a connection on which
/// `requests` have been sent, the last one for `attempt` as permitted by [`SentOn`].
///
/// ```
/// use marjoram_core::correlation::{Answered, answered};
/// assert_eq!(answered(Some("a"), Some("a"), 3), Answered::LastSend);
/// assert_eq!(answered(Some("a"), Some("b"), 3), Answered::OtherAttempt);
/// assert_eq!(answered(Some("a"), None, 3), Answered::Unknown);
/// assert_eq!(answered(Some("a"), None, 1), Answered::LastSend);
/// ```
pub fn answered(attempt: Option<&str>, echo: Option<&str>, requests: u64) -> Answered {
    match (attempt, echo) {
        (Some(attempt), Some(echo)) if attempt == echo => Answered::LastSend,
        (_, Some(_)) => Answered::OtherAttempt,
        (_, None) if requests == 1 => Answered::LastSend,
        (_, None) => Answered::Unknown,
    }
}
