//! Guarantee: in overload, engines that fail when they reject too many requests do not fail, and
//! their slots are used.

#[path = "support/site.rs"]
mod site;

use std::time::{Duration, Instant};

use site::{Site, completion, post, run};
use test_case::test_case;

const ENGINES: usize = 4;

/// Slots of an engine, and rejections in a second that it can bear.
const SLOTS: usize = 4;
const MAX_REJECTIONS: usize = 4;

/// Tokens of an answer and duration of one in milliseconds.
const TOKENS: u32 = 15;
const TOKEN_MS: usize = 20;

/// Pause of a caller after a refusal.
const PAUSE: Duration = Duration::from_millis(100);

/// Time after the first statement in which engines let requests wait.
const NOTICE: Duration = Duration::from_secs(3);

/// Time for which falls are counted.
const COUNTED: Duration = Duration::from_secs(10);

/// Time for which an engine that has failed is away.
const AWAY_TIME: Duration = Duration::from_secs(1);

/// Falls allowed: two, and a tenth of the engines.
const ALLOWED_FALLS: usize = 2 + ENGINES / 10;

/// Requests served by the time `end`.
async fn call(router: String, end: Instant) -> usize {
    let (url, mut served) = (format!("http://{router}/v1/completions"), 0);
    while Instant::now() < end {
        match post(&url, &completion("kili-checks", 8, TOKENS, false)).await.0 {
            200 => served += 1,
            _ => ntex::time::sleep(PAUSE).await,
        }
    }
    served
}

/// Restarts engines that have failed, each after a time. Returns their number.
fn restart_failed(site: &mut Site, end: Instant) -> usize {
    let (mut falls, mut due) = (0, [None; ENGINES]);
    while Instant::now() < end {
        for (n, due) in due.iter_mut().enumerate() {
            match due {
                None if site.has_exited(&format!("engine{n}")) => {
                    site.kill(&format!("engine{n}"));
                    (falls, *due) = (falls + 1, Some(Instant::now() + AWAY_TIME));
                }
                Some(at) if Instant::now() >= *at => {
                    site.start_engine(n);
                    *due = None;
                }
                _ => {}
            }
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    falls
}

/// One router starts when the engines already reject requests. The `callers` at each of the
/// `routers` could together use three times the slots.
#[test_case(5, 10; "five routers")]
#[test_case(24, 2; "twenty-four routers")]
fn brittle_engines_do_not_fall_in_overload(routers: usize, callers: usize) {
    let (slots, max, token_ms) =
        (SLOTS.to_string(), MAX_REJECTIONS.to_string(), TOKEN_MS.to_string());
    let engine_args =
        ["--slots", &slots, "--brittle", &max, "--decode-ms", &token_ms, "--load-lag-ms", "100"];
    let site = Site::start(ENGINES, routers, &engine_args);
    let mut site = run(async move {
        let offset = site.configure("kili-checks", "least-load").await;
        site.wait_config_applied(offset).await;
        for n in 0..routers {
            site.wait_ready(n).await;
        }
        site
    });
    let late = routers - 1;
    site.kill(&format!("router{late}"));
    let enforced = Instant::now() + NOTICE;
    let end = enforced + COUNTED;
    let start_callers = |routers: Vec<String>, from: Instant| {
        std::thread::spawn(move || {
            std::thread::sleep(from.saturating_duration_since(Instant::now()));
            let callers = routers.into_iter().flat_map(move |r| std::iter::repeat_n(r, callers));
            run(async move {
                let served = callers.map(|router| call(router, end));
                futures::future::join_all(served).await.into_iter().sum::<usize>()
            })
        })
    };
    let early = start_callers(site.routers[..late].to_vec(), Instant::now());
    let joined = start_callers(vec![site.routers[late].clone()], enforced);
    let mut falls = restart_failed(&mut site, enforced);
    site.start_router(late);
    falls += restart_failed(&mut site, end);
    let served = early.join().unwrap() + joined.join().unwrap();
    let capacity =
        (NOTICE + COUNTED).as_millis() as usize / (TOKENS as usize * TOKEN_MS) * ENGINES * SLOTS;
    println!("{falls} falls, {served} of {capacity} served");
    assert!(falls <= ALLOWED_FALLS, "{falls} falls");
    assert!(served * 2 >= capacity, "{served} of {capacity} served");
}
