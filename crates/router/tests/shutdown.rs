//! Guarantee: a graceful shutdown interrupts no request.
//!
//! After SIGTERM to a router with streams in flight, every stream still ends
//! with `[DONE]`, callers that ask for a route are directed to the other router,
//! and new completions are refused as not run with `Retry-After`.

#[path = "support/site.rs"]
mod site;

use std::time::Duration;

use eventsource_stream::Eventsource;
use futures::StreamExt;
use marjoram_core::wire::{ErrorBody, RouteAnswer};
use site::{Site, client, completion, run};

async fn stream_to_end(url: String) -> Result<u32, String> {
    let response = client()
        .post(url)
        .header("content-type", "application/json")
        .send_body(completion("kili-checks", 48, 25, true))
        .await
        .map_err(|e| e.to_string())?;
    let mut events = response.eventsource();
    let mut chunks = 0;
    while let Some(event) = events.next().await {
        let event = event.map_err(|e| e.to_string())?;
        match (event.event.as_str(), event.data.as_str()) {
            ("error", data) => return Err(data.to_string()),
            (_, "[DONE]") => return Ok(chunks),
            _ => chunks += 1,
        }
    }
    Err(format!("stream truncated after {chunks} chunks"))
}

#[test]
fn sigterm_under_load_interrupts_no_stream() {
    let mut site = Site::start(2, 2, &["--decode-ms", "60", "--slots", "8"]);
    run(async move {
        let offset = site.configure("kili-checks", "least-load").await;
        site.wait_config_applied(offset).await;
        let url = format!("http://{}/v1/completions", site.routers[0]);
        let streams: Vec<_> =
            (0..12).map(|_| ntex::rt::spawn(stream_to_end(url.clone()))).collect();
        ntex::time::sleep(Duration::from_millis(300)).await;
        let mut router = site.terminate("router0");
        ntex::time::sleep(Duration::from_millis(200)).await;

        let mut response = client()
            .get(format!("http://{}/v1/route?dc=dc1", site.routers[0]))
            .send()
            .await
            .expect("a draining router still answers /v1/route");
        let answer: RouteAnswer = serde_json::from_slice(&response.body().await.unwrap()).unwrap();
        assert_eq!(answer.addr, site.routers[1], "callers are directed to the other router");

        let (status, text) = site::post(&url, &completion("kili-checks", 8, 2, false)).await;
        assert_eq!(status, 503, "{text}");
        let refusal: ErrorBody = serde_json::from_str(&text).unwrap();
        assert!(refusal.error.not_run);

        for stream in streams {
            let result = stream.await.expect("task ran");
            assert_eq!(result, Ok(25), "a stream in flight at SIGTERM ran to its end");
        }
        let status = router.wait().expect("router exits");
        assert!(status.success(), "router exits cleanly after draining: {status}");
    });
}
