//! Splits prompts into cache blocks and hashes them.
//!
//! A token is a run of non-blank characters. Every [`BLOCK_TOKENS`] tokens form
//! one block; a partial last block is never cached. Each block's hash is chained
//! over the previous hash, and the chain starts from a salt made of the workspace
//! and the model version. So two prompts share a block hash only if they share
//! every token up to the end of that block, belong to the same workspace and were
//! computed with the same weights. The engine stand-in uses this same function;
//! real engines publish their own hashes.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::ids::{BlockHash, ModelVersion, Tokens, WorkspaceId};

/// Tokens per cache block.
pub const BLOCK_TOKENS: usize = 16;

/// Block hashes and token count of one prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prefix {
    /// Chained hash of each full block, in prompt order.
    pub blocks: Vec<BlockHash>,
    /// Tokens in the whole prompt, including the partial block.
    pub tokens: Tokens,
}

impl Prefix {
    /// Splits `prompt` into blocks, with hashes salted by `workspace` and
    /// `version`.
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
        let mut hash = salt(workspace, version);
        let mut blocks = Vec::new();
        let mut token_count = 0u64;
        let mut block = String::new();
        let mut tokens_in_block = 0;
        for token in prompt.split_ascii_whitespace() {
            token_count += 1;
            block.push_str(token);
            block.push(' ');
            tokens_in_block += 1;
            if tokens_in_block == BLOCK_TOKENS {
                hash = xxh3_64_with_seed(block.as_bytes(), hash);
                blocks.push(BlockHash(hash));
                block.clear();
                tokens_in_block = 0;
            }
        }
        Self { blocks, tokens: Tokens(token_count) }
    }
}

/// Initial seed of the hash chain for one workspace and model version.
fn salt(workspace: &WorkspaceId, version: ModelVersion) -> u64 {
    let mut text = Vec::with_capacity(workspace.as_str().len() + 5);
    text.extend_from_slice(workspace.as_str().as_bytes());
    text.push(0);
    text.extend_from_slice(&version.0.to_le_bytes());
    xxh3_64(&text)
}
