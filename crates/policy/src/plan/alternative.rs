//! Plans to select from.

use crate::plan::{Candidate, Request, Shape};
use crate::quality::Estimate;
use std::time::Duration;

/// A plan to select from, with its estimates.
#[derive(Clone, Copy, Debug)]
pub(super) struct Alternative {
    pub(super) shape: Shape,
    /// Expected cost in micro-units of money.
    pub(super) cost: f64,
    /// Bound on the expected quality: the lower one unless the request is optimistic.
    pub(super) quality: f64,
    /// Expected time until the answer is complete.
    pub(super) latency: Duration,
    /// Tail latency: the time within which about 95 % of the answers are complete.
    pub(super) tail_latency: Duration,
}

impl Alternative {
    pub(super) fn single(request: &Request, index: usize, candidate: &Candidate) -> Self {
        Self {
            shape: Shape::Single(index),
            cost: candidate.cost as f64,
            quality: quality_bound(request, candidate.quality),
            latency: candidate.latency,
            tail_latency: candidate.tail_latency,
        }
    }

    pub(super) fn cascade(
        request: &Request,
        candidates: &[Candidate],
        first: usize,
        then: usize,
        rating_latency: Duration,
    ) -> Self {
        let (cheap, better) = (&candidates[first], &candidates[then]);
        let escalation_probability = 1.0 - cheap.quality.mean;
        let first_quality = quality_bound(request, cheap.quality);
        let then_quality = quality_bound(request, better.escalated_quality);
        let quality = first_quality + (1.0 - first_quality) * then_quality;
        Self {
            shape: Shape::Cascade { first, then },
            cost: cheap.cost as f64 + escalation_probability * better.cost as f64,
            quality,
            latency: cheap.latency
                + rating_latency
                + better.latency.mul_f64(escalation_probability),
            tail_latency: cheap.tail_latency + rating_latency + better.latency,
        }
    }

    pub(super) fn meets_deadline(&self, request: &Request) -> bool {
        self.tail_latency <= request.deadline
    }

    pub(super) fn meets_target(&self, request: &Request) -> bool {
        self.quality >= request.target
    }
}

/// Returns the bound of an estimate that plans use: the lower one, or the upper one for optimistic
/// requests.
fn quality_bound(request: &Request, estimate: Estimate) -> f64 {
    if request.optimistic {
        estimate.upper
    } else {
        estimate.lower
    }
}
