//! A non-idempotent service, such as one that raises press-line alerts: its
//! calls must not be repeated.
//!
//! `POST /v1/alerts` runs the call and counts it under the request's
//! idempotency key. The service does not deduplicate, so a repeated call is
//! visible as a key with more than one run. `POST /v1/echo` also runs the call
//! and returns the request body unchanged. `GET /v1/stats` returns [`Stats`];
//! `GET /v1/runs/{key}` returns the number of runs of one key.

use std::collections::HashMap;
use std::sync::Mutex;

use marjoram_core::wire::IDEMPOTENCY_KEY;
use ntex::web::{self, HttpRequest, HttpResponse, types};
use serde::{Deserialize, Serialize};

use crate::error::Error;
use crate::options::ServiceOptions;

/// Counts of the calls the service has run.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct Stats {
    /// Number of calls run.
    pub calls: u64,
    /// Number of distinct idempotency keys.
    pub keys: u64,
    /// Number of keys with more than one run.
    pub repeated: u64,
}

struct Service {
    runs: Mutex<HashMap<String, u64>>,
}

/// Serves the non-idempotent service until stopped.
pub async fn serve(opts: ServiceOptions) -> Result<(), Error> {
    let listen = opts.listen.clone();
    let service: &'static Service = Box::leak(Box::new(Service { runs: Mutex::default() }));
    tracing::info!(target: "service", "service: listening on {listen}.");
    web::HttpServer::new(move || {
        web::App::new()
            .state(service)
            .route("/v1/alerts", web::post().to(alert))
            .route("/v1/echo", web::post().to(echo))
            .route("/v1/stats", web::get().to(stats))
            .route("/v1/runs/{key}", web::get().to(runs))
    })
    .workers(1)
    .bind(&listen)
    .map_err(|e| Error::Io("bind", listen.clone(), e))?
    .run()
    .await
    .map_err(|e| Error::Io("serve", listen, e))
}

/// Runs a call. The body is read although it is not used: a server that closes
/// a connection with unread bytes resets it, and the response is lost.
async fn alert(
    service: types::State<&'static Service>,
    request: HttpRequest,
    _body: ntex::util::Bytes,
) -> HttpResponse {
    let key = service.run(&request);
    HttpResponse::Ok().json(&serde_json::json!({ "dispatched": key }))
}

/// Runs a call and returns its body.
async fn echo(
    service: types::State<&'static Service>,
    request: HttpRequest,
    body: ntex::util::Bytes,
) -> HttpResponse {
    service.run(&request);
    HttpResponse::Ok().content_type("application/octet-stream").body(body)
}

impl Service {
    /// Counts a call under its idempotency key and returns the key.
    fn run(&self, request: &HttpRequest) -> String {
        let key = request.headers().get(IDEMPOTENCY_KEY).and_then(|v| v.to_str().ok());
        let key = key.unwrap_or("").to_owned();
        *self.runs.lock().unwrap().entry(key.clone()).or_insert(0) += 1;
        key
    }
}

/// Returns the number of runs under idempotency key `key`, as plain text.
async fn runs(service: types::State<&'static Service>, key: types::Path<String>) -> HttpResponse {
    let count = service.runs.lock().unwrap().get(key.as_str()).copied().unwrap_or(0);
    HttpResponse::Ok().body(count.to_string())
}

async fn stats(service: types::State<&'static Service>) -> HttpResponse {
    let runs = service.runs.lock().unwrap();
    HttpResponse::Ok().json(&Stats {
        calls: runs.values().sum(),
        keys: runs.len() as u64,
        repeated: runs.values().filter(|&&n| n > 1).count() as u64,
    })
}
