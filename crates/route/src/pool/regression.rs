//! Linear regression over recent observations.

/// Approximate number of observations that are remembered; older ones decay exponentially.
const MEMORY: f64 = 400.0;
/// Weight of the prior, in observations at each of its two points.
const PRIOR_WEIGHT: f64 = 4.0;
/// Factor on the predicted value at which observations are capped.
const MAX_FACTOR: f64 = 3.0;
/// Fraction of the prior's intercept and slope below which the fit never falls, however much the
/// observations scatter.
const MIN_FRACTION: f64 = 0.2;

/// Line that is assumed before any observation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prior {
    /// Value at zero.
    pub intercept: f64,
    /// Increase per unit of `x`.
    pub slope: f64,
    /// Typical `x` of observations. The prior counts as observations at zero and at twice this value.
    pub typical: f64,
}

/// Least-squares line through observations, of which a few outweigh the prior.
///
/// ```
/// use route::pool::{Prior, Regression};
/// let mut line = Regression::new(Prior { intercept: 1.0, slope: 1.0, typical: 10.0 });
/// assert!((line.predict(10.0) - 11.0).abs() < 1e-6);
/// (0..200).for_each(|index| line.add(f64::from(index % 20), 4.0 + 0.5 * f64::from(index % 20)));
/// assert!((line.slope() - 0.5).abs() < 0.1);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Regression {
    prior: Prior,
    count: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl Regression {
    /// Creates a regression that knows only the prior.
    pub fn new(prior: Prior) -> Self {
        Self {
            prior,
            count: 0.0,
            x: 0.0,
            y: 0.0,
            xx: 0.0,
            xy: 0.0,
        }
    }

    /// Adds an observation.
    pub fn add(&mut self, x: f64, y: f64) {
        let y = y.min(MAX_FACTOR * self.predict(x));
        let keep = 1.0 - 1.0 / MEMORY;
        for sum in [
            &mut self.count,
            &mut self.x,
            &mut self.y,
            &mut self.xx,
            &mut self.xy,
        ] {
            *sum *= keep;
        }
        self.count += 1.0;
        self.x += x;
        self.y += y;
        self.xx += x * x;
        self.xy += x * y;
    }

    /// Returns the increase per unit of `x`.
    pub fn slope(&self) -> f64 {
        self.fit().1
    }

    /// Returns the value at zero.
    pub fn intercept(&self) -> f64 {
        self.fit().0
    }

    /// Returns the value at `x`.
    pub fn predict(&self, x: f64) -> f64 {
        let (intercept, slope) = self.fit();
        intercept + slope * x
    }

    /// Returns the intercept and the slope.
    fn fit(&self) -> (f64, f64) {
        let Prior {
            intercept,
            slope,
            typical,
        } = self.prior;
        let far = 2.0 * typical;
        let far_y = intercept + slope * far;
        let count = self.count + 2.0 * PRIOR_WEIGHT;
        let x = self.x + PRIOR_WEIGHT * far;
        let y = self.y + PRIOR_WEIGHT * (intercept + far_y);
        let xx = self.xx + PRIOR_WEIGHT * far * far;
        let xy = self.xy + PRIOR_WEIGHT * far * far_y;
        let spread = xx - x * x / count;
        let fitted_slope = ((xy - x * y / count) / spread).max(MIN_FRACTION * slope);
        let fitted_intercept = ((y - fitted_slope * x) / count).max(MIN_FRACTION * intercept);
        (fitted_intercept, fitted_slope)
    }
}
