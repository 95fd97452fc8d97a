//! The JSON shapes spoken over HTTP between callers, routers, engines and
//! the platform's services.
//!
//! Callers speak an OpenAI-style completions API. Engines take the same
//! shape plus the router's request id and stream [`Chunk`]s as server-sent
//! events, each with a sequence number, the last one carrying [`Usage`].

use serde::{Deserialize, Serialize};

use crate::ids::{
    BlockHash, Fencing, Incarnation, ModelVersion, Offset, Priority, RequestId, Tokens,
};

/// Header of an engine's answer naming the weights it computes under.
pub const WEIGHTS_VERSION: &str = "weights-version";

/// Header of an engine's answer saying it has not run the request.
pub const NOT_EXECUTED: &str = "not-executed";

/// Header carrying the caller's idempotency key.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// A caller's completion request: `POST /v1/completions` on a router.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CompletionRequest {
    /// The workspace, which names the routing policy.
    pub workspace: String,
    /// The prompt; tokens are runs of non-blank characters.
    pub prompt: String,
    /// Tokens to generate; 16 unless set.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
    /// Stream server-sent events rather than one whole answer.
    #[serde(default)]
    pub stream: bool,
    /// Scheduling priority at the engine.
    #[serde(default)]
    pub priority: Priority,
    /// Milliseconds the caller waits for the first token; a request that is
    /// not expected to make it is refused at once.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
}

fn default_max_tokens() -> u32 {
    16
}

/// A router's order to an engine: `POST /v1/completions` on an engine.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EngineRequest {
    /// The router's id for the request, echoed in every chunk.
    pub id: RequestId,
    /// The workspace; the engine salts its cache with it.
    pub workspace: String,
    /// The prompt.
    pub prompt: String,
    /// Tokens to generate.
    pub max_tokens: u32,
    /// Scheduling priority.
    pub priority: Priority,
    /// First chunk to send: chunks before it reached the caller through
    /// another engine. Generation is deterministic per id and position.
    #[serde(default)]
    pub resume_from: u32,
    /// Weights the answer must be computed under; an engine serving others
    /// answers 409 and does not run the request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expect_version: Option<ModelVersion>,
}

/// An order to load weights: `POST /v1/admin/weights` on an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightsOrder {
    /// The weights to serve from now on.
    pub version: ModelVersion,
    /// The keeper's fencing token.
    pub fencing: Fencing,
}

/// Token accounting of a finished request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens in the prompt.
    pub prompt_tokens: Tokens,
    /// Prompt tokens served from the engine's cache.
    pub cached_tokens: Tokens,
    /// Tokens generated.
    pub completion_tokens: Tokens,
}

/// One piece of a streamed answer, as an event's `data`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// The request this chunk answers.
    pub id: RequestId,
    /// Position in the stream, from 0, with no gaps.
    pub seq: u32,
    /// Generated text.
    pub text: String,
    /// Present on the last chunk only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// A whole answer, when the caller did not ask for a stream.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Completion {
    /// The request this answers.
    pub id: RequestId,
    /// All generated text.
    pub text: String,
    /// Token accounting.
    pub usage: Usage,
    /// Address of the engine that computed it.
    pub engine: String,
}

/// The body of every error answer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ErrorBody {
    /// What went wrong.
    pub error: ErrorDetail,
}

/// Where and why a request failed.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// The step at which it failed, such as `parse`, `route` or `stream`.
    pub step: String,
    /// The peer involved: a caller, engine or service address, or `router`.
    pub peer: String,
    /// A plain sentence.
    pub message: String,
    /// True only when the request is known not to have run anywhere.
    pub not_run: bool,
}

/// Answer of `GET /v1/route`: which entry host to use, and for how long.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RouteAnswer {
    /// Address of the router to connect to.
    pub addr: String,
    /// Data centre of that router.
    pub dc: String,
    /// Milliseconds the caller may keep the answer.
    pub ttl_ms: u64,
}

/// One record of a log-service stream.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LogRecord {
    /// Its offset.
    pub offset: Offset,
    /// Milliseconds since the Unix epoch at append.
    pub at_ms: u64,
    /// The record as appended.
    pub body: String,
}

/// Answer of a log-service read.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LogRead {
    /// Records from the requested offset on, in offset order.
    pub records: Vec<LogRecord>,
    /// Offset the next append will get.
    pub next: Offset,
    /// Oldest offset still kept; older records have expired.
    pub oldest: Offset,
}

/// Answer of a log-service append.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Appended {
    /// Offset given to the record.
    pub offset: Offset,
}

/// What happened to a set of cache blocks at an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EventKind {
    /// The blocks were computed and are held.
    Stored,
    /// The blocks were evicted.
    Removed,
    /// Every block was dropped.
    Cleared,
}

/// One cache event of an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Position in the engine's event sequence; a jump means lost events.
    pub seq: u64,
    /// What happened.
    pub kind: EventKind,
    /// The blocks concerned; empty for `cleared`.
    pub blocks: Vec<BlockHash>,
}

/// Answer of `GET /v1/events?from=N` on an engine.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CacheEvents {
    /// The engine's incarnation.
    pub incarnation: Incarnation,
    /// The weights it serves.
    pub version: ModelVersion,
    /// Sequence number the next event will get.
    pub next: u64,
    /// Events from the requested one on; some may be missing.
    pub events: Vec<CacheEvent>,
}

/// Answer of `GET /v1/load` on an engine; reported with a lag.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct LoadReport {
    /// The engine's incarnation.
    pub incarnation: Incarnation,
    /// The weights it serves.
    pub version: ModelVersion,
    /// Requests being computed.
    pub running: u32,
    /// Requests queued.
    pub waiting: u32,
}

/// Role of a host in the host list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// An entry host running a router.
    Router,
    /// A model runner.
    Engine,
    /// A plain service.
    Service,
}

/// Whether a host takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// In service.
    Live,
    /// Being drained: no new work.
    Leaving,
}

/// One entry of the host list.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HostEntry {
    /// `ip:port` of the host's service.
    pub addr: String,
    /// What runs there.
    pub role: Role,
    /// Whether it takes new work.
    pub state: HostState,
    /// Its data centre.
    pub dc: String,
}

/// Answer of `GET /v1/hosts?version=N` on the host list; 304 when N is
/// still its version.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct HostList {
    /// Changes with the list; meaningful only to the host list that gave it.
    #[serde(default)]
    pub version: u64,
    /// Every known host.
    pub hosts: Vec<HostEntry>,
}
