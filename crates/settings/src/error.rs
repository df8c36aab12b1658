//! Errors of settings and of the logger.

use std::fmt;

/// Reason why settings can't be used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The command line can't be parsed, or it asks for help; `exit` prints either.
    #[error("{}", message(.0))]
    Usage(bpaf::ParseFailure),
    /// Some settings are invalid; all of them are listed.
    #[error("{}", list(.0))]
    Invalid(Vec<Problem>),
    /// A global logger is already installed.
    #[error("logger: {0}")]
    Logger(#[from] log::SetLoggerError),
    /// The writer thread of the log can't be started.
    #[error("can't start the log writer thread: {0}")]
    Thread(#[from] std::io::Error),
}

/// One invalid setting.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Problem {
    /// Flag of the setting.
    pub flag: &'static str,
    /// Environment variable of the setting.
    pub env: &'static str,
    /// The text that was found; keys are redacted.
    pub found: String,
    /// Description of the valid values.
    pub expected: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "--{} ({}): found {}, expected {}",
            self.flag, self.env, self.found, self.expected
        )
    }
}

impl Error {
    /// Prints the error or the requested help and exits the process. The exit status is 0 after help
    /// and 1 for an invalid command line or invalid settings.
    pub fn exit(self) -> ! {
        let status = match self {
            Self::Usage(failure) => {
                failure.print_message(HELP_WIDTH);
                failure.exit_code()
            }
            other => {
                eprintln!("{other}");
                1
            }
        };
        std::process::exit(status)
    }
}

/// Width of the help in characters.
const HELP_WIDTH: usize = 100;

fn message(failure: &bpaf::ParseFailure) -> String {
    match failure {
        bpaf::ParseFailure::Completion(text) => text.clone(),
        bpaf::ParseFailure::Stderr(doc) | bpaf::ParseFailure::Stdout(doc, _) => {
            doc.monochrome(true)
        }
    }
}

fn list(problems: &[Problem]) -> String {
    let lines: Vec<_> = problems.iter().map(Problem::to_string).collect();
    format!("{} wrong:\n  {}", count(problems.len()), lines.join("\n  "))
}

fn count(number: usize) -> String {
    match number {
        1 => "1 setting is".to_owned(),
        _ => format!("{number} settings are"),
    }
}
