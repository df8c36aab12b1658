//! What can be wrong with the configuration.

use crate::{CustomerId, ModelId, ObjectKey, Revision, ServiceId, TaskId, VersionId, ZoneId};

/// Why a change of the configuration can't be applied.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The body of an object isn't what the schema asks for.
    #[error("object {key} can't be read: {source}")]
    InvalidBody {
        /// Key of the object.
        key: ObjectKey,
        /// What the reader said.
        source: serde_json::Error,
    },
    /// The object's key doesn't match its content.
    #[error("object {found} stands under the key {key}")]
    KeyMismatch {
        /// Key that was given.
        key: ObjectKey,
        /// Key that follows from the content.
        found: ObjectKey,
    },
    /// The change isn't the next one.
    #[error("revision {found} can't follow revision {current}")]
    UnexpectedRevision {
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
    UnknownKind(String),
    /// The same object stands in the files twice.
    #[error("{0} stands in the files twice")]
    DuplicateObject(ObjectKey),
    /// A field must be given.
    #[error("{0} is missing")]
    MissingField(String),
    /// A field isn't known.
    #[error("{0} is not a known field")]
    UnknownField(String),
    /// A value has another type.
    #[error("found {found}, expected {expected}")]
    WrongType {
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
    OutOfRange {
        /// The number.
        found: f64,
        /// Smallest number allowed.
        low: f64,
        /// Largest number allowed.
        high: f64,
    },
    /// A name has other characters.
    #[error("found {0:?}, expected a name of 1 to 64 letters, digits, dots, dashes or underscores")]
    InvalidName(String),
    /// The same name stands in a list twice.
    #[error("{0} stands in the list twice")]
    DuplicateName(String),
    /// A list must not be empty.
    #[error("the list is empty")]
    EmptyList,
    /// A key's digest isn't one.
    #[error("not a digest; `sardinectl key` makes one: 64 hexadecimal digits in lower case")]
    InvalidDigest,
    /// A key names two customers.
    #[error("customer {0} has the same key")]
    SharedCustomerKey(CustomerId),
    /// A key names two operators.
    #[error("operator {0} has the same key")]
    SharedOperatorKey(String),
    /// No such model.
    #[error("model {0} is not in the configuration")]
    UnknownModel(ModelId),
    /// No such version.
    #[error("model {model} has no version {version}")]
    UnknownVersion {
        /// Name of the model.
        model: ModelId,
        /// Name of the version.
        version: VersionId,
    },
    /// No such plain service.
    #[error("service {0} is not in the configuration")]
    UnknownService(ServiceId),
    /// A roll-out introduces a withdrawn version.
    #[error("version {0} is withdrawn")]
    WithdrawnVersion(VersionId),
    /// A route's prefix is no path.
    #[error("found {0:?}, expected a path that starts with a slash")]
    InvalidPrefix(String),
    /// A route's method is none of HTTP's.
    #[error("found {0:?}, expected GET, HEAD, POST, PUT, PATCH or DELETE")]
    UnsupportedMethod(String),
    /// No version may run the customer's requests.
    #[error("every version that the contract allows is withdrawn or gone")]
    NoServableVersion,
    /// No version is known to reach the quality of a task.
    #[error(
        "task {task} expects quality {expected}, the best version that the contract allows is rated {best}"
    )]
    UnreachableQuality {
        /// Name of the task.
        task: TaskId,
        /// Quality that the task expects.
        expected: f64,
        /// Best prior quality of the allowed versions.
        best: f64,
    },
    /// A zone that goes out has no members: perhaps another one was meant.
    #[error("no member of the fleet is in zone {0}")]
    NoMemberInZone(ZoneId),
    /// All zones that have members are out.
    #[error("no member is left in a zone that is in")]
    AllZonesOut,
}

impl Violation {
    /// Short name for programs.
    ///
    /// ```
    /// assert_eq!(contract::Violation::EmptyList.code(), "empty");
    /// ```
    pub fn code(&self) -> &'static str {
        match self {
            Self::Syntax(_) => "syntax",
            Self::UnknownKind(_) => "kind",
            Self::DuplicateObject(_) => "twice",
            Self::MissingField(_) => "missing",
            Self::UnknownField(_) => "unknown_field",
            Self::WrongType { .. } => "type",
            Self::Schema(_) => "schema",
            Self::OutOfRange { .. } => "range",
            Self::InvalidName(_) => "name",
            Self::DuplicateName(_) => "repeated",
            Self::EmptyList => "empty",
            Self::InvalidDigest => "digest",
            Self::SharedCustomerKey(_) => "shared_key",
            Self::SharedOperatorKey(_) => "shared_access",
            Self::UnknownModel(_) => "unknown_model",
            Self::UnknownVersion { .. } => "unknown_version",
            Self::UnknownService(_) => "unknown_service",
            Self::WithdrawnVersion(_) => "withdrawn",
            Self::InvalidPrefix(_) => "prefix",
            Self::UnsupportedMethod(_) => "method",
            Self::NoServableVersion => "unserved",
            Self::UnreachableQuality { .. } => "quality",
            Self::NoMemberInZone(_) => "no_member",
            Self::AllZonesOut => "no_zone",
        }
    }

    /// Whether the violation stops a change.
    ///
    /// ```
    /// assert_eq!(contract::Violation::NoServableVersion.severity(), contract::Severity::Warning);
    /// ```
    pub fn severity(&self) -> Severity {
        match self {
            Self::NoServableVersion
            | Self::UnreachableQuality { .. }
            | Self::NoMemberInZone(_)
            | Self::AllZonesOut => Severity::Warning,
            _ => Severity::Error,
        }
    }
}
