//! A model engine with a prefix cache, for tests and the demo.
//!
//! - Requests run by continuous batching ([`batch`]). The longest cached run
//!   of leading prompt blocks costs no prefill time.
//! - The cache ([`cache`]) stores `capacity` blocks, evicts the least recently
//!   used first, and drops blocks that were not used for `idle_ms`. Its events
//!   are published with a delay, and a share of them is lost.
//!   `GET /v1/events?from=N&wait_ms=M` is a long poll of up to M ms.
//! - The load report is refreshed every `load_lag_ms`, so it can be out of date.
//! - `POST /v1/admin/weights` loads new weights under a fencing token, which
//!   takes `weights_ms`. A fenced engine rejects an older token, an unfenced
//!   one accepts it. `GET /v1/admin/orders` lists the orders received.
//! - A brittle engine reports the number of rejections in a second that it can bear.
//!   Some time after its start it rejects requests that would have to wait, and exits
//!   if they are more.
//! - A prompt that contains the text `crash_on` ends the process when the request
//!   is admitted to the batch.
//! - Every `cross_every`th response begins with a chunk under another request's
//!   id, as a faulty engine that mixes up responses might send.

mod batch;
mod brittle;
mod cache;

use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use futures::channel::mpsc;
use marjoram_core::ids::{Fencing, Incarnation, ModelVersion};
use marjoram_core::prefix::Prefix;
use marjoram_core::wire::{
    CacheEvents, EngineRequest, LoadReport, NOT_EXECUTED, RETRY_AFTER, SEND_ID, WEIGHTS_VERSION,
    WeightsOrder,
};
use ntex::web::{self, HttpRequest, HttpResponse, types};
use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::error::Error;
use crate::options::EngineOptions;

use batch::Batch;
use brittle::Rejections;
use cache::Cache;

/// Largest request body, in bytes.
const BODY_LIMIT: usize = 8 << 20;

/// Longest wait of a long poll for events, and its polling interval.
const WAIT_LIMIT: Duration = Duration::from_secs(1);
const WAIT_STEP: Duration = Duration::from_millis(10);

/// State of the engine.
struct Engine {
    opts: EngineOptions,
    incarnation: Incarnation,
    version: AtomicU32,
    fencing: AtomicU64,
    cache: Mutex<Cache>,
    batch: Batch,
    rejections: Rejections,
    report: Mutex<LoadReport>,
    orders: Mutex<Vec<Order>>,
    answers: AtomicU64,
}

/// A weights order received, and whether it was accepted.
#[derive(Debug, Clone, Copy, Serialize)]
struct Order {
    version: ModelVersion,
    fencing: Fencing,
    obeyed: bool,
}

/// Query of `GET /v1/events`.
#[derive(Debug, Deserialize)]
struct EventsQuery {
    from: u64,
    wait_ms: Option<u64>,
}

/// Serves an engine until stopped.
pub async fn serve(opts: EngineOptions) -> Result<(), Error> {
    let listen = opts.listen.clone();
    let engine = Box::leak(Box::new(Engine {
        incarnation: Incarnation(rand::rng().random()),
        version: AtomicU32::new(1),
        fencing: AtomicU64::new(0),
        cache: Mutex::new(Cache::new(&opts)),
        batch: Batch::default(),
        rejections: Rejections::new(&opts),
        report: Mutex::new(LoadReport {
            incarnation: Incarnation(0),
            version: ModelVersion(1),
            running: 0,
            waiting: 0,
            brittle: None,
        }),
        orders: Mutex::default(),
        answers: AtomicU64::new(0),
        opts,
    }));
    engine.refresh_report();
    tracing::info!(target: "engine", "engine: listening on {listen}, incarnation {}.", engine.incarnation);
    let engine: &'static Engine = engine;
    ntex::rt::spawn(refresh_periodically(engine));
    ntex::rt::spawn(batch::run(engine));
    web::HttpServer::new(move || {
        web::App::new()
            .state(engine)
            .state(web::types::JsonConfig::default().limit(BODY_LIMIT))
            .route("/v1/completions", web::post().to(complete))
            .route("/v1/events", web::get().to(events))
            .route("/v1/load", web::get().to(load))
            .route("/v1/admin/clear", web::post().to(clear))
            .route("/v1/admin/weights", web::post().to(weights))
            .route("/v1/admin/orders", web::get().to(orders))
    })
    .workers(2)
    .bind(&listen)
    .map_err(|e| Error::Io("bind", listen.clone(), e))?
    .run()
    .await
    .map_err(|e| Error::Io("serve", listen, e))
}

