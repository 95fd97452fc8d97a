//! The platform's host list, for tests and the demo.
//!
//! `PUT /v1/hosts` adds a [`HostEntry`], or replaces the entry with the same
//! address. `GET /v1/hosts` returns the list as it was `lag_ms` ago, or 304 when
//! the client already has that version.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use marjoram_core::wire::{HostEntry, HostList};
use ntex::web::{self, HttpResponse, types};
use serde::Deserialize;

use crate::error::Error;
use crate::options::HostsOptions;

struct Hosts {
    lag: Duration,
    history: Mutex<VecDeque<(Instant, HostList)>>,
}

#[derive(Debug, Deserialize)]
struct KnownVersion {
    version: Option<u64>,
}

/// Serves the host list until stopped.
pub async fn serve(opts: HostsOptions) -> Result<(), Error> {
    let listen = opts.listen.clone();
    let mut history = VecDeque::new();
    // Starts at a random version, so that versions from before a restart of this
    // process are not mistaken for current ones.
    let version = rand::random::<u32>().into();
    history.push_back((Instant::now(), HostList { version, hosts: Vec::new() }));
    let hosts: &'static Hosts = Box::leak(Box::new(Hosts {
        lag: Duration::from_millis(opts.lag_ms),
        history: Mutex::new(history),
    }));
    tracing::info!(target: "hosts", "hosts: listening on {listen}.");
    web::HttpServer::new(move || {
        web::App::new()
            .state(hosts)
            .route("/v1/hosts", web::put().to(put))
            .route("/v1/hosts", web::get().to(get))
    })
    .workers(1)
    .bind(&listen)
    .map_err(|e| Error::Io("bind", listen.clone(), e))?
    .run()
    .await
    .map_err(|e| Error::Io("serve", listen, e))
}

async fn put(hosts: types::State<&'static Hosts>, body: types::Json<HostEntry>) -> HttpResponse {
    let entry = body.into_inner();
    let mut history = hosts.history.lock().unwrap();
    let mut list = history.back().map(|(_, list)| list.clone()).unwrap_or_default();
    list.hosts.retain(|host| host.addr != entry.addr);
    list.hosts.push(entry);
    list.version += 1;
    history.push_back((Instant::now(), list));
    HttpResponse::NoContent().finish()
}

async fn get(
    hosts: types::State<&'static Hosts>,
    query: types::Query<KnownVersion>,
) -> HttpResponse {
    let now = Instant::now();
    let mut history = hosts.history.lock().unwrap();
    while history.len() > 1 && now.duration_since(history[1].0) >= hosts.lag {
        history.pop_front();
    }
    match &history[0].1 {
        list if query.version == Some(list.version) => HttpResponse::NotModified().finish(),
        list => HttpResponse::Ok().json(list),
    }
}
