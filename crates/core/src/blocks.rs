//! Bytes kept in blocks of bounded size.

use bytes::BytesMut;

/// Size of a block, in bytes. Bytes in one piece would be copied as they grow, and briefly take
/// twice their size.
const BLOCK_SIZE: usize = 64 << 10;

/// Bytes in the order appended.
///
/// ```
/// use marjoram_core::blocks::Blocks;
/// let mut blocks = Blocks::default();
/// blocks.append(b"beam ");
/// blocks.append(b"schedule");
/// assert_eq!(blocks.len(), 13);
/// assert_eq!(blocks.iter().collect::<Vec<_>>(), [b"beam schedule"]);
/// ```
#[derive(Debug, Default)]
pub struct Blocks {
    blocks: Vec<BytesMut>,
    len: usize,
}

impl Blocks {
    /// Appends `bytes`.
    pub fn append(&mut self, mut bytes: &[u8]) {
        self.len += bytes.len();
        while !bytes.is_empty() {
            if self.blocks.last().is_none_or(|block| block.len() >= BLOCK_SIZE) {
                // Most bodies fill only a part of the first block, which grows with them.
                let capacity = if self.blocks.is_empty() { 0 } else { BLOCK_SIZE };
                self.blocks.push(BytesMut::with_capacity(capacity));
            }
            let block = self.blocks.last_mut().expect("just added");
            let (fits, rest) = bytes.split_at(bytes.len().min(BLOCK_SIZE - block.len()));
            block.extend_from_slice(fits);
            bytes = rest;
        }
    }

    /// Number of bytes.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The bytes in order, in blocks.
    pub fn iter(&self) -> impl Iterator<Item = &[u8]> {
        self.blocks.iter().map(|block| &block[..])
    }
}

impl IntoIterator for Blocks {
    type Item = BytesMut;
    type IntoIter = std::vec::IntoIter<BytesMut>;

    fn into_iter(self) -> Self::IntoIter {
        self.blocks.into_iter()
    }
}
