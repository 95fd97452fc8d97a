//! A model engine with a prefix cache, for tests and the demo.
//!
//! - Prompts are cut into blocks as in [`marjoram_core::prefix`]; the
//!   longest cached run of leading blocks costs nothing to compute, every
//!   other token costs `prefill_us`. `slots` prompts compute at once; the
//!   rest wait, interactive before normal before batch.
//! - The cache holds `capacity` blocks, least recently used out first, and
//!   drops blocks left unused for `idle_ms`.
//! - Cache events are published `event_lag_ms` late and a share
//!   `event_loss` of them is lost, leaving a gap in the sequence.
//! - Load is reported every `load_lag_ms`, so it lags.
//! - `POST /v1/admin/weights` loads new weights under a fencing token, which
//!   takes `weights_ms`; a fenced engine refuses an older token, an unfenced
//!   one obeys it. `GET /v1/admin/orders` lists the orders received.
//! - Every `cross_every`th answer begins with a chunk of another request, as
//!   a faulty engine might mix answers up.

use std::collections::VecDeque;
use std::num::NonZeroUsize;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use futures::channel::mpsc;
use lru::LruCache;
use marjoram_core::ids::{
    BlockHash, Fencing, Incarnation, ModelVersion, Priority, RequestId, Tokens,
};
use marjoram_core::prefix::{BLOCK_TOKENS, Prefix};
use marjoram_core::wire::{
    CacheEvent, CacheEvents, Chunk, EngineRequest, EventKind, LoadReport, NOT_EXECUTED, Usage,
    WEIGHTS_VERSION, WeightsOrder,
};
use ntex::web::{self, HttpResponse, types};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use crate::error::Error;
use crate::options::EngineOptions;

/// Largest request body, in bytes.
const BODY_LIMIT: usize = 8 << 20;

/// Events kept for readers; older ones are gone for good.
const EVENTS_KEPT: usize = 100_000;

/// The engine's whole state.
struct Engine {
    opts: EngineOptions,
    incarnation: Incarnation,
    version: AtomicU32,
    fencing: AtomicU64,
    cache: Mutex<LruCache<BlockHash, Instant>>,
    events: Mutex<Events>,
    queue: Mutex<Queue>,
    running: AtomicU32,
    waiting: AtomicU32,
    report: Mutex<LoadReport>,
    orders: Mutex<Vec<Order>>,
    answers: AtomicU64,
}

/// An order received, and whether it was obeyed.
#[derive(Debug, Clone, Copy, Serialize)]
struct Order {
    version: ModelVersion,
    fencing: Fencing,
    obeyed: bool,
}

/// Published events, each visible from its instant on.
struct Events {
    next: u64,
    kept: VecDeque<(Instant, CacheEvent)>,
    rng: ChaCha8Rng,
}

/// Prompts waiting for a compute slot, by priority.
#[derive(Default)]
struct Queue {
    free: usize,
    waiters: Vec<(Priority, u64, futures::channel::oneshot::Sender<()>)>,
    ticket: u64,
}

/// Query of `GET /v1/events`.
#[derive(Debug, Deserialize)]
struct From {
    from: u64,
}

/// Serves an engine until stopped.
pub async fn serve(opts: EngineOptions) -> Result<(), Error> {
    let listen = opts.listen.clone();
    let seed = opts.seed;
    let engine = Box::leak(Box::new(Engine {
        incarnation: Incarnation(rand::rng().random()),
        version: AtomicU32::new(1),
        fencing: AtomicU64::new(0),
        cache: Mutex::new(LruCache::new(NonZeroUsize::new(opts.capacity.max(1)).unwrap())),
        events: Mutex::new(Events {
            next: 0,
            kept: VecDeque::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }),
        queue: Mutex::new(Queue { free: opts.slots.max(1), ..Queue::default() }),
        running: AtomicU32::new(0),
        waiting: AtomicU32::new(0),
        report: Mutex::new(LoadReport {
            incarnation: Incarnation(0),
            version: ModelVersion(1),
            running: 0,
            waiting: 0,
        }),
        orders: Mutex::default(),
        answers: AtomicU64::new(0),
        opts,
    }));
    engine.refresh_report();
    tracing::info!(target: "engine", "engine: listening on {listen}, incarnation {}.", engine.incarnation);
    ntex::rt::spawn(sweep(engine));
    let engine: &'static Engine = engine;
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
    body: types::Json<EngineRequest>,
) -> HttpResponse {
    let engine: &'static Engine = *engine;
    let request = body.into_inner();
    let version = ModelVersion(engine.version.load(Ordering::Acquire));
    if engine.opts.refuse {
        return HttpResponse::ServiceUnavailable().header(NOT_EXECUTED, "true").body("full");
    }
    if request.expect_version.is_some_and(|due| due != version) {
        return HttpResponse::Conflict()
            .header(NOT_EXECUTED, "true")
            .body(format!("weights version is {version}"));
    }
    let (tx, rx) = mpsc::channel::<Result<ntex::util::Bytes, std::io::Error>>(64);
    ntex::rt::spawn(generate(engine, version, request, tx));
    HttpResponse::Ok()
        .content_type("text/event-stream")
        .header(WEIGHTS_VERSION, version.to_string())
        .streaming(rx)
}

