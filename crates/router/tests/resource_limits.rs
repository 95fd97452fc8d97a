//! Guarantee: crowds of callers that do not behave end no router. Its process stays within the
//! memory and descriptors of its host, and answers an ordinary request afterwards.

#[path = "../../../platform/tests/support/alone.rs"]
mod alone;
#[path = "../../../platform/tests/support/crowd.rs"]
mod crowd;
#[path = "support/site.rs"]
mod site;

use std::io::{Read, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use alone::alone;
use crowd::{Process, write_pieces};
use site::{Site, completion, post, run, wait_for, wait_listening};
use test_case::test_case;

/// Memory of the smallest hosts, in megabytes.
const MEMORY_MB: u64 = 88;

/// Callers with bodies of the largest size that one may send, 200 KB for the prompt and 64 KiB
/// beyond it.
const SENDERS: usize = 400;
const BODY_SIZE: usize = 250_000;

/// Descriptors of a host.
const FDS_OF_HOST: u64 = 4_100;

/// Descriptors that are reserved for files; sockets and pipes share the others.
const FILE_FDS: u64 = 200;

/// Descriptors of a host with 400 for sockets, and connections beyond them.
const FEW_FDS: u64 = 600;
const TOO_MANY_CONNS: usize = 700;

/// Default distance of the port for other routers from the port for callers.
const PEER_OFFSET: u16 = 50;

/// A site with one engine and one router, which has `fds` descriptors.
fn start(fds: u64) -> Site {
    start_with(fds, &[])
}

/// Like [`start`], with a service that serves each of its connections by `serve`.
fn start_with_service(serve: impl Fn(TcpStream) -> Result<()> + Clone + Send + 'static) -> Site {
    let listener = TcpListener::bind(("127.0.0.1", site::port())).unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    std::thread::spawn(move || {
        for conn in listener.incoming().flatten() {
            let serve = serve.clone();
            std::thread::spawn(move || serve(conn));
        }
    });
    let site = start(FDS_OF_HOST);
    run(async move {
        site.use_service(&addr).await;
        site
    })
}

/// Like [`start`], with the additional arguments `engine_args` of the engine.
fn start_with(fds: u64, engine_args: &[&str]) -> Site {
    let mut site = Site::start(1, 1, engine_args);
    site.kill("router0");
    site.router_env = vec![("MARJORAM_MEMORY_MB", MEMORY_MB.to_string())];
    site.router_fds = Some(fds);
    site.start_router(0);
    wait_listening(&site.routers[0]);
    run(async move {
        let offset = site.configure("kili-checks", "round-robin").await;
        site.wait_config_applied(offset).await;
        site.wait_ready(0).await;
        site
    })
}

/// Lets `count` callers send what `send` writes to `addr`, and checks the router, which still runs.
fn check(
    mut site: Site,
    addr: SocketAddr,
    count: usize,
    fds: u64,
    send: impl Fn(&mut TcpStream) -> Result<()> + Send + Sync,
) -> Site {
    let front: SocketAddr = site.routers[0].parse().expect("an address");
    let ports = [front.port(), addr.port()];
    let process = Process { pid: site.pid("router0"), ports: &ports, upstreams: &[] };
    let (conns, peak) = crowd::gather(process, addr, count, |_, conn| send(conn));
    println!("{peak:?}");
    assert!(!site.has_exited("router0"), "the process has ended");
    assert!(peak.memory_mb <= MEMORY_MB, "{peak:?}");
    assert!(peak.sockets <= fds - FILE_FDS, "{peak:?}");
    run(async move {
        let url = format!("http://{front}/v1/completions");
        let body = completion("kili-checks", 40, 2, false);
        wait_for(|| async {
            let asked = ntex::time::timeout(Duration::from_secs(2), post(&url, &body));
            asked.await.ok().filter(|(status, _)| *status == 200)
        })
        .await;
    });
    drop(conns);
    site
}

fn front(site: &Site) -> SocketAddr {
    site.routers[0].parse().expect("an address")
}

/// The head of a completion whose body is delimited by `framing`.
fn head(framing: &str) -> String {
    format!("POST /v1/completions HTTP/1.1\r\nHost: h\r\n{framing}\r\n\r\n")
}

/// The body of a completion, [`BODY_SIZE`] bytes long.
fn body() -> Vec<u8> {
    let prompt = "x".repeat(190_000);
    let mut text = format!(
        r#"{{"workspace": "kili-checks", "max_tokens": 2, "stream": false, "prompt": "{prompt}"}}"#
    );
    text.extend(std::iter::repeat_n(' ', BODY_SIZE - text.len()));
    text.into_bytes()
}

/// A completion whose body lacks its last `missing` bytes.
fn request(missing: usize) -> Vec<u8> {
    let body = body();
    let head = head(&format!("Content-Length: {}", body.len()));
    [head.as_bytes(), &body[..body.len() - missing]].concat()
}

#[test_case(1 << 20; "at once")]
#[test_case(16 << 10; "in pieces")]
fn completions_that_stop_a_byte_short_take_bounded_memory(piece: usize) {
    let _alone = alone();
    let site = start(FDS_OF_HOST);
    let addr = front(&site);
    let request = request(1);
    check(site, addr, SENDERS, FDS_OF_HOST, |conn| write_pieces(conn, &request, piece));
}

#[test_case(60_000; "large")]
#[test_case(64; "small")]
fn chunked_completions_without_their_end_take_bounded_memory(size: usize) {
    let _alone = alone();
    let site = start(FDS_OF_HOST);
    let addr = front(&site);
    let chunks = format!("{size:x}\r\n{}\r\n", "x".repeat(size)).repeat(240_000 / size);
    let request = head("Transfer-Encoding: chunked") + &chunks;
    check(site, addr, SENDERS, FDS_OF_HOST, |conn| conn.write_all(request.as_bytes()));
}

#[test]
fn whole_completions_take_bounded_memory() {
    let _alone = alone();
    let site = start(FDS_OF_HOST);
    let addr = front(&site);
    let request = request(0);
    check(site, addr, SENDERS, FDS_OF_HOST, |conn| conn.write_all(&request));
}

/// Callers that leave before the answer, calls that each sends, and how long it stays after each.
const LEAVERS: usize = 100;
const CALLS_A_LEAVER: usize = 60;
const STAY: Duration = Duration::from_millis(50);

#[test]
fn calls_with_a_key_whose_callers_have_left_take_bounded_memory() {
    let _alone = alone();
    let site = start_with_service(|_silent| {
        loop {
            std::thread::park();
        }
    });
    let addr = front(&site);
    let (body, numbers) = (vec![b'x'; BODY_SIZE], AtomicUsize::new(0));
    let call = |conn: &mut TcpStream| {
        let key = numbers.fetch_add(1, Ordering::Relaxed);
        write!(
            conn,
            "POST /v1/services/slow HTTP/1.1\r\nHost: h\r\nIdempotency-Key: {key}\r\n\
             Content-Length: {BODY_SIZE}\r\n\r\n"
        )?;
        conn.write_all(&body)?;
        std::thread::sleep(STAY);
        Ok(())
    };
    check(site, addr, LEAVERS, FDS_OF_HOST, |conn| {
        for _ in 1..CALLS_A_LEAVER {
            call(&mut TcpStream::connect(addr)?)?;
        }
        call(conn)
    });
}

/// Calls that a caller sends together, the length of the answer to each, and the time in which the
/// router gets them.
const CALLS_TOGETHER: usize = 16;
const ANSWER_SIZE: usize = 250_000;
const ANSWER_TIME: Duration = Duration::from_secs(1);

/// Answers each call on `conn`, which has an empty body.
fn answer_calls(mut conn: TcpStream) -> Result<()> {
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {ANSWER_SIZE}\r\n\r\n");
    let answer = [head.as_bytes(), &[b'y'; ANSWER_SIZE]].concat();
    loop {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            conn.read_exact(&mut byte)?;
            head.extend(byte);
        }
        conn.write_all(&answer)?;
    }
}

