//! The lease that shows the platform that this node runs.

use super::{Replica, rows};
use platform::Table;
use platform::table::{Condition, Item};
use std::sync::atomic::Ordering;
use tokio::time::{MissedTickBehavior, interval};

impl<T: Table> Replica<T> {
    /// Renews the lease while the node is a member. Nobody loses anything by its lapse alone.
    pub(super) async fn keep_lease(&self) {
        let mut ticks = interval(self.settings.lease_interval);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut renewals = self.incarnation();
        loop {
            ticks.tick().await;
            if !self.joined() {
                continue;
            }
            renewals += 1;
            let node = &self.settings.member.node;
            let item = Item::new(rows::LEASES, node.as_str(), renewals, "{}");
            self.writes.fetch_add(1, Ordering::Relaxed);
            if let Err(error) = self.log.table.put(item, Condition::Any).await {
                log::debug!(event = 1204; "lease can't be renewed: {error}");
            }
        }
    }
}
