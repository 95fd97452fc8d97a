//! Command line of `marjoram-standin`: one subcommand per stand-in.
//!
//! Every flag can also be set by an environment variable: `MARJORAM_` followed by
//! the flag in upper case with `_` for `-`. The flag takes precedence.

use std::str::FromStr;

use getopts::{Matches, Options};
use marjoram_core::policy::PolicyName;
use marjoram_core::workload::Site;

use crate::error::Error;

/// Default number of callers of the load generator.
pub const DEFAULT_CALLERS: usize = 16;

const USAGE: &str = "\
Usage: marjoram-standin COMMAND [OPTIONS]

Commands:
  demo      start a small deployment (stand-ins and two routers), replay a
            workload under every policy and print the measurements
  engine    a model engine with a prefix cache
  log       the log service: append-only streams with offsets
  hosts     the host list, served with a delay
  service   a non-idempotent service whose calls must not be repeated
  load      replay a seeded workload against routers and print the measurements

Run 'marjoram-standin COMMAND --help' for the options of one command.
";

/// Settings of the engine stand-in.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// Address to listen on.
    pub listen: String,
    /// Cache capacity in blocks.
    pub capacity: usize,
    /// Milliseconds an unused block stays cached.
    pub idle_ms: u64,
    /// Microseconds of compute per uncached prompt token.
    pub prefill_us: u64,
    /// Minimum duration of a batch step, in milliseconds.
    pub decode_ms: u64,
    /// Microseconds each generated token adds to its step.
    pub batch_us: u64,
    /// Maximum number of prompt tokens prefilled in one step.
    pub chunk: u64,
    /// Maximum number of requests in the batch.
    pub slots: usize,
    /// Share of cache events lost, from 0 to 1.
    pub event_loss: f64,
    /// Milliseconds before a cache event is published.
    pub event_lag_ms: u64,
    /// Milliseconds between load reports.
    pub load_lag_ms: u64,
    /// Whether weights orders with an old fencing token are rejected.
    pub fenced: bool,
    /// Milliseconds loading weights takes.
    pub weights_ms: u64,
    /// Refuse every request as not executed, as an engine at capacity does.
    pub refuse: bool,
    /// Seconds for which refusals ask routers to back off; none if empty.
    pub retry_after: String,
    /// Rejections in a second that it can bear; any number if not set. Once its notice
    /// has passed it lets no request wait, and it exits if it rejects more.
    pub brittle: Option<u32>,
    /// Milliseconds from the start in which it still lets requests wait.
    pub brittle_notice_ms: u64,
    /// Crash when a request whose prompt contains this text is admitted; never if
    /// empty.
    pub crash_on: String,
    /// Send the first chunk of every Nth response under another request's id; 0
    /// for none.
    pub cross_every: u64,
    /// Seed for event loss.
    pub seed: u64,
}

/// Settings of the log-service stand-in.
#[derive(Debug, Clone)]
pub struct LogOptions {
    /// Address to listen on.
    pub listen: String,
    /// Appends per second, over all streams, beyond which appends get 429.
    pub rate: u32,
    /// Seconds a record is retained.
    pub retention_s: u64,
}

/// Settings of the host-list stand-in.
#[derive(Debug, Clone)]
pub struct HostsOptions {
    /// Address to listen on.
    pub listen: String,
    /// Milliseconds the list lags behind changes.
    pub lag_ms: u64,
}

/// Settings of the non-idempotent service stand-in.
#[derive(Debug, Clone)]
pub struct ServiceOptions {
    /// Address to listen on.
    pub listen: String,
}

/// Settings of the load generator.
#[derive(Debug, Clone)]
pub struct LoadOptions {
    /// Routers to ask for the entry host to use.
    pub routers: Vec<String>,
    /// The workload to replay.
    pub site: Site,
    /// Number of calls to make.
    pub calls: u64,
    /// Calls per second.
    pub rate: u64,
    /// Number of callers, used in turn.
    pub callers: usize,
    /// Workload seed.
    pub seed: u64,
    /// Deadline for the first token, in milliseconds, if any.
    pub deadline_ms: Option<u64>,
    /// Address of the non-idempotent service, to count repeated calls.
    pub service: Option<String>,
    /// Milliseconds a block counts as cached after it was computed.
    pub horizon_ms: u64,
}

