//! The platform's log service, for tests and the demo.
//!
//! Named streams of records, append-only, each record given the next
//! offset. Appends over `rate` a second get 429. Records older than
//! `retention_s` expire and reads start at the oldest kept. An operator can
//! order an outage: every call gets 503 until it ends.
//!
//! - `POST /v1/streams/{name}`: body is the record; answers [`Appended`].
//! - `GET /v1/streams/{name}?from=N&limit=M`: answers [`LogRead`].
//! - `POST /v1/admin/outage?ms=N`: fails every call for N ms.

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

struct Log {
    opts: LogOptions,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    streams: HashMap<String, Stream>,
    outage_until: Option<Instant>,
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
    body: ntex::util::Bytes,
) -> HttpResponse {
    let mut state = log.state.lock().unwrap();
    if state.down() {
        return HttpResponse::ServiceUnavailable().body("log service outage");
    }
    let second = now_ms() / 1000;
    match state.window {
        (at, count) if at == second && count >= log.opts.rate => {
            return HttpResponse::TooManyRequests().body("append rate exceeded");
        }
        (at, count) if at == second => state.window = (at, count + 1),
        _ => state.window = (second, 1),
    }
    let Ok(text) = String::from_utf8(body.to_vec()) else {
        return HttpResponse::BadRequest().body("record is not UTF-8");
    };
    let retention = log.opts.retention_s * 1000;
    let stream = state.streams.entry(name.into_inner()).or_default();
    stream.expire(now_ms().saturating_sub(retention));
    let offset = Offset(stream.base + stream.records.len() as u64);
    stream.records.push(LogRecord { offset, at_ms: now_ms(), body: text });
    HttpResponse::Ok().json(&Appended { offset })
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
    let from = query.from.unwrap_or(0).max(stream.base);
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

impl State {
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
