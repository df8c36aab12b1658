//! Which fault applies to the next call.

use serde::{Deserialize, Serialize};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// What goes wrong.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Calls are refused and have no effect.
    Down,
    /// Calls take effect, but their answers are lost.
    Lose,
    /// Calls wait before they take effect.
    Slow,
}

/// One fault, bounded in count, in time, or not at all.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Fault {
    /// What goes wrong.
    pub kind: Kind,
    /// How many calls it strikes.
    #[serde(default)]
    pub count: Option<u64>,
    /// How long it lasts from now.
    #[serde(default)]
    pub duration_ms: Option<u64>,
    /// How long a struck call waits.
    #[serde(default)]
    pub delay_ms: u64,
    /// Only operations whose name or key contains this text are struck.
    #[serde(default)]
    pub matching: Option<String>,
}

/// What happens to one call.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Effect {
    /// Time to wait first.
    pub delay: Duration,
    /// The call is refused without effect.
    pub refuse: bool,
    /// The answer is lost after the call took effect.
    pub lose: bool,
}

/// The faults in force.
#[derive(Debug, Default)]
pub struct Injector {
    faults: Mutex<Vec<(Fault, Option<Instant>)>>,
}

impl Fault {
    /// A fault without bounds.
    ///
    /// ```
    /// use standin::fault::{Fault, Kind};
    /// let twice = Fault { count: Some(2), ..Fault::new(Kind::Lose) };
    /// assert_eq!(twice.kind, Kind::Lose);
    /// ```
    pub fn new(kind: Kind) -> Self {
        Self {
            kind,
            count: None,
            duration_ms: None,
            delay_ms: 0,
            matching: None,
        }
    }
}

impl Injector {
    /// Adds a fault.
    ///
    /// ```
    /// use standin::fault::{Fault, Injector, Kind};
    /// use std::time::Instant;
    /// let injector = Injector::default();
    /// let now = Instant::now();
    /// injector.add(Fault { count: Some(1), ..Fault::new(Kind::Down) }, now);
    /// assert!(injector.apply("PutItem config", now).refuse);
    /// assert!(!injector.apply("PutItem config", now).refuse);
    /// ```
    pub fn add(&self, fault: Fault, now: Instant) {
        let until = fault
            .duration_ms
            .map(|millis| now + Duration::from_millis(millis));
        self.lock().push((fault, until));
    }

    /// Removes all faults.
    pub fn clear(&self) {
        self.lock().clear();
    }

    /// The faults in force.
    pub fn list(&self) -> Vec<Fault> {
        self.lock().iter().map(|(fault, _)| fault.clone()).collect()
    }

    /// Decides about one call and counts it against the faults that strike it.
    pub fn apply(&self, operation: &str, now: Instant) -> Effect {
        let mut faults = self.lock();
        faults.retain(|(fault, until)| {
            until.is_none_or(|until| now < until) && fault.count != Some(0)
        });
        let mut effect = Effect::default();
        for (fault, _) in faults.iter_mut() {
            let matching = fault.matching.as_deref();
            if !matching.is_none_or(|text| operation.contains(text)) {
                continue;
            }
            fault.count = fault.count.map(|count| count.saturating_sub(1));
            effect.delay += Duration::from_millis(fault.delay_ms);
            effect.refuse |= fault.kind == Kind::Down;
            effect.lose |= fault.kind == Kind::Lose;
        }
        effect
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<(Fault, Option<Instant>)>> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
