//! Settings of a node.

pub use crate::generated::{SPECS, Settings};

use crate::error::{Error, Problem};
use crate::spec::{Kind, Spec};
use bpaf::{Args, OptionParser, Parser, long};
use std::fmt::Write;

/// What the command line asks for.
#[derive(Debug)]
pub enum Command {
    /// Print this list of settings and exit.
    Print(String),
    /// Run a node.
    Run(Box<Settings>),
}

/// Source of a value.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Origin {
    Default,
    Environment,
    Flag,
}

impl Origin {
    fn as_str(self) -> &'static str {
        match self {
            Self::Default => "default",
            Self::Environment => "environment",
            Self::Flag => "flag",
        }
    }
}

/// Text of one setting and its source.
struct Input {
    spec: &'static Spec,
    texts: Vec<String>,
    origin: Origin,
}

/// Flags of the command line, not yet parsed by type.
struct Flags {
    print: bool,
    values: Vec<(&'static Spec, Vec<String>)>,
}

/// Reads the flags and environment of this process.
///
/// ```no_run
/// match settings::node::read() {
///     Ok(settings::node::Command::Run(settings)) => println!("node {}", settings.node),
///     Ok(settings::node::Command::Print(list)) => print!("{list}"),
///     Err(error) => error.exit(),
/// }
/// ```
pub fn read() -> Result<Command, Error> {
    parse(Args::current_args(), |name| std::env::var(name).ok())
}

/// Parses flags, and environment variables that are looked up with `env`.
///
/// ```
/// let error = settings::node::parse(&["--http", "nowhere"], |_| None).unwrap_err();
/// assert!(error.to_string().contains("--http (SARDINEBANK_HTTP): found nowhere, expected an address ip:port"));
/// ```
pub fn parse<'a>(
    args: impl Into<Args<'a>>,
    env: impl Fn(&str) -> Option<String>,
) -> Result<Command, Error> {
    let flags = options().run_inner(args).map_err(Error::Usage)?;
    let inputs: Vec<_> = flags
        .values
        .into_iter()
        .map(|(spec, texts)| input(spec, texts, &env))
        .collect();
    let mut settings = Settings::default();
    let mut problems = apply(&mut settings, &inputs);
    problems.extend(check(&settings, &problems));
    if flags.print {
        return Ok(Command::Print(print(&mut settings, &inputs, &problems)));
    }
    if !problems.is_empty() {
        return Err(Error::Invalid(problems));
    }
    Ok(Command::Run(Box::new(settings)))
}

/// Flag and value, with its unit, of each setting; keys are redacted.
///
/// ```
/// let values = settings::node::redacted(&Default::default());
/// assert!(values.contains(&("horizon-ms", "3000 ms".to_owned())));
/// ```
pub fn redacted(settings: &Settings) -> Vec<(&'static str, String)> {
    let mut settings = settings.clone();
    SPECS
        .iter()
        .map(|spec| (spec.flag, format_value(&mut settings, spec)))
        .collect()
}

fn format_value(settings: &mut Settings, spec: &Spec) -> String {
    let value = settings.field(spec.flag).map(|field| field.format());
    match value.filter(|value| !value.is_empty()) {
        Some(value) => format!("{value}{}", spec.unit()),
        None => "-".to_owned(),
    }
}

fn options() -> OptionParser<Flags> {
    let none: Box<dyn Parser<Vec<_>>> = bpaf::pure(Vec::new()).boxed();
    let values = SPECS.iter().fold(none, |list, spec| {
        let value = flag(spec);
        bpaf::construct!(list, value)
            .map(move |(mut list, texts)| {
                list.push((spec, texts));
                list
            })
            .boxed()
    });
    let print = long("print-settings")
        .help("Print each setting, its value and where it came from, and exit")
        .switch();
    bpaf::construct!(Flags { print, values })
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("sardinebank: a node of the model-aware router")
        .footer("Each flag may be given as an environment variable instead; the flag wins. SIGTERM stops the node gracefully, a second one at once.")
}

