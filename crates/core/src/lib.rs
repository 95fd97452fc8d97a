//! Core of marjoramspring: the routing decision and the state it rests on.
//!
//! This crate holds no I/O. The router binary (`marjoram`) and the stand-ins
//! (`marjoram-standin`) both build on it:
//!
//! - [`ids`]: newtypes for ids, counts and offsets.
//! - [`prefix`]: how a prompt is cut into cache blocks and hashed.
//! - [`admission`]: whether to take a request on under load.
//! - [`cache`]: the router's picture of which engine holds which block.
//! - [`claims`]: at-most-once calls to plain services, ordered by the log.
//! - [`policy`]: the routing policies, behind one small trait.
//! - [`config`]: operator configuration read from the log service.
//! - [`wire`]: the JSON shapes spoken over HTTP.
//! - [`workload`]: seeded workloads modelled on the two deployments.
//! - [`feed`]: reading an engine's cache events into the picture.
//! - [`lease`]: a lease with a fencing token, kept in the log service.
//! - [`members`]: which routers are up, as they tell each other.
//! - [`measure`]: the measures of the brief.

pub mod admission;
pub mod cache;
pub mod claims;
pub mod config;
pub mod error;
pub mod feed;
pub mod ids;
pub mod lease;
pub mod measure;
pub mod members;
pub mod policy;
pub mod prefix;
pub mod wire;
pub mod workload;

pub use error::Error;
