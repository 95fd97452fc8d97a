//! A limit on the bytes of answers that a process buffers at the same time.
//!
//! Load pattern: many answers with long bodies are read whole at the same time, or one
//! faulty upstream sends bodies without an end to many callers. Each body is within the
//! limit for one, but together they exceed the memory of the host, and the process is
//! killed with all requests in progress. When the budget is used up, the longest body that
//! is still being read is dropped, and the newest of equally long ones. So short answers,
//! which are most, are kept.

use std::cell::RefCell;
use std::rc::Rc;

use quick_error::quick_error;
use slotmap::{SlotMap, new_key_type};

use crate::blocks::Blocks;

new_key_type! {
    struct Key;
}

quick_error! {
    /// The body was dropped, since the budget was used up.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum Exhausted {
        /// Limit of all bodies together.
        Limit(bytes: usize) {
            display("bodies use up the {bytes} bytes that all may have together")
        }
    }
}

/// The bytes that bodies may have together.
///
/// ```
/// use marjoram_core::buffer_budget::BufferBudget;
/// let budget = BufferBudget::new(10);
/// let (mut long, mut short) = (budget.begin(), budget.begin());
/// long.append(b"12345678")?;
/// short.append(b"abcd")?;
/// assert!(long.append(b"9").is_err());
/// assert_eq!(short.finish()?.blocks().collect::<Vec<_>>(), [b"abcd"]);
/// assert_eq!(budget.used(), 0);
/// # Ok::<(), marjoram_core::buffer_budget::Exhausted>(())
/// ```
#[derive(Debug, Clone)]
pub struct BufferBudget {
    limit: usize,
    table: Rc<RefCell<Table>>,
}

#[derive(Debug, Default)]
struct Table {
    bodies: SlotMap<Key, Entry>,
    used: usize,
    /// Bodies begun so far.
    begun: u64,
}

#[derive(Debug)]
struct Entry {
    size: usize,
    /// Number of bodies begun before this one.
    number: u64,
    /// Its bytes while it is being read; `None` once it is complete or has been dropped.
    blocks: Option<Blocks>,
}

impl BufferBudget {
    /// A budget of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self { limit, table: Rc::default() }
    }

    /// Begins a body.
    pub fn begin(&self) -> Buffer {
        let mut table = self.table.borrow_mut();
        let entry = Entry { size: 0, number: table.begun, blocks: Some(Blocks::default()) };
        table.begun += 1;
        Buffer { budget: self.clone(), key: table.bodies.insert(entry) }
    }

    /// The bytes of all bodies.
    pub fn used(&self) -> usize {
        self.table.borrow().used
    }
}

impl Table {
    /// Whether the body with `key` is still being read.
    fn is_reading(&self, key: Key) -> bool {
        self.bodies.get(key).is_some_and(|entry| entry.blocks.is_some())
    }

    /// Drops the longest of the bodies that are being read, where the one with `key` is
    /// about to grow by `more` bytes.
    fn drop_longest(&mut self, key: Key, more: usize) {
        let reading = self.bodies.iter_mut().filter(|(_, entry)| entry.blocks.is_some());
        let longest = reading.max_by_key(|(other, entry)| {
            let size = entry.size + if *other == key { more } else { 0 };
            (size, entry.number)
        });
        if let Some((_, entry)) = longest {
            self.used -= std::mem::take(&mut entry.size);
            entry.blocks = None;
        }
    }
}

/// A body that is being read. Its bytes are freed when it is dropped.
#[derive(Debug)]
pub struct Buffer {
    budget: BufferBudget,
    key: Key,
}

impl Buffer {
    /// Appends `bytes`. Fails if the body has been dropped, for this or another one.
    pub fn append(&mut self, bytes: &[u8]) -> Result<(), Exhausted> {
        let limit = self.budget.limit;
        let mut table = self.budget.table.borrow_mut();
        while table.is_reading(self.key) && table.used + bytes.len() > limit {
            table.drop_longest(self.key, bytes.len());
        }
        let Entry { size, blocks, .. } = &mut table.bodies[self.key];
        let blocks = blocks.as_mut().ok_or(Exhausted::Limit(limit))?;
        blocks.append(bytes);
        *size += bytes.len();
        table.used += bytes.len();
        Ok(())
    }

    /// The bytes read so far.
    pub fn size(&self) -> usize {
        self.budget.table.borrow().bodies[self.key].size
    }

    /// Ends the body, which is complete and will not be dropped any more.
    pub fn finish(self) -> Result<CompleteBody, Exhausted> {
        let blocks = self.budget.table.borrow_mut().bodies[self.key].blocks.take();
        let blocks = blocks.ok_or(Exhausted::Limit(self.budget.limit))?;
        Ok(CompleteBody { blocks, buffer: self })
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        let mut table = self.budget.table.borrow_mut();
        if let Some(entry) = table.bodies.remove(self.key) {
            table.used -= entry.size;
        }
    }
}

/// A complete body, which counts towards the budget until it is dropped.
#[derive(Debug)]
pub struct CompleteBody {
    blocks: Blocks,
    buffer: Buffer,
}

impl CompleteBody {
    /// Its length in bytes.
    pub fn size(&self) -> usize {
        self.buffer.size()
    }

    /// Its bytes in order, in blocks.
    pub fn blocks(&self) -> impl Iterator<Item = &[u8]> {
        self.blocks.iter()
    }

    /// Its bytes, which no longer count towards the budget.
    pub fn into_blocks(self) -> Blocks {
        self.blocks
    }
}
