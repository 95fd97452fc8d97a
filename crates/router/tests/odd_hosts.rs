//! Guarantee: an odd entry in the host list ends no router, and does not keep it from following the
//! others.

#[path = "support/site.rs"]
mod site;

use std::io::{Read, Result, Write};
use std::net::{TcpListener, TcpStream};

use marjoram_core::wire::{HostState, Role};
use site::{Site, completion, host, post, put_host, run, state, wait_for};
use test_case::test_case;

/// Levels of the arrays in a deeply nested entry.
const LEVELS: usize = 100_000;

/// The list at `hosts`, as text.
fn list(hosts: &str) -> Result<String> {
    let mut stream = TcpStream::connect(hosts)?;
    stream.write_all(b"GET /v1/hosts HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n")?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    Ok(answer.split_once("\r\n\r\n").expect("an answer").1.into())
}

/// Serves the list at `hosts` with the entry `odd` before the others; returns the address.
fn serve_with(hosts: &str, odd: String) -> String {
    let listener = TcpListener::bind(("127.0.0.1", site::port())).expect("a free port");
    let addr = listener.local_addr().unwrap().to_string();
    let hosts = hosts.to_string();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            // Fails if a router that is killed has asked.
            let _ = answer(stream, &hosts, &odd);
        }
    });
    addr
}

/// Answers a request for the list with that at `hosts`, and the entry `odd` before the others.
fn answer(mut stream: TcpStream, hosts: &str, odd: &str) -> Result<()> {
    if stream.read(&mut [0; 4 << 10])? == 0 {
        return Ok(());
    }
    let list = list(hosts)?.replacen("\"hosts\":[", &format!("\"hosts\":[{odd},"), 1);
    let length = list.len();
    write!(stream, "HTTP/1.1 200 OK\r\nconnection: close\r\n")?;
    write!(stream, "content-length: {length}\r\n\r\n{list}")
}

#[test_case(r#"{"addr":"127.0.0.1:9","role":"engine","state":"live","dc":"dc1","more":NESTED}"#; "a deeply nested field")]
#[test_case(r#"{"addr":"127.0.0.1:9","role":"engine","state":"live","dc":NESTED}"#; "a deeply nested data centre")]
#[test_case(r#"{"addr":"127.0.0.1:9","role":"engine","state":"live","dc":"dc1","more":1e400}"#; "a number too large")]
#[test_case(r#"{"addr":"127.0.0.1:9","role":"engine","state":"live","dc":1e400}"#; "a number in place of text")]
#[test_case(r#"{"addr":"127.0.0.1:70000","role":"engine","state":"live","dc":"dc1"}"#; "a port out of range")]
#[test_case(r#"{"addr":"127.0.0.1:70000","role":"router","state":"live","dc":"dc1"}"#; "a router with a port out of range")]
#[test_case(r#"{"addr":"127.0.0.1:70000","role":"service","state":"live","dc":"dc1"}"#; "a service with a port out of range")]
#[test_case(r#"{"addr":"no address","role":"engine","state":"live","dc":"dc1"}"#; "no address")]
#[test_case(r#"{"addr":"127.0.0.1:9","role":"other","state":"live","dc":"dc1"}"#; "an unknown role")]
#[test_case(r#"{"addr":"127.0.0.1:9","role":"engine","state":"other","dc":"dc1"}"#; "an unknown state")]
#[test_case(r#"{"addr":"127.0.0.1:9"}"#; "missing fields")]
#[test_case("null"; "no entry")]
fn an_odd_entry_in_the_host_list_neither_ends_a_router_nor_keeps_it_from_following(
    odd: &'static str,
) {
    let mut site = Site::start(2, 1, &[]);
    let nested = format!("{}{}", "[".repeat(LEVELS), "]".repeat(LEVELS));
    let hosts = serve_with(&site.hosts, odd.replace("NESTED", &nested));
    site.kill("router0");
    site.own_host_lists.insert(0, hosts);
    site.start_router(0);
    site::wait_listening(&site.routers[0]);
    run(async move {
        let offset = site.configure("kili-checks", "round-robin").await;
        site.wait_config_applied(offset).await;
        site.wait_ready(0).await;
        let url = |path: &str| format!("http://{}/v1/{path}", site.routers[0]);
        for _ in 0..4 {
            let request = completion("kili-checks", 8, 2, false);
            let (status, text) = post(&url("completions"), &request).await;
            assert_eq!(status, 200, "{text}");
            let (status, text) = post(&url("services/alerts"), "call").await;
            assert_eq!(status, 200, "{text}");
        }
        put_host(&site.hosts, &host(&site.engines[1], Role::Engine, HostState::Leaving)).await;
        wait_for(|| async {
            let dump = state(&site.routers[0]).await?;
            let engines = dump["engines"].as_array()?.clone();
            let is_leaving = |e: &serde_json::Value| e["engine"]["leaving"] == true;
            engines.iter().any(is_leaving).then_some(())
        })
        .await;
        assert!(!site.has_exited("router0"));
    });
}
