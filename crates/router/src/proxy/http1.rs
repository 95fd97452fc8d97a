//! Parses and writes HTTP/1.1 messages in memory buffers, without I/O.
//!
//! Heads are parsed by `httparse`, which ntex uses as well. ntex's own client codec
//! reads an answer without a length as empty, and its `Io` does not distinguish a
//! reset from an orderly close, so that an answer cut off on the way would be
//! taken for complete. Here, each way in which a body can end is distinguished.

mod body;

pub use body::{Body, Piece};

use bytes::{Buf, Bytes, BytesMut};
use marjoram_core::exchange::STATUSES;
use quick_error::quick_error;

/// Largest number of headers of a message.
const MAX_HEADERS: usize = 96;

quick_error! {
    /// Why bytes are not a valid message.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum BadMessage {
        /// The head is longer than allowed.
        TooLong(limit: usize) {
            display("the head is longer than {limit} bytes")
        }
        /// The bytes violate the protocol.
        Malformed(why: &'static str) {
            display("malformed: {why}")
        }
        /// The status of an answer is in no class of statuses.
        InvalidStatus(status: u16) {
            display("invalid status {status:03}")
        }
        /// The connection was closed before the end of the message.
        CutOff {
            display("cut off before its end")
        }
    }
}

/// Headers in the order received.
#[derive(Debug, Clone, Default)]
pub struct Headers(Vec<(Bytes, Bytes)>);

impl Headers {
    /// The value of the first header called `name`.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value)
    }

    /// The same, `None` if the header is not to be passed on.
    pub fn get_end_to_end(&self, name: &str) -> Option<&str> {
        let is_listed = self.listed().any(|listed| listed.eq_ignore_ascii_case(name));
        if is_listed { None } else { self.get(name) }
    }

    /// The options of the connection, among them headers that are not to be passed on.
    fn listed(&self) -> impl Iterator<Item = &str> {
        self.all("connection").flat_map(|v| v.split(',')).map(str::trim)
    }

    /// The values of all headers called `name`.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.iter().filter(move |(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v)
    }

    /// The bytes of all names and values, and of what refers to them.
    fn size(&self) -> usize {
        let bytes: usize = self.0.iter().map(|(name, value)| name.len() + value.len()).sum();
        bytes + self.0.len() * size_of::<(Bytes, Bytes)>()
    }

    /// All headers whose values are text.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.0.iter().filter_map(|(name, value)| {
            Some((std::str::from_utf8(name).ok()?, std::str::from_utf8(value).ok()?))
        })
    }

    /// All headers, with their values as received.
    pub fn raw(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.0
            .iter()
            .filter_map(|(name, value)| Some((std::str::from_utf8(name).ok()?, value.as_ref())))
    }

    /// The end-to-end headers, unchanged: those that are not hop-by-hop.
    pub fn end_to_end(&self) -> impl Iterator<Item = (&str, &[u8])> {
        let listed: Vec<&str> = self.listed().collect();
        self.0.iter().filter_map(move |(name, value)| {
            let name = std::str::from_utf8(name).ok()?;
            let hop = HOP_BY_HOP.iter().chain(&listed).any(|h| h.eq_ignore_ascii_case(name));
            (!hop).then_some((name, value.as_ref()))
        })
    }

    /// Whether the connection closes after this message.
    pub fn closes(&self, minor: u8) -> bool {
        let mut options = self.listed();
        match minor {
            0 => !options.any(|o| o.eq_ignore_ascii_case("keep-alive")),
            _ => options.any(|o| o.eq_ignore_ascii_case("close")),
        }
    }
}

/// Hop-by-hop headers, which are not forwarded. `content-length` is among them since
/// the router writes its own.
const HOP_BY_HOP: [&str; 10] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
];

/// The head of a request.
#[derive(Debug, Clone)]
pub struct RequestHead {
    /// The method.
    pub method: String,
    /// Path and query as received.
    pub target: String,
    /// 1 for HTTP/1.1, 0 for HTTP/1.0.
    pub minor: u8,
    /// Its headers.
    pub headers: Headers,
}

impl RequestHead {
    /// Its bytes, about.
    pub fn size(&self) -> usize {
        self.method.len() + self.target.len() + self.headers.size()
    }
}

