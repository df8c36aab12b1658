//! A node's replica of a table of the platform's store.

use platform::store::{Page, Row};
use route::Position;
use std::collections::{BTreeMap, BTreeSet};

/// A node's replica of a table. It accepts changes from the store and from other nodes in any order
/// and keeps the latest change of each row. Removed rows are kept as tombstones, so that an older
/// replica of another node doesn't restore them.
#[derive(Clone, Debug, Default)]
pub struct Mirror {
    rows: BTreeMap<String, Row>,
    /// Position up to which all changes are known; none until the table has been read.
    position: Option<Position>,
    /// Position of the latest change.
    newest: Position,
    /// Position after which all removals are known.
    removals_since: Position,
}

/// Rows of a table that one node sends to another.
#[derive(Clone, Debug)]
pub struct Update {
    /// Whether it is the full table: rows that it lacks have been removed.
    pub full: bool,
    /// The rows, and the position up to which they are complete.
    pub page: Page,
}

/// Rows that a full table changes in a replica.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Changes {
    /// Rows that are newer than those that were known.
    pub newer: Vec<Row>,
    /// Rows in which a restored store differs and may hold an older state, because it was restored from
    /// an older copy. Their writers write them again.
    pub doubtful: Vec<Row>,
}

impl Mirror {
    /// Position up to which all changes are known; none until the table has been read.
    pub fn position(&self) -> Option<Position> {
        self.position
    }

    /// Position of the latest change.
    pub fn newest(&self) -> Position {
        self.newest
    }

    /// Applies changes that follow the known position; returns those that are new. A row that was
    /// removed before the full table was read has no tombstone, so an unknown row up to that position
    /// comes from an older replica. Changes of another era of the store don't follow the known position
    /// and are ignored.
    pub fn update(&mut self, page: Page) -> Vec<Row> {
        let known = self.position.unwrap_or_default();
        if !known.is_continued_in(page.position.era) {
            return Vec::new();
        }
        self.position = self.position.max(Some(page.position));
        let mut changed = Vec::new();
        for row in page.rows {
            self.newest = self.newest.max(row.position);
            let known = match self.rows.get(&row.key) {
                Some(known) if !known.removed => known.position,
                // It may have been written and removed again before the full table was read.
                Some(known) => known.position.max(self.removals_since),
                None => self.removals_since,
            };
            if row.position > known {
                self.rows.insert(row.key.clone(), row.clone());
                changed.push(row);
            }
        }
        changed
    }

    /// Applies the full table; returns the changes that are new. Rows that the page lacks have been
    /// removed. A page of an older era of the store is ignored.
    pub fn replace(&mut self, mut page: Page) -> Changes {
        let known = self.position.unwrap_or_default();
        if known.era > page.position.era {
            return Changes::default();
        }
        let listed: BTreeSet<_> = page.rows.iter().map(|row| row.key.clone()).collect();
        let missing = self.rows.values().filter(|row| {
            !row.removed && row.position <= page.position && !listed.contains(&row.key)
        });
        let removals: Vec<_> = missing
            .map(|row| Row {
                key: row.key.clone(),
                value: None,
                position: page.position,
                removed: true,
            })
            .collect();
        page.rows.extend(removals);
        let position = page.position;
        let changes = match known.is_continued_in(position.era) {
            true => Changes {
                newer: self.update(page),
                ..Changes::default()
            },
            false => self.restore(page),
        };
        self.removals_since = self.removals_since.max(position);
        changes
    }

    /// Applies the full table of a store that was restored: its rows take the place of those of the
    /// earlier era. Numbers up to that of the copy stand for the same change in both eras.
    fn restore(&mut self, page: Page) -> Changes {
        let complete = self.position.unwrap_or_default().number;
        self.position = Some(page.position);
        self.newest = page.position;
        let mut changes = Changes::default();
        for row in page.rows {
            let known = self.rows.insert(row.key.clone(), row.clone());
            match known {
                Some(known) if known.value == row.value && known.removed == row.removed => (),
                Some(known) if row.removed || row.position.number <= known.position.number => {
                    changes.doubtful.push(row);
                }
                // It may have been removed before this node read the table.
                None if row.position.number <= complete => changes.doubtful.push(row),
                _ => changes.newer.push(row),
            }
        }
        changes
    }

    /// Returns the rows that a replica which is complete up to a position lacks; none while this
    /// replica itself isn't complete.
    pub fn changes_since(&self, after: Position) -> Option<Update> {
        let position = self.position?;
        let full = after < self.removals_since || !after.is_continued_in(position.era);
        let rows = self.rows.values().filter(|row| match full {
            true => !row.removed,
            false => row.position > after,
        });
        let page = Page {
            rows: rows.cloned().collect(),
            position,
            ..Page::default()
        };
        Some(Update { full, page })
    }

    /// Returns the row with a key, unless it was removed.
    pub fn get(&self, key: &str) -> Option<&Row> {
        self.last_change(key).filter(|row| !row.removed)
    }

    /// Returns the last change of a row, which may have removed it.
    pub fn last_change(&self, key: &str) -> Option<&Row> {
        self.rows.get(key)
    }
}
