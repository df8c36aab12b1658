//! Claims of this node, and the loop that writes what couldn't be written.

use clients::Table;
use contract::{Config, Owner};
use ledger::Error;
use ledger::record::{Claim, Key, Records, Settings, Stored, Ticket};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Time between sweeps.
const SWEEP: Duration = Duration::from_secs(1);
/// Time between sweeps while the node stops.
const LAST_SWEEP: Duration = Duration::from_millis(50);

/// Run records of one start of a node.
#[derive(Debug)]
pub struct Claims<T> {
    records: Records<T>,
    settings: Settings,
}

impl<T: Table> Claims<T> {
    /// Makes the run records of one start of a node.
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

    /// Claims a call before any byte of it leaves. An error means that nothing was sent.
    pub async fn claim(&self, config: &Config, key: &Key) -> Result<Claim, Error> {
        self.records.claim(key, |owner| alive(config, owner)).await
    }

    /// Ends a call with its outcome. A failed write is repeated by the loop.
    pub async fn finish(
        &self,
        ticket: Ticket,
        status: u16,
        headers: Vec<(String, String)>,
        body: &[u8],
    ) {
        let stored = Stored::new(status, headers, body, &self.settings);
        if let Err(error) = self.records.finish(ticket, stored).await {
            log::warn!(event = 1401; "outcome can't be recorded yet: {error}");
        }
    }

    /// Gives the key of a call back that was never sent, so that its sender may try again at once.
    pub async fn release(&self, ticket: Ticket) {
        drop(ticket);
        self.records.sweep().await;
    }

    /// Writes what couldn't be written before, for as long as the node runs.
    pub async fn run(&self) {
        loop {
            self.records.sweep().await;
            sleep(SWEEP).await;
        }
    }

    /// Writes all that is left, until a deadline. Gives the number of claims left unwritten,
    /// whose outcome is unknown to other nodes.
    pub async fn flush_all(&self, deadline: Instant) -> usize {
        loop {
            let left = self.records.sweep().await;
            if left == 0 || Instant::now() >= deadline {
                return left;
            }
            sleep(LAST_SWEEP).await;
        }
    }
}

/// Whether an owner may still be at work: no later start of its node is a member.
fn alive(config: &Config, owner: &Owner) -> bool {
    config
        .members()
        .any(|member| member.node == owner.node && member.incarnation <= owner.incarnation)
}
