//! Changes while some members are stopped.

use super::fleet::{Fleet, start_node, wait_until};
use standin::serve::loopback;
use std::time::Instant;
use tokio::runtime::Runtime;
use tokio::task::spawn_blocking;

/// A member in a runtime of its own, so that all of its tasks can be stopped at once.
struct Member(Option<Runtime>);

impl Member {
    async fn start(fleet: &Fleet, name: &'static str) -> Self {
        let url = fleet.table.url();
        let starting = spawn_blocking(move || {
            let runtime = Runtime::new().unwrap();
            let (app, link_proxy) = runtime.block_on(start_node(name, &url, loopback(1)));
            runtime.spawn(async move {
                let _link_proxy = link_proxy;
                wait_until(|| app.replica.joined()).await;
                std::future::pending::<()>().await;
            });
            Self(Some(runtime))
        });
        starting.await.unwrap()
    }

    fn stop(&mut self) {
        if let Some(runtime) = self.0.take() {
            runtime.shutdown_background();
        }
    }
}

impl Drop for Member {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Starts three members and waits until all are live and have applied the configuration.
async fn start_three() -> (Fleet, [Member; 2]) {
    let fleet = Fleet::start().await;
    let members = [
        Member::start(&fleet, "n2").await,
        Member::start(&fleet, "n3").await,
    ];
    wait_until(|| {
        let members = fleet.app.replica.members(Instant::now());
        let live = members
            .iter()
            .filter(|member| member.state == view::State::Live);
        let revision = fleet.app.config().revision();
        let progress = fleet.app.replica.progress(revision);
        live.count() == 3 && progress.accepted && progress.outstanding.is_empty()
    })
    .await;
    (fleet, members)
}

macro_rules! members_stopped {
    ($($name:ident: $stopped:expr, $args:expr => $status:literal, $text:literal;)*) => {$(
        #[tokio::test(flavor = "multi_thread")]
        async fn $name() {
            let (fleet, mut members) = start_three().await;
            members.iter_mut().rev().take($stopped).for_each(Member::stop);
            let run = fleet.ctl(&$args).await;
            assert_eq!(run.status, $status, "{run:?}");
            let output = format!("{}{}", run.out, run.err);
            assert!(output.contains($text), "{run:?}");
            assert!(fleet.app.config().is_zone_out("b"));
        }
    )*};
}

members_stopped! {
    all_members_in_touch: 0, ["zone", "--wait", "out", "b"] => 0, "in force";
    minority_cut_off: 1, ["zone", "out", "b"] => 0, "accepted, revision 4; outstanding: n3";
    wait_for_a_cut_off_member_ends: 1, ["zone", "--wait", "--wait-ms", "300", "out", "b"] => 6, "accepted, revision 4; outstanding: n3";
    majority_cut_off: 2, ["zone", "out", "b"] => 6, "written, not yet accepted by a majority, revision 4; outstanding: n2, n3";
}
