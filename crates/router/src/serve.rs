//! The HTTP interface of a node, and its start and graceful shutdown.
//!
//! - `POST /v1/completions`: a completion, streamed or in one response.
//! - `POST /v1/services/{name}`: a call to a plain service.
//! - `GET /v1/route?dc=NAME`: which entry host a caller should use.
//! - `GET /debug/state`: the node's state as JSON.
//! - `GET /healthz`: 200 while serving, 503 while starting up or draining.
//!
//! On SIGTERM or SIGINT the node drains: `/v1/route` sends callers to other
//! routers, new completions get 503 with `Retry-After`, requests in flight
//! are completed, and the server stops after the drain period.

mod answer_body;
mod callers;
mod complete;
mod peers;
mod route;
mod service;
mod serving;
mod state;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use marjoram_core::members::Status;
use ntex::util::Bytes;
use ntex::web::{HttpResponse, types};
use ntex_server::{Server, WorkerPool};

use crate::at_most_once;
use crate::error::Error;
use crate::follow;
use crate::gossip;
use crate::lease_tasks;
use crate::node::Node;
use crate::options::Settings;
use crate::peer;
use crate::poison;
use crate::request_limits::HeldRequest;
use crate::slot_grants;
use crate::startup;
use callers::{Accepted, Workers};
use serving::Serving;

type Shared = types::State<Arc<Node>>;

/// Longest wait for requests in flight after the drain period.
const DRAIN_LIMIT: Duration = Duration::from_secs(30);

/// Longest wait for connections to close after that.
const STOP_TIMEOUT: ntex::time::Seconds = ntex::time::Seconds(30);

/// Runs a node until it has drained after SIGTERM or SIGINT.
pub async fn run(settings: Settings) -> Result<(), Error> {
    let listen = settings.listen;
    let workers = settings.workers;
    let node = Arc::new(Node::new(settings));
    let link = peer::link_addr(&node, &listen.to_string())?;
    let backlog = node.request_limits.backlog;
    let links = crate::listen::listen(link, backlog)?;
    let callers = crate::listen::listen(listen, backlog)?;
    ntex::rt::spawn(peers::serve(node.clone(), links));
    ntex::rt::spawn(follow::config(node.clone()));
    ntex::rt::spawn(follow::hosts(node.clone()));
    ntex::rt::spawn(startup::start(node.clone()));
    ntex::rt::spawn(gossip::run(node.clone()));
    ntex::rt::spawn(lease_tasks::contend(node.clone()));
    ntex::rt::spawn(lease_tasks::run_holder_tasks(node.clone()));
    ntex::rt::spawn(slot_grants::run(node.clone()));
    ntex::rt::spawn(at_most_once::follow(node.clone()));
    ntex::rt::spawn(poison::follow(node.clone()));
    let serving = Workers::new(node.clone());
    let server = WorkerPool::new()
        .workers(workers)
        .disable_signals()
        .shutdown_timeout(STOP_TIMEOUT)
        .run(serving.clone());
    ntex::rt::spawn(serving.accept(callers, server.clone()));
    tracing::info!(target: "serve", "serve: listening on {listen} in {}.", node.settings.dc);
    ntex::rt::spawn(drain_on_signal(node, server.clone()));
    server.await.map_err(|e| Error::Bind(listen.to_string(), e))
}

async fn drain_on_signal(node: Arc<Node>, server: Server<Accepted>) {
    use tokio::signal::unix::{SignalKind, signal};
    let (Ok(mut term), Ok(mut int)) =
        (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        tracing::warn!(target: "serve", "serve: cannot install signal handlers; the node will not drain when stopped.");
        return;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    node.draining.store(true, Ordering::Release);
    tracing::info!(target: "serve", "serve: draining for {:?}.", node.settings.drain);
    gossip::announce_status(&node, Status::Draining).await;
    lease_tasks::release(&node).await;
    ntex::time::sleep(node.settings.drain).await;
    let deadline = Instant::now() + DRAIN_LIMIT;
    // The server closes connections when it stops, also those of requests being served.
    let serving = || node.serving.load(Ordering::Acquire);
    while serving() > 0 && Instant::now() < deadline {
        ntex::time::sleep(Duration::from_millis(50)).await;
    }
    tracing::info!(target: "serve", "serve: drained, {} tasks still serve; stopping.", serving());
    server.stop(true).await;
}

/// Reads the body of a request; counts one that is refused for others.
async fn read_body(
    node: &Node,
    payload: types::Payload,
    serving: &Serving,
) -> Result<(Bytes, HeldRequest), Error> {
    let limit = node.settings.body_limit();
    let read = node.request_limits.read(payload, limit, &serving.peer, serving.conn()).await;
    if let Err(error @ Error::Exhausted(..)) = &read {
        node.counters.exhausted.fetch_add(1, Ordering::Relaxed);
        node.request_limits.report("request refused", error, node.uptime());
    }
    read
}

fn reply_error(error: &Error) -> HttpResponse {
    let mut builder = HttpResponse::build(error.status());
    if let Some(seconds) = retry_seconds(error) {
        builder.header("retry-after", seconds.to_string());
    }
    builder.json(&error.body())
}

/// When the caller may retry after `error`, in whole seconds.
fn retry_seconds(error: &Error) -> Option<u64> {
    error.retry_after().map(|wait| wait.as_secs_f64().ceil().max(1.0) as u64)
}
