//! Reads HTTP answers from a connection, for all kinds of peers.

use std::io;

use bytes::Bytes;
use quick_error::quick_error;

use super::http1::{self, BadMessage, Body, Piece, ResponseHead};
use crate::conn::Conn;

/// Longest head of an answer, in bytes.
const HEAD_LIMIT: usize = 32 << 10;

/// Most interim answers before a head.
const MAX_INTERIM_ANSWERS: usize = 64;

/// Status 101, after which the connection is no longer used for HTTP. The router requests no such
/// switch.
const SWITCHING: u16 = 101;

quick_error! {
    /// Why an answer could not be read.
    #[derive(Debug)]
    pub enum ReadError {
        /// The connection failed.
        Io(error: io::Error) {
            from()
            display("{error}")
        }
        /// The bytes received are not a valid answer.
        Bad(error: BadMessage) {
            from()
            display("{error}")
        }
        /// The peer closed the connection before the head was complete.
        Closed {
            display("connection closed")
        }
        /// The peer switches to another protocol.
        Switching {
            display("switches protocols without a request for it")
        }
        /// The peer has sent too many interim answers.
        TooManyInterim {
            display("more than {MAX_INTERIM_ANSWERS} interim answers")
        }
    }
}

/// Reads the head of the answer; interim answers (1xx) are skipped.
pub async fn read_head(conn: &mut Conn) -> Result<ResponseHead, ReadError> {
    let mut interim = 0;
    loop {
        match http1::response_head(&mut conn.buf, HEAD_LIMIT)? {
            Some(head) if head.status == SWITCHING => return Err(ReadError::Switching),
            Some(head) if (100..200).contains(&head.status) => {
                interim += 1;
                if interim > MAX_INTERIM_ANSWERS {
                    return Err(ReadError::TooManyInterim);
                }
            }
            Some(head) => return Ok(head),
            None if conn.fill().await? == 0 => return Err(ReadError::Closed),
            None => {}
        }
    }
}

/// The next bytes of `body`; `None` at its end. Cancel safe: no bytes are lost if
/// the future is dropped.
pub async fn next_piece(conn: &mut Conn, body: &mut Body) -> Result<Option<Bytes>, ReadError> {
    loop {
        match body.next(&mut conn.buf, conn.read_closed)? {
            Piece::Data(data) => return Ok(Some(data)),
            Piece::End => return Ok(None),
            Piece::More => drop(conn.fill().await?),
        }
    }
}
