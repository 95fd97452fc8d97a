//! The demo: a small deployment on loopback that replays the workloads under
//! every routing policy.
//!
//! It starts the log service, the host list, the service, `engines`
//! engines and `routers` routers as separate processes, lists them in the
//! host list and publishes templates and workspaces to the log service. For each
//! policy it then moves every workspace to that policy, waits until every router
//! has applied the change, clears the engines' caches and replays both workloads.
//! The processes are killed when the demo ends, also on error.

use std::cell::RefCell;
use std::fmt::Write as _;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};

use marjoram_core::config::Record;
use marjoram_core::ids::Offset;
use marjoram_core::policy::PolicyName;
use marjoram_core::wire::{Appended, HostEntry, HostState, Role};
use marjoram_core::workload::{Site, workspaces};
use ntex::http::client::Client;

use crate::error::Error;
use crate::load::{self, Report};
use crate::options::{DEFAULT_CALLERS, DemoOptions, LoadOptions};

/// Timeout for a process to listen, for the log service to accept a record and
/// for a router to apply the configuration.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Child processes, killed when dropped.
struct Children(Vec<Child>);

impl Drop for Children {
    fn drop(&mut self) {
        for child in &mut self.0 {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Index of the first engine's process in the list of children.
const FIRST_ENGINE_INDEX: usize = 3;

/// Runs the demo and prints the table of measurements.
pub async fn run(opts: DemoOptions) -> Result<(), Error> {
    let dir = std::env::current_exe()
        .map_err(|e| Error::Io("find", "own binary".into(), e))?
        .parent()
        .map(PathBuf::from)
        .unwrap_or_default();
    let standin = dir.join("marjoram-standin");
    let router = dir.join("marjoram");
    if !router.exists() {
        return Err(Error::Usage(format!(
            "{} not found; build both binaries first",
            router.display()
        )));
    }
    let port = |n: u16| format!("127.0.0.1:{}", opts.port + n);
    let (log, hosts, service) = (port(0), port(1), port(2));
    let engines: Vec<String> = (0..opts.engines as u16).map(|i| port(10 + i)).collect();
    let routers: Vec<String> = (0..opts.routers as u16).map(|i| port(40 + i)).collect();
    let processes = Rc::new(RefCell::new(Children(Vec::new())));
    processes.borrow_mut().0.push(spawn(&standin, &["log", "--listen", &log])?);
    processes
        .borrow_mut()
        .0
        .push(spawn(&standin, &["hosts", "--listen", &hosts, "--lag-ms", "300"])?);
    processes.borrow_mut().0.push(spawn(&standin, &["service", "--listen", &service])?);
    for (i, addr) in engines.iter().enumerate() {
        let seed = (i + 1).to_string();
        processes
            .borrow_mut()
            .0
            .push(spawn(&standin, &["engine", "--listen", addr, "--seed", &seed])?);
    }
    for (i, addr) in routers.iter().enumerate() {
        let dc = format!("dc{}", i % 4 + 1);
        let args = ["--listen", addr, "--dc", &dc, "--log-service", &log, "--host-list", &hosts];
        processes.borrow_mut().0.push(spawn(&router, &args)?);
    }
    for addr in [&log, &hosts, &service].into_iter().chain(&engines).chain(&routers) {
        wait_listening(addr).await?;
    }
    let client = Client::build().timeout(ntex::time::Seconds(10)).finish();
    register(&client, &hosts, &engines, &routers, &service).await?;
    let mut offset = Offset(0);
    for policy in PolicyName::ALL {
        let template =
            Record::Template { name: format!("t-{policy}"), policy, params: Default::default() };
        offset = publish(&client, &log, &template).await?;
    }
    let mut table = Vec::new();
    for &policy in &opts.policies {
        for site in [Site::Kilimanjaro, Site::LoneStar] {
            for ws in workspaces(site) {
                let record = Record::Workspace {
                    id: ws.parse().expect("workload workspaces are valid"),
                    template: format!("t-{policy}"),
                    params: Default::default(),
                };
                offset = publish(&client, &log, &record).await?;
            }
        }
        wait_config_applied(&client, &routers, offset).await?;
        for site in [Site::Kilimanjaro, Site::LoneStar] {
            clear_caches(&client, &engines).await?;
            let load = LoadOptions {
                routers: routers.clone(),
                site,
                calls: opts.calls,
                rate: opts.rate,
                callers: DEFAULT_CALLERS,
                deadline_ms: opts.deadline_ms,
                seed: opts.seed,
                service: Some(service.clone()),
                horizon_ms: 10_000,
            };
            let run_duration = Duration::from_secs_f64(opts.calls as f64 / opts.rate as f64);
            let fault_task = opts.faults.then(|| {
                let fault = FaultInjection {
                    processes: processes.clone(),
                    standin: standin.clone(),
                    engine: engines[0].clone(),
                    log: log.clone(),
                };
                ntex::rt::spawn(fault.run(run_duration))
            });
            let report = load::run(load).await?;
            if let Some(fault_task) = fault_task {
                let _ = fault_task.await;
            }
            eprintln!(
                "demo: {policy} on {site}: {:.1}% hit rate.",
                report.measures.hit_rate() * 100.0
            );
            table.push((policy, report));
        }
    }
    print!("{}", render(&table));
    drop(processes);
    Ok(())
}

/// The faults that `--faults` injects into each load run: an engine is killed
/// and restarted, then the log service is unavailable.
struct FaultInjection {
    processes: Rc<RefCell<Children>>,
    standin: PathBuf,
    engine: String,
    log: String,
}

impl FaultInjection {
    async fn run(self, run_duration: Duration) {
        ntex::time::sleep(run_duration / 3).await;
        eprintln!("demo: killing engine {}.", self.engine);
        {
            let mut processes = self.processes.borrow_mut();
            let _ = processes.0[FIRST_ENGINE_INDEX].kill();
            let _ = processes.0[FIRST_ENGINE_INDEX].wait();
        }
        ntex::time::sleep(Duration::from_secs(1)).await;
        match spawn(&self.standin, &["engine", "--listen", &self.engine, "--seed", "99"]) {
            Ok(child) => self.processes.borrow_mut().0[FIRST_ENGINE_INDEX] = child,
            Err(error) => eprintln!("demo: engine {} did not restart: {error}.", self.engine),
        }
        ntex::time::sleep(run_duration / 3).await;
        eprintln!("demo: injecting a 1 s outage of the log service.");
        let client = Client::new();
        let _ = client.post(format!("http://{}/v1/admin/outage?ms=1000", self.log)).send().await;
    }
}

fn spawn(program: &PathBuf, args: &[&str]) -> Result<Child, Error> {
    Command::new(program)
        .args(args)
        .env("MARJORAM_LOG", "warn")
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .spawn()
        .map_err(|e| Error::Io("start", program.display().to_string(), e))
}

async fn wait_listening(addr: &str) -> Result<(), Error> {
    let deadline = Instant::now() + READY_TIMEOUT;
    while Instant::now() < deadline {
        if TcpStream::connect(addr).is_ok() {
            return Ok(());
        }
        ntex::time::sleep(Duration::from_millis(50)).await;
    }
    Err(Error::Peer("start", addr.into(), "not listening after 20 s".into()))
}

async fn register(
    client: &Client,
    hosts: &str,
    engines: &[String],
    routers: &[String],
    service: &str,
) -> Result<(), Error> {
    let entry = |addr: &String, role, i: usize| HostEntry {
        addr: addr.clone(),
        role,
        state: HostState::Live,
        dc: format!("dc{}", i % 4 + 1),
        name: None,
    };
    let mut list: Vec<HostEntry> =
        engines.iter().enumerate().map(|(i, a)| entry(a, Role::Engine, i)).collect();
    list.extend(routers.iter().enumerate().map(|(i, a)| entry(a, Role::Router, i)));
    list.push(entry(&service.to_string(), Role::Service, 0));
    for host in list {
        let response = client.put(format!("http://{hosts}/v1/hosts")).send_json(&host).await;
        match response {
            Ok(r) if r.status().is_success() => {}
            Ok(r) => {
                return Err(Error::Peer(
                    "register",
                    hosts.into(),
                    format!("status {}", r.status()),
                ));
            }
            Err(e) => return Err(Error::Peer("register", hosts.into(), e.to_string())),
        }
    }
    Ok(())
}

/// Publishes `record`, with retries while the log service is unavailable.
async fn publish(client: &Client, log: &str, record: &Record) -> Result<Offset, Error> {
    let deadline = Instant::now() + READY_TIMEOUT;
    loop {
        match publish_once(client, log, record).await {
            Ok(offset) => return Ok(offset),
            Err(error) if Instant::now() > deadline => return Err(error),
            Err(_) => ntex::time::sleep(Duration::from_millis(100)).await,
        }
    }
}

async fn publish_once(client: &Client, log: &str, record: &Record) -> Result<Offset, Error> {
    let body = serde_json::to_string(record).expect("records serialise");
    let mut response = client
        .post(format!("http://{log}/v1/streams/config"))
        .send_body(body)
        .await
        .map_err(|e| Error::Peer("publish", log.into(), e.to_string()))?;
    let bytes =
        response.body().await.map_err(|e| Error::Peer("publish", log.into(), e.to_string()))?;
    let appended: Appended = serde_json::from_slice(&bytes).map_err(|e| {
        Error::Peer("publish", log.into(), format!("{e}: {}", String::from_utf8_lossy(&bytes)))
    })?;
    Ok(appended.offset)
}

async fn wait_config_applied(
    client: &Client,
    routers: &[String],
    offset: Offset,
) -> Result<(), Error> {
    let deadline = Instant::now() + READY_TIMEOUT;
    for router in routers {
        loop {
            let state = get_state(client, router).await;
            let applied = state.as_ref().and_then(|s| s["config"]["offset"].as_u64());
            let engines = state.as_ref().and_then(|s| s["engines"].as_array().map(Vec::len));
            if applied.is_some_and(|o| o >= offset.0) && engines.unwrap_or(0) > 0 {
                break;
            }
            if Instant::now() > deadline {
                return Err(Error::Peer(
                    "apply config",
                    router.clone(),
                    format!("offset {offset} not applied after 20 s"),
                ));
            }
            ntex::time::sleep(Duration::from_millis(50)).await;
        }
    }
    Ok(())
}

async fn get_state(client: &Client, router: &str) -> Option<serde_json::Value> {
    let mut response = client.get(format!("http://{router}/debug/state")).send().await.ok()?;
    let body = response.body().limit(1 << 24).await.ok()?;
    serde_json::from_slice(&body).ok()
}

async fn clear_caches(client: &Client, engines: &[String]) -> Result<(), Error> {
    for engine in engines {
        client
            .post(format!("http://{engine}/v1/admin/clear"))
            .send()
            .await
            .map_err(|e| Error::Peer("clear cache", engine.clone(), e.to_string()))?;
    }
    ntex::time::sleep(Duration::from_millis(600)).await;
    Ok(())
}

/// Formats the table of measurements, one row per policy and workload.
fn render(table: &[(PolicyName, Report)]) -> String {
    let mut out = String::new();
    let _ = writeln!(
        out,
        "{:<13} {:<12} {:>8} {:>9} {:>9} {:>9} {:>7} {:>6} {:>8} {:>8} {:>10}",
        "policy",
        "workload",
        "answered",
        "hit rate",
        "ttft p95",
        "ttft p99",
        "wasted",
        "lost",
        "repeated",
        "refused",
        "false ref."
    );
    for (policy, report) in table {
        let m = &report.measures;
        let _ = writeln!(
            out,
            "{:<13} {:<12} {:>8} {:>8.1}% {:>7.0}ms {:>7.0}ms {:>6.1}% {:>6} {:>8} {:>8} {:>10}",
            policy.to_string(),
            report.site.to_string(),
            m.answered,
            m.hit_rate() * 100.0,
            m.ttft_ms(0.95),
            m.ttft_ms(0.99),
            m.waste_rate() * 100.0,
            m.lost,
            m.repeated,
            m.refused,
            m.false_refusals,
        );
    }
    out
}
