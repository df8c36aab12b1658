//! docs/GUARANTEES.md names only tests and specifications that exist.

use standin::history::Promise;
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

const COLUMNS: usize = 6;
const TESTS: usize = 3;
const SPECIFICATION: usize = 4;

#[test]
fn every_promise_has_a_row() {
    let named: Vec<_> = rows().into_iter().map(|row| row[0].clone()).collect();
    let promises: Vec<_> = Promise::ALL
        .iter()
        .map(|promise| format!("{promise:?}"))
        .collect();
    assert_eq!(named, promises);
}

#[test]
fn every_test_exists() {
    let known = tests();
    for row in rows() {
        let names = quoted(&row[TESTS]);
        assert!(!names.is_empty(), "{} names no test", row[0]);
        for name in names {
            assert!(known.contains(&name), "{}: no test {name}", row[0]);
        }
    }
}

#[test]
fn every_specification_exists() {
    for row in rows() {
        let cell = &row[SPECIFICATION];
        for reference in cell.split(';').filter(|part| part.contains('`')) {
            let (file, properties) = reference.split_once(':').unwrap_or((reference, ""));
            let name = quoted(file).concat();
            let path = root().join("specs").join(&name);
            let text = std::fs::read_to_string(path).unwrap_or_default();
            assert!(
                !properties.trim().is_empty(),
                "{}: {name} without a property",
                row[0]
            );
            for property in properties.split(',') {
                let heading = format!(" *   {} ", property.trim());
                assert!(
                    text.contains(&heading),
                    "{}: no {heading:?} in {name}",
                    row[0]
                );
            }
        }
        assert!(
            cell.contains('`') || cell.starts_with("none: "),
            "{}: {cell}",
            row[0]
        );
    }
}

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Cells of the table's rows.
fn rows() -> Vec<Vec<String>> {
    let text = std::fs::read_to_string(root().join("docs/GUARANTEES.md")).unwrap_or_default();
    let lines = text.lines().filter(|line| line.starts_with("| "));
    let cells = lines.map(|line| {
        let cells = line.trim_matches('|').split('|');
        cells.map(|cell| cell.trim().to_owned()).collect::<Vec<_>>()
    });
    cells
        .filter(|row| row.len() == COLUMNS && row[0] != "Promise")
        .collect()
}

/// Texts in backticks.
fn quoted(cell: &str) -> Vec<String> {
    cell.split('`')
        .skip(1)
        .step_by(2)
        .map(str::to_owned)
        .collect()
}

/// Words at the start of lines of all test files: names of functions and of macro cases.
fn tests() -> BTreeSet<String> {
    let mut names = BTreeSet::new();
    let crates = std::fs::read_dir(root().join("crates"));
    for folder in crates.into_iter().flatten().flatten() {
        let files = std::fs::read_dir(folder.path().join("tests"));
        for file in files.into_iter().flatten().flatten() {
            let text = std::fs::read_to_string(file.path()).unwrap_or_default();
            let words = text.lines().filter_map(|line| {
                let line = line
                    .trim()
                    .trim_start_matches("async ")
                    .trim_start_matches("fn ");
                line.split([':', '(', ' ', ',', '<']).next()
            });
            names.extend(words.map(str::to_owned));
        }
    }
    names
}
