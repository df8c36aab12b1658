//! Splits a response stream into server-sent events.

use bytes::{Bytes, BytesMut};

/// Largest event that is buffered, in bytes. A small VM has memory for some hundred of them.
const MAX_EVENT_BYTES: usize = 128 << 10;

/// A complete event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// Its bytes, including the empty line that ends it.
    pub bytes: Bytes,
    /// Value of its `id` field.
    pub id: Option<u64>,
}

/// Incremental decoder of the events of a stream.
#[derive(Debug, Default)]
pub struct Decoder {
    buffer: BytesMut,
    /// Number of bytes already searched for the end of an event.
    searched: usize,
}

impl Decoder {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Whether the buffer holds an incomplete event.
    pub fn is_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Whether the incomplete event exceeds the size limit.
    pub fn is_too_long(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }
}

impl Iterator for Decoder {
    type Item = Event;

    fn next(&mut self) -> Option<Event> {
        let from = self.searched.saturating_sub(1);
        let end = self.buffer[from..]
            .windows(2)
            .position(|pair| pair == b"\n\n");
        let Some(end) = end else {
            self.searched = self.buffer.len();
            return None;
        };
        let bytes = self.buffer.split_to(from + end + 2).freeze();
        self.searched = 0;
        let id = id(&bytes);
        Some(Event { bytes, id })
    }
}

fn id(event: &[u8]) -> Option<u64> {
    let line = event
        .split(|&byte| byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
