//! Sends a request to one upstream and reads the head of its answer.

use std::cell::RefCell;
use std::io;
use std::iter;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use marjoram_core::blocks::Blocks;
use marjoram_core::buffer_budget::{BufferBudget, CompleteBody};
use marjoram_core::correlation::{self, Answered, ConnId, SentOn};
use marjoram_core::exchange::ResponseMetadata;
use marjoram_core::health::STALL_TIMEOUT;
use marjoram_core::reach::Path;
use marjoram_platform::headers;

use super::answer::{self, ReadError};
use super::conditions;
use super::failure::Failure;
use super::fleet::Upstream;
use super::http1::{self, BadMessage, Body, ResponseHead};
use super::reach;
use super::site::Site;
use crate::conn::Conn;

/// Idle time-out of relayed connections: they take up the relaying host, which waits
/// for them when it stops.
const RELAYED_IDLE_TIMEOUT: Duration = Duration::from_millis(1_800);

/// Answers to other requests that are skipped before the expected one.
const MAX_STRAY_ANSWERS: usize = 2;

/// Longest body, in bytes, of an answer that is skipped, or read whole before it is
/// forwarded.
const BODY_LIMIT: usize = 16 << 20;

/// The connection that an answer was received on.
#[derive(Debug, Clone, Copy)]
pub struct ConnUse {
    /// The connection.
    pub conn: ConnId,
    /// Requests sent on it so far, the answered one included; 1 on a new connection.
    pub requests: u64,
    /// Another host relays it.
    pub relayed: bool,
}

/// A connection whose answer has begun.
pub struct StartedAnswer {
    /// The upstream.
    pub upstream: Rc<Upstream>,
    /// What it was received on.
    pub conn_use: ConnUse,
    /// The head of the answer.
    pub head: ResponseHead,
    /// What its headers say about the send.
    pub mark: ResponseMetadata,
    /// When its head was received.
    pub begun: Duration,
    /// The body ends with the connection.
    pub until_close: bool,
    pooled: PooledConn,
    body: Body,
}

/// A connection taken from its upstream's pool, counted as in use until dropped.
struct PooledConn {
    upstream: Rc<Upstream>,
    /// `None` once the connection has been returned to the pool.
    conn: Option<Conn>,
    /// The whole request has been sent.
    sent: bool,
}

impl PooledConn {
    fn new(upstream: Rc<Upstream>, conn: Conn) -> Self {
        upstream.pool.count(1);
        Self { upstream, conn: Some(conn), sent: false }
    }

    fn conn(&mut self) -> &mut Conn {
        self.conn.as_mut().expect("returned to the pool only at the end")
    }

    fn is_relayed(&self) -> bool {
        self.conn.as_ref().is_some_and(|conn| conn.relayed)
    }

    fn conn_use(&mut self) -> ConnUse {
        let conn = self.conn();
        ConnUse { conn: conn.id, requests: conn.requests, relayed: conn.relayed }
    }
}

impl Drop for PooledConn {
    fn drop(&mut self) {
        self.upstream.pool.count(-1);
    }
}

/// Longest body that is sent together with the head, in bytes.
const SMALL_BODY: usize = 8 << 10;

/// A request as it is sent.
#[derive(Debug)]
pub struct Encoded {
    /// Its head.
    pub head: Bytes,
    /// Its body, which all sends of the request share.
    pub body: Rc<Blocks>,
}

impl Encoded {
    /// The parts that are sent one after another, the last one first.
    fn parts<'a>(&'a self, joined: &'a mut Vec<u8>) -> Vec<&'a [u8]> {
        if self.body.len() <= SMALL_BODY {
            joined.extend_from_slice(&self.head);
            self.body.iter().for_each(|block| joined.extend_from_slice(block));
            return vec![joined];
        }
        let mut parts: Vec<&[u8]> = iter::once(&self.head[..]).chain(self.body.iter()).collect();
        parts.reverse();
        parts
    }
}

/// Sends the `unsent` parts until all are sent, or the upstream answers or closes first.
async fn send_parts(conn: &mut Conn, unsent: &mut Vec<&[u8]>) -> io::Result<()> {
    while let Some(part) = unsent.last_mut() {
        conn.send(part).await?;
        if !part.is_empty() {
            return Ok(());
        }
        unsent.pop();
    }
    Ok(())
}

