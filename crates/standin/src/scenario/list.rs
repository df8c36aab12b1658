//! All scenarios by name.

use super::{Report, Stage, backends, links, mixed, nodes, platform, versions, zones};
use crate::Error;
use futures::FutureExt;
use futures::future::BoxFuture;
use std::panic::AssertUnwindSafe;

/// A failure that is made to happen.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// Name, also of the test.
    pub name: &'static str,
    run: fn(u64) -> BoxFuture<'static, Result<Stage, Error>>,
}

macro_rules! scenarios {
    ($($module:ident: $($name:ident)*;)*) => {
        /// All scenarios.
        pub const ALL: &[Scenario] = &[
            $($(Scenario {
                name: stringify!($name),
                run: |seed| Box::pin($module::$name(seed)),
            },)*)*
        ];
    };
}

scenarios! {
    nodes: quiet_fleet node_killed_in_mid_stream node_killed_in_mid_confirmation
        node_paused_past_its_lease node_stopped_under_load all_nodes_replaced;
    platform: platform_down_at_claims platform_down_at_bills platform_down_at_changes
        platform_slow_at_claims platform_slow_at_bills platform_slow_at_changes
        platform_loses_claim_answers platform_loses_bill_answers platform_loses_change_answers
        platform_down_for_one_node platform_down_during_a_withdrawal;
    zones: zone_out_and_back zone_out_while_the_platform_is_down zone_out_and_a_node_dies;
    versions: withdrawal_under_load withdrawal_races_a_rollout two_operators_race
        rollout_interrupted contract_narrowed;
    backends: cold_start_under_load engine_restarts_cold engine_turns_cold engine_leaves_and_returns
        crashing_request_is_resent late_and_crossed_answers;
    links: silent_caller_links silent_engine_links silent_service_links silent_node_links
        silent_platform_links;
    mixed: two_failures_at_once;
}

/// The scenario of a name.
///
/// ```
/// assert!(standin::scenario::find("quiet_fleet").is_some());
/// ```
pub fn find(name: &str) -> Option<&'static Scenario> {
    ALL.iter().find(|scenario| scenario.name == name)
}

impl Scenario {
    /// Makes the failure happen and checks every promise.
    pub async fn run(&self, seed: u64) -> Result<Report, Error> {
        // A panic in one scenario doesn't end a measurement of many.
        let run = AssertUnwindSafe((self.run)(seed)).catch_unwind();
        let stage = run
            .await
            .map_err(|_| Error::Timeout("scenario panicked"))??;
        stage.report(self.name, seed).await
    }
}
