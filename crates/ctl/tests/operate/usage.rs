//! Command lines that need no node, and wrong ones.

use super::fleet::ctl_bare;

const KEY: &str = "a-key-for-the-digest";

macro_rules! usage {
    ($($name:ident: $args:expr, $input:expr => $status:literal, $out:expr, $err:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let run = ctl_bare("", &$args, $input).await;
            assert_eq!(run.status, $status, "{run:?}");
            assert!(run.out.contains($out.as_str()), "{run:?}");
            assert!(run.err.contains($err), "{run:?}");
        }
    )*};
}

fn bad(name: &str) -> String {
    let root = env!("CARGO_MANIFEST_DIR");
    format!("{root}/../contract/tests/bad/{name}.toml")
}

fn none() -> String {
    String::new()
}

usage! {
    digest_of_a_key: ["key"], KEY => 0, contract::Key::digest(KEY), "";
    short_key: ["key"], "sesame" => 1, none(), "no key of at least 16";
    new_key: ["--json", "key", "--new"], "" => 0, "\"sha256\":".to_owned(), "";
    no_command: [], "" => 1, none(), "";
    no_node: ["status"], "" => 1, none(), "give --node or SARDINECTL_NODE";
    neither_out_nor_in: ["zone", "up", "a"], "" => 1, none(), "expected out or in";
    no_version: ["--node", "127.0.0.1:1", "withdraw", "large"], "" => 4, none(), "nothing was done";
    missing_file: ["check", "nowhere.toml"], "" => 1, none(), "nowhere.toml";
    bad_file: ["check", &bad("syntax")], "" => 2, none(), "syntax.toml:1:8: file: not TOML";
    bad_file_for_programs: ["--json", "check", &bad("syntax")], "" => 2, "\"status\":2".to_owned(), "";
    refused_connection: ["--node", "127.0.0.1:1", "status"], "" => 4, none(), "no node answered";
    help_gives_exit_statuses: ["--help"], "" => 0, "3 conflict with another change".to_owned(), "";
}
