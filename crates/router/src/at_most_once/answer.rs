//! Reads the answer of a plain service, whole or not at all.
//!
//! Answers wait after a few kilobytes until there is memory for the rest: with many long ones at the
//! same time the services are read more slowly.
//!
//! The HTTP client takes the body of an HTTP/1.1 answer without a length for empty, and ignores chunks
//! in HTTP/1.0 and the length of an answer that offers another protocol. It also returns interim
//! answers and statuses of no class.

use futures::StreamExt;
use marjoram_core::claims::Answer;
use marjoram_core::exchange::STATUSES;
use ntex::http::client::ClientResponse;
use ntex::http::header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderName, TRANSFER_ENCODING};
use ntex::http::{StatusCode, Version};

use crate::answer_memory::{AnswerMemory, MAX_ANSWER_SIZE, ReservedMemory, SMALL_ANSWER_SIZE};

/// An answer that has been read, for which memory is reserved until it is dropped.
pub struct Received {
    pub answer: Answer,
    _memory: Option<ReservedMemory>,
}

/// The end of a body as the head states it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// After this many bytes.
    Length(usize),
    /// With the head, after the last chunk, or with the connection, which the client checks.
    Checked,
}

/// Reads the whole answer, a long one once `memory` has room for it. Fails with the reason if it is
/// invalid, or if its end is not known.
pub async fn read(mut response: ClientResponse, memory: &AnswerMemory) -> Result<Received, String> {
    let status = response.status();
    if status.is_informational() || !STATUSES.contains(&status.as_u16()) {
        return Err(format!("invalid status {}", status.as_u16()));
    }
    let end = stated_end(&response).ok_or_else(|| format!("status {status} without a length"))?;
    let kind = header(&response, CONTENT_TYPE).map(str::to_owned);
    let due = match end {
        End::Length(length) => length,
        End::Checked => MAX_ANSWER_SIZE,
    };
    if due > MAX_ANSWER_SIZE {
        return Err(format!("{due} bytes where {MAX_ANSWER_SIZE} are allowed"));
    }
    let (mut body, mut reserved) = (Vec::new(), None);
    while let Some(bytes) = response.next().await {
        let bytes = bytes.map_err(|e| e.to_string())?;
        let size = body.len() + bytes.len();
        if size > MAX_ANSWER_SIZE {
            return Err(format!("more than {MAX_ANSWER_SIZE} bytes"));
        }
        if reserved.is_none() && size > SMALL_ANSWER_SIZE {
            let due = due.max(size);
            reserved = Some(memory.reserve(due).await);
            body.reserve_exact(due - body.len());
        }
        body.extend_from_slice(&bytes);
    }
    match end {
        End::Length(length) if body.len() != length => {
            Err(format!("{} bytes where {length} are due", body.len()))
        }
        _ => {
            let answer = Answer { status: status.as_u16(), kind, body };
            Ok(Received { answer, _memory: reserved })
        }
    }
}

/// The end that the head states; `None` if it states none.
fn stated_end(response: &ClientResponse) -> Option<End> {
    if matches!(response.status(), StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED) {
        return Some(End::Checked);
    }
    match (header(response, CONTENT_LENGTH), header(response, TRANSFER_ENCODING)) {
        (Some(length), None) => length.trim().parse().ok().map(End::Length),
        (None, Some(coding)) if coding.trim().eq_ignore_ascii_case("chunked") => {
            (response.version() == Version::HTTP_11).then_some(End::Checked)
        }
        (None, None) => (response.version() < Version::HTTP_11).then_some(End::Checked),
        _ => None,
    }
}

/// The value of the header `name`.
fn header(response: &ClientResponse, name: HeaderName) -> Option<&str> {
    response.headers().get(name)?.to_str().ok()
}
