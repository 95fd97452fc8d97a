//! Reading an answer off a connection, whoever gives it.

use std::io;

use bytes::Bytes;
use quick_error::quick_error;

use super::conn::Conn;
use super::http1::{self, BadMessage, Body, Piece, ResponseHead};

/// Longest head of an answer.
const HEAD_LIMIT: usize = 32 << 10;

/// The status that ends the use of HTTP on a connection.
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
        /// What came is no answer.
        Bad(error: BadMessage) {
            from()
            display("{error}")
        }
        /// The peer closed the connection before it answered.
        Closed {
            display("connection closed")
        }
    }
}

/// Reads the head of the answer; those that only announce one are skipped.
pub async fn read_head(conn: &mut Conn) -> Result<ResponseHead, ReadError> {
    loop {
        match http1::response_head(&mut conn.buf, HEAD_LIMIT)? {
            Some(head) if (100..200).contains(&head.status) && head.status != SWITCHING => continue,
            Some(head) => return Ok(head),
            None if conn.fill().await? == 0 => return Err(ReadError::Closed),
            None => {}
        }
    }
}

/// The next bytes of `body`; `None` at its end. May be dropped while it waits
/// without losing bytes.
pub async fn next_piece(conn: &mut Conn, body: &mut Body) -> Result<Option<Bytes>, ReadError> {
    loop {
        match body.next(&mut conn.buf, conn.ended)? {
            Piece::Data(data) => return Ok(Some(data)),
            Piece::End => return Ok(None),
            Piece::More => drop(conn.fill().await?),
        }
    }
}
