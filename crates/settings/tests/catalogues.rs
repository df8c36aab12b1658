//! Compares the pages of events and settings with the code.

use settings::node::SPECS;
use settings::spec::Spec;
use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

const ROOT: &str = "../..";

fn page(name: &str) -> String {
    fs::read_to_string(Path::new(ROOT).join("docs").join(name)).unwrap()
}

fn collect_sources(folder: &Path, sources: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            collect_sources(&path, sources);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            sources.push(path);
        }
    }
}

/// Number and level of each event that a source file logs.
fn events(text: &str) -> Vec<(u32, String)> {
    let mut events = Vec::new();
    for (at, marker) in text.match_indices("event = ") {
        let rest = &text[at + marker.len()..];
        let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
        let Ok(number) = digits.parse() else { continue };
        let call = text[..at].rfind("log::").map(|start| &text[start + 5..at]);
        let level = call
            .and_then(|call| call.split_once('!'))
            .map(|(level, _)| level);
        events.push((number, level.unwrap_or("unknown").to_owned()));
    }
    events
}

fn events_in_code() -> BTreeMap<u32, String> {
    let mut found = BTreeMap::new();
    let mut files = Vec::new();
    for entry in fs::read_dir(Path::new(ROOT).join("crates")).unwrap() {
        collect_sources(&entry.unwrap().path().join("src"), &mut files);
    }
    for file in files {
        for (number, level) in events(&fs::read_to_string(&file).unwrap()) {
            let first = found.insert(number, level);
            assert!(first.is_none(), "event {number} of {file:?} is used twice");
        }
    }
    found
}

/// Number and level of each row `| 1201 | info | ...` of the catalogue.
fn events_in_page() -> BTreeMap<u32, String> {
    let mut found = BTreeMap::new();
    for line in page("EVENTS.md").lines() {
        let cells: Vec<_> = line.split('|').map(str::trim).collect();
        let Some(Ok(number)) = cells.get(1).map(|cell| cell.parse()) else {
            continue;
        };
        let first = found.insert(number, cells[2].to_owned());
        assert!(first.is_none(), "event {number} has two rows");
    }
    found
}

#[test]
fn events_match_the_catalogue() {
    let (page, code) = (events_in_page(), events_in_code());
    let missing: Vec<_> = code
        .iter()
        .filter(|event| page.get(event.0) != Some(event.1))
        .collect();
    let stale: Vec<_> = page
        .iter()
        .filter(|row| !code.contains_key(row.0))
        .collect();
    assert!(missing.is_empty(), "docs/EVENTS.md lacks {missing:?}");
    assert!(
        stale.is_empty(),
        "docs/EVENTS.md has {stale:?}, which the code doesn't"
    );
}

#[test]
fn each_setting_has_its_row() {
    let page = page("SETTINGS.md");
    let missing: Vec<_> = SPECS
        .iter()
        .map(row)
        .filter(|row| !page.contains(row))
        .collect();
    assert!(
        missing.is_empty(),
        "docs/SETTINGS.md lacks\n{}",
        missing.join("\n")
    );
}

fn row(spec: &Spec) -> String {
    let default = match (spec.required, spec.default) {
        (true, _) => "required",
        (false, "") => "none",
        (false, default) => default,
    };
    let expected = spec.expected();
    format!(
        "| `--{}` | `{}` | {default} | {expected} | {} |",
        spec.flag, spec.env, spec.help
    )
}
