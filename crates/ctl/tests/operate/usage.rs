//! Invalid command lines, and commands that need no node.

use super::fleet::run_ctl;

const KEY: &str = "a-key-for-the-digest";

macro_rules! usage {
    ($($name:ident: $args:expr, $input:expr => $status:literal, $out:expr, $err:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let run = run_ctl("", &$args, $input).await;
            assert_eq!(run.status, $status, "{run:?}");
            assert!(run.out.contains($out.as_str()), "{run:?}");
            assert!(run.err.contains($err), "{run:?}");
        }
    )*};
}

fn bad_file_path(name: &str) -> String {
    let root = env!("CARGO_MANIFEST_DIR");
    format!("{root}/../contract/tests/bad/{name}.toml")
}

fn no_output() -> String {
    String::new()
}

usage! {
    digest_of_a_key: ["key"], KEY => 0, contract::Key::digest(KEY), "";
    short_key: ["key"], "sesame" => 1, no_output(), "no key of at least 16";
    new_key: ["--json", "key", "--new"], "" => 0, "\"sha256\":".to_owned(), "";
    no_command: [], "" => 1, no_output(), "";
    no_node: ["status"], "" => 1, no_output(), "give --node or SARDINECTL_NODE";
    neither_out_nor_in: ["zone", "up", "a"], "" => 1, no_output(), "expected out or in";
    no_version: ["--node", "127.0.0.1:1", "withdraw", "large"], "" => 4, no_output(), "nothing was done";
    missing_file: ["check", "nowhere.toml"], "" => 1, no_output(), "nowhere.toml";
    bad_file: ["check", &bad_file_path("syntax")], "" => 2, no_output(), "syntax.toml:1:8: file: not TOML";
    bad_file_for_programs: ["--json", "check", &bad_file_path("syntax")], "" => 2, "\"status\":2".to_owned(), "";
    refused_connection: ["--node", "127.0.0.1:1", "status"], "" => 4, no_output(), "no node answered";
    help_gives_exit_statuses: ["--help"], "" => 0, "3 conflict with another change".to_owned(), "";
}
