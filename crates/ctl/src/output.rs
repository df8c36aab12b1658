//! Output as text or as JSON.

use crate::error::Error;
use serde::Serialize;
use std::io::{self, Write};

/// Prints results and errors.
pub struct Output {
    json: bool,
}

impl Output {
    /// Creates an output that prints JSON or text.
    pub fn new(json: bool) -> Self {
        Self { json }
    }

    /// Prints a result to standard output: the value as JSON, or the text.
    pub fn print(&self, value: &impl Serialize, text: impl FnOnce() -> String) {
        let line = match self.json {
            true => serde_json::to_string(value).unwrap_or_default(),
            false => text(),
        };
        // The command doesn't fail if the reader has closed the pipe.
        let _ = writeln!(io::stdout(), "{}", line.trim_end());
    }

    /// Prints a line to standard error unless the output is JSON.
    pub fn print_note(&self, text: &str) {
        if !self.json {
            eprintln!("{text}");
        }
    }

    /// Prints an error: to standard output as JSON, or to standard error as text.
    pub fn print_error(&self, error: &Error) {
        match self.json {
            true => println!("{}", error.to_json()),
            false => eprintln!("sardinectl: {error}"),
        }
    }
}

/// Formats rows as lines with aligned columns.
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
