//! Claims of idempotency keys by this node, and retries of failed record writes.

use clients::Table;
use contract::{Config, Owner};
use ledger::Error;
use ledger::record::{Claim, Key, Outcome, Permit, Records, Settings};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Interval between retries of failed writes.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between retries during shutdown.
const SHUTDOWN_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Claims of one incarnation of a node.
#[derive(Debug)]
pub struct Claims<T> {
    records: Records<T>,
    settings: Settings,
}

impl<T: Table> Claims<T> {
    /// Creates the claims of one incarnation of a node.
    ///
    /// ```
    /// use contract::Owner;
    /// let table = clients::table::Memory::default();
    /// let claims = node::record::Claims::new(table, Owner::new("n1", 1), Default::default());
    /// assert!(std::sync::Arc::strong_count(&claims) == 1);
    /// ```
    pub fn new(table: T, owner: Owner, settings: Settings) -> Arc<Self> {
        Arc::new(Self {
            records: Records::new(table, owner, settings.clone()),
            settings,
        })
    }

    /// Claims a call before any of it is sent. On an error, nothing has been sent.
    pub async fn claim(&self, config: &Config, key: &Key) -> Result<Claim, Error> {
        self.records
            .claim(key, |owner| may_be_running(config, owner))
            .await
    }

    /// Records the outcome of a call. A failed write is retried by [`Self::run`].
    pub async fn finish(
        &self,
        permit: Permit,
        status: u16,
        headers: Vec<(String, String)>,
        body: &[u8],
    ) {
        let outcome = Outcome::new(status, headers, body, &self.settings);
        if let Err(error) = self.records.finish(permit, outcome).await {
            log::warn!(event = 1401; "outcome could not be recorded yet: {error}");
        }
    }

    /// Releases the key of a call that was never executed, so that its sender can retry at once.
    pub async fn release(&self, permit: Permit) {
        drop(permit);
        self.records.sweep().await;
    }

    /// Retries failed writes for the lifetime of the node.
    pub async fn run(&self) {
        loop {
            self.records.sweep().await;
            sleep(RETRY_INTERVAL).await;
        }
    }

    /// Writes all pending records, until a deadline. Returns the number of unwritten claims, whose
    /// outcome remains unknown to other nodes.
    pub async fn flush_all(&self, deadline: Instant) -> usize {
        loop {
            let left = self.records.sweep().await;
            if left == 0 || Instant::now() >= deadline {
                return left;
            }
            sleep(SHUTDOWN_RETRY_INTERVAL).await;
        }
    }
}

/// Whether an owner may still be running: its node is a member, and not in a later incarnation.
fn may_be_running(config: &Config, owner: &Owner) -> bool {
    config
        .members()
        .any(|member| member.node == owner.node && member.incarnation <= owner.incarnation)
}
