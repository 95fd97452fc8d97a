//! Decodes message bodies and finds their ends.

use bytes::{Bytes, BytesMut};

use super::{BadMessage, Framing};

/// Longest line with the size of a chunk, in bytes, extensions included.
const MAX_CHUNK_LINE: usize = 256;

/// Longest trailers after a chunked body, in bytes.
const MAX_TRAILERS: usize = 8 << 10;

/// Decoder of one body.
#[derive(Debug)]
pub struct Body {
    state: State,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Length(u64),
    Close,
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    Trailers(usize),
    Done,
}

/// The next piece of a body, or its end.
#[derive(Debug, PartialEq, Eq)]
pub enum Piece {
    /// Bytes of the body.
    Data(Bytes),
    /// More bytes must be received first.
    More,
    /// The body is complete.
    End,
}

impl From<Framing> for Body {
    fn from(framing: Framing) -> Self {
        let state = match framing {
            Framing::Length(0) => State::Done,
            Framing::Length(length) => State::Length(length),
            Framing::Chunked => State::ChunkSize,
            Framing::Close => State::Close,
        };
        Self { state }
    }
}

impl Body {
    /// The next piece of the body in `buf`; `ended` when the peer has closed the
    /// connection without a reset.
    pub fn next(&mut self, buf: &mut BytesMut, ended: bool) -> Result<Piece, BadMessage> {
        loop {
            match self.state {
                State::Done => return Ok(Piece::End),
                State::Close if !buf.is_empty() => return Ok(Piece::Data(buf.split().freeze())),
                State::Close if ended => self.state = State::Done,
                State::Length(left) if !buf.is_empty() => {
                    let (data, left) = take(buf, left);
                    self.state = if left == 0 { State::Done } else { State::Length(left) };
                    return Ok(Piece::Data(data));
                }
                State::ChunkData(left) if !buf.is_empty() => {
                    let (data, left) = take(buf, left);
                    self.state = if left == 0 { State::ChunkEnd } else { State::ChunkData(left) };
                    return Ok(Piece::Data(data));
                }
                State::ChunkSize => match line(buf, MAX_CHUNK_LINE)? {
                    Some(line) => {
                        self.state = match chunk_size(&line)? {
                            0 => State::Trailers(0),
                            size => State::ChunkData(size),
                        }
                    }
                    None => return Self::more(ended),
                },
                State::ChunkEnd => match line(buf, 2)? {
                    Some(line) if line.is_empty() => self.state = State::ChunkSize,
                    Some(_) => return Err(BadMessage::Malformed("end of a chunk")),
                    None => return Self::more(ended),
                },
                State::Trailers(bytes) => match line(buf, MAX_TRAILERS)? {
                    Some(line) if line.is_empty() => self.state = State::Done,
                    Some(line) if bytes + line.len() <= MAX_TRAILERS => {
                        self.state = State::Trailers(bytes + line.len());
                    }
                    Some(_) => return Err(BadMessage::Malformed("trailers too long")),
                    None => return Self::more(ended),
                },
                State::Close | State::Length(_) | State::ChunkData(_) => return Self::more(ended),
            }
        }
    }

    /// Whether the body is complete.
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    fn more(ended: bool) -> Result<Piece, BadMessage> {
        if ended { Err(BadMessage::CutOff) } else { Ok(Piece::More) }
    }
}

/// Takes up to `left` bytes from `buf`; returns them and how many are still to come.
fn take(buf: &mut BytesMut, left: u64) -> (Bytes, u64) {
    let len = usize::try_from(left).unwrap_or(usize::MAX).min(buf.len());
    (buf.split_to(len).freeze(), left - len as u64)
}

/// Takes one line, without its line end, of at most `limit` bytes.
fn line(buf: &mut BytesMut, limit: usize) -> Result<Option<Bytes>, BadMessage> {
    match buf.iter().position(|b| *b == b'\n') {
        Some(end) if end > limit => Err(BadMessage::Malformed("line too long")),
        None if buf.len() > limit => Err(BadMessage::Malformed("line too long")),
        None => Ok(None),
        Some(end) => {
            let mut line = buf.split_to(end + 1);
            line.truncate(end);
            match line.last() {
                Some(b'\r') => line.truncate(end - 1),
                _ => return Err(BadMessage::Malformed("line without carriage return")),
            }
            Ok(Some(line.freeze()))
        }
    }
}

fn chunk_size(line: &[u8]) -> Result<u64, BadMessage> {
    let digits = line.split(|b| *b == b';').next().unwrap_or_default();
    let text = std::str::from_utf8(digits).unwrap_or_default().trim();
    let hex = !text.is_empty() && text.len() <= 15 && text.bytes().all(|b| b.is_ascii_hexdigit());
    match u64::from_str_radix(text, 16) {
        Ok(size) if hex => Ok(size),
        _ => Err(BadMessage::Malformed("size of a chunk")),
    }
}
