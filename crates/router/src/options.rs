//! Settings of a router node, from flags and environment variables.
//!
//! Every flag may also be given as `MARJORAM_` and its name in upper case
//! with `-` as `_` (`--log-service` is `MARJORAM_LOG_SERVICE`); the flag
//! takes precedence. Settings are validated before the node starts.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use getopts::{Matches, Options};

use crate::error::Error;

/// The subcommand that runs the proxy, which reads its settings from a file.
pub const PROXY: &str = "proxy";

/// Validated settings of one router node.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Address to serve callers on.
    pub listen: SocketAddr,
    /// Address of this node that callers are given.
    pub advertise: String,
    /// This node's data centre.
    pub dc: String,
    /// Address of the log service.
    pub log_service: SocketAddr,
    /// Address of the host list.
    pub host_list: SocketAddr,
    /// Address of the statsd sink.
    pub statsd: SocketAddr,
    /// Largest prompt accepted, in bytes.
    pub max_prompt: usize,
    /// How long a caller may cache a route answer.
    pub route_ttl: Duration,
    /// How long to keep serving after SIGTERM or SIGINT before stopping.
    pub drain: Duration,
    /// Added to a router's port for the link between routers.
    pub peer_offset: u16,
    /// Time to live of the fleet's lease.
    pub lease_ttl: Duration,
    /// How long the log service keeps records.
    pub log_retention: Duration,
    /// Time without data after which an engine's stream is resumed on another engine.
    pub stream_idle: Duration,
    /// Longest expected wait for the first token of a request without a deadline;
    /// batch requests may wait four times as long.
    pub max_wait: Duration,
    /// Worker threads serving callers.
    pub workers: usize,
    /// Memory of this host, in megabytes.
    pub memory_mb: u64,
    /// Write logs as JSON.
    pub json_logs: bool,
}

/// Bytes that a request body may have beyond the prompt limit.
const BODY_SLACK: usize = 64 << 10;

impl Settings {
    /// Largest body of a request, in bytes.
    pub fn body_limit(&self) -> usize {
        self.max_prompt + BODY_SLACK
    }
}

/// Action that the command line requests.
#[derive(Debug)]
pub enum Parsed {
    /// Print this text and stop.
    Help(String),
    /// Run a node.
    Run(Box<Settings>),
}

