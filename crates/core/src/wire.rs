//! JSON messages exchanged over HTTP between callers, routers, engines and the
//! platform's services.
//!
//! Callers use an OpenAI-style completions API. Engines take the same kind of
//! request with the router's request id added, and stream [`Chunk`]s as
//! server-sent events. Each chunk has a sequence number, and the last one carries
//! [`Usage`].

use serde::{Deserialize, Serialize};

use crate::brittle::MaxRejections;
use crate::ids::{
    BlockHash, Fencing, Incarnation, ModelVersion, Offset, Priority, RequestId, Tokens,
};

/// Response header of an engine that names the weights version it computes with.
pub const WEIGHTS_VERSION: &str = "weights-version";

/// Request header of a router that identifies one send of a request to an engine.
pub const SEND_ID: &str = "send-id";

/// Response header of an engine that says it did not execute the request of the send with this
/// [`SEND_ID`].
pub const NOT_EXECUTED: &str = "not-executed";

/// Response header of an engine that refuses a request: seconds for which this
/// router is to back off.
pub const RETRY_AFTER: &str = "retry-after";

/// Request header that carries the caller's idempotency key.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// A caller's completion request: `POST /v1/completions` on a router.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CompletionRequest {
    /// The workspace, which determines the routing policy.
    pub workspace: String,
    /// The prompt; tokens are runs of non-blank characters.
    pub prompt: String,
    /// Number of tokens to generate; default 16.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
    /// Stream the response as server-sent events instead of one JSON document.
    #[serde(default)]
    pub stream: bool,
    /// Scheduling priority at the engine.
    #[serde(default)]
    pub priority: Priority,
    /// Time the caller waits for the first token, in milliseconds. A request that
    /// is not expected to meet it is refused at once.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
}

fn default_max_tokens() -> u32 {
    16
}

/// A router's request to an engine: `POST /v1/completions` on an engine.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EngineRequest {
    /// The router's id for the request, echoed in every chunk.
    pub id: RequestId,
    /// The workspace, which the engine uses to salt the hashes of its cache.
    pub workspace: String,
    /// The prompt.
    pub prompt: String,
    /// Tokens to generate.
    pub max_tokens: u32,
    /// Scheduling priority.
    pub priority: Priority,
    /// First chunk to send: the caller already received the chunks before it from
    /// another engine. Generation is deterministic per id and position.
    #[serde(default)]
    pub resume_from: u32,
    /// Weights version to compute the response with; an engine that serves
    /// another version responds with 409 and does not execute the request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expect_version: Option<ModelVersion>,
}

/// An order to load weights: `POST /v1/admin/weights` on an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightsOrder {
    /// The weights version to serve from now on.
    pub version: ModelVersion,
    /// The fencing token of the lease holder that sends the order.
    pub fencing: Fencing,
}

/// Token counts of a finished request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens in the prompt.
    pub prompt_tokens: Tokens,
    /// Prompt tokens served from the engine's cache.
    pub cached_tokens: Tokens,
    /// Tokens generated.
    pub completion_tokens: Tokens,
}

/// One chunk of a streamed response, sent as the `data` of an event.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// The request this chunk belongs to.
    pub id: RequestId,
    /// Position in the stream, from 0, with no gaps.
    pub seq: u32,
    /// Generated text.
    pub text: String,
    /// Present on the last chunk only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// A complete response, for callers that did not ask for a stream.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Completion {
    /// The request this is the response to.
    pub id: RequestId,
    /// All generated text.
    pub text: String,
    /// Token counts.
    pub usage: Usage,
    /// Address of the engine that computed it.
    pub engine: String,
}

/// The body of every error response.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The error.
    pub error: ErrorDetail,
}

/// Where and why a request failed.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// The step at which it failed, such as `parse`, `route` or `stream`.
    pub step: String,
    /// The peer involved: a caller, engine or service address, or `router`.
    pub peer: String,
    /// Human-readable description.
    pub message: String,
    /// True only if the request is known not to have been executed anywhere.
    pub not_run: bool,
}

/// Response of `GET /v1/route`: which entry host to use, and for how long.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RouteAnswer {
    /// Address of the router to connect to.
    pub addr: String,
    /// Data centre of that router.
    pub dc: String,
    /// How long the caller may keep this address, in milliseconds.
    pub ttl_ms: u64,
}

/// One record of a log-service stream.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LogRecord {
    /// Its offset.
    pub offset: Offset,
    /// Time at which it was appended, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The record as appended.
    pub body: String,
}

/// Response of a log-service read.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LogRead {
    /// Records from the requested offset on, in offset order.
    pub records: Vec<LogRecord>,
    /// Offset that the next appended record will get.
    pub next: Offset,
    /// Oldest offset still kept; older records have expired.
    pub oldest: Offset,
}

/// Response of a log-service append.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Appended {
    /// Offset assigned to the record.
    pub offset: Offset,
}

/// Type of change to a set of cache blocks at an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EventKind {
    /// The blocks were computed and added to the cache.
    Stored,
    /// The blocks were evicted.
    Removed,
    /// The whole cache was cleared.
    Cleared,
}

/// One cache event of an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Position in the engine's event sequence; a gap means lost events.
    pub seq: u64,
    /// Type of change.
    pub kind: EventKind,
    /// The affected blocks; empty for `cleared`.
    pub blocks: Vec<BlockHash>,
}

/// Response of `GET /v1/events?from=N` on an engine.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CacheEvents {
    /// The engine's incarnation.
    pub incarnation: Incarnation,
    /// The weights version it serves.
    pub version: ModelVersion,
    /// Sequence number that the next event will get.
    pub next: u64,
    /// Events from the requested one on; some may be missing.
    pub events: Vec<CacheEvent>,
}

/// Response of `GET /v1/load` on an engine. The figures are reported with a
/// delay.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct LoadReport {
    /// The engine's incarnation.
    pub incarnation: Incarnation,
    /// The weights version it serves.
    pub version: ModelVersion,
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Present while the engine is brittle.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub brittle: Option<BrittleReport>,
}

/// What an engine states that fails if it rejects too many requests in a second. A
/// rejection bears [`NOT_EXECUTED`] and status 503.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BrittleReport {
    /// Number of requests that it runs at once; it lets none wait.
    pub slots: u32,
    /// Number of rejections in a second that it can bear.
    pub max_rejections: MaxRejections,
    /// Requests of all routers that it rejected in the last second.
    pub rejections: u32,
}

/// Role of a host in the host list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// An entry host running a router.
    Router,
    /// An inference engine that serves a model.
    Engine,
    /// A plain service, to which calls are passed through.
    Service,
}

/// Whether a host accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// In service.
    Live,
    /// Draining: gets no new requests.
    Leaving,
}

/// One entry of the host list.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HostEntry {
    /// `ip:port` of the host's service.
    pub addr: String,
    /// What runs on the host.
    pub role: Role,
    /// Whether it accepts new requests.
    pub state: HostState,
    /// Its data centre.
    pub dc: String,
    /// Its name, the same at all routers if these reach it at different addresses; by
    /// default its address.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub name: Option<String>,
}

/// Response of `GET /v1/hosts?version=N` on the host list service; 304 if the
/// list still has version N.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct HostList {
    /// Changes whenever the list does; comparable only between responses of the
    /// same host list service.
    #[serde(default)]
    pub version: u64,
    /// Every known host.
    pub hosts: Vec<HostEntry>,
}