async fn complete(
    engine: types::State<&'static Engine>,
    http_request: HttpRequest,
    body: types::Json<EngineRequest>,
) -> HttpResponse {
    let engine: &'static Engine = *engine;
    let request = body.into_inner();
    let send_id = http_request.headers().get(SEND_ID).and_then(|id| id.to_str().ok());
    let send_id = send_id.unwrap_or_default();
    let version = engine.version();
    if engine.opts.refuse {
        let mut refusal = HttpResponse::ServiceUnavailable();
        refusal.header(NOT_EXECUTED, send_id);
        if !engine.opts.retry_after.is_empty() {
            refusal.header(RETRY_AFTER, engine.opts.retry_after.as_str());
        }
        return refusal.body("full");
    }
    if request.expect_version.is_some_and(|expected| expected != version) {
        return HttpResponse::Conflict()
            .header(NOT_EXECUTED, send_id)
            .body(format!("weights version is {version}"));
    }
    let Ok(workspace) = request.workspace.parse() else {
        return HttpResponse::BadRequest().header(NOT_EXECUTED, send_id).body("bad workspace");
    };
    if engine.rejections.is_enforced() && engine.batch.len() >= engine.opts.slots {
        engine.rejections.record();
        return HttpResponse::ServiceUnavailable().header(NOT_EXECUTED, send_id).body("no slot");
    }
    let prefix = Prefix::new(&request.prompt, &workspace, version);
    let (tx, rx) = mpsc::unbounded();
    engine.batch.push(request, prefix, version, engine.corrupts_next_response(), tx);
    HttpResponse::Ok()
        .content_type("text/event-stream")
        .header(WEIGHTS_VERSION, version.to_string())
        .streaming(rx)
}

async fn events(
    engine: types::State<&'static Engine>,
    query: types::Query<EventsQuery>,
) -> HttpResponse {
    let wait = Duration::from_millis(query.wait_ms.unwrap_or(0)).min(WAIT_LIMIT);
    let deadline = Instant::now() + wait;
    let version = engine.version();
    let (events, next) = loop {
        let page = engine.cache.lock().unwrap().events(query.from);
        if !page.0.is_empty() || Instant::now() >= deadline || engine.version() != version {
            break page;
        }
        ntex::time::sleep(WAIT_STEP).await;
    };
    HttpResponse::Ok().json(&CacheEvents {
        incarnation: engine.incarnation,
        version: engine.version(),
        next,
        events,
    })
}

async fn load(engine: types::State<&'static Engine>) -> HttpResponse {
    HttpResponse::Ok().json(&*engine.report.lock().unwrap())
}

async fn clear(engine: types::State<&'static Engine>) -> HttpResponse {
    engine.cache.lock().unwrap().clear();
    HttpResponse::NoContent().finish()
}

async fn weights(
    engine: types::State<&'static Engine>,
    body: types::Json<WeightsOrder>,
) -> HttpResponse {
    let WeightsOrder { version, fencing } = body.into_inner();
    let current = engine.fencing.load(Ordering::Acquire);
    let obeyed = !engine.opts.fenced || fencing.0 >= current;
    engine.orders.lock().unwrap().push(Order { version, fencing, obeyed });
    if !obeyed {
        tracing::info!(target: "engine", "engine: rejected weights order with fencing token {fencing} below {current}.");
        return HttpResponse::Conflict()
            .body(format!("fencing token {fencing} is below {current}"));
    }
    engine.fencing.fetch_max(fencing.0, Ordering::AcqRel);
    ntex::time::sleep(Duration::from_millis(engine.opts.weights_ms)).await;
    engine.version.store(version.0, Ordering::Release);
    engine.cache.lock().unwrap().clear();
    tracing::info!(target: "engine", "engine: now serving weights version {version}.");
    HttpResponse::NoContent().finish()
}

async fn orders(engine: types::State<&'static Engine>) -> HttpResponse {
    HttpResponse::Ok().json(&*engine.orders.lock().unwrap())
}

impl Engine {
    /// Whether the response that begins now gets a chunk under another request's id.
    fn corrupts_next_response(&self) -> bool {
        let every = self.opts.cross_every;
        every > 0 && self.answers.fetch_add(1, Ordering::Relaxed) % every == every - 1
    }

    fn version(&self) -> ModelVersion {
        ModelVersion(self.version.load(Ordering::Acquire))
    }

    fn refresh_report(&self) {
        *self.report.lock().unwrap() = LoadReport {
            incarnation: self.incarnation,
            version: self.version(),
            running: self.batch.running.load(Ordering::Relaxed),
            waiting: self.batch.waiting(),
            brittle: self.rejections.report(self.opts.slots),
        };
    }
}

/// Refreshes the load report and expires idle blocks, forever.
async fn refresh_periodically(engine: &'static Engine) {
    let step = Duration::from_millis(engine.opts.load_lag_ms.clamp(10, 60_000));
    loop {
        ntex::time::sleep(step).await;
        engine.refresh_report();
        engine.cache.lock().unwrap().expire();
    }
}
