//! A node's copy of a table of the platform's store.

use platform::store::{Page, Row};
use route::Position;
use std::collections::BTreeMap;

/// A node's copy of a table. It takes changes from the store and from other nodes in any order: of
/// each row, the newest change stands. Removed rows stay known, so that an older copy of another
/// node doesn't bring them back.
#[derive(Clone, Debug, Default)]
pub struct Mirror {
    rows: BTreeMap<String, Row>,
    /// All changes up to here are known; none while the table hasn't been read.
    position: Option<Position>,
    /// Position of the newest change.
    newest: Position,
    /// Removals since here are known.
    removals_since: Position,
}

/// What a node tells another one of a table.
#[derive(Clone, Debug)]
pub struct Update {
    /// Whether it is the whole table: rows that aren't there were removed.
    pub full: bool,
    /// The rows, and the position up to which they are complete.
    pub page: Page,
}

impl Mirror {
    /// All changes up to here are known; none while the table hasn't been read.
    pub fn position(&self) -> Option<Position> {
        self.position
    }

    /// Position of the newest change.
    pub fn newest(&self) -> Position {
        self.newest
    }

    /// Takes in the changes that follow what is known; gives those that are news.
    pub fn update(&mut self, page: Page) -> Vec<Row> {
        self.position = self.position.max(Some(page.position));
        let mut news = Vec::new();
        for row in page.rows {
            self.newest = self.newest.max(row.position);
            let known = self.rows.get(&row.key).map_or(0, |known| known.position);
            if row.position > known {
                self.rows.insert(row.key.clone(), row.clone());
                news.push(row);
            }
        }
        news
    }

    /// Takes in a whole table; gives what is news. Rows that are missing there were removed.
    pub fn replace(&mut self, mut page: Page) -> Vec<Row> {
        let listed: std::collections::BTreeSet<_> =
            page.rows.iter().map(|row| row.key.clone()).collect();
        let gone = self.rows.values().filter(|row| {
            !row.removed && row.position <= page.position && !listed.contains(&row.key)
        });
        let gone: Vec<_> = gone
            .map(|row| Row {
                key: row.key.clone(),
                value: None,
                position: page.position,
                removed: true,
            })
            .collect();
        page.rows.extend(gone);
        if self.position.is_none() {
            self.removals_since = page.position;
        }
        self.update(page)
    }

    /// What another node lacks that is complete up to a position; none while this copy itself isn't
    /// complete.
    pub fn changes_since(&self, after: Position) -> Option<Update> {
        let position = self.position?;
        let full = after < self.removals_since;
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

    /// A row that is there.
    pub fn get(&self, key: &str) -> Option<&Row> {
        self.rows.get(key).filter(|row| !row.removed)
    }
}
