//! Callers are not directed to routers that are down but still in the host list:
//! one that was killed, and one that is frozen with its connections open.

#[path = "support/site.rs"]
mod site;

use marjoram_core::wire::RouteAnswer;
use site::{Site, client, run, wait_for};

/// Returns the distinct routers to which `router` directs 40 callers.
async fn routers_offered(router: &str) -> Vec<String> {
    let mut all = Vec::new();
    for caller in 0..40 {
        let url = format!("http://{router}/v1/route?caller=c{caller}");
        let body = client().get(url).send().await.unwrap().body().await.unwrap();
        all.push(serde_json::from_slice::<RouteAnswer>(&body).unwrap().addr);
    }
    all.sort();
    all.dedup();
    all
}

async fn wait_routers_offered(site: &Site, expected: &[usize]) {
    let mut expected: Vec<String> = expected.iter().map(|&i| site.routers[i].clone()).collect();
    expected.sort();
    wait_for(|| async { (routers_offered(&site.routers[0]).await == expected).then_some(()) })
        .await;
}

#[test]
fn callers_are_not_directed_to_killed_or_frozen_routers() {
    let mut site = Site::start(1, 4, &[]);
    run(async move {
        let offset = site.configure("kili-checks", "maglev").await;
        site.wait_config_applied(offset).await;
        for i in 0..4 {
            site.wait_ready(i).await;
        }
        wait_routers_offered(&site, &[0, 1, 2, 3]).await;
        site.kill("router1");
        site.freeze("router2");
        wait_routers_offered(&site, &[0, 3]).await;
        site.unfreeze("router2");
        site.start_router(1);
        wait_routers_offered(&site, &[0, 1, 2, 3]).await;
    });
}
