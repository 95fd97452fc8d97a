//! At-most-once calls to plain services, ordered by the log service.
//!
//! Before a router sends a call that carries an idempotency key, it appends
//! a [`ClaimRecord::Claim`] to the log service's `claims` stream, then reads
//! the stream to its end, by which it has read its own claim. The log's order
//! decides: the first claim for a key becomes its holder, and only the holder
//! sends the call. The holder then appends the call's [`ClaimRecord::Outcome`],
//! which is the answer to all later claims for the key. A holder that did not
//! send the call after all appends [`ClaimRecord::Abandon`], which frees the key
//! for the next claim. It also does so when it stops waiting for its claim to be
//! appended: a claim that arrives after its abandon record has no effect.
//!
//! A router never sends a call before it has read that its own claim is the
//! holder, so a call runs at most once, whichever claims, answers and routers
//! are lost; all routers that have read the same records decide the same. The
//! key of a holder that crashed after sending stays claimed without an outcome:
//! its callers are answered "outcome unknown" until the record expires, and the
//! call is never run again.
//!
//! The log service retains records for a limited time, so a key is protected
//! for that long: [`Claims::forget_before`] drops the keys whose last record has
//! expired, and moves a reader that is behind to the oldest retained record. A
//! claimant must act on its claim, or abandon it, well within the retention time
//! (the router allows a few seconds), since a later claimant may not be able to
//! read a claim that has expired.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::ids::Offset;

/// One record of the `claims` stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "lowercase")]
pub enum ClaimRecord {
    /// `owner` requests to send the call with idempotency key `key`.
    Claim {
        /// The idempotency key.
        key: String,
        /// The claimant: the router's address and its request id.
        owner: String,
    },
    /// `owner` sent the call and received this answer.
    Outcome {
        /// The idempotency key.
        key: String,
        /// The holder that sent the call.
        owner: String,
        /// The service's answer.
        answer: Answer,
    },
    /// `owner` did not send the call; the key is free again.
    Abandon {
        /// The idempotency key.
        key: String,
        /// The claimant that gives up the key.
        owner: String,
    },
}

/// A plain service's answer, stored for replay to later claims.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kind: Option<String>,
    /// Body; base64 on the wire, since it may be binary.
    #[serde(with = "base64_bytes")]
    pub body: Vec<u8>,
}

/// Bytes as a base64 string.
mod base64_bytes {
    use base64::prelude::{BASE64_STANDARD, Engine as _};
    use serde::{Deserialize, Deserializer, Serializer};

    pub fn serialize<S: Serializer>(bytes: &[u8], to: S) -> Result<S::Ok, S::Error> {
        to.serialize_str(&BASE64_STANDARD.encode(bytes))
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<u8>, D::Error> {
        let text = String::deserialize(from)?;
        BASE64_STANDARD.decode(text).map_err(serde::de::Error::custom)
    }
}

/// How a claimant must proceed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// The claimant is the holder of the key and must send the call.
    Send,
    /// The call already ran; answer with its outcome.
    Done(Answer),
    /// Another claimant is the holder and no outcome is known.
    Held(String),
    /// The claimant's claim is not among the records read so far.
    Unseen,
}

#[derive(Debug, Clone, Default)]
struct Key {
    holder: Option<String>,
    outcome: Option<Answer>,
    claims: Vec<(Offset, String)>,
    /// Claimants that gave up; their claims may still arrive and are ignored.
    abandoned: Vec<String>,
    /// Offset of the key's last record.
    last: Offset,
}

/// State of all keys according to the records read so far.
#[derive(Debug, Clone, Default)]
pub struct Claims {
    keys: HashMap<String, Key>,
    next: Offset,
    /// The log's oldest offset when expired keys were last dropped.
    swept: Offset,
}

impl Claims {
    /// State before any record is read.
    pub fn new() -> Self {
        Self::default()
    }

