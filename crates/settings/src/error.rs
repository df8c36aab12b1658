//! What can be wrong with settings.

use std::fmt;

/// Why settings can't be used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The command line can't be read, or it asked for help; both are printed by `exit`.
    #[error("{}", message(.0))]
    Usage(bpaf::ParseFailure),
    /// Settings are wrong; all of them are named.
    #[error("{}", list(.0))]
    Invalid(Vec<Problem>),
    /// A logger stands already.
    #[error("logger: {0}")]
    Logger(#[from] log::SetLoggerError),
    /// The thread that writes log lines can't be started.
    #[error("thread of the log: {0}")]
    Thread(#[from] std::io::Error),
}

/// One wrong setting.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Problem {
    /// Flag of the setting.
    pub flag: &'static str,
    /// Environment variable of the setting.
    pub env: &'static str,
    /// What was found; keys are redacted.
    pub found: String,
    /// What was expected.
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
    /// Prints the error, or the help that was asked for, and ends the process.
    /// Exit status: 0 after help, 1 for a wrong command line or wrong settings.
    pub fn exit(self) -> ! {
        let code = match self {
            Self::Usage(failure) => {
                failure.print_message(HELP_WIDTH);
                failure.exit_code()
            }
            other => {
                eprintln!("{other}");
                1
            }
        };
        std::process::exit(code)
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
