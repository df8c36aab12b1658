//! Field-by-field differences that a change makes to the configuration.

use crate::{Config, Object, ObjectKey};
use serde_json::Value;
use std::fmt;

/// One difference between two versions of an object.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    /// Key of the object.
    pub key: ObjectKey,
    /// JSON pointer into the object; empty if the whole object is added or removed.
    pub path: String,
    /// Previous value; `None` if it was added.
    pub from: Option<Value>,
    /// New value; `None` if it was removed.
    pub to: Option<Value>,
}

impl fmt::Display for Difference {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let separator = if self.path.is_empty() { "" } else { " " };
        let target = format!("{}{separator}{}", self.key, self.path);
        match (&self.from, &self.to) {
            (Some(from), Some(to)) => write!(formatter, "~ {target}: {from} -> {to}"),
            (Some(from), None) => write!(formatter, "- {target}: {from}"),
            (None, Some(to)) => write!(formatter, "+ {target}: {to}"),
            (None, None) => write!(formatter, "= {target}"),
        }
    }
}

/// Differences that edits would make to the configuration. An edit without an object removes it.
///
/// ```
/// let zone = |out| contract::Object::Zone(contract::Zone { name: "a".into(), out });
/// let config = contract::Config::new(1, vec![zone(false)]);
/// let edits = [("zone/a".to_owned(), Some(zone(true)))];
/// let lines = contract::diff::diff(&config, &edits);
/// assert_eq!(lines[0].to_string(), "~ zone/a /out: false -> true");
/// ```
pub fn diff(config: &Config, edits: &[(ObjectKey, Option<Object>)]) -> Vec<Difference> {
    let mut differences = Vec::new();
    for (key, object) in edits {
        let from = config.get(key).map(|object| body(object));
        let to = object.as_ref().map(body);
        compare(key, "", from.as_ref(), to.as_ref(), &mut differences);
    }
    differences
}

/// The fields of an object as JSON, without the wrapper that names its kind.
fn body(object: &Object) -> Value {
    match serde_json::to_value(object) {
        Ok(Value::Object(map)) => map.into_values().next().unwrap_or_default(),
        _ => Value::Null,
    }
}

fn compare(
    key: &str,
    path: &str,
    from: Option<&Value>,
    to: Option<&Value>,
    differences: &mut Vec<Difference>,
) {
    if from == to {
        return;
    }
    if let (Some(Value::Object(old)), Some(Value::Object(new))) = (from, to) {
        let added = new.keys().filter(|name| !old.contains_key(*name));
        for name in old.keys().chain(added) {
            let path = format!("{path}/{name}");
            compare(key, &path, old.get(name), new.get(name), differences);
        }
        return;
    }
    differences.push(Difference {
        key: key.to_owned(),
        path: path.to_owned(),
        from: from.cloned(),
        to: to.cloned(),
    });
}