/// The head of an answer.
#[derive(Debug, Clone)]
pub struct ResponseHead {
    /// Its status.
    pub status: u16,
    /// 1 for HTTP/1.1, 0 for HTTP/1.0.
    pub minor: u8,
    /// Its headers.
    pub headers: Headers,
}

/// Takes the head of a request from `buf`; `None` until it is complete.
pub fn request_head(buf: &mut BytesMut, limit: usize) -> Result<Option<RequestHead>, BadMessage> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let status = request.parse(buf).map_err(|_| BadMessage::Malformed("request head"))?;
    match status {
        httparse::Status::Complete(len) if len > limit => Err(BadMessage::TooLong(limit)),
        httparse::Status::Partial if buf.len() > limit => Err(BadMessage::TooLong(limit)),
        httparse::Status::Partial => Ok(None),
        httparse::Status::Complete(len) => {
            let method = request.method.unwrap_or_default().to_string();
            let target = request.path.unwrap_or_default().to_string();
            let minor = request.version.unwrap_or_default();
            let headers = copy_headers(request.headers);
            buf.advance(len);
            Ok(Some(RequestHead { method, target, minor, headers }))
        }
    }
}

/// Whether `buf` begins with a request that is whole, with a head of up to `limit` bytes.
pub fn has_whole_request(buf: &BytesMut, limit: usize) -> bool {
    let mut buf = buf.clone();
    let Ok(Some(head)) = request_head(&mut buf, limit) else { return false };
    let Ok(framing) = request_framing(&head) else { return false };
    let mut body = Body::from(framing);
    loop {
        match body.next(&mut buf, false) {
            Ok(Piece::End) => return true,
            Ok(Piece::Data(_)) => {}
            Ok(Piece::More) | Err(_) => return false,
        }
    }
}

/// Takes the head of an answer from `buf`; `None` until it is complete.
pub fn response_head(buf: &mut BytesMut, limit: usize) -> Result<Option<ResponseHead>, BadMessage> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let status = response.parse(buf).map_err(|_| BadMessage::Malformed("answer head"))?;
    match status {
        httparse::Status::Partial if buf.len() > limit => Err(BadMessage::TooLong(limit)),
        httparse::Status::Partial => Ok(None),
        httparse::Status::Complete(len) => {
            let status = response.code.unwrap_or_default();
            if !STATUSES.contains(&status) {
                return Err(BadMessage::InvalidStatus(status));
            }
            let minor = response.version.unwrap_or_default();
            let headers = copy_headers(response.headers);
            buf.advance(len);
            Ok(Some(ResponseHead { status, minor, headers }))
        }
    }
}

fn copy_headers(headers: &[httparse::Header<'_>]) -> Headers {
    let copy = |h: &httparse::Header<'_>| {
        (Bytes::copy_from_slice(h.name.as_bytes()), Bytes::copy_from_slice(h.value))
    };
    Headers(headers.iter().map(copy).collect())
}

/// How a body is delimited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// By its length in bytes.
    Length(u64),
    /// By an empty chunk.
    Chunked,
    /// By the close of the connection.
    Close,
}

/// How the body of a request is delimited. A request whose length can be
/// read in two ways is malformed: otherwise a request could be hidden in the body
/// of another (request smuggling).
pub fn request_framing(head: &RequestHead) -> Result<Framing, BadMessage> {
    match framing(&head.headers, head.minor)? {
        Some(framing) => Ok(framing),
        None => Ok(Framing::Length(0)),
    }
}

/// How the body of an answer to a request with `method` is delimited.
pub fn response_framing(method: &str, head: &ResponseHead) -> Result<Framing, BadMessage> {
    match head.status {
        100..=199 | 204 | 304 => Ok(Framing::Length(0)),
        _ if method == "HEAD" => Ok(Framing::Length(0)),
        _ => Ok(framing(&head.headers, head.minor)?.unwrap_or(Framing::Close)),
    }
}

