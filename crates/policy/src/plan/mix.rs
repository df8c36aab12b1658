//! Randomized mix of two plans.

use crate::plan::Request;
use crate::plan::alternative::Alternative;

/// A cheap plan that misses the quality target and a better one that meets it. Each takes a share
/// of the requests, so that the mean quality equals the target at a lower cost than the better plan
/// alone.
#[derive(Clone, Copy, Debug)]
pub(super) struct Mix {
    cheap: Alternative,
    better: Alternative,
    /// Share of the requests that take the cheap plan.
    share: f64,
    cost: f64,
}

impl Mix {
    /// Returns the cheapest mix that costs less than `max_cost`. All plans passed in must meet the
    /// deadline.
    pub(super) fn cheapest<'a>(
        request: &Request,
        meeting_deadline: impl Iterator<Item = &'a Alternative> + Clone,
        max_cost: f64,
    ) -> Option<Self> {
        let min_quality = request.target - request.quality_slack;
        let cheap = meeting_deadline.clone().filter(|alternative| {
            !alternative.meets_target(request)
                && alternative.quality >= min_quality
                && alternative.cost < max_cost
        });
        let better = meeting_deadline.filter(|alternative| alternative.meets_target(request));
        cheap
            .flat_map(|cheap| {
                better
                    .clone()
                    .map(|better| Self::new(request, *cheap, *better))
            })
            .filter(|mix| mix.cost < max_cost)
            .min_by(|a, b| a.cost.total_cmp(&b.cost))
    }

    /// Returns the plan for this request.
    pub(super) fn select(&self, request: &Request) -> Alternative {
        if request.random < self.share {
            self.cheap
        } else {
            self.better
        }
    }

    fn new(request: &Request, cheap: Alternative, better: Alternative) -> Self {
        let share = (better.quality - request.target) / (better.quality - cheap.quality);
        Self {
            cheap,
            better,
            share,
            cost: share * cheap.cost + (1.0 - share) * better.cost,
        }
    }
}
