//! Rotation of keys that nodes share, without a restart.

use super::key;
use crate::client::Client;
use crate::error::Error;
use crate::output::{Output, table};
use contract::operator::{Ring, Rotated, Rotation, Status, Step};

/// Takes one step on every member.
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
    let mut missed = Vec::new();
    for member in &status.members {
        let node = client.only(&format!("http://{}", member.http));
        match node.post("/keys", &rotation, &member.node).await {
            Ok(rotated) => done.push(rotated),
            Err(Error::Unreachable(_) | Error::Unknown { .. }) => missed.push(member.node.clone()),
            Err(error) => return Err(error),
        }
    }
    output.show(&done, || rows(&done));
    match missed.is_empty() {
        true => Ok(()),
        false => Err(Error::Partial(missed)),
    }
}

fn rows(done: &[Rotated]) -> String {
    let row = |one: &Rotated| vec![one.node.clone(), one.ring.to_string(), one.keys.join(" ")];
    let head = ["NODE", "RING", "KEYS (the one in use first)"].map(str::to_owned);
    let rows: Vec<_> = std::iter::once(head.to_vec())
        .chain(done.iter().map(row))
        .collect();
    table(&rows)
}
