//! Metadata that callers, router and upstreams exchange besides bodies,
//! independent of the wire format, which adapters define.

use std::fmt;
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::Error;
use crate::conditions::StatedConditions;
use crate::upstream::UpstreamId;

/// Statuses that an answer can have (RFC 9110, section 15).
pub const STATUSES: RangeInclusive<u16> = 100..=599;

/// Id of a part of a prompt.
///
/// ```
/// use marjoram_core::exchange::PartId;
/// let id: PartId = "5c1e07a2".parse().unwrap();
/// assert_eq!(id.to_string(), "5c1e07a2");
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PartId(pub u64);

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

impl FromStr for PartId {
    type Err = Error;

    /// A hexadecimal id of up to 64 bits is used as it is; any other text is hashed.
    fn from_str(text: &str) -> Result<Self, Error> {
        match u64::from_str_radix(text, 16) {
            Ok(id) => Ok(Self(id)),
            Err(_) if text.is_empty() => Err(Error::Parse("part id", text.into(), "empty")),
            Err(_) => Ok(Self(xxh3_64(text.as_bytes()))),
        }
    }
}

/// One part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part {
    /// Its id: requests that contain the same part can share its cached tokens.
    pub id: PartId,
    /// Length in tokens.
    pub tokens: u64,
}

/// A prompt and the maximum length of its completion.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prompt {
    /// The model.
    pub model: String,
    /// Parts in order; the last belongs to the request or its session.
    pub parts: Vec<Part>,
    /// Prompt tokens of all parts.
    pub input: u64,
    /// Maximum tokens to generate.
    pub output: u64,
}

impl Prompt {
    /// The parts that other requests may share, in prompt order.
    pub fn shared_parts(&self) -> &[Part] {
        &self.parts[..self.parts.len().saturating_sub(1)]
    }

    /// Total tokens of the parts that other requests may share.
    pub fn shared(&self) -> u64 {
        self.shared_parts().iter().map(|p| p.tokens).sum()
    }

    /// Ids of the shared parts, separated by commas, for logs.
    pub fn shared_ids(&self) -> String {
        let ids: Vec<String> = self.shared_parts().iter().map(|p| p.id.to_string()).collect();
        ids.join(",")
    }

    /// Hash of the whole prefix path (all shared parts in order): prompts that
    /// differ in any shared part have different hashes, however long their common
    /// prefix is.
    ///
    /// ```
    /// use marjoram_core::exchange::{Part, PartId, Prompt};
    /// let part = |id| Part { id: PartId(id), tokens: 500 };
    /// let prompt = |ids: [u64; 3]| Prompt {
    ///     model: "m".into(),
    ///     parts: ids.map(part).to_vec(),
    ///     input: 1_500,
    ///     output: 20,
    /// };
    /// assert_eq!(prompt([1, 2, 3]).prefix_hash(), prompt([1, 2, 4]).prefix_hash());
    /// assert_ne!(prompt([1, 2, 3]).prefix_hash(), prompt([1, 5, 3]).prefix_hash());
    /// ```
    pub fn prefix_hash(&self) -> u64 {
        let parts = self.shared_parts().iter();
        parts.fold(0, |path, part| xxh3_64_with_seed(&part.id.0.to_le_bytes(), path))
    }
}

/// Metadata of a caller's request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// Id of this attempt of the caller.
    pub attempt: Option<String>,
    /// Time for which the caller waits for an answer.
    pub deadline: Option<Duration>,
    /// API key.
    pub key: Option<String>,
    /// Prompt, for a request to a language model.
    pub prompt: Option<Prompt>,
    /// Last event of a stream that the caller already received.
    pub last_event: Option<u64>,
    /// Prompt and completion tokens that the request declares.
    pub tokens: Option<u64>,
}

/// Metadata that the router sends to an upstream with a request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Envelope {
    /// Time for which the caller still waits.
    pub left: Duration,
    /// The only upstream that may run the request.
    pub upstream: Option<UpstreamId>,
    /// The caller's workspace.
    pub workspace: Option<String>,
    /// Priority at the upstream; 0 is the most urgent.
    pub rank: Option<u8>,
    /// The only version of the weights that may run it.
    pub weights: Option<u64>,
    /// Name of the cache that its parts are stored in.
    pub salt: Option<String>,
    /// Source from which cached parts are fetched.
    pub fetch: Option<String>,
    /// Destination to which cached parts are saved.
    pub save: Option<String>,
    /// Last event of a stream that the caller already received.
    pub last_event: Option<u64>,
}

/// Metadata of an upstream's answer.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ResponseMetadata {
    /// Id of the attempt that it answers.
    pub attempt: Option<String>,
    /// It carries the upstream's response seal.
    pub sealed: bool,
    /// The request was not run and will not be.
    pub not_run: bool,
    /// Id of the upstream that answers, if stated.
    pub upstream: Option<UpstreamId>,
    /// Version of the weights that ran the request.
    pub weights: Option<u64>,
    /// What the upstream states about itself.
    pub conditions: StatedConditions,
}
