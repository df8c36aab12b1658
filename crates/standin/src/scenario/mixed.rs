//! Two failures at once, drawn by seed.

use super::Stage;
use super::platform::strike;
use crate::Error;
use crate::engine::Order;
use crate::fault::Kind;
use crate::fleet::Mix;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

/// A failure that lasts until the end of its phase.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Failure {
    EngineRestart,
    EngineSilence,
    LostAnswers,
    NodeDeath,
    NodePause,
    NodeSilence,
    PlatformDown,
    Withdrawal,
    ZoneOut,
}

const FAILURES: [Failure; 9] = [
    Failure::EngineRestart,
    Failure::EngineSilence,
    Failure::LostAnswers,
    Failure::NodeDeath,
    Failure::NodePause,
    Failure::NodeSilence,
    Failure::PlatformDown,
    Failure::Withdrawal,
    Failure::ZoneOut,
];

/// Two different failures, the second a little after the first.
pub(super) async fn two_failures_at_once(seed: u64) -> Result<Stage, Error> {
    let mut random = SmallRng::seed_from_u64(seed);
    let drawn: Vec<Failure> = FAILURES.choose_multiple(&mut random, 2).copied().collect();
    println!("two_failures_at_once seed {seed}: {drawn:?}");
    let mut stage = Stage::start(seed, &Mix::default()).await?;
    let node = random.random_range(0..stage.fleet.nodes.len());
    stage.run(800).await;
    for failure in &drawn {
        begin(&mut stage, *failure, node).await?;
        stage.run(random.random_range(0..400)).await;
    }
    stage.run(5_000).await;
    for failure in &drawn {
        end(&mut stage, *failure, node).await?;
    }
    stage.run(2_500).await;
    stage.expect_recovery(1_500, 0.7).await;
    Ok(stage)
}

async fn begin(stage: &mut Stage, failure: Failure, node: usize) -> Result<(), Error> {
    let other = stage.other_than(node);
    match failure {
        Failure::EngineRestart => {
            if let Some(engine) = &stage.fleet.backends[node].engine {
                engine.order(Order::FallOver);
            }
        }
        Failure::EngineSilence => stage.fleet.backends[node].proxy.silence_open(),
        Failure::LostAnswers => strike(stage, Kind::Lose, ""),
        Failure::NodeDeath => stage.fleet.kill(node).await?,
        Failure::NodePause => stage.fleet.pause(node)?,
        Failure::NodeSilence => stage.fleet.nodes[node].link.silence_open(),
        Failure::PlatformDown => strike(stage, Kind::Down, ""),
        Failure::Withdrawal => {
            stage.fleet.withdraw(other, "small", "1", true).await;
        }
        Failure::ZoneOut => {
            stage.fleet.zone(other, "a", true).await;
        }
    }
    Ok(())
}

async fn end(stage: &mut Stage, failure: Failure, node: usize) -> Result<(), Error> {
    let other = stage.other_than(node);
    match failure {
        Failure::EngineRestart | Failure::EngineSilence | Failure::NodeSilence => {}
        Failure::LostAnswers | Failure::PlatformDown => stage.fleet.platform.table.faults().clear(),
        Failure::NodeDeath => stage.fleet.restart(node).await?,
        Failure::NodePause => stage.fleet.resume(node)?,
        Failure::Withdrawal => {
            stage.fleet.withdraw(other, "small", "1", false).await;
        }
        Failure::ZoneOut => {
            stage.fleet.zone(other, "a", false).await;
        }
    }
    Ok(())
}