/// Settings of the demo.
#[derive(Debug, Clone)]
pub struct DemoOptions {
    /// Calls per policy and workload.
    pub calls: u64,
    /// Calls per second.
    pub rate: u64,
    /// Number of engines to start.
    pub engines: usize,
    /// Number of routers to start.
    pub routers: usize,
    /// First port to use; the demo also uses the ports after it.
    pub port: u16,
    /// Workload seed.
    pub seed: u64,
    /// Kill an engine and make the log service unavailable during each run.
    pub faults: bool,
    /// Deadline for the first token, in milliseconds, if any.
    pub deadline_ms: Option<u64>,
    /// Policies to run, in order.
    pub policies: Vec<PolicyName>,
}

/// A parsed command line.
#[derive(Debug)]
pub enum Command {
    /// Print this text and exit.
    Help(String),
    /// Run an engine.
    Engine(EngineOptions),
    /// Run the log service.
    Log(LogOptions),
    /// Run the host list.
    Hosts(HostsOptions),
    /// Run the non-idempotent service.
    Service(ServiceOptions),
    /// Run the load generator.
    Load(LoadOptions),
    /// Run the demo.
    Demo(DemoOptions),
}

impl Command {
    /// Parses `args`, the command line without the program name.
    pub fn parse(args: &[String]) -> Result<Command, Error> {
        let Some((name, rest)) = args.split_first() else {
            return Ok(Command::Help(USAGE.into()));
        };
        let mut opts = Options::new();
        opts.optflag("h", "help", "print this help");
        match name.as_str() {
            "engine" => engine(opts, rest),
            "log" => log(opts, rest),
            "hosts" => hosts(opts, rest),
            "service" => service(opts, rest),
            "load" => load(opts, rest),
            "demo" => demo(opts, rest),
            "help" | "-h" | "--help" => Ok(Command::Help(USAGE.into())),
            other => Err(Error::Usage(format!("unknown command {other:?}; see --help"))),
        }
    }
}

fn engine(mut opts: Options, args: &[String]) -> Result<Command, Error> {
    opts.optopt("", "listen", "address to listen on", "ADDR");
    opts.optopt("", "capacity", "cache capacity in blocks [2000]", "N");
    opts.optopt("", "idle-ms", "ms an unused block stays cached [10000]", "MS");
    opts.optopt("", "prefill-us", "us of compute per uncached token [40]", "US");
    opts.optopt("", "decode-ms", "minimum ms per batch step [4]", "MS");
    opts.optopt("", "batch-us", "us each generated token adds to its step [100]", "US");
    opts.optopt("", "chunk", "most prompt tokens prefilled in one step [512]", "N");
    opts.optopt("", "slots", "most requests in the batch [16]", "N");
    opts.optopt("", "event-loss", "share of cache events lost [0.05]", "P");
    opts.optopt("", "event-lag-ms", "ms before an event is published [200]", "MS");
    opts.optopt("", "load-lag-ms", "ms between load reports [500]", "MS");
    opts.optopt("", "fenced", "reject weights orders with an old fencing token [true]", "BOOL");
    opts.optopt("", "weights-ms", "ms loading weights takes [200]", "MS");
    opts.optopt(
        "",
        "refuse",
        "refuse every request, as an engine at capacity does [false]",
        "BOOL",
    );
    opts.optopt("", "retry-after", "seconds for which refusals ask to back off []", "S");
    opts.optopt("", "brittle", "exit after more rejections in a second; any number if absent", "N");
    opts.optopt("", "brittle-notice-ms", "ms in which requests may still wait [3000]", "MS");
    opts.optopt("", "crash-on", "crash when running a prompt that contains this text []", "TEXT");
    opts.optopt(
        "",
        "cross-every",
        "send the first chunk of every Nth response under another id; 0 for none [0]",
        "N",
    );
    opts.optopt("", "seed", "seed for event loss [1]", "N");
    let m = matches(&opts, args, "engine")?;
    if m.opt_present("help") {
        return Ok(Command::Help(opts.usage("Usage: marjoram-standin engine [OPTIONS]")));
    }
    Ok(Command::Engine(EngineOptions {
        listen: required(&m, "listen")?,
        capacity: setting(&m, "capacity", 2000)?,
        idle_ms: setting(&m, "idle-ms", 10_000)?,
        prefill_us: setting(&m, "prefill-us", 40)?,
        decode_ms: setting(&m, "decode-ms", 4)?,
        batch_us: setting(&m, "batch-us", 100)?,
        chunk: positive(setting(&m, "chunk", 512)?, "chunk")?,
        slots: positive(setting(&m, "slots", 16)?, "slots")?,
        event_loss: setting(&m, "event-loss", 0.05)?,
        event_lag_ms: setting(&m, "event-lag-ms", 200)?,
        load_lag_ms: setting(&m, "load-lag-ms", 500)?,
        fenced: setting(&m, "fenced", true)?,
        weights_ms: setting(&m, "weights-ms", 200)?,
        refuse: setting(&m, "refuse", false)?,
        retry_after: setting(&m, "retry-after", String::new())?,
        brittle: optional(&m, "brittle")?,
        brittle_notice_ms: setting(&m, "brittle-notice-ms", 3_000)?,
        crash_on: setting(&m, "crash-on", String::new())?,
        cross_every: setting(&m, "cross-every", 0)?,
        seed: setting(&m, "seed", 1)?,
    }))
}

