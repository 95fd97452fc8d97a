//! Invalid input gets a 4xx status and an error that names the step and the peer
//! and states that the request did not run; the router keeps serving.

#[path = "support/site.rs"]
mod site;

use marjoram_core::wire::ErrorBody;
use site::{Site, completion, post, run};
use test_case::test_case;

#[test_case(r#"{"workspace": "kili-checks", "prompt": 7}"#, 400, "parse" ; "malformed body")]
#[test_case(r#"{"workspace": "Not A Name", "prompt": "x"}"#, 400, "parse" ; "bad workspace name")]
#[test_case(r#"{"workspace": "nowhere", "prompt": "x"}"#, 404, "route" ; "unknown workspace")]
#[test_case(r#"{"workspace": "kili-checks", "prompt": "x", "extra": 1}"#, 400, "parse" ; "unknown field")]
fn invalid_request_gets_an_error_with_step_and_peer(body: &str, status: u16, step: &str) {
    let site = Site::start(1, 1, &[]);
    let (body, step) = (body.to_string(), step.to_string());
    run(async move {
        let offset = site.configure("kili-checks", "round-robin").await;
        site.wait_config_applied(offset).await;
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
        site.wait_config_applied(offset).await;
        let url = format!("http://{}/v1/completions", site.routers[0]);
        let (status, text) = post(&url, &completion("kili-checks", 36_000, 2, false)).await;
        assert_eq!(status, 413, "{text}");
        assert!(text.contains("over the limit of 200000"), "{text}");
    });
}

/// Bytes that are not a valid call on the port for calls between routers close
/// that connection and affect nothing else.
#[test]
fn invalid_bytes_on_the_peer_port_only_close_that_connection() {
    use std::io::{Read, Write};

    let site = Site::start(1, 1, &[]);
    let router: std::net::SocketAddr = site.routers[0].parse().unwrap();
    let peer_port = (router.ip(), router.port() + 50);
    site::wait_listening(&format!("{}:{}", peer_port.0, peer_port.1));
    let preface: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
    for bytes in [&b"GET / HTTP/1.1\r\n\r\n"[..], &[0xff; 4096], &[preface, &[0xff; 64]].concat()] {
        let mut socket = std::net::TcpStream::connect(peer_port).unwrap();
        socket.set_read_timeout(Some(std::time::Duration::from_secs(5))).unwrap();
        let _ = socket.write_all(bytes);
        let _ = socket.shutdown(std::net::Shutdown::Write);
        let mut rest = Vec::new();
        let _ = socket.read_to_end(&mut rest);
    }
    run(async move {
        site.wait_ready(0).await;
        let offset = site.configure("kili-checks", "round-robin").await;
        site.wait_config_applied(offset).await;
        let url = format!("http://{}/v1/completions", site.routers[0]);
        let (status, text) = post(&url, &completion("kili-checks", 8, 2, false)).await;
        assert_eq!(status, 200, "{text}");
    });
}