/// Parses `args`, the command line without the program name.
pub fn parse(args: &[String]) -> Result<Parsed, Error> {
    let mut opts = Options::new();
    opts.optflag("h", "help", "print this help");
    opts.optopt("", "listen", "address to serve callers on [127.0.0.1:8000]", "ADDR");
    opts.optopt(
        "",
        "advertise",
        "address of this node given to callers [the listen address]",
        "ADDR",
    );
    opts.optopt("", "dc", "this node's data centre [dc1]", "NAME");
    opts.optopt("", "log-service", "address of the log service", "ADDR");
    opts.optopt("", "host-list", "address of the host list", "ADDR");
    opts.optopt("", "statsd", "address of the statsd sink [127.0.0.1:8125]", "ADDR");
    opts.optopt("", "max-prompt", "largest prompt in bytes [4194304]", "BYTES");
    opts.optopt("", "route-ttl-ms", "ms a caller may cache a route answer [10000]", "MS");
    opts.optopt("", "drain-ms", "ms to keep serving after SIGTERM [3000]", "MS");
    opts.optopt(
        "",
        "peer-offset",
        "added to a router's port for the link between routers [50]",
        "N",
    );
    opts.optopt("", "lease-ttl-ms", "ms until the fleet's lease expires [3000]", "MS");
    opts.optopt("", "log-retention-s", "seconds the log service keeps records [3600]", "S");
    opts.optopt(
        "",
        "stream-idle-ms",
        "ms without data after which a stream is resumed on another engine [3000]",
        "MS",
    );
    opts.optopt(
        "",
        "max-wait-ms",
        "expected ms until the first token above which a request is refused [10000]",
        "MS",
    );
    opts.optopt("", "memory-mb", "memory of this host in MB [128]", "MB");
    opts.optopt("", "workers", "threads serving callers [2]", "N");
    opts.optopt("", "log-format", "text or json [text]", "FORMAT");
    let m = opts.parse(args).map_err(|e| Error::Usage(e.to_string()))?;
    if m.opt_present("help") {
        return Ok(Parsed::Help(opts.usage("Usage: marjoram [OPTIONS]\n       marjoram proxy")));
    }
    let listen: SocketAddr = setting(&m, "listen", "127.0.0.1:8000".parse().unwrap())?;
    let format: String = setting(&m, "log-format", "text".to_string())?;
    let json_logs = match format.as_str() {
        "text" => false,
        "json" => true,
        _ => return Err(Error::Setting("log-format", format!("{format:?} is not text or json"))),
    };
    let peer_offset = at_least(&m, "peer-offset", 50, 1)?;
    if listen.port().checked_add(peer_offset).is_none() {
        return Err(Error::Setting(
            "peer-offset",
            format!("port of {listen} plus {peer_offset} is too high"),
        ));
    }
    Ok(Parsed::Run(Box::new(Settings {
        listen,
        advertise: setting(&m, "advertise", listen.to_string())?,
        dc: setting(&m, "dc", "dc1".to_string())?,
        log_service: required(&m, "log-service")?,
        host_list: required(&m, "host-list")?,
        statsd: setting(&m, "statsd", "127.0.0.1:8125".parse().unwrap())?,
        max_prompt: setting(&m, "max-prompt", 4 << 20)?,
        route_ttl: Duration::from_millis(setting(&m, "route-ttl-ms", 10_000)?),
        drain: Duration::from_millis(setting(&m, "drain-ms", 3_000)?),
        peer_offset,
        lease_ttl: Duration::from_millis(at_least(&m, "lease-ttl-ms", 3_000, 300)?),
        log_retention: Duration::from_secs(at_least(&m, "log-retention-s", 3_600, 30)?),
        stream_idle: Duration::from_millis(at_least(&m, "stream-idle-ms", 3_000, 100)?),
        max_wait: Duration::from_millis(at_least(&m, "max-wait-ms", 10_000, 1)?),
        workers: at_least(&m, "workers", 2, 1)?,
        memory_mb: at_least(&m, "memory-mb", 128, 16)?,
        json_logs,
    })))
}

/// Initializes `tracing`: text or JSON on stderr, filtered by `MARJORAM_LOG`.
pub fn init_logs(settings: &Settings) {
    let filter = tracing_subscriber::EnvFilter::try_from_env("MARJORAM_LOG")
        .unwrap_or_else(|_| tracing_subscriber::EnvFilter::new("info"));
    let builder = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    match settings.json_logs {
        true => builder.json().init(),
        false => builder.init(),
    }
}

fn optional<T: FromStr>(m: &Matches, name: &'static str) -> Result<Option<T>, Error>
where
    T::Err: std::fmt::Display,
{
    let var = format!("MARJORAM_{}", name.to_uppercase().replace('-', "_"));
    match m.opt_str(name).or_else(|| std::env::var(&var).ok()) {
        None => Ok(None),
        Some(text) => text.parse().map(Some).map_err(|e: T::Err| {
            Error::Setting(name, format!("cannot parse {text:?} (from the flag or {var}): {e}"))
        }),
    }
}

fn setting<T: FromStr>(m: &Matches, name: &'static str, default: T) -> Result<T, Error>
where
    T::Err: std::fmt::Display,
{
    optional(m, name).map(|v| v.unwrap_or(default))
}

/// A setting with a number of at least `least`.
fn at_least<T>(m: &Matches, name: &'static str, default: T, least: T) -> Result<T, Error>
where
    T: FromStr + PartialOrd + std::fmt::Display,
    T::Err: std::fmt::Display,
{
    match setting(m, name, default)? {
        value if value < least => {
            Err(Error::Setting(name, format!("{value} is below the minimum of {least}")))
        }
        value => Ok(value),
    }
}

fn required<T: FromStr>(m: &Matches, name: &'static str) -> Result<T, Error>
where
    T::Err: std::fmt::Display,
{
    let var = format!("MARJORAM_{}", name.to_uppercase().replace('-', "_"));
    optional(m, name)?.ok_or_else(|| Error::Setting(name, format!("is required (or set {var})")))
}
