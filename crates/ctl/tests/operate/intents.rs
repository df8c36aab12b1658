//! Changes of the configuration: their outcome, conflicts with other operators and faults of the
//! platform.

use super::fleet::{
    Fleet, LINK_KEY, OPERATOR_KEY, SESSION_KEY, apply_samples, ctl, delay_writes, run_ctl,
};
use serde_json::{Value, json};
use standin::fault::{Fault, Kind};
use standin::proxy::{Faults, Proxy};
use std::time::{Duration, Instant};

const NEW_KEY: &str = "second-key-shared-by-all";
const NIGHT_SHIFT_KEY: &str = "sample-key-of-the-night-shift";
/// Delay of a slow write, shorter than the node's own timeout of calls to the table service.
const WRITE_DELAY_MS: u64 = 1_200;

macro_rules! operate {
    ($($name:ident: |$fleet:ident| $body:block)*) => {$(
        #[tokio::test(flavor = "multi_thread")]
        async fn $name() {
            let $fleet = Fleet::start().await;
            let applied = apply_samples(&$fleet).await;
            assert_eq!((applied.status, &applied.json()["state"]), (0, &json!("in_force")), "{applied:?}");
            $body
        }
    )*};
}

operate! {
    samples_apply_once: |fleet| {
        let revision = fleet.app.config().revision();
        let again = apply_samples(&fleet).await;
        assert_eq!(again.json(), json!({ "revision": revision }));
    }

    withdrawal_and_restore: |fleet| {
        let run = fleet.ctl(&["withdraw", "--reason", "bad plans", "--wait", "large@2"]).await;
        assert_eq!(run.status, 0, "{run:?}");
        assert!(fleet.app.config().is_withdrawn("large", "2"));
        let status = fleet.ctl(&["status"]).await;
        assert!(status.out.contains("serving\nrevision"), "{status:?}");
        assert!(status.out.contains("head read"), "{status:?}");
        assert!(status.out.contains("large   2        withdrawn"), "{status:?}");
        let restore = fleet.ctl(&["restore", "large@2"]).await;
        assert_eq!(restore.status, 0, "{restore:?}");
        assert!(!fleet.app.config().is_withdrawn("large", "2"));
        assert_eq!(fleet.ctl(&["restore", "large@2"]).await.status, 2);
    }

    withdrawal_that_leaves_a_customer_without_versions_warns: |fleet| {
        fleet.ctl(&["withdraw", "small@1"]).await;
        let run = fleet.ctl(&["withdraw", "small@2"]).await;
        assert_eq!(run.status, 0);
        let warning = "warning: contract/huaman-farms /models: every version";
        assert!(run.err.contains(warning), "{run:?}");
    }

    unknown_version_is_refused: |fleet| {
        let run = fleet.ctl(&["--json", "withdraw", "small@9"]).await;
        assert_eq!(run.status, 2);
        let findings = &run.json()["refusal"]["findings"];
        assert_eq!(findings[0]["code"], "unknown_version");
    }

    rollout_pauses_and_resumes: |fleet| {
        fleet.ctl(&["rollout", "small", "--to", "2", "--bad-answers", "5"]).await;
        fleet.ctl(&["pause", "small"]).await;
        let paused = fleet.app.config().rollout("small").cloned().unwrap();
        assert_eq!((paused.to.as_str(), paused.bad_answers, paused.paused), ("2", 5, true));
        assert_eq!(fleet.ctl(&["resume", "small"]).await.status, 0);
        assert!(!fleet.app.config().rollout("small").unwrap().paused);
        assert_eq!(fleet.ctl(&["resume", "large"]).await.status, 2);
    }

    zone_goes_out_and_in: |fleet| {
        assert_eq!(fleet.ctl(&["zone", "out", "b"]).await.status, 0);
        assert!(fleet.app.config().is_zone_out("b"));
        assert_eq!(fleet.ctl(&["zone", "in", "b"]).await.status, 0);
        assert!(!fleet.app.config().is_zone_out("b"));
    }

    last_zone_out_warns: |fleet| {
        let run = fleet.ctl(&["zone", "out", "a"]).await;
        assert_eq!(run.status, 0);
        assert!(run.err.contains("no member is left in a zone that is in"), "{run:?}");
    }

    mistyped_zone_warns: |fleet| {
        let run = fleet.ctl(&["zone", "--dry-run", "out", "aa"]).await;
        assert!(run.err.contains("no member of the fleet is in zone aa"), "{run:?}");
    }

    dry_run_changes_nothing: |fleet| {
        let revision = fleet.app.config().revision();
        let run = fleet.ctl(&["--json", "zone", "--dry-run", "out", "b"]).await;
        assert_eq!(run.json()["state"], "checked");
        assert_eq!(fleet.app.config().revision(), revision);
    }

    output_of_get_can_be_applied: |fleet| {
        let run = fleet.ctl(&["get", "contract/huaman-plans"]).await;
        let file = std::env::temp_dir().join(format!("sardinectl-{}.toml", std::process::id()));
        std::fs::write(&file, run.out.replace("priority = 2", "priority = 3")).unwrap();
        let diff = fleet.ctl(&["diff", file.to_str().unwrap()]).await;
        std::fs::remove_file(&file).unwrap();
        assert_eq!(diff.out, "~ contract/huaman-plans /priority: 2 -> 3\n");
    }

    lost_response_is_resolved_by_the_change_id: |fleet| {
        let proxy = Proxy::start(fleet.server.address(), Default::default()).await.unwrap();
        proxy.set(Faults::lose_answers());
        let base = fleet.app.config().revision();
        let change = json!({ "change": "c9", "base": base, "entries": [
            { "key": "zone/b", "object": { "zone": { "name": "b", "out": true } } },
        ] });
        let url = format!("{}/operator/v1/changes", proxy.url());
        let request = reqwest::Client::new().post(url).bearer_auth(OPERATOR_KEY).json(&change);
        assert!(request.send().await.is_err());
        let outcome = fleet.ctl(&["--json", "change", "c9"]).await;
        assert_eq!(outcome.json()["revision"], base + 1);
        let again = fleet.ctl(&["--json", "zone", "--change-id", "c9", "out", "b"]).await;
        assert_eq!(again.json()["revision"], base + 1);
        assert_eq!(fleet.app.config().revision(), base + 1);
    }

    lost_response_of_one_node_is_resolved_by_the_next: |fleet| {
        let proxy = Proxy::start(fleet.server.address(), Default::default()).await.unwrap();
        let nodes = format!("{},{}", proxy.url(), fleet.server.url());
        proxy.set(Faults::lose_answers());
        let base = fleet.app.config().revision();
        let run = ctl(&nodes, &["--json", "zone", "out", "b"], "").await;
        assert_eq!((run.status, &run.json()["revision"]), (0, &json!(base + 1)), "{run:?}");
        assert_eq!(fleet.app.config().revision(), base + 1);
    }

    table_outage_is_reported_as_not_executed: |fleet| {
        fleet.table.faults().add(Fault::new(Kind::Down), Instant::now());
        let run = fleet.ctl(&["zone", "out", "b"]).await;
        assert_eq!(run.status, 4, "{run:?}");
        assert!(run.err.contains("nothing was done"));
    }

    concurrent_changes_give_a_conflict_with_both_values: |fleet| {
        let stale = fleet.app.config().revision();
        fleet.ctl(&["zone", "out", "b"]).await;
        let change = json!({ "change": "late", "base": stale, "entries": [
            { "key": "zone/b", "object": { "zone": { "name": "b", "out": false } } },
        ] });
        let url = format!("{}/operator/v1/changes", fleet.server.url());
        let request = reqwest::Client::new().post(url).bearer_auth(OPERATOR_KEY).json(&change);
        let response = request.send().await.unwrap();
        assert_eq!(response.status(), 409);
        let body: Value = response.json().await.unwrap();
        assert_eq!(body["error"]["ran"], "no");
        assert_eq!(body["conflict"]["current"]["zone"]["out"], true);
        assert_eq!(body["conflict"]["yours"]["zone"]["out"], false);
    }

    later_of_two_concurrent_operators_gets_a_conflict: |fleet| {
        delay_writes(&fleet, WRITE_DELAY_MS / 2, Some(1));
        let (late, early) = tokio::join!(fleet.ctl(&["--json", "zone", "out", "b"]), async {
            tokio::time::sleep(Duration::from_millis(WRITE_DELAY_MS / 4)).await;
            fleet.ctl(&["remove", "zone/b"]).await
        });
        assert_eq!(early.status, 0, "{early:?}");
        assert_eq!(late.status, 3, "{late:?}");
        let conflict = &late.json()["refusal"]["conflict"];
        assert_eq!((conflict["key"].as_str(), &conflict["current"]), (Some("zone/b"), &Value::Null));
    }

    change_that_is_already_applied_is_no_conflict: |fleet| {
        delay_writes(&fleet, WRITE_DELAY_MS / 2, Some(1));
        let (late, early) = tokio::join!(fleet.ctl(&["zone", "out", "b"]), async {
            tokio::time::sleep(Duration::from_millis(WRITE_DELAY_MS / 4)).await;
            fleet.ctl(&["zone", "out", "b"]).await
        });
        assert_eq!((early.status, late.status), (0, 0), "{late:?}");
        assert!(late.out.contains("it already stands so"), "{late:?}");
    }

    unknown_outcome_has_its_own_status: |fleet| {
        delay_writes(&fleet, WRITE_DELAY_MS, None);
        let args = ["--json", "--timeout-ms", "100", "zone", "--change-id", "c5", "out", "b"];
        let url = fleet.server.url();
        let run = run_ctl(&url, &args, "").await;
        assert_eq!((run.status, &run.json()["change"]), (5, &json!("c5")), "{run:?}");
        fleet.table.faults().clear();
        let again = fleet.ctl(&["zone", "--change-id", "c5", "out", "b"]).await;
        assert_eq!(again.status, 0, "{again:?}");
        assert_eq!(fleet.ctl(&["change", "c5"]).await.status, 0);
        assert!(fleet.app.config().is_zone_out("b"));
    }

    operators_keys_change_without_a_restart: |fleet| {
        let with_key = ["--operator-key", NIGHT_SHIFT_KEY, "status"];
        assert_eq!(fleet.ctl(&with_key).await.status, 0);
        assert_eq!(fleet.ctl(&["remove", "access/night-shift"]).await.status, 0);
        let refused = fleet.ctl(&with_key).await;
        assert_eq!(refused.status, 2, "{refused:?}");
    }

    shared_keys_rotate_on_every_member: |fleet| {
        for step in ["add", "use"] {
            let run = ctl(&fleet.server.url(), &["rotate", "link", step], NEW_KEY).await;
            assert_eq!(run.status, 0, "{run:?}");
            assert!(run.out.contains("n1"), "{run:?}");
        }
        assert!(fleet.app.link_keys.keys()[0].matches(NEW_KEY));
        let in_use = ctl(&fleet.server.url(), &["rotate", "link", "remove"], NEW_KEY).await;
        assert_eq!(in_use.status, 2, "{in_use:?}");
        let run = ctl(&fleet.server.url(), &["rotate", "link", "remove"], LINK_KEY).await;
        assert_eq!(run.status, 0, "{run:?}");
        assert_eq!(fleet.app.link_keys.keys().len(), 1);
    }

    dump_contains_no_key: |fleet| {
        ctl(&fleet.server.url(), &["rotate", "session", "add"], NEW_KEY).await;
        let dump = fleet.ctl(&["dump", "n1"]).await;
        assert_eq!(dump.status, 0, "{dump:?}");
        assert!(dump.out.contains("contract/huaman-plans"));
        let caller_key = "sample-key-of-huaman-plans";
        for secret in [OPERATOR_KEY, LINK_KEY, SESSION_KEY, NEW_KEY, NIGHT_SHIFT_KEY, caller_key] {
            assert!(!dump.out.contains(secret), "{secret}");
            assert!(!dump.out.contains(&contract::Key::digest(secret)), "digest of {secret}");
        }
    }
}
