//! The models that may answer a request, and what they cost.

use crate::Model;
use crate::config::Price;

/// Time of the smallest model in relation to a medium-sized one.
const SMALLEST_TIME: f64 = 0.3;
/// Time of a model in relation to the next smaller one.
const SIZE_FACTOR: f64 = 3.2;

/// The models that may answer a request, the smallest first, and the operator's prices.
#[derive(Clone, Copy, Debug)]
pub struct Sizes<'a> {
    models: &'a [Model],
    prices: &'a [Price],
}

impl<'a> Sizes<'a> {
    /// Creates the sizes. If a model has no usable price, its time counts as its cost, and that of
    /// all others.
    ///
    /// ```
    /// use route::cascade::Sizes;
    /// let models = ["small".to_owned(), "large".to_owned()];
    /// assert_eq!(Sizes::new(&models, &[]).smallest(), Some("small"));
    /// ```
    pub fn new(models: &'a [Model], prices: &'a [Price]) -> Self {
        let priced = models.iter().all(|model| price(prices, model).is_some());
        Self {
            models,
            prices: if priced { prices } else { &[] },
        }
    }

    /// Returns the models, the smallest first.
    pub fn models(&self) -> &'a [Model] {
        self.models
    }

    /// Returns the smallest model.
    pub fn smallest(&self) -> Option<&'a str> {
        self.models.first().map(Model::as_str)
    }

    /// Returns the position of a model, the smallest first.
    ///
    /// ```
    /// use route::cascade::Sizes;
    /// let models = ["small".to_owned(), "large".to_owned()];
    /// assert_eq!(Sizes::new(&models, &[]).position("large"), Some(1));
    /// ```
    pub fn position(&self, model: &str) -> Option<usize> {
        self.models.iter().position(|name| name == model)
    }

    /// Returns the cost of the model at a position, in a unit that is the same for all models.
    ///
    /// ```
    /// use route::cascade::Sizes;
    /// use route::config::Price;
    /// let models = ["small".to_owned(), "large".to_owned()];
    /// let price = |model: &str, cost| Price { model: model.to_owned(), cost };
    /// let prices = [price("small", 0.1), price("large", 1.0)];
    /// assert_eq!(Sizes::new(&models, &prices).cost(1), 1.0);
    /// ```
    pub fn cost(&self, index: usize) -> f64 {
        let model = &self.models[index];
        price(self.prices, model).unwrap_or_else(|| relative_time(index))
    }

    /// Returns the estimated time of the model at a position in relation to a medium-sized one.
    pub fn time(&self, index: usize) -> f64 {
        relative_time(index)
    }

    /// Returns the estimated time of a model in relation to a medium-sized one.
    ///
    /// ```
    /// use route::cascade::Sizes;
    /// let models = ["small".to_owned(), "large".to_owned()];
    /// assert_eq!(Sizes::new(&models, &[]).relative_time("small"), 0.3);
    /// ```
    pub fn relative_time(&self, model: &str) -> f64 {
        relative_time(self.position(model).unwrap_or(0))
    }
}

fn relative_time(index: usize) -> f64 {
    SMALLEST_TIME * SIZE_FACTOR.powi(index as i32)
}

/// Returns the price of a model if it is a positive number.
fn price(prices: &[Price], model: &str) -> Option<f64> {
    let price = prices.iter().find(|price| price.model == model)?;
    (price.cost.is_finite() && price.cost > 0.0).then_some(price.cost)
}
