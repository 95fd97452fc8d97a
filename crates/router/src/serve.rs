//! The HTTP face of a node and its life from start to graceful stop.
//!
//! - `POST /v1/completions`: a completion, streamed or whole.
//! - `GET /v1/route?dc=NAME`: which entry host a caller should use.
//! - `GET /debug/state`: the node's state as JSON.
//! - `GET /healthz`: 200 while serving, 503 while warming up or draining.
//!
//! On SIGTERM or SIGINT the node drains: `/v1/route` sends callers to other
//! routers, new completions get 503 with `Retry-After`, requests in flight
//! run to their end, and the server closes after the drain period.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use futures::SinkExt;
use futures::channel::mpsc;
use marjoram_core::ids::{RequestId, WorkspaceId};
use marjoram_core::members::Status;
use marjoram_core::wire::{
    Chunk, Completion, CompletionRequest, HostEntry, IDEMPOTENCY_KEY, RouteAnswer,
};
use ntex::util::Bytes;
use ntex::web::{self, HttpRequest, HttpResponse, types};
use rand::seq::SliceRandom;
use serde::Deserialize;

use crate::duty;
use crate::error::Error;
use crate::follow;
use crate::forward::{self, Out};
use crate::gossip;
use crate::job::Job;
use crate::node::Node;
use crate::once;
use crate::options::Settings;
use crate::peer;
use crate::warm;

type Shared = types::State<Arc<Node>>;
type Sender = mpsc::Sender<Result<Bytes, std::io::Error>>;

/// How long a draining router's route answers may be kept.
const DRAINING_TTL: Duration = Duration::from_secs(1);

/// Bytes a request body may carry beyond the prompt limit.
const BODY_SLACK: usize = 64 << 10;

/// Longest a drain waits for requests in flight after the drain period.
const DRAIN_LIMIT: Duration = Duration::from_secs(30);

/// Runs a node until it has drained after a signal.
pub async fn run(settings: Settings) -> Result<(), Error> {
    let listen = settings.listen;
    let workers = settings.workers;
    let node = Arc::new(Node::new(settings));
    let link = peer::link_addr(&node, &listen.to_string())?;
    let links =
        tokio::net::TcpListener::bind(link).await.map_err(|e| Error::Bind(link.to_string(), e))?;
    ntex::rt::spawn(peer::serve(node.clone(), links));
    ntex::rt::spawn(follow::config(node.clone()));
    ntex::rt::spawn(follow::hosts(node.clone()));
    ntex::rt::spawn(warm::start(node.clone()));
    ntex::rt::spawn(gossip::run(node.clone()));
    ntex::rt::spawn(duty::contend(node.clone()));
    ntex::rt::spawn(duty::keep(node.clone()));
    ntex::rt::spawn(once::follow(node.clone()));
    let shared = node.clone();
    let body_limit = node.settings.max_prompt + BODY_SLACK;
    let server = web::HttpServer::new(move || {
        web::App::new()
            .state(shared.clone())
            .state(web::types::PayloadConfig::new(body_limit))
            .route("/v1/completions", web::post().to(complete))
            .route("/v1/services/{name}", web::post().to(call_service))
            .route("/v1/route", web::get().to(route))
            .route("/debug/state", web::get().to(state))
            .route("/healthz", web::get().to(health))
    })
    .workers(workers)
    .disable_signals()
    .shutdown_timeout(ntex::time::Seconds(30))
    .bind(listen)
    .map_err(|e| Error::Bind(listen.to_string(), e))?
    .run();
    tracing::info!(target: "serve", "serve: listening on {listen} in {}.", node.settings.dc);
    ntex::rt::spawn(drain_on_signal(node, server.clone()));
    server.await.map_err(|e| Error::Bind(listen.to_string(), e))
}

