//! Plans to choose from.

use crate::plan::{Candidate, Request};
use crate::quality::Estimate;
use serde::Serialize;
use std::time::Duration;

/// Which candidates answer, by their index.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Shape {
    /// One version answers.
    Single(usize),
    /// A cheap answer is rated, and a bad one is replaced.
    Cascade {
        /// Candidate that answers first.
        first: usize,
        /// Candidate that answers where the first is rated bad.
        then: usize,
    },
}

impl Shape {
    /// The candidate that runs first.
    ///
    /// ```
    /// use policy::plan::Shape;
    /// assert_eq!(Shape::Cascade { first: 2, then: 0 }.first(), 2);
    /// ```
    pub fn first(self) -> usize {
        match self {
            Self::Single(first) | Self::Cascade { first, .. } => first,
        }
    }
}

/// A shape with what it is expected to give.
#[derive(Clone, Copy, Debug)]
pub(super) struct Choice {
    pub(super) shape: Shape,
    /// Expected cost in micro-units of money.
    pub(super) cost: f64,
    /// Lower bound on the expected quality.
    pub(super) quality: f64,
    /// Expected time to the answer.
    pub(super) latency: Duration,
    /// Time that nearly all answers keep.
    pub(super) tail_latency: Duration,
}

impl Choice {
    pub(super) fn single(request: &Request, index: usize, candidate: &Candidate) -> Self {
        Self {
            shape: Shape::Single(index),
            cost: candidate.cost as f64,
            quality: expected(request, candidate.quality),
            latency: candidate.latency,
            tail_latency: candidate.tail_latency,
        }
    }

    pub(super) fn cascade(
        request: &Request,
        candidates: &[Candidate],
        first: usize,
        then: usize,
        rating: Duration,
    ) -> Self {
        let (cheap, better) = (&candidates[first], &candidates[then]);
        let escalations = 1.0 - cheap.quality.mean;
        let first_quality = expected(request, cheap.quality);
        let then_quality = expected(request, better.escalated_quality);
        let quality = first_quality + (1.0 - first_quality) * then_quality;
        Self {
            shape: Shape::Cascade { first, then },
            cost: cheap.cost as f64 + escalations * better.cost as f64,
            quality,
            latency: cheap.latency + rating + better.latency.mul_f64(escalations),
            tail_latency: cheap.tail_latency + rating + better.latency,
        }
    }

    pub(super) fn in_time(&self, request: &Request) -> bool {
        self.tail_latency <= request.deadline
    }

    pub(super) fn good_enough(&self, request: &Request) -> bool {
        self.quality >= request.target
    }
}

fn expected(request: &Request, estimate: Estimate) -> f64 {
    if request.optimistic {
        estimate.upper
    } else {
        estimate.lower
    }
}
