//! Guarantee: every stream is complete and in order.
//!
//! When an engine is killed in the middle of a stream, the stream resumes on
//! another engine from the first chunk not yet sent, so the caller gets every
//! chunk once and in order. When no engine is left, the caller's stream ends with
//! an error event that names the step and the engine; it is never truncated
//! silently, which would look like a short response. An engine that refuses
//! connections is skipped before the request is sent anywhere.

#[path = "support/site.rs"]
mod site;

use eventsource_stream::Eventsource;
use futures::StreamExt;
use marjoram_core::wire::{Chunk, Completion, ErrorBody};
use site::{Site, client, completion, post, run, state};

/// Reads a streamed response to its end and returns its chunks and the error it
/// ended with, if any. Calls `on_chunk` with the number of chunks so far.
async fn read_stream(
    response: ntex::http::client::ClientResponse,
    mut on_chunk: impl FnMut(usize),
) -> (Vec<Chunk>, Option<ErrorBody>) {
    let mut events = response.eventsource();
    let mut chunks = Vec::new();
    while let Some(event) = events.next().await {
        let event = event.expect("well-formed events");
        match (event.event.as_str(), event.data.as_str()) {
            ("error", data) => return (chunks, Some(serde_json::from_str(data).unwrap())),
            (_, "[DONE]") => return (chunks, None),
            (_, data) => chunks.push(serde_json::from_str(data).expect("chunk")),
        }
        on_chunk(chunks.len());
    }
    panic!("stream truncated without an end marker after {} chunks", chunks.len());
}

async fn open_stream(site: &Site, max_tokens: u32) -> ntex::http::client::ClientResponse {
    client()
        .post(format!("http://{}/v1/completions", site.routers[0]))
        .header("content-type", "application/json")
        .send_body(completion("kili-checks", 64, max_tokens, true))
        .await
        .expect("router answers")
}

/// Returns the index of the engine with the only stream in flight.
async fn busy_engine(site: &Site) -> usize {
    site::wait_for(|| async {
        let dump = state(&site.routers[0]).await?;
        dump["engines"].as_array()?.iter().position(|e| e["inflight"].as_u64() == Some(1))
    })
    .await
}

fn assert_complete(chunks: &[Chunk], count: u32) {
    let id = chunks[0].id;
    let seqs: Vec<u32> = chunks.iter().map(|c| c.seq).collect();
    assert_eq!(seqs, (0..count).collect::<Vec<_>>(), "every chunk once, in order");
    assert!(chunks.iter().all(|c| c.id == id && c.text == format!("t{id}.{}v1 ", c.seq)));
}

fn configured(engines: usize, engine_args: &[&str], router_args: &[&str]) -> Site {
    let site = Site::start_with(engines, 1, engine_args, router_args, &[]);
    run(async move {
        let offset = site.configure("kili-checks", "round-robin").await;
        site.wait_config_applied(offset).await;
        site.wait_ready(0).await;
        site
    })
}

#[test]
fn stream_ends_with_an_error_event_when_the_only_engine_is_killed() {
    let mut site = configured(1, &["--decode-ms", "100"], &[]);
    run(async move {
        let response = open_stream(&site, 40).await;
        let engine = site.engines[0].clone();
        let kill = |n| {
            if n == 3 {
                site.kill("engine0");
            }
        };
        let (chunks, error) = read_stream(response, kill).await;
        let error = error
            .expect("the stream ended with an error event and was not truncated silently")
            .error;
        assert_eq!((error.step.as_str(), error.peer), ("stream", engine));
        assert!(!error.not_run, "part of the request ran");
        assert_complete(&chunks, chunks.len() as u32);
    });
}

