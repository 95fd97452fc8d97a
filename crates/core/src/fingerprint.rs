//! Fingerprints of requests, which identify repeated sends of the same request.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::Error;

/// Hash of a request's caller, target and body. All attempts of one request have
/// the same fingerprint; the attempt id, the deadline and the position in a
/// stream are not part of it.
///
/// ```
/// use marjoram_core::fingerprint::Fingerprint;
/// let one = Fingerprint::new(&["acme", "POST", "/check/7"], b"beam");
/// assert_eq!(one, Fingerprint::new(&["acme", "POST", "/check/7"], b"beam"));
/// assert_ne!(one, Fingerprint::new(&["other", "POST", "/check/7"], b"beam"));
/// assert_ne!(one, Fingerprint::new(&["acme", "POST", "/check/"], b"7beam"));
/// assert_eq!(one.to_string().parse::<Fingerprint>().unwrap(), one);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Computes the fingerprint of the request with `body`. `parts` are the
    /// caller and the target of the request; each is hashed with its length, so
    /// that bytes cannot move between them.
    pub fn new(parts: &[&str], body: &[u8]) -> Self {
        Self::of_blocks(parts, [body])
    }

    /// The same for a body in blocks.
    pub fn of_blocks<'a>(parts: &[&str], body: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut hasher = Xxh3::new();
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        body.into_iter().for_each(|block| hasher.update(block));
        Self(hasher.digest())
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for Fingerprint {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let invalid = || Error::Parse("fingerprint", text.into(), "not hexadecimal");
        u64::from_str_radix(text, 16).map(Self).map_err(|_| invalid())
    }
}
