//! Routing parameters of templates and workspaces.

use serde::{Deserialize, Serialize};

/// Routing parameters; a workspace's override its template's.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Params {
    /// Prefix-aware: cost of one request in flight, in prompt tokens.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub load_tokens: Option<u32>,
    /// Prefix-aware: requests by which the chosen engine may exceed the idlest.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub balance_cap: Option<u32>,
    /// Maglev: depth in blocks of the prefix that is hashed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hash_blocks: Option<u32>,
    /// Maglev: the most load an engine may carry, in percent of the mean.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub load_bound: Option<u32>,
}

impl Params {
    /// `self` with every value set in `over` replaced.
    pub fn with_overrides(self, over: Params) -> Params {
        Params {
            load_tokens: over.load_tokens.or(self.load_tokens),
            balance_cap: over.balance_cap.or(self.balance_cap),
            hash_blocks: over.hash_blocks.or(self.hash_blocks),
            load_bound: over.load_bound.or(self.load_bound),
        }
    }

    /// Prompt tokens one request in flight costs; 32 unless set.
    pub fn load_tokens(&self) -> u32 {
        self.load_tokens.unwrap_or(32)
    }

    /// Allowed excess over the idlest engine, in requests; 16 unless set.
    pub fn balance_cap(&self) -> u32 {
        self.balance_cap.unwrap_or(16)
    }

    /// Blocks of prefix hashed by Maglev; 48 unless set.
    pub fn hash_blocks(&self) -> u32 {
        self.hash_blocks.unwrap_or(48)
    }

    /// Maglev load bound in percent of the mean; 150 unless set.
    pub fn load_bound(&self) -> u32 {
        self.load_bound.unwrap_or(150)
    }
}
