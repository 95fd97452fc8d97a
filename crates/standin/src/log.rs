//! The platform's log service, for tests and the demo.
//!
//! Named streams of records, append-only, each record given the next
//! offset. Appends over `rate` a second get 429. Records older than
//! `retention_s` expire and reads start at the oldest kept. An operator can
//! order an outage: every call gets 503 until it ends.
//!
//! - `POST /v1/streams/{name}?at=N`: body is the record; answers
//!   [`Appended`]. With `at`, 412 unless the stream ends at that offset.
//! - `GET /v1/streams/{name}?from=N&limit=M`: answers [`LogRead`];
//!   `?last=M` reads the last M records.
//! - `POST /v1/admin/outage?ms=N`: fails every call for N ms.
//! - `POST /v1/admin/lose?stream=S&count=N&late_ms=M`: never answers the next
//!   N appends to S, and carries them out, M ms late if that is given.
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

/// Records answered by one read at most.
const READ_LIMIT: usize = 1000;

/// How long a caller whose answer is lost is kept waiting.
const NEVER: Duration = Duration::from_secs(60);

struct Log {
    opts: LogOptions,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    streams: HashMap<String, Stream>,
    outage_until: Option<Instant>,
    /// Appends whose answers are to be lost, if an operator ordered so.
    lose: Option<Lose>,
    window: (u64, u32),
}

#[derive(Default)]
struct Stream {
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
    let fate = {
        let mut state = log.state.lock().unwrap();
        if state.down() {
            return HttpResponse::ServiceUnavailable().body("log service outage");
        }
        if !state.within_rate(log.opts.rate) {
            return HttpResponse::TooManyRequests().body("append rate exceeded");
        }
        state.fate(&name)
    };
    match fate {
        Fate::Answer => log.push(&name, condition.at, text),
        Fate::Lose => {
            log.push(&name, condition.at, text);
            never().await
        }
        Fate::Late(delay) => {
            let (log, at) = (*log, condition.at);
            ntex::rt::spawn(async move {
                ntex::time::sleep(delay).await;
                log.push(&name, at, text);
            });
            never().await
        }
    }
}

/// Keeps a caller waiting until it gives up.
async fn never() -> HttpResponse {
    ntex::time::sleep(NEVER).await;
    HttpResponse::GatewayTimeout().finish()
}

impl Log {
    /// Appends a record, if the stream ends at `at` where that is given.
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
    tracing::info!(target: "log", "log: losing the answers of {} appends to {}.", lose.count, lose.stream);
    log.state.lock().unwrap().lose = Some(lose);
    HttpResponse::NoContent().finish()
}

async fn expire(log: types::State<&'static Log>, query: types::Query<Expire>) -> HttpResponse {
    let mut state = log.state.lock().unwrap();
    state.streams.entry(query.stream.clone()).or_default().expire(u64::MAX);
    tracing::info!(target: "log", "log: every record of {} expired.", query.stream);
    HttpResponse::NoContent().finish()
}

/// What becomes of an append.
enum Fate {
    /// It is carried out and answered.
    Answer,
    /// It is carried out; its answer is lost.
    Lose,
    /// It is carried out after this long; its answer is lost.
    Late(Duration),
}

impl State {
    /// Counts one append against the rate; whether it is within it.
    fn within_rate(&mut self, rate: u32) -> bool {
        let second = now_ms() / 1000;
        self.window = match self.window {
            (at, count) if at == second => (at, count.saturating_add(1)),
            _ => (second, 1),
        };
        self.window.1 <= rate
    }

    /// The fate of the next append to `stream`, by the faults ordered.
    fn fate(&mut self, stream: &str) -> Fate {
        match &mut self.lose {
            Some(lose) if lose.stream == stream && lose.count > 0 => {
                lose.count -= 1;
                match lose.late_ms {
                    Some(ms) => Fate::Late(Duration::from_millis(ms)),
                    None => Fate::Lose,
                }
            }
            _ => Fate::Answer,
        }
    }

    fn down(&self) -> bool {
        self.outage_until.is_some_and(|until| Instant::now() < until)
    }
}

impl Stream {
    fn expire(&mut self, before_ms: u64) {
        let old = self.records.iter().take_while(|r| r.at_ms < before_ms).count();
        if old > 0 {
            self.records.drain(..old);
            self.base += old as u64;
        }
    }
}
