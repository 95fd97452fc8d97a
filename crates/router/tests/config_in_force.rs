//! Guarantee: an accepted configuration is applied by every router within seconds
//! and never reverts, also during a log-service outage.

#[path = "support/site.rs"]
mod site;

use std::time::{Duration, Instant};

use site::{Site, client, completion, post, run, state, wait_for};

#[test]
fn policy_change_reaches_every_router_and_survives_a_log_outage() {
    let site = Site::start(2, 2, &[]);
    run(async move {
        let offset = site.configure("star-quotes", "round-robin").await;
        site.wait_config_applied(offset).await;

        let started = Instant::now();
        let change = site.configure("star-quotes", "prefix-aware").await;
        site.wait_config_applied(change).await;
        assert!(started.elapsed() < Duration::from_secs(6), "applied by every router within 6 s");

        client()
            .post(format!("http://{}/v1/admin/outage?ms=1500", site.log))
            .send()
            .await
            .expect("outage injected");
        ntex::time::sleep(Duration::from_millis(700)).await;
        for router in &site.routers {
            let dump = state(router).await.expect("state dump");
            assert_eq!(
                dump["config"]["offset"].as_u64(),
                Some(change),
                "the configuration is not reverted during the outage"
            );
            assert_eq!(dump["config"]["routing"]["star-quotes"]["policy"], "prefix-aware");
            let url = format!("http://{router}/v1/completions");
            let (status, text) = post(&url, &completion("star-quotes", 32, 2, false)).await;
            assert_eq!(status, 200, "requests are served during the outage: {text}");
        }

        // The log service rejects appends until the outage ends, then accepts them again.
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
        site.wait_config_applied(late).await;
    });
}

#[test]
fn a_configuration_is_in_force_in_time_although_an_answer_of_the_log_stalls() {
    let site = Site::start(1, 2, &[]);
    run(async move {
        let offset = site.configure("star-quotes", "round-robin").await;
        site.wait_config_applied(offset).await;
        let stalled = format!("http://{}/v1/admin/stall?stream=config&count=2", site.log);
        client().post(stalled).send().await.expect("reads stalled");
        // Time for the next read of each router.
        ntex::time::sleep(Duration::from_millis(1_500)).await;
        let started = Instant::now();
        let change = site.configure("star-quotes", "prefix-aware").await;
        site.wait_config_applied(change).await;
        let took = started.elapsed();
        assert!(took < Duration::from_secs(6), "applied by every router after {took:?}");
    });
}
