//! Under load, a request that cannot be served by its deadline is refused at
//! once, as not run, with a `Retry-After` header; and retries do not add more
//! load to failing engines than their budget allows.

#[path = "support/site.rs"]
mod site;

use std::time::{Duration, Instant};

use marjoram_core::wire::{Completion, ErrorBody};
use site::{Site, client, completion, post, run, state};

/// Returns a request for the `n`th distinct prompt, of `words` words, with an
/// optional deadline.
fn request(n: usize, words: usize, deadline_ms: Option<u64>) -> String {
    let body = completion("kili-checks", words, 1, false).replace("w0 ", &format!("beam{n} "));
    match deadline_ms {
        Some(ms) => body.replacen('{', &format!(r#"{{"deadline_ms":{ms},"#), 1),
        None => body,
    }
}

fn configured(engines: usize, engine_args: &[&str]) -> Site {
    let site = Site::start(engines, 1, engine_args);
    run(async move {
        let offset = site.configure("kili-checks", "prefix-aware").await;
        site.wait_config_applied(offset).await;
        site.wait_ready(0).await;
        site
    })
}

#[test]
fn request_that_cannot_meet_its_deadline_is_refused_at_once() {
    // Prefill takes 1 ms per prompt token, so 0.4 s for a prompt of 400 words.
    let site = configured(1, &["--prefill-us", "1000"]);
    run(async move {
        let url = format!("http://{}/v1/completions", site.routers[0]);
        let (status, text) = post(&url, &request(0, 400, None)).await;
        assert_eq!(
            status, 200,
            "the router measures the engine's throughput with this request: {text}"
        );
        let queued: Vec<_> = (1..6)
            .map(|n| {
                let (url, body) = (url.clone(), request(n, 400, None));
                ntex::rt::spawn(async move { post(&url, &body).await })
            })
            .collect();
        ntex::time::sleep(Duration::from_millis(100)).await;
        let sent_at = Instant::now();
        let mut response = client()
            .post(&url)
            .header("content-type", "application/json")
            .send_body(request(9, 400, Some(700)))
            .await
            .unwrap();
        assert!(
            sent_at.elapsed() < Duration::from_millis(500),
            "the refusal does not wait for the deadline"
        );
        assert_eq!(response.status().as_u16(), 503);
        let after =
            response.headers().get("retry-after").expect("refusal has a Retry-After header");
        assert!(after.to_str().unwrap().parse::<u64>().unwrap() >= 1);
        let refusal: ErrorBody = serde_json::from_slice(&response.body().await.unwrap()).unwrap();
        assert!(refusal.error.not_run, "{refusal:?}");
        for answer in queued {
            let (status, text) = answer.await.unwrap();
            assert_eq!(status, 200, "{text}");
        }
        // Once the queue has drained the same request is served.
        let (status, text) = post(&url, &request(9, 400, Some(700))).await;
        assert_eq!(status, 200, "{text}");
        let answer: Completion = serde_json::from_str(&text).unwrap();
        assert_eq!(answer.usage.cached_tokens.0, 0, "the refused request had not run");
    });
}

#[test]
fn request_past_its_deadline_ends_with_outcome_unknown() {
    let site = configured(1, &["--prefill-us", "5000"]);
    run(async move {
        let url = format!("http://{}/v1/completions", site.routers[0]);
        let sent_at = Instant::now();
        let (status, text) = post(&url, &request(0, 800, Some(400))).await;
        assert!(
            sent_at.elapsed() < Duration::from_millis(2000),
            "the request ends at its deadline"
        );
        assert_eq!(status, 504, "{text}");
        let answer: ErrorBody = serde_json::from_str(&text).unwrap();
        assert_eq!(answer.error.step, "deadline");
        assert!(!answer.error.not_run, "the engine may have run it");
    });
}

#[test]
fn retries_stay_within_their_budget() {
    let site = configured(3, &["--refuse", "true"]);
    run(async move {
        const REQUESTS: u64 = 60;
        let url = format!("http://{}/v1/completions", site.routers[0]);
        for n in 0..REQUESTS as usize {
            let (status, text) = post(&url, &request(n, 32, None)).await;
            assert_eq!(status, 503, "{text}");
            let answer: ErrorBody = serde_json::from_str(&text).unwrap();
            assert!(answer.error.not_run, "{text}");
        }
        let dump = state(&site.routers[0]).await.unwrap();
        let attempts = dump["counters"]["retried"].as_u64().unwrap();
        // One first attempt per request, a fifth of that as retry budget, and its
        // reserve of 20.
        assert!(attempts <= REQUESTS + REQUESTS / 5 + 20, "{attempts} attempts");
        assert!(attempts > REQUESTS, "some requests are retried");
    });
}
