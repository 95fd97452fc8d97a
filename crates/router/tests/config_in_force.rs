//! Promise: an accepted configuration is in force everywhere within
//! seconds and never reverts, also across a log-service outage.

#[path = "support/site.rs"]
mod site;

use std::time::{Duration, Instant};

use site::{Site, client, completion, post, run, state, wait_for};

#[test]
fn published_policy_swap_reaches_every_router_and_survives_an_outage() {
    let site = Site::start(2, 2, &[]);
    run(async move {
        let offset = site.configure("star-quotes", "round-robin").await;
        site.wait_in_force(offset).await;

        let started = Instant::now();
        let swap = site.configure("star-quotes", "prefix-aware").await;
        site.wait_in_force(swap).await;
        assert!(started.elapsed() < Duration::from_secs(6), "in force everywhere within 6 s");

        client()
            .post(format!("http://{}/v1/admin/outage?ms=1500", site.log))
            .send()
            .await
            .expect("outage ordered");
        ntex::time::sleep(Duration::from_millis(700)).await;
        for router in &site.routers {
            let dump = state(router).await.expect("state dump");
            assert_eq!(
                dump["config"]["offset"].as_u64(),
                Some(swap),
                "no revert during the outage"
            );
            assert_eq!(dump["config"]["routing"]["star-quotes"]["policy"], "prefix-aware");
            let url = format!("http://{router}/v1/completions");
            let (status, text) = post(&url, &completion("star-quotes", 32, 2, false)).await;
            assert_eq!(status, 200, "requests are served during the outage: {text}");
        }

        // The log refuses appends until the outage ends; then it takes them again.
        wait_for(|| async {
            let response = client()
                .post(format!("http://{}/v1/streams/config", site.log))
                .send_body(r#"{"kind":"template","name":"late","policy":"maglev"}"#)
                .await
                .ok()?;
            response.status().is_success().then_some(())
        })
        .await;
        let late = site.publish(r#"{"kind":"workspace","id":"star-late","template":"late"}"#).await;
        site.wait_in_force(late).await;
    });
}
