//! Promise: a restarted router serves with no cold start, alone or in a
//! herd, also when configuration records have expired or the log is down.

#[path = "support/site.rs"]
mod site;

use marjoram_core::wire::{Completion, ErrorBody};
use site::{Site, completion, post, run, state, wait_for};

/// Distinct prompts sent before a restart and again after it.
const PROMPTS: usize = 6;

/// A request whose prompt of 20 blocks is the `n`th.
fn nth(n: usize) -> String {
    completion("kili-checks", 320, 1, false).replace("w0 ", &format!("code{n} "))
}

/// Sends every prompt to `router`; the tokens each found cached. The order
/// is not that of [`filled`], lest engines taken in turn look like a memory.
async fn send_all(router: &str) -> Vec<u64> {
    send(router, (0..PROMPTS).rev()).await
}

async fn send(router: &str, prompts: impl Iterator<Item = usize>) -> Vec<u64> {
    let mut cached = Vec::new();
    for n in prompts {
        let (status, text) = post(&format!("http://{router}/v1/completions"), &nth(n)).await;
        assert_eq!(status, 200, "{text}");
        let answer: Completion = serde_json::from_str(&text).unwrap();
        cached.push(answer.usage.cached_tokens.0);
    }
    cached
}

async fn entries(router: &str) -> Option<u64> {
    state(router).await?["picture"]["entries"].as_u64()
}

/// Starts a site and fills the engines' caches through its last router; with
/// no event lost, returns once the first router has heard of all of them.
fn filled(engines: usize, routers: usize, engine_args: &[&str]) -> Site {
    let site = Site::start(engines, routers, engine_args);
    let lossless = engine_args.starts_with(&["--event-loss", "0"]);
    run(async move {
        let offset = site.configure("kili-checks", "prefix-aware").await;
        site.wait_in_force(offset).await;
        for i in 0..routers {
            site.wait_ready(i).await;
        }
        let last = site.routers.last().unwrap().clone();
        assert_eq!(send(&last, 0..PROMPTS).await, vec![0; PROMPTS], "caches start empty");
        let knows = if lossless { site.routers[0].clone() } else { last };
        wait_for(|| async { entries(&knows).await.filter(|n| *n >= 20 * PROMPTS as u64) }).await;
        site
    })
}

#[test]
fn restarted_router_takes_its_picture_from_another() {
    // The engines lose every cache event: only another router can tell.
    let mut site = filled(3, 2, &["--event-loss", "1", "--idle-ms", "60000"]);
    site.kill("router0");
    site.start_router(0);
    run(async move {
        site.wait_ready(0).await;
        let cached = send_all(&site.routers[0]).await;
        assert_eq!(cached, vec![320; PROMPTS], "every prompt went where it is cached");
    });
}

#[test]
fn herd_restart_rebuilds_the_picture_from_the_engines() {
    let mut site = filled(3, 2, &["--event-loss", "0", "--idle-ms", "60000"]);
    site.kill("router0");
    site.kill("router1");
    site.start_router(0);
    site.start_router(1);
    run(async move {
        for i in 0..2 {
            site.wait_ready(i).await;
            let cached = send_all(&site.routers[i]).await;
            assert_eq!(cached, vec![320; PROMPTS], "router {i} sent each where it is cached");
        }
    });
}

#[test]
fn configuration_outlives_its_records() {
    let site = filled(1, 1, &[]);
    let mut site = run(async move {
        wait_for(|| async {
            let log = format!("http://{}/v1/streams/snapshots?last=1", site.log);
            let body = site::client().get(log).send().await.ok()?.body().await.ok()?;
            let read: marjoram_core::wire::LogRead = serde_json::from_slice(&body).ok()?;
            read.records.last().filter(|r| r.body.contains("kili-checks")).map(|_| ())
        })
        .await;
        site.log_fault("expire?stream=config").await;
        site
    });
    site.kill("router0");
    site.start_router(0);
    run(async move {
        site.wait_ready(0).await;
        send_all(&site.routers[0]).await;
        let swap = site.configure("kili-checks", "maglev").await;
        site.wait_in_force(swap).await;
        let dump = state(&site.routers[0]).await.unwrap();
        assert_eq!(dump["config"]["routing"]["kili-checks"]["policy"], "maglev");
    });
}

#[test]
fn router_restarted_while_the_log_is_down_serves_from_another() {
    let site = filled(2, 2, &["--event-loss", "0", "--idle-ms", "60000"]);
    let mut site = run(async move {
        site.log_fault("outage?ms=60000").await;
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
    let site = filled(1, 1, &[]);
    let mut site = run(async move {
        site.log_fault("outage?ms=2500").await;
        site
    });
    site.kill("router0");
    site.start_router(0);
    site::wait_listening(&site.routers[0]);
    run(async move {
        let (status, text) =
            post(&format!("http://{}/v1/completions", site.routers[0]), &nth(0)).await;
        assert_eq!(status, 503, "not 404: the workspace may well exist: {text}");
        let refusal: ErrorBody = serde_json::from_str(&text).unwrap();
        assert!(refusal.error.not_run);
        site.wait_ready(0).await;
        send_all(&site.routers[0]).await;
    });
}
