//! Version filters of the baseline policies.

use crate::schedule::Policy;
use crate::schedule::requirements::Offered;

impl Policy {
    /// Restricts the offered versions to the one that a baseline policy always uses. Other policies,
    /// and baselines for which no version is ready, keep all of them.
    pub(super) fn restrict<'a>(self, offered: &[(Offered<'a>, bool)]) -> Vec<(Offered<'a>, bool)> {
        let price = |version: &contract::Version| version.input_micros + version.output_micros;
        let ready = offered.iter().filter(|(_, ready)| *ready);
        let only = match self {
            Self::Best => ready.max_by(|((_, a), _), ((_, b), _)| {
                let prior = |version: &contract::Version| version.quality.unwrap_or(0.5);
                prior(a).total_cmp(&prior(b))
            }),
            Self::Cheapest => ready.min_by_key(|((_, version), _)| price(version)),
            _ => None,
        };
        only.map_or_else(|| offered.to_vec(), |only| vec![*only])
    }
}
