//! What can be wrong with the configuration.

use crate::{CustomerId, ModelId, ObjectKey, Revision, ServiceId, TaskId, VersionId, ZoneId};

/// Why a change of the configuration can't be applied.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The body of an object isn't what the schema asks for.
    #[error("object {key} can't be read: {source}")]
    Body {
        /// Key of the object.
        key: ObjectKey,
        /// What the reader said.
        source: serde_json::Error,
    },
    /// The object's key doesn't match its content.
    #[error("object {found} stands under the key {key}")]
    Key {
        /// Key that was given.
        key: ObjectKey,
        /// Key that follows from the content.
        found: ObjectKey,
    },
    /// The change isn't the next one.
    #[error("revision {found} can't follow revision {current}")]
    Revision {
        /// Revision that is applied now.
        current: Revision,
        /// Revision of the change.
        found: Revision,
    },
}

/// Whether a violation stops a change.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Severity {
    /// The change is refused.
    Error,
    /// The change is made, and its author is told.
    Warning,
}

/// What is wrong at one place of an object.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Violation {
    /// The file isn't TOML.
    #[error("not TOML: {0}")]
    Syntax(String),
    /// Not a kind of object.
    #[error(
        "{0} is not a kind of object; kinds are contract, model, service, withdrawal, rollout, zone, member and access"
    )]
    Kind(String),
    /// The same object stands in the files twice.
    #[error("{0} stands in the files twice")]
    Twice(ObjectKey),
    /// A field must be given.
    #[error("{0} is missing")]
    Missing(String),
    /// A field isn't known.
    #[error("{0} is not a known field")]
    Unknown(String),
    /// A value has another type.
    #[error("found {found}, expected {expected}")]
    Type {
        /// The value as JSON.
        found: String,
        /// Type of the schema.
        expected: String,
    },
    /// A value breaks another rule of the schema.
    #[error("{0}")]
    Schema(String),
    /// A number is out of its bounds.
    #[error("found {found}, expected {low} to {high}")]
    Range {
        /// The number.
        found: f64,
        /// Smallest number allowed.
        low: f64,
        /// Largest number allowed.
        high: f64,
    },
    /// A name has other characters.
    #[error("found {0:?}, expected a name of 1 to 64 letters, digits, dots, dashes or underscores")]
    Name(String),
    /// The same name stands in a list twice.
    #[error("{0} stands in the list twice")]
    Repeated(String),
    /// A list must not be empty.
    #[error("the list is empty")]
    Empty,
    /// A key's digest isn't one.
    #[error("not a digest; `sardinectl key` makes one: 64 hexadecimal digits in lower case")]
    Digest,
    /// A key names two customers.
    #[error("customer {0} has the same key")]
    SharedKey(CustomerId),
    /// A key names two operators.
    #[error("operator {0} has the same key")]
    SharedAccess(String),
    /// No such model.
    #[error("model {0} is not in the configuration")]
    Model(ModelId),
    /// No such version.
    #[error("model {model} has no version {version}")]
    Version {
        /// Name of the model.
        model: ModelId,
        /// Name of the version.
        version: VersionId,
    },
    /// No such plain service.
    #[error("service {0} is not in the configuration")]
    Service(ServiceId),
    /// A roll-out introduces a withdrawn version.
    #[error("version {0} is withdrawn")]
    Withdrawn(VersionId),
    /// A route's prefix is no path.
    #[error("found {0:?}, expected a path that starts with a slash")]
    Prefix(String),
    /// A route's method is none of HTTP's.
    #[error("found {0:?}, expected GET, HEAD, POST, PUT, PATCH or DELETE")]
    Method(String),
    /// No version may run the customer's requests.
    #[error("every version that the contract allows is withdrawn or gone")]
    Unserved,
    /// No version is known to reach the quality of a task.
    #[error(
        "task {task} expects quality {expected}, the best version that the contract allows is rated {best}"
    )]
    Quality {
        /// Name of the task.
        task: TaskId,
        /// Quality that the task expects.
        expected: f64,
        /// Best prior quality of the allowed versions.
        best: f64,
    },
    /// A zone that goes out has no members: perhaps another one was meant.
    #[error("no member of the fleet is in zone {0}")]
    NoMember(ZoneId),
    /// All zones that have members are out.
    #[error("no member is left in a zone that is in")]
    NoZone,
}

impl Violation {
    /// Short name for programs.
    ///
    /// ```
    /// assert_eq!(contract::Violation::Empty.code(), "empty");
    /// ```
    pub fn code(&self) -> &'static str {
        match self {
            Self::Syntax(_) => "syntax",
            Self::Kind(_) => "kind",
            Self::Twice(_) => "twice",
            Self::Missing(_) => "missing",
            Self::Unknown(_) => "unknown_field",
            Self::Type { .. } => "type",
            Self::Schema(_) => "schema",
            Self::Range { .. } => "range",
            Self::Name(_) => "name",
            Self::Repeated(_) => "repeated",
            Self::Empty => "empty",
            Self::Digest => "digest",
            Self::SharedKey(_) => "shared_key",
            Self::SharedAccess(_) => "shared_access",
            Self::Model(_) => "unknown_model",
            Self::Version { .. } => "unknown_version",
            Self::Service(_) => "unknown_service",
            Self::Withdrawn(_) => "withdrawn",
            Self::Prefix(_) => "prefix",
            Self::Method(_) => "method",
            Self::Unserved => "unserved",
            Self::Quality { .. } => "quality",
            Self::NoMember(_) => "no_member",
            Self::NoZone => "no_zone",
        }
    }

    /// Whether the violation stops a change.
    ///
    /// ```
    /// assert_eq!(contract::Violation::Unserved.severity(), contract::Severity::Warning);
    /// ```
    pub fn severity(&self) -> Severity {
        match self {
            Self::Unserved | Self::Quality { .. } | Self::NoMember(_) | Self::NoZone => {
                Severity::Warning
            }
            _ => Severity::Error,
        }
    }
}
