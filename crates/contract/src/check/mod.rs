//! Validation of the configuration: each object by itself, and references between objects.

mod fields;
mod finding;
mod references;
mod schema;
mod serving;

pub use fields::is_name;
pub use finding::Finding;
pub use schema::check_schema;

use crate::{Config, Severity};

/// All findings in a configuration, ordered by object key, with errors before warnings.
///
/// ```
/// let contract = r#"{"contract":{"customer":"c","keys":[],"models":["small"]}}"#;
/// let object = contract::Object::read("contract/c", contract)?;
/// let findings = contract::check::check(&contract::Config::new(1, vec![object]));
/// assert_eq!(findings[0].to_string(), "contract/c /models/0: model small is not in the configuration");
/// # Ok::<(), contract::Error>(())
/// ```
pub fn check(config: &Config) -> Vec<Finding> {
    let mut findings = Vec::new();
    for (key, object) in config.objects() {
        fields::check(key, object, &mut findings);
        references::check(config, key, object, &mut findings);
    }
    references::check_shared_keys(config, &mut findings);
    serving::check(config, &mut findings);
    let sort_key = |finding: &Finding| {
        (
            finding.key.clone(),
            finding.violation.severity(),
            finding.path.clone(),
        )
    };
    findings.sort_by_cached_key(sort_key);
    findings
}

/// Findings in a configuration that the previous one doesn't have.
///
/// A finding that exists already must not block an unrelated change, such as a withdrawal.
///
/// ```
/// let config = contract::Config::default();
/// assert!(contract::check::introduced_findings(&config, &config).is_empty());
/// ```
pub fn introduced_findings(before: &Config, after: &Config) -> Vec<Finding> {
    let existing = check(before);
    let mut findings = check(after);
    findings.retain(|finding| !existing.contains(finding));
    findings
}

/// Whether any finding is an error, as opposed to a warning.
///
/// ```
/// assert!(!contract::check::has_errors(&[]));
/// ```
pub fn has_errors(findings: &[Finding]) -> bool {
    findings
        .iter()
        .any(|finding| finding.violation.severity() == Severity::Error)
}
