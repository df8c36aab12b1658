//! The capacity page: results follow from its inputs, and misses are said.

use contract::Map;
use std::path::Path;

/// Share by which a written result may differ from the computed one, for rounding.
const ROUNDING: f64 = 0.01;

const ROLES: [&str; 7] = [
    "entry node",
    "zone reader",
    "home of backend servers",
    "link relay",
    "platform table",
    "object store",
    "operator path",
];

/// Tables of the page by the heading above them; each row maps a column to its cell.
fn tables() -> Map<String, Vec<Map<String, String>>> {
    let page = include_str!("../../../docs/CAPACITY.md");
    let mut tables: Map<String, Vec<Map<String, String>>> = Map::default();
    let mut heading = String::new();
    let mut columns: Vec<String> = Vec::new();
    for line in page.lines() {
        if let Some(title) = line.strip_prefix("## ") {
            title.clone_into(&mut heading);
            columns.clear();
        }
        if !line.starts_with('|') || line.starts_with("|--") {
            continue;
        }
        let cells = line.trim_matches('|').split('|');
        let cells: Vec<_> = cells.map(|cell| cell.trim().to_owned()).collect();
        if columns.is_empty() {
            columns = cells;
            continue;
        }
        assert_eq!(cells.len(), columns.len(), "cells of {line}");
        let row = columns.iter().cloned().zip(cells).collect();
        tables.entry(heading.clone()).or_default().push(row);
    }
    tables
}

fn number(text: &str) -> f64 {
    let plain = text.replace(',', "");
    plain
        .parse()
        .unwrap_or_else(|_| panic!("{text:?} is a number"))
}

/// Values of the inputs and the slopes by name.
fn values() -> Map<String, f64> {
    let tables = tables();
    let rows = tables["Inputs"].iter().chain(&tables["Slopes"]);
    rows.map(|row| (row["name"].clone(), number(&row["value"])))
        .collect()
}

/// Sum of products and quotients of names and numbers.
fn compute(formula: &str, values: &Map<String, f64>) -> f64 {
    let value = |name: &str| match values.get(name) {
        Some(value) => *value,
        None => number(name),
    };
    let product = |term: &str| {
        let mut words = term.split_whitespace();
        let mut result = value(words.next().expect("a term has a factor"));
        while let (Some(operator), Some(factor)) = (words.next(), words.next()) {
            match operator {
                "*" => result *= value(factor),
                "/" => result /= value(factor),
                _ => panic!("{operator:?} in {formula:?} is * or /"),
            }
        }
        result
    };
    formula.split(" + ").map(product).sum()
}

macro_rules! page {
    ($($name:ident: $check:expr;)*) => { $(
        #[test]
        fn $name() {
            let check: fn(&Map<String, String>) = $check;
            let tables = tables();
            assert!(!tables["Figures"].is_empty());
            tables["Figures"].iter().for_each(check);
        }
    )* };
}

page! {
    results_follow_from_inputs: |row| {
        let computed = compute(row["formula"].trim_matches('`'), &values());
        let written = number(&row["result"]);
        let difference = (computed - written).abs();
        assert!(difference <= ROUNDING * computed.abs(), "{row:?}: computed {computed}");
    };
    misses_are_said: |row| {
        let verdict = match row["limit"].as_str() {
            "none" => "no limit",
            limit if number(&row["result"]) <= number(limit) => "holds",
            _ => "**misses**",
        };
        assert_eq!(row["verdict"], verdict, "{row:?}");
    };
    mechanisms_have_files: |row| {
        let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
        assert!(root.join(row["file"].trim_matches('`')).exists(), "{row:?}");
    };
    roles_are_known: |row| assert!(ROLES.contains(&row["role"].as_str()), "{row:?}");
}

#[test]
fn each_role_has_a_figure_or_is_listed_as_not_measured() {
    let tables = tables();
    let open = tables.get("Not measured").into_iter().flatten();
    let told: Vec<_> = tables["Figures"].iter().chain(open).collect();
    for role in ROLES {
        assert!(told.iter().any(|row| row["role"] == role), "{role}");
    }
}

#[test]
fn each_slope_is_measured_by_a_command() {
    for row in &tables()["Slopes"] {
        let command = row["command"].trim_matches('`');
        assert!(
            ["path", "capacity", "control"].contains(&command),
            "{row:?}"
        );
    }
}

#[test]
fn formulas_need_known_names() {
    let values = [("a".to_owned(), 6.0), ("b".to_owned(), 4.0)]
        .into_iter()
        .collect();
    assert_eq!(compute("a * b / 3 + 2 * b", &values), 16.0);
    assert!(std::panic::catch_unwind(|| compute("missing * 2", &Map::default())).is_err());
}
