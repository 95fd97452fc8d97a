//! Bad input gets a clear error naming the step and the peer, a 4xx
//! status, and says the request did not run; the router keeps serving.

#[path = "support/site.rs"]
mod site;

use marjoram_core::wire::ErrorBody;
use site::{Site, completion, post, run};
use test_case::test_case;

#[test_case(r#"{"workspace": "kili-checks", "prompt": 7}"#, 400, "parse" ; "malformed body")]
#[test_case(r#"{"workspace": "Not A Name", "prompt": "x"}"#, 400, "parse" ; "bad workspace name")]
#[test_case(r#"{"workspace": "nowhere", "prompt": "x"}"#, 404, "route" ; "unknown workspace")]
#[test_case(r#"{"workspace": "kili-checks", "prompt": "x", "extra": 1}"#, 400, "parse" ; "unknown field")]
fn bad_request_is_refused_clearly(body: &str, status: u16, step: &str) {
    let site = Site::start(1, 1, &[]);
    let (body, step) = (body.to_string(), step.to_string());
    run(async move {
        let offset = site.configure("kili-checks", "round-robin").await;
        site.wait_in_force(offset).await;
        let url = format!("http://{}/v1/completions", site.routers[0]);
        let (got, text) = post(&url, &body).await;
        assert_eq!(got, status, "{text}");
        let error: ErrorBody = serde_json::from_str(&text).expect("error body is JSON");
        assert_eq!(error.error.step, step);
        assert!(error.error.not_run);
        assert!(
            error.error.peer.starts_with("127.0.0.1:"),
            "peer names the caller: {}",
            error.error.peer
        );
        let (ok, _) = post(&url, &completion("kili-checks", 40, 2, false)).await;
        assert_eq!(ok, 200, "the router still serves");
    });
}

#[test]
fn oversized_prompt_is_refused_with_413() {
    let site = Site::start(1, 1, &[]);
    run(async move {
        let offset = site.configure("kili-checks", "round-robin").await;
        site.wait_in_force(offset).await;
        let url = format!("http://{}/v1/completions", site.routers[0]);
        let (status, text) = post(&url, &completion("kili-checks", 36_000, 2, false)).await;
        assert_eq!(status, 413, "{text}");
        assert!(text.contains("over the limit of 200000"), "{text}");
    });
}
