//! Bytes that were received over a tunnel and not yet consumed.

use bytes::{Buf, BytesMut};

/// Bytes that a sender may have under way in one direction: sent, and not yet consumed by the receiver.
/// With a round trip of 2 ms between zones it allows 16 MB/s, above what the links of the VMs carry.
pub const WINDOW: usize = 32 << 10;
/// Consumed bytes after which the sender is told that it may send more. With a quarter of the window it
/// rarely waits, and few control messages are sent.
const CREDIT_STEP: usize = WINDOW / 4;

/// Bytes that were received over a tunnel and not yet consumed.
#[derive(Debug, Default)]
pub struct Inbox {
    bytes: BytesMut,
    /// Consumed bytes of which the sender hasn't been told.
    uncredited: usize,
}

impl Inbox {
    /// Adds received bytes; returns whether they are within the window.
    ///
    /// ```
    /// use edge::tunnel::{Inbox, WINDOW};
    ///
    /// let mut inbox = Inbox::default();
    /// assert!(inbox.push(&[0; WINDOW]));
    /// assert!(!inbox.push(&[0]));
    /// inbox.consume(WINDOW);
    /// assert_eq!(inbox.take_credit(), Some(WINDOW));
    /// assert!(inbox.push(&[0]));
    /// ```
    #[must_use]
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        let fits = self.bytes.len() + self.uncredited + bytes.len() <= WINDOW;
        if fits {
            self.bytes.extend_from_slice(bytes);
        }
        fits
    }

    /// Bytes that can be consumed.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Whether there is nothing to consume.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Records that bytes were consumed.
    pub fn consume(&mut self, count: usize) {
        self.bytes.advance(count);
        self.uncredited += count;
    }

    /// Discards all bytes without credit, so that the sender stops.
    pub fn discard(&mut self) {
        self.bytes.clear();
    }

    /// Number of bytes that the sender may now be told to send, once they are worth a message.
    pub fn take_credit(&mut self) -> Option<usize> {
        let due = self.uncredited >= CREDIT_STEP;
        due.then(|| std::mem::take(&mut self.uncredited))
    }
}
