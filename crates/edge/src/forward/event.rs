//! Events of a stream, cut out of its bytes.

use bytes::{Bytes, BytesMut};

/// Longest event that is waited for, in bytes: a small VM bears some hundred of them.
const MAX_EVENT: usize = 128 << 10;

/// One whole event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// Its bytes with the empty line at its end.
    pub bytes: Bytes,
    /// Its number.
    pub id: Option<u64>,
}

/// Cuts events out of the bytes of a stream.
#[derive(Debug, Default)]
pub struct Events {
    buffer: BytesMut,
    /// Bytes that were searched without finding an end.
    searched: usize,
}

impl Events {
    /// Takes in bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Whether bytes of an unfinished event are left.
    pub fn is_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Whether an event is longer than any that is waited for.
    pub fn is_too_long(&self) -> bool {
        self.buffer.len() > MAX_EVENT
    }
}

impl Iterator for Events {
    type Item = Event;

    fn next(&mut self) -> Option<Event> {
        let from = self.searched.saturating_sub(1);
        let found = self.buffer[from..]
            .windows(2)
            .position(|pair| pair == b"\n\n");
        let Some(found) = found else {
            self.searched = self.buffer.len();
            return None;
        };
        let bytes = self.buffer.split_to(from + found + 2).freeze();
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
