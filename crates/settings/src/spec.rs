//! Descriptions of settings.

/// Minimum length of a key in characters.
pub const MIN_KEY_CHARS: usize = 16;

/// Maximum length of a name in characters.
pub const MAX_NAME_CHARS: usize = 64;

/// Type of a setting's value.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// An IP address and a port.
    Address,
    /// IP addresses and ports; the flag may be repeated.
    Addresses,
    /// A number of bytes.
    Bytes,
    /// One of the choices.
    Choice,
    /// A number without a unit.
    Count,
    /// A filter of log events.
    Filter,
    /// Keys; the flag may be repeated.
    Keys,
    /// A time in milliseconds.
    Milliseconds,
    /// A name.
    Name,
    /// A URL.
    Url,
}

/// One setting: its flag, environment variable, bounds and default.
#[derive(Clone, Copy, Debug)]
pub struct Spec {
    /// Long flag without dashes.
    pub flag: &'static str,
    /// Environment variable.
    pub env: &'static str,
    /// Type of the value.
    pub kind: Kind,
    /// Default as text; empty if there is none.
    pub default: &'static str,
    /// Allowed values of a `Kind::Choice`; empty for other kinds.
    pub choices: &'static [&'static str],
    /// Whether a value must be given.
    pub required: bool,
    /// Smallest number allowed.
    pub minimum: u64,
    /// Largest number allowed.
    pub maximum: u64,
    /// Help text.
    pub help: &'static str,
}

impl Spec {
    /// Describes the valid values, for error messages.
    ///
    /// ```
    /// let spec = settings::node::SPECS.iter().find(|spec| spec.flag == "http").unwrap();
    /// assert_eq!(spec.expected(), "an address ip:port");
    /// ```
    pub fn expected(&self) -> String {
        let (low, high) = (self.minimum, self.maximum);
        match self.kind {
            Kind::Address | Kind::Addresses => "an address ip:port".to_owned(),
            Kind::Bytes => format!("a number of bytes from {low} to {high}"),
            Kind::Choice => self.choices.join(" or "),
            Kind::Count => format!("a number from {low} to {high}"),
            Kind::Filter => "a filter such as info or warn,sardinebank=debug".to_owned(),
            Kind::Keys => format!("a key of at least {MIN_KEY_CHARS} printable characters"),
            Kind::Milliseconds => format!("milliseconds from {low} to {high}"),
            Kind::Name => format!(
                "a name of 1 to {MAX_NAME_CHARS} letters, digits, dots, dashes or underscores"
            ),
            Kind::Url => "a URL that starts with http:// and names no user".to_owned(),
        }
    }

    /// Placeholder of the value in the help.
    pub(crate) fn metavar(&self) -> &'static str {
        match self.kind {
            Kind::Address | Kind::Addresses => "IP:PORT",
            Kind::Bytes => "BYTES",
            Kind::Choice => "CHOICE",
            Kind::Count => "N",
            Kind::Filter => "FILTER",
            Kind::Keys => "KEY",
            Kind::Milliseconds => "MS",
            Kind::Name => "NAME",
            Kind::Url => "URL",
        }
    }

    /// Unit of the value, if it has one.
    pub(crate) fn unit(&self) -> &'static str {
        match self.kind {
            Kind::Bytes => " bytes",
            Kind::Milliseconds => " ms",
            _ => "",
        }
    }

    /// Whether the flag may be repeated.
    pub(crate) fn is_repeatable(&self) -> bool {
        matches!(self.kind, Kind::Addresses | Kind::Keys)
    }
}
