//! Bytes of a response in blocks, each of which returns its memory once it is written.

use crate::memory::{Part, Window};
use bytes::Bytes;
use std::collections::VecDeque;

/// Largest block that is allocated, in bytes. Blocks of one size leave few gaps in the memory of the
/// process.
const MAX_BLOCK_BYTES: usize = 64 << 10;
/// Smallest block that is allocated, in bytes.
const MIN_BLOCK_BYTES: usize = 1 << 10;

/// Bytes of a response that are held for its caller.
#[derive(Debug)]
pub struct Blocks {
    window: Window,
    blocks: VecDeque<Block>,
    len: usize,
}

/// A block and the memory that it occupies.
#[derive(Debug)]
struct Block {
    bytes: Vec<u8>,
    _part: Part,
}

impl AsRef<[u8]> for Block {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Blocks {
    /// Creates a response without bytes.
    pub fn new(window: Window) -> Self {
        Self {
            window,
            blocks: VecDeque::new(),
            len: 0,
        }
    }

    /// Number of bytes.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Appends bytes of a response of at least `announced` bytes; returns false, and appends nothing,
    /// if its window has no room for them.
    pub fn push(&mut self, bytes: &[u8], announced: usize) -> bool {
        let unused = self.blocks.back().map_or(0, |block| {
            block.bytes.capacity().saturating_sub(block.bytes.len())
        });
        let (head, tail) = bytes.split_at(bytes.len().min(unused));
        let mut next = None;
        if !tail.is_empty() {
            let expected = announced
                .saturating_sub(self.len + head.len())
                .max(self.len);
            let capacity = expected.clamp(MIN_BLOCK_BYTES, MAX_BLOCK_BYTES);
            next = self.block(tail, capacity.max(tail.len()));
            if next.is_none() {
                return false;
            }
        }
        if let Some(block) = self.blocks.back_mut() {
            block.bytes.extend_from_slice(head);
        }
        self.blocks.extend(next);
        self.len += bytes.len();
        true
    }

    /// Creates a block if the window has room for it.
    fn block(&self, bytes: &[u8], capacity: usize) -> Option<Block> {
        let part = self.window.try_take(capacity)?;
        let mut block = Vec::with_capacity(capacity);
        block.extend_from_slice(bytes);
        Some(Block {
            bytes: block,
            _part: part,
        })
    }

    /// Waits until the window has room for bytes, and returns them with the memory that they occupy.
    pub async fn hold(window: &Window, bytes: &[u8]) -> Bytes {
        let part = window.take(bytes.len()).await;
        Bytes::from_owner(Block {
            bytes: bytes.to_vec(),
            _part: part,
        })
    }

    /// Returns the blocks and the window that they belong to.
    pub fn into_parts(self) -> (VecDeque<Bytes>, Window) {
        let blocks = self.blocks.into_iter().map(Bytes::from_owner).collect();
        (blocks, self.window)
    }
}
