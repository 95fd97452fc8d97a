//! The memory for answers of upstreams that are collected at the same time.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Longest answer of a plain service, in bytes.
pub const MAX_ANSWER_SIZE: usize = 256 << 10;

/// Longest answer for which no memory is reserved, in bytes.
pub const SMALL_ANSWER_SIZE: usize = 16 << 10;

/// Bytes by which memory is reserved.
const UNIT: usize = 1 << 10;

/// The memory for the answers of a process.
#[derive(Debug)]
pub struct AnswerMemory(Arc<Semaphore>);

impl AnswerMemory {
    /// At most `limit` bytes, or one answer of [`MAX_ANSWER_SIZE`].
    pub fn new(limit: usize) -> Self {
        Self(Arc::new(Semaphore::new(limit.max(MAX_ANSWER_SIZE) / UNIT)))
    }

    /// Waits until there is memory for an answer of `size` bytes, at most [`MAX_ANSWER_SIZE`].
    pub async fn reserve(&self, size: usize) -> ReservedMemory {
        // Err: the semaphore is closed, which it never is.
        ReservedMemory(self.0.clone().acquire_many_owned(units(size)).await.ok())
    }

    /// Reserves memory in addition to `reserved` for an answer that has grown to `size` bytes.
    /// Returns whether there was enough.
    pub fn grow(&self, reserved: &mut ReservedMemory, size: usize) -> bool {
        let known = reserved.0.as_ref().map_or(0, OwnedSemaphorePermit::num_permits) as u32;
        let missing = units(size).saturating_sub(known);
        if missing == 0 {
            return true;
        }
        let Ok(more) = self.0.clone().try_acquire_many_owned(missing) else { return false };
        match &mut reserved.0 {
            Some(reserved) => reserved.merge(more),
            none => *none = Some(more),
        }
        true
    }
}

/// The units to reserve for an answer of `size` bytes.
fn units(size: usize) -> u32 {
    match size {
        ..=SMALL_ANSWER_SIZE => 0,
        _ => size.div_ceil(UNIT) as u32,
    }
}

/// Memory that is reserved until this is dropped.
#[derive(Debug, Default)]
pub struct ReservedMemory(Option<OwnedSemaphorePermit>);
