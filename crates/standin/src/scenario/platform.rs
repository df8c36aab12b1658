//! The platform is down, slow, or loses answers.

use super::Stage;
use crate::Error;
use crate::fault::{Fault, Kind};
use crate::fleet::Mix;
use crate::proxy::Faults;
use std::time::Instant;

const PHASE_MS: u64 = 2_500;

/// The table service is down while callers confirm.
pub(super) async fn platform_down_at_claims(seed: u64) -> Result<Stage, Error> {
    let mut stage = Stage::start(seed, &confirming()).await?;
    stage.run(800).await;
    strike(&stage, Kind::Down, "");
    stage.run(PHASE_MS).await;
    stage.fleet.platform.table.switch().clear();
    stage.run(1_000).await;
    stage.expect_recovery(1_500, 0.8).await;
    Ok(stage)
}

/// Claims take effect, but their answers are lost.
pub(super) async fn platform_loses_claim_answers(seed: u64) -> Result<Stage, Error> {
    let mut stage = Stage::start(seed, &confirming()).await?;
    stage.run(800).await;
    strike(&stage, Kind::Lose, "run/");
    stage.run(PHASE_MS).await;
    stage.fleet.platform.table.switch().clear();
    stage.run(500).await;
    stage.expect_recovery(1_500, 0.8).await;
    Ok(stage)
}

/// Bills take effect, but their answers are lost.
pub(super) async fn platform_loses_bill_answers(seed: u64) -> Result<Stage, Error> {
    let mut stage = Stage::start(seed, &Mix::default()).await?;
    stage.run(500).await;
    strike(&stage, Kind::Lose, "\"bill\"");
    stage.run(PHASE_MS).await;
    stage.fleet.platform.table.switch().clear();
    stage.expect_recovery(1_500, 0.8).await;
    Ok(stage)
}

/// A change takes effect, but its answer is lost.
pub(super) async fn platform_loses_change_answers(seed: u64) -> Result<Stage, Error> {
    let mut stage = Stage::start(seed, &Mix::default()).await?;
    stage.run(500).await;
    let fault = Fault {
        count: Some(1),
        matching: Some("config-rev".to_owned()),
        ..Fault::new(Kind::Lose)
    };
    stage
        .fleet
        .platform
        .table
        .switch()
        .add(fault, Instant::now());
    let node = stage.drawn_node();
    let change = stage.fleet.withdraw(node, "small", "2", true).await;
    let settled = stage
        .fleet
        .wait_in_force(stage.other_than(node), &change)
        .await;
    stage.expect(settled.is_ok(), || {
        format!("the change isn't in force: {settled:?}")
    });
    stage.expect_recovery(2_000, 0.9).await;
    Ok(stage)
}

/// The table service takes longer than nodes wait.
pub(super) async fn platform_slow(seed: u64) -> Result<Stage, Error> {
    let mut stage = Stage::start(seed, &Mix::default()).await?;
    stage.run(500).await;
    let fault = Fault {
        delay_ms: 400,
        ..Fault::new(Kind::Slow)
    };
    stage
        .fleet
        .platform
        .table
        .switch()
        .add(fault, Instant::now());
    stage.run(PHASE_MS).await;
    stage.fleet.platform.table.switch().clear();
    stage.run(500).await;
    stage.expect_recovery(1_500, 0.8).await;
    Ok(stage)
}

/// One node loses the platform silently while a version is withdrawn through another.
pub(super) async fn platform_down_for_one_node(seed: u64) -> Result<Stage, Error> {
    let mut stage = Stage::start(seed, &Mix::default()).await?;
    let node = stage.drawn_node();
    stage.run(500).await;
    for proxy in stage.fleet.nodes[node].platform_proxies() {
        proxy.set(Faults::black_hole());
    }
    let other = stage.other_than(node);
    let change = stage.fleet.withdraw(other, "small", "1", true).await;
    stage.expect(change.accepted_ms.is_some(), || {
        "the withdrawal wasn't accepted".to_owned()
    });
    stage.run(6_000).await;
    for proxy in stage.fleet.nodes[node].platform_proxies() {
        proxy.heal();
        proxy.cut();
    }
    stage.run(1_000).await;
    stage.expect_recovery(1_500, 0.8).await;
    Ok(stage)
}

/// The platform goes down right after a withdrawal was accepted, for longer than the horizon.
pub(super) async fn platform_down_during_a_withdrawal(seed: u64) -> Result<Stage, Error> {
    let mut stage = Stage::start(seed, &Mix::default()).await?;
    let node = stage.drawn_node();
    stage.run(500).await;
    let change = stage.fleet.withdraw(node, "small", "1", true).await;
    strike(&stage, Kind::Down, "");
    stage.expect(change.accepted_ms.is_some(), || {
        "the withdrawal wasn't accepted".to_owned()
    });
    stage.run(6_000).await;
    stage.fleet.platform.table.switch().clear();
    stage.run(1_000).await;
    stage.expect_recovery(1_500, 0.8).await;
    Ok(stage)
}

/// Begins a fault of the table service that lasts until it is cleared.
pub(super) fn strike(stage: &Stage, kind: Kind, matching: &str) {
    let fault = Fault {
        matching: Some(matching.to_owned()),
        ..Fault::new(kind)
    };
    stage
        .fleet
        .platform
        .table
        .switch()
        .add(fault, Instant::now());
}

fn confirming() -> Mix {
    Mix {
        confirmations: 0.7,
        ..Mix::default()
    }
}