/// Kills the engine of a stream after `killed_after` of its chunks, and checks that another one
/// goes on.
fn check_resumed(engine_args: &[&str], killed_after: usize) {
    let args = [&["--decode-ms", "50"], engine_args].concat();
    let mut site = configured(2, &args, &[]);
    run(async move {
        let url = format!("http://{}/v1/completions", site.routers[0]);
        let body = completion("kili-checks", 8, 1, false);
        // Slots of brittle engines are not granted at once.
        site::wait_for(|| async { (post(&url, &body).await.0 == 200).then_some(()) }).await;
        let response = open_stream(&site, 30).await;
        let busy = busy_engine(&site).await;
        let kill = |n| {
            if n == killed_after {
                site.kill(&format!("engine{busy}"));
            }
        };
        let (chunks, error) = read_stream(response, kill).await;
        assert!(error.is_none(), "another engine was available: {error:?}");
        assert_complete(&chunks, 30);
        assert!(chunks.last().unwrap().usage.is_some());
    });
}

#[test]
fn stream_resumes_on_another_engine_when_its_engine_is_killed() {
    check_resumed(&[], 5);
}

#[test]
fn stream_that_runs_for_long_waits_for_a_slot_of_another_brittle_engine() {
    check_resumed(&["--slots", "4", "--brittle", "8"], 20);
}

#[test]
fn engine_that_refuses_connections_is_skipped() {
    let mut site = configured(2, &[], &[]);
    site.kill("engine0");
    run(async move {
        let url = format!("http://{}/v1/completions", site.routers[0]);
        for _ in 0..6 {
            let (status, text) = post(&url, &completion("kili-checks", 64, 4, false)).await;
            assert_eq!(status, 200, "{text}");
            let answer: Completion = serde_json::from_str(&text).expect("completion");
            assert_eq!(answer.engine, site.engines[1]);
            assert_eq!(answer.usage.completion_tokens.0, 4);
        }
    });
}

#[test]
fn stream_resumes_on_another_engine_when_its_engine_freezes() {
    let site = configured(2, &["--decode-ms", "50"], &["--stream-idle-ms", "500"]);
    run(async move {
        let response = open_stream(&site, 30).await;
        let busy = busy_engine(&site).await;
        // The frozen engine's connections stay open but send nothing.
        let freeze = |n| {
            if n == 5 {
                site.freeze(&format!("engine{busy}"));
            }
        };
        let started = std::time::Instant::now();
        let (chunks, error) = read_stream(response, freeze).await;
        assert!(error.is_none(), "{error:?}");
        assert_complete(&chunks, 30);
        assert!(started.elapsed() < site::WAIT_TIMEOUT, "the idle stream timed out");
    });
}

#[test]
fn request_moves_to_another_engine_when_its_engine_freezes_before_the_first_chunk() {
    let site = configured(2, &[], &[]);
    run(async move {
        site.freeze("engine0");
        for _ in 0..4 {
            let (chunks, error) = read_stream(open_stream(&site, 4).await, |_| {}).await;
            assert!(error.is_none(), "{error:?}");
            assert_complete(&chunks, 4);
        }
    });
}

#[test]
fn chunks_of_another_request_never_reach_a_caller() {
    // Every second response of each engine begins with a chunk of another request.
    let site = configured(2, &["--cross-every", "2"], &[]);
    run(async move {
        let mut ids = std::collections::HashSet::new();
        let mut complete = 0;
        for _ in 0..12 {
            let (chunks, error) = read_stream(open_stream(&site, 6).await, |_| {}).await;
            match error {
                None => {
                    assert_complete(&chunks, 6);
                    assert!(ids.insert(chunks[0].id), "each request gets a response of its own");
                    complete += 1;
                }
                Some(error) => assert!(chunks.is_empty() && !error.error.not_run, "{error:?}"),
            }
        }
        assert!(complete >= 6, "the other engine answers most requests: {complete} of 12");
    });
}

