//! Files: apply, check and diff.

use crate::change::{config, submit};
use crate::client::Client;
use crate::error::Error;
use crate::files::{edits, reading};
use crate::options::{Change, Connection};
use crate::output::Output;
use contract::Config;
use contract::diff::Difference;
use contract::file::{Problem, Reading};
use serde_json::json;
use std::path::PathBuf;

/// Puts the objects of files.
pub async fn run(
    client: &Client,
    change: Change,
    files: &[PathBuf],
    output: &Output,
) -> Result<(), Error> {
    let base = config(client).await?;
    let reading = reading(files, &base)?;
    let edits = edits(&reading, &base);
    if edits.is_empty() {
        let revision = base.revision();
        output.show(&json!({ "revision": revision }), || {
            format!("nothing to change at revision {revision}")
        });
        return Ok(());
    }
    submit(client, &base, edits, change, output).await
}

/// Checks files, against a node's configuration if one is named.
pub async fn check(
    connection: Connection,
    files: &[PathBuf],
    output: &Output,
) -> Result<(), Error> {
    let base = match Client::new(connection) {
        Ok(client) => config(&client).await?,
        Err(Error::NoNode) => Config::default(),
        Err(error) => return Err(error),
    };
    let reading = reading(files, &base)?;
    warn(&reading, output);
    let count = reading.objects.len();
    let warnings: Vec<_> = reading.problems.iter().map(Problem::to_string).collect();
    let value = json!({ "objects": count, "warnings": warnings });
    output.show(&value, || format!("{count} objects are right"));
    Ok(())
}

/// Shows what files would change.
pub async fn diff(client: &Client, files: &[PathBuf], output: &Output) -> Result<(), Error> {
    let base = config(client).await?;
    let reading = reading(files, &base)?;
    warn(&reading, output);
    let differences = contract::diff::diff(&base, &edits(&reading, &base));
    let lines: Vec<_> = differences.iter().map(Difference::to_string).collect();
    let value = json!({ "revision": base.revision(), "differences": lines });
    output.show(&value, || match lines.is_empty() {
        true => "nothing to change".to_owned(),
        false => lines.join("\n"),
    });
    Ok(())
}

fn warn(reading: &Reading, output: &Output) {
    for problem in &reading.problems {
        output.note(&format!("warning: {problem}"));
    }
}
