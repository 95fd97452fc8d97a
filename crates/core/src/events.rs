//! Splits a stream of server-sent events into complete events.
//!
//! Only complete events are forwarded, so a stream that breaks in the middle of
//! an event can be continued from another upstream at the next one, and the
//! caller always has a whole number of events.

use bytes::{Buf, Bytes, BytesMut};
use quick_error::quick_error;

/// Longest event, in bytes. Events carry a few tokens each, and one without an end would
/// fill the host's memory.
pub const MAX_EVENT_SIZE: usize = 256 << 10;

quick_error! {
    /// The stream has an event that is longer than [`MAX_EVENT_SIZE`].
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum EventTooLong {
        /// It has at least this many bytes.
        Size(bytes: usize) {
            display("an event of {bytes} bytes or more, limit {MAX_EVENT_SIZE}")
        }
    }
}

/// One event, including the blank line that ends it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Value of the `id` field, if it is present and a number.
    pub id: Option<u64>,
    /// The bytes as received.
    pub bytes: Bytes,
}

/// Buffers bytes of a stream and returns complete events.
///
/// ```
/// use marjoram_core::events::Splitter;
/// let mut splitter = Splitter::new();
/// splitter.push(b"id: 1\ndata: a\n\nid: 2\nda");
/// assert_eq!(splitter.next_event()?.unwrap().id, Some(1));
/// assert!(splitter.next_event()?.is_none());
/// assert!(!splitter.is_empty());
/// # Ok::<(), marjoram_core::events::EventTooLong>(())
/// ```
#[derive(Debug, Default)]
pub struct Splitter {
    buf: BytesMut,
    /// Number of bytes at the start of the buffer that are known to contain no
    /// end of an event.
    scanned: usize,
}

impl Splitter {
    pub fn new() -> Self {
        Self::default()
    }

    /// Appends bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Whether the buffer holds no incomplete event.
    pub fn is_empty(&self) -> bool {
        self.buf.is_empty()
    }

    /// Discards the incomplete event in the buffer: the rest of it will not
    /// arrive.
    pub fn clear(&mut self) {
        self.buf.clear();
        self.scanned = 0;
    }

    /// Removes and returns the next complete event, if there is one. Fails if it is too
    /// long, complete or not; the stream cannot be read further then.
    pub fn next_event(&mut self) -> Result<Option<Event>, EventTooLong> {
        let end = self.end();
        let size = end.unwrap_or(self.buf.len());
        if size > MAX_EVENT_SIZE {
            return Err(EventTooLong::Size(size));
        }
        let Some(end) = end else { return Ok(None) };
        self.scanned = 0;
        let bytes = self.buf.split_to(end).freeze();
        let id = event_id(&bytes);
        Ok(Some(Event { id, bytes }))
    }

    /// End of the first complete event in the buffer.
    fn end(&mut self) -> Option<usize> {
        let from = self.scanned.saturating_sub(2);
        for at in from..self.buf.len() {
            let rest = &self.buf[at..];
            match rest {
                [b'\n', b'\n', ..] => return Some(at + 2),
                [b'\n', b'\r', b'\n', ..] => return Some(at + 3),
                _ => {}
            }
        }
        self.scanned = self.buf.len();
        None
    }
}

fn event_id(mut bytes: &[u8]) -> Option<u64> {
    while !bytes.is_empty() {
        let end = bytes.iter().position(|b| *b == b'\n').unwrap_or(bytes.len());
        let line = &bytes[..end];
        if let Some(value) = line.strip_prefix(b"id:") {
            return std::str::from_utf8(value).ok()?.trim().parse().ok();
        }
        bytes.advance((end + 1).min(bytes.len()));
    }
    None
}
