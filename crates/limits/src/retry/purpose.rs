//! What a further send of a request is for.

/// What a further send of a request is for, most important first. While little of the budget is left,
/// the less important ones are denied first, so that a burst of them leaves enough for the others.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Purpose {
    /// The request has no answer and no attempt in progress.
    Recovery,
    /// The answer has begun, and its backend server has been silent for long.
    Resumption,
    /// The answer of a small model is doubtful, and a larger one is asked.
    Escalation,
    /// A backend server is slow, and another one is asked although the first may still answer.
    Hedge,
}

/// Parts of the budget up to which each purpose may be served.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shares {
    /// Of resumptions.
    pub resumption: f64,
    /// Of escalations.
    pub escalation: f64,
    /// Of hedges.
    pub hedge: f64,
}

impl Shares {
    /// Returns the part of the budget up to which a purpose may be served.
    ///
    /// ```
    /// use limits::retry::{Purpose, Shares};
    /// let shares = Shares::default();
    /// assert_eq!(shares.of(Purpose::Recovery), 1.0);
    /// assert!(shares.of(Purpose::Escalation) > shares.of(Purpose::Hedge));
    /// ```
    pub fn of(self, purpose: Purpose) -> f64 {
        match purpose {
            Purpose::Recovery => 1.0,
            Purpose::Resumption => self.resumption,
            Purpose::Escalation => self.escalation,
            Purpose::Hedge => self.hedge,
        }
    }
}

impl Default for Shares {
    /// A fifth is reserved for requests whose server is lost: a crash of many servers needs that much at
    /// once. Hedges stop first, since a slow answer is worth more to its caller than a wrong one or none.
    fn default() -> Self {
        Self {
            resumption: 0.9,
            escalation: 0.8,
            hedge: 0.7,
        }
    }
}

impl Purpose {
    /// Name in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Recovery => "recovery",
            Self::Resumption => "resumption",
            Self::Escalation => "escalation",
            Self::Hedge => "hedge",
        }
    }
}
