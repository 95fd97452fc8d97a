//! The platform's log service, for tests and the demo.
//!
//! Named append-only streams of records; each record gets the next offset.
//! Appends beyond `rate` per second get 429. Records older than `retention_s`
//! expire, and reads start at the oldest retained one. An operator can inject an
//! outage, during which every call gets 503.
//!
//! - `POST /v1/streams/{name}?at=N`: the body is the record;
//!   returns [`Appended`]. With `at`, 412 unless the stream ends at that offset.
//! - `GET /v1/streams/{name}?from=N&limit=M`: returns [`LogRead`];
//!   `?last=M` reads the last M records.
//! - `POST /v1/admin/outage?ms=N`: fails every call for N ms.
//! - `POST /v1/admin/lose?stream=S&count=N&late_ms=M`: executes the next N
//!   appends to S without responding, M ms late if `late_ms` is given.
//! - `POST /v1/admin/stall?stream=S&count=N`: answers the next N reads of S with a
//!   head and no body.
//! - `POST /v1/admin/expire?stream=S`: drops every record of S.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use marjoram_core::ids::Offset;
use marjoram_core::wire::{Appended, LogRead, LogRecord};
use ntex::web::{self, HttpResponse, types};
use serde::Deserialize;

use crate::error::Error;
use crate::options::LogOptions;
use crate::util::now_ms;

/// Largest number of records returned by one read.
const READ_LIMIT: usize = 1000;

/// How long a caller whose response is lost is kept waiting.
const LOST_RESPONSE_TIMEOUT: Duration = Duration::from_secs(60);

struct Log {
    opts: LogOptions,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    streams: HashMap<String, Stream>,
    outage_until: Option<Instant>,
    /// Appends whose responses are to be lost, if an operator injected that fault.
    lose: Option<Lose>,
    /// Reads whose bodies are not sent, if an operator injected that fault.
    stall: Option<Stall>,
    /// Current second and the number of appends in it, for the rate limit.
    window: (u64, u32),
}

#[derive(Default)]
struct Stream {
    /// Offset of the oldest retained record.
    base: u64,
    records: Vec<LogRecord>,
}

#[derive(Debug, Deserialize)]
struct Read {
    from: Option<u64>,
    limit: Option<usize>,
    last: Option<u64>,
}

#[derive(Debug, Deserialize)]
struct Condition {
    at: Option<u64>,
}

#[derive(Debug, Deserialize)]
struct Expire {
    stream: String,
}

#[derive(Debug, Deserialize)]
struct Lose {
    stream: String,
    count: u32,
    late_ms: Option<u64>,
}

#[derive(Debug, Deserialize)]
struct Stall {
    stream: String,
    count: u32,
}

#[derive(Debug, Deserialize)]
struct Outage {
    ms: u64,
}

/// Serves the log service until stopped.
pub async fn serve(opts: LogOptions) -> Result<(), Error> {
    let listen = opts.listen.clone();
    let log: &'static Log = Box::leak(Box::new(Log { opts, state: Mutex::default() }));
    tracing::info!(target: "log", "log: listening on {listen}.");
    web::HttpServer::new(move || {
        web::App::new()
            .state(log)
            .route("/v1/streams/{name}", web::post().to(append))
            .route("/v1/streams/{name}", web::get().to(read))
            .route("/v1/admin/outage", web::post().to(outage))
            .route("/v1/admin/lose", web::post().to(lose))
            .route("/v1/admin/stall", web::post().to(stall))
            .route("/v1/admin/expire", web::post().to(expire))
    })
    .workers(2)
    .bind(&listen)
    .map_err(|e| Error::Io("bind", listen.clone(), e))?
    .run()
    .await
    .map_err(|e| Error::Io("serve", listen, e))
}

async fn append(
    log: types::State<&'static Log>,
    name: types::Path<String>,
    condition: types::Query<Condition>,
    body: ntex::util::Bytes,
) -> HttpResponse {
    let Ok(text) = String::from_utf8(body.to_vec()) else {
        return HttpResponse::BadRequest().body("record is not UTF-8");
    };
    let outcome = {
        let mut state = log.state.lock().unwrap();
        if state.down() {
            return HttpResponse::ServiceUnavailable().body("log service outage");
        }
        if !state.within_rate(log.opts.rate) {
            return HttpResponse::TooManyRequests().body("append rate exceeded");
        }
        state.append_outcome(&name)
    };
    match outcome {
        AppendOutcome::Answer => log.push(&name, condition.at, text),
        AppendOutcome::Lose => {
            log.push(&name, condition.at, text);
            lose_response().await
        }
        AppendOutcome::Late(delay) => {
            let (log, at) = (*log, condition.at);
            ntex::rt::spawn(async move {
                ntex::time::sleep(delay).await;
                log.push(&name, at, text);
            });
            lose_response().await
        }
    }
}

/// Never responds in time, so that the caller times out.
async fn lose_response() -> HttpResponse {
    ntex::time::sleep(LOST_RESPONSE_TIMEOUT).await;
    HttpResponse::GatewayTimeout().finish()
}

