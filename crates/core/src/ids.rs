//! Newtypes for ids, counts and offsets.
//!
//! Every type here has `Display` and `FromStr`, and the text forms round-trip.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::Error;

/// Declares a newtype over an unsigned integer with a decimal text form.
macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident($inner:ty), $kind:literal) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self, Error> {
                text.parse().map(Self).map_err(|_| Error::Parse($kind, text.into(), "not a whole number"))
            }
        }
    };
}

number_type!(
    /// Position of a record in a log-service stream; the first record is at 0.
    Offset(u64),
    "offset"
);
number_type!(
    /// Identifies one run of a process: for an engine, a fresh random number at
    /// each start.
    Incarnation(u64),
    "incarnation"
);
number_type!(
    /// Version of the weights an engine serves; cached blocks are valid only
    /// within one version.
    ModelVersion(u32),
    "model version"
);
number_type!(
    /// Fencing token sent with orders to engines; a larger one is newer.
    Fencing(u64),
    "fencing token"
);
number_type!(
    /// A count of prompt or generated tokens.
    Tokens(u64),
    "token count"
);
number_type!(
    /// Id of one caller request, unique per router incarnation and request.
    RequestId(u64),
    "request id"
);

/// Hash of one cache block, chained over all blocks before it.
///
/// The text form is 16 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BlockHash(pub u64);

impl fmt::Display for BlockHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for BlockHash {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        u64::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| Error::Parse("block hash", text.into(), "not 16 hex digits"))
    }
}

/// Name of a workspace: 1 to 64 characters of `a-z`, `0-9` and `-`.
///
/// ```
/// use marjoram_core::ids::WorkspaceId;
/// let id: WorkspaceId = "kili-checks".parse().unwrap();
/// assert_eq!(id.to_string(), "kili-checks");
/// assert!("Bad Name".parse::<WorkspaceId>().is_err());
/// ```
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct WorkspaceId(String);

impl WorkspaceId {
    /// The name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for WorkspaceId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for WorkspaceId {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let valid = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
        match text.len() {
            0 => Err(Error::Parse("workspace", text.into(), "empty")),
            n if n > 64 => Err(Error::Parse("workspace", text.into(), "longer than 64")),
            _ if !text.chars().all(valid) => {
                Err(Error::Parse("workspace", text.into(), "only a-z, 0-9 and - are allowed"))
            }
            _ => Ok(Self(text.into())),
        }
    }
}

impl TryFrom<String> for WorkspaceId {
    type Error = Error;

    fn try_from(text: String) -> Result<Self, Error> {
        text.parse()
    }
}

impl From<WorkspaceId> for String {
    fn from(id: WorkspaceId) -> String {
        id.0
    }
}

/// Scheduling priority of a request: interactive requests take precedence over
/// batch ones.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Batch processing, such as overnight jobs; may be delayed.
    Batch,
    /// Default priority.
    #[default]
    Normal,
    /// A user is waiting for the response.
    Interactive,
}

impl fmt::Display for Priority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Batch => "batch",
            Self::Normal => "normal",
            Self::Interactive => "interactive",
        })
    }
}

impl FromStr for Priority {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        match text {
            "batch" => Ok(Self::Batch),
            "normal" => Ok(Self::Normal),
            "interactive" => Ok(Self::Interactive),
            _ => {
                Err(Error::Parse("priority", text.into(), "expected batch, normal or interactive"))
            }
        }
    }
}
