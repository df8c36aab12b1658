//! The node's process: command line, log format and exit status.

use serde_json::Value;
use std::io::{BufRead, BufReader, Read};
use std::process::{Child, Command, Output, Stdio};

const KEY: &str = "key-that-shows-nowhere-1";

fn sardinebank(args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_sardinebank"));
    command.env_clear().args(args);
    command
}

fn run(args: &[&str]) -> Output {
    sardinebank(args).output().unwrap()
}

/// Returns the command of a node whose platform is unreachable.
fn node_without_platform(extra: &[&str]) -> Command {
    let mut command = sardinebank(&["--node", "n1", "--zone", "a"]);
    command.args(["--http", "127.0.0.1:0", "--link", "127.0.0.1:0"]);
    for flag in ["--table-url", "--store-url", "--vms-url", "--ratings-url"] {
        command.args([flag, "http://127.0.0.1:1"]);
    }
    for flag in ["--operator-key", "--link-key", "--session-key"] {
        command.args([flag, KEY]);
    }
    command.args(extra);
    command
}

macro_rules! exits {
    ($($name:ident: $args:expr => $status:literal, $out:expr, $err:expr;)*) => {$(
        #[test]
        fn $name() {
            let output = run(&$args);
            let out = String::from_utf8_lossy(&output.stdout);
            let err = String::from_utf8_lossy(&output.stderr);
            assert_eq!(output.status.code(), Some($status), "{out}{err}");
            assert!(out.contains($out), "{out}");
            assert!(err.contains($err), "{err}");
        }
    )*};
}

exits! {
    version_is_printed: ["--version"] => 0, env!("CARGO_PKG_VERSION"), "";
    help_names_flag_and_environment: ["--help"] => 0, "SARDINEBANK_TABLE_URL", "";
    completion_is_printed: ["--bpaf-complete-style-bash"] => 0, "sardinebank", "";
    unknown_flag_ends_the_process: ["--nodes", "n1"] => 1, "", "--nodes";
    all_invalid_settings_are_reported: ["--http", "here"] => 1, "", "10 settings are wrong:";
}

#[test]
fn print_settings_hides_keys() {
    let output = node_without_platform(&["--print-settings"])
        .output()
        .unwrap();
    let out = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success());
    assert!(out.contains("<redacted>") && !out.contains(KEY), "{out}");
}

/// Kills the process when the test ends, also if it fails.
struct KillOnDrop(Child);

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

#[test]
fn events_are_numbered_json_lines_without_keys() {
    let mut command = node_without_platform(&["--log-format", "json"]);
    let mut node = KillOnDrop(command.stderr(Stdio::piped()).spawn().unwrap());
    let mut errors = BufReader::new(node.0.stderr.take().unwrap());
    let mut line = String::new();
    errors.read_line(&mut line).unwrap();
    let event: Value = serde_json::from_str(&line).unwrap();
    assert!(event["event"].is_u64(), "{line}");
    for field in ["time", "level", "target", "message"] {
        assert!(event[field].is_string(), "{field} in {line}");
    }
    node.0.kill().unwrap();
    let mut rest = String::new();
    errors.read_to_string(&mut rest).unwrap();
    assert!(!line.contains(KEY) && !rest.contains(KEY));
}