impl Log {
    /// Appends a record. With `at`, fails unless the stream ends at that offset.
    fn push(&self, name: &str, at: Option<u64>, body: String) -> HttpResponse {
        let mut state = self.state.lock().unwrap();
        let retention = self.opts.retention_s * 1000;
        let stream = state.streams.entry(name.to_string()).or_default();
        stream.expire(now_ms().saturating_sub(retention));
        let offset = Offset(stream.base + stream.records.len() as u64);
        if at.is_some_and(|at| at != offset.0) {
            return HttpResponse::PreconditionFailed().json(&Appended { offset });
        }
        stream.records.push(LogRecord { offset, at_ms: now_ms(), body });
        HttpResponse::Ok().json(&Appended { offset })
    }
}

async fn read(
    log: types::State<&'static Log>,
    name: types::Path<String>,
    query: types::Query<Read>,
) -> HttpResponse {
    let mut state = log.state.lock().unwrap();
    if state.down() {
        return HttpResponse::ServiceUnavailable().body("log service outage");
    }
    if state.stalls(&name) {
        let endless = futures::stream::pending::<Result<ntex::util::Bytes, std::io::Error>>();
        return HttpResponse::Ok().streaming(endless);
    }
    let retention = log.opts.retention_s * 1000;
    let stream = state.streams.entry(name.into_inner()).or_default();
    stream.expire(now_ms().saturating_sub(retention));
    let end = stream.base + stream.records.len() as u64;
    let from = match query.last {
        Some(last) => end.saturating_sub(last),
        None => query.from.unwrap_or(0),
    };
    let from = from.clamp(stream.base, end);
    let limit = query.limit.unwrap_or(READ_LIMIT).min(READ_LIMIT);
    let start = (from - stream.base) as usize;
    let records = stream.records.iter().skip(start).take(limit).cloned().collect();
    HttpResponse::Ok().json(&LogRead {
        records,
        next: Offset(stream.base + stream.records.len() as u64),
        oldest: Offset(stream.base),
    })
}

async fn outage(log: types::State<&'static Log>, query: types::Query<Outage>) -> HttpResponse {
    let until = Instant::now() + Duration::from_millis(query.ms);
    log.state.lock().unwrap().outage_until = Some(until);
    tracing::info!(target: "log", "log: outage for {} ms.", query.ms);
    HttpResponse::NoContent().finish()
}

async fn lose(log: types::State<&'static Log>, query: types::Query<Lose>) -> HttpResponse {
    let lose = query.into_inner();
    tracing::info!(target: "log", "log: losing the responses to {} appends to {}.", lose.count, lose.stream);
    log.state.lock().unwrap().lose = Some(lose);
    HttpResponse::NoContent().finish()
}

async fn stall(log: types::State<&'static Log>, query: types::Query<Stall>) -> HttpResponse {
    let stall = query.into_inner();
    tracing::info!(target: "log", "log: stalling {} reads of {}.", stall.count, stall.stream);
    log.state.lock().unwrap().stall = Some(stall);
    HttpResponse::NoContent().finish()
}

async fn expire(log: types::State<&'static Log>, query: types::Query<Expire>) -> HttpResponse {
    let mut state = log.state.lock().unwrap();
    state.streams.entry(query.stream.clone()).or_default().expire(u64::MAX);
    tracing::info!(target: "log", "log: expired every record of {}.", query.stream);
    HttpResponse::NoContent().finish()
}

/// How an append is handled.
enum AppendOutcome {
    /// It is executed and the response is sent.
    Answer,
    /// It is executed; its response is lost.
    Lose,
    /// It is executed after this delay; its response is lost.
    Late(Duration),
}

impl State {
    /// Counts one append and returns whether it is within the rate limit.
    fn within_rate(&mut self, rate: u32) -> bool {
        let second = now_ms() / 1000;
        self.window = match self.window {
            (at, count) if at == second => (at, count.saturating_add(1)),
            _ => (second, 1),
        };
        self.window.1 <= rate
    }

    /// Returns the outcome of the next append to `stream`, by the injected faults.
    fn append_outcome(&mut self, stream: &str) -> AppendOutcome {
        match &mut self.lose {
            Some(lose) if lose.stream == stream && lose.count > 0 => {
                lose.count -= 1;
                match lose.late_ms {
                    Some(ms) => AppendOutcome::Late(Duration::from_millis(ms)),
                    None => AppendOutcome::Lose,
                }
            }
            _ => AppendOutcome::Answer,
        }
    }

    /// Whether the body of the next read of `stream` is not sent.
    fn stalls(&mut self, stream: &str) -> bool {
        match &mut self.stall {
            Some(stall) if stall.stream == stream && stall.count > 0 => {
                stall.count -= 1;
                true
            }
            _ => false,
        }
    }

    fn down(&self) -> bool {
        self.outage_until.is_some_and(|until| Instant::now() < until)
    }
}

impl Stream {
    fn expire(&mut self, before_ms: u64) {
        let expired = self.records.iter().take_while(|r| r.at_ms < before_ms).count();
        if expired > 0 {
            self.records.drain(..expired);
            self.base += expired as u64;
        }
    }
}
