//! Decides whether an answer is accepted, and which model is asked if it isn't.

use super::{Answer, Conditions, Settings, Sizes, Transfer};
use crate::Model;

/// Model cascade of a service: the smallest model answers first. If it isn't confident, the model is
/// asked that is expected to lead to a confident answer at the lowest cost.
///
/// A model of medium size often suffices for requests that the smallest one nearly answers with
/// confidence, and it delays the requests beside it much less than the largest. If it isn't confident
/// either, the largest one is asked after it. How often that happens is learned.
#[derive(Clone, Debug, Default)]
pub struct Cascade {
    settings: Settings,
    /// What was learned, by smaller and larger model.
    transfers: Vec<(Model, Model, Transfer)>,
}

impl Cascade {
    /// Creates a cascade that has learned nothing yet.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            transfers: Vec::new(),
        }
    }

    /// Returns the model to ask after an answer, or `None` if the answer is accepted. On contended
    /// engines more answers are accepted, because larger models slow many other requests down. A model
    /// whose answer would be late isn't asked: with a long prompt, it would also delay the requests
    /// beside it the longest.
    ///
    /// ```
    /// use route::cascade::{Answer, Cascade, Conditions, Sizes};
    /// let models = ["small", "medium", "large"].map(str::to_owned);
    /// let sizes = Sizes::new(&models, &[]);
    /// let cascade = Cascade::default();
    /// let next = |confidence, conditions| {
    ///     cascade.next(&sizes, &Answer { model: "small", confidence }, conditions)
    /// };
    /// let calm = Conditions::default();
    /// assert_eq!(next(90.0, calm), None);
    /// assert_eq!(next(45.0, calm), Some("medium"));
    /// assert_eq!(next(5.0, calm), Some("large"));
    /// assert_eq!(next(40.0, Conditions { contention: 9.0, ..calm }), None);
    /// assert_eq!(next(5.0, Conditions { max_time: 1.0, ..calm }), Some("medium"));
    /// ```
    pub fn next<'a>(
        &self,
        sizes: &Sizes<'a>,
        answer: &Answer,
        conditions: Conditions,
    ) -> Option<&'a str> {
        let current = sizes.position(answer.model)?;
        if answer.confidence >= self.threshold(conditions.contention) {
            return None;
        }
        let limited = self.settings.target_aware;
        let in_time = |index: &usize| !limited || sizes.time(*index) <= conditions.max_time;
        let last = (current + 1..sizes.models().len()).rfind(in_time)?;
        let mut best = (last, sizes.cost(last));
        for index in current + 1..last {
            if !self.settings.intermediate {
                break;
            }
            let chance = self.chance(answer, &sizes.models()[index]);
            let cost = sizes.cost(index) + (1.0 - chance) * sizes.cost(last);
            if cost < best.1 {
                best = (index, cost);
            }
        }
        Some(&sizes.models()[best.0])
    }

    /// Records that a larger model answered a request after a smaller one.
    ///
    /// ```
    /// use route::cascade::{Answer, Cascade};
    /// let small = Answer { model: "small", confidence: 45.0 };
    /// let medium = Answer { model: "medium", confidence: 70.0 };
    /// Cascade::default().record(&small, &medium);
    /// ```
    pub fn record(&mut self, smaller: &Answer, larger: &Answer) {
        let ratio = self.ratio(smaller);
        let confident = larger.confidence >= self.settings.min_confidence;
        let known = self
            .transfers
            .iter_mut()
            .find(|(from, to, _)| from == smaller.model && to == larger.model);
        match known {
            Some((.., transfer)) => transfer.record(ratio, confident),
            None => {
                let mut transfer = Transfer::default();
                transfer.record(ratio, confident);
                let names = (smaller.model.to_owned(), larger.model.to_owned());
                self.transfers.push((names.0, names.1, transfer));
            }
        }
    }

    /// Returns the confidence from which an answer is accepted.
    fn threshold(&self, contention: f64) -> f64 {
        let Settings {
            min_confidence,
            min_confidence_contended,
            contention_range: (from, to),
            ..
        } = self.settings;
        let contended = ((contention - from) / (to - from)).clamp(0.0, 1.0);
        min_confidence + (min_confidence_contended - min_confidence) * contended
    }

    /// Returns the probability that a larger model is confident after this answer.
    fn chance(&self, answer: &Answer, larger: &str) -> f64 {
        let mut transfers = self.transfers.iter();
        let known = transfers.find(|(from, to, _)| from == answer.model && to == larger);
        let transfer = known.filter(|_| self.settings.learning);
        let transfer = transfer.map_or(Transfer::default(), |(.., transfer)| *transfer);
        transfer.probability(self.ratio(answer))
    }

    fn ratio(&self, answer: &Answer) -> f64 {
        answer.confidence / self.settings.min_confidence
    }
}