async fn generate(
    engine: &'static Engine,
    version: ModelVersion,
    request: EngineRequest,
    mut tx: mpsc::Sender<Result<ntex::util::Bytes, std::io::Error>>,
) {
    use futures::SinkExt;
    let Ok(workspace) = request.workspace.parse() else {
        return;
    };
    let prefix = Prefix::new(&request.prompt, &workspace, version);
    engine.acquire(request.priority).await;
    let cached = engine.lookup(&prefix.blocks);
    let computed = prefix.tokens.0 - cached.min(prefix.tokens.0);
    let cost = Duration::from_micros(computed * engine.opts.prefill_us + cached);
    if !cost.is_zero() {
        ntex::time::sleep(cost).await;
    }
    engine.store(&prefix.blocks);
    engine.release();
    let usage = Usage {
        prompt_tokens: prefix.tokens,
        cached_tokens: Tokens(cached),
        completion_tokens: Tokens(u64::from(request.max_tokens)),
    };
    for seq in request.resume_from..request.max_tokens {
        let last = seq + 1 == request.max_tokens;
        let crossed = seq == request.resume_from && engine.crosses();
        let chunk = Chunk {
            id: if crossed { RequestId(request.id.0 ^ 1) } else { request.id },
            seq,
            text: format!("t{}.{seq}v{version} ", request.id),
            usage: last.then_some(usage),
        };
        let line = format!("data: {}\n\n", serde_json::to_string(&chunk).unwrap_or_default());
        if tx.send(Ok(line.into())).await.is_err() {
            return;
        }
        if !last {
            ntex::time::sleep(Duration::from_millis(engine.opts.decode_ms)).await;
        }
    }
}

async fn events(engine: types::State<&'static Engine>, query: types::Query<From>) -> HttpResponse {
    let now = Instant::now();
    let events = engine.events.lock().unwrap();
    let list: Vec<CacheEvent> = events
        .kept
        .iter()
        .filter(|(at, event)| *at <= now && event.seq >= query.from)
        .map(|(_, event)| event.clone())
        .collect();
    let visible = list.last().map(|e| e.seq + 1).unwrap_or(query.from);
    HttpResponse::Ok().json(&CacheEvents {
        incarnation: engine.incarnation,
        version: ModelVersion(engine.version.load(Ordering::Acquire)),
        next: visible.max(query.from),
        events: list,
    })
}

async fn load(engine: types::State<&'static Engine>) -> HttpResponse {
    HttpResponse::Ok().json(&*engine.report.lock().unwrap())
}

async fn clear(engine: types::State<&'static Engine>) -> HttpResponse {
    engine.cache.lock().unwrap().clear();
    engine.publish(EventKind::Cleared, Vec::new());
    HttpResponse::NoContent().finish()
}

async fn weights(
    engine: types::State<&'static Engine>,
    body: types::Json<WeightsOrder>,
) -> HttpResponse {
    let WeightsOrder { version, fencing } = body.into_inner();
    let held = engine.fencing.load(Ordering::Acquire);
    let obeyed = !engine.opts.fenced || fencing.0 >= held;
    engine.orders.lock().unwrap().push(Order { version, fencing, obeyed });
    if !obeyed {
        tracing::info!(target: "engine", "engine: refused weights order with fencing token {fencing} below {held}.");
        return HttpResponse::Conflict().body(format!("fencing token {fencing} is below {held}"));
    }
    engine.fencing.fetch_max(fencing.0, Ordering::AcqRel);
    ntex::time::sleep(Duration::from_millis(engine.opts.weights_ms)).await;
    engine.version.store(version.0, Ordering::Release);
    engine.cache.lock().unwrap().clear();
    engine.publish(EventKind::Cleared, Vec::new());
    tracing::info!(target: "engine", "engine: now serving weights version {version}.");
    HttpResponse::NoContent().finish()
}

async fn orders(engine: types::State<&'static Engine>) -> HttpResponse {
    HttpResponse::Ok().json(&*engine.orders.lock().unwrap())
}

