//! `GET /v1/route`: which entry host a caller should use.

use std::sync::atomic::Ordering;
use std::time::Duration;

use marjoram_core::wire::{HostEntry, RouteAnswer};
use ntex::web::{HttpResponse, types};
use serde::Deserialize;

use super::{Shared, reply_error};
use crate::error::Error;

/// How long a draining router's route answers may be kept.
const DRAINING_TTL: Duration = Duration::from_secs(1);

/// Query of `GET /v1/route`.
#[derive(Debug, Deserialize)]
pub struct RouteQuery {
    dc: Option<String>,
    caller: Option<String>,
}

/// Answers which router a caller should use: a live one in the caller's
/// data centre if any, else any live one, spread by the caller's name. A
/// draining router never names itself; with no router listed yet, a live
/// router names itself.
pub async fn route(node: Shared, query: types::Query<RouteQuery>) -> HttpResponse {
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
