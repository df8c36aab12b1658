//! Log lines of all nodes about one request.

use crate::error::Error;
use crate::output::Output;
use serde::Serialize;
use serde_json::{Map, Value};
use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::path::{Path, PathBuf};

/// Fields that aren't listed among the other fields of an event: they have a place of their own in
/// the line, or are omitted.
const COMMON_FIELDS: [&str; 6] = ["event", "level", "message", "request", "target", "time"];

/// One log line about the request.
#[derive(Debug, Serialize)]
struct Entry {
    /// Path of the log file; `-` for standard input.
    from: String,
    /// The event as it was logged.
    event: Map<String, Value>,
}

/// Prints all lines about a request, ordered by time, from files or standard input.
pub fn run(request: &str, files: &[PathBuf], output: &Output) -> Result<(), Error> {
    let mut entries = Vec::new();
    for file in files {
        let opened = File::open(file).map_err(|source| file_error(file, source))?;
        let name = file.display().to_string();
        collect(request, &name, BufReader::new(opened), &mut entries)
            .map_err(|source| file_error(file, source))?;
    }
    if files.is_empty() {
        collect(request, "-", io::stdin().lock(), &mut entries)
            .map_err(|source| file_error(Path::new("-"), source))?;
    }
    if entries.is_empty() {
        return Err(Error::NotFound(format!("request {request} in the logs")));
    }
    entries.sort_by(|left, right| time(left).cmp(time(right)));
    output.print(&entries, || format_entries(&entries));
    Ok(())
}

fn file_error(path: &Path, source: io::Error) -> Error {
    let path = path.to_owned();
    Error::File { path, source }
}

/// Collects the lines about a request. Text before the first brace of a line, such as a timestamp, is
/// ignored, and so are lines that aren't JSON objects.
fn collect(
    request: &str,
    from: &str,
    lines: impl BufRead,
    entries: &mut Vec<Entry>,
) -> io::Result<()> {
    for line in lines.split(b'\n') {
        let line = line?;
        let start = line.iter().position(|&byte| byte == b'{');
        let Some(Ok(Value::Object(event))) = start.map(|at| serde_json::from_slice(&line[at..]))
        else {
            continue;
        };
        if event.get("request").and_then(Value::as_str) == Some(request) {
            let from = from.to_owned();
            entries.push(Entry { from, event });
        }
    }
    Ok(())
}

fn time(entry: &Entry) -> &str {
    field(entry, "time")
}

fn field<'a>(entry: &'a Entry, name: &str) -> &'a str {
    entry.event.get(name).and_then(Value::as_str).unwrap_or("-")
}

fn format_entries(entries: &[Entry]) -> String {
    let mut text = String::new();
    for entry in entries {
        let event = entry.event.get("event").map(Value::to_string);
        let others = entry
            .event
            .iter()
            .filter(|(name, _)| !COMMON_FIELDS.contains(&name.as_str()));
        let others: Vec<_> = others
            .map(|(name, value)| format!("{name}={value}"))
            .collect();
        text.push_str(&format!(
            "{} {} {} {}: {}  [{}]\n",
            time(entry),
            entry.from,
            field(entry, "level"),
            event.as_deref().unwrap_or("-"),
            field(entry, "message"),
            others.join(" "),
        ));
    }
    text
}
