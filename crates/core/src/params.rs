//! Routing parameters of templates and workspaces.

use serde::{Deserialize, Serialize};

/// Routing parameters; those of a workspace override those of its template.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Params {
    /// Prefix-aware: cost of one in-flight request, in prompt tokens.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub load_tokens: Option<u32>,
    /// Prefix-aware: number of requests by which the chosen engine may exceed the
    /// least loaded one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub balance_cap: Option<u32>,
    /// Maglev: length of the prompt prefix that is hashed, in cache blocks.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hash_blocks: Option<u32>,
    /// Maglev: maximum load of an engine, in percent of the mean.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub load_bound: Option<u32>,
}

impl Params {
    /// Returns `self` with every value that is set in `overrides` replaced.
    pub fn with_overrides(self, overrides: Params) -> Params {
        Params {
            load_tokens: overrides.load_tokens.or(self.load_tokens),
            balance_cap: overrides.balance_cap.or(self.balance_cap),
            hash_blocks: overrides.hash_blocks.or(self.hash_blocks),
            load_bound: overrides.load_bound.or(self.load_bound),
        }
    }

    /// Cost of one in-flight request, in prompt tokens; default 32.
    pub fn load_tokens(&self) -> u32 {
        self.load_tokens.unwrap_or(32)
    }

    /// Allowed excess over the least loaded engine, in requests; default 16.
    pub fn balance_cap(&self) -> u32 {
        self.balance_cap.unwrap_or(16)
    }

    /// Length of the prompt prefix hashed by Maglev, in cache blocks; default 48.
    pub fn hash_blocks(&self) -> u32 {
        self.hash_blocks.unwrap_or(48)
    }

    /// Maximum load of an engine under Maglev, in percent of the mean; default
    /// 150.
    pub fn load_bound(&self) -> u32 {
        self.load_bound.unwrap_or(150)
    }
}
