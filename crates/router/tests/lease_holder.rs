//! Guarantees: an accepted configuration (here: the weights version announced) is
//! applied everywhere and never reverts, and weights rollouts have one lease
//! holder at a time. The lease holder is killed or paused past its lease. Some
//! tests use engines that check fencing tokens and others engines that do not.

#[path = "support/site.rs"]
mod site;

use std::time::Duration;

use serde_json::Value;
use site::{Site, client, completion, post, run, state, wait_for};

/// Waits until one of the routers `among` reports that it holds the lease, and
/// returns its index.
async fn lease_holder(site: &Site, among: &[usize]) -> usize {
    wait_for(|| async {
        for &i in among {
            let dump = state(&site.routers[i]).await?;
            if dump["lease"]["token"].is_number() {
                return Some(i);
            }
        }
        None
    })
    .await
}

/// Returns the weights orders an engine has received: version, fencing token,
/// whether accepted.
async fn orders(engine: &str) -> Vec<(u64, u64, bool)> {
    let url = format!("http://{engine}/v1/admin/orders");
    let body = client().get(url).send().await.unwrap().body().await.unwrap();
    let list: Vec<Value> = serde_json::from_slice(&body).unwrap();
    let number = |o: &Value, name: &str| o[name].as_u64().unwrap();
    list.iter()
        .map(|o| (number(o, "version"), number(o, "fencing"), o["obeyed"].as_bool().unwrap()))
        .collect()
}

/// Waits until router `i` reports that every engine serves `version`.
async fn wait_version(site: &Site, i: usize, version: u64) {
    wait_for(|| async {
        let dump = state(&site.routers[i]).await?;
        let engines = dump["engines"].as_array()?;
        let serves = |e: &Value| e["life"]["version"].as_u64() == Some(version);
        engines.iter().all(serves).then_some(())
    })
    .await;
}

fn ready_site(engines: usize, routers: usize, engine_args: &[&str]) -> Site {
    let site = Site::start(engines, routers, engine_args);
    run(async move {
        let offset = site.configure("kili-checks", "prefix-aware").await;
        site.wait_config_applied(offset).await;
        for i in 0..routers {
            site.wait_ready(i).await;
        }
        site
    })
}

#[test]
fn announced_weights_version_reaches_every_engine_and_is_never_reverted() {
    let site = ready_site(3, 2, &["--weights-ms", "50"]);
    let mut site = run(async move {
        lease_holder(&site, &[0, 1]).await;
        let url = format!("http://{}/v1/completions", site.routers[0]);
        let (status, _) = post(&url, &completion("kili-checks", 320, 2, false)).await;
        assert_eq!(status, 200);
        let announced = site.publish(r#"{"kind":"weights","version":2}"#).await;
        // An older version announced concurrently by another operator has no effect.
        let older = site.publish(r#"{"kind":"weights","version":1}"#).await;
        assert!(older > announced);
        wait_version(&site, 0, 2).await;
        let (status, text) = post(&url, &completion("kili-checks", 320, 2, false)).await;
        assert_eq!(status, 200);
        let answer: marjoram_core::wire::Completion = serde_json::from_str(&text).unwrap();
        assert_eq!(answer.usage.cached_tokens.0, 0, "no cache entry of the older weights is used");
        assert!(answer.text.contains("v2"), "{}", answer.text);
        site
    });
    // A restarted engine starts with its built-in weights version.
    site.kill("engine0");
    site.start_engine(0);
    run(async move { wait_version(&site, 1, 2).await });
}

#[test]
fn paused_lease_holder_sends_no_order_after_another_has_taken_over() {
    // These engines ignore fencing tokens, so only the lease protects them.
    let mut site = ready_site(4, 2, &["--weights-ms", "1000", "--fenced", "false"]);
    run(async move {
        let old = lease_holder(&site, &[0, 1]).await;
        let other = 1 - old;
        site.publish(r#"{"kind":"weights","version":2}"#).await;
        wait_for(|| async {
            let sent = orders(&site.engines[0]).await.len() + orders(&site.engines[1]).await.len();
            (sent > 0).then_some(())
        })
        .await;
        site.freeze(&format!("router{old}"));
        assert_eq!(lease_holder(&site, &[other]).await, other);
        site.publish(r#"{"kind":"weights","version":3}"#).await;
        wait_version(&site, other, 3).await;
        let before: usize = order_count(&site).await;
        site.unfreeze(&format!("router{old}"));
        ntex::time::sleep(Duration::from_secs(3)).await;
        assert_eq!(
            order_count(&site).await,
            before,
            "the paused lease holder sent no order after it resumed"
        );
        for engine in &site.engines {
            let tokens: Vec<u64> = orders(engine).await.iter().map(|o| o.1).collect();
            assert!(tokens.is_sorted(), "fencing tokens at {engine} never decrease: {tokens:?}");
        }
        wait_version(&site, old, 3).await;
        site.kill(&format!("router{other}"));
        assert_eq!(
            lease_holder(&site, &[old]).await,
            old,
            "another router takes the lease when the lease holder is killed"
        );
    });
}

async fn order_count(site: &Site) -> usize {
    let mut count = 0;
    for engine in &site.engines {
        count += orders(engine).await.len();
    }
    count
}

#[test]
fn fenced_engine_rejects_an_old_fencing_token() {
    let site = ready_site(1, 1, &["--weights-ms", "0"]);
    run(async move {
        lease_holder(&site, &[0]).await;
        let order = |version: u32, fencing: u64| {
            let body = format!(r#"{{"version":{version},"fencing":{fencing}}}"#);
            let url = format!("http://{}/v1/admin/weights", site.engines[0]);
            async move { post(&url, &body).await.0 }
        };
        assert_eq!(order(3, 100).await, 204);
        assert_eq!(order(2, 99).await, 409, "an order from a previous lease holder");
        let obeyed: Vec<bool> = orders(&site.engines[0]).await.iter().map(|o| o.2).collect();
        assert_eq!(obeyed, [true, false]);
    });
}

#[test]
fn terminated_lease_holder_releases_the_lease_at_once() {
    let mut site = ready_site(1, 2, &[]);
    run(async move {
        let old = lease_holder(&site, &[0, 1]).await;
        let terminated_at = std::time::Instant::now();
        let mut child = site.terminate(&format!("router{old}"));
        assert_eq!(lease_holder(&site, &[1 - old]).await, 1 - old);
        // A lease that is not released expires only after 3 s plus a margin.
        let took = terminated_at.elapsed();
        assert!(
            took < Duration::from_millis(2500),
            "the lease passed to the other router after {took:?}"
        );
        let _ = child.wait();
    });
}
