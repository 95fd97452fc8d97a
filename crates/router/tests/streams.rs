//! Promise: every stream is complete and in order.
//!
//! An engine killed in the middle of a stream hands the stream on to
//! another engine from the first chunk not yet sent, so the caller gets
//! every chunk once and in order. With no engine left, the caller's stream
//! ends with an error event naming the step and the engine, never a silent
//! cut that looks like a short answer. An engine that refuses connections
//! is passed over before the request is sent anywhere.

#[path = "support/site.rs"]
mod site;

use eventsource_stream::Eventsource;
use futures::StreamExt;
use marjoram_core::wire::{Chunk, Completion, ErrorBody};
use site::{Site, client, completion, post, run, state};

/// A router's streamed answer: its chunks, and the error it ended with.
async fn read_stream(
    response: ntex::http::client::ClientResponse,
    mut at: impl FnMut(usize),
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
        at(chunks.len());
    }
    panic!("stream cut without an end after {} chunks", chunks.len());
}

async fn open_stream(site: &Site, max_tokens: u32) -> ntex::http::client::ClientResponse {
    client()
        .post(format!("http://{}/v1/completions", site.routers[0]))
        .header("content-type", "application/json")
        .send_body(completion("kili-checks", 64, max_tokens, true))
        .await
        .expect("router answers")
}

/// The engine that has the one stream in flight.
async fn busy_engine(site: &Site) -> usize {
    site::wait_for(|| async {
        let dump = state(&site.routers[0]).await?;
        dump["engines"].as_array()?.iter().position(|e| e["inflight"].as_u64() == Some(1))
    })
    .await
}

fn assert_whole(chunks: &[Chunk], count: u32) {
    let id = chunks[0].id;
    let seqs: Vec<u32> = chunks.iter().map(|c| c.seq).collect();
    assert_eq!(seqs, (0..count).collect::<Vec<_>>(), "every chunk once, in order");
    assert!(chunks.iter().all(|c| c.id == id && c.text == format!("t{id}.{}v1 ", c.seq)));
}

fn configured(engines: usize, engine_args: &[&str], router_args: &[&str]) -> Site {
    let site = Site::start_with(engines, 1, engine_args, router_args, &[]);
    run(async move {
        let offset = site.configure("kili-checks", "round-robin").await;
        site.wait_in_force(offset).await;
        site.wait_ready(0).await;
        site
    })
}

#[test]
fn engine_killed_mid_stream_ends_with_an_error_event() {
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
        let error = error.expect("the stream ended with an error event, not a silent cut").error;
        assert_eq!((error.step.as_str(), error.peer), ("stream", engine));
        assert!(!error.not_run, "part of the answer ran");
        assert_whole(&chunks, chunks.len() as u32);
    });
}

#[test]
fn engine_killed_mid_stream_is_resumed_on_another() {
    let mut site = configured(2, &["--decode-ms", "50"], &[]);
    run(async move {
        let response = open_stream(&site, 30).await;
        let busy = busy_engine(&site).await;
        let kill = |n| {
            if n == 5 {
                site.kill(&format!("engine{busy}"));
            }
        };
        let (chunks, error) = read_stream(response, kill).await;
        assert!(error.is_none(), "an engine was left: {error:?}");
        assert_whole(&chunks, 30);
        assert!(chunks.last().unwrap().usage.is_some());
    });
}

#[test]
fn refused_engine_is_passed_over() {
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
fn engine_frozen_mid_stream_is_resumed_on_another() {
    let site = configured(2, &["--decode-ms", "50"], &["--stream-idle-ms", "500"]);
    run(async move {
        let response = open_stream(&site, 30).await;
        let busy = busy_engine(&site).await;
        // Its connections stay open and go silent.
        let freeze = |n| {
            if n == 5 {
                site.freeze(&format!("engine{busy}"));
            }
        };
        let started = std::time::Instant::now();
        let (chunks, error) = read_stream(response, freeze).await;
        assert!(error.is_none(), "{error:?}");
        assert_whole(&chunks, 30);
        assert!(started.elapsed() < site::PATIENCE, "the silence was noticed");
    });
}

#[test]
fn engine_frozen_before_its_first_chunk_is_left_for_another() {
    let site = configured(2, &[], &[]);
    run(async move {
        site.freeze("engine0");
        for _ in 0..4 {
            let (chunks, error) = read_stream(open_stream(&site, 4).await, |_| {}).await;
            assert!(error.is_none(), "{error:?}");
            assert_whole(&chunks, 4);
        }
    });
}

#[test]
fn crossed_answers_reach_nobody() {
    // Every second answer of either engine begins with another's chunk.
    let site = configured(2, &["--cross-every", "2"], &[]);
    run(async move {
        let mut ids = std::collections::HashSet::new();
        let mut whole = 0;
        for _ in 0..12 {
            let (chunks, error) = read_stream(open_stream(&site, 6).await, |_| {}).await;
            match error {
                None => {
                    assert_whole(&chunks, 6);
                    assert!(ids.insert(chunks[0].id), "one answer for each request");
                    whole += 1;
                }
                Some(error) => assert!(chunks.is_empty() && !error.error.not_run, "{error:?}"),
            }
        }
        assert!(whole >= 6, "the other engine answers most: {whole} of 12");
    });
}

#[test]
fn a_stream_never_goes_on_under_other_weights() {
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
        assert_whole(&chunks, chunks.len() as u32);
        let error = error.expect("no engine is left with the weights the answer began under");
        assert!(!error.error.not_run, "part of the answer ran");
    });
}

#[test]
fn a_request_one_engine_may_have_run_is_never_called_not_run() {
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
        // Engine 0 takes the request and never answers; engine 1 refuses it.
        site.freeze("engine0");
        let url = format!("http://{}/v1/completions", site.routers[0]);
        let (status, text) = post(&url, &completion("kili-checks", 64, 4, false)).await;
        let answer: ErrorBody = serde_json::from_str(&text).expect("error body");
        assert_eq!((status, answer.error.not_run), (502, false), "{text}");
        assert_eq!(answer.error.peer, site.engines[0]);
        // Only engine 1 is left to ask: now it is true.
        let (status, text) = post(&url, &completion("kili-checks", 64, 4, false)).await;
        let answer: ErrorBody = serde_json::from_str(&text).expect("error body");
        assert_eq!((status, answer.error.not_run), (503, true), "{text}");
    });
}

/// More streams than the retry budget's reserve lose their engine at once.
#[test]
fn every_stream_of_a_crowded_engine_is_resumed() {
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
            assert_whole(&chunks, 25);
        }
        let dump = state(&site.routers[0]).await.unwrap();
        assert!(dump["counters"]["resumed"].as_u64().unwrap() > 25, "most were under way");
    });
}

/// A caller that leaves before its first chunk frees the engine: the router
/// does not wait for a prompt to be read that nobody wants.
#[test]
fn a_caller_that_leaves_frees_its_engine() {
    // The prompt of 64 words takes 12.8 s to read.
    let site = configured(1, &["--prefill-us", "200000", "--chunk", "1"], &[]);
    run(async move {
        let response = open_stream(&site, 4).await;
        busy_engine(&site).await;
        drop(response);
        let left = std::time::Instant::now();
        site::wait_for(|| async {
            let dump = state(&site.routers[0]).await?;
            (dump["engines"][0]["inflight"].as_u64() == Some(0)).then_some(())
        })
        .await;
        let took = left.elapsed();
        assert!(took < std::time::Duration::from_secs(5), "noticed after {took:?}");
    });
}