#[test]
fn stream_is_not_resumed_under_another_weights_version() {
    let mut site = configured(2, &["--decode-ms", "100", "--weights-ms", "0"], &[]);
    run(async move {
        let response = open_stream(&site, 20).await;
        let busy = busy_engine(&site).await;
        let other = format!("http://{}/v1/admin/weights", site.engines[1 - busy]);
        assert_eq!(post(&other, r#"{"version":2,"fencing":1}"#).await.0, 204);
        let kill = |n| {
            if n == 5 {
                site.kill(&format!("engine{busy}"));
            }
        };
        let (chunks, error) = read_stream(response, kill).await;
        assert_complete(&chunks, chunks.len() as u32);
        let error =
            error.expect("no engine is left with the weights version the response began with");
        assert!(!error.error.not_run, "part of the request ran");
    });
}

#[test]
fn request_that_an_engine_may_have_run_is_never_reported_as_not_run() {
    let mut site = configured(2, &[], &[]);
    site.kill("engine1");
    site.engine_args = vec!["--refuse".into(), "true".into()];
    site.start_engine(1);
    run(async move {
        site::wait_for(|| async {
            let dump = state(&site.routers[0]).await?;
            dump["engines"].as_array()?.iter().all(|e| e["down"] == false).then_some(())
        })
        .await;
        // Engine 0 accepts the request and never responds; engine 1 refuses it.
        site.freeze("engine0");
        let url = format!("http://{}/v1/completions", site.routers[0]);
        let (status, text) = post(&url, &completion("kili-checks", 64, 4, false)).await;
        let answer: ErrorBody = serde_json::from_str(&text).expect("error body");
        assert_eq!((status, answer.error.not_run), (502, false), "{text}");
        assert_eq!(answer.error.peer, site.engines[0]);
        // Only engine 1 is left to try, and it refuses the request: "not run" is true.
        let (status, text) = post(&url, &completion("kili-checks", 64, 4, false)).await;
        let answer: ErrorBody = serde_json::from_str(&text).expect("error body");
        assert_eq!((status, answer.error.not_run), (503, true), "{text}");
    });
}

/// More streams than the reserve of the retry budget lose their engine at the
/// same time.
#[test]
fn all_streams_of_a_killed_engine_resume_beyond_the_retry_reserve() {
    const STREAMS: usize = 70;
    let args = ["--decode-ms", "100", "--batch-us", "0", "--slots", "100"];
    let mut site = configured(2, &args, &[]);
    run(async move {
        let mut streams = Vec::new();
        for _ in 0..STREAMS {
            let response = open_stream(&site, 25).await;
            streams.push(ntex::rt::spawn(read_stream(response, |_| {})));
        }
        ntex::time::sleep(std::time::Duration::from_millis(600)).await;
        site.kill("engine0");
        for stream in streams {
            let (chunks, error) = stream.await.unwrap();
            assert!(error.is_none(), "{error:?}");
            assert_complete(&chunks, 25);
        }
        let dump = state(&site.routers[0]).await.unwrap();
        assert!(dump["counters"]["resumed"].as_u64().unwrap() > 25, "most streams had begun");
    });
}

/// When a caller disconnects before its first chunk, the router cancels the
/// request instead of waiting for the prefill of a prompt that nobody needs.
#[test]
fn engine_is_freed_when_the_caller_disconnects_before_the_first_chunk() {
    // The prefill of the 64-word prompt takes 12.8 s.
    let site = configured(1, &["--prefill-us", "200000", "--chunk", "1"], &[]);
    run(async move {
        let response = open_stream(&site, 4).await;
        busy_engine(&site).await;
        drop(response);
        let disconnected = std::time::Instant::now();
        site::wait_for(|| async {
            let dump = state(&site.routers[0]).await?;
            (dump["engines"][0]["inflight"].as_u64() == Some(0)).then_some(())
        })
        .await;
        let elapsed = disconnected.elapsed();
        assert!(elapsed < std::time::Duration::from_secs(5), "engine freed after {elapsed:?}");
    });
}
