//! Commands on files: apply, check and diff.

use crate::change::{fetch_config, submit};
use crate::client::Client;
use crate::error::Error;
use crate::files::{changed_objects, read_files};
use crate::options::{Change, Connection};
use crate::output::Output;
use contract::Config;
use contract::diff::Difference;
use contract::file::{Contents, Problem};
use serde_json::json;
use std::path::PathBuf;

/// Applies the objects of files.
pub async fn run(
    client: &Client,
    change: Change,
    files: &[PathBuf],
    output: &Output,
) -> Result<(), Error> {
    let base = fetch_config(client).await?;
    let contents = read_files(files, &base)?;
    let edits = changed_objects(&contents, &base);
    if edits.is_empty() {
        let revision = base.revision();
        output.print(&json!({ "revision": revision }), || {
            format!("nothing to change at revision {revision}")
        });
        return Ok(());
    }
    submit(client, &base, edits, change, output).await
}

/// Validates files, against the configuration of a node if one is given.
pub async fn check(
    connection: Connection,
    files: &[PathBuf],
    output: &Output,
) -> Result<(), Error> {
    let base = match Client::new(connection) {
        Ok(client) => fetch_config(&client).await?,
        Err(Error::NoNode) => Config::default(),
        Err(error) => return Err(error),
    };
    let contents = read_files(files, &base)?;
    print_warnings(&contents, output);
    let count = contents.objects.len();
    let warnings: Vec<_> = contents.problems.iter().map(Problem::to_string).collect();
    let value = json!({ "objects": count, "warnings": warnings });
    output.print(&value, || format!("{count} objects are right"));
    Ok(())
}

/// Prints what applying files would change.
pub async fn diff(client: &Client, files: &[PathBuf], output: &Output) -> Result<(), Error> {
    let base = fetch_config(client).await?;
    let contents = read_files(files, &base)?;
    print_warnings(&contents, output);
    let differences = contract::diff::diff(&base, &changed_objects(&contents, &base));
    let lines: Vec<_> = differences.iter().map(Difference::to_string).collect();
    let value = json!({ "revision": base.revision(), "differences": lines });
    output.print(&value, || match lines.is_empty() {
        true => "nothing to change".to_owned(),
        false => lines.join("\n"),
    });
    Ok(())
}

fn print_warnings(contents: &Contents, output: &Output) {
    for problem in &contents.problems {
        output.print_note(&format!("warning: {problem}"));
    }
}
