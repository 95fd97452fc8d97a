//! `GET /v1/route`: which entry host a caller should use.

use std::sync::atomic::Ordering;
use std::time::Duration;

use marjoram_core::wire::{HostEntry, RouteAnswer};
use ntex::web::{HttpResponse, types};
use serde::Deserialize;

use super::{Shared, reply_error};
use crate::error::Error;

/// How long callers may cache a draining router's route answers.
const DRAINING_TTL: Duration = Duration::from_secs(1);

/// Query of `GET /v1/route`.
#[derive(Debug, Deserialize)]
pub struct RouteQuery {
    dc: Option<String>,
    caller: Option<String>,
}

/// Returns the router that a caller should use: a usable one in the caller's data
/// centre if there is one, else any usable one; callers are spread by a hash of their
/// name. If no usable router is known, this router returns its own address, unless it
/// is draining or not ready.
pub async fn route(node: Shared, query: types::Query<RouteQuery>) -> HttpResponse {
    let draining = node.draining.load(Ordering::Acquire);
    let ttl = match draining {
        true => DRAINING_TTL,
        false => node.settings.route_ttl,
    };
    let entries = node.entries.load();
    let me = &node.settings.advertise;
    let candidates: Vec<&HostEntry> = entries.iter().collect();
    let local: Vec<&HostEntry> =
        candidates.iter().copied().filter(|r| Some(&r.dc) == query.dc.as_ref()).collect();
    let from = if local.is_empty() { candidates } else { local };
    let caller_hash = xxhash_rust::xxh3::xxh3_64(query.caller.as_deref().unwrap_or("").as_bytes());
    let (addr, dc) = match from.len() {
        0 if draining => return reply_error(&Error::Draining),
        0 if !node.is_available() => return reply_error(&Error::NotConfigured),
        0 => (me.clone(), node.settings.dc.clone()),
        n => {
            let router = from[(caller_hash % n as u64) as usize];
            (router.addr.clone(), router.dc.clone())
        }
    };
    HttpResponse::Ok().json(&RouteAnswer { addr, dc, ttl_ms: ttl.as_millis() as u64 })
}
