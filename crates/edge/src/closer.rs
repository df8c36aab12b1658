//! Closes the connection of a caller whose response can't be completed in time.

use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tokio::time::timeout_at;

/// Shortest time in which a caller may read what is buffered for it before its connection is closed.
const READ_TIME: Duration = Duration::from_millis(100);

/// Closes the connection of a caller.
#[derive(Clone, Debug, Default)]
pub struct Closer(Arc<Notify>);

impl Closer {
    /// Waits until the connection is to be closed.
    pub async fn requested(&self) {
        self.0.notified().await;
    }

    /// Waits until the body of a truncated response is dropped. A caller that hasn't read it by the
    /// deadline never learns from the body that it is truncated, so its connection is closed.
    pub async fn close_after(&self, deadline: Instant, dropped: impl Future<Output = ()>) {
        tokio::pin!(dropped);
        let until = deadline.max(Instant::now() + READ_TIME);
        if timeout_at(until.into(), dropped.as_mut()).await.is_err() {
            self.0.notify_one();
            dropped.await;
        }
    }
}
