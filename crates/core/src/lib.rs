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
//! - [`params`]: routing parameters of templates and workspaces.
//! - [`policy`]: the routing policies, behind one small trait.
//! - [`config`]: operator configuration read from the log service.
//! - [`wire`]: the JSON shapes spoken over HTTP.
//! - [`workload`]: seeded workloads modelled on the two deployments.
//! - [`feed`]: reading an engine's cache events into the picture.
//! - [`lease`]: a lease with a fencing token, kept in the log service.
//! - [`members`]: which routers are up, as they tell each other.
//! - [`measure`]: the measures of the brief.
//!
//! For the proxy, which routes by published configuration:
//!
//! - [`host`]: settings of one host's process.
//! - [`catalog`]: routes, services, workspaces and limits.
//! - [`exchange`]: what passes beside the bodies.
//! - [`fingerprint`]: what makes two requests the same one, sent again.
//! - [`upstream`]: upstreams as the registry lists them.
//! - [`health`]: what has been seen of an upstream.
//! - [`holdings`]: which parts of prompts are kept where.
//! - [`news`]: cache events that hosts send to each other.
//! - [`place`]: which engine a prompt goes to.
//! - [`plain`]: which upstream of a plain service a request goes to.
//! - [`poison`]: requests that crash whatever runs them.
//! - [`budget`]: how often requests may be sent again.
//! - [`quota`]: how much each workspace may send, over all hosts together.
//! - [`rollout`]: which engines change their weights next.
//! - [`announce`]: which engines the others are told to be closed.
//! - [`candidacy`]: which hosts stand for the duty of ordering weights.
//! - [`spread`]: telling all hosts the same thing through a few of them.
//! - [`pace`]: how much of a link control traffic may take.
//! - [`tenure`]: one host's tenure of a duty that the store deals.
//! - [`era`]: eras of the platform's store, and fencing tokens across them.
//! - [`relay`]: how far a host has read a log that a few hosts read for all.
//! - [`soundness`]: how long the platform's store has answered without errors.
//! - [`stop`]: which requests are still taken while a process stops.
//! - [`switches`]: which mechanisms of the decisions are in use.
//! - [`events`]: cutting a stream into whole events.

pub mod admission;
pub mod announce;
pub mod budget;
pub mod cache;
pub mod candidacy;
pub mod catalog;
pub mod claims;
pub mod config;
pub mod era;
pub mod error;
pub mod events;
pub mod exchange;
pub mod feed;
pub mod fingerprint;
pub mod health;
pub mod holdings;
pub mod host;
pub mod ids;
pub mod lease;
pub mod measure;
pub mod members;
pub mod news;
pub mod pace;
pub mod params;
pub mod place;
pub mod plain;
pub mod poison;
pub mod policy;
pub mod prefix;
pub mod quota;
pub mod relay;
pub mod rollout;
pub mod soundness;
pub mod spread;
pub mod stop;
pub mod switches;
pub mod tenure;
pub mod upstream;
pub mod wire;
pub mod workload;

pub use error::Error;
