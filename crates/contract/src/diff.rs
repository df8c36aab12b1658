//! What a change makes of the configuration, field by field.

use crate::{Config, Object, ObjectKey};
use serde_json::Value;
use std::fmt;

/// One difference between two objects under the same key.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    /// Key of the object.
    pub key: ObjectKey,
    /// JSON pointer into the object; empty when the whole object comes or goes.
    pub path: String,
    /// Value before; absent when there was none.
    pub from: Option<Value>,
    /// Value after; absent when there is none.
    pub to: Option<Value>,
}

impl fmt::Display for Difference {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let space = if self.path.is_empty() { "" } else { " " };
        let place = format!("{}{space}{}", self.key, self.path);
        match (&self.from, &self.to) {
            (Some(from), Some(to)) => write!(formatter, "~ {place}: {from} -> {to}"),
            (Some(from), None) => write!(formatter, "- {place}: {from}"),
            (None, Some(to)) => write!(formatter, "+ {place}: {to}"),
            (None, None) => write!(formatter, "= {place}"),
        }
    }
}

/// Differences between the configuration and edits of it; an edit without an object removes it.
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

/// The fields of an object as JSON, without its kind.
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
