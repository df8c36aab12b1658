//! What a request costs in a zone.

use super::{Query, Settings, Speeds};
use crate::zone::{self, State};
use std::time::Duration;

/// What a request costs in a zone.
#[derive(Clone, Copy, Debug)]
pub(super) struct Price<'a> {
    settings: &'a Settings,
    speeds: Speeds,
    query: &'a Query<'a>,
}

impl<'a> Price<'a> {
    pub(super) fn new(settings: &'a Settings, speeds: Speeds, query: &'a Query<'a>) -> Self {
        Self {
            settings,
            speeds,
            query,
        }
    }
}

impl zone::Cost for Price<'_> {
    fn time(&self, mean: &State) -> f64 {
        let failures = mean.failures * millis(self.settings.failure_cost);
        let Some((_, weight)) = self.query.model else {
            return failures
                + queue_millis(self.settings, mean.requests, mean.slots, mean.slowness);
        };
        let Speeds {
            step,
            step_per_weight,
            prefill_rate,
        } = self.speeds;
        let steps =
            self.query.work.output_tokens * (step + step_per_weight * (mean.weight + weight));
        let queued = mean.pending_prefill * self.settings.queued_prefill_weight / prefill_rate;
        let prompt = self.query.work.prompt_tokens * weight / prefill_rate;
        failures + (steps + queued + prompt) * mean.slowness
    }

    fn work(&self, servers: &State) -> f64 {
        match self.query.model {
            Some(_) => servers.weight,
            None => servers.requests,
        }
    }

    fn transfer(&self) -> f64 {
        let bytes = self.query.work.kilobytes * millis(self.settings.zone_cost);
        bytes + millis(self.settings.zones.round_trip)
    }
}

/// Cost of the requests ahead in the queue of a plain backend server.
pub(super) fn queue_millis(settings: &Settings, requests: f64, slots: f64, slowness: f64) -> f64 {
    let ahead = requests / slots.max(1.0);
    (1.0 + ahead) * (1.0 + ahead) * slowness * millis(settings.queue_cost)
}

pub(super) fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}
