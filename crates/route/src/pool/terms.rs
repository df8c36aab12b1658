//! Cost of a request on a backend server.

use super::price::{millis, queue_millis};
use super::{Capacity, Query, Server, Settings, Speeds, load_of};
use serde::{Deserialize, Serialize};
use std::time::Instant;

/// Cost of a request on a backend server by cause, in milliseconds: its own time there, the time that it
/// adds to concurrent requests, and penalties for failures, distance and scarce memory.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Terms {
    /// Failures of late.
    pub failures: f64,
    /// Its cold start.
    pub cold: f64,
    /// Bytes to and from another zone.
    pub transfer: f64,
    /// Requests ahead in the queue of a plain server.
    pub queue: f64,
    /// Time to decode the answer.
    pub decoding: f64,
    /// Time that concurrent requests lose.
    pub contention: f64,
    /// Time to process the prompt.
    pub prefill: f64,
    /// Time to process the prompts before it.
    pub queued_prefill: f64,
    /// Tokens that the engine has to store.
    pub storage: f64,
    /// Use of memory beyond a threshold.
    pub memory: f64,
}

impl Terms {
    /// Sum of all causes.
    pub fn total(&self) -> f64 {
        let Self {
            failures,
            cold,
            transfer,
            queue,
            decoding,
            contention,
            prefill,
            queued_prefill,
            storage,
            memory,
        } = self;
        failures
            + cold
            + transfer
            + queue
            + decoding
            + contention
            + prefill
            + queued_prefill
            + storage
            + memory
    }

    /// Estimates the cost of a request on a server. The preferred server has cached what other nodes have
    /// sent there.
    pub(super) fn of(
        settings: &Settings,
        speeds: &Speeds,
        now: Instant,
        server: &Server,
        query: &Query,
        capacity: &Capacity,
        preferred: bool,
    ) -> Self {
        let load = server.load();
        let mut terms = Self {
            failures: server.failure_rate * millis(settings.failure_cost),
            ..Self::default()
        };
        if now < server.cold_until {
            terms.cold = millis(settings.cold_cost);
        }
        if server.listing.zone != query.zone {
            terms.transfer = query.work.kilobytes * millis(settings.zone_cost);
        }
        let Some((_, weight)) = query.model else {
            let (requests, slots) = (f64::from(load.requests), f64::from(server.listing.slots));
            terms.queue = queue_millis(settings, requests, slots, server.slowness);
            return terms;
        };
        let others = f64::from(load.requests);
        let per_weight = speeds.step_per_weight;
        let step = speeds.step + per_weight * (load.weight + weight);
        terms.decoding = query.work.output_tokens * step * server.slowness;
        // Each of its steps also slows the concurrent requests.
        terms.contention = query.work.output_tokens
            * per_weight
            * weight
            * server.slowness
            * others
            * settings.contention_weight;
        let mut uncached = server.uncached_tokens(now, query, settings);
        if preferred {
            // Other nodes have sent the shared parts there.
            let own = query.work.parts.last().map_or(0.0, |(_, tokens)| *tokens);
            uncached = uncached.min(own);
        }
        let prefill = uncached * weight * server.slowness / speeds.prefill_rate;
        terms.prefill =
            prefill * (settings.prefill_weight + others * settings.prefill_contention_weight);
        terms.queued_prefill =
            load.pending_prefill * settings.queued_prefill_weight * server.slowness
                / speeds.prefill_rate;
        terms.storage = uncached * millis(settings.storage_cost);
        if capacity.memory_tokens > 0.0 {
            let used = (load.tokens + load_of(query).tokens) / capacity.memory_tokens;
            terms.memory =
                (used - settings.memory_threshold).max(0.0) * millis(settings.memory_cost);
        }
        terms
    }
}
