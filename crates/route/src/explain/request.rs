//! A request whose placement is to be explained.

use crate::Model;
use crate::pool::{Work, name_hash};
use serde::{Deserialize, Serialize};

/// A request whose placement is to be explained. It holds no key and no text of a prompt.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Request {
    /// Host of the route.
    pub host: String,
    /// Path, which selects the route.
    pub path: String,
    /// Model to use; the one that is asked first if none is named.
    pub model: Option<Model>,
    /// Tokens of the whole prompt.
    pub prompt_tokens: f64,
    /// Expected tokens of the answer.
    pub output_tokens: f64,
    /// Kilobytes of the request and the answer.
    pub kilobytes: f64,
    /// Parts of the prompt in order: their ids and tokens. The last one belongs to the request itself.
    pub parts: Vec<(String, f64)>,
}

impl Request {
    /// Returns its size; none if a number is negative or not finite.
    ///
    /// ```
    /// use route::explain::Request;
    /// let request = Request { prompt_tokens: 100.0, ..Request::default() };
    /// assert_eq!(request.work().unwrap().prompt_tokens, 100.0);
    /// assert!(Request { kilobytes: -1.0, ..request }.work().is_none());
    /// ```
    pub fn work(&self) -> Option<Work> {
        let sizes = [self.prompt_tokens, self.output_tokens, self.kilobytes];
        let tokens = self.parts.iter().map(|(_, tokens)| *tokens);
        let mut numbers = sizes.into_iter().chain(tokens);
        let is_valid = numbers.all(|number| number.is_finite() && number >= 0.0);
        is_valid.then(|| Work {
            parts: self
                .parts
                .iter()
                .map(|(id, tokens)| (name_hash(id), *tokens))
                .collect(),
            prompt_tokens: self.prompt_tokens,
            output_tokens: self.output_tokens,
            kilobytes: self.kilobytes,
        })
    }
}
