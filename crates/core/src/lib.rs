//! Core library of marjoramspring: routing decisions and the state that they are
//! based on.
//!
//! This crate does no I/O. The router binary (`marjoram`) and the stand-ins for
//! engines and platform services (`marjoram-standin`) are both built on it:
//!
//! - [`ids`]: newtypes for ids, counts and offsets.
//! - [`prefix`]: splits prompts into cache blocks and hashes them.
//! - [`admission`]: admission control and the retry budget of the router.
//! - [`cache`]: the router's index of which engine has which cache block.
//! - [`claims`]: at-most-once calls to plain services, ordered by the log
//!   service.
//! - [`params`]: routing parameters of templates and workspaces.
//! - [`policy`]: the routing policies and their common trait.
//! - [`config`]: operator configuration read from the log service.
//! - [`wire`]: JSON messages exchanged over HTTP.
//! - [`workload`]: reproducible workloads modelled on two deployments.
//! - [`feed`]: applies an engine's cache events to the cache index.
//! - [`lease`]: a lease with a fencing token, stored in the log service.
//! - [`members`]: membership of the routers, by gossip.
//! - [`measure`]: service-level measures for the load generator.
//!
//! For the proxy, which routes by a published configuration:
//!
//! - [`host`]: settings of the process on one host.
//! - [`catalog`]: the published configuration: routes, services, workspaces and
//!   limits.
//! - [`exchange`]: metadata of requests and responses, independent of the wire
//!   format.
//! - [`fingerprint`]: fingerprints that identify repeated sends of a request.
//! - [`upstream`]: the registry of upstreams, built from their own entries.
//! - [`conditions`]: the conditions under which an upstream takes requests, as it
//!   states them in its answers.
//! - [`correlation`]: ties answers to sends.
//! - [`brittle`]: what upstreams state that cannot bear many rejections.
//! - [`slot_leases`]: divides the slots of such upstreams among all hosts.
//! - [`health`]: passive health tracking of upstreams.
//! - [`reach`]: distinguishes an upstream that is down from a lost link, and selects
//!   the path of new connections.
//! - [`part_index`]: index of which prompt parts each engine and cache store has
//!   cached.
//! - [`cache_updates`]: cache updates that hosts send to each other.
//! - [`place`]: selects the engine for a prompt.
//! - [`coordination`]: selects the services for which hosts coordinate prompts.
//! - [`backlog`]: accounts of the large prompts outstanding at each engine.
//! - [`part_directory`]: directory of the engines that have recently prefilled parts.
//! - [`credit`]: divides the free places of an engine among the hosts.
//! - [`waiting`]: the ordered queue of requests that wait for an engine.
//! - [`plain`]: selects the upstream for a request to a plain service.
//! - [`poison`]: detects requests that crash the upstreams that run them.
//! - [`budget`]: the retry budget shared by all hosts.
//! - [`quota`]: quotas of the workspaces, enforced across all hosts.
//! - [`rollout`]: the order in which engines switch to new weights.
//! - [`announce`]: announcements of which engines are closed while they change
//!   weights.
//! - [`candidacy`]: which hosts are candidates for the leadership of weights
//!   rollouts.
//! - [`broadcast`]: broadcasts messages to all hosts through a few relays.
//! - [`pace`]: rate limits for control traffic.
//! - [`leadership`]: one host's term as leader of weights rollouts, which the
//!   platform's store assigns.
//! - [`era`]: eras of the platform's store (a new one starts each time it
//!   returns from a backup), and fencing tokens across them.
//! - [`relay`]: how far a host has read a log that a few hosts read on behalf of
//!   all.
//! - [`poll_renewal`]: when long polls of the store are renewed.
//! - [`store_availability`]: when the platform's store was available.
//! - [`in_progress`]: the requests in progress, and those that end without an
//!   outcome.
//! - [`buffer_budget`]: a limit on the bytes of answers that are buffered at the same
//!   time.
//! - [`peer_budget`]: limits on the memory and the connections that a process has for all
//!   peers together.
//! - [`blocks`]: bytes kept in blocks of bounded size.
//! - [`stop`]: which requests are still accepted during shutdown.
//! - [`switches`]: turns individual mechanisms of the routing decisions off.
//! - [`events`]: splits a stream of server-sent events into complete events.

pub mod admission;
pub mod announce;
pub mod backlog;
pub mod blocks;
pub mod brittle;
pub mod broadcast;
pub mod budget;
pub mod buffer_budget;
pub mod cache;
pub mod cache_updates;
pub mod candidacy;
pub mod catalog;
pub mod claims;
pub mod conditions;
pub mod config;
pub mod coordination;
pub mod correlation;
pub mod credit;
pub mod era;
pub mod error;
pub mod events;
pub mod exchange;
pub mod feed;
pub mod fingerprint;
pub mod health;
pub mod heartbeat;
pub mod host;
pub mod ids;
pub mod in_progress;
pub mod leadership;
pub mod lease;
pub mod measure;
pub mod members;
pub mod pace;
pub mod params;
pub mod part_directory;
pub mod part_index;
pub mod peer_budget;
pub mod place;
pub mod plain;
pub mod poison;
pub mod policy;
pub mod poll_renewal;
pub mod prefix;
pub mod quota;
pub mod reach;
pub mod relay;
pub mod rollout;
pub mod slot_leases;
pub mod stop;
pub mod store_availability;
pub mod switches;
pub mod upstream;
pub mod waiting;
pub mod wall_clock;
pub mod wire;
pub mod workload;

pub use error::Error;
