//! A straight line through observations.

/// Observations that a line remembers, roughly: older ones fade.
const MEMORY: f64 = 400.0;
/// Weight of the prior, in observations at each of its two points.
const PRIOR_WEIGHT: f64 = 4.0;
/// Largest multiple of the expected value that an observation counts as.
const MOST: f64 = 3.0;
/// Least part of the prior's base and slope that the line keeps, however observations scatter.
const LEAST: f64 = 0.2;

/// A straight line that is known before any observation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prior {
    /// Value at zero.
    pub intercept: f64,
    /// What one unit adds.
    pub slope: f64,
    /// Where observations are usual: the prior counts as some at zero and at twice this.
    pub typical: f64,
}

/// A straight line through observations, by least squares. A few of them outweigh the prior.
///
/// ```
/// use route::pool::{Line, Prior};
/// let mut line = Line::new(Prior { base: 1.0, slope: 1.0, usual: 10.0 });
/// assert!((line.at(10.0) - 11.0).abs() < 1e-6);
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
    /// The prior alone.
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

    /// Takes in an observation.
    pub fn add(&mut self, x: f64, y: f64) {
        let y = y.min(MOST * self.predict(x));
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

    /// What one unit adds.
    pub fn slope(&self) -> f64 {
        self.fit().1
    }

    /// Value at zero.
    pub fn intercept(&self) -> f64 {
        self.fit().0
    }

    /// Value on the line.
    pub fn predict(&self, x: f64) -> f64 {
        let (base, slope) = self.fit();
        base + slope * x
    }

    fn fit(&self) -> (f64, f64) {
        let Prior {
            intercept: base,
            slope,
            typical: usual,
        } = self.prior;
        let far = 2.0 * usual;
        let far_y = base + slope * far;
        let count = self.count + 2.0 * PRIOR_WEIGHT;
        let x = self.x + PRIOR_WEIGHT * far;
        let y = self.y + PRIOR_WEIGHT * (base + far_y);
        let xx = self.xx + PRIOR_WEIGHT * far * far;
        let xy = self.xy + PRIOR_WEIGHT * far * far_y;
        let spread = xx - x * x / count;
        let fitted = ((xy - x * y / count) / spread).max(LEAST * slope);
        let fitted_base = ((y - fitted * x) / count).max(LEAST * base);
        (fitted_base, fitted)
    }
}
