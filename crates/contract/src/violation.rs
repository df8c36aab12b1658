//! Validation rules of the configuration.

use crate::{CustomerId, ModelId, ObjectKey, ServiceId, Severity, TaskId, VersionId, ZoneId};

/// A validation rule that a part of an object breaks.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Violation {
    /// The file isn't valid TOML.
    #[error("not TOML: {0}")]
    Syntax(String),
    /// The kind of object is unknown.
    #[error(
        "{0} is not a kind of object; kinds are contract, model, service, withdrawal, rollout, zone, member and access"
    )]
    UnknownKind(String),
    /// The files define the same object twice.
    #[error("{0} stands in the files twice")]
    DuplicateObject(ObjectKey),
    /// A required field is missing.
    #[error("{0} is missing")]
    MissingField(String),
    /// The schema has no such field.
    #[error("{0} is not a known field")]
    UnknownField(String),
    /// A value has the wrong type.
    #[error("found {found}, expected {expected}")]
    WrongType {
        /// The value as JSON.
        found: String,
        /// Type required by the schema.
        expected: String,
    },
    /// A value breaks another rule of the schema, given as the validator's message.
    #[error("{0}")]
    Schema(String),
    /// A number is outside its allowed range.
    #[error("found {found}, expected {low} to {high}")]
    OutOfRange {
        /// The number.
        found: f64,
        /// Smallest number allowed.
        low: f64,
        /// Largest number allowed.
        high: f64,
    },
    /// A name is too long or contains characters that aren't allowed.
    #[error("found {0:?}, expected a name of 1 to 64 letters, digits, dots, dashes or underscores")]
    InvalidName(String),
    /// A list contains the same name twice.
    #[error("{0} stands in the list twice")]
    DuplicateName(String),
    /// A list that needs at least one element is empty.
    #[error("the list is empty")]
    EmptyList,
    /// The digest of a key isn't a lower-case hexadecimal SHA-256 digest.
    #[error("not a digest; `sardinectl key` makes one: 64 hexadecimal digits in lower case")]
    InvalidDigest,
    /// Two customers have the same key.
    #[error("customer {0} has the same key")]
    SharedCustomerKey(CustomerId),
    /// Two operators have the same key.
    #[error("operator {0} has the same key")]
    SharedOperatorKey(String),
    /// A reference to a model that doesn't exist.
    #[error("model {0} is not in the configuration")]
    UnknownModel(ModelId),
    /// A reference to a model version that doesn't exist.
    #[error("model {model} has no version {version}")]
    UnknownVersion {
        /// Name of the model.
        model: ModelId,
        /// Name of the version.
        version: VersionId,
    },
    /// A reference to a plain service that doesn't exist.
    #[error("service {0} is not in the configuration")]
    UnknownService(ServiceId),
    /// The target of a roll-out is withdrawn.
    #[error("version {0} is withdrawn")]
    WithdrawnVersion(VersionId),
    /// The prefix of a route doesn't start with a slash.
    #[error("found {0:?}, expected a path that starts with a slash")]
    InvalidPrefix(String),
    /// The method of a route isn't a supported HTTP method.
    #[error("found {0:?}, expected GET, HEAD, POST, PUT, PATCH or DELETE")]
    UnsupportedMethod(String),
    /// A contract allows models, but no version of them is left to serve it.
    #[error("every version that the contract allows is withdrawn or gone")]
    NoServableVersion,
    /// No allowed version has a prior quality as high as a task requires.
    #[error(
        "task {task} expects quality {expected}, the best version that the contract allows is rated {best}"
    )]
    UnreachableQuality {
        /// Name of the task.
        task: TaskId,
        /// Quality that the task requires.
        expected: f64,
        /// Highest prior quality among the allowed versions.
        best: f64,
    },
    /// A zone taken out has no members, which suggests a mistyped zone name.
    #[error("no member of the fleet is in zone {0}")]
    NoMemberInZone(ZoneId),
    /// Every zone that has members is taken out.
    #[error("no member is left in a zone that is in")]
    AllZonesOut,
}

impl Violation {
    /// Machine-readable code, as returned by the operator API.
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

    /// Whether the violation rejects a change or only warns about it.
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
