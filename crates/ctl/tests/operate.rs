//! `sardinectl` as a process against the operators' routes of a node, over a stand-in of the table service.

use node::app::{App, Parts};
use serde_json::{Value, json};
use settings::Secret;
use settings::node::Settings;
use standin::fault::{Fault, Kind};
use standin::proxy::{Faults, Proxy};
use standin::serve;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::process::{Command, Output, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

const OPERATOR_KEY: &str = "bootstrap-key-of-operators";
const LINK_KEY: &str = "first-key-shared-by-links";
const SESSION_KEY: &str = "first-key-that-signs-sessions";
const NEW_KEY: &str = "second-key-shared-by-all";
const NIGHT_SHIFT_KEY: &str = "sample-key-of-the-night-shift";
/// Delay of a slow write, below the node's own patience with the table.
const SLOW_MS: u64 = 1_200;
const SAMPLES: [&str; 6] = [
    "access",
    "fraser-lyle",
    "huaman",
    "models",
    "services",
    "zones",
];

/// A node's routes for operators and its table service.
struct Fleet {
    table: standin::table::Server,
    server: serve::Server,
    app: Arc<App>,
}

impl Fleet {
    async fn start() -> Self {
        let table = standin::table::Server::start(Default::default())
            .await
            .unwrap();
        let http = free_address();
        let settings = Settings {
            node: "n1".into(),
            zone: "a".into(),
            http,
            table_url: table.url(),
            operator_key: vec![Secret::new(OPERATOR_KEY)],
            link_key: vec![Secret::new(LINK_KEY)],
            session_key: vec![Secret::new(SESSION_KEY)],
            ..Settings::default()
        };
        let parts = Parts::new(&settings, 1).unwrap();
        let app = Arc::new(App::new(settings, parts));
        tokio::spawn(Arc::clone(&app.replica).run());
        let rocket = rocket::build()
            .manage(Arc::clone(&app))
            .mount("/", node::operator::routes())
            .register(node::operator::ROOT, node::operator::catchers());
        let server = serve::Server::start(rocket, http).await.unwrap();
        let fleet = Self { table, server, app };
        fleet.join().await;
        fleet
    }

    /// Puts the member, if the replica didn't do so itself.
    async fn join(&self) {
        let body = json!({ "member": {
            "node": "n1", "incarnation": 1, "zone": "a",
            "http": self.server.address().to_string(), "link": "127.0.0.1:1",
        } });
        let entry = wire::Entry {
            key: "member/n1".into(),
            body: Some(body.to_string()),
        };
        self.app
            .replica
            .propose("join".into(), None, vec![entry])
            .await
            .unwrap();
    }

    async fn ctl(&self, args: &[&str]) -> Run {
        ctl(&self.server.url(), args, "").await
    }
}

fn free_address() -> SocketAddr {
    TcpListener::bind(("127.0.0.1", 0))
        .unwrap()
        .local_addr()
        .unwrap()
}

/// Exit status and output of a finished `sardinectl`.
#[derive(Debug)]
struct Run {
    status: i32,
    out: String,
    err: String,
}

impl Run {
    fn json(&self) -> Value {
        serde_json::from_str(&self.out).unwrap_or_else(|_| panic!("{self:?}"))
    }
}

async fn ctl(node: &str, args: &[&str], input: &str) -> Run {
    let args = [&["--timeout-ms", "2000"], args].concat();
    ctl_bare(node, &args, input).await
}

async fn ctl_bare(node: &str, args: &[&str], input: &str) -> Run {
    let mut command = Command::new(env!("CARGO_BIN_EXE_sardinectl"));
    command
        .args(["--node", node])
        .args(args)
        .env("SARDINECTL_OPERATOR_KEY", OPERATOR_KEY)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped());
    let input = input.to_owned();
    let wait = move || -> std::io::Result<Output> {
        let mut child = command.spawn()?;
        if let Some(mut stdin) = child.stdin.take() {
            stdin.write_all(input.as_bytes())?;
        }
        child.wait_with_output()
    };
    let output = tokio::task::spawn_blocking(wait).await.unwrap().unwrap();
    Run {
        status: output.status.code().unwrap_or(-1),
        out: String::from_utf8(output.stdout).unwrap(),
        err: String::from_utf8(output.stderr).unwrap(),
    }
}

