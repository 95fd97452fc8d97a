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

#[test]
fn engine_killed_mid_stream_ends_with_an_error_event() {
    let mut site = Site::start(22_200, 1, 1, &["--decode-ms", "100"]);
    run(async move {
        let offset = site.configure("kili-checks", "round-robin").await;
        site.wait_in_force(offset).await;
        let url = format!("http://{}/v1/completions", site.routers[0]);
        let response = client()
            .post(url)
            .header("content-type", "application/json")
            .send_body(completion("kili-checks", 64, 40, true))
            .await
            .expect("router answers");
        assert_eq!(response.status().as_u16(), 200);
        let mut events = response.eventsource();
        let mut seqs = Vec::new();
        let mut ending = None;
        while let Some(Ok(event)) = events.next().await {
            match (event.event.as_str(), event.data.as_str()) {
                ("error", data) => {
                    ending = Some(serde_json::from_str::<ErrorBody>(data).expect("error body"));
                    break;
                }
                (_, "[DONE]") => panic!("stream finished although its engine was killed"),
                (_, data) => {
                    let chunk: Chunk = serde_json::from_str(data).expect("chunk");
                    seqs.push(chunk.seq);
                    if seqs.len() == 3 {
                        site.kill("engine0");
                    }
                }
            }
        }
        let ending = ending.expect("the stream ended with an error event, not a silent cut");
        assert_eq!(ending.error.step, "stream");
        assert_eq!(ending.error.peer, site.engines[0]);
        assert!(!ending.error.not_run, "part of the answer ran");
        assert_eq!(seqs, (0..seqs.len() as u32).collect::<Vec<_>>(), "chunks in order");
    });
}

#[test]
fn refused_engine_is_passed_over() {
    let mut site = Site::start(22_300, 2, 1, &[]);
    run(async move {
        let offset = site.configure("kili-checks", "round-robin").await;
        site.wait_in_force(offset).await;
        site.kill("engine0");
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
fn engine_killed_mid_stream_is_resumed_on_another() {
    let mut site = Site::start(23_100, 2, 1, &["--decode-ms", "50"]);
    run(async move {
        let offset = site.configure("kili-checks", "round-robin").await;
        site.wait_in_force(offset).await;
        let url = format!("http://{}/v1/completions", site.routers[0]);
        let response = client()
            .post(url)
            .header("content-type", "application/json")
            .send_body(completion("kili-checks", 64, 30, true))
            .await
            .expect("router answers");
        let mut events = response.eventsource();
        let mut chunks: Vec<Chunk> = Vec::new();
        let mut done = false;
        while let Some(Ok(event)) = events.next().await {
            match (event.event.as_str(), event.data.as_str()) {
                ("error", data) => {
                    panic!("stream ended with an error although an engine was left: {data}")
                }
                (_, "[DONE]") => {
                    done = true;
                    break;
                }
                (_, data) => {
                    chunks.push(serde_json::from_str(data).expect("chunk"));
                    if chunks.len() == 5 {
                        let dump = state(&site.routers[0]).await.expect("state dump");
                        let busy = dump["engines"]
                            .as_array()
                            .unwrap()
                            .iter()
                            .position(|e| e["inflight"].as_u64() == Some(1))
                            .expect("one engine has the stream");
                        site.kill(&format!("engine{busy}"));
                    }
                }
            }
        }
        assert!(done, "the stream finished");
        let seqs: Vec<u32> = chunks.iter().map(|c| c.seq).collect();
        assert_eq!(seqs, (0..30).collect::<Vec<_>>(), "every chunk once, in order");
        let id = chunks[0].id;
        assert!(chunks.iter().all(|c| c.id == id && c.text == format!("t{id}.{} ", c.seq)));
        assert!(chunks.last().unwrap().usage.is_some());
    });
}
