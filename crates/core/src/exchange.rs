//! What passes between callers, router and upstreams beside bodies, in the
//! project's own terms. Adapters define the wire format.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::Error;
use crate::upstream::UpstreamId;

/// Id of a part of a prompt.
///
/// ```
/// use marjoram_core::exchange::PartId;
/// let id: PartId = "5c1e07a2".parse().unwrap();
/// assert_eq!(id.to_string(), "5c1e07a2");
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PartId(pub u64);

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

impl FromStr for PartId {
    type Err = Error;

    /// Hexadecimal ids are kept; a longer text is hashed.
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
    /// Its id: requests with the same part share its cache.
    pub id: PartId,
    /// Its tokens.
    pub tokens: u64,
}

/// What a model is asked to read and write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prompt {
    /// The model.
    pub model: String,
    /// Parts in order; the last belongs to the request or its session.
    pub parts: Vec<Part>,
    /// Prompt tokens in all.
    pub input: u64,
    /// Maximum tokens to be written.
    pub output: u64,
}

impl Prompt {
    /// The parts that other requests may share, the outermost first.
    pub fn shared_parts(&self) -> &[Part] {
        &self.parts[..self.parts.len().saturating_sub(1)]
    }

    /// Tokens of the parts that other requests may share.
    pub fn shared(&self) -> u64 {
        self.shared_parts().iter().map(|p| p.tokens).sum()
    }

    /// Key of the whole chain of shared parts: prompts that differ in any of
    /// them have another one, however much of the chain they share.
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
    /// assert_eq!(prompt([1, 2, 3]).chain(), prompt([1, 2, 4]).chain());
    /// assert_ne!(prompt([1, 2, 3]).chain(), prompt([1, 5, 3]).chain());
    /// ```
    pub fn chain(&self) -> u64 {
        let parts = self.shared_parts().iter();
        parts.fold(0, |chain, part| xxh3_64_with_seed(&part.id.0.to_le_bytes(), chain))
    }
}

/// What a caller's request says of itself.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Asked {
    /// Id of this attempt of the caller.
    pub attempt: Option<String>,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// The key it shows.
    pub key: Option<String>,
    /// What a model is asked for.
    pub prompt: Option<Prompt>,
    /// The last event it already has.
    pub last_event: Option<u64>,
    /// Tokens to be read and written, where it states them.
    pub tokens: Option<u64>,
}

/// What the router sends to an upstream with a request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Envelope {
    /// How long the caller still waits.
    pub left: Duration,
    /// The only upstream that is to run it.
    pub upstream: Option<UpstreamId>,
    /// The caller's workspace.
    pub workspace: Option<String>,
    /// Rank at the upstream; 0 is first.
    pub rank: Option<u8>,
    /// The only weights that are to run it.
    pub weights: Option<u64>,
    /// The cache its parts are kept in.
    pub salt: Option<String>,
    /// Where parts are fetched from.
    pub fetch: Option<String>,
    /// Where parts are sent to.
    pub save: Option<String>,
    /// The last event the caller has had.
    pub last_event: Option<u64>,
}

/// What an upstream's answer says of itself.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Mark {
    /// The attempt it answers.
    pub attempt: Option<String>,
    /// It bears the upstream's mark.
    pub sealed: bool,
    /// The request was not run and never will be.
    pub not_run: bool,
    /// The upstream that answers, where it says so.
    pub upstream: Option<UpstreamId>,
    /// The weights that ran it.
    pub weights: Option<u64>,
}