#[test]
fn answers_of_services_that_are_not_read_take_bounded_memory() {
    let _alone = alone();
    let site = start_with_service(answer_calls);
    let addr = front(&site);
    let call = "POST /v1/services/long HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";
    let calls = call.repeat(CALLS_TOGETHER);
    check(site, addr, SENDERS, FDS_OF_HOST, |conn| {
        rustix::net::sockopt::set_socket_recv_buffer_size(&*conn, 4 << 10)?;
        conn.write_all(calls.as_bytes())?;
        std::thread::sleep(ANSWER_TIME);
        Ok(())
    });
}

#[test_case(""; "idle")]
#[test_case("GET /healthz HTTP/1.1\r\n"; "unfinished heads")]
fn connections_beyond_the_descriptors_of_a_router_leave_some_for_others(sent: &str) {
    let _alone = alone();
    let site = start(FEW_FDS);
    let addr = front(&site);
    check(site, addr, TOO_MANY_CONNS, FEW_FDS, |conn| conn.write_all(sent.as_bytes()));
}

/// Tokens of a stream that takes longer than a crowd gathers, and the time for each.
const TOKENS: u32 = 60;
const TOKEN_MS: &str = "50";

#[test]
fn a_stream_in_progress_is_kept_for_its_caller_beside_idle_connections() {
    let _alone = alone();
    let site = start_with(FEW_FDS, &["--decode-ms", TOKEN_MS]);
    let addr = front(&site);
    let body = completion("kili-checks", 40, TOKENS, true);
    let head = head(&format!("Content-Length: {}", body.len()));
    let mut stream = TcpStream::connect(addr).unwrap();
    stream.write_all((head + &body).as_bytes()).unwrap();
    let mut text = vec![0; 16];
    stream.read_exact(&mut text).unwrap();
    let _site = check(site, addr, TOO_MANY_CONNS, FEW_FDS, |_| Ok(()));
    stream.read_to_end(&mut text).unwrap();
    let text = String::from_utf8_lossy(&text);
    assert!(text.contains("[DONE]"), "{text}");
}

#[test]
fn connections_to_the_port_for_routers_leave_descriptors_for_others() {
    let _alone = alone();
    let site = start(FEW_FDS);
    let addr = front(&site);
    let addr = SocketAddr::new(addr.ip(), addr.port() + PEER_OFFSET);
    let preface = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0";
    check(site, addr, TOO_MANY_CONNS, FEW_FDS, |conn| conn.write_all(preface));
}
