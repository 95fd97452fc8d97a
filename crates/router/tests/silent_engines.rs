//! Guarantee: the answer of an engine that is silent for a while and then goes on is kept
//! until another engine has taken the request over.

#[path = "support/site.rs"]
mod site;

use std::rc::Rc;
use std::time::{Duration, Instant};

use marjoram_core::wire::Completion;
use site::{Site, completion, post, run, state, wait_for};
use test_case::test_case;

/// Tokens of an answer, which takes a second without interruption.
const TOKENS: u32 = 20;

#[derive(Debug, Clone, Copy, PartialEq)]
enum Other {
    Missing,
    Refuses,
    Hangs,
    Dies,
}

/// A site whose first engine gets the request, since the other one is started later.
fn site(router_args: &[&str]) -> Site {
    let site = Site::start_with(1, 1, &["--decode-ms", "50"], router_args, &[]);
    run(async move {
        let offset = site.configure("kili-checks", "round-robin").await;
        site.wait_config_applied(offset).await;
        site.wait_ready(0).await;
        site
    })
}

/// Waits until engine 0 has a request, and adds the other engine.
async fn begin(site: &mut Site, other: Other) {
    wait_for(|| async {
        let dump = state(&site.routers[0]).await?;
        (dump["engines"][0]["inflight"].as_u64() == Some(1)).then_some(())
    })
    .await;
    if other != Other::Missing {
        site.engine_args = vec!["--refuse".into(), (other == Other::Refuses).to_string()];
        site.add_engine().await;
        wait_for(|| async {
            let dump = state(&site.routers[0]).await?;
            dump["engines"][1]["life"].is_object().then_some(())
        })
        .await;
    }
    match other {
        Other::Missing | Other::Refuses => {}
        Other::Hangs => site.freeze("engine1"),
        Other::Dies => site.kill("engine1"),
    }
}

fn assert_answered((status, text): (u16, String), tokens: u32) {
    assert_eq!(status, 200, "{text}");
    let answer: Completion = serde_json::from_str(&text).expect("completion");
    assert_eq!(answer.text.split_whitespace().count(), tokens as usize, "{text}");
}

#[test_case(Other::Missing, &["--stream-idle-ms", "500"] ; "no other engine")]
#[test_case(Other::Refuses, &["--stream-idle-ms", "500"] ; "the other one refuses")]
#[test_case(Other::Hangs, &["--stream-idle-ms", "500"] ; "the other one hangs")]
#[test_case(Other::Dies, &["--stream-idle-ms", "500"] ; "the other one dies")]
#[test_case(Other::Missing, &["--stream-idle-ms", "8000"] ; "no other engine and the follower finds it unreachable")]
#[test_case(Other::Refuses, &["--stream-idle-ms", "8000"] ; "the other one refuses and the follower finds it unreachable")]
fn an_answer_goes_on_after_the_silence_of_its_engine(other: Other, router_args: &'static [&str]) {
    let mut site = site(router_args);
    run(async move {
        let url = format!("http://{}/v1/completions", site.routers[0]);
        let answer = ntex::rt::spawn(async move {
            post(&url, &completion("kili-checks", 64, TOKENS * 4, false)).await
        });
        begin(&mut site, other).await;
        site.freeze("engine0");
        ntex::time::sleep(Duration::from_millis(2_500)).await;
        site.unfreeze("engine0");
        assert_answered(answer.await.unwrap(), TOKENS * 4);
    });
}

/// The engine receives the request while it is silent, so that not even the head of its
/// answer arrives.
#[test]
fn an_answer_whose_engine_is_silent_from_the_start_arrives() {
    let site = Rc::new(site(&[]));
    run(async move {
        site.freeze("engine0");
        let url = format!("http://{}/v1/completions", site.routers[0]);
        let frozen = site.clone();
        ntex::rt::spawn(async move {
            ntex::time::sleep(Duration::from_millis(2_500)).await;
            frozen.unfreeze("engine0");
        });
        assert_answered(post(&url, &completion("kili-checks", 64, TOKENS, false)).await, TOKENS);
    });
}

/// An engine that is silent for good must not keep its callers waiting without end.
#[test]
fn an_answer_whose_engine_stays_silent_ends_with_an_error() {
    let mut site = site(&["--stream-idle-ms", "500"]);
    run(async move {
        let url = format!("http://{}/v1/completions", site.routers[0]);
        let answer = ntex::rt::spawn(async move {
            post(&url, &completion("kili-checks", 64, TOKENS * 4, false)).await
        });
        begin(&mut site, Other::Missing).await;
        site.freeze("engine0");
        let frozen = Instant::now();
        let (status, text) = answer.await.unwrap();
        assert_eq!(status, 502, "{text}");
        // Which of the two depends on whether the head of the answer had arrived.
        let causes = ["silent for", "became unreachable"];
        assert!(causes.iter().any(|cause| text.contains(cause)), "{text}");
        assert!(frozen.elapsed() < Duration::from_secs(15), "{:?}", frozen.elapsed());
    });
}
