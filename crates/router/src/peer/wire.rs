//! Messages between routers, encoded with `bincode`.
//!
//! Integers are fixed-width: block hashes are random, so a variable-width
//! encoding would only make them longer.

use bincode::config::{Configuration, Fixint, LittleEndian};
use marjoram_core::ids::{BlockHash, Incarnation, ModelVersion};
use marjoram_core::members::{Member, Status};
use marjoram_core::quota::ledger::Sender;
use marjoram_core::slot_leases::{HostKey, SlotGrant, SlotReport};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

const CODEC: Configuration<LittleEndian, Fixint> =
    bincode::config::standard().with_fixed_int_encoding();

/// A call from one router to another.
#[derive(Debug, Serialize, Deserialize)]
pub enum Call {
    /// Membership updates; answered with the callee's updates.
    Ping(Vec<WireMember>),
    /// A starting router asks for the callee's state.
    FetchState,
    /// Asks the callee, which coordinates the slots of brittle engines, for some of them.
    ReportSlots(Sender, SlotReport),
    /// Grants slots to the callee; answered with no grant.
    GrantSlots(HostKey, SlotGrant),
}

/// The answer to a [`Call`].
#[derive(Debug, Serialize, Deserialize)]
pub enum Answer {
    /// Membership updates.
    Pong(Vec<WireMember>),
    /// The callee's state; empty while it is starting up itself.
    RouterState(RouterState),
    /// The slots that the caller may use.
    Granted(Option<SlotGrant>),
}

/// State that a router sends to one that has just started.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct RouterState {
    /// Its configuration, as JSON; empty when it has none.
    pub config: Vec<u8>,
    /// Its cache index, by engine.
    pub engines: Vec<WireEngine>,
}

/// One engine's entries of a cache index.
#[derive(Debug, Serialize, Deserialize)]
pub struct WireEngine {
    /// `ip:port` of the engine.
    pub addr: String,
    /// Incarnation of the engine that the entries belong to.
    pub incarnation: u64,
    /// Weights version that the entries belong to.
    pub version: u32,
    /// Sequence number of the engine's next event to read.
    pub next: u64,
    /// Hashes of the blocks in its cache, according to the index.
    pub blocks: Vec<u64>,
}

impl WireEngine {
    /// The engine's incarnation, weights version and blocks as types of the core crate.
    pub fn entries(&self) -> (Incarnation, ModelVersion, Vec<BlockHash>) {
        let blocks = self.blocks.iter().copied().map(BlockHash).collect();
        (Incarnation(self.incarnation), ModelVersion(self.version), blocks)
    }
}

/// One membership entry.
#[derive(Debug, Serialize, Deserialize)]
pub struct WireMember {
    addr: String,
    incarnation: u64,
    beat: u64,
    status: u8,
}

impl From<Member> for WireMember {
    fn from(member: Member) -> Self {
        let status = match member.status {
            Status::Warming => 0,
            Status::Ready => 1,
            Status::Draining => 2,
            Status::Down => 3,
        };
        Self { addr: member.addr, incarnation: member.incarnation.0, beat: member.beat, status }
    }
}

impl TryFrom<WireMember> for Member {
    type Error = String;

    fn try_from(wire: WireMember) -> Result<Self, String> {
        let status = match wire.status {
            0 => Status::Warming,
            1 => Status::Ready,
            2 => Status::Draining,
            3 => Status::Down,
            other => return Err(format!("unknown status {other} of {}", wire.addr)),
        };
        let incarnation = Incarnation(wire.incarnation);
        Ok(Self { addr: wire.addr, incarnation, beat: wire.beat, status })
    }
}

/// Encodes a call or an answer.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, String> {
    bincode::serde::encode_to_vec(value, CODEC).map_err(|e| e.to_string())
}

/// Decodes a call or an answer.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, String> {
    bincode::serde::decode_from_slice(bytes, CODEC).map(|(v, _)| v).map_err(|e| e.to_string())
}
