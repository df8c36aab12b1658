//! A node's replica of a table: changes in any order, removals, compacted histories.

use edge::app::{Changes, Mirror};
use platform::store::{Page, Row};
use route::{Era, Position};

fn at(number: u64) -> Position {
    Position { era: 1, number }
}

fn row(key: &str, position: u64, value: Option<&str>) -> Row {
    Row {
        key: key.to_owned(),
        value: value.map(|value| value.as_bytes().to_vec()),
        position: at(position),
        removed: value.is_none(),
    }
}

fn page(position: u64, rows: Vec<Row>) -> Page {
    Page {
        rows,
        position: at(position),
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
    assert_eq!(mirror.position(), Some(at(5)));
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
    assert_eq!(changes.newer, [row("a", 9, None)]);
    // A row written after the table was read is kept.
    mirror.update(page(12, vec![row("c", 12, Some("x"))]));
    let changes = mirror.replace(page(11, vec![row("b", 2, Some("x"))]));
    assert_eq!(changes, Changes::default());
    assert!(mirror.get("c").is_some());
}

#[test]
fn a_replica_older_than_known_removals_gets_the_full_table() {
    let mut mirror = Mirror::default();
    assert!(
        mirror.changes_since(at(0)).is_none(),
        "the table has not been read"
    );
    mirror.replace(page(10, vec![row("a", 3, Some("x"))]));
    mirror.update(page(12, vec![row("a", 12, None)]));
    let full = mirror.changes_since(at(9)).unwrap();
    assert!(full.full && full.page.rows.is_empty());
    let changes = mirror.changes_since(at(10)).unwrap();
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
    let late = older.changes_since(at(0)).unwrap();
    assert!(mirror.update(late.page.clone()).is_empty());
    assert_eq!(mirror.replace(late.page), Changes::default());
    assert!(mirror.get("a").is_none());
    assert_eq!(mirror.position(), Some(at(9)));
}

#[test]
fn a_row_that_came_and_went_in_a_compacted_history_is_removed_from_older_replicas() {
    let mut mirror = Mirror::default();
    mirror.replace(page(1, vec![row("a", 1, Some("x"))]));
    let mut older = mirror.clone();
    older.update(page(4, vec![row("b", 4, Some("x"))]));
    mirror.replace(page(9, vec![row("a", 1, Some("x"))]));
    let late = mirror.changes_since(at(4)).unwrap();
    match late.full {
        true => older.replace(late.page).newer,
        false => older.update(late.page),
    };
    assert!(older.get("b").is_none());
}

/// The same page in another era of the store.
fn in_era(era: Era, mut page: Page) -> Page {
    page.position.era = era;
    for row in &mut page.rows {
        row.position.era = era;
    }
    page
}

/// Guards against rows that are dropped because the restored store gives out lower numbers.
#[test]
fn a_change_of_a_later_era_is_newer_whatever_its_number() {
    let mut mirror = Mirror::default();
    mirror.replace(page(230, vec![row("a", 228, Some("lost"))]));
    mirror.replace(in_era(2, page(140, vec![row("a", 120, Some("copy"))])));
    let changes = mirror.update(in_era(2, page(141, vec![row("a", 141, Some("new"))])));
    assert_eq!(changes.len(), 1);
    let unknown = in_era(2, page(142, vec![row("b", 142, Some("new"))]));
    assert_eq!(mirror.update(unknown).len(), 1);
    let position = mirror.position().unwrap();
    assert_eq!((position.era, position.number), (2, 142));
}

/// Guards against late answers, and nodes that are behind, from before the restore.
#[test]
fn a_page_of_an_earlier_era_changes_nothing() {
    let mut mirror = Mirror::default();
    mirror.replace(in_era(2, page(140, vec![row("a", 120, Some("x"))])));
    let late = page(230, vec![row("a", 228, Some("lost"))]);
    assert!(mirror.update(late.clone()).is_empty());
    assert_eq!(mirror.replace(late), Changes::default());
    let kept = mirror.get("a").unwrap();
    assert_eq!(kept.value.as_deref(), Some(b"x".as_slice()));
}

/// Guards against changes of a later era that are taken for those after a position of an earlier one.
#[test]
fn changes_of_a_later_era_do_not_continue_an_earlier_one() {
    let mut mirror = Mirror::default();
    mirror.replace(page(10, vec![row("a", 9, Some("x"))]));
    let later = in_era(2, page(30, vec![row("b", 30, Some("x"))]));
    assert!(mirror.update(later).is_empty());
    assert_eq!(mirror.position(), Some(at(10)));
}

/// Guards against an older state that a restored store holds and that is taken for a change.
#[test]
fn rows_that_a_restored_store_may_have_lost_are_doubtful() {
    let mut mirror = Mirror::default();
    let rows = [("kept", 5), ("changed", 20), ("added", 21), ("old", 6)];
    let rows = rows.map(|(key, number)| row(key, number, Some("x")));
    mirror.replace(page(21, rows.to_vec()));
    mirror.update(page(22, vec![row("old", 22, None)]));
    let copy = vec![
        row("kept", 5, Some("x")),
        row("changed", 7, Some("before")),
        row("old", 6, Some("x")),
        row("unknown", 12, Some("x")),
        row("written", 23, Some("x")),
    ];
    let changes = mirror.replace(in_era(2, page(23, copy)));
    let keys = |rows: &[Row]| rows.iter().map(|row| row.key.clone()).collect::<Vec<_>>();
    assert_eq!(keys(&changes.newer), ["written"]);
    assert_eq!(
        keys(&changes.doubtful),
        ["changed", "old", "unknown", "added"]
    );
}

/// Guards against replicas of an earlier era that are sent a part of the table.
#[test]
fn a_replica_of_an_earlier_era_gets_the_full_table() {
    let mut mirror = Mirror::default();
    mirror.replace(Page::default());
    mirror.update(in_era(2, page(3, vec![row("a", 3, Some("x"))])));
    assert!(mirror.changes_since(at(10)).unwrap().full);
    assert!(!mirror.changes_since(Position::START).unwrap().full);
}

/// Guards against a late answer that lists a row which was written and removed again unseen.
#[test]
fn a_row_that_came_back_and_went_unseen_is_not_restored_by_a_late_full_table() {
    let mut mirror = Mirror::default();
    mirror.replace(page(1, vec![row("a", 1, Some("x"))]));
    mirror.update(page(2, vec![row("a", 2, None)]));
    mirror.replace(page(9, vec![]));
    mirror.replace(page(5, vec![row("a", 4, Some("x"))]));
    assert!(mirror.get("a").is_none());
}
