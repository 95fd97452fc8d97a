//! The messages that hosts send each other, encoded with `bincode`.

use std::net::SocketAddr;

use marjoram_core::backlog::{Account, ClaimChange};
use marjoram_core::brittle::ReportedStatement;
use marjoram_core::broadcast::Slice;
use marjoram_core::cache_updates::CacheUpdate;
use marjoram_core::candidacy::ControlCapacity;
use marjoram_core::conditions::ReportedLimit;
use marjoram_core::exchange::PartId;
use marjoram_core::leadership::CandidateStatus;
use marjoram_core::poison::{CrashReport, PartCrashReport, Quarantined};
use marjoram_core::quota::ledger::{Allocation, Sender, Usage};
use marjoram_core::slot_leases::{SlotGrant, SlotReport};
use serde::{Deserialize, Serialize};

use crate::proxy::fleet::Load;
use crate::proxy::relays::Relay;

/// A host's record in the platform's store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRecord {
    /// Address at which it takes callers.
    pub callers: SocketAddr,
    /// Address at which it receives other hosts' datagrams.
    pub peers: SocketAddr,
    /// Random number that identifies one incarnation of its process.
    pub life: u64,
}

/// One datagram.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Message {
    /// Heartbeat: the sender's state.
    Heartbeat(Box<Heartbeat>),
    /// Engines that close for a change of weights, or are open again.
    Notices(Vec<Notice>),
    /// Registry entries that the sender has read for the other hosts.
    Relay(Relay),
    /// The requests that the sender had in flight at an upstream that crashed.
    Crashes(Vec<CrashReport>),
    /// Requests in quarantine, which no host sends any more.
    Quarantine(Vec<Quarantined>),
    /// What the sender admitted for the workspaces for which the receiver is
    /// quota coordinator.
    Usages(Sender, Vec<Usage>),
    /// What the receiver may admit for these workspaces. The number is the hash
    /// of the name of the host that is their quota coordinator.
    Allocations(u64, Vec<Allocation>),
    /// A message that the receiver is to process and to forward to a slice of the
    /// hosts.
    Forward(Slice, Box<Message>),
    /// What the sender sent to upstreams for whose rate limits the receiver is
    /// quota coordinator. An empty list asks for all limits that the receiver knows.
    LimitReports(Sender, Vec<LimitReport>),
    /// What the receiver may send to these upstreams. The number is the hash of the
    /// name of the host that coordinates their rate limits.
    LimitAnswers(u64, Vec<LimitAnswer>),
    /// Asks for the accounts of engines, and for the engines that have parts cached.
    BacklogQuery { id: u64, query: BacklogQuery },
    /// The answer to a query.
    BacklogAnswer { id: u64, answer: BacklogAnswer },
    /// The sender leads weights rollouts with this token, and asks when the receiver last
    /// ordered an engine to change.
    LeaderQuery(u64),
    /// The answer to a query with this token: for how many milliseconds the sender has sent
    /// no order. It sends none in a term with a lower token.
    LeaderAnswer { token: u64, idle_ms: u64 },
    /// A change of one of the sender's large prompts.
    Claim(Sender, ClaimReport),
    /// The prompt parts that the sender had in flight at an upstream that crashed.
    PartCrashes(Vec<PartCrashReport>),
    /// Asks when answers to prompts with these parts were last completed.
    PartQuery(Vec<PartId>),
    /// The answer: the parts for which that is known, and how many milliseconds ago.
    PartCompletions(Vec<(PartId, u32)>),
    /// The services that are brittle, for a host that has started.
    BrittleServices(Vec<ReportedStatement>),
    /// What the sender needs of the slots of a brittle service that the receiver coordinates.
    SlotReport(Sender, SlotReport),
    /// The slots that the receiver may use. The number is the hash of the coordinator's name.
    SlotGrant(u64, SlotGrant),
}

/// What a host asks before it chooses an engine for a large prompt.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct BacklogQuery {
    /// Keys of the engines whose accounts are asked for.
    pub upstreams: Vec<u64>,
    /// Keys of the prompt's shared parts in the caches that may be used.
    pub parts: Vec<u64>,
}

/// The answer to a [`BacklogQuery`].
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct BacklogAnswer {
    /// The accounts, by the keys of the engines: those asked for, and those that have
    /// parts cached.
    pub accounts: Vec<(u64, Account)>,
    /// For each part asked for, in order, the keys of the engines that have it cached.
    pub engines: Vec<Vec<u64>>,
}

/// A change of one large prompt.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ClaimReport {
    /// The change.
    pub change: ClaimChange,
    /// Keys of the shared parts that have been prefilled.
    pub parts: Vec<u64>,
}

/// What one host knows of an upstream's rate limit, and what it sent it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LimitReport {
    /// Key of the upstream's incarnation.
    pub upstream: u64,
    /// The last statement of the limit that the host knows.
    pub stated: ReportedLimit,
    /// What it sent; `None` if the limit is withdrawn.
    pub usage: Option<Usage>,
}

/// A coordinator's answer to a [`LimitReport`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LimitAnswer {
    /// Key of the upstream's incarnation.
    pub upstream: u64,
    /// The last statement of the limit that the coordinator knows.
    pub stated: ReportedLimit,
    /// What the host may send; `None` without a usage or an account.
    pub allocation: Option<Allocation>,
}

/// A heartbeat: the state of a host.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Heartbeat {
    pub name: String,
    /// Its addresses and incarnation.
    pub record: HostRecord,
    /// Whether it takes callers.
    pub open: bool,
    /// Its time of day, in milliseconds since the Unix epoch.
    pub unix_time: u64,
    /// Its requests at each upstream, by the upstream's key.
    pub loads: Vec<(u64, Load)>,
    /// Keys of upstreams that it could not reach, and that other hosts did not reach for it.
    pub unreachable: Vec<u64>,
    /// The links that it has lost.
    pub lost_links: LostLinks,
    /// Services that are brittle, according to answers that it received.
    pub brittle: Vec<ReportedStatement>,
    /// Number of requests that brittle upstreams recently rejected, by their keys.
    pub rejections: Vec<(u64, u32)>,
    /// Versions of what it knows, by which the receiver sees whether it lacks
    /// something.
    pub versions: StateVersions,
    /// Recently announced weights: model, version, and milliseconds since the
    /// announcement.
    pub announcement_ages: Vec<(String, u64, u64)>,
    /// What caches have recently added and evicted.
    pub news: Vec<CacheUpdate>,
    /// Whether it is a candidate for leadership of weights rollouts.
    pub candidate_status: CandidateStatus,
    /// Its capacity for that leadership.
    pub room: ControlCapacity,
    /// Milliseconds since its last store error.
    pub store_error: Option<u64>,
    /// Requests that it recently learnt to be in quarantine.
    pub quarantine: Vec<Quarantined>,
}

/// The links to upstreams that a host has lost.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LostLinks {
    /// Hashes of the names of the services from which it is cut off.
    pub services: Vec<u64>,
    /// It is cut off from all services.
    pub all: bool,
}

/// Versions of what a host knows.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StateVersions {
    /// The version of its configuration.
    pub config: u64,
    /// The sum of the weights versions that it knows.
    pub weights: u64,
    /// Number of times that the requests in quarantine were put there.
    pub entries: u64,
}

/// Engines that change their weights, or have done so.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// The model.
    pub model: String,
    /// The version to which they change, or that they serve.
    pub version: u64,
    /// For how long they are closed, in milliseconds; `None` once they are open.
    pub closed: Option<u64>,
    /// Keys of the engines' incarnations.
    pub upstreams: Vec<u64>,
}
