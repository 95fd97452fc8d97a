//! Promises: a call that may not be repeated runs at most once, and a
//! refusal saying "not run" is true — on real processes.

#[path = "support/site.rs"]
mod site;

use std::io::Read;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use marjoram_core::wire::{ErrorBody, HostState, IDEMPOTENCY_KEY, Role};
use site::{Site, client, host, put_host, run, wait_for};

async fn alert(router: &str, key: &str) -> (u16, String, bool) {
    let mut response = client()
        .post(format!("http://{router}/v1/services/alerts"))
        .header(IDEMPOTENCY_KEY, key)
        .send_body("press 7 short shot")
        .await
        .expect("router answers");
    let replayed = response.headers().get("idempotent-replayed").is_some_and(|v| v == "true");
    let body = response.body().await.unwrap_or_default();
    (response.status().as_u16(), String::from_utf8_lossy(&body).into_owned(), replayed)
}

async fn runs(service: &str) -> u64 {
    let mut response = client().get(format!("http://{service}/v1/stats")).send().await.unwrap();
    let stats: serde_json::Value = serde_json::from_slice(&response.body().await.unwrap()).unwrap();
    stats["calls"].as_u64().unwrap()
}

async fn services_known(site: &Site) {
    for router in &site.routers {
        wait_for(|| async {
            site::state(router).await?["services"].as_array()?.first().map(|_| ())
        })
        .await;
    }
}

#[test]
fn retry_on_another_router_replays_instead_of_running_again() {
    let site = Site::start(1, 2, &[]);
    run(async move {
        services_known(&site).await;
        let (status, body, replayed) = alert(&site.routers[0], "line-4-alert-1").await;
        assert_eq!(status, 200, "{body}");
        assert!(!replayed);
        let (status, again, replayed) = alert(&site.routers[1], "line-4-alert-1").await;
        assert_eq!(status, 200, "{again}");
        assert!(replayed, "the second router replays the recorded outcome");
        assert_eq!(again, body);
        assert_eq!(runs(&site.service).await, 1, "the alert ran once");
    });
}

#[test]
fn log_outage_refuses_as_not_run_and_runs_nothing() {
    let site = Site::start(1, 1, &[]);
    run(async move {
        services_known(&site).await;
        client().post(format!("http://{}/v1/admin/outage?ms=1000", site.log)).send().await.unwrap();
        let (status, body, _) = alert(&site.routers[0], "sync-rev-b").await;
        assert_eq!(status, 503, "{body}");
        let refusal: ErrorBody = serde_json::from_str(&body).unwrap();
        assert!(refusal.error.not_run);
        assert_eq!(refusal.error.step, "append claim");
        assert_eq!(runs(&site.service).await, 0, "not run is true");
        ntex::time::sleep(Duration::from_millis(1100)).await;
        let (status, body, _) = alert(&site.routers[0], "sync-rev-b").await;
        assert_eq!(status, 200, "after the outage the call runs: {body}");
        assert_eq!(runs(&site.service).await, 1);
    });
}

#[test]
fn service_refusing_connections_is_not_run_and_can_be_retried() {
    let mut site = Site::start(1, 1, &[]);
    site.kill("service");
    let router = site.routers[0].clone();
    let mut site = run(async move {
        services_known(&site).await;
        let (status, body, _) = alert(&router, "dispatch-9").await;
        assert_eq!(status, 503, "{body}");
        let refusal: ErrorBody = serde_json::from_str(&body).unwrap();
        assert!(refusal.error.not_run, "{body}");
        site
    });
    site.start_service();
    run(async move {
        let (status, body, _) = alert(&site.routers[0], "dispatch-9").await;
        assert_eq!(status, 200, "the abandoned key runs on retry: {body}");
        assert_eq!(runs(&site.service).await, 1);
    });
}

