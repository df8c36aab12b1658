//! Files: apply, check and diff.

use crate::change::{config, submit};
use crate::client::Client;
use crate::error::Error;
use crate::files::{contents, edits};
use crate::options::{Change, Connection};
use crate::output::Output;
use contract::Config;
use contract::diff::Difference;
use contract::file::{Contents, Problem};
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
    let contents = contents(files, &base)?;
    let edits = edits(&contents, &base);
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
    let contents = contents(files, &base)?;
    warn(&contents, output);
    let count = contents.objects.len();
    let warnings: Vec<_> = contents.problems.iter().map(Problem::to_string).collect();
    let value = json!({ "objects": count, "warnings": warnings });
    output.show(&value, || format!("{count} objects are right"));
    Ok(())
}

/// Shows what files would change.
pub async fn diff(client: &Client, files: &[PathBuf], output: &Output) -> Result<(), Error> {
    let base = config(client).await?;
    let contents = contents(files, &base)?;
    warn(&contents, output);
    let differences = contract::diff::diff(&base, &edits(&contents, &base));
    let lines: Vec<_> = differences.iter().map(Difference::to_string).collect();
    let value = json!({ "revision": base.revision(), "differences": lines });
    output.show(&value, || match lines.is_empty() {
        true => "nothing to change".to_owned(),
        false => lines.join("\n"),
    });
    Ok(())
}

fn warn(contents: &Contents, output: &Output) {
    for problem in &contents.problems {
        output.note(&format!("warning: {problem}"));
    }
}
