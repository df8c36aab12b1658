//! Constructors and conversions for refusals and findings.

use super::{Finding, Ran, Reason, Refusal, Severity};
use crate::check;

impl Refusal {
    /// Creates a refusal without findings or a conflict.
    ///
    /// ```
    /// use contract::operator::{Ran, Refusal};
    /// let refusal = Refusal::new("unknown_key", "no object stands under zone/z", Ran::No);
    /// assert_eq!(refusal.error.code, "unknown_key");
    /// ```
    pub fn new(code: &str, message: impl Into<String>, ran: Ran) -> Self {
        Self {
            conflict: None,
            error: Reason {
                code: code.to_owned(),
                message: message.into(),
                ran,
                retry_after_ms: None,
            },
            findings: Vec::new(),
        }
    }
}

impl From<&check::Finding> for Finding {
    fn from(finding: &check::Finding) -> Self {
        Self {
            code: finding.violation.code().to_owned(),
            key: finding.key.clone(),
            message: finding.violation.to_string(),
            path: finding.path.clone(),
            severity: finding.violation.severity().into(),
        }
    }
}

impl From<crate::Severity> for Severity {
    fn from(severity: crate::Severity) -> Self {
        match severity {
            crate::Severity::Error => Self::Error,
            crate::Severity::Warning => Self::Warning,
        }
    }
}
