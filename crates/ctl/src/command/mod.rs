//! One module for each group of commands.

mod apply;
mod dump;
mod edit;
mod explain;
mod get;
mod key;
mod rotate;
mod status;
mod story;

use crate::change;
use crate::client::Client;
use crate::error::Error;
use crate::options::{Command, Connection};
use crate::output::Output;
use contract::operator::Outcome;

/// Runs a command.
pub async fn run(command: Command, connection: Connection, output: &Output) -> Result<(), Error> {
    let command = match command {
        Command::Key { new } => return key::run(new, output),
        Command::Check { files } => return apply::check(connection, &files, output).await,
        Command::Explain { placement, url } => {
            return explain::run(&url, connection.timeout_ms, placement, output).await;
        }
        Command::Story { request, files } => return story::run(&request, &files, output),
        other => other,
    };
    let client = Client::new(connection)?;
    match command {
        Command::Apply { change, files } => apply::run(&client, change, &files, output).await,
        Command::Change { id } => show_change(&client, &id, output).await,
        Command::Diff { files } => apply::diff(&client, &files, output).await,
        Command::Dump { node } => dump::run(&client, &node, output).await,
        Command::Get { key } => get::run(&client, key, output).await,
        Command::Rotate { ring, step } => rotate::run(&client, ring, step, output).await,
        Command::Status => status::run(&client, output).await,
        other => edit::run(&client, other, output).await,
    }
}

async fn show_change(client: &Client, id: &str, output: &Output) -> Result<(), Error> {
    let outcome: Outcome = client.get(&format!("/changes/{id}")).await?;
    output.print(&outcome, || change::describe(&outcome));
    Ok(())
}
