//! Wakers of the tasks that read from and write to a tunnel.

use futures::task::AtomicWaker;
use std::sync::Arc;
use std::task::Wake;

/// Wakers of the tasks that read from and write to a tunnel. Both wait for the same messages (a reader for
/// bytes, a writer for credit), so whatever arrives wakes both.
#[derive(Debug, Default)]
pub(super) struct Wakers {
    /// The task that reads.
    pub reader: AtomicWaker,
    /// The task that writes.
    pub writer: AtomicWaker,
}

impl Wake for Wakers {
    fn wake(self: Arc<Self>) {
        self.wake_by_ref();
    }

    fn wake_by_ref(self: &Arc<Self>) {
        self.reader.wake();
        self.writer.wake();
    }
}
