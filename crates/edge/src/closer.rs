//! Closes the connection of a caller whose response can't be completed in time.

use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::timeout;

/// Time in which a caller may read what is buffered for it before its connection is closed.
const READ_TIMEOUT: Duration = Duration::from_millis(100);

/// Closes the connection of a caller.
#[derive(Clone, Debug, Default)]
pub struct Closer(Arc<Notify>);

impl Closer {
    /// Waits until the connection is to be closed.
    pub async fn requested(&self) {
        self.0.notified().await;
    }

    /// Waits until the body of a truncated response is dropped. A caller that doesn't read it in time
    /// never learns from the body that it is truncated, so its connection is closed.
    pub async fn close_after(&self, dropped: impl Future<Output = ()>) {
        tokio::pin!(dropped);
        if timeout(READ_TIMEOUT, dropped.as_mut()).await.is_err() {
            self.0.notify_one();
            dropped.await;
        }
    }
}
