//! Callers' connections: reads requests and writes answers, one after another.

mod receive;

pub use receive::max_size;

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use marjoram_core::catalog::Limits;
use marjoram_core::in_progress::InProgressRequest;
use marjoram_core::peer_budget::{self, Exhausted, Stage};
use marjoram_platform::headers;
use tokio::net::{TcpListener, TcpStream};

use super::counters;
use super::http1::{self, BadMessage, Framing, ResponseWriter};
use super::peer_limits::GivenUp;
use super::refusal::Refusal;
use super::request::{Exchange, Request};
use super::response::{self, Close, Outcome};
use super::site::Site;
use crate::conn::Conn;
use receive::{check, held_size, read_body, read_head};

/// How long a connection with unread bytes is kept open after its last answer.
const LINGER: Duration = Duration::from_secs(1);

/// Time-out for receiving the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Pause after a failed accept, most likely for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Why a request ends with the process.
const STOPPING: &str = "stopping";

/// Why a request ends whose caller has closed its sending side. It looks like a caller that
/// has left: closed sockets answer keep-alive probes, too.
const HALF_CLOSED: &str = "caller closed its sending side";

/// Accepts callers until the process stops.
pub async fn serve(site: Rc<Site>, listener: TcpListener) {
    loop {
        if site.peer_limits.callers.is_full() {
            // Connections that have been given up are closed first.
            tokio::task::yield_now().await;
        }
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = site.stop.notified() => return,
        };
        match accepted {
            Ok((stream, _)) => match site.peer_limits.callers.accept(Instant::now()) {
                Ok(holding) => {
                    ntex::rt::spawn(connection(site.clone(), Conn::accepted(stream, holding)));
                }
                Err(why) => refuse_connection(&site, &stream, why),
            },
            Err(error) => {
                tracing::warn!(target: "callers", %error, "accept failed");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Refuses a connection that there is no room for. Nothing of it has been read.
fn refuse_connection(site: &Site, stream: &TcpStream, why: Exhausted) {
    site.report_given_up(GivenUp::CallerConn, why);
    let refusal =
        Refusal::not_run("too many connections", peer_budget::retry_after(rand::random()));
    if let Err(error) = stream.try_write(&encode(&refusal, true)) {
        tracing::debug!(target: "callers", %error, "refusal of a connection not sent");
    }
}

/// What to do with a connection after a request.
enum Next {
    /// Read the next request.
    Keep,
    Close,
    /// Close the write side, and discard what the caller still sends.
    Linger,
    /// Reset, so that the caller does not take a partial answer for complete.
    Reset,
}

/// Serves the requests of one connection until it closes.
async fn connection(site: Rc<Site>, mut conn: Conn) {
    loop {
        begin_wait(&mut conn);
        if !wait_for_bytes(&site, &mut conn).await {
            if let Some(why) = conn.given_up() {
                site.report_given_up(GivenUp::IdleCaller, why);
            }
            return;
        }
        let limits = limits(&site);
        let progress = site.handled.begin();
        conn.enter(Stage::Receiving);
        let next = serve_request(&site, &mut conn, limits, &progress).await;
        progress.end();
        match next {
            Next::Keep => {}
            Next::Close => return,
            Next::Linger => {
                report_discarded(&site, &conn, limits.head);
                return conn.linger(LINGER).await;
            }
            Next::Reset => return conn.reset(),
        }
    }
}

/// Frees what the last request took. Bytes that have been read ahead stay.
fn begin_wait(conn: &mut Conn) {
    conn.free_buffer();
    conn.enter(Stage::Idle);
    // Err: the connection has been given up, which the next read reports.
    let _ = conn.keep(0);
}

/// The limits on callers' requests in force.
fn limits(site: &Site) -> Limits {
    site.catalog.load().as_ref().map_or_else(Limits::default, |c| c.limits)
}

/// Waits for the first bytes of a request for as long as a connection may stay idle;
/// false if there are none. A limit that is raised meanwhile holds.
async fn wait_for_bytes(site: &Site, conn: &mut Conn) -> bool {
    let idle_since = site.now();
    while conn.buf.is_empty() {
        let until = idle_since + limits(site).idle;
        match tokio::time::timeout_at(site.at(until), conn.fill()).await {
            Ok(Ok(n)) if n > 0 => {}
            Ok(_) => return false,
            Err(_) if site.now() >= idle_since + limits(site).idle => return false,
            Err(_) => {}
        }
    }
    true
}

/// Reads one request and answers it.
async fn serve_request(
    site: &Rc<Site>,
    conn: &mut Conn,
    limits: Limits,
    progress: &InProgressRequest,
) -> Next {
    let started = site.now();
    let read = tokio::time::timeout(limits.head_time, read_head(conn, limits.head)).await;
    if let Some(why) = conn.given_up() {
        return refuse_given_up(site, conn, why).await;
    }
    let head = match read {
        Ok(Ok(Some(head))) => head,
        Ok(Ok(None)) => return Next::Close,
        Ok(Err(BadMessage::TooLong(_))) => {
            return refuse_malformed(site, conn, 431, "head too long").await;
        }
        Ok(Err(_)) => return refuse_malformed(site, conn, 400, "malformed request").await,
        Err(_) => return refuse_malformed(site, conn, 408, "head not in time").await,
    };
    let framing = match check(&head) {
        Ok(framing) => framing,
        Err(why) => return refuse_malformed(site, conn, 400, why).await,
    };
    if matches!(framing, Framing::Length(length) if length > limits.body as u64) {
        return refuse_malformed(site, conn, 413, "body too long").await;
    }
    let expects =
        head.headers.get("expect").is_some_and(|v| v.eq_ignore_ascii_case("100-continue"));
    if expects && conn.write(b"HTTP/1.1 100 Continue\r\n\r\n").await.is_err() {
        return Next::Close;
    }
    let read = tokio::time::timeout(BODY_TIMEOUT, read_body(conn, framing, limits.body)).await;
    if let Some(why) = conn.given_up() {
        return refuse_given_up(site, conn, why).await;
    }
    let body = match read {
        Ok(Ok(Some(body))) => body,
        Ok(Ok(None)) => return refuse_malformed(site, conn, 413, "body too long").await,
        Ok(Err(BadMessage::CutOff)) => return Next::Close,
        Ok(Err(_)) => return refuse_malformed(site, conn, 400, "malformed body").await,
        Err(_) => return refuse_malformed(site, conn, 408, "body not in time").await,
    };
    let asked = headers::request_metadata(|name| head.headers.get(name));
    progress.identify(asked.attempt.as_deref().unwrap_or("-"));
    let close = Close::new(head.headers.closes(head.minor), limits);
    conn.free_buffer();
    if let Err(why) = conn.keep(held_size(&head, &body)) {
        return refuse_given_up(site, conn, why).await;
    }
    conn.enter(Stage::InProgress);
    let request = Request { head, body: Rc::new(body), started, asked };
    // On the heap, so that connections without a whole request take little memory.
    Box::pin(answer(site, conn, request, close)).await
}

/// Sends the request to an upstream and the answer to the caller.
async fn answer(site: &Rc<Site>, conn: &mut Conn, request: Request, mut close: Close) -> Next {
    let started = request.started;
    let id = request.asked.attempt.clone().unwrap_or_default();
    let (outcome, exchange) = match Exchange::new(site, request) {
        Ok(mut exchange) => {
            let outcome = run_until_interrupted(site, conn, &mut exchange, &mut close).await;
            (outcome, Some(exchange))
        }
        Err(refusal) => (Outcome::Refused(refusal), None),
    };
    report(site, &id, exchange.as_ref(), &outcome, site.now() - started);
    match outcome {
        Outcome::Answered(_) if close.is_announced() => Next::Linger,
        Outcome::Answered(_) => Next::Keep,
        Outcome::Cut(_) => Next::Reset,
        Outcome::Refused(refusal) => refuse(site, conn, &id, &refusal, &mut close).await,
        // A caller that has only closed its sending side reads this answer; one that has
        // left resets the connection.
        Outcome::Left(_) if conn.read_closed && !conn.written => match exchange {
            Some(exchange) => {
                let refusal = exchange.give_up(HALF_CLOSED);
                refuse(site, conn, &id, &refusal, &mut close).await
            }
            None => Next::Close,
        },
        Outcome::Left(_) => Next::Close,
    }
}

/// Answers with `refusal`.
async fn refuse(
    site: &Site,
    conn: &mut Conn,
    id: &str,
    refusal: &Refusal,
    close: &mut Close,
) -> Next {
    let last = close.decide(site, conn);
    match (conn.write(&encode(refusal, last)).await, last) {
        (Ok(()), true) => Next::Linger,
        (Ok(()), false) => Next::Keep,
        (Err(error), _) => {
            tracing::info!(target: "request", id, %error, "refusal not accepted by the caller");
            Next::Close
        }
    }
}

/// Runs `exchange` to its end, or until the time for requests in progress is up: then it
/// is refused, or cut off if its answer has begun.
async fn run_until_interrupted(
    site: &Site,
    conn: &mut Conn,
    exchange: &mut Exchange,
    close: &mut Close,
) -> Outcome {
    if site.interrupt.initialized() {
        return Outcome::Refused(exchange.give_up(STOPPING));
    }
    conn.written = false;
    let outcome = tokio::select! {
        biased;
        outcome = response::run(site, conn, exchange, close) => Some(outcome),
        _ = site.interrupt.wait() => None,
    };
    match outcome {
        Some(outcome) => outcome,
        None if conn.written => Outcome::Cut(STOPPING.into()),
        None => Outcome::Refused(exchange.give_up(STOPPING)),
    }
}

/// Logs and counts how a request ended.
fn report(site: &Site, id: &str, exchange: Option<&Exchange>, outcome: &Outcome, took: Duration) {
    let route = exchange.map(|e| e.route.name.as_str());
    let upstream = exchange.and_then(|e| e.last.as_ref()).map(ToString::to_string);
    let sends = exchange.map_or(0, |e| e.sends);
    let config = site.catalog.load().as_ref().map(|c| c.version);
    let ms = took.as_millis() as u64;
    site.counters.time(counters::REQUEST, took);
    match outcome {
        Outcome::Answered(status) => {
            site.counters.count("request.answered");
            tracing::info!(target: "request", id, route, upstream, sends, config, status, ms, "answered");
        }
        Outcome::Refused(Refusal { status, retry, why, .. }) => {
            site.counters.count("request.refused");
            let retry_ms = retry.map(|r| r.as_millis() as u64);
            tracing::info!(target: "request", id, route, upstream, sends, config, status, ms,
                retry_ms, why, "refused");
        }
        Outcome::Left(why) => {
            site.counters.count("request.left");
            tracing::info!(target: "request", id, route, upstream, sends, config, ms, why, "caller closed connection before the answer");
        }
        Outcome::Cut(why) => {
            site.counters.count("request.cut");
            tracing::warn!(target: "request", id, route, upstream, sends, config, ms, why, "answer cut off");
        }
    }
}

/// Logs and counts a request that was read ahead and gets no answer because its
/// connection closes.
fn report_discarded(site: &Site, conn: &Conn, head_limit: usize) {
    let Ok(Some(head)) = http1::request_head(&mut conn.buf.clone(), head_limit) else { return };
    let id = headers::request_metadata(|name| head.headers.get(name)).attempt;
    site.counters.count("request.discarded");
    tracing::warn!(target: "request", id, "request read ahead discarded, its connection closes");
}

/// Encodes an answer of the router itself.
pub fn encode(refusal: &Refusal, last: bool) -> BytesMut {
    let mut writer = ResponseWriter::new(refusal.status);
    writer.header("content-type", b"application/json");
    if let Some(retry) = refusal.retry {
        let seconds = format!("{:.3}", retry.as_secs_f64());
        writer.header("retry-after", seconds.as_bytes());
    }
    if let Some(quota) = &refusal.quota {
        let reset = refusal.retry.unwrap_or_default().as_secs_f64().ceil();
        writer.header("ratelimit-limit", format!("{:.0}", quota.rate).as_bytes());
        writer.header("ratelimit-remaining", b"0");
        writer.header("ratelimit-reset", format!("{reset:.0}").as_bytes());
    }
    if last {
        writer.header("connection", b"close");
    }
    let body = serde_json::json!({ "error": refusal.why });
    writer.finish(body.to_string().as_bytes())
}

/// Answers bytes that are not a valid request, and closes the connection.
async fn refuse_malformed(site: &Site, conn: &mut Conn, status: u16, why: &'static str) -> Next {
    site.counters.count("request.malformed");
    tracing::info!(target: "request", status, why, "malformed or oversized request refused");
    let refusal = Refusal::with_status(status, why);
    match conn.write(&encode(&refusal, true)).await {
        Ok(()) => Next::Linger,
        Err(_) => Next::Close,
    }
}

/// Refuses a request whose connection was given up for others before it was complete.
async fn refuse_given_up(site: &Site, conn: &mut Conn, why: Exhausted) -> Next {
    site.report_given_up(GivenUp::Request, why);
    conn.begin_close();
    let refusal = Refusal::not_run(
        "requests of all callers use up the memory or the connections",
        peer_budget::retry_after(rand::random()),
    );
    match conn.write(&encode(&refusal, true)).await {
        Ok(()) => Next::Linger,
        Err(_) => Next::Close,
    }
}