fn log(mut opts: Options, args: &[String]) -> Result<Command, Error> {
    opts.optopt("", "listen", "address to listen on", "ADDR");
    opts.optopt("", "rate", "appends per second before 429 [400]", "N");
    opts.optopt("", "retention-s", "seconds a record is retained [3600]", "S");
    let m = matches(&opts, args, "log")?;
    if m.opt_present("help") {
        return Ok(Command::Help(opts.usage("Usage: marjoram-standin log [OPTIONS]")));
    }
    Ok(Command::Log(LogOptions {
        listen: required(&m, "listen")?,
        rate: setting(&m, "rate", 400)?,
        retention_s: setting(&m, "retention-s", 3600)?,
    }))
}

fn hosts(mut opts: Options, args: &[String]) -> Result<Command, Error> {
    opts.optopt("", "listen", "address to listen on", "ADDR");
    opts.optopt("", "lag-ms", "ms the list lags behind changes [1000]", "MS");
    let m = matches(&opts, args, "hosts")?;
    if m.opt_present("help") {
        return Ok(Command::Help(opts.usage("Usage: marjoram-standin hosts [OPTIONS]")));
    }
    Ok(Command::Hosts(HostsOptions {
        listen: required(&m, "listen")?,
        lag_ms: setting(&m, "lag-ms", 1000)?,
    }))
}

fn service(mut opts: Options, args: &[String]) -> Result<Command, Error> {
    opts.optopt("", "listen", "address to listen on", "ADDR");
    let m = matches(&opts, args, "service")?;
    if m.opt_present("help") {
        return Ok(Command::Help(opts.usage("Usage: marjoram-standin service [OPTIONS]")));
    }
    Ok(Command::Service(ServiceOptions { listen: required(&m, "listen")? }))
}

fn load(mut opts: Options, args: &[String]) -> Result<Command, Error> {
    opts.optopt("", "routers", "comma-separated router addresses", "ADDRS");
    opts.optopt("", "site", "kilimanjaro or lone-star [kilimanjaro]", "SITE");
    opts.optopt("", "calls", "calls to make [400]", "N");
    opts.optopt("", "rate", "calls per second [40]", "N");
    opts.optopt("", "callers", "number of callers, used in turn [16]", "N");
    opts.optopt("", "seed", "workload seed [1]", "N");
    opts.optopt(
        "",
        "deadline-ms",
        "deadline for the first token in ms, sent to the router [none]",
        "MS",
    );
    opts.optopt("", "service", "service address, to count repeated calls", "ADDR");
    opts.optopt("", "horizon-ms", "ms a computed block counts as cached [10000]", "MS");
    let m = matches(&opts, args, "load")?;
    if m.opt_present("help") {
        return Ok(Command::Help(opts.usage("Usage: marjoram-standin load [OPTIONS]")));
    }
    let routers: String = required(&m, "routers")?;
    Ok(Command::Load(LoadOptions {
        routers: routers.split(',').map(str::to_owned).collect(),
        site: setting(&m, "site", Site::Kilimanjaro)?,
        calls: setting(&m, "calls", 400)?,
        rate: positive(setting(&m, "rate", 40)?, "rate")?,
        callers: positive(setting(&m, "callers", DEFAULT_CALLERS)?, "callers")?,
        seed: setting(&m, "seed", 1)?,
        deadline_ms: optional(&m, "deadline-ms")?,
        service: optional(&m, "service")?,
        horizon_ms: setting(&m, "horizon-ms", 10_000)?,
    }))
}

