//! Rows in which a restored store may hold an older state.

use super::outage::ENTRY_GRACE;
use super::{State, Table};
use platform::Intent;
use platform::store::Row;
use std::cmp::Ordering;
use std::time::{Duration, Instant};

/// Time after a restore of the store for which the operator's orders stand that it may have lost. Unlike
/// backend servers, an operator has no set time for writing them again; within this one an evacuation
/// must be obeyed on any site.
const ORDER_GRACE: Duration = Duration::from_secs(5);

/// Time after a restore of the store in which rows of a table are written again.
fn grace(table: Table) -> Duration {
    match table {
        Table::Intents => ORDER_GRACE,
        Table::Servers | Table::Members | Table::Status => ENTRY_GRACE,
    }
}

/// What becomes of a row in which a restored store may hold an older state.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Resolution {
    /// It takes effect at once.
    Applied,
    /// It takes effect unless it is written again within the grace.
    Withheld,
    /// It never takes effect.
    Ignored,
}

impl State {
    /// Keeps what a restored store may have lost until those who wrote it have had the time to write it
    /// again. What can't take back anything in force is applied at once.
    pub(super) fn apply_doubtful(&mut self, now: Instant, table: Table, rows: Vec<Row>) {
        let until = now + grace(table);
        for row in rows {
            match (table, self.resolution(table, &row)) {
                (_, Resolution::Applied) => self.apply(now, table, vec![row]),
                (Table::Servers, Resolution::Withheld) if row.removed => {
                    self.expired.push((row.key, until));
                }
                (_, Resolution::Withheld) => self.withheld.push((table, row.key, until)),
                (_, Resolution::Ignored) => (),
            }
        }
    }

    /// Begins the grace of rows anew that an earlier restore of the store or an outage has left
    /// unsettled: their writers couldn't know before that the store has lost them once more.
    pub(super) fn extend_grace(&mut self, now: Instant, table: Table) {
        let until = now + grace(table);
        for (_, _, end) in self.withheld.iter_mut().filter(|row| row.0 == table) {
            *end = until;
        }
        if table == Table::Servers {
            for (_, end) in &mut self.expired {
                *end = until;
            }
        }
    }

    /// What becomes of a doubtful row of a restored store.
    fn resolution(&self, table: Table, row: &Row) -> Resolution {
        match table {
            // Configurations are compared by their revision.
            Table::Intents if platform::parse_key(&row.key) == Intent::Config => {
                Resolution::Applied
            }
            Table::Intents => Resolution::Withheld,
            Table::Servers => {
                let value = row.value.as_deref().unwrap_or_default();
                let listing = platform::parse_listing(&row.key, value).ok();
                let (Some(listing), Some(known)) = (listing, self.pool.servers().get(&row.key))
                else {
                    return Resolution::Withheld;
                };
                match listing.started_ms.cmp(&known.listing.started_ms) {
                    Ordering::Greater => Resolution::Withheld,
                    Ordering::Equal if known.accepts_work() => Resolution::Applied,
                    // A start that leaves doesn't become ready again, and a start that is over doesn't
                    // come back.
                    Ordering::Equal | Ordering::Less => Resolution::Ignored,
                }
            }
            Table::Members | Table::Status => Resolution::Applied,
        }
    }

    /// Applies rows that were withheld after the store had been restored and that it still holds.
    pub(super) fn apply_withheld(&mut self, now: Instant) {
        let due: Vec<_> = self
            .withheld
            .extract_if(.., |(.., until)| now >= *until)
            .collect();
        for (table, key, _) in due {
            let row = self.mirror(table).last_change(&key).cloned();
            if let (Table::Intents, Intent::Rollout(service)) = (table, platform::parse_key(&key))
                && row.as_ref().is_some_and(|row| row.removed)
                && let Some(trial) = self.trials.get(service)
            {
                self.lost_trials.insert(service.to_owned(), trial.clone());
            }
            self.apply(now, table, row.into_iter().collect());
        }
    }
}