/// One send of a caller's attempt.
pub struct Outgoing<'a> {
    /// The request's method.
    pub method: &'a str,
    /// The id of the attempt.
    pub attempt: Option<&'a str>,
    /// The encoded request.
    pub request: &'a Encoded,
    /// The connections of the attempt's former sends; that of this one is added.
    pub sent_on: &'a RefCell<SentOn>,
}

/// An idle connection to `upstream` for `send`. None is used while requests there get no
/// answer: a new connection shows whether the link is lost. A relayed one is not
/// used where the link is to be tried again, or where the relaying host is silent or
/// stops: the connection would end with its process.
fn kept(site: &Site, upstream: &Upstream, send: &Outgoing<'_>) -> Option<Conn> {
    let now = site.now();
    let stalled = upstream.health.borrow().stalled_for(now) >= STALL_TIMEOUT;
    let path = upstream.link.borrow().path(now);
    if stalled && path == Path::Direct {
        return None;
    }
    let relay_serves = |conn: &Conn| conn.peer().is_some_and(|host| site.peers.is_open(host));
    // On a new connection, an answer needs no id to be tied to its request.
    let is_candidate =
        |conn: &Conn| send.attempt.is_some() && send.sent_on.borrow().may_use(conn.id);
    let may_use = |conn: &Conn| !conn.relayed || (path != Path::Both && relay_serves(conn));
    upstream.pool.take(now, is_candidate, may_use)
}

/// Sends a request to `upstream` and reads the head of the answer.
pub async fn send(
    site: &Site,
    upstream: &Rc<Upstream>,
    send: Outgoing<'_>,
) -> Result<StartedAnswer, Failure> {
    let conn = match kept(site, upstream, &send) {
        Some(conn) => conn,
        None => {
            site.counters.count("upstream.connects");
            reach::connect(site, upstream).await.map_err(Failure::Unreachable)?
        }
    };
    let pooled = PooledConn::new(upstream.clone(), conn);
    let relayed = pooled.is_relayed();
    exchange(site, pooled, send).await.map_err(|f| f.over(relayed))
}

/// Sends a request on the connection and reads the head of its answer.
async fn exchange(
    site: &Site,
    mut pooled: PooledConn,
    send: Outgoing<'_>,
) -> Result<StartedAnswer, Failure> {
    let Outgoing { method, attempt, request, sent_on } = send;
    let upstream = &pooled.upstream.clone();
    let sent_at = site.now();
    pooled.conn().requests += 1;
    let conn_use = pooled.conn_use();
    sent_on.borrow_mut().record(conn_use.conn);
    let mut joined = Vec::new();
    let mut unsent = request.parts(&mut joined);
    for _ in 0..=MAX_STRAY_ANSWERS {
        // The answer may already have been received, and the upstream may read no further.
        if pooled.conn().buf.is_empty() {
            send_parts(pooled.conn(), &mut unsent).await.map_err(|e| io_failure("send", e))?;
        }
        pooled.sent = unsent.is_empty();
        let head = answer::read_head(pooled.conn())
            .await
            .map_err(|e| Failure::from(("answer head", e)))?;
        let framing = http1::response_framing(method, &head)
            .map_err(|e| Failure::InvalidAnswer("answer head", e.to_string()))?;
        let stated = headers::stated_conditions(head.status, head.headers.raw());
        let get = |name: &str| head.headers.get_end_to_end(name);
        let mark = headers::response_metadata(head.status, stated, get);
        let mut body = Body::from(framing);
        let answered = correlation::answered(attempt, mark.attempt.as_deref(), conn_use.requests);
        let is_own = answered == Answered::LastSend;
        // What another answer states may no longer hold: it may be a late copy.
        if is_own {
            conditions::record_answer(site, upstream, &mark, sent_at);
            let until_close = framing == http1::Framing::Close;
            let upstream = upstream.clone();
            let begun = site.now();
            return Ok(StartedAnswer {
                upstream,
                conn_use,
                head,
                mark,
                begun,
                until_close,
                pooled,
                body,
            });
        }
        site.counters.count("upstream.stray_answers");
        tracing::warn!(target: "attempt", upstream = %upstream.life, ours = attempt,
            theirs = mark.attempt, status = head.status, conn = %conn_use.conn,
            conn_requests = conn_use.requests, relayed = conn_use.relayed,
            "received an answer that is not that to the last request");
        if answered == Answered::Unknown {
            return Err(Failure::InvalidAnswer("answer head", "names no attempt".into()));
        }
        if framing == http1::Framing::Close {
            break;
        }
        skip(pooled.conn(), &mut body).await?;
    }
    Err(Failure::InvalidAnswer("answer head", "answers another request".into()))
}

