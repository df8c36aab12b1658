//! Rotation of keys that nodes share; no restart is needed.

use super::key;
use crate::client::Client;
use crate::error::Error;
use crate::output::{Output, table};
use contract::operator::{Ring, Rotated, Rotation, Status, Step};

/// Executes one step of a rotation on every member.
pub async fn run(client: &Client, ring: Ring, step: Step, output: &Output) -> Result<(), Error> {
    let rotation = Rotation {
        key: key::read()?,
        ring,
        step,
    };
    let status: Status = client.get("/status").await?;
    if status.members.is_empty() {
        return Err(Error::NoMembers);
    }
    let mut done: Vec<Rotated> = Vec::new();
    let mut failed = Vec::new();
    for member in &status.members {
        let node = client.for_node(&format!("http://{}", member.http));
        match node.post("/keys", &rotation, &member.node).await {
            Ok(rotated) => done.push(rotated),
            Err(Error::Unreachable(_) | Error::UnknownOutcome { .. }) => {
                failed.push(member.node.clone())
            }
            Err(error) => return Err(error),
        }
    }
    output.print(&done, || format_rows(&done));
    match failed.is_empty() {
        true => Ok(()),
        false => Err(Error::PartialRotation(failed)),
    }
}

fn format_rows(done: &[Rotated]) -> String {
    let row = |rotated: &Rotated| {
        vec![
            rotated.node.clone(),
            rotated.ring.to_string(),
            rotated.keys.join(" "),
        ]
    };
    let head = ["NODE", "RING", "KEYS (the one in use first)"].map(str::to_owned);
    let rows: Vec<_> = std::iter::once(head.to_vec())
        .chain(done.iter().map(row))
        .collect();
    table(&rows)
}
