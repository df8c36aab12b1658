//! Open connections that go silent for good, while new ones work.

use super::Stage;
use crate::Error;
use crate::fleet::{Mix, Settings};
use crate::proxy::Proxy;

/// Silent connections from callers to nodes.
pub(super) async fn silent_caller_links(seed: u64) -> Result<Stage, Error> {
    let settings = Settings {
        seed,
        caller_proxies: true,
        ..Settings::default()
    };
    let stage = Stage::with(settings, &Mix::default()).await?;
    // Callers that wait on a silent connection give up by themselves; others are served at once.
    go_silent(stage, 0.6, |stage| {
        stage.fleet.nodes.iter().map(|node| &node.front).collect()
    })
    .await
}

/// Silent connections from nodes to engines.
pub(super) async fn silent_engine_links(seed: u64) -> Result<Stage, Error> {
    let stage = Stage::start(seed, &Mix::default()).await?;
    go_silent(stage, 0.8, |stage| backends(stage, true)).await
}

/// Silent connections from nodes to reservation servers.
pub(super) async fn silent_service_links(seed: u64) -> Result<Stage, Error> {
    let mix = Mix {
        confirmations: 0.4,
        lookups: 0.3,
        ..Mix::default()
    };
    let stage = Stage::start(seed, &mix).await?;
    go_silent(stage, 0.8, |stage| backends(stage, false)).await
}

/// Silent connections between nodes.
pub(super) async fn silent_node_links(seed: u64) -> Result<Stage, Error> {
    let stage = Stage::start(seed, &Mix::default()).await?;
    go_silent(stage, 0.9, |stage| {
        stage.fleet.nodes.iter().map(|node| &node.link).collect()
    })
    .await
}

/// Silent connections from nodes to the platform.
pub(super) async fn silent_platform_links(seed: u64) -> Result<Stage, Error> {
    let stage = Stage::start(seed, &Mix::default()).await?;
    go_silent(stage, 0.8, |stage| {
        let nodes = stage.fleet.nodes.iter();
        nodes.flat_map(|node| node.platform_proxies()).collect()
    })
    .await
}

async fn go_silent(
    mut stage: Stage,
    share: f64,
    proxies: impl Fn(&Stage) -> Vec<&Proxy>,
) -> Result<Stage, Error> {
    stage.run(1_500).await;
    proxies(&stage)
        .iter()
        .for_each(|proxy| proxy.silence_open());
    stage.run(4_500).await;
    stage.expect_recovery(2_000, share).await;
    let node = stage.drawn_node();
    let change = stage.fleet.withdraw(node, "small", "2", true).await;
    let settled = stage
        .fleet
        .wait_in_force(stage.other_than(node), &change)
        .await;
    stage.expect(settled.is_ok(), || {
        format!("a change after the silence isn't in force: {settled:?}")
    });
    stage.run(1_000).await;
    Ok(stage)
}

fn backends(stage: &Stage, engines: bool) -> Vec<&Proxy> {
    let backends = stage.fleet.backends.iter();
    let of_kind = backends.filter(|backend| backend.engine.is_some() == engines);
    of_kind.map(|backend| &backend.proxy).collect()
}