impl Engine {
    /// Whether the answer now beginning is one to mix up.
    fn crosses(&self) -> bool {
        let every = self.opts.cross_every;
        every > 0 && self.answers.fetch_add(1, Ordering::Relaxed) % every == every - 1
    }

    /// Waits for a compute slot; higher priority first, then arrival.
    async fn acquire(&self, priority: Priority) {
        let rx = {
            let mut queue = self.queue.lock().unwrap();
            if queue.free > 0 && queue.waiters.is_empty() {
                queue.free -= 1;
                self.running.fetch_add(1, Ordering::Relaxed);
                return;
            }
            let (tx, rx) = futures::channel::oneshot::channel();
            queue.ticket += 1;
            let ticket = queue.ticket;
            queue.waiters.push((priority, ticket, tx));
            self.waiting.fetch_add(1, Ordering::Relaxed);
            rx
        };
        let _ = rx.await;
    }

    /// Hands the slot to the best waiter, or frees it.
    fn release(&self) {
        let mut queue = self.queue.lock().unwrap();
        loop {
            let best = (0..queue.waiters.len())
                .max_by_key(|&i| (queue.waiters[i].0, std::cmp::Reverse(queue.waiters[i].1)));
            match best {
                None => {
                    queue.free += 1;
                    self.running.fetch_sub(1, Ordering::Relaxed);
                    return;
                }
                Some(index) => {
                    let (_, _, tx) = queue.waiters.swap_remove(index);
                    self.waiting.fetch_sub(1, Ordering::Relaxed);
                    if tx.send(()).is_ok() {
                        return;
                    }
                }
            }
        }
    }

    /// Cached prompt tokens: the longest run of leading blocks held.
    fn lookup(&self, blocks: &[BlockHash]) -> u64 {
        let mut cache = self.cache.lock().unwrap();
        let held = blocks.iter().take_while(|block| cache.get(*block).is_some()).count();
        (held * BLOCK_TOKENS) as u64
    }

    /// Holds `blocks`, evicting the least recently used beyond capacity.
    fn store(&self, blocks: &[BlockHash]) {
        let now = Instant::now();
        let mut fresh = Vec::new();
        let mut evicted = Vec::new();
        {
            let mut cache = self.cache.lock().unwrap();
            for block in blocks {
                match cache.push(*block, now) {
                    None => fresh.push(*block),
                    Some((old, _)) if old != *block => {
                        fresh.push(*block);
                        evicted.push(old);
                    }
                    Some(_) => {}
                }
            }
        }
        if !evicted.is_empty() {
            self.publish(EventKind::Removed, evicted);
        }
        if !fresh.is_empty() {
            self.publish(EventKind::Stored, fresh);
        }
    }

    /// Publishes an event after the lag, unless it is lost.
    fn publish(&self, kind: EventKind, blocks: Vec<BlockHash>) {
        let visible = Instant::now() + Duration::from_millis(self.opts.event_lag_ms);
        let mut events = self.events.lock().unwrap();
        let seq = events.next;
        events.next += 1;
        let lost = self.opts.event_loss > 0.0 && events.rng.random_bool(self.opts.event_loss);
        if lost {
            return;
        }
        events.kept.push_back((visible, CacheEvent { seq, kind, blocks }));
        if events.kept.len() > EVENTS_KEPT {
            events.kept.pop_front();
        }
    }

    fn refresh_report(&self) {
        *self.report.lock().unwrap() = LoadReport {
            incarnation: self.incarnation,
            version: ModelVersion(self.version.load(Ordering::Acquire)),
            running: self.running.load(Ordering::Relaxed),
            waiting: self.waiting.load(Ordering::Relaxed),
        };
    }

    /// Drops blocks left unused for `idle_ms`.
    fn expire(&self) {
        let horizon = Duration::from_millis(self.opts.idle_ms);
        let now = Instant::now();
        let mut evicted = Vec::new();
        {
            let mut cache = self.cache.lock().unwrap();
            while let Some((_, at)) = cache.peek_lru() {
                if now.duration_since(*at) < horizon {
                    break;
                }
                if let Some((block, _)) = cache.pop_lru() {
                    evicted.push(block);
                }
            }
        }
        if !evicted.is_empty() {
            self.publish(EventKind::Removed, evicted);
        }
    }
}

/// Refreshes the load report and expires idle blocks, forever.
async fn sweep(engine: &'static Engine) {
    let step = Duration::from_millis(engine.opts.load_lag_ms.clamp(10, 60_000));
    loop {
        ntex::time::sleep(step).await;
        engine.refresh_report();
        engine.expire();
    }
}
