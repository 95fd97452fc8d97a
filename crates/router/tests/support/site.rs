//! A small deployment (a "site") on loopback for failure tests: stand-ins and
//! routers as real processes, killed when the test ends, and HTTP helpers.
//!
//! Each site reserves a block of ports until it is dropped, so that tests can run in
//! parallel.

#![allow(dead_code)]

#[path = "../../../../platform/tests/support/ports.rs"]
mod ports;

use std::collections::HashMap;
use std::net::{SocketAddr, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use marjoram_core::wire::{Appended, HostEntry, HostState, Role};
use ntex::http::client::Client;
use ports::{Block, PortRange, Ports};
use rustix::process::{Resource, Rlimit, setrlimit};

/// Timeout of every wait in these tests.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(15);

/// Ports of the sites; each reserves one block.
const PORT_RANGE: PortRange = PortRange { first: 20_000, block_size: 200, blocks: 55 };

/// Processes of one site, killed when dropped.
pub struct Site {
    pub log: String,
    pub hosts: String,
    pub service: String,
    pub engines: Vec<String>,
    pub routers: Vec<String>,
    /// Extra arguments of routers started from now on.
    pub router_args: Vec<String>,
    /// Extra arguments of engines started from now on.
    pub engine_args: Vec<String>,
    /// Host lists of routers that do not use the common one, by the router's number.
    pub own_host_lists: HashMap<usize, String>,
    /// Environment of routers started from now on.
    pub router_env: Vec<(&'static str, String)>,
    /// Descriptors that routers started from now on can have; `None` for those of the test.
    pub router_fds: Option<u64>,
    /// File that the log of routers started from now on is written to.
    pub router_log: Option<PathBuf>,
    _block: Block,
    children: Vec<(String, Child)>,
}

impl Drop for Site {
    fn drop(&mut self) {
        for (_, child) in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

fn router_bin() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_marjoram"))
}

fn standin_bin() -> PathBuf {
    let path = router_bin().with_file_name("marjoram-standin");
    assert!(path.exists(), "{} is missing: run `cargo test --workspace`", path.display());
    path
}

impl Site {
    /// Starts the log service, the host list, the service, `engines` engines and
    /// `routers` routers, waits until they listen, and adds the engines, routers
    /// and service to the host list.
    pub fn start(engines: usize, routers: usize, engine_args: &[&str]) -> Site {
        Self::start_with(engines, routers, engine_args, &[], &[])
    }

    /// Like [`Site::start`], with extra arguments for the routers and the log service.
    pub fn start_with(
        engines: usize,
        routers: usize,
        engine_args: &[&str],
        router_args: &[&str],
        log_args: &[&str],
    ) -> Site {
        let block = PORT_RANGE.reserve().expect("a free block of ports");
        let addr = |n: u16| format!("127.0.0.1:{}", block.first + n);
        let mut site = Site {
            log: addr(0),
            hosts: addr(1),
            service: addr(2),
            engines: (0..engines as u16).map(|i| addr(10 + i)).collect(),
            routers: (0..routers as u16).map(|i| addr(40 + i)).collect(),
            engine_args: engine_args.iter().map(|s| s.to_string()).collect(),
            router_args: router_args.iter().map(|s| s.to_string()).collect(),
            own_host_lists: HashMap::new(),
            router_env: Vec::new(),
            router_fds: None,
            router_log: None,
            _block: block,
            children: Vec::new(),
        };
        let log = site.log.clone();
        let log_args = [&["log", "--listen", log.as_str()], log_args].concat();
        site.spawn("log", standin_bin(), &log_args);
        site.spawn_host_list("hosts", &site.hosts.clone());
        site.start_service();
        for i in 0..engines {
            site.start_engine(i);
        }
        for i in 0..routers {
            site.start_router(i);
        }
        let all: Vec<String> = [&site.log, &site.hosts, &site.service]
            .into_iter()
            .chain(&site.engines)
            .chain(&site.routers)
            .cloned()
            .collect();
        for addr in &all {
            wait_listening(addr);
        }
        let (list, hosts) = (site.host_entries(), site.hosts.clone());
        run(async move {
            for host in list {
                put_host(&hosts, &host).await;
            }
        });
        site
    }

    fn spawn(&mut self, name: &str, program: PathBuf, args: &[&str]) {
        let mut command = Command::new(&program);
        command
            .args(args)
            .env("MARJORAM_LOG", std::env::var("SITE_LOG").unwrap_or("warn".into()))
            .stdin(Stdio::null())
            .stdout(Stdio::null());
        if let Some(path) = self.router_log.as_ref().filter(|_| program == router_bin()) {
            command.env("MARJORAM_LOG", "info").stderr(std::fs::File::create(path).unwrap());
        }
        if program == router_bin() {
            command.envs(self.router_env.iter().cloned());
        }
        if let Some(limit) = self.router_fds.filter(|_| program == router_bin()) {
            let limit = Rlimit { current: Some(limit), maximum: Some(limit) };
            // SAFETY: the closure makes a single system call between fork and exec.
            unsafe {
                command.pre_exec(move || Ok(setrlimit(Resource::Nofile, limit)?));
            }
        }
        let child = command.spawn().expect("process starts");
        self.children.push((name.to_string(), child));
    }

    /// Starts engine `i`. After a kill it restarts with a new incarnation.
    pub fn start_engine(&mut self, i: usize) {
        let addr = self.engines[i].clone();
        let mut args = vec!["engine".to_string(), "--listen".into(), addr.clone()];
        args.extend(self.engine_args.iter().cloned());
        let args: Vec<&str> = args.iter().map(String::as_str).collect();
        self.spawn(&format!("engine{i}"), standin_bin(), &args);
        wait_listening(&addr);
    }

    /// Starts a further engine and adds it to the host list.
    pub async fn add_engine(&mut self) {
        let first: SocketAddr = self.engines[0].parse().expect("ip:port");
        let i = self.engines.len();
        self.engines.push(format!("127.0.0.1:{}", first.port() + i as u16));
        self.start_engine(i);
        put_host(&self.hosts, &entry(&self.engines[i], Role::Engine, HostState::Live, i)).await;
    }

    /// Starts the service. After a kill it restarts with its run counts empty.
    pub fn start_service(&mut self) {
        let addr = self.service.clone();
        self.spawn("service", standin_bin(), &["service", "--listen", &addr]);
        wait_listening(&addr);
    }

    /// Replaces the service by the one at `addr` in the host list, and waits until router 0 uses it.
    pub async fn use_service(&self, addr: &str) {
        put_host(&self.hosts, &host(&self.service, Role::Service, HostState::Leaving)).await;
        put_host(&self.hosts, &host(addr, Role::Service, HostState::Live)).await;
        wait_for(|| async {
            let dump = state(&self.routers[0]).await?;
            (dump["services"] == serde_json::json!([addr])).then_some(())
        })
        .await;
    }

    /// Starts a second service, not in the host list yet, and returns its address.
    pub fn start_second_service(&mut self) -> String {
        let first: SocketAddr = self.service.parse().expect("ip:port");
        let addr = format!("127.0.0.1:{}", first.port() + 1);
        self.spawn("service2", standin_bin(), &["service", "--listen", &addr]);
        wait_listening(&addr);
        addr
    }

    fn spawn_host_list(&mut self, name: &str, addr: &str) {
        self.spawn(name, standin_bin(), &["hosts", "--listen", addr, "--lag-ms", "200"]);
    }

    /// Restarts router `i` with a host list of its own, in which engines and services have
    /// the addresses that `addr` returns.
    pub fn restart_with_host_list(&mut self, i: usize, addr: impl Fn(SocketAddr) -> SocketAddr) {
        self.kill(&format!("router{i}"));
        let first: SocketAddr = self.hosts.parse().expect("ip:port");
        let hosts = format!("127.0.0.1:{}", first.port() + 3 + i as u16);
        self.spawn_host_list(&format!("hosts{i}"), &hosts);
        wait_listening(&hosts);
        let listed = |mut host: HostEntry| {
            if host.role != Role::Router {
                host.name = Some(host.addr.clone());
                host.addr = addr(host.addr.parse().expect("ip:port")).to_string();
            }
            host
        };
        let (list, to): (Vec<HostEntry>, _) =
            (self.host_entries().into_iter().map(listed).collect(), hosts.clone());
        run(async move {
            for host in list {
                put_host(&to, &host).await;
            }
        });
        self.own_host_lists.insert(i, hosts);
        self.start_router(i);
        wait_listening(&self.routers[i]);
    }

    /// Starts router `i`.
    pub fn start_router(&mut self, i: usize) {
        let addr = self.routers[i].clone();
        let dc = format!("dc{}", i + 1);
        let log = self.log.clone();
        let hosts = self.own_host_lists.get(&i).unwrap_or(&self.hosts).clone();
        let mut args = vec!["--listen", &addr, "--dc", &dc, "--log-service", &log];
        args.extend(["--host-list", &hosts, "--drain-ms", "1500", "--max-prompt", "200000"]);
        let extra = self.router_args.clone();
        args.extend(extra.iter().map(String::as_str));
        self.spawn(&format!("router{i}"), router_bin(), &args);
    }

    /// Kills process `name` with SIGKILL.
    pub fn kill(&mut self, name: &str) {
        let index = self.children.iter().position(|(n, _)| n == name).expect("known process");
        let (_, mut child) = self.children.remove(index);
        let _ = child.kill();
        let _ = child.wait();
    }

    /// Whether process `name` has exited by itself.
    pub fn has_exited(&mut self, name: &str) -> bool {
        let mut matching = self.children.iter_mut().filter(|(n, _)| n == name);
        matching.any(|(_, child)| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// Process id of process `name`.
    pub fn pid(&self, name: &str) -> u32 {
        let (_, child) = self.children.iter().find(|(n, _)| n == name).expect("known process");
        child.id()
    }

    /// Resident memory of process `name` in bytes.
    pub fn memory(&self, name: &str) -> u64 {
        let (_, child) = self.children.iter().find(|(n, _)| n == name).expect("known process");
        let status = std::fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).expect("VmRSS");
        line.trim().trim_end_matches(" kB").parse::<u64>().expect("kB") << 10
    }

    /// Sends SIGTERM to process `name` and returns its handle.
    pub fn terminate(&mut self, name: &str) -> Child {
        self.signal(name, "-TERM");
        let index = self.children.iter().position(|(n, _)| n == name).expect("known process");
        self.children.remove(index).1
    }

    /// Suspends process `name` with SIGSTOP; its connections stay open.
    pub fn freeze(&self, name: &str) {
        self.signal(name, "-STOP");
    }

    /// Resumes a frozen process with SIGCONT.
    pub fn unfreeze(&self, name: &str) {
        self.signal(name, "-CONT");
    }

    fn signal(&self, name: &str, signal: &str) {
        let (_, child) = self.children.iter().find(|(n, _)| n == name).expect("known process");
        let status = Command::new("kill").args([signal, &child.id().to_string()]).status();
        assert!(status.is_ok_and(|s| s.success()), "kill {signal} succeeds");
    }

    /// Injects a fault into the log service, such as `outage?ms=500`.
    pub async fn inject_log_fault(&self, fault: &str) {
        let url = format!("http://{}/v1/admin/{fault}", self.log);
        client().post(url).send().await.expect("fault injected");
    }

    fn host_entries(&self) -> Vec<HostEntry> {
        let mut hosts: Vec<HostEntry> = Vec::new();
        for (i, addr) in self.engines.iter().enumerate() {
            hosts.push(entry(addr, Role::Engine, HostState::Live, i));
        }
        for (i, addr) in self.routers.iter().enumerate() {
            hosts.push(entry(addr, Role::Router, HostState::Live, i));
        }
        hosts.push(entry(&self.service, Role::Service, HostState::Live, 0));
        hosts
    }

    /// Appends a configuration record and returns its offset.
    pub async fn publish(&self, record: &str) -> u64 {
        let mut response = client()
            .post(format!("http://{}/v1/streams/config", self.log))
            .send_body(record.to_string())
            .await
            .expect("log service answers");
        let body = response.body().await.expect("body");
        serde_json::from_slice::<Appended>(&body).expect("appended").offset.0
    }

    /// Publishes a template and workspace `ws` under `policy`.
    pub async fn configure(&self, ws: &str, policy: &str) -> u64 {
        self.publish(&format!(r#"{{"kind":"template","name":"t-{policy}","policy":"{policy}"}}"#))
            .await;
        self.publish(&format!(r#"{{"kind":"workspace","id":"{ws}","template":"t-{policy}"}}"#))
            .await
    }

    /// Waits until router `i` reports that it is ready.
    pub async fn wait_ready(&self, i: usize) {
        let url = format!("http://{}/healthz", self.routers[i]);
        wait_for(|| async {
            let response = client().get(&url).send().await.ok()?;
            response.status().is_success().then_some(())
        })
        .await;
    }

    /// Waits until every router has applied the configuration up to `offset` and
    /// knows at least one engine.
    pub async fn wait_config_applied(&self, offset: u64) {
        for router in &self.routers {
            wait_for(|| async {
                let state = state(router).await?;
                let applied = state["config"]["offset"].as_u64()?;
                let engines = state["engines"].as_array()?.len();
                (applied >= offset && engines > 0).then_some(())
            })
            .await;
        }
    }
}

/// A port of a block that this test process reserves besides those of its sites.
pub fn port() -> u16 {
    static PORTS: Mutex<Ports> = Mutex::new(Ports::new(PORT_RANGE));
    PORTS.lock().unwrap().next()
}

/// Adds one host entry to the host list at `hosts`, or replaces it.
pub async fn put_host(hosts: &str, host: &HostEntry) {
    let response = client().put(format!("http://{hosts}/v1/hosts")).send_json(host).await;
    assert!(response.is_ok_and(|r| r.status().is_success()), "host list accepts the entry");
}

fn entry(addr: &str, role: Role, state: HostState, i: usize) -> HostEntry {
    HostEntry { addr: addr.into(), role, state, dc: format!("dc{}", i % 4 + 1), name: None }
}

/// Returns a host entry in state `state`.
pub fn host(addr: &str, role: Role, state: HostState) -> HostEntry {
    entry(addr, role, state, 0)
}

/// Runs a future to completion on a fresh ntex system.
pub fn run<F>(future: F) -> F::Output
where
    F: std::future::Future + 'static,
    F::Output: 'static,
{
    ntex::rt::System::new("test").block_on(future)
}

/// Returns an HTTP client for tests.
pub fn client() -> Client {
    Client::build().timeout(ntex::time::Seconds(30)).finish()
}

/// Blocks until a process listens on `addr`.
pub fn wait_listening(addr: &str) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while TcpStream::connect(addr).is_err() {
        assert!(Instant::now() < deadline, "{addr} not listening after {WAIT_TIMEOUT:?}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Polls `probe` until it returns a value; panics after [`WAIT_TIMEOUT`].
pub async fn wait_for<T, F, Fut>(probe: F) -> T
where
    F: Fn() -> Fut,
    Fut: std::future::Future<Output = Option<T>>,
{
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        if let Some(value) = probe().await {
            return value;
        }
        assert!(Instant::now() < deadline, "condition not met after {WAIT_TIMEOUT:?}");
        ntex::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Fetches a router's state dump.
pub async fn state(router: &str) -> Option<serde_json::Value> {
    let mut response = client().get(format!("http://{router}/debug/state")).send().await.ok()?;
    let body = response.body().limit(1 << 24).await.ok()?;
    serde_json::from_slice(&body).ok()
}

/// Sends `body` to `url` with POST; returns the status and the body of the
/// response, or 0 and the error.
pub async fn post(url: &str, body: &str) -> (u16, String) {
    match client()
        .post(url)
        .header("content-type", "application/json")
        .send_body(body.to_string())
        .await
    {
        Ok(mut response) => {
            let status = response.status().as_u16();
            let bytes = response.body().limit(1 << 24).await.unwrap_or_default();
            (status, String::from_utf8_lossy(&bytes).into_owned())
        }
        Err(error) => (0, error.to_string()),
    }
}

/// Returns the body of a completion request for workspace `ws`.
pub fn completion(ws: &str, prompt_words: usize, max_tokens: u32, stream: bool) -> String {
    let prompt: Vec<String> = (0..prompt_words).map(|i| format!("w{i}")).collect();
    serde_json::json!({
        "workspace": ws, "prompt": prompt.join(" "), "max_tokens": max_tokens, "stream": stream
    })
    .to_string()
}
