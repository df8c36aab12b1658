//! Settings of a node.

pub use crate::generated::{SPECS, Settings};

use crate::error::{Error, Problem};
use crate::spec::{Kind, Spec};
use bpaf::{Args, OptionParser, Parser, long};
use std::fmt::Write;

/// What the command line asks for.
#[derive(Debug)]
pub enum Command {
    /// Print this list of settings and end.
    Print(String),
    /// Run a node.
    Run(Box<Settings>),
}

/// Where a value came from.
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

/// Text given for one setting.
struct Given {
    spec: &'static Spec,
    texts: Vec<String>,
    origin: Origin,
}

/// Flags as they were typed.
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

/// Reads flags, and the environment by way of a function.
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
    let given: Vec<_> = flags
        .values
        .into_iter()
        .map(|(spec, texts)| given(spec, texts, &env))
        .collect();
    let mut settings = Settings::default();
    let mut problems = apply(&mut settings, &given);
    problems.extend(check(&settings, &problems));
    if flags.print {
        return Ok(Command::Print(print(&mut settings, &given, &problems)));
    }
    if !problems.is_empty() {
        return Err(Error::Invalid(problems));
    }
    Ok(Command::Run(Box::new(settings)))
}

/// Each setting as flag and value with its unit; keys are redacted.
///
/// ```
/// let shown = settings::node::redacted(&Default::default());
/// assert!(shown.contains(&("horizon-ms", "3000 ms".to_owned())));
/// ```
pub fn redacted(settings: &Settings) -> Vec<(&'static str, String)> {
    let mut settings = settings.clone();
    SPECS
        .iter()
        .map(|spec| (spec.flag, show(&mut settings, spec)))
        .collect()
}

fn show(settings: &mut Settings, spec: &Spec) -> String {
    let value = settings.field(spec.flag).map(|field| field.show());
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
    let repeated = if spec.repeated() {
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

fn given(spec: &'static Spec, texts: Vec<String>, env: impl Fn(&str) -> Option<String>) -> Given {
    if !texts.is_empty() {
        return Given {
            spec,
            texts,
            origin: Origin::Flag,
        };
    }
    let (texts, origin) = match env(spec.env) {
        Some(text) if spec.repeated() => (
            text.split(',').map(str::to_owned).collect(),
            Origin::Environment,
        ),
        Some(text) => (vec![text], Origin::Environment),
        None => (Vec::new(), Origin::Default),
    };
    Given {
        spec,
        texts,
        origin,
    }
}

fn apply(settings: &mut Settings, given: &[Given]) -> Vec<Problem> {
    given
        .iter()
        .filter_map(|one| problem(settings, one))
        .collect()
}

fn problem(settings: &mut Settings, given: &Given) -> Option<Problem> {
    let spec = given.spec;
    if given.origin == Origin::Default {
        return spec
            .required
            .then(|| wrong(spec, "nothing".to_owned(), spec.expected()));
    }
    let set = settings
        .field(spec.flag)
        .and_then(|field| field.set(&given.texts, spec));
    if set.is_some() {
        return None;
    }
    Some(wrong(spec, found(given), spec.expected()))
}

/// What was given, unless it may hold a key or a password.
fn found(given: &Given) -> String {
    let text = given.texts.join(" ");
    match given.spec.kind {
        Kind::Keys => "a shorter key or other characters".to_owned(),
        Kind::Url if text.contains('@') => "a URL with a user".to_owned(),
        _ => text,
    }
}

fn wrong(spec: &Spec, found: String, expected: String) -> Problem {
    Problem {
        flag: spec.flag,
        env: spec.env,
        found,
        expected,
    }
}

/// Checks settings against each other; those that are wrong by themselves are left out.
fn check(settings: &Settings, known: &[Problem]) -> Vec<Problem> {
    let ms = |time: std::time::Duration| format!("{} ms", time.as_millis());
    let mut problems = Vec::new();
    let mut less = |flag, time, limit, limit_flag| {
        let wrong_alone = known
            .iter()
            .any(|problem| problem.flag == flag || problem.flag == limit_flag);
        if time < limit || wrong_alone {
            return;
        }
        let expected = format!("less than --{limit_flag}, which is {}", ms(limit));
        problems.extend(spec(flag).map(|spec| wrong(spec, ms(time), expected)));
    };
    less(
        "heartbeat-ms",
        settings.heartbeat,
        settings.horizon,
        "horizon-ms",
    );
    less("poll-ms", settings.poll, settings.horizon, "horizon-ms");
    less("horizon-ms", settings.horizon, settings.lease, "lease-ms");
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
            problems.extend(spec(flag).map(|spec| wrong(spec, address.to_string(), expected)));
        }
    }
    problems
}

fn spec(flag: &str) -> Option<&'static Spec> {
    SPECS.iter().find(|spec| spec.flag == flag)
}

fn print(settings: &mut Settings, given: &[Given], problems: &[Problem]) -> String {
    let mut out = String::new();
    for one in given {
        let spec = one.spec;
        let value = show(settings, spec);
        let origin = one.origin.as_str();
        let _ = writeln!(out, "{:<22} {value}  ({origin})", spec.flag);
    }
    for problem in problems {
        let _ = writeln!(out, "wrong: {problem}");
    }
    out
}
