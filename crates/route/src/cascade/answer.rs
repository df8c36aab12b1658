//! A model's answer, as far as the cascade judges it.

/// Highest confidence that a model can report.
const MAX_CONFIDENCE: f64 = 100.0;

/// A model's answer, as far as the cascade judges it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Answer<'a> {
    /// Name of the model.
    pub model: &'a str,
    /// Confidence of the model in its answer, from 0 to 100.
    pub confidence: f64,
}

impl<'a> Answer<'a> {
    /// Creates the answer, or returns `None` if the reported confidence is not a number from 0 to
    /// 100.
    ///
    /// ```
    /// use route::cascade::Answer;
    /// assert!(Answer::new("small", 40.0).is_some());
    /// assert_eq!(Answer::new("small", 101.0), None);
    /// assert_eq!(Answer::new("small", f64::NAN), None);
    /// ```
    pub fn new(model: &'a str, confidence: f64) -> Option<Self> {
        (0.0..=MAX_CONFIDENCE)
            .contains(&confidence)
            .then_some(Self { model, confidence })
    }
}