    /// Offset of the next record to read.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Applies the record at `offset`; ignores offsets already read. Returns
    /// false if records before `offset` are missing, so that it must be read
    /// again after them.
    ///
    /// ```
    /// use marjoram_core::claims::{ClaimRecord, Claims, Decision};
    /// use marjoram_core::ids::Offset;
    /// let mut claims = Claims::new();
    /// let claim = |owner: &str| ClaimRecord::Claim { key: "k".into(), owner: owner.into() };
    /// claims.apply(Offset(0), &claim("a"));
    /// claims.apply(Offset(1), &claim("b"));
    /// assert_eq!(claims.decide("k", "a", Offset(0)), Decision::Send);
    /// assert_eq!(claims.decide("k", "b", Offset(1)), Decision::Held("a".into()));
    /// ```
    pub fn apply(&mut self, offset: Offset, record: &ClaimRecord) -> bool {
        match offset {
            o if o < self.next => return true,
            o if o > self.next => return false,
            _ => self.next = Offset(offset.0 + 1),
        }
        match record {
            ClaimRecord::Claim { key, owner } => {
                let entry = self.entry_at(key, offset);
                entry.claims.push((offset, owner.clone()));
                let abandoned = entry.abandoned.contains(owner);
                if entry.holder.is_none() && entry.outcome.is_none() && !abandoned {
                    entry.holder = Some(owner.clone());
                }
            }
            ClaimRecord::Outcome { key, owner, answer } => {
                // Only a holder sends the call, so an outcome is valid even if its
                // claim expired before this reader started.
                let entry = self.entry_at(key, offset);
                entry.holder = Some(owner.clone());
                entry.outcome = Some(answer.clone());
            }
            ClaimRecord::Abandon { key, owner } => {
                let entry = self.entry_at(key, offset);
                entry.abandoned.push(owner.clone());
                if entry.holder.as_ref() == Some(owner) && entry.outcome.is_none() {
                    entry.holder = None;
                }
            }
        }
        true
    }

    fn entry_at(&mut self, key: &str, offset: Offset) -> &mut Key {
        let entry = self.keys.entry(key.into()).or_default();
        entry.last = offset;
        entry
    }

    /// Skips the record at `offset`, which could not be decoded.
    pub fn skip(&mut self, offset: Offset) {
        if offset == self.next {
            self.next = Offset(offset.0 + 1);
        }
    }

    /// Drops keys whose last record is before `oldest`, the oldest offset that
    /// the log still retains, and continues reading no earlier than there.
    ///
    /// ```
    /// use marjoram_core::claims::{ClaimRecord, Claims};
    /// use marjoram_core::ids::Offset;
    /// let mut claims = Claims::new();
    /// claims.apply(Offset(0), &ClaimRecord::Claim { key: "k".into(), owner: "a".into() });
    /// claims.forget_before(Offset(5));
    /// assert!(claims.is_empty());
    /// assert_eq!(claims.next(), Offset(5));
    /// ```
    pub fn forget_before(&mut self, oldest: Offset) {
        self.next = self.next.max(oldest);
        // A sweep visits every key, so it is delayed until the log has dropped more
        // records than an eighth of the number of keys.
        if oldest.0.saturating_sub(self.swept.0) > self.keys.len() as u64 / 8 {
            self.swept = oldest;
            self.keys.retain(|_, key| key.last >= oldest);
        }
    }

    /// How `owner`, whose claim for `key` was appended at `claimed`, must proceed
    /// according to the records read so far, which must include `claimed`.
    pub fn decide(&self, key: &str, owner: &str, claimed: Offset) -> Decision {
        let Some(entry) = self.keys.get(key) else {
            return Decision::Unseen;
        };
        let claim_read = entry.claims.iter().any(|(o, who)| *o == claimed && who == owner);
        match (&entry.outcome, &entry.holder) {
            _ if !claim_read => Decision::Unseen,
            (Some(answer), _) => Decision::Done(answer.clone()),
            (None, Some(holder)) if holder == owner => Decision::Send,
            (None, Some(holder)) => Decision::Held(holder.clone()),
            (None, None) => Decision::Held(String::new()),
        }
    }

    /// Number of keys with a record, for the state dump.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether there are no keys.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }
}
