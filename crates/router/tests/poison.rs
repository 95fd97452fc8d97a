//! One completion ended engine after engine: whatever began to run it crashed,
//! and its caller sent it again to any router. Each router took each return for
//! a new request, and went on to the next engine by itself besides:
//!
//! ```text
//! forward: answer from engine 127.0.0.1:20510 failed: …; 5f0… goes to another engine.
//! engine: crashing under request 5f0…
//! ```

#[path = "support/site.rs"]
mod site;

use std::time::Duration;

use marjoram_core::wire::ErrorBody;
use site::{Site, completion, post, run};

const ENGINES: usize = 6;
const ROUTERS: usize = 3;

/// The text under which engines crash.
const POISON: &str = "crash-now";

/// Time after the third crash in which routers can know of it.
const KNOWN: Duration = Duration::from_millis(2_500);

/// How often the request may be sent after the third crash.
const SENDS_AFTER: usize = 3;

fn poison() -> String {
    serde_json::json!({ "workspace": "kili-checks", "prompt": format!("w0 w1 w2 {POISON}"),
        "max_tokens": 4, "stream": false })
    .to_string()
}

/// Starts those engines again that have crashed; how many they were.
fn restart_crashed(site: &mut Site) -> usize {
    let ended = |site: &mut Site, n: usize| site.has_ended(&format!("engine{n}"));
    let crashed: Vec<usize> = (0..ENGINES).filter(|&n| ended(site, n)).collect();
    for &n in &crashed {
        site.kill(&format!("engine{n}"));
        site.start_engine(n);
    }
    crashed.len()
}

fn ask(router: &str, body: String) -> (u16, String) {
    let url = format!("http://{router}/v1/completions");
    run(async move { post(&url, &body).await })
}

/// Sends the request to all routers; none may send it on.
fn assert_kept_away(site: &mut Site) {
    for router in site.routers.clone() {
        let (status, text) = ask(&router, poison());
        assert_eq!(status, 503, "{text}");
        let refusal: ErrorBody = serde_json::from_str(&text).unwrap();
        assert!(refusal.error.not_run, "{text}");
    }
    assert_eq!(restart_crashed(site), 0, "sent again after all routers could know");
}

fn configured() -> Site {
    let site = Site::start(ENGINES, ROUTERS, &["--crash-on", POISON]);
    run(async move {
        let offset = site.configure("kili-checks", "round-robin").await;
        site.wait_in_force(offset).await;
        for n in 0..ROUTERS {
            site.wait_ready(n).await;
        }
        site
    })
}

#[test]
fn poison_on_the_own_interface_is_kept_away_after_three_crashes_and_restarts() {
    let mut site = configured();
    let mut crashes = 0;
    for n in 0..12 {
        let router = site.routers[n % ROUTERS].clone();
        ask(&router, poison());
        std::thread::sleep(Duration::from_millis(50));
        crashes += restart_crashed(&mut site);
        if crashes >= 3 {
            break;
        }
    }
    assert!((3..=3 + SENDS_AFTER).contains(&crashes), "{crashes} crashes");
    std::thread::sleep(KNOWN);
    assert_kept_away(&mut site);
    // Others of the same workspace are served as ever.
    let (status, text) = ask(&site.routers[0].clone(), completion("kili-checks", 8, 2, false));
    assert_eq!(status, 200, "{text}");
    for n in 0..ROUTERS {
        site.kill(&format!("router{n}"));
        site.start_router(n);
        site::wait_listening(&site.routers[n].clone());
    }
    let site_ready = site;
    let mut site = run(async move {
        for n in 0..ROUTERS {
            site_ready.wait_ready(n).await;
        }
        site_ready
    });
    assert_kept_away(&mut site);
}
