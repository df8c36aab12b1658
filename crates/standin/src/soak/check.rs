//! The promises, checked on what callers and backend servers saw.

use std::collections::BTreeMap;

/// What a caller asked for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// A request that may not be repeated.
    Once,
    /// A request that may be.
    Again,
    /// A stream of events.
    Stream,
}

/// What a caller sent and saw.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Its id.
    pub id: String,
    /// What was asked for.
    pub kind: Kind,
    /// Status of the answer; none when there was none.
    pub status: Option<u16>,
    /// The whole body; none when it broke off.
    pub body: Option<String>,
    /// What came of the body, whole or not.
    pub part: String,
    /// Signature over the answer.
    pub signature: String,
}

/// A run that a backend server began.
#[derive(Clone, Debug)]
pub struct Ran {
    /// Id of the request.
    pub id: String,
    /// Id of the backend server.
    pub server: String,
}

/// A promise that was broken.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Broken {
    /// A request that may not be repeated ran more than once.
    #[error("{id} may not be repeated and ran {runs} times")]
    Twice {
        /// The request.
        id: String,
        /// Its runs.
        runs: usize,
    },
    /// A refusal said that a request hadn't run, and it had.
    #[error("{0} was refused as not run, and ran")]
    Refused(String),
    /// A backend server ran a request that nobody sent.
    #[error("{0} ran, and nobody sent it")]
    Unasked(String),
    /// A caller got the answer of another request, or of a backend server that didn't run it.
    #[error("{0} got an answer that isn't its own")]
    Mixed(String),
    /// Events of a stream are missing, come twice or are in another order.
    #[error("{id} got the events {events:?}")]
    Order {
        /// The request.
        id: String,
        /// The numbers of its events.
        events: Vec<u64>,
    },
    /// A stream that looked whole wasn't.
    #[error("{0} got a stream that ends too soon and looks whole")]
    Short(String),
    /// The fleet didn't come back after the last fault.
    #[error("node {node} doesn't serve {kind:?} after the last fault")]
    Recovery {
        /// The node.
        node: usize,
        /// What it doesn't serve.
        kind: Kind,
    },
}

/// Checks the promises on a whole history. Streams have this many events.
///
/// ```
/// use standin::soak::{Broken, Ran, check};
/// let ran = Ran { id: "r".into(), server: "s".into() };
/// assert_eq!(check(&[], &[ran], 5), [Broken::Unasked("r".into())]);
/// ```
pub fn check(attempts: &[Attempt], runs: &[Ran], events: u64) -> Vec<Broken> {
    let mut servers: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for run in runs {
        servers.entry(&run.id).or_default().push(&run.server);
    }
    let mut broken = Vec::new();
    for attempt in attempts {
        let ran = servers.remove(attempt.id.as_str()).unwrap_or_default();
        broken.extend(check_one(attempt, &ran, events));
    }
    broken.extend(servers.into_keys().map(|id| Broken::Unasked(id.to_owned())));
    broken
}

fn check_one(attempt: &Attempt, ran: &[&str], events: u64) -> Vec<Broken> {
    let id = || attempt.id.clone();
    let mut broken = Vec::new();
    if attempt.kind == Kind::Once && ran.len() > 1 {
        broken.push(Broken::Twice {
            id: id(),
            runs: ran.len(),
        });
    }
    let refused = matches!(attempt.status, Some(408 | 421 | 429 | 503));
    if attempt.kind == Kind::Once && refused && !ran.is_empty() {
        broken.push(Broken::Refused(id()));
    }
    if attempt.status != Some(200) {
        return broken;
    }
    let signed = attempt.signature.strip_prefix("seal.").unwrap_or_default();
    let own = match (&attempt.body, attempt.kind) {
        (Some(body), Kind::Once | Kind::Again) => body.ends_with(&format!("to {}", attempt.id)),
        _ => true,
    };
    if !own || !ran.contains(&signed) {
        broken.push(Broken::Mixed(id()));
    }
    if attempt.kind == Kind::Stream {
        let numbers = numbers(&attempt.part);
        if numbers
            .iter()
            .zip(1..)
            .any(|(number, place)| *number != place)
        {
            broken.push(Broken::Order {
                id: id(),
                events: numbers,
            });
        } else if attempt.body.is_some() && numbers.len() as u64 != events {
            broken.push(Broken::Short(id()));
        }
    }
    broken
}

/// The numbers of the whole events in a stream.
fn numbers(text: &str) -> Vec<u64> {
    let events = text
        .split_inclusive("\n\n")
        .filter(|event| event.ends_with("\n\n"));
    let ids = events.filter_map(|event| event.lines().find_map(|line| line.strip_prefix("id: ")));
    ids.filter_map(|id| id.parse().ok()).collect()
}
