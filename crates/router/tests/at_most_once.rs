//! Guarantees, tested with real processes: a non-idempotent call runs at most
//! once, and a call refused as "not run" has not run.

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

async fn wait_services_listed(site: &Site) {
    for router in &site.routers {
        wait_for(|| async {
            site::state(router).await?["services"].as_array()?.first().map(|_| ())
        })
        .await;
    }
}

#[test]
fn retry_on_another_router_replays_the_outcome_and_does_not_run_the_call_again() {
    let site = Site::start(1, 2, &[]);
    run(async move {
        wait_services_listed(&site).await;
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
fn call_during_a_log_outage_is_refused_as_not_run_and_does_not_run() {
    let site = Site::start(1, 1, &[]);
    run(async move {
        wait_services_listed(&site).await;
        client().post(format!("http://{}/v1/admin/outage?ms=1000", site.log)).send().await.unwrap();
        let (status, body, _) = alert(&site.routers[0], "sync-rev-b").await;
        assert_eq!(status, 503, "{body}");
        let refusal: ErrorBody = serde_json::from_str(&body).unwrap();
        assert!(refusal.error.not_run);
        assert_eq!(refusal.error.step, "append claim");
        assert_eq!(runs(&site.service).await, 0, "a call refused as not run has not run");
        ntex::time::sleep(Duration::from_millis(1100)).await;
        let (status, body, _) = alert(&site.routers[0], "sync-rev-b").await;
        assert_eq!(status, 200, "after the outage the call runs: {body}");
        assert_eq!(runs(&site.service).await, 1);
    });
}

#[test]
fn call_to_a_service_that_refuses_connections_is_not_run_and_can_be_retried() {
    let mut site = Site::start(1, 1, &[]);
    site.kill("service");
    let router = site.routers[0].clone();
    let mut site = run(async move {
        wait_services_listed(&site).await;
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

/// When the log service appends a claim without acknowledging it, or appends it
/// late, the call is refused as not run, does not run, and can be retried.
#[test_case::test_case("lose?stream=claims&count=1" ; "answer lost")]
#[test_case::test_case("lose?stream=claims&count=1&late_ms=2500" ; "carried out after the abandon")]
fn unacknowledged_claim_is_not_run_and_can_be_retried(fault: &str) {
    let site = Site::start(1, 2, &[]);
    let fault = fault.to_string();
    run(async move {
        wait_services_listed(&site).await;
        site.inject_log_fault(&fault).await;
        let (status, body, _) = alert(&site.routers[0], "line-2-alert-8").await;
        assert_eq!(status, 503, "{body}");
        let refusal: ErrorBody = serde_json::from_str(&body).unwrap();
        assert!(refusal.error.not_run, "{body}");
        assert_eq!(runs(&site.service).await, 0);
        ntex::time::sleep(Duration::from_millis(1000)).await;
        let (status, body, _) = alert(&site.routers[1], "line-2-alert-8").await;
        assert_eq!(
            status, 200,
            "the claim was abandoned before the call was sent, so it can run now: {body}"
        );
        assert_eq!(runs(&site.service).await, 1);
    });
}

/// A router that starts after old claims have expired accepts calls.
#[test]
fn restarted_router_accepts_calls_after_old_claims_have_expired() {
    let site = Site::start(1, 1, &[]);
    let mut site = run(async move {
        wait_services_listed(&site).await;
        assert_eq!(alert(&site.routers[0], "old").await.0, 200);
        site.inject_log_fault("expire?stream=claims").await;
        site
    });
    site.kill("router0");
    site.start_router(0);
    site::wait_listening(&site.routers[0]);
    run(async move {
        wait_services_listed(&site).await;
        let (status, body, _) = alert(&site.routers[0], "new").await;
        assert_eq!(status, 200, "{body}");
        let (status, again, replayed) = alert(&site.routers[0], "new").await;
        assert_eq!((status, again, replayed), (200, body, true));
    });
}

/// A response that is not text, such as a drawing, is returned byte for byte with
/// its content type, both directly and when replayed.
#[test]
fn binary_responses_are_replayed_byte_for_byte() {
    let site = Site::start(1, 2, &[]);
    run(async move {
        wait_services_listed(&site).await;
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

/// Starts a service that reads a call and closes the connection without a
/// response, as one that crashes while running it does. Returns its address and
/// the counter of its calls.
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

/// Guards against a call that runs at several services. The HTTP client reports a
/// connection that closes without a response like one that could not be opened
/// ("Connector has been disconnected"). When the router takes that for an unsent
/// call, it sends a call that a service has run to the next service, and refuses
/// it as not run:
///
/// ```text
/// engine: crashing while running request 17414282481498062848.
/// forward: send to engine 127.0.0.1:26410: refused: Connector has been disconnected
/// ```
#[test]
fn call_is_not_sent_to_another_service_when_the_first_crashes_while_running_it() {
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