/// The next writes, or all, take effect late.
fn slow_writes(fleet: &Fleet, delay_ms: u64, count: Option<u64>) {
    let fault = Fault {
        count,
        delay_ms,
        matching: Some("TransactWriteItems".into()),
        ..Fault::new(Kind::Slow)
    };
    fleet.table.switch().add(fault, Instant::now());
}

fn sample(name: &str) -> String {
    format!("{}/../../samples/{name}.toml", env!("CARGO_MANIFEST_DIR"))
}

async fn apply_samples(fleet: &Fleet) -> Run {
    let files: Vec<_> = SAMPLES.iter().map(|name| sample(name)).collect();
    let mut args = vec!["--json", "apply", "--wait"];
    args.extend(files.iter().map(String::as_str));
    fleet.ctl(&args).await
}

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
        assert!(fleet.app.config().withdrawn("large", "2"));
        let status = fleet.ctl(&["status"]).await;
        assert!(status.out.contains("large   2        withdrawn"), "{status:?}");
        let restore = fleet.ctl(&["restore", "large@2"]).await;
        assert_eq!(restore.status, 0, "{restore:?}");
        assert!(!fleet.app.config().withdrawn("large", "2"));
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
        assert!(fleet.app.config().zone_out("b"));
        assert_eq!(fleet.ctl(&["zone", "in", "b"]).await.status, 0);
        assert!(!fleet.app.config().zone_out("b"));
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

    what_get_prints_can_be_applied_again: |fleet| {
        let run = fleet.ctl(&["get", "contract/huaman-plans"]).await;
        let file = std::env::temp_dir().join(format!("sardinectl-{}.toml", std::process::id()));
        std::fs::write(&file, run.out.replace("priority = 2", "priority = 3")).unwrap();
        let diff = fleet.ctl(&["diff", file.to_str().unwrap()]).await;
        std::fs::remove_file(&file).unwrap();
        assert_eq!(diff.out, "~ contract/huaman-plans /priority: 2 -> 3\n");
    }

    lost_answer_is_settled_by_the_change_id: |fleet| {
        let proxy = Proxy::start(fleet.server.address(), Default::default()).await.unwrap();
        proxy.set(Faults::lose_answers());
        let base = fleet.app.config().revision();
        let change = json!({ "change": "c9", "base": base, "entries": [
            { "key": "zone/b", "object": { "zone": { "name": "b", "out": true } } },
        ] });
        let url = format!("{}/operator/v1/changes", proxy.url());
        let request = reqwest::Client::new().post(url).bearer_auth(OPERATOR_KEY).json(&change);
        assert!(request.send().await.is_err());
        let told = fleet.ctl(&["--json", "change", "c9"]).await;
        assert_eq!(told.json()["revision"], base + 1);
        let again = fleet.ctl(&["--json", "zone", "--change-id", "c9", "out", "b"]).await;
        assert_eq!(again.json()["revision"], base + 1);
        assert_eq!(fleet.app.config().revision(), base + 1);
    }

    lost_answer_of_one_node_is_settled_at_the_next: |fleet| {
        let proxy = Proxy::start(fleet.server.address(), Default::default()).await.unwrap();
        let nodes = format!("{},{}", proxy.url(), fleet.server.url());
        proxy.set(Faults::lose_answers());
        let base = fleet.app.config().revision();
        let run = ctl(&nodes, &["--json", "zone", "out", "b"], "").await;
        assert_eq!((run.status, &run.json()["revision"]), (0, &json!(base + 1)), "{run:?}");
        assert_eq!(fleet.app.config().revision(), base + 1);
    }

    outage_of_the_table_is_said_not_to_have_run: |fleet| {
        fleet.table.switch().add(Fault::new(Kind::Down), Instant::now());
        let run = fleet.ctl(&["zone", "out", "b"]).await;
        assert_eq!(run.status, 4, "{run:?}");
        assert!(run.err.contains("nothing was done"));
    }

    racing_changes_give_one_conflict_with_both: |fleet| {
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

    later_of_two_racing_operators_is_told: |fleet| {
        slow_writes(&fleet, SLOW_MS / 2, Some(1));
        let (late, early) = tokio::join!(fleet.ctl(&["--json", "zone", "out", "b"]), async {
            tokio::time::sleep(Duration::from_millis(SLOW_MS / 4)).await;
            fleet.ctl(&["remove", "zone/b"]).await
        });
        assert_eq!(early.status, 0, "{early:?}");
        assert_eq!(late.status, 3, "{late:?}");
        let conflict = &late.json()["refusal"]["conflict"];
        assert_eq!((conflict["key"].as_str(), &conflict["current"]), (Some("zone/b"), &Value::Null));
    }

    change_that_already_stands_is_no_conflict: |fleet| {
        slow_writes(&fleet, SLOW_MS / 2, Some(1));
        let (late, early) = tokio::join!(fleet.ctl(&["zone", "out", "b"]), async {
            tokio::time::sleep(Duration::from_millis(SLOW_MS / 4)).await;
            fleet.ctl(&["zone", "out", "b"]).await
        });
        assert_eq!((early.status, late.status), (0, 0), "{late:?}");
        assert!(late.out.contains("it already stands so"), "{late:?}");
    }

    outcome_that_stays_unknown_has_its_own_status: |fleet| {
        slow_writes(&fleet, SLOW_MS, None);
        let args = ["--json", "--timeout-ms", "100", "zone", "--change-id", "c5", "out", "b"];
        let url = fleet.server.url();
        let run = ctl_bare(&url, &args, "").await;
        assert_eq!((run.status, &run.json()["change"]), (5, &json!("c5")), "{run:?}");
        fleet.table.switch().clear();
        let again = fleet.ctl(&["zone", "--change-id", "c5", "out", "b"]).await;
        assert_eq!(again.status, 0, "{again:?}");
        assert_eq!(fleet.ctl(&["change", "c5"]).await.status, 0);
        assert!(fleet.app.config().zone_out("b"));
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

    no_key_shows_in_a_dump: |fleet| {
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

async fn post(fleet: &Fleet, key: Option<&str>, body: &str) -> (u16, Value) {
    let url = format!("{}/operator/v1/changes", fleet.server.url());
    let mut request = reqwest::Client::new().post(url).body(body.to_owned());
    if let Some(key) = key {
        request = request.bearer_auth(key);
    }
    let response = request.send().await.unwrap();
    let status = response.status().as_u16();
    (status, response.json().await.unwrap())
}

macro_rules! refused {
    ($($name:ident: $key:expr, $body:expr => $status:literal, $code:literal;)*) => {$(
        #[tokio::test(flavor = "multi_thread")]
        async fn $name() {
            let fleet = Fleet::start().await;
            let (status, body) = post(&fleet, $key, &$body.to_string()).await;
            assert_eq!((status, &body["error"]["code"]), ($status, &json!($code)), "{body}");
            assert_eq!(body["error"]["ran"], "no");
        }
    )*};
}

fn edit(key: &str, object: Value) -> Value {
    json!({ "change": "c", "entries": [{ "key": key, "object": object }] })
}

refused! {
    no_key: None, json!({}) => 401, "unauthenticated";
    wrong_key: Some("bootstrap-key-of-operatorz"), json!({}) => 401, "unauthenticated";
    malformed_json: Some(OPERATOR_KEY), "{\"change\":" => 400, "invalid_request";
    unknown_field: Some(OPERATOR_KEY), json!({ "change": "c", "entries": [], "force": true }) => 400, "invalid_request";
    no_entries: Some(OPERATOR_KEY), json!({ "change": "c", "entries": [] }) => 400, "invalid_change";
    members_belong_to_nodes: Some(OPERATOR_KEY), edit("member/n1", Value::Null) => 422, "member";
    unknown_kind: Some(OPERATOR_KEY), edit("cluster/a", json!({ "cluster": {} })) => 422, "invalid_configuration";
    wrong_key_of_an_object: Some(OPERATOR_KEY), edit("zone/a", json!({ "zone": { "name": "b", "out": true } })) => 422, "invalid_configuration";
    unknown_model: Some(OPERATOR_KEY), edit("contract/c", json!({ "contract": { "customer": "c", "keys": [], "models": ["huge"] } })) => 422, "invalid_configuration";
    base_ahead_of_the_log: Some(OPERATOR_KEY), json!({ "change": "c", "base": 99, "entries": [{ "key": "zone/a", "object": { "zone": { "name": "a", "out": true } } }] }) => 422, "unknown_base";
}
