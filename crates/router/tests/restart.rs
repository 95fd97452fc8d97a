//! Guarantee: a restarted router serves without a cold cache index, whether one
//! router or all of them restart, also when configuration records have expired or
//! the log service is unavailable.

#[path = "support/site.rs"]
mod site;

use marjoram_core::wire::{Completion, ErrorBody};
use site::{Site, completion, post, run, state, wait_for};

/// Distinct prompts sent before a restart and again after it.
const PROMPTS: usize = 6;

/// Returns a request with the `n`th prompt, which is 20 blocks long.
fn nth_request(n: usize) -> String {
    completion("kili-checks", 320, 1, false).replace("w0 ", &format!("code{n} "))
}

/// Sends every prompt to `router` and returns the cached tokens of each. The
/// order differs from that of [`site_with_filled_caches`], so that round-robin
/// selection of engines cannot pass for routing by cache contents.
async fn send_all(router: &str) -> Vec<u64> {
    send(router, (0..PROMPTS).rev()).await
}

async fn send(router: &str, prompts: impl Iterator<Item = usize>) -> Vec<u64> {
    let mut cached = Vec::new();
    for n in prompts {
        let (status, text) =
            post(&format!("http://{router}/v1/completions"), &nth_request(n)).await;
        assert_eq!(status, 200, "{text}");
        let answer: Completion = serde_json::from_str(&text).unwrap();
        cached.push(answer.usage.cached_tokens.0);
    }
    cached
}

async fn entries(router: &str) -> Option<u64> {
    state(router).await?["picture"]["entries"].as_u64()
}

/// Starts a site and fills the engines' caches through its last router. If the
/// engines lose no events, waits until the first router has received them all,
/// else until the last router has all entries.
fn site_with_filled_caches(engines: usize, routers: usize, engine_args: &[&str]) -> Site {
    let site = Site::start(engines, routers, engine_args);
    let lossless = engine_args.starts_with(&["--event-loss", "0"]);
    run(async move {
        let offset = site.configure("kili-checks", "prefix-aware").await;
        site.wait_config_applied(offset).await;
        for i in 0..routers {
            site.wait_ready(i).await;
        }
        let last = site.routers.last().unwrap().clone();
        assert_eq!(send(&last, 0..PROMPTS).await, vec![0; PROMPTS], "caches start empty");
        let indexed = if lossless { site.routers[0].clone() } else { last };
        wait_for(|| async { entries(&indexed).await.filter(|n| *n >= 20 * PROMPTS as u64) }).await;
        site
    })
}

#[test]
fn restarted_router_copies_the_cache_index_from_another_router() {
    // The engines lose every cache event, so only another router has the entries.
    let mut site = site_with_filled_caches(3, 2, &["--event-loss", "1", "--idle-ms", "60000"]);
    site.kill("router0");
    site.start_router(0);
    run(async move {
        site.wait_ready(0).await;
        let cached = send_all(&site.routers[0]).await;
        assert_eq!(
            cached,
            vec![320; PROMPTS],
            "every prompt was routed to the engine that has it cached"
        );
    });
}

#[test]
fn cache_index_is_rebuilt_from_the_engines_when_all_routers_restart() {
    let mut site = site_with_filled_caches(3, 2, &["--event-loss", "0", "--idle-ms", "60000"]);
    site.kill("router0");
    site.kill("router1");
    site.start_router(0);
    site.start_router(1);
    run(async move {
        for i in 0..2 {
            site.wait_ready(i).await;
            let cached = send_all(&site.routers[i]).await;
            assert_eq!(
                cached,
                vec![320; PROMPTS],
                "router {i} routed each prompt to the engine that has it cached"
            );
        }
    });
}

#[test]
fn configuration_survives_expiry_of_its_records_and_a_restart() {
    let site = site_with_filled_caches(1, 1, &[]);
    let mut site = run(async move {
        wait_for(|| async {
            let log = format!("http://{}/v1/streams/snapshots?last=1", site.log);
            let body = site::client().get(log).send().await.ok()?.body().await.ok()?;
            let read: marjoram_core::wire::LogRead = serde_json::from_slice(&body).ok()?;
            read.records.last().filter(|r| r.body.contains("kili-checks")).map(|_| ())
        })
        .await;
        site.inject_log_fault("expire?stream=config").await;
        site
    });
    site.kill("router0");
    site.start_router(0);
    run(async move {
        site.wait_ready(0).await;
        send_all(&site.routers[0]).await;
        let change = site.configure("kili-checks", "maglev").await;
        site.wait_config_applied(change).await;
        let dump = state(&site.routers[0]).await.unwrap();
        assert_eq!(dump["config"]["routing"]["kili-checks"]["policy"], "maglev");
    });
}

#[test]
fn router_restarted_during_a_log_outage_serves_with_state_from_another_router() {
    let site = site_with_filled_caches(2, 2, &["--event-loss", "0", "--idle-ms", "60000"]);
    let mut site = run(async move {
        site.inject_log_fault("outage?ms=60000").await;
        site
    });
    site.kill("router0");
    site.start_router(0);
    run(async move {
        site.wait_ready(0).await;
        assert_eq!(send_all(&site.routers[0]).await, vec![320; PROMPTS]);
    });
}

#[test]
fn without_any_configuration_requests_are_refused_as_not_run() {
    let site = site_with_filled_caches(1, 1, &[]);
    let mut site = run(async move {
        site.inject_log_fault("outage?ms=2500").await;
        site
    });
    site.kill("router0");
    site.start_router(0);
    site::wait_listening(&site.routers[0]);
    run(async move {
        let (status, text) =
            post(&format!("http://{}/v1/completions", site.routers[0]), &nth_request(0)).await;
        assert_eq!(status, 503, "503, not 404, since the workspace may exist: {text}");
        let refusal: ErrorBody = serde_json::from_str(&text).unwrap();
        assert!(refusal.error.not_run);
        site.wait_ready(0).await;
        send_all(&site.routers[0]).await;
    });
}
