//! Availability zones that are taken out and brought back.

use super::Stage;
use super::platform::strike;
use crate::Error;
use crate::fault::Kind;
use crate::fleet::Mix;

const ZONE: &str = "a";

/// A zone is taken out under load and brought back.
pub(super) async fn zone_out_and_back(seed: u64) -> Result<Stage, Error> {
    let mut stage = Stage::start(seed, &Mix::default()).await?;
    let node = stage.fleet.node_in("b");
    stage.run(800).await;
    take_out(&mut stage, node).await;
    stage.expect_recovery(5_000, 0.5).await;
    stage.fleet.zone(node, ZONE, false).await;
    stage.run(1_500).await;
    stage.expect_recovery(1_500, 0.9).await;
    Ok(stage)
}

/// The platform goes down as soon as a zone is out, and stays down past the horizon.
pub(super) async fn zone_out_while_the_platform_is_down(seed: u64) -> Result<Stage, Error> {
    let mut stage = Stage::start(seed, &Mix::default()).await?;
    let node = stage.fleet.node_in("c");
    stage.run(800).await;
    take_out(&mut stage, node).await;
    strike(&stage, Kind::Down, "");
    stage.run(6_500).await;
    stage.fleet.platform.table.faults().clear();
    stage.run(1_000).await;
    stage.fleet.zone(node, ZONE, false).await;
    stage.run(1_500).await;
    stage.expect_recovery(1_500, 0.8).await;
    Ok(stage)
}

/// A zone is taken out while a node of another zone dies.
pub(super) async fn zone_out_and_a_node_dies(seed: u64) -> Result<Stage, Error> {
    let mut stage = Stage::start(seed, &Mix::default()).await?;
    let (through, dying) = (stage.fleet.node_in("b"), stage.fleet.node_in("c"));
    stage.run(800).await;
    take_out(&mut stage, through).await;
    stage.fleet.kill(dying).await?;
    stage.run(5_500).await;
    stage.fleet.restart(dying).await?;
    stage.run(1_500).await;
    stage.fleet.zone(through, ZONE, false).await;
    stage.run(1_500).await;
    stage.expect_recovery(1_500, 0.8).await;
    Ok(stage)
}

async fn take_out(stage: &mut Stage, through: usize) {
    let change = stage.fleet.zone(through, ZONE, true).await;
    let accepted = change.accepted_ms.is_some();
    stage.expect(accepted, || {
        format!("taking the zone out wasn't accepted: {change:?}")
    });
}