fn demo(mut opts: Options, args: &[String]) -> Result<Command, Error> {
    opts.optopt("", "calls", "calls per policy and workload [300]", "N");
    opts.optopt("", "rate", "calls per second [60]", "N");
    opts.optopt("", "engines", "engines to start [6]", "N");
    opts.optopt("", "routers", "routers to start [2]", "N");
    opts.optopt("", "port", "first port; the demo uses the next 20 [17100]", "PORT");
    opts.optopt("", "seed", "workload seed [1]", "N");
    opts.optopt(
        "",
        "deadline-ms",
        "deadline for the first token in ms, sent to the routers [none]",
        "MS",
    );
    opts.optopt("", "policies", "comma-separated policies to run [all]", "NAMES");
    opts.optflag("", "faults", "kill an engine and make the log service unavailable in each run");
    let m = matches(&opts, args, "demo")?;
    if m.opt_present("help") {
        return Ok(Command::Help(opts.usage("Usage: marjoram-standin demo [OPTIONS]")));
    }
    Ok(Command::Demo(DemoOptions {
        calls: setting(&m, "calls", 300)?,
        rate: positive(setting(&m, "rate", 60)?, "rate")?,
        engines: positive(setting(&m, "engines", 6)?, "engines")?,
        routers: positive(setting(&m, "routers", 2)?, "routers")?,
        port: setting(&m, "port", 17100)?,
        seed: setting(&m, "seed", 1)?,
        faults: m.opt_present("faults"),
        deadline_ms: optional(&m, "deadline-ms")?,
        policies: policies(&m)?,
    }))
}

/// Returns the policies given by `--policies`; all of them by default.
fn policies(m: &Matches) -> Result<Vec<PolicyName>, Error> {
    let Some(names) = optional::<String>(m, "policies")? else {
        return Ok(PolicyName::ALL.to_vec());
    };
    let parse = |name: &str| name.parse().map_err(|e| Error::Usage(format!("--policies: {e}")));
    names.split(',').map(parse).collect()
}

fn matches(opts: &Options, args: &[String], command: &str) -> Result<Matches, Error> {
    opts.parse(args).map_err(|e| Error::Usage(format!("{command}: {e}; see --help")))
}

/// Returns the value of a flag or else of its environment variable, if set.
fn optional<T: FromStr>(m: &Matches, name: &str) -> Result<Option<T>, Error> {
    let var = format!("MARJORAM_{}", name.to_uppercase().replace('-', "_"));
    let text = m.opt_str(name).or_else(|| std::env::var(&var).ok());
    match text {
        None => Ok(None),
        Some(text) => text.parse().map(Some).map_err(|_| {
            Error::Usage(format!("setting --{name} (or {var}): invalid value {text:?}"))
        }),
    }
}

fn setting<T: FromStr>(m: &Matches, name: &str, default: T) -> Result<T, Error> {
    optional(m, name).map(|value| value.unwrap_or(default))
}

fn required<T: FromStr>(m: &Matches, name: &str) -> Result<T, Error> {
    optional(m, name)?.ok_or_else(|| Error::Usage(format!("setting --{name} is required")))
}

fn positive<T: PartialOrd + Default>(value: T, name: &str) -> Result<T, Error> {
    match value > T::default() {
        true => Ok(value),
        false => Err(Error::Usage(format!("setting --{name} must be above zero"))),
    }
}