/// A call whose claim the log took and never acknowledged, or took late, is
/// refused as not run, does not run, and can be called again.
#[test_case::test_case("lose?stream=claims&count=1" ; "answer lost")]
#[test_case::test_case("lose?stream=claims&count=1&late_ms=2500" ; "carried out after the abandon")]
fn unacknowledged_claim_is_not_run_and_can_be_retried(fault: &str) {
    let site = Site::start(1, 2, &[]);
    let fault = fault.to_string();
    run(async move {
        services_known(&site).await;
        site.log_fault(&fault).await;
        let (status, body, _) = alert(&site.routers[0], "line-2-alert-8").await;
        assert_eq!(status, 503, "{body}");
        let refusal: ErrorBody = serde_json::from_str(&body).unwrap();
        assert!(refusal.error.not_run, "{body}");
        assert_eq!(runs(&site.service).await, 0);
        ntex::time::sleep(Duration::from_millis(1000)).await;
        let (status, body, _) = alert(&site.routers[1], "line-2-alert-8").await;
        assert_eq!(status, 200, "given up unsent, so free again: {body}");
        assert_eq!(runs(&site.service).await, 1);
    });
}

/// A router that starts after old claims have expired still takes calls.
#[test]
fn calls_go_on_after_old_claims_have_expired() {
    let site = Site::start(1, 1, &[]);
    let mut site = run(async move {
        services_known(&site).await;
        assert_eq!(alert(&site.routers[0], "old").await.0, 200);
        site.log_fault("expire?stream=claims").await;
        site
    });
    site.kill("router0");
    site.start_router(0);
    site::wait_listening(&site.routers[0]);
    run(async move {
        services_known(&site).await;
        let (status, body, _) = alert(&site.routers[0], "new").await;
        assert_eq!(status, 200, "{body}");
        let (status, again, replayed) = alert(&site.routers[0], "new").await;
        assert_eq!((status, again, replayed), (200, body, true));
    });
}

/// A drawing is not text: its answer comes back byte for byte, live and
/// replayed, with its content type.
#[test]
fn answers_are_kept_byte_for_byte() {
    let site = Site::start(1, 2, &[]);
    run(async move {
        services_known(&site).await;
        let drawing: Vec<u8> = (0..=255).collect();
        for (router, replayed) in [(0, "false"), (1, "true")] {
            let mut response = client()
                .post(format!("http://{}/v1/services/echo", site.routers[router]))
                .header(IDEMPOTENCY_KEY, "drawing-7-rev-b")
                .send_body(drawing.clone())
                .await
                .unwrap();
            let headers = response.headers();
            assert_eq!(headers.get("idempotent-replayed").unwrap(), replayed);
            assert_eq!(headers.get("content-type").unwrap(), "application/octet-stream");
            assert_eq!(response.body().await.unwrap().to_vec(), drawing);
        }
        assert_eq!(runs(&site.service).await, 1);
    });
}

/// A service that reads a call and ends without an answer, as one that crashes
/// under it; counts the calls.
fn crashing_service() -> (String, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (addr, calls) = (listener.local_addr().unwrap(), Arc::new(AtomicUsize::new(0)));
    let counted = calls.clone();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut buf = [0u8; 4_096];
            if stream.read(&mut buf).is_ok_and(|read| read > 0) {
                counted.fetch_add(1, Ordering::SeqCst);
            }
        }
    });
    (addr.to_string(), calls)
}

/// The client reports a connection that ends without an answer like one that
/// could not be opened ("Connector has been disconnected"), so a call that a
/// service had run was sent to the next one, and refused as not run:
///
/// ```text
/// engine: crashing under request 17414282481498062848.
/// forward: send to engine 127.0.0.1:26410: refused: Connector has been disconnected
/// ```
#[test]
fn a_call_under_which_a_service_ends_is_sent_to_no_other() {
    let site = Site::start(1, 1, &[]);
    let services = [crashing_service(), crashing_service()];
    run(async move {
        let gone = host(&site.service, Role::Service, HostState::Leaving);
        put_host(&site.hosts, &gone).await;
        for (addr, _) in &services {
            put_host(&site.hosts, &host(addr, Role::Service, HostState::Live)).await;
        }
        wait_for(|| async {
            let listed = site::state(&site.routers[0]).await?["services"].as_array()?.len();
            (listed == 2).then_some(())
        })
        .await;
        let (status, body, _) = alert(&site.routers[0], "line-7-alert-1").await;
        let refusal: ErrorBody = serde_json::from_str(&body).unwrap();
        assert_eq!((status, refusal.error.not_run), (502, false), "{body}");
        let calls: usize = services.iter().map(|(_, calls)| calls.load(Ordering::SeqCst)).sum();
        assert_eq!(calls, 1, "the call ran at one service only");
    });
}
