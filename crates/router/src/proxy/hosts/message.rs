//! What hosts say to each other, as `bincode` carries it.

use std::net::SocketAddr;

use marjoram_core::candidacy::Room;
use marjoram_core::news::News;
use marjoram_core::poison::{CrashReport, Quarantined};
use marjoram_core::quota::ledger::{Sender, Usage, Verdict};
use marjoram_core::spread::Slice;
use marjoram_core::tenure::Stance;
use serde::{Deserialize, Serialize};

use crate::proxy::fleet::Load;
use crate::proxy::relays::Relay;

/// What a host keeps of itself in the platform's store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRecord {
    /// Where it takes callers.
    pub callers: SocketAddr,
    /// Where it takes datagrams of other hosts.
    pub peers: SocketAddr,
    /// One life of its process.
    pub life: u64,
}

/// One datagram.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Message {
    /// How the sender is.
    Hello(Box<Hello>),
    /// Engines close for a change of weights, or are open again.
    Notices(Vec<Notice>),
    /// What the sender has read of the registry.
    Relay(Relay),
    /// What the sender had at an upstream that crashed.
    Crashes(Vec<CrashReport>),
    /// Requests that no host sends any more.
    Quarantine(Vec<Quarantined>),
    /// What the sender admitted of workspaces for which the receiver accounts.
    Usages(Sender, Vec<Usage>),
    /// What the receiver may admit of them, by the account of the host with this
    /// hashed name.
    Verdicts(u64, Vec<Verdict>),
    /// To be taken in, and passed on to a part of the hosts.
    PassOn(Slice, Box<Message>),
}

/// How a host is.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Hello {
    /// Its name.
    pub name: String,
    /// Where it is.
    pub record: HostRecord,
    /// It takes callers.
    pub open: bool,
    /// Requests it has at each upstream, by key.
    pub loads: Vec<(u64, Load)>,
    /// Upstreams it could not reach, by key.
    pub doubts: Vec<u64>,
    /// How much it knows.
    pub extent: Extent,
    /// Weights named lately: model, version, milliseconds since.
    pub named: Vec<(String, u64, u64)>,
    /// What caches have taken in and dropped lately.
    pub news: Vec<News>,
    /// How it stands to the duty of ordering weights.
    pub stance: Stance,
    /// Its room for that duty.
    pub room: Room,
    /// Milliseconds since it last saw a store error.
    pub store_error: Option<u64>,
    /// Requests that it learnt lately to be in quarantine.
    pub quarantine: Vec<Quarantined>,
}

/// How much a host knows.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Extent {
    /// The version of its configuration.
    pub config: u64,
    /// The sum of the versions of its weights.
    pub weights: u64,
    /// Times that requests in quarantine were found.
    pub entries: u64,
}

/// Engines that change their weights, or have.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// The model.
    pub model: String,
    /// The version they change to, or serve.
    pub version: u64,
    /// For how long they are closed, in milliseconds; `None` once they are open.
    pub closed: Option<u64>,
    /// Keys of the engines' lives.
    pub upstreams: Vec<u64>,
}
