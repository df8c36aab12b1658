//! A node's replica of a table: changes in any order, removals, compacted histories.

use edge::app::Mirror;
use platform::store::{Page, Row};

fn row(key: &str, position: u64, value: Option<&str>) -> Row {
    Row {
        key: key.to_owned(),
        value: value.map(|value| value.as_bytes().to_vec()),
        position,
        removed: value.is_none(),
    }
}

fn page(position: u64, rows: Vec<Row>) -> Page {
    Page {
        rows,
        position,
        ..Page::default()
    }
}

#[test]
fn an_older_change_is_ignored() {
    let mut mirror = Mirror::default();
    mirror.replace(page(5, vec![row("a", 5, Some("new"))]));
    assert!(
        mirror
            .update(page(4, vec![row("a", 3, Some("old"))]))
            .is_empty()
    );
    assert_eq!(
        mirror.get("a").unwrap().value.as_deref(),
        Some(b"new".as_slice())
    );
    assert_eq!(mirror.position(), Some(5));
}

#[test]
fn a_removed_row_is_not_restored() {
    let mut mirror = Mirror::default();
    mirror.replace(page(1, vec![row("a", 1, Some("x"))]));
    assert_eq!(mirror.update(page(2, vec![row("a", 2, None)])).len(), 1);
    assert!(
        mirror
            .update(page(2, vec![row("a", 1, Some("x"))]))
            .is_empty()
    );
    assert!(mirror.get("a").is_none());
}

#[test]
fn rows_missing_from_a_full_table_are_removed() {
    let mut mirror = Mirror::default();
    mirror.replace(page(
        2,
        vec![row("a", 1, Some("x")), row("b", 2, Some("x"))],
    ));
    let changes = mirror.replace(page(9, vec![row("b", 2, Some("x"))]));
    assert_eq!(changes, [row("a", 9, None)]);
    // A row written after the table was read is kept.
    mirror.update(page(12, vec![row("c", 12, Some("x"))]));
    assert!(
        mirror
            .replace(page(11, vec![row("b", 2, Some("x"))]))
            .is_empty()
    );
    assert!(mirror.get("c").is_some());
}

#[test]
fn a_replica_older_than_known_removals_gets_the_full_table() {
    let mut mirror = Mirror::default();
    assert!(
        mirror.changes_since(0).is_none(),
        "the table has not been read"
    );
    mirror.replace(page(10, vec![row("a", 3, Some("x"))]));
    mirror.update(page(12, vec![row("a", 12, None)]));
    let full = mirror.changes_since(9).unwrap();
    assert!(full.full && full.page.rows.is_empty());
    let changes = mirror.changes_since(10).unwrap();
    assert!(!changes.full);
    assert_eq!(changes.page.rows, [row("a", 12, None)]);
    let mut other = Mirror::default();
    other.replace(page(
        9,
        vec![row("a", 3, Some("x")), row("z", 4, Some("x"))],
    ));
    other.replace(full.page);
    assert!(other.get("a").is_none() && other.get("z").is_none());
}

#[test]
fn a_row_removed_before_the_table_was_read_is_not_restored_by_an_older_replica() {
    let mut older = Mirror::default();
    older.replace(page(5, vec![row("a", 4, Some("x"))]));
    let mut mirror = Mirror::default();
    mirror.replace(page(9, vec![row("b", 9, Some("x"))]));
    let late = older.changes_since(0).unwrap();
    assert!(mirror.update(late.page.clone()).is_empty());
    assert!(mirror.replace(late.page).is_empty());
    assert!(mirror.get("a").is_none());
    assert_eq!(mirror.position(), Some(9));
}

#[test]
fn a_row_that_came_and_went_in_a_compacted_history_is_removed_from_older_replicas() {
    let mut mirror = Mirror::default();
    mirror.replace(page(1, vec![row("a", 1, Some("x"))]));
    let mut older = mirror.clone();
    older.update(page(4, vec![row("b", 4, Some("x"))]));
    mirror.replace(page(9, vec![row("a", 1, Some("x"))]));
    let late = mirror.changes_since(4).unwrap();
    match late.full {
        true => older.replace(late.page),
        false => older.update(late.page),
    };
    assert!(older.get("b").is_none());
}