async fn drain_on_signal(node: Arc<Node>, server: ntex::server::Server) {
    use tokio::signal::unix::{SignalKind, signal};
    let (Ok(mut term), Ok(mut int)) =
        (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        tracing::warn!(target: "serve", "serve: cannot watch signals; stop will not drain.");
        return;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    node.draining.store(true, Ordering::Release);
    tracing::info!(target: "serve", "serve: draining for {:?}.", node.settings.drain);
    gossip::declare(&node, Status::Draining).await;
    duty::release(&node).await;
    ntex::time::sleep(node.settings.drain).await;
    let deadline = Instant::now() + DRAIN_LIMIT;
    while node.inflight_total() > 0 && Instant::now() < deadline {
        ntex::time::sleep(Duration::from_millis(50)).await;
    }
    tracing::info!(target: "serve", "serve: drained, {} in flight; stopping.", node.inflight_total());
    server.stop(true).await;
}

async fn complete(node: Shared, request: HttpRequest, body: Bytes) -> HttpResponse {
    let node: Arc<Node> = node.get_ref().clone();
    let peer = request.peer_addr().map(|a| a.to_string()).unwrap_or_else(|| "caller".into());
    node.counters.requests.fetch_add(1, Ordering::Relaxed);
    match accept(&node, &peer, &body).await {
        Ok(response) => response,
        Err(error) => {
            node.counters.failed.fetch_add(1, Ordering::Relaxed);
            tracing::info!(target: "serve", "serve: refused: {error}.");
            reply_error(&error)
        }
    }
}

async fn accept(node: &Arc<Node>, peer: &str, body: &[u8]) -> Result<HttpResponse, Error> {
    if node.draining.load(Ordering::Acquire) {
        return Err(Error::Draining);
    }
    let request: CompletionRequest =
        serde_json::from_slice(body).map_err(|e| Error::Parse(peer.into(), e.to_string()))?;
    if request.prompt.len() > node.settings.max_prompt {
        return Err(Error::TooLarge(peer.into(), request.prompt.len(), node.settings.max_prompt));
    }
    let workspace: WorkspaceId = request
        .workspace
        .parse()
        .map_err(|e: marjoram_core::Error| Error::Parse(peer.into(), e.to_string()))?;
    if !node.configured.load(Ordering::Acquire) {
        return Err(Error::NotConfigured);
    }
    let active = node.active.load();
    let routing = *active
        .routing
        .get(&workspace)
        .ok_or_else(|| Error::UnknownWorkspace(peer.into(), workspace.to_string()))?;
    let id = RequestId(node.request_id());
    let streamed = request.stream;
    node.budget.earn();
    let mut job = Job::new(id, workspace, request, routing, node.settings.max_wait);
    let opened = forward::open(node, &mut job).await?;
    match streamed {
        true => {
            let (tx, rx) = mpsc::channel(64);
            ntex::rt::spawn(stream(node.clone(), job, opened, tx));
            Ok(HttpResponse::Ok().content_type("text/event-stream").streaming(rx))
        }
        false => {
            let mut whole = Whole(String::new(), opened.engine.addr.clone());
            let usage = forward::pump(node, &mut job, opened, &mut whole).await?;
            node.counters.answered.fetch_add(1, Ordering::Relaxed);
            Ok(HttpResponse::Ok().json(&Completion { id, text: whole.0, usage, engine: whole.1 }))
        }
    }
}

async fn stream(node: Arc<Node>, mut job: Job, opened: forward::Opened, tx: Sender) {
    let mut out = Sse(tx);
    let id = job.id;
    match forward::pump(&node, &mut job, opened, &mut out).await {
        Ok(_) => {
            node.counters.answered.fetch_add(1, Ordering::Relaxed);
            let _ = out.0.send(Ok(Bytes::from_static(b"data: [DONE]\n\n"))).await;
        }
        Err(error) => {
            node.counters.failed.fetch_add(1, Ordering::Relaxed);
            tracing::info!(target: "serve", "serve: stream {id} ended early: {error}.");
            let body = serde_json::to_string(&error.body()).unwrap_or_default();
            let _ = out.0.send(Ok(Bytes::from(format!("event: error\ndata: {body}\n\n")))).await;
        }
    }
}

/// Server-sent events to the caller.
struct Sse(Sender);

impl Out for Sse {
    async fn chunk(&mut self, chunk: &Chunk) -> bool {
        let line = format!("data: {}\n\n", serde_json::to_string(chunk).unwrap_or_default());
        self.0.send(Ok(Bytes::from(line))).await.is_ok()
    }
}

/// The whole answer, gathered, and the engine that first took it.
struct Whole(String, String);

impl Out for Whole {
    async fn chunk(&mut self, chunk: &Chunk) -> bool {
        self.0.push_str(&chunk.text);
        true
    }
}

fn reply_error(error: &Error) -> HttpResponse {
    let mut builder = HttpResponse::build(error.status());
    if let Some(wait) = error.retry_after() {
        builder.header("retry-after", wait.as_secs_f64().ceil().max(1.0).to_string());
    }
    builder.json(&error.body())
}

/// Forwards a call to a plain service.
///
/// With an idempotency key the call runs at most once (see `once`);
/// without one it is sent once and never retried: a refused connection is
/// answered "not run", anything later "outcome unknown".
async fn call_service(
    node: Shared,
    name: types::Path<String>,
    request: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    let node: Arc<Node> = node.get_ref().clone();
    if node.draining.load(Ordering::Acquire) {
        return reply_error(&Error::Draining);
    }
    let mut services = node.pool.load().services.clone();
    services.shuffle(&mut rand::rng());
    let call = once::Call { services, path: name.into_inner(), body };
    let key = request.headers().get(IDEMPOTENCY_KEY).and_then(|v| v.to_str().ok());
    let reply = match key {
        Some(key) => once::call(&node, key, call).await,
        None => once::call_plain(call).await,
    };
    match reply {
        once::Reply::Answer(answer, replayed) => {
            let status = ntex::http::StatusCode::from_u16(answer.status)
                .unwrap_or(ntex::http::StatusCode::BAD_GATEWAY);
            HttpResponse::build(status)
                .content_type(answer.kind.as_deref().unwrap_or("application/octet-stream"))
                .header("idempotent-replayed", if replayed { "true" } else { "false" })
                .body(answer.body)
        }
        once::Reply::Refused(error) => {
            tracing::info!(target: "serve", "serve: service call refused: {error}.");
            reply_error(&error)
        }
    }
}

/// Query of `GET /v1/route`.
#[derive(Debug, Deserialize)]
struct RouteQuery {
    dc: Option<String>,
    caller: Option<String>,
}

/// Answers which router a caller should use: a live one in the caller's
/// data centre if any, else any live one, spread by the caller's name. A
/// draining router never names itself; with no router listed yet, a live
/// router names itself.
async fn route(node: Shared, query: types::Query<RouteQuery>) -> HttpResponse {
    let draining = node.draining.load(Ordering::Acquire);
    let ttl = match draining {
        true => DRAINING_TTL,
        false => node.settings.route_ttl,
    };
    let entries = node.entries.load();
    let me = &node.settings.advertise;
    let usable: Vec<&HostEntry> = entries.iter().collect();
    let local: Vec<&HostEntry> =
        usable.iter().copied().filter(|r| Some(&r.dc) == query.dc.as_ref()).collect();
    let from = if local.is_empty() { usable } else { local };
    let spread = xxhash_rust::xxh3::xxh3_64(query.caller.as_deref().unwrap_or("").as_bytes());
    let (addr, dc) = match from.len() {
        0 if draining => return reply_error(&Error::Draining),
        0 if !node.fit() => return reply_error(&Error::NotConfigured),
        0 => (me.clone(), node.settings.dc.clone()),
        n => {
            let router = from[(spread % n as u64) as usize];
            (router.addr.clone(), router.dc.clone())
        }
    };
    HttpResponse::Ok().json(&RouteAnswer { addr, dc, ttl_ms: ttl.as_millis() as u64 })
}

async fn state(node: Shared) -> HttpResponse {
    let active = node.active.load();
    let pool = node.pool.load();
    let engines: Vec<_> = pool
        .engines
        .iter()
        .map(|e| {
            let index = usize::from(e.slot.0);
            serde_json::json!({
                "engine": e,
                "inflight": node.inflight[index].load(Ordering::Relaxed),
                "pending": node.pending(e.slot),
                "others": node.others[index].load(Ordering::Relaxed),
                "down": node.down[index].load(Ordering::Relaxed),
                "life": node.picture.life(e.slot),
            })
        })
        .collect();
    HttpResponse::Ok().json(&serde_json::json!({
        "advertise": node.settings.advertise,
        "dc": node.settings.dc,
        "draining": node.draining.load(Ordering::Acquire),
        "config": &**active,
        "engines": engines,
        "routers": pool.routers,
        "services": pool.services,
        "picture": node.picture.counts(),
        "counters": &node.counters,
        "claims": node.claims.lock().unwrap().len(),
        "ready": node.ready.load(Ordering::Acquire),
        "members": node.members.lock().unwrap().all().collect::<Vec<_>>(),
        "entries": &**node.entries.load(),
        "lease": {
            "holder": node.contender.lock().unwrap().holder(),
            "token": node.token(),
        },
        "weights": active.config.weights,
    }))
}

async fn health(node: Shared) -> HttpResponse {
    let ready = node.ready.load(Ordering::Acquire);
    match (node.draining.load(Ordering::Acquire), ready) {
        (true, _) => HttpResponse::ServiceUnavailable().body("draining"),
        (false, false) => HttpResponse::ServiceUnavailable().body("warming"),
        (false, true) => HttpResponse::Ok().body("ok"),
    }
}
