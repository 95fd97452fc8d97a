//! Reads callers' requests.

use marjoram_core::blocks::Blocks;
use marjoram_core::catalog::Limits;

use crate::conn::Conn;
use crate::proxy::http1::{self, BadMessage, Body, Framing, Piece, RequestHead};

/// Pieces of a body after which other tasks run first: small chunks, received together, would
/// delay their requests.
const PIECES_A_TURN: u32 = 128;

/// Bytes that a request in progress takes in addition to its head and body.
const EXCHANGE_SIZE: usize = 16 << 10;

/// Most bytes that are held for one request within `limits`.
pub fn max_size(limits: &Limits) -> usize {
    EXCHANGE_SIZE + 3 * limits.head + limits.body
}

/// The bytes that are held for a request in progress.
pub fn held_size(head: &RequestHead, body: &Blocks) -> usize {
    // The head is kept as parsed, and as sent.
    EXCHANGE_SIZE + 2 * head.size() + body.len()
}

/// Reads the head of a request; `None` when the caller has closed the connection.
pub async fn read_head(conn: &mut Conn, limit: usize) -> Result<Option<RequestHead>, BadMessage> {
    loop {
        if let Some(head) = http1::request_head(&mut conn.buf, limit)? {
            return Ok(Some(head));
        }
        match conn.fill().await {
            Ok(0) | Err(_) => return Ok(None),
            Ok(_) => {}
        }
    }
}

/// Checks the head of a request; returns how its body is delimited.
pub fn check(head: &RequestHead) -> Result<Framing, &'static str> {
    let hosts = head.headers.all("host").count();
    match http1::request_framing(head) {
        Err(_) => Err("malformed length"),
        Ok(_) if !head.target.starts_with('/') => Err("target is no path"),
        Ok(_) if hosts != 1 => Err("not one host"),
        Ok(framing) => Ok(framing),
    }
}

/// Reads a body; `None` when it is longer than `limit`.
pub async fn read_body(
    conn: &mut Conn,
    framing: Framing,
    limit: usize,
) -> Result<Option<Blocks>, BadMessage> {
    let mut body = Body::from(framing);
    let mut whole = Blocks::default();
    let mut pieces = 0;
    loop {
        match body.next(&mut conn.buf, conn.read_closed)? {
            Piece::End => {
                conn.keep(whole.len()).map_err(|_| BadMessage::CutOff)?;
                return Ok(Some(whole));
            }
            Piece::Data(data) => whole.append(&data),
            Piece::More => {
                conn.keep(whole.len()).map_err(|_| BadMessage::CutOff)?;
                if conn.fill().await.is_err() {
                    return Err(BadMessage::CutOff);
                }
            }
        }
        if whole.len() > limit {
            return Ok(None);
        }
        pieces += 1;
        if pieces % PIECES_A_TURN == 0 {
            tokio::task::yield_now().await;
        }
    }
}
