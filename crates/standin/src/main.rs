//! `marjoram-standin`: small substitutes for the services of the platform, for
//! tests and the demo, and a load generator.
//!
//! Each stand-in is one process on loopback that exchanges the HTTP messages
//! of [`marjoram_core::wire`]. `demo` starts a complete small deployment from
//! them and two routers, replays a workload under every routing policy and
//! prints the measurements.

mod demo;
mod engine;
mod error;
mod hosts;
mod load;
mod log;
mod options;
mod service;
mod util;

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match options::Command::parse(&args) {
        Ok(options::Command::Help(text)) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Ok(command) => match run(command) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("marjoram-standin: {error}");
                ExitCode::FAILURE
            }
        },
        Err(error) => {
            eprintln!("marjoram-standin: {error}");
            ExitCode::from(2)
        }
    }
}

fn run(command: options::Command) -> Result<(), error::Error> {
    util::init_logs();
    let system = ntex::rt::System::new("standin");
    system.block_on(async move {
        match command {
            options::Command::Engine(o) => engine::serve(o).await,
            options::Command::Log(o) => log::serve(o).await,
            options::Command::Hosts(o) => hosts::serve(o).await,
            options::Command::Service(o) => service::serve(o).await,
            options::Command::Load(o) => load::run(o).await.map(|report| print!("{report}")),
            options::Command::Demo(o) => demo::run(o).await,
            options::Command::Help(_) => Ok(()),
        }
    })
}
