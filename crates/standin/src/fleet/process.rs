//! A child process that can be killed, paused and stopped.

use crate::Error;
use nix::sys::signal::{self, Signal};
use nix::unistd::Pid;
use std::path::Path;
use std::process::{ExitStatus, Stdio};
use std::time::Duration;
use tokio::process::{Child, Command};

/// A child process; it is killed when dropped.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
}

impl Process {
    /// Starts a program whose output is appended to a file.
    pub fn start(name: &str, program: &Path, flags: &[String], log: &Path) -> Result<Self, Error> {
        let output = std::fs::File::options()
            .create(true)
            .append(true)
            .open(log)?;
        let child = Command::new(program)
            .args(flags)
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output)
            .kill_on_drop(true)
            .spawn()?;
        let name = name.to_owned();
        Ok(Self { name, child })
    }

    /// Ends the process at once.
    pub async fn kill(&mut self) -> Result<(), Error> {
        Ok(self.child.kill().await?)
    }

    /// Stops the process where it is.
    pub fn pause(&self) -> Result<(), Error> {
        self.signal(Signal::SIGSTOP)
    }

    /// Lets a paused process go on.
    pub fn resume(&self) -> Result<(), Error> {
        self.signal(Signal::SIGCONT)
    }

    /// Asks the process to stop.
    pub fn terminate(&self) -> Result<(), Error> {
        self.signal(Signal::SIGTERM)
    }

    /// Waits for the end of the process.
    pub async fn wait(&mut self, limit: Duration) -> Result<ExitStatus, Error> {
        let ended = tokio::time::timeout(limit, self.child.wait()).await;
        Ok(ended.map_err(|_| Error::Timeout("end of a process"))??)
    }

    /// Fails if the process has ended.
    pub fn check(&mut self) -> Result<(), Error> {
        match self.child.try_wait()? {
            None => Ok(()),
            Some(status) => Err(Error::Ended {
                name: self.name.clone(),
                status: status.to_string(),
            }),
        }
    }

    /// Process id, unless it has ended.
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    fn signal(&self, signal: Signal) -> Result<(), Error> {
        let id = self.child.id().and_then(|id| i32::try_from(id).ok());
        let Some(id) = id else {
            return Ok(());
        };
        signal::kill(Pid::from_raw(id), signal)
            .map_err(|errno| Error::System(std::io::Error::from(errno)))
    }
}
