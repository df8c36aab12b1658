//! Versions and contracts that change under load.

use super::Stage;
use crate::Error;
use crate::fleet::{Edit, Mix, sample};
use crate::history::Intent;
use contract::{Object, Rollout};

/// A version is withdrawn under load, and the withdrawal lifted later.
pub(super) async fn withdrawal_under_load(seed: u64) -> Result<Stage, Error> {
    let mut stage = Stage::start(seed, &Mix::default()).await?;
    let node = stage.drawn_node();
    stage.run(800).await;
    let change = stage.fleet.withdraw(node, "small", "1", true).await;
    let settled = stage.fleet.wait_in_force(node, &change).await;
    stage.expect(settled.is_ok(), || {
        format!("the withdrawal isn't in force: {settled:?}")
    });
    stage.expect_recovery(2_500, 0.7).await;
    stage
        .fleet
        .withdraw(stage.other_than(node), "small", "1", false)
        .await;
    stage.run(1_000).await;
    stage.expect_recovery(1_500, 0.9).await;
    Ok(stage)
}

/// A version is rolled out through one node while it is withdrawn through another.
pub(super) async fn withdrawal_races_a_rollout(seed: u64) -> Result<Stage, Error> {
    let mut stage = Stage::start(seed, &Mix::default()).await?;
    let node = stage.drawn_node();
    let other = stage.other_than(node);
    stage.run(800).await;
    let rolled = stage
        .fleet
        .change(node, Edit::Put(rollout("2", false)), Intent::Other);
    let withdrawn = stage.fleet.withdraw(other, "small", "2", true);
    let (_, mut withdrawal) = tokio::join!(rolled, withdrawn);
    if withdrawal.rejected {
        withdrawal = stage.fleet.withdraw(other, "small", "2", true).await;
    }
    let settled = stage.fleet.wait_in_force(other, &withdrawal).await;
    stage.expect(settled.is_ok(), || {
        format!("the withdrawal isn't in force: {settled:?}")
    });
    stage.expect_recovery(3_000, 0.8).await;
    Ok(stage)
}

/// Two operators change one object from the same base through two nodes: one wins.
pub(super) async fn two_operators_race(seed: u64) -> Result<Stage, Error> {
    let mut stage = Stage::start(seed, &Mix::default()).await?;
    let node = stage.drawn_node();
    let other = stage.other_than(node);
    stage.run(500).await;
    for round in 0..5 {
        let base = stage.fleet.revision(node).await?;
        let put = |paused| Edit::Put(rollout("2", paused));
        let one = stage
            .fleet
            .change_from(node, base, put(round % 2 == 0), Intent::Other);
        let two = stage
            .fleet
            .change_from(other, base, put(round % 2 == 1), Intent::Other);
        let (one, two) = tokio::join!(one, two);
        let won = [&one, &two]
            .iter()
            .filter(|change| change.accepted_ms.is_some())
            .count();
        stage.expect(won == 1, || {
            format!("{won} of two racing changes won: {one:?} {two:?}")
        });
        stage.run(600).await;
    }
    stage.expect_recovery(1_000, 0.9).await;
    Ok(stage)
}

/// The node through which a roll-out was declared dies right after.
pub(super) async fn rollout_interrupted(seed: u64) -> Result<Stage, Error> {
    let mut stage = Stage::start(seed, &Mix::default()).await?;
    let node = stage.drawn_node();
    stage.run(500).await;
    stage
        .fleet
        .change(node, Edit::Put(rollout("2", false)), Intent::Other)
        .await;
    stage.fleet.kill(node).await?;
    stage.run(1_500).await;
    let other = stage.other_than(node);
    stage.fleet.withdraw(other, "small", "2", true).await;
    stage.fleet.restart(node).await?;
    stage.run(5_500).await;
    stage.expect_recovery(1_500, 0.8).await;
    Ok(stage)
}

/// A contract loses a version under load.
pub(super) async fn contract_narrowed(seed: u64) -> Result<Stage, Error> {
    let mut stage = Stage::start(seed, &Mix::default()).await?;
    let node = stage.drawn_node();
    stage.run(500).await;
    let narrowed = sample().into_iter().find_map(|object| match object {
        Object::Contract(contract) if contract.customer == "north" => Some(contract),
        _ => None,
    });
    let Some(mut contract) = narrowed else {
        return Ok(stage);
    };
    contract.models = vec!["small@1".to_owned(), "large".to_owned()];
    let intent = Intent::Allow {
        customer: contract.customer.clone(),
        models: contract.models.clone(),
    };
    let change = stage
        .fleet
        .change(node, Edit::Put(Object::Contract(contract)), intent)
        .await;
    let settled = stage.fleet.wait_in_force(node, &change).await;
    stage.expect(settled.is_ok(), || {
        format!("the contract isn't in force: {settled:?}")
    });
    stage.expect_recovery(2_500, 0.9).await;
    Ok(stage)
}

fn rollout(to: &str, paused: bool) -> Object {
    Object::Rollout(Rollout {
        bad_answers: 20,
        model: "small".to_owned(),
        paused,
        to: to.to_owned(),
    })
}
