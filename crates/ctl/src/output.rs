//! Printing for people or for programs.

use crate::error::Error;
use serde::Serialize;
use std::io::{self, Write};

/// Where results go.
pub struct Output {
    json: bool,
}

impl Output {
    /// Output as JSON or as text.
    pub fn new(json: bool) -> Self {
        Self { json }
    }

    /// Prints a result: the value for programs, the text for people.
    pub fn show(&self, value: &impl Serialize, text: impl FnOnce() -> String) {
        let shown = match self.json {
            true => serde_json::to_string(value).unwrap_or_default(),
            false => text(),
        };
        // A reader that has gone away is no failure of the command.
        let _ = writeln!(io::stdout(), "{}", shown.trim_end());
    }

    /// Prints a line that programs don't need.
    pub fn note(&self, text: &str) {
        if !self.json {
            eprintln!("{text}");
        }
    }

    /// Prints an error.
    pub fn error(&self, error: &Error) {
        match self.json {
            true => println!("{}", error.json()),
            false => eprintln!("sardinectl: {error}"),
        }
    }
}

/// Lines with aligned columns.
pub fn table(rows: &[Vec<String>]) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or_default();
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column));
        cells
            .map(|cell| cell.chars().count())
            .max()
            .unwrap_or_default()
    };
    let widths: Vec<_> = (0..columns).map(width).collect();
    let line = |row: &Vec<String>| {
        let cells = row.iter().zip(&widths);
        let text: Vec<_> = cells
            .map(|(cell, width)| format!("{cell:<width$}"))
            .collect();
        text.join("  ").trim_end().to_owned()
    };
    rows.iter().map(line).collect::<Vec<_>>().join("\n")
}
