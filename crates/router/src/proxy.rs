//! The proxy: routes callers' requests to upstreams by the published
//! configuration, and forwards the answers.
//!
//! One thread runs everything, since an entry host has a fraction of one core.
//! State that requests read is either replaced as a whole ([`arc_swap`]) or kept
//! in cells of the component that owns it; no lock is held across an await.

mod announced;
mod answer;
mod attempt;
mod backlog;
mod brittle;
mod cachefeed;
mod callers;
mod conditions;
mod counters;
mod entry;
mod failure;
mod fleet;
mod follow;
mod hosts;
mod http1;
mod leadership;
mod logs;
mod notices;
mod options;
mod peer_limits;
mod peers;
mod poison;
mod pool;
mod quota;
mod rate_limits;
mod reach;
mod refusal;
mod relays;
mod reports;
mod request;
mod response;
mod run;
mod site;
mod slot_leases;
mod state_transfer;
mod storeclient;
mod storelink;
mod stores;
mod traffic;
mod waiting;

pub use options::{Parsed, parse};
pub use run::run;