fn flag(spec: &'static Spec) -> impl Parser<Vec<String>> {
    let default = match (spec.required, spec.default) {
        (true, _) => "required".to_owned(),
        (false, "") => "no default".to_owned(),
        (false, default) => format!("default {default}{}", spec.unit()),
    };
    let repeated = if spec.is_repeatable() {
        ", repeatable; separated by commas in the environment"
    } else {
        ""
    };
    let choices = match spec.choices.is_empty() {
        true => String::new(),
        false => format!(": {}", spec.choices.join(", ")),
    };
    let help = format!("{}{choices} [{default}; {}{repeated}]", spec.help, spec.env);
    long(spec.flag)
        .help(help.as_str())
        .argument::<String>(spec.metavar())
        .many()
}

fn input(spec: &'static Spec, texts: Vec<String>, env: impl Fn(&str) -> Option<String>) -> Input {
    if !texts.is_empty() {
        return Input {
            spec,
            texts,
            origin: Origin::Flag,
        };
    }
    let (texts, origin) = match env(spec.env) {
        Some(text) if spec.is_repeatable() => (
            text.split(',').map(str::to_owned).collect(),
            Origin::Environment,
        ),
        Some(text) => (vec![text], Origin::Environment),
        None => (Vec::new(), Origin::Default),
    };
    Input {
        spec,
        texts,
        origin,
    }
}

fn apply(settings: &mut Settings, inputs: &[Input]) -> Vec<Problem> {
    inputs
        .iter()
        .filter_map(|input| apply_one(settings, input))
        .collect()
}

fn apply_one(settings: &mut Settings, input: &Input) -> Option<Problem> {
    let spec = input.spec;
    if input.origin == Origin::Default {
        return spec
            .required
            .then(|| problem(spec, "nothing".to_owned(), spec.expected()));
    }
    let set = settings
        .field(spec.flag)
        .and_then(|field| field.set(&input.texts, spec));
    if set.is_some() {
        return None;
    }
    Some(problem(spec, found(input), spec.expected()))
}

/// The text that was given, or a description of it if it may contain a key or a password.
fn found(input: &Input) -> String {
    let text = input.texts.join(" ");
    match input.spec.kind {
        Kind::Keys => "a shorter key or other characters".to_owned(),
        Kind::Url if text.contains('@') => "a URL with a user".to_owned(),
        _ => text,
    }
}

fn problem(spec: &Spec, found: String, expected: String) -> Problem {
    Problem {
        flag: spec.flag,
        env: spec.env,
        found,
        expected,
    }
}

/// Checks settings against each other. Settings in `known`, which are invalid by themselves, are
/// skipped.
fn check(settings: &Settings, known: &[Problem]) -> Vec<Problem> {
    let ms = |time: std::time::Duration| format!("{} ms", time.as_millis());
    let mut problems = Vec::new();
    let mut check_less = |flag, time, limit, limit_flag| {
        let already_invalid = known
            .iter()
            .any(|problem| problem.flag == flag || problem.flag == limit_flag);
        if time < limit || already_invalid {
            return;
        }
        let expected = format!("less than --{limit_flag}, which is {}", ms(limit));
        problems.extend(spec(flag).map(|spec| problem(spec, ms(time), expected)));
    };
    check_less(
        "heartbeat-ms",
        settings.heartbeat,
        settings.horizon,
        "horizon-ms",
    );
    check_less("poll-ms", settings.poll, settings.horizon, "horizon-ms");
    check_less("horizon-ms", settings.horizon, settings.lease, "lease-ms");
    let addresses = [
        (
            "advertise-http",
            settings.advertise_http.unwrap_or(settings.http),
        ),
        (
            "advertise-link",
            settings.advertise_link.unwrap_or(settings.link),
        ),
    ];
    for (flag, address) in addresses {
        if address.ip().is_unspecified() {
            let expected = "an address that others can reach".to_owned();
            problems.extend(spec(flag).map(|spec| problem(spec, address.to_string(), expected)));
        }
    }
    problems
}

fn spec(flag: &str) -> Option<&'static Spec> {
    SPECS.iter().find(|spec| spec.flag == flag)
}

fn print(settings: &mut Settings, inputs: &[Input], problems: &[Problem]) -> String {
    let mut out = String::new();
    for input in inputs {
        let spec = input.spec;
        let value = format_value(settings, spec);
        let origin = input.origin.as_str();
        let _ = writeln!(out, "{:<22} {value}  ({origin})", spec.flag);
    }
    for problem in problems {
        let _ = writeln!(out, "wrong: {problem}");
    }
    out
}
