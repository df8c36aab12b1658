//! Nodes that die, pause and stop.

use super::Stage;
use crate::Error;
use crate::fleet::{Mix, Settings};
use crate::launch::EngineSpec;
use std::time::Duration;

/// Nothing fails.
pub(super) async fn quiet_fleet(seed: u64) -> Result<Stage, Error> {
    let mut stage = Stage::start(seed, &Mix::default()).await?;
    stage.expect_recovery(3_000, 0.95).await;
    Ok(stage)
}

/// A node is killed while it streams answers, and comes back with nothing kept.
pub(super) async fn node_killed_in_mid_stream(seed: u64) -> Result<Stage, Error> {
    let mix = Mix {
        streams: 1.0,
        confirmations: 0.0,
        ..Mix::default()
    };
    let mut stage = Stage::with(long_answers(seed), &mix).await?;
    let node = stage.drawn_node();
    stage.run(1_500).await;
    stage.fleet.kill(node).await?;
    stage.run(1_000).await;
    stage.fleet.restart(node).await?;
    stage.run(1_500).await;
    stage.expect_recovery(3_000, 0.9).await;
    Ok(stage)
}

/// A node is killed while it carries confirmations, whose callers send them again elsewhere.
pub(super) async fn node_killed_in_mid_confirmation(seed: u64) -> Result<Stage, Error> {
    let settings = Settings {
        seed,
        service_latency: Duration::from_millis(200),
        ..Settings::default()
    };
    let mix = Mix {
        confirmations: 0.9,
        ..Mix::default()
    };
    let mut stage = Stage::with(settings, &mix).await?;
    let node = stage.drawn_node();
    stage.run(1_500).await;
    stage.fleet.kill(node).await?;
    stage.run(1_500).await;
    stage.fleet.restart(node).await?;
    stage.run(1_500).await;
    stage.expect_recovery(1_500, 0.8).await;
    Ok(stage)
}

/// A node is paused past its lease with requests in hand; meanwhile a version is withdrawn.
pub(super) async fn node_paused_past_its_lease(seed: u64) -> Result<Stage, Error> {
    let mut stage = Stage::with(long_answers(seed), &Mix::default()).await?;
    let node = stage.drawn_node();
    stage.run(1_000).await;
    stage.fleet.pause(node)?;
    stage.run(500).await;
    let other = stage.other_than(node);
    stage.fleet.withdraw(other, "small", "1", true).await;
    stage.run(5_000).await;
    stage.fleet.resume(node)?;
    stage.run(1_500).await;
    stage.expect_recovery(3_000, 0.8).await;
    Ok(stage)
}

/// A node is told to stop under load.
pub(super) async fn node_stopped_under_load(seed: u64) -> Result<Stage, Error> {
    let mut stage = Stage::with(long_answers(seed), &Mix::default()).await?;
    let node = stage.drawn_node();
    stage.run(1_000).await;
    stage.fleet.stop(node).await?;
    stage.expect_recovery(3_000, 0.5).await;
    stage.fleet.restart(node).await?;
    stage.run(1_000).await;
    stage.expect_recovery(3_000, 0.9).await;
    Ok(stage)
}

/// All nodes are replaced one by one under load.
pub(super) async fn all_nodes_replaced(seed: u64) -> Result<Stage, Error> {
    let mut stage = Stage::with(long_answers(seed), &Mix::default()).await?;
    stage.run(500).await;
    for node in 0..stage.fleet.nodes.len() {
        stage.fleet.stop(node).await?;
        stage.fleet.restart(node).await?;
        stage.run(1_500).await;
    }
    stage.expect_recovery(3_000, 0.9).await;
    Ok(stage)
}

/// Answers that take about a second.
fn long_answers(seed: u64) -> Settings {
    let mut settings = Settings {
        seed,
        ..Settings::default()
    };
    let lengthen = |spec: &mut EngineSpec| {
        spec.settings.words = 60;
        spec.settings.inter_token = Duration::from_millis(15);
    };
    settings.engines.iter_mut().for_each(lengthen);
    settings
}
