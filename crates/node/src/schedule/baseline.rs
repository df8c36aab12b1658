//! What baselines leave to choose from.

use crate::schedule::Policy;
use crate::schedule::requirements::Offered;

impl Policy {
    /// The versions that a baseline leaves to choose from.
    pub(super) fn narrow<'a>(self, offered: &[(Offered<'a>, bool)]) -> Vec<(Offered<'a>, bool)> {
        let price = |version: &contract::Version| version.input_micros + version.output_micros;
        let ready = offered.iter().filter(|(_, ready)| *ready);
        let one = match self {
            Self::Best => ready.max_by(|((_, a), _), ((_, b), _)| {
                let prior = |one: &contract::Version| one.quality.unwrap_or(0.5);
                prior(a).total_cmp(&prior(b))
            }),
            Self::Cheapest => ready.min_by_key(|((_, version), _)| price(version)),
            _ => None,
        };
        one.map_or_else(|| offered.to_vec(), |one| vec![*one])
    }
}
