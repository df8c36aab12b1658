//! A node's operator API with a stand-in for the table service, and `sardinectl` as a process.

use node::app::{App, Components};
use serde_json::Value;
use settings::Secret;
use settings::node::Settings;
use standin::fault::{Fault, Kind};
use standin::proxy::Proxy;
use standin::serve::{Server, loopback};
use std::io::Write;
use std::net::SocketAddr;
use std::process::{Command, Output, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

pub const OPERATOR_KEY: &str = "bootstrap-key-of-operators";
pub const LINK_KEY: &str = "first-key-shared-by-links";
pub const SESSION_KEY: &str = "first-key-that-signs-sessions";
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Longest wait of a node for a change to be accepted. Must be shorter than the request timeout of
/// `sardinectl`, which is 2 s in these tests.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(500);
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);
const SAMPLES: [&str; 6] = [
    "access",
    "fraser-lyle",
    "huaman",
    "models",
    "services",
    "zones",
];

/// A node with its operator API, and its table service.
pub struct Fleet {
    pub table: standin::table::Server,
    pub server: Server,
    pub app: Arc<App>,
    http_proxy: Proxy,
    _link_proxy: Proxy,
}

impl Fleet {
    pub async fn start() -> Self {
        let settings = Default::default();
        let table = standin::table::Server::start(settings).await.unwrap();
        let http_proxy = unconnected_proxy().await;
        let (app, link_proxy) = start_node("n1", &table.url(), http_proxy.address()).await;
        let rocket = rocket::build()
            .manage(Arc::clone(&app))
            .mount("/", node::operator::routes())
            .register(node::operator::ROOT, node::operator::catchers());
        let server = Server::start(rocket, loopback(0)).await.unwrap();
        http_proxy.retarget(server.address());
        wait_until(|| app.replica.joined()).await;
        Self {
            table,
            server,
            app,
            http_proxy,
            _link_proxy: link_proxy,
        }
    }

    /// Runs `sardinectl` against the node, with a request timeout of 2 s.
    pub async fn ctl(&self, args: &[&str]) -> Run {
        ctl(&self.http_proxy.url(), args, "").await
    }
}

/// Starts a proxy without a target, so that its address is known before that of the target.
async fn unconnected_proxy() -> Proxy {
    Proxy::start(loopback(1), Default::default()).await.unwrap()
}

/// Starts a node without HTTP routes, and the proxy in front of its link port.
pub async fn start_node(name: &str, table_url: &str, http: SocketAddr) -> (Arc<App>, Proxy) {
    let link_proxy = unconnected_proxy().await;
    let settings = Settings {
        node: name.into(),
        zone: "a".into(),
        advertise_http: Some(http),
        advertise_link: Some(link_proxy.address()),
        table_url: table_url.into(),
        accept_timeout: ACCEPT_TIMEOUT,
        operator_key: vec![Secret::new(OPERATOR_KEY)],
        link_key: vec![Secret::new(LINK_KEY)],
        session_key: vec![Secret::new(SESSION_KEY)],
        ..Settings::default()
    };
    let components = Components::new(&settings, 1).unwrap();
    let app = Arc::new(App::new(settings, components));
    link_proxy.retarget(app.hub.listen(loopback(0)).await.unwrap());
    tokio::spawn(Arc::clone(&app.replica).run());
    (app, link_proxy)
}

/// Waits until a condition holds; panics after `WAIT_TIMEOUT`.
pub async fn wait_until(condition: impl Fn() -> bool) {
    let polling = async {
        while !condition() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, polling).await.unwrap();
}

/// Exit status and output of a finished `sardinectl`.
#[derive(Debug)]
pub struct Run {
    pub status: i32,
    pub out: String,
    pub err: String,
}

impl Run {
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.out).unwrap_or_else(|_| panic!("{self:?}"))
    }
}

/// Runs `sardinectl` with a request timeout of 2 s.
pub async fn ctl(node: &str, args: &[&str], input: &str) -> Run {
    let args = [&["--timeout-ms", "2000"], args].concat();
    run_ctl(node, &args, input).await
}

/// Runs `sardinectl` with no other flags than `args` and, unless it is empty, the URL of a node.
pub async fn run_ctl(node: &str, args: &[&str], input: &str) -> Run {
    let mut command = Command::new(env!("CARGO_BIN_EXE_sardinectl"));
    if !node.is_empty() {
        command.args(["--node", node]);
    }
    command
        .env_remove("SARDINECTL_NODE")
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

/// Delays the next `count` writes of the table service, or all of them.
pub fn delay_writes(fleet: &Fleet, delay_ms: u64, count: Option<u64>) {
    let fault = Fault {
        count,
        delay_ms,
        matching: Some("TransactWriteItems".into()),
        ..Fault::new(Kind::Slow)
    };
    fleet.table.faults().add(fault, Instant::now());
}

fn sample_path(name: &str) -> String {
    format!("{}/../../samples/{name}.toml", env!("CARGO_MANIFEST_DIR"))
}

pub async fn apply_samples(fleet: &Fleet) -> Run {
    let files: Vec<_> = SAMPLES.iter().map(|name| sample_path(name)).collect();
    let mut args = vec!["--json", "apply", "--wait"];
    args.extend(files.iter().map(String::as_str));
    fleet.ctl(&args).await
}
