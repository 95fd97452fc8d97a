//! `marjoram`: the router node, one on each entry host.
//!
//! It directs callers to an entry host, routes each completion to an engine by the
//! workspace's policy, and streams the answer back complete and in order. It reads its
//! configuration from the platform's log service, and the engines and entry hosts from
//! the host list.

// The futures of ntex's client nest deeper than the default limit in release builds.
#![recursion_limit = "256"]

mod answer_memory;
mod at_most_once;
mod backoffs;
mod brittle;
mod brittle_engines;
mod caller_conns;
mod clock;
mod conn;
mod control_connects;
mod engine_slots;
mod error;
mod follow;
mod forward;
mod gossip;
mod job;
mod lease_tasks;
mod link;
mod listen;
mod log;
mod log_limit;
mod node;
mod options;
mod paths;
mod peer;
mod peer_links;
mod poison;
mod proxy;
mod quarantine;
mod request_limits;
mod serve;
mod slot_grants;
mod startup;
mod tunnel;
mod upstream_client;
mod upstream_links;

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    if args.first().is_some_and(|arg| arg == options::PROXY) {
        return run_proxy(&args[1..]);
    }
    let settings = match options::parse(&args) {
        Ok(options::Parsed::Help(text)) => {
            print!("{text}");
            return ExitCode::SUCCESS;
        }
        Ok(options::Parsed::Run(settings)) => settings,
        Err(error) => {
            eprintln!("marjoram: {error}");
            return ExitCode::from(2);
        }
    };
    options::init_logs(&settings);
    end(ntex::rt::System::new("marjoram").block_on(serve::run(*settings)))
}

fn run_proxy(args: &[String]) -> ExitCode {
    match proxy::parse(args) {
        Ok(proxy::Parsed::Help(text)) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Ok(proxy::Parsed::Run(options)) => {
            end(ntex::rt::System::new("marjoram").block_on(proxy::run(options)))
        }
        Err(error) => {
            eprintln!("marjoram: {error}");
            ExitCode::from(2)
        }
    }
}

fn end(result: Result<(), error::Error>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("marjoram: {error}");
            ExitCode::FAILURE
        }
    }
}
