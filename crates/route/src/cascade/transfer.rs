//! How often a larger model is confident where a smaller one was not.

/// Exponents of the candidates, from a model whose confidence hardly depends on that of the smaller one
/// to one that is confident only where the smaller one nearly is.
const EXPONENTS: [f64; 6] = [0.125, 0.5, 1.0, 2.0, 4.0, 8.0];
/// Probabilities of the candidates where the smaller model is just below the threshold.
const CEILINGS: [f64; 4] = [1.0, 0.75, 0.5, 0.25];
const CANDIDATES: usize = EXPONENTS.len() * CEILINGS.len();
/// Exponent that is assumed before any observation, as an index.
const ASSUMED_EXPONENT: usize = 3;
/// Logarithm of the odds between neighbouring candidates before any observation.
const PRIOR_SLOPE: f64 = 1.5;
/// Approximate number of observations that are remembered; older ones decay exponentially.
const MEMORY: f64 = 200.0;
/// Range of the probability of a single observation, so that none rules out a candidate.
const LIKELIHOOD_RANGE: (f64, f64) = (0.02, 0.98);
/// Lowest ratio of a confidence to the threshold that is told apart from zero.
const MIN_RATIO: f64 = 0.02;

/// Probability that one model is confident in its answer to a request, by the confidence of a smaller
/// model, which is below the threshold. Both depend on how hard the request is.
///
/// The probability is `ceiling * ratio.powf(exponent)`, with the ratio of the confidence to the
/// threshold. Ceiling and exponent are learned: each of a few candidates has a weight, which grows if
/// it predicts the answers.
///
/// ```
/// use route::cascade::Transfer;
/// let mut transfer = Transfer::default();
/// let before = transfer.probability(0.5);
/// (0..50).for_each(|_| transfer.record(0.5, true));
/// assert!(transfer.probability(0.5) > before);
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Transfer {
    /// Logarithm of the likelihood of the observations, for each candidate.
    log_likelihoods: [f64; CANDIDATES],
}

impl Default for Transfer {
    fn default() -> Self {
        Self {
            log_likelihoods: [0.0; CANDIDATES],
        }
    }
}

impl Transfer {
    /// Returns the probability that the larger model is confident.
    pub fn probability(&self, ratio: f64) -> f64 {
        let logs = |index: usize| self.log_likelihoods[index] + log_prior(index);
        let most = (0..CANDIDATES).map(logs).fold(f64::MIN, f64::max);
        let probabilities = probabilities(ratio);
        let (weighted, total) = (0..CANDIDATES).fold((0.0, 0.0), |(weighted, total), index| {
            let weight = (logs(index) - most).exp();
            (weighted + weight * probabilities[index], total + weight)
        });
        weighted / total
    }

    /// Records whether the larger model was confident.
    pub fn record(&mut self, ratio: f64, confident: bool) {
        let (least, most) = LIKELIHOOD_RANGE;
        for (log, probability) in self.log_likelihoods.iter_mut().zip(probabilities(ratio)) {
            let probability = probability.clamp(least, most);
            let likelihood = if confident {
                probability
            } else {
                1.0 - probability
            };
            *log = *log * (1.0 - 1.0 / MEMORY) + likelihood.ln();
        }
    }
}

/// Returns the logarithm of a candidate's weight before any observation, up to a constant.
fn log_prior(index: usize) -> f64 {
    let (ceiling, exponent) = (index / EXPONENTS.len(), index % EXPONENTS.len());
    -PRIOR_SLOPE * (ceiling + exponent.abs_diff(ASSUMED_EXPONENT)) as f64
}

/// Returns the probability that each candidate predicts.
fn probabilities(ratio: f64) -> [f64; CANDIDATES] {
    let ratio = ratio.clamp(MIN_RATIO, 1.0);
    let powers = EXPONENTS.map(|exponent| ratio.powf(exponent));
    std::array::from_fn(|index| CEILINGS[index / EXPONENTS.len()] * powers[index % EXPONENTS.len()])
}
