//! Reads objects from files and validates the configuration that would result.

use super::document::{Entry, entries};
use super::{Location, Problem, Source};
use crate::check::{self, Finding};
use crate::{Config, Map, Object, ObjectKey, Set, Severity, Violation};
use serde_json::json;
use toml_edit::Document;

/// Objects read from files, and the problems found in them.
#[derive(Debug, Default)]
pub struct Contents {
    /// Objects that could be parsed, in the order of the files.
    pub objects: Vec<Object>,
    /// Problems, ordered by location.
    pub problems: Vec<Problem>,
}

impl Contents {
    /// Whether any problem is an error, as opposed to a warning.
    ///
    /// ```
    /// assert!(!contract::file::Contents::default().has_errors());
    /// ```
    pub fn has_errors(&self) -> bool {
        let is_error = |problem: &Problem| problem.finding.violation.severity() == Severity::Error;
        self.problems.iter().any(is_error)
    }
}

/// Reads files and validates the configuration that results from applying them to a base.
///
/// ```
/// use contract::file::{Source, read};
/// let text = "[[zone]]\nname = 'a'\nout = 1\n\n[[zone]]\nname = 'b c'\nout = true\n";
/// let contents = read(&[Source::new("zones.toml", text)], &contract::Config::default());
/// let lines: Vec<_> = contents.problems.iter().map(|problem| problem.to_string()).collect();
/// assert_eq!(lines[0], "zones.toml:3:7: zone/a /out: found 1, expected boolean");
/// assert!(lines[1].starts_with("zones.toml:6:8: zone/b c /name: found \"b c\""));
/// ```
pub fn read(sources: &[Source], base: &Config) -> Contents {
    let mut reader = Reader::default();
    for source in sources {
        reader.read(source);
    }
    let edits = reader
        .objects
        .iter()
        .map(|object| (object.key(), Some(object.clone())));
    let after = base.with_edits(edits);
    // Findings that the base already has are reported only for objects in the files.
    let known = check::check(base);
    for finding in check::check(&after) {
        let relevant = reader.entries.contains_key(&finding.key) || !known.contains(&finding);
        if relevant && !reader.is_consequence(&finding.violation) {
            reader.add_finding(finding);
        }
    }
    reader.problems.sort_by(|a, b| a.location.cmp(&b.location));
    Contents {
        objects: reader.objects,
        problems: reader.problems,
    }
}

/// Collects the objects and problems of all files.
#[derive(Default)]
struct Reader {
    objects: Vec<Object>,
    problems: Vec<Problem>,
    entries: Map<ObjectKey, (Source, Entry)>,
    /// Keys of objects in the files that don't match the schema.
    invalid: Set<ObjectKey>,
}

impl Reader {
    fn read(&mut self, source: &Source) {
        let document = match Document::parse(source.text.as_str()) {
            Ok(document) => document,
            Err(error) => {
                let violation = Violation::Syntax(error.message().trim().replace('\n', ", "));
                let offset = error.span().map_or(0, |span| span.start);
                self.add_problem(source, offset, Finding::new("file", "", violation));
                return;
            }
        };
        for entry in entries(&document) {
            self.read_entry(source, entry);
        }
    }

    fn read_entry(&mut self, source: &Source, entry: Entry) {
        let key = provisional_key(&entry);
        let findings = check::check_schema(&entry.kind, &key, &entry.body);
        if !findings.is_empty() {
            self.invalid.insert(key);
            for finding in findings {
                self.add_problem(source, entry.offset(&finding.path), finding);
            }
            return;
        }
        let body = json!({ entry.kind.clone(): entry.body.clone() });
        let object: Object = match serde_json::from_value(body) {
            Ok(object) => object,
            Err(error) => {
                let finding = Finding::new(&key, "", Violation::Schema(error.to_string()));
                self.add_problem(source, entry.start, finding);
                return;
            }
        };
        let key = object.key();
        if self.entries.contains_key(&key) {
            let finding = Finding::new(&key, "", Violation::DuplicateObject(key.clone()));
            self.add_problem(source, entry.start, finding);
            return;
        }
        self.objects.push(object);
        self.entries.insert(key, (source.clone(), entry));
    }

    /// Whether a violation is only a consequence of an invalid object, which is reported already.
    fn is_consequence(&self, violation: &Violation) -> bool {
        match violation {
            Violation::UnknownModel(model) | Violation::UnknownVersion { model, .. } => {
                self.invalid.contains(&format!("model/{model}"))
            }
            Violation::UnknownService(service) => {
                self.invalid.contains(&format!("service/{service}"))
            }
            Violation::UnreachableQuality { .. } | Violation::NoServableVersion => {
                self.invalid.iter().any(|key| key.starts_with("model/"))
            }
            _ => false,
        }
    }

    fn add_problem(&mut self, source: &Source, offset: usize, finding: Finding) {
        self.problems.push(Problem {
            location: Some(Location::new(source, offset)),
            finding,
        });
    }

    fn add_finding(&mut self, finding: Finding) {
        let location = self
            .entries
            .get(&finding.key)
            .map(|(source, entry)| Location::new(source, entry.offset(&finding.path)));
        self.problems.push(Problem { location, finding });
    }
}

/// Key of an object that isn't validated yet; missing parts are shown as `?`.
fn provisional_key(entry: &Entry) -> ObjectKey {
    let field = |name: &str| entry.body[name].as_str().unwrap_or("?").to_owned();
    let name = match entry.kind.as_str() {
        "contract" => field("customer"),
        "member" => field("node"),
        "rollout" => field("model"),
        "withdrawal" => format!("{}@{}", field("model"), field("version")),
        _ => field("name"),
    };
    format!("{}/{name}", entry.kind)
}
