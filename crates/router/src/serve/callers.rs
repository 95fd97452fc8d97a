//! Accepts the connections of callers, within their limits, and serves them by worker threads.
//!
//! The accept thread of the HTTP server library goes on accepting until its workers report that
//! they are full, and closes no connection for another one.

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use marjoram_core::peer_budget::Exhausted;
use ntex::http::HttpService;
use ntex::http::error::DispatchError;
use ntex::io::Io;
use ntex::service::{Service, ServiceCtx, ServiceFactory, boxed, map_config};
use ntex::time::Seconds;
use ntex::web::{self, dev::AppConfig};
use ntex_server::{Server, ServerConfiguration};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::{complete, retry_seconds, route, service, state};
use crate::caller_conns::CallerConn;
use crate::error::Error;
use crate::node::Node;

/// Pause after a failed accept, or until there is a worker.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Time-outs of the head of a request: until its first bytes, and in all; and the bytes a second
/// that it must arrive with in between.
const HEAD_TIMEOUT: Seconds = Seconds(1);
const MAX_HEAD_TIMEOUT: Seconds = Seconds(13);
const HEAD_RATE: u16 = 256;

/// An accepted connection.
#[derive(Debug)]
pub struct Accepted {
    stream: std::net::TcpStream,
    conn: CallerConn,
}

/// Creates the services of the worker threads.
#[derive(Clone)]
pub struct Workers {
    node: Arc<Node>,
    /// Set once no further connections are accepted.
    stopped: Arc<watch::Sender<bool>>,
}

impl Workers {
    /// Workers that serve the own interface of `node`.
    pub fn new(node: Arc<Node>) -> Self {
        Self { node, stopped: Arc::new(watch::Sender::new(false)) }
    }

    /// Accepts connections on `listener` and hands them to `server`, until it stops.
    pub async fn accept(self, listener: TcpListener, server: Server<Accepted>) {
        let mut stopped = self.stopped.subscribe();
        tokio::select! {
            // Err: the server has ended.
            _ = stopped.wait_for(|stopped| *stopped) => {}
            () = accept(&self.node, listener, server) => {}
        }
    }
}

async fn accept(node: &Arc<Node>, listener: TcpListener, server: Server<Accepted>) {
    let conns = &node.request_limits.callers;
    while let Ok(permit) = conns.permit().await {
        let accepted =
            listener.accept().await.and_then(|(stream, addr)| match conns.accept(addr, permit) {
                Ok(conn) => Ok(Some(Accepted { stream: stream.into_std()?, conn })),
                Err(why) => {
                    refuse(node, &stream, addr, why);
                    Ok(None)
                }
            });
        match accepted {
            Ok(Some(accepted)) => hand_over(&server, accepted).await,
            Ok(None) => {}
            Err(error) => {
                tracing::warn!(target: "serve", "serve: cannot accept a connection: {error}.");
                ntex::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Hands a connection to a worker, once there is one.
async fn hand_over(server: &Server<Accepted>, accepted: Accepted) {
    let mut waiting = accepted;
    while let Err(accepted) = server.process(waiting) {
        waiting = accepted;
        ntex::time::sleep(ACCEPT_PAUSE).await;
    }
}

/// Refuses a connection that there is no room for. Nothing of it has been read.
fn refuse(node: &Node, stream: &TcpStream, addr: SocketAddr, why: Exhausted) {
    node.counters.conns_refused.fetch_add(1, Ordering::Relaxed);
    let error = Error::Exhausted(addr.to_string(), why);
    node.request_limits.report("connection refused", &error, node.uptime());
    let body = serde_json::to_string(&error.body()).unwrap_or_default();
    let seconds = retry_seconds(&error).unwrap_or_default();
    let answer = format!(
        "HTTP/1.1 503 Service Unavailable\r\nretry-after: {seconds}\r\nconnection: close\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    if let Err(error) = stream.try_write(answer.as_bytes()) {
        tracing::debug!(target: "serve", "serve: refusal of a connection not sent: {error}.");
    }
}

impl ServerConfiguration for Workers {
    type Item = Accepted;
    type Factory = Self;

    async fn create(&self) -> Result<Self, ()> {
        Ok(self.clone())
    }

    fn terminate(&self) {
        self.stopped.send_replace(true);
    }

    async fn stop(&self) {
        self.stopped.send_replace(true);
    }
}

impl ServiceFactory<Accepted> for Workers {
    type Response = ();
    type Error = ();
    type Service = Worker;
    type InitError = ();

    async fn create(&self, (): ()) -> Result<Worker, ()> {
        let listen = self.node.settings.listen;
        let config = AppConfig::new(false, listen, listen.to_string());
        let app = web::App::new()
            .state(self.node.clone())
            .route("/v1/completions", web::post().to(complete::complete))
            .route("/v1/services/{name}", web::post().to(service::call_service))
            .route("/v1/route", web::get().to(route::route))
            .route("/debug/state", web::get().to(state::state))
            .route("/healthz", web::get().to(state::health));
        let http = HttpService::build()
            .headers_read_rate(HEAD_TIMEOUT, MAX_HEAD_TIMEOUT, HEAD_RATE)
            .finish(map_config(app, move |()| config.clone()));
        let http = ServiceFactory::<Io>::create(&http, ()).await.map_err(|error| {
            tracing::error!(target: "serve", "serve: cannot start a worker: {error:?}.");
        })?;
        Ok(Worker { node: self.node.clone(), http: boxed::service(http) })
    }
}

/// Serves the connections of one worker thread.
pub struct Worker {
    node: Arc<Node>,
    http: boxed::BoxService<Io, (), DispatchError>,
}

impl Service<Accepted> for Worker {
    type Response = ();
    type Error = ();

    async fn ready(&self, ctx: ServiceCtx<'_, Self>) -> Result<(), ()> {
        ctx.ready(&self.http).await.map_err(|_| ())
    }

    async fn shutdown(&self) {
        self.http.shutdown().await;
    }

    async fn call(&self, accepted: Accepted, ctx: ServiceCtx<'_, Self>) -> Result<(), ()> {
        let Accepted { stream, conn } = accepted;
        let io = ntex::rt::from_tcp_stream(stream).map_err(|error| {
            tracing::warn!(target: "serve", "serve: cannot serve a connection: {error}.");
        })?;
        let io_ref = io.get_ref();
        // The library frees the descriptor only if this ends by itself.
        let mut served = pin!(ctx.call(&self.http, io));
        let given_up = tokio::select! {
            biased;
            why = conn.wait_given_up() => Some(why),
            // Err: logged by the library; the connection has ended.
            _ = &mut served => None,
        };
        if let Some(why) = given_up {
            self.node.counters.idle_closed.fetch_add(1, Ordering::Relaxed);
            self.node.request_limits.report(
                "connection closed for others",
                &why,
                self.node.uptime(),
            );
            io_ref.force_close();
            let _ = served.await;
        }
        Ok(())
    }
}
