//! Guarantee: a request that was read whole gets one answer or a refusal, also if its caller
//! pipelines requests or sends them while the router drains; a request whose caller has left
//! ends and has a log line.

#[path = "support/site.rs"]
mod site;

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use marjoram_core::wire::{HostState, Role};
use site::{Site, completion, host, put_host, run, state, wait_for};
use test_case::test_case;

const DONE: &str = "data: [DONE]";

fn configured(engine_args: &[&str]) -> Site {
    let site = Site::start(1, 1, engine_args);
    run(async move {
        let offset = site.configure("kili-checks", "round-robin").await;
        site.wait_config_applied(offset).await;
        site.wait_ready(0).await;
        site
    })
}

/// The bytes of a completion request.
fn request(max_tokens: u32, stream: bool) -> String {
    let body = completion("kili-checks", 16, max_tokens, stream);
    let head = "POST /v1/completions HTTP/1.1\r\nhost: router\r\ncontent-type: application/json";
    format!("{head}\r\ncontent-length: {}\r\n\r\n{body}", body.len())
}

/// The bytes of a call to a plain service.
fn call() -> String {
    let head = "POST /v1/services/alerts HTTP/1.1\r\nhost: router\r\ncontent-length: 2";
    format!("{head}\r\n\r\nab")
}

fn connect(site: &Site) -> TcpStream {
    let socket = TcpStream::connect(&site.routers[0]).expect("the router accepts");
    socket.set_read_timeout(Some(Duration::from_secs(8))).unwrap();
    socket
}

/// All that arrives until the router closes the connection or sends nothing for 8 s.
fn read_all(mut socket: TcpStream) -> String {
    let mut bytes = Vec::new();
    let _ = socket.read_to_end(&mut bytes);
    String::from_utf8_lossy(&bytes).into_owned()
}

/// The server library takes a caller that closes its sending side for one that has left.
#[test_case(request(200, false) ; "of one response")]
#[test_case(request(200, true) ; "of a stream")]
#[test_case(call() ; "of a call to a service")]
fn a_request_whose_caller_leaves_has_a_log_line_with_its_cause(bytes: String) {
    let mut site = configured(&["--decode-ms", "50"]);
    let log = std::env::temp_dir().join(format!("marjoram-{}.log", site.routers[0]));
    site.router_log = Some(log.clone());
    site.kill("router0");
    site.start_router(0);
    site::wait_listening(&site.routers[0]);
    replace_service(&site, &serve_slowly(Duration::from_secs(4)));
    let mut socket = connect(&site);
    let caller = socket.local_addr().unwrap().to_string();
    socket.write_all(bytes.as_bytes()).unwrap();
    std::thread::sleep(Duration::from_millis(500));
    socket.shutdown(Shutdown::Write).unwrap();
    let answer = read_all(socket);
    let is_end = |line: &str| line.contains("caller went away") || line.contains(&caller);
    let left = Instant::now();
    while !std::fs::read_to_string(&log).unwrap().lines().any(is_end) {
        assert!(left.elapsed() < Duration::from_secs(3), "no line; answer {answer:?}");
        std::thread::sleep(Duration::from_millis(50));
    }
    let _ = std::fs::remove_file(&log);
}

#[test_case(false, r#""completion_tokens":40"# ; "a response")]
#[test_case(true, DONE ; "a stream")]
fn a_caller_that_closes_only_its_sending_side_gets_its_answer(stream: bool, end: &str) {
    let site = configured(&["--decode-ms", "20"]);
    let mut socket = connect(&site);
    socket.write_all(request(40, stream).as_bytes()).unwrap();
    std::thread::sleep(Duration::from_millis(200));
    socket.shutdown(Shutdown::Write).unwrap();
    let answer = read_all(socket);
    assert!(answer.contains(end), "{answer:?}");
}

#[test_case(false, r#""completion_tokens":20"# ; "responses")]
#[test_case(true, DONE ; "streams")]
fn pipelined_requests_are_all_answered(stream: bool, end: &str) {
    let site = configured(&["--decode-ms", "20"]);
    let mut socket = connect(&site);
    socket.write_all(request(20, stream).repeat(3).as_bytes()).unwrap();
    let answers = read_all(socket);
    assert_eq!(answers.matches(end).count(), 3, "{answers:?}");
}

