//! What makes two requests of a caller the same one, sent again.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::Error;

/// Hash of a request's caller, address and body. Attempts of one request share
/// it; its attempt id, deadline and place in a stream are not part of it.
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
    /// Of the request with `body` that is addressed by `parts`: the caller,
    /// and where it is sent to.
    pub fn new(parts: &[&str], body: &[u8]) -> Self {
        let mut hasher = Xxh3::new();
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        hasher.update(body);
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
        let wrong = || Error::Parse("fingerprint", text.into(), "not hexadecimal");
        u64::from_str_radix(text, 16).map(Self).map_err(|_| wrong())
    }
}
