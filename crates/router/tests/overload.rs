//! Under load a request that cannot be served in time gets its final answer
//! at once, truthfully, with the time to come back; and failing engines are
//! not loaded further by retries.

#[path = "support/site.rs"]
mod site;

use std::time::{Duration, Instant};

use marjoram_core::wire::{Completion, ErrorBody};
use site::{Site, client, completion, post, run, state};

/// A request for a prompt of `words` words of its own, with a deadline.
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
        site.wait_in_force(offset).await;
        site.wait_ready(0).await;
        site
    })
}

#[test]
fn request_that_cannot_make_its_deadline_is_refused_at_once() {
    // A prompt token takes a millisecond, a prompt of 400 words 0.4 s.
    let site = configured(1, &["--prefill-us", "1000"]);
    run(async move {
        let url = format!("http://{}/v1/completions", site.routers[0]);
        let (status, text) = post(&url, &request(0, 400, None)).await;
        assert_eq!(status, 200, "teaches the router the engine's pace: {text}");
        let queued: Vec<_> = (1..6)
            .map(|n| {
                let (url, body) = (url.clone(), request(n, 400, None));
                ntex::rt::spawn(async move { post(&url, &body).await })
            })
            .collect();
        ntex::time::sleep(Duration::from_millis(100)).await;
        let asked = Instant::now();
        let mut response = client()
            .post(&url)
            .header("content-type", "application/json")
            .send_body(request(9, 400, Some(700)))
            .await
            .unwrap();
        assert!(asked.elapsed() < Duration::from_millis(500), "not held back to the deadline");
        assert_eq!(response.status().as_u16(), 503);
        let after = response.headers().get("retry-after").expect("told when to come back");
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
fn request_whose_deadline_passes_ends_then_with_outcome_unknown() {
    let site = configured(1, &["--prefill-us", "5000"]);
    run(async move {
        let url = format!("http://{}/v1/completions", site.routers[0]);
        let asked = Instant::now();
        let (status, text) = post(&url, &request(0, 800, Some(400))).await;
        assert!(asked.elapsed() < Duration::from_millis(2000), "given up at the deadline");
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
        // A first attempt each, a fifth of that again, and the reserve of 20.
        assert!(attempts <= REQUESTS + REQUESTS / 5 + 20, "{attempts} attempts");
        assert!(attempts > REQUESTS, "some are retried");
    });
}
