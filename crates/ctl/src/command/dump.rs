//! State of one node.

use crate::client::Client;
use crate::error::Error;
use crate::output::Output;
use contract::operator::Status;
use serde_json::Value;

/// Shows the dump of a node, named or by its base URL.
pub async fn run(client: &Client, node: &str, output: &Output) -> Result<(), Error> {
    let url = match node.contains("://") {
        true => node.to_owned(),
        false => find(client, node).await?,
    };
    let dump: Value = client.only(&url).get("/dump").await?;
    output.show(&dump, || {
        serde_json::to_string_pretty(&dump).unwrap_or_default()
    });
    Ok(())
}

async fn find(client: &Client, node: &str) -> Result<String, Error> {
    let status: Status = client.get("/status").await?;
    let member = status.members.iter().find(|member| member.node == node);
    match member {
        Some(member) => Ok(format!("http://{}", member.http)),
        None => Err(Error::NoMember(node.to_owned())),
    }
}
