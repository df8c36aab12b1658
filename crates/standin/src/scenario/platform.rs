//! The platform is down, slow, or loses answers.

use super::Stage;
use crate::Error;
use crate::fault::{Fault, Kind};
use crate::fleet::Mix;
use crate::proxy::Faults;
use std::time::Instant;

const PHASE_MS: u64 = 2_500;
/// Longer than nodes of a test wait for the platform.
const SLOW_MS: u64 = 900;

macro_rules! moments {
    ($($name:ident: $kind:ident at $moment:ident;)*) => {
        $(pub(super) async fn $name(seed: u64) -> Result<Stage, Error> {
            strike_at(seed, Kind::$kind, Moment::$moment).await
        })*
    };
}

moments! {
    platform_down_at_claims: Down at Claims;
    platform_down_at_bills: Down at Bills;
    platform_down_at_changes: Down at Changes;
    platform_slow_at_claims: Slow at Claims;
    platform_slow_at_bills: Slow at Bills;
    platform_slow_at_changes: Slow at Changes;
    platform_loses_claim_answers: Lose at Claims;
    platform_loses_bill_answers: Lose at Bills;
    platform_loses_change_answers: Lose at Changes;
}

/// What nodes write when the platform fails.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Moment {
    Bills,
    Changes,
    Claims,
}

impl Moment {
    /// Text in the table's requests that are struck.
    fn matching(self) -> &'static str {
        match self {
            Self::Bills => "\"bill\"",
            Self::Changes => "config-rev",
            Self::Claims => "run/",
        }
    }

    fn mix(self) -> Mix {
        let confirmations = if self == Self::Claims { 0.7 } else { 0.2 };
        Mix {
            confirmations,
            ..Mix::default()
        }
    }
}

/// Strikes one kind of write for a while. A change sent meanwhile is settled afterwards.
async fn strike_at(seed: u64, kind: Kind, moment: Moment) -> Result<Stage, Error> {
    let mut stage = Stage::start(seed, &moment.mix()).await?;
    let node = stage.drawn_node();
    stage.run(800).await;
    let fault = Fault {
        delay_ms: if kind == Kind::Slow { SLOW_MS } else { 0 },
        matching: Some(moment.matching().to_owned()),
        ..Fault::new(kind)
    };
    stage
        .fleet
        .platform
        .table
        .faults()
        .add(fault, Instant::now());
    let mut change = None;
    if moment == Moment::Changes {
        change = Some(stage.fleet.withdraw(node, "small", "2", true).await);
    }
    stage.run(PHASE_MS).await;
    stage.fleet.platform.table.faults().clear();
    stage.run(1_000).await;
    if let Some(mut change) = change {
        if change.rejected {
            change = stage.fleet.withdraw(node, "small", "2", true).await;
        } else if change.revision.is_none() {
            change = stage.fleet.repeat(node, &change).await;
        }
        let settled = stage
            .fleet
            .wait_in_force(stage.other_than(node), &change)
            .await;
        stage.expect(settled.is_ok(), || {
            format!("the change isn't in force: {settled:?}")
        });
    }
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
    stage.fleet.platform.table.faults().clear();
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
        .faults()
        .add(fault, Instant::now());
}
