//! Errors of the table service and their representation in the DynamoDB protocol.

use serde_json::{Value, json};

const PREFIX: &str = "com.amazonaws.dynamodb.v20120810#";

/// Reason for the failure of an operation.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Failure {
    /// The condition of a single write was not satisfied.
    #[error("The conditional request failed")]
    Condition,
    /// A transaction was cancelled. Holds a flag for each item, true if its condition failed.
    #[error("Transaction cancelled")]
    Cancelled(Vec<bool>),
    /// The rate limit was exceeded; nothing was executed.
    #[error("The level of configured provisioned throughput for the table was exceeded")]
    Throughput,
    /// The request is invalid or not supported by this stand-in.
    #[error("{0}")]
    Validation(String),
    /// The service failed; the operation may or may not have taken effect.
    #[error("Internal server error")]
    Internal,
    /// The service is down; nothing was executed.
    #[error("Service unavailable")]
    Unavailable,
}

impl Failure {
    /// HTTP status of the response.
    pub fn status(&self) -> u16 {
        match self {
            Self::Internal => 500,
            Self::Unavailable => 503,
            _ => 400,
        }
    }

    /// Body of the response.
    ///
    /// ```
    /// let body = standin::table::Failure::Condition.body();
    /// assert!(body["__type"].as_str().unwrap().ends_with("#ConditionalCheckFailedException"));
    /// ```
    pub fn body(&self) -> Value {
        let name = match self {
            Self::Condition => "ConditionalCheckFailedException",
            Self::Cancelled(_) => "TransactionCanceledException",
            Self::Throughput => "ProvisionedThroughputExceededException",
            Self::Validation(_) => "ValidationException",
            Self::Internal => "InternalServerError",
            Self::Unavailable => "ServiceUnavailable",
        };
        let mut body = json!({ "__type": format!("{PREFIX}{name}"), "message": self.to_string() });
        if let Self::Cancelled(reasons) = self {
            body["CancellationReasons"] =
                reasons.iter().map(|failed| Self::reason(*failed)).collect();
        }
        body
    }

    fn reason(failed: bool) -> Value {
        if failed {
            json!({ "Code": "ConditionalCheckFailed", "Message": "The conditional request failed" })
        } else {
            json!({ "Code": "None" })
        }
    }
}
