//! Validation of an object's JSON against the JSON schema. All violations are reported, each with
//! its path.

use super::Finding;
use crate::Violation;
use jsonschema::error::{TypeKind, ValidationErrorKind};
use jsonschema::{ValidationError, Validator};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::sync::LazyLock;

/// JSON schema of the configuration's objects.
const SCHEMA: &str = include_str!("../../../../schema/contract.json");

/// Validators by kind of object, compiled on first use.
static VALIDATORS: LazyLock<BTreeMap<String, Validator>> = LazyLock::new(validators);

fn validators() -> BTreeMap<String, Validator> {
    // The schema is compiled in and a test parses it, so parsing can't fail here.
    let schema: Value = serde_json::from_str(SCHEMA).unwrap_or_default();
    let mut validators = BTreeMap::new();
    for kind in schema["oneOf"].as_array().into_iter().flatten() {
        let Some((name, reference)) = kind["properties"]
            .as_object()
            .and_then(|map| map.iter().next())
        else {
            continue;
        };
        let definition = json!({ "allOf": [reference], "definitions": schema["definitions"] });
        if let Ok(validator) = jsonschema::draft7::new(&definition) {
            validators.insert(name.clone(), validator);
        }
    }
    validators
}

/// Validates the body of an object of a kind, such as the table below `[contract]`.
///
/// ```
/// let body = serde_json::json!({ "name": "a", "out": "yes" });
/// let findings = contract::check::check_schema("zone", "zone/a", &body);
/// assert_eq!(findings[0].to_string(), "zone/a /out: found \"yes\", expected boolean");
/// ```
pub fn check_schema(kind: &str, key: &str, body: &Value) -> Vec<Finding> {
    let Some(validator) = VALIDATORS.get(kind) else {
        return vec![Finding::new(
            key,
            "",
            Violation::UnknownKind(kind.to_owned()),
        )];
    };
    validator
        .iter_errors(body)
        .flat_map(|error| findings(key, &error))
        .collect()
}

fn findings(key: &str, error: &ValidationError) -> Vec<Finding> {
    let path = error.instance_path().as_str();
    let child = |name: &str| format!("{path}/{}", name.replace('~', "~0").replace('/', "~1"));
    match error.kind() {
        ValidationErrorKind::AdditionalProperties { unexpected } => unexpected
            .iter()
            .map(|name| Finding::new(key, child(name), Violation::UnknownField(name.clone())))
            .collect(),
        ValidationErrorKind::Required { property } => {
            let name = property.as_str().unwrap_or_default().to_owned();
            vec![Finding::new(key, path, Violation::MissingField(name))]
        }
        ValidationErrorKind::Type { kind } => {
            let violation = Violation::WrongType {
                found: error.instance().to_string(),
                expected: expected_type(kind),
            };
            vec![Finding::new(key, path, violation)]
        }
        ValidationErrorKind::Minimum { limit } => {
            let violation = Violation::OutOfRange {
                found: error.instance().as_f64().unwrap_or_default(),
                low: limit.as_f64().unwrap_or_default(),
                high: f64::INFINITY,
            };
            vec![Finding::new(key, path, violation)]
        }
        _ => vec![Finding::new(
            key,
            path,
            Violation::Schema(error.to_string()),
        )],
    }
}

fn expected_type(kind: &TypeKind) -> String {
    match kind {
        TypeKind::Single(name) => name.to_string(),
        TypeKind::Multiple(many) => {
            let names: Vec<_> = many.iter().map(|name| name.to_string()).collect();
            names.join(" or ")
        }
    }
}
