//! What routers say to each other, as `bincode` carries it.
//!
//! Integers are fixed-width: block hashes are random, so a variable-width
//! code would only lengthen them.

use bincode::config::{Configuration, Fixint, LittleEndian};
use marjoram_core::ids::{BlockHash, Incarnation, ModelVersion};
use marjoram_core::members::{Member, Status};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

const CODEC: Configuration<LittleEndian, Fixint> =
    bincode::config::standard().with_fixed_int_encoding();

/// A call from one router to another.
#[derive(Debug, Serialize, Deserialize)]
pub enum Call {
    /// News of members; answered by the callee's news.
    Ping(Vec<WireMember>),
    /// A starting router asks for what the callee knows.
    Warm,
}

/// The answer to a [`Call`].
#[derive(Debug, Serialize, Deserialize)]
pub enum Answer {
    /// News of members.
    Pong(Vec<WireMember>),
    /// What the callee knows; empty while it is warming up itself.
    Warmth(Warmth),
}

/// What a router can tell one that has just started.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct Warmth {
    /// Its configuration, as JSON; empty when it has none.
    pub config: Vec<u8>,
    /// Its picture of each engine's cache.
    pub engines: Vec<WireEngine>,
}

/// One engine's part of a cache picture.
#[derive(Debug, Serialize, Deserialize)]
pub struct WireEngine {
    /// `ip:port` of the engine.
    pub addr: String,
    /// The incarnation the entries were learnt under.
    pub incarnation: u64,
    /// The weights they were learnt under.
    pub version: u32,
    /// Sequence number of the engine's next event to read.
    pub next: u64,
    /// Block hashes believed cached.
    pub blocks: Vec<u64>,
}

impl WireEngine {
    /// The entry's incarnation, weights and blocks as the core's types.
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
