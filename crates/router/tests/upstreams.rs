//! Guarantees: a leaving upstream gets no new requests after a few seconds, and
//! requests are never routed by the cache entries of a dead engine.

#[path = "support/site.rs"]
mod site;

use std::time::{Duration, Instant};

use marjoram_core::wire::{Completion, HostState, Role};
use site::{Site, completion, host, post, put_host, run, state, wait_for};

#[test]
fn leaving_engine_gets_no_new_requests_after_a_few_seconds() {
    let site = Site::start(3, 1, &[]);
    run(async move {
        let offset = site.configure("kili-checks", "round-robin").await;
        site.wait_config_applied(offset).await;
        let leaving = site.engines[0].clone();
        put_host(&site.hosts, &host(&leaving, Role::Engine, HostState::Leaving)).await;
        let marked = Instant::now();
        let url = format!("http://{}/v1/completions", site.routers[0]);
        let mut last_answered = None;
        while marked.elapsed() < Duration::from_secs(4) {
            let (status, text) = post(&url, &completion("kili-checks", 32, 1, false)).await;
            assert_eq!(status, 200, "{text}");
            let answer: Completion = serde_json::from_str(&text).unwrap();
            if answer.engine == leaving {
                last_answered = Some(marked.elapsed());
            }
            ntex::time::sleep(Duration::from_millis(20)).await;
        }
        let last = last_answered.unwrap_or_default();
        assert!(
            last < Duration::from_secs(2),
            "leaving engine still got a request {last:?} after it was marked"
        );
    });
}

#[test]
fn cache_entries_of_an_engine_are_dropped_when_it_restarts() {
    let mut site = Site::start(1, 1, &["--event-lag-ms", "0", "--event-loss", "0"]);
    run(async move {
        let offset = site.configure("kili-checks", "prefix-aware").await;
        site.wait_config_applied(offset).await;
        let url = format!("http://{}/v1/completions", site.routers[0]);
        let (status, _) = post(&url, &completion("kili-checks", 320, 1, false)).await;
        assert_eq!(status, 200);
        let router = site.routers[0].clone();
        let before = wait_for(|| async {
            let dump = state(&router).await?;
            let entries = dump["picture"]["entries"].as_u64()?;
            (entries >= 20).then(|| dump["engines"][0]["life"]["incarnation"].as_u64())?
        })
        .await;
        site.kill("engine0");
        site.start_engine(0);
        let after = wait_for(|| async {
            let dump = state(&router).await?;
            let incarnation = dump["engines"][0]["life"]["incarnation"].as_u64()?;
            (incarnation != before).then(|| dump["picture"]["entries"].as_u64())?
        })
        .await;
        assert_eq!(after, 0, "an entry of the dead incarnation remained");
        let (status, text) = post(&url, &completion("kili-checks", 320, 1, false)).await;
        assert_eq!(status, 200);
        let answer: Completion = serde_json::from_str(&text).unwrap();
        assert_eq!(answer.usage.cached_tokens.0, 0, "the new engine had nothing cached");
    });
}

#[test]
fn leaving_service_gets_no_new_calls_and_a_dead_one_is_skipped() {
    let mut site = Site::start(1, 1, &[]);
    let second = site.start_second_service();
    run(async move {
        let router = site.routers[0].clone();
        let wait_services_listed = |count: usize| {
            let router = router.clone();
            wait_for(move || {
                let router = router.clone();
                async move {
                    let listed = state(&router).await?["services"].as_array()?.len();
                    (listed == count).then_some(())
                }
            })
        };
        put_host(&site.hosts, &host(&second, Role::Service, HostState::Live)).await;
        wait_services_listed(2).await;
        // The first service is killed but stays in the host list.
        site.kill("service");
        let url = format!("http://{}/v1/services/alerts", site.routers[0]);
        for _ in 0..8 {
            let (status, text) = post(&url, "short shot").await;
            assert_eq!(status, 200, "{text}");
        }
        put_host(&site.hosts, &host(&site.service, Role::Service, HostState::Leaving)).await;
        put_host(&site.hosts, &host(&second, Role::Service, HostState::Leaving)).await;
        wait_services_listed(0).await;
        let (status, text) = post(&url, "short shot").await;
        assert_eq!(status, 503, "a leaving service gets no calls: {text}");
        assert!(text.contains(r#""not_run":true"#), "{text}");
    });
}

#[test]
fn an_engine_that_asks_to_back_off_gets_no_requests_from_the_router() {
    let site = Site::start(2, 1, &["--refuse", "true", "--retry-after", "3"]);
    run(async move {
        let offset = site.configure("kili-checks", "round-robin").await;
        site.wait_config_applied(offset).await;
        let url = format!("http://{}/v1/completions", site.routers[0]);
        let started = Instant::now();
        while started.elapsed() < Duration::from_millis(2_500) {
            let (status, text) = post(&url, &completion("kili-checks", 32, 1, false)).await;
            assert_eq!(status, 503, "{text}");
            assert!(text.contains(r#""not_run":true"#), "{text}");
            ntex::time::sleep(Duration::from_millis(20)).await;
        }
        let dump = state(&site.routers[0]).await.expect("a state dump");
        assert_eq!(dump["counters"]["retried"], 2, "one request for each engine");
    });
}