impl From<(&'static str, ReadError)> for Failure {
    fn from((step, error): (&'static str, ReadError)) -> Self {
        match error {
            ReadError::Io(error) => io_failure(step, error),
            ended @ (ReadError::Closed | ReadError::Bad(BadMessage::CutOff)) => {
                Self::Closed(step, ended.to_string())
            }
            other => Self::InvalidAnswer(step, other.to_string()),
        }
    }
}

/// Classifies an I/O error. After a time-out, the peer or the network to it is
/// gone without a close or reset; any other error was caused by the peer.
fn io_failure(step: &'static str, error: io::Error) -> Failure {
    match error.kind() {
        io::ErrorKind::TimedOut | io::ErrorKind::HostUnreachable => Failure::Lost(step, error),
        _ => Failure::Closed(step, error.to_string()),
    }
}

/// Reads the rest of `body` and drops it.
async fn skip(conn: &mut Conn, body: &mut Body) -> Result<(), Failure> {
    let mut skipped = 0;
    while let Some(data) = next_piece(conn, body).await? {
        skipped += data.len();
        if skipped > BODY_LIMIT {
            let why = "answers another request at too great a length".into();
            return Err(Failure::InvalidAnswer("answer body", why));
        }
    }
    Ok(())
}

async fn next_piece(conn: &mut Conn, body: &mut Body) -> Result<Option<Bytes>, Failure> {
    answer::next_piece(conn, body).await.map_err(|e| ("answer body", e).into())
}

impl StartedAnswer {
    /// Whether it is a server error, a success without a seal, or a status that callers take for a
    /// rejection without the statement that the request was not run.
    pub fn is_failure(&self) -> bool {
        match self.head.status {
            200..=299 => !self.mark.sealed,
            408 | 429 => !self.mark.not_run,
            status => status >= 500,
        }
    }

    /// Closes the connection; nothing more can be read.
    pub fn close(&mut self) {
        self.pooled.conn = None;
    }

    /// The next bytes of the body; `None` at its end. Cancel safe: no bytes are
    /// lost if the future is dropped.
    pub async fn next_data(&mut self) -> Result<Option<Bytes>, Failure> {
        let relayed = self.is_relayed();
        let data = next_piece(self.pooled.conn(), &mut self.body).await;
        data.map_err(|failure| failure.over(relayed))
    }

    /// Whether another host relays the connection.
    pub fn is_relayed(&self) -> bool {
        self.pooled.is_relayed()
    }

    /// Reads the whole body, within the memory that `buffers` leaves.
    pub async fn collect(&mut self, buffers: &BufferBudget) -> Result<CompleteBody, Failure> {
        let mut collected = buffers.begin();
        while let Some(data) = self.next_data().await? {
            collected.append(&data)?;
            if collected.size() > BODY_LIMIT {
                return Err(Failure::InvalidAnswer(
                    "answer body",
                    "too long to be collected".into(),
                ));
            }
        }
        Ok(collected.finish()?)
    }

    /// Returns the connection to the pool if it can serve other requests: the
    /// request and the answer are complete, and the upstream keeps it open.
    pub fn finish(mut self, now: Duration) {
        let head = &self.head;
        let idle_timeout = head.headers.get("keep-alive").and_then(keep_alive);
        let idle_timeout = match self.is_relayed() {
            true => {
                Some(idle_timeout.map_or(RELAYED_IDLE_TIMEOUT, |t| t.min(RELAYED_IDLE_TIMEOUT)))
            }
            false => idle_timeout,
        };
        let keep = self.pooled.sent && self.body.is_done() && !head.headers.closes(head.minor);
        let Some(conn) = self.pooled.conn.take() else { return };
        if keep && conn.buf.is_empty() && !conn.read_closed {
            self.upstream.pool.put(conn, idle_timeout, now);
        }
    }
}

/// The time-out in a `Keep-Alive` header.
fn keep_alive(text: &str) -> Option<Duration> {
    let seconds = text.split(',').find_map(|p| p.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
