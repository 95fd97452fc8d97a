//! Eras of the platform's store, and fencing tokens that stay monotonic across them.
//!
//! Load pattern: the store may go down and return from a backup that is some
//! seconds old. What it acknowledged since the backup is lost: offsets are assigned
//! again, a group's generation goes back, and members have the assignments that
//! they had then.
//!
//! Limits: positions read in one era say nothing about positions in another.

use std::fmt;

use serde::{Deserialize, Serialize};

/// How often the store has returned from a backup; zero if it does not report that.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Era(pub u64);

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Number of low bits of a token's number that carry the generation; the era is in
/// the bits above.
const GENERATION_BITS: u32 = 32;

/// A fencing token: a group's generation in an era of the store. Tokens never
/// decrease, though the generation does when the store returns from a backup.
///
/// ```
/// use marjoram_core::era::{Era, Token};
/// let token = Token::new(Era(0), 57);
/// assert_eq!(token.number(), 57);
/// let restored = Token::new(Era(1), 52);
/// assert!(restored > token && restored.number() > token.number());
/// assert_eq!((restored.generation_in(Era(1)), restored.generation_in(Era(2))), (52, 0));
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Token {
    era: Era,
    generation: u64,
}

impl Token {
    /// The token of `generation` in `era`.
    pub fn new(era: Era, generation: u64) -> Self {
        Self { era, generation }
    }

    /// The era in which the store assigned it.
    pub fn era(self) -> Era {
        self.era
    }

    /// The generation, if the token is of `era`; zero if it is of another one.
    pub fn generation_in(self, era: Era) -> u64 {
        if self.era == era { self.generation } else { 0 }
    }

    /// The number that upstreams compare. It rises with each era as long as the
    /// generation goes back by less than 2^32.
    pub fn number(self) -> u64 {
        (self.era.0 << GENERATION_BITS).saturating_add(self.generation)
    }
}

impl fmt::Display for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.number())
    }
}