/// Requests on a connection that is kept open are answered or refused until it is closed.
#[test]
fn requests_on_an_open_connection_are_answered_or_refused_while_the_router_drains() {
    let mut site = configured(&["--decode-ms", "5"]);
    let mut socket = connect(&site);
    let (mut sent, mut answered, mut refused) = (0, 0, 0);
    let mut router = site.terminate("router0");
    let begun = Instant::now();
    let mut text = String::new();
    while begun.elapsed() < Duration::from_secs(6) {
        if socket.write_all(request(4, false).as_bytes()).is_err() {
            break;
        }
        sent += 1;
        let mut bytes = [0; 4096];
        match socket.read(&mut bytes) {
            Ok(len) if len > 0 => {
                text = String::from_utf8_lossy(&bytes[..len]).into_owned();
                answered += usize::from(text.starts_with("HTTP/1.1 200"));
                refused += usize::from(text.starts_with("HTTP/1.1 503"));
            }
            _ => break,
        }
        std::thread::sleep(Duration::from_millis(1));
    }
    println!("{sent} sent, {answered} answered, {refused} refused, {:.1?}", begun.elapsed());
    assert!(router.wait().expect("router exits").success());
    assert!(refused > 10 && sent - answered - refused <= 1, "{text}");
}

/// A request that was sent before SIGTERM and is answered after the drain period.
#[test_case(false, false ; "a response")]
#[test_case(true, false ; "a stream")]
#[test_case(false, true ; "a call to a service")]
fn a_long_request_is_answered_by_a_draining_router(stream: bool, service: bool) {
    let mut site = configured(&["--decode-ms", "100"]);
    let mut socket = connect(&site);
    if service {
        let addr = serve_slowly(Duration::from_secs(4));
        replace_service(&site, &addr);
        socket.write_all(call().as_bytes()).unwrap();
    } else {
        socket.write_all(request(40, stream).as_bytes()).unwrap();
    }
    std::thread::sleep(Duration::from_millis(300));
    let mut router = site.terminate("router0");
    let answer = read_all(socket);
    let end = match (service, stream) {
        (true, _) => "slow answer",
        (_, true) => DONE,
        (_, false) => r#""completion_tokens":40"#,
    };
    assert!(answer.contains(end), "{answer:?}");
    assert!(router.wait().expect("router exits").success());
}

/// Serves a plain service that answers each call after `delay`.
fn serve_slowly(delay: Duration) -> String {
    let listener = TcpListener::bind(("127.0.0.1", site::port())).expect("a free port");
    let addr = listener.local_addr().unwrap().to_string();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let _ = stream.read(&mut [0; 4096]);
                std::thread::sleep(delay);
                let head = "HTTP/1.1 200 OK\r\ncontent-length: 11";
                stream.write_all(format!("{head}\r\n\r\nslow answer").as_bytes())
            });
        }
    });
    addr
}

fn replace_service(site: &Site, addr: &str) {
    let (hosts, own, router) = (site.hosts.clone(), site.service.clone(), site.routers[0].clone());
    let addr = addr.to_string();
    run(async move {
        put_host(&hosts, &host(&own, Role::Service, HostState::Leaving)).await;
        put_host(&hosts, &host(&addr, Role::Service, HostState::Live)).await;
        wait_for(|| async {
            (state(&router).await?["services"] == serde_json::json!([addr])).then_some(())
        })
        .await;
    });
}

/// The prefill of the prompt takes 3.2 s, the answer as long as the test.
#[test_case(false ; "a response")]
#[test_case(true ; "a stream")]
fn the_request_of_a_caller_that_has_left_ends(stream: bool) {
    let site = configured(&["--prefill-us", "200000", "--chunk", "1", "--decode-ms", "100"]);
    let mut socket = connect(&site);
    socket.write_all(request(1_000, stream).as_bytes()).unwrap();
    run(async move {
        let router = site.routers[0].clone();
        let wait_inflight = |count: u64| {
            let router = router.clone();
            wait_for(move || {
                let router = router.clone();
                async move {
                    let dump = state(&router).await?;
                    (dump["engines"][0]["inflight"].as_u64() == Some(count)).then_some(())
                }
            })
        };
        wait_inflight(1).await;
        drop(socket);
        let left = Instant::now();
        wait_inflight(0).await;
        println!("ended after {:.1?}", left.elapsed());
        assert!(left.elapsed() < Duration::from_secs(2), "ended after {:?}", left.elapsed());
    });
}

/// The retry of a call with a key must get the answer of the call that ran, not a conflict.
#[test]
fn the_answer_to_a_call_whose_caller_has_left_is_replayed_to_a_retry() {
    let site = configured(&[]);
    replace_service(&site, &serve_slowly(Duration::from_secs(1)));
    let bytes = call().replace("\r\n\r\n", "\r\nidempotency-key: left-1\r\n\r\n");
    let mut socket = connect(&site);
    socket.write_all(bytes.as_bytes()).unwrap();
    std::thread::sleep(Duration::from_millis(500));
    drop(socket);
    std::thread::sleep(Duration::from_secs(2));
    let mut socket = connect(&site);
    socket.write_all(bytes.as_bytes()).unwrap();
    let answer = read_all(socket);
    assert!(answer.contains("slow answer"), "{answer}");
}
