//! The body of a complete answer, which counts until its caller has taken it.

use std::error::Error;
use std::rc::Rc;
use std::task::{Context, Poll};

use marjoram_core::peer_budget::Exhausted;
use ntex::http::body::{Body, BodySize, MessageBody};
use ntex::util::Bytes;

use crate::caller_conns::RequestOnConn;

/// Bytes handed to the server library at once, which goes on once the caller has taken most of them.
const PIECE_SIZE: usize = 16 << 10;

/// A body that is sent in pieces on the connection of its caller.
struct AnswerBody {
    left: Bytes,
    conn: RequestOnConn,
}

/// The body `bytes` of the answer to the request on `conn`, if that is still open. Fails if the
/// connection is given up for it.
pub fn answer_body(bytes: Bytes, conn: Option<RequestOnConn>) -> Result<Body, Exhausted> {
    match conn {
        Some(conn) if !bytes.is_empty() => {
            conn.begin_answer(bytes.len())?;
            Ok(Body::from_message(AnswerBody { left: bytes, conn }))
        }
        _ => Ok(bytes.into()),
    }
}

impl MessageBody for AnswerBody {
    fn size(&self) -> BodySize {
        BodySize::Sized(self.left.len() as u64)
    }

    fn poll_next_chunk(
        &mut self,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Rc<dyn Error>>>> {
        if self.left.is_empty() {
            return Poll::Ready(None);
        }
        let piece = self.left.split_to(PIECE_SIZE.min(self.left.len()));
        match self.conn.record_sent(piece.len(), self.left.len()) {
            Ok(()) => Poll::Ready(Some(Ok(piece))),
            Err(why) => Poll::Ready(Some(Err(Rc::new(why)))),
        }
    }
}
