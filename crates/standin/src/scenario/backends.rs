//! Backend servers that are cold, leave, crash, or answer late.

use super::Stage;
use crate::Error;
use crate::engine::Order;
use crate::fleet::{Ask, Caller, Mix, Settings};
use crate::launch::EngineSpec;
use crate::proxy::{Faults, Impairment};
use std::sync::Arc;
use std::time::Duration;

const POISON: &str = "poison";

/// Servers that may die of one request before it is refused.
const MOST_DEATHS: u64 = 2;

/// All engines start cold and meet a load that only warm ones can carry.
pub(super) async fn cold_start_under_load(seed: u64) -> Result<Stage, Error> {
    let mut settings = Settings {
        seed,
        ..Settings::default()
    };
    let chill = |spec: &mut EngineSpec| {
        spec.settings.cold = true;
        spec.settings.first_token = Duration::from_millis(80);
    };
    settings.engines.iter_mut().for_each(chill);
    let mut stage = Stage::with(settings, &heavy()).await?;
    stage.run(3_000).await;
    stage.expect_recovery(2_000, 0.5).await;
    Ok(stage)
}

/// An engine restarts under load and comes back cold.
pub(super) async fn engine_restarts_cold(seed: u64) -> Result<Stage, Error> {
    let mut stage = Stage::start(seed, &heavy()).await?;
    stage.run(1_500).await;
    for round in 0..2 {
        let engine = (seed as usize + round) % stage.fleet.settings.engines.len();
        if let Some(engine) = &stage.fleet.backends[engine].engine {
            engine.order(Order::FallOver);
        }
        stage.run(2_500).await;
    }
    stage.expect_recovery(1_500, 0.7).await;
    Ok(stage)
}

/// An engine turns cold under load without a restart: it only gets slower and refuses more.
pub(super) async fn engine_turns_cold(seed: u64) -> Result<Stage, Error> {
    let mut stage = Stage::start(seed, &heavy()).await?;
    stage.run(2_000).await;
    let engine = seed as usize % stage.fleet.settings.engines.len();
    if let Some(engine) = &stage.fleet.backends[engine].engine {
        engine.order(Order::Cold);
    }
    stage.run(2_500).await;
    stage.expect_recovery(1_500, 0.7).await;
    Ok(stage)
}

/// An engine and a reservation server leave and come back at the same addresses.
pub(super) async fn engine_leaves_and_returns(seed: u64) -> Result<Stage, Error> {
    let mut stage = Stage::start(seed, &Mix::default()).await?;
    let engines = stage.fleet.settings.engines.len();
    let leaving = [seed as usize % engines, engines];
    stage.run(800).await;
    leaving
        .iter()
        .for_each(|backend| stage.fleet.leave(*backend, true));
    stage.run(6_500).await;
    leaving
        .iter()
        .for_each(|backend| stage.fleet.leave(*backend, false));
    stage.run(500).await;
    stage.expect_recovery(1_500, 0.9).await;
    Ok(stage)
}

/// A request that crashes every engine that runs it is sent again to every node.
pub(super) async fn crashing_request_is_resent(seed: u64) -> Result<Stage, Error> {
    let mut stage = Stage::start(seed, &Mix::default()).await?;
    for backend in &stage.fleet.backends {
        if let Some(engine) = &backend.engine {
            engine.order(Order::Poison(Some(POISON.to_owned())));
        }
    }
    stage.run(1_000).await;
    let caller = Caller::new(Arc::clone(&stage.fleet.log));
    for _ in 0..3 {
        for entry in stage.fleet.entries() {
            let mut ask = Ask {
                customer: "north".to_owned(),
                model: "small".to_owned(),
                stream: true,
                prompt: format!("the same {POISON} again"),
                session: None,
            };
            caller.chat(&entry, &mut ask).await;
        }
        stage.run(700).await;
    }
    let engines = stage
        .fleet
        .backends
        .iter()
        .filter_map(|backend| backend.engine.as_ref());
    let deaths: u64 = engines.map(|engine| engine.counters().falls).sum();
    stage.expect(deaths <= MOST_DEATHS, || {
        format!("{deaths} engines died of one request")
    });
    stage.expect_recovery(1_500, 0.8).await;
    Ok(stage)
}

/// Answers of all backend servers come in small pieces, late and in changing order.
pub(super) async fn late_and_crossed_answers(seed: u64) -> Result<Stage, Error> {
    let mut stage = Stage::start(seed, &Mix::default()).await?;
    let down = Impairment {
        jitter: Duration::from_millis(40),
        split: Some(97),
        ..Impairment::default()
    };
    for backend in &stage.fleet.backends {
        let faults = Faults {
            down,
            ..Faults::default()
        };
        backend.proxy.set(faults);
    }
    stage.run(4_000).await;
    stage
        .fleet
        .backends
        .iter()
        .for_each(|backend| backend.proxy.heal());
    stage.expect_recovery(1_500, 0.9).await;
    Ok(stage)
}

fn heavy() -> Mix {
    Mix {
        callers: 24,
        pause: Duration::from_millis(10),
        confirmations: 0.05,
        ..Mix::default()
    }
}
