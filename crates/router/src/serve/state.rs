//! `GET /debug/state` and `GET /healthz`: the node's state and health.

use std::sync::atomic::Ordering;

use ntex::web::HttpResponse;

use super::Shared;

pub async fn state(node: Shared) -> HttpResponse {
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
                "prefill_ns_per_token": node.prefill_time[index].nanos_per_token(),
                "others": node.remote_load[index].load(Ordering::Relaxed),
                "down": node.down[index].load(Ordering::Relaxed),
                "life": node.cache_index.life(e.slot),
            })
        })
        .collect();
    HttpResponse::Ok().json(&serde_json::json!({
        "advertise": node.settings.advertise,
        "dc": node.settings.dc,
        "draining": node.draining.load(Ordering::Acquire),
        "config": &**active,
        "engines": engines,
        "lost_links": node.upstream_links.lost(),
        "routers": pool.routers,
        "services": pool.services,
        "picture": node.cache_index.counts(),
        "counters": &node.counters,
        "claims": node.claims.lock().unwrap().len(),
        "quarantine": node.poison.entries(),
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

pub async fn health(node: Shared) -> HttpResponse {
    let ready = node.ready.load(Ordering::Acquire);
    match (node.draining.load(Ordering::Acquire), ready) {
        (true, _) => HttpResponse::ServiceUnavailable().body("draining"),
        (false, false) => HttpResponse::ServiceUnavailable().body("warming"),
        (false, true) => HttpResponse::Ok().body("ok"),
    }
}