/// How the headers delimit the body; `None` if they do not.
fn framing(headers: &Headers, minor: u8) -> Result<Option<Framing>, BadMessage> {
    let count = |name: &str| {
        headers.0.iter().filter(|(n, _)| n.eq_ignore_ascii_case(name.as_bytes())).count()
    };
    match (count("transfer-encoding"), count("content-length")) {
        (0, 0) => Ok(None),
        (0, 1) => {
            let text = headers.get("content-length").unwrap_or_default().trim();
            let digits = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
            match text.parse() {
                Ok(length) if digits => Ok(Some(Framing::Length(length))),
                _ => Err(BadMessage::Malformed("content-length")),
            }
        }
        (1, 0) if minor == 1 => match headers.get("transfer-encoding").unwrap_or_default().trim() {
            coding if coding.eq_ignore_ascii_case("chunked") => Ok(Some(Framing::Chunked)),
            _ => Err(BadMessage::Malformed("transfer-encoding")),
        },
        _ => Err(BadMessage::Malformed("more than one length")),
    }
}

/// Writes a request: its head, then its body with the length.
pub struct RequestWriter(BytesMut);

impl RequestWriter {
    /// Begins a request.
    pub fn new(method: &str, target: &str) -> Self {
        let mut buf = BytesMut::with_capacity(1_024);
        for text in [method, " ", target, " HTTP/1.1\r\n"] {
            buf.extend_from_slice(text.as_bytes());
        }
        Self(buf)
    }

    /// Adds a header.
    pub fn header(&mut self, name: &str, value: &[u8]) {
        write_header(&mut self.0, name, value);
    }

    /// Ends the head and adds `body`.
    pub fn finish(self, body: Option<&[u8]>) -> Bytes {
        let mut bytes = BytesMut::from(self.finish_head(body.map(<[u8]>::len)));
        bytes.extend_from_slice(body.unwrap_or_default());
        bytes.freeze()
    }

    /// Ends the head; a body of `size` bytes follows, if any.
    pub fn finish_head(mut self, size: Option<usize>) -> Bytes {
        if let Some(size) = size {
            self.header("content-length", size.to_string().as_bytes());
        }
        self.0.extend_from_slice(b"\r\n");
        self.0.freeze()
    }
}

/// Writes the head of an answer.
pub struct ResponseWriter(BytesMut);

impl ResponseWriter {
    /// Begins an answer with `status`.
    pub fn new(status: u16) -> Self {
        let mut buf = BytesMut::with_capacity(512);
        let reason = ntex::http::StatusCode::from_u16(status)
            .ok()
            .and_then(|s| s.canonical_reason())
            .unwrap_or("Unknown");
        buf.extend_from_slice(format!("HTTP/1.1 {status} {reason}\r\n").as_bytes());
        Self(buf)
    }

    /// Adds a header.
    pub fn header(&mut self, name: &str, value: &[u8]) {
        write_header(&mut self.0, name, value);
    }

    /// Ends the head and adds `body` with its length.
    pub fn finish(self, body: &[u8]) -> BytesMut {
        let mut bytes = self.finish_head(body.len());
        bytes.extend_from_slice(body);
        bytes
    }

    /// Ends the head; a body of `size` bytes follows.
    pub fn finish_head(mut self, size: usize) -> BytesMut {
        self.header("content-length", size.to_string().as_bytes());
        self.0.extend_from_slice(b"\r\n");
        self.0
    }

    /// Ends the head; chunks follow.
    pub fn chunked(mut self) -> BytesMut {
        self.header("transfer-encoding", b"chunked");
        self.0.extend_from_slice(b"\r\n");
        self.0
    }

    /// Ends the head of an answer without a body.
    pub fn finish_without_body(mut self) -> BytesMut {
        self.0.extend_from_slice(b"\r\n");
        self.0
    }
}

fn write_header(buf: &mut BytesMut, name: &str, value: &[u8]) {
    buf.extend_from_slice(name.as_bytes());
    buf.extend_from_slice(b": ");
    buf.extend_from_slice(value);
    buf.extend_from_slice(b"\r\n");
}

/// Adds `data` to `buf` as one chunk.
pub fn write_chunk(buf: &mut BytesMut, data: &[u8]) {
    buf.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
    buf.extend_from_slice(data);
    buf.extend_from_slice(b"\r\n");
}

/// The end of a chunked body.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
