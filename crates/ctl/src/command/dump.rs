//! Dump of the state of one node.

use crate::client::Client;
use crate::error::Error;
use crate::output::Output;
use contract::operator::Status;
use serde_json::Value;

/// Prints the dump of a node, which is given by name or base URL.
pub async fn run(client: &Client, node: &str, output: &Output) -> Result<(), Error> {
    let url = match node.contains("://") {
        true => node.to_owned(),
        false => find_url(client, node).await?,
    };
    let dump: Value = client.for_node(&url).get("/dump").await?;
    output.print(&dump, || {
        serde_json::to_string_pretty(&dump).unwrap_or_default()
    });
    Ok(())
}

/// Base URL of the member with a name.
async fn find_url(client: &Client, node: &str) -> Result<String, Error> {
    let status: Status = client.get("/status").await?;
    let member = status.members.iter().find(|member| member.node == node);
    match member {
        Some(member) => Ok(format!("http://{}", member.http)),
        None => Err(Error::NoMember(node.to_owned())),
    }
}
