//! The command line of the proxy. Settings of the host are in the settings file;
//! these are the few further options.

use std::str::FromStr;

use getopts::{Matches, Options};
use marjoram_core::policy::PolicyName;
use marjoram_core::switches::Switches;
use marjoram_platform::settings;

use crate::error::Error;

/// Default port of the metrics.
const METRICS_PORT: u16 = 9_464;

/// Validated options.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProxyOptions {
    /// Path of the settings file.
    pub settings: String,
    /// Port of the metrics and the state dump, on the host's address.
    pub metrics_port: u16,
    /// The policy by which engines are chosen.
    pub policy: PolicyName,
    /// Mechanisms that are switched off to measure their effect.
    pub without: Switches,
}

/// What the command line asks for.
#[derive(Debug)]
pub enum Parsed {
    /// Print this help text and exit.
    Help(String),
    /// Run the proxy.
    Run(ProxyOptions),
}

/// Parses `args`, the command line after the command's name.
pub fn parse(args: &[String]) -> Result<Parsed, Error> {
    let mut opts = Options::new();
    let path = settings::path();
    opts.optflag("h", "help", "print this help");
    opts.optopt("", "settings", &format!("settings file [{path}]"), "PATH");
    opts.optopt("", "metrics-port", "port of metrics and state [9464]", "PORT");
    opts.optopt(
        "",
        "policy",
        "how engines are chosen: prefix-aware, maglev, least-load or round-robin [prefix-aware]",
        "NAME",
    );
    opts.optopt(
        "",
        "without",
        "mechanisms switched off, to measure their effect (see docs/DECISIONS.md) [none]",
        "NAME,...",
    );
    let m = opts.parse(args).map_err(|e| Error::Usage(e.to_string()))?;
    if m.opt_present("help") {
        return Ok(Parsed::Help(opts.usage("Usage: marjoram proxy [OPTIONS]")));
    }
    Ok(Parsed::Run(ProxyOptions {
        settings: m.opt_str("settings").unwrap_or(path),
        metrics_port: option(&m, "metrics-port", METRICS_PORT)?,
        policy: option(&m, "policy", PolicyName::PrefixAware)?,
        without: option(&m, "without", Switches::default())?,
    }))
}

/// The value of the option `name`, or `default`.
fn option<T: FromStr>(m: &Matches, name: &'static str, default: T) -> Result<T, Error>
where
    T::Err: std::fmt::Display,
{
    match m.opt_str(name) {
        None => Ok(default),
        Some(text) => text
            .parse()
            .map_err(|e: T::Err| Error::Setting(name, format!("cannot read {text:?}: {e}"))),
    }
}
