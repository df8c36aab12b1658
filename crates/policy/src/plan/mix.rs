//! Two plans that together meet a target at a lower cost than one.

use crate::plan::Request;
use crate::plan::option::Choice;

/// A cheap plan below the target and a better one above it, each for a share of the requests.
#[derive(Clone, Copy, Debug)]
pub(super) struct Mix {
    cheap: Choice,
    better: Choice,
    /// Share of the requests that take the cheap plan.
    share: f64,
    cost: f64,
}

impl Mix {
    /// The cheapest mix below a cost; all plans are in time.
    pub(super) fn cheapest<'a>(
        request: &Request,
        in_time: impl Iterator<Item = &'a Choice> + Clone,
        below: f64,
    ) -> Option<Self> {
        let least = request.target - request.quality_slack;
        let cheap = in_time
            .clone()
            .filter(|one| !one.good_enough(request) && one.quality >= least && one.cost < below);
        let better = in_time.filter(|one| one.good_enough(request));
        cheap
            .flat_map(|cheap| {
                better
                    .clone()
                    .map(|better| Self::new(request, *cheap, *better))
            })
            .filter(|mix| mix.cost < below)
            .min_by(|a, b| a.cost.total_cmp(&b.cost))
    }

    /// The plan of this request.
    pub(super) fn draw(&self, request: &Request) -> Choice {
        if request.random < self.share {
            self.cheap
        } else {
            self.better
        }
    }

    fn new(request: &Request, cheap: Choice, better: Choice) -> Self {
        let share = (better.quality - request.target) / (better.quality - cheap.quality);
        Self {
            cheap,
            better,
            share,
            cost: share * cheap.cost + (1.0 - share) * better.cost,
        }
    }
}
