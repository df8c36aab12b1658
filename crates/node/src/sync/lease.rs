//! The lease row in the table, by which other nodes see that this node still runs.

use super::{Replica, rows};
use clients::Table;
use clients::table::{Condition, Item};
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::sleep;

/// Maximum lease renewals per second by all members together.
const MAX_FLEET_RENEWALS_PER_SECOND: u32 = 20;

impl<T: Table> Replica<T> {
    /// Renews the lease while the node is a member. An expired lease alone does not remove a
    /// member: it must also be silent on links and missing from the VM list.
    pub(super) async fn maintain_lease(&self) {
        let mut renewals = self.incarnation();
        loop {
            sleep(self.lease_times().0).await;
            if !self.joined() {
                continue;
            }
            renewals += 1;
            let node = &self.settings.member.node;
            let item = Item::new(rows::LEASES, node.as_str(), renewals, "{}");
            self.writes.fetch_add(1, Ordering::Relaxed);
            if let Err(error) = self.log.table.put(item, Condition::Any).await {
                log::debug!(event = 1204; "failed to renew the lease: {error}");
            }
        }
    }

    /// Returns the renewal interval and the lease duration. Both grow with the number of members,
    /// which bounds the rate of writes by a large fleet.
    pub(super) fn lease_times(&self) -> (Duration, Duration) {
        let members = self.config().members().count() as u32;
        let interval = self.settings.lease_interval;
        let stretched =
            interval.max(Duration::from_secs(1) * members / MAX_FLEET_RENEWALS_PER_SECOND);
        let ttl = self.settings.lease_ttl + (stretched - interval) * 3;
        (stretched, ttl)
    }
}
