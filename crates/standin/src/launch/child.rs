//! Runs stand-ins as child processes.

use super::Announcement;
use crate::Error;
use crate::fleet::program;
use std::process::Stdio;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};

/// Starts the example `standin`, which must already be built, and returns the process and the
/// addresses it announces. The process is killed when the child is dropped.
pub async fn start(arguments: &[&str]) -> Result<(Child, Vec<String>), Error> {
    let mut child = Command::new(program("examples/standin")?)
        .args(arguments)
        .stdout(Stdio::piped())
        .kill_on_drop(true)
        .spawn()?;
    let output = child
        .stdout
        .take()
        .ok_or(Error::Timeout("output of a stand-in"))?;
    let mut line = String::new();
    BufReader::new(output).read_line(&mut line).await?;
    let announcement: Announcement = serde_json::from_str(&line)?;
    Ok((child, announcement.addresses))
}
