//! Splits the body of an engine's answer into complete events of limited size.
//!
//! Load pattern: an engine sends an event without an end. Parsing it again with each
//! piece that arrives would use up the thread, and keeping it all the memory.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures::{Stream, StreamExt};
use marjoram_core::events::{EventTooLong, Splitter};
use ntex::http::client::ClientResponse;
use ntex::http::error::PayloadError;
use quick_error::quick_error;

quick_error! {
    /// A failure to read an event.
    #[derive(Debug)]
    pub enum ReadError {
        /// The body could not be read.
        Payload(source: PayloadError) {
            display("{source}")
            source(source)
            from()
        }
        /// The event is too long.
        TooLong(error: EventTooLong) {
            display("{error}")
            from()
        }
    }
}

/// The complete events of an answer, each one as received.
pub struct CompleteEvents {
    response: ClientResponse,
    splitter: Splitter,
}

impl CompleteEvents {
    pub fn new(response: ClientResponse) -> Self {
        Self { response, splitter: Splitter::new() }
    }
}

impl Stream for CompleteEvents {
    type Item = Result<Bytes, ReadError>;

    fn poll_next(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let this = self.get_mut();
        loop {
            match this.splitter.next_event() {
                Ok(Some(event)) => return Poll::Ready(Some(Ok(event.bytes))),
                Ok(None) => {}
                Err(error) => return Poll::Ready(Some(Err(error.into()))),
            }
            match futures::ready!(this.response.poll_next_unpin(cx)) {
                None => return Poll::Ready(None),
                Some(Err(error)) => return Poll::Ready(Some(Err(error.into()))),
                Some(Ok(bytes)) => this.splitter.push(&bytes),
            }
        }
    }
}
