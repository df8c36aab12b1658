//! Selects the faults that apply to each call.

use serde::{Deserialize, Serialize};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Kind of fault.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Calls are refused without being executed.
    Down,
    /// Calls are executed, but their responses are lost.
    Lose,
    /// Calls are delayed before they are executed.
    Slow,
}

/// A fault, optionally limited to a number of calls or to a period.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Fault {
    /// Kind of fault.
    pub kind: Kind,
    /// Number of calls affected; unlimited if unset.
    #[serde(default)]
    pub count: Option<u64>,
    /// Duration since the fault was added; unlimited if unset.
    #[serde(default)]
    pub duration_ms: Option<u64>,
    /// Delay of each affected call.
    #[serde(default)]
    pub delay_ms: u64,
    /// Restricts the fault to operations whose description contains this text.
    #[serde(default)]
    pub matching: Option<String>,
}

/// Combined effect of the active faults on one call.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Effect {
    /// Delay before the call is executed.
    pub delay: Duration,
    /// The call is refused without being executed.
    pub refuse: bool,
    /// The call is executed, but its response is lost.
    pub lose: bool,
}

/// Set of active faults.
#[derive(Debug, Default)]
pub struct Injector {
    faults: Mutex<Vec<(Fault, Option<Instant>)>>,
}

impl Fault {
    /// Creates a fault without limits.
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
    /// Adds a fault that is active from `now` on.
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
        let expires_at = fault
            .duration_ms
            .map(|millis| now + Duration::from_millis(millis));
        self.lock().push((fault, expires_at));
    }

    /// Removes all faults.
    pub fn clear(&self) {
        self.lock().clear();
    }

    /// Returns the faults that have not been removed. It may include expired faults, which only
    /// `apply` removes.
    pub fn list(&self) -> Vec<Fault> {
        self.lock().iter().map(|(fault, _)| fault.clone()).collect()
    }

    /// Returns the effect of the active faults on a call and counts the call against each fault
    /// that matches it.
    pub fn apply(&self, operation: &str, now: Instant) -> Effect {
        let mut faults = self.lock();
        faults.retain(|(fault, expires_at)| {
            expires_at.is_none_or(|expires_at| now < expires_at) && fault.count != Some(0)
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
