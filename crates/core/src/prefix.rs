//! How a prompt is cut into cache blocks and hashed.
//!
//! A token is a run of non-blank characters. Every [`BLOCK_TOKENS`] tokens
//! make one block; a partial last block is never cached. Each block's hash is
//! chained over the hash before it, and the chain starts from a salt made of
//! the workspace and the model version. So two prompts share a block hash
//! only when they share every token up to that block, belong to the same
//! workspace and were computed under the same weights. The engine stand-in
//! hashes with this same function, as a real engine publishes its own.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::ids::{BlockHash, ModelVersion, Tokens, WorkspaceId};

/// Tokens in one cache block.
pub const BLOCK_TOKENS: usize = 16;

/// The block hashes and token count of one prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prefix {
    /// Chained hash of each full block, first block first.
    pub blocks: Vec<BlockHash>,
    /// Tokens in the whole prompt, the partial block included.
    pub tokens: Tokens,
}

impl Prefix {
    /// Cuts `prompt` into blocks salted by `workspace` and `version`.
    ///
    /// ```
    /// use marjoram_core::ids::{ModelVersion, WorkspaceId};
    /// use marjoram_core::prefix::Prefix;
    /// let ws: WorkspaceId = "kili".parse().unwrap();
    /// let text = "w ".repeat(40);
    /// let p = Prefix::new(&text, &ws, ModelVersion(1));
    /// assert_eq!(p.blocks.len(), 2);
    /// assert_eq!(p.tokens.0, 40);
    /// ```
    pub fn new(prompt: &str, workspace: &WorkspaceId, version: ModelVersion) -> Self {
        let mut seed = salt(workspace, version);
        let mut blocks = Vec::new();
        let mut count = 0u64;
        let mut block = String::new();
        let mut in_block = 0;
        for token in prompt.split_ascii_whitespace() {
            count += 1;
            block.push_str(token);
            block.push(' ');
            in_block += 1;
            if in_block == BLOCK_TOKENS {
                seed = xxh3_64_with_seed(block.as_bytes(), seed);
                blocks.push(BlockHash(seed));
                block.clear();
                in_block = 0;
            }
        }
        Self { blocks, tokens: Tokens(count) }
    }
}

/// The seed of a hash chain for one workspace and model version.
fn salt(workspace: &WorkspaceId, version: ModelVersion) -> u64 {
    let mut text = Vec::with_capacity(workspace.as_str().len() + 5);
    text.extend_from_slice(workspace.as_str().as_bytes());
    text.push(0);
    text.extend_from_slice(&version.0.to_le_bytes());
    xxh3_64(&text)
}
