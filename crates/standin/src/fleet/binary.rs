//! Where the node's program is.

use crate::Error;
use std::path::PathBuf;
use std::process::Command;
use std::sync::{Mutex, PoisonError};

const NAME: &str = "sardinebank";

/// Builds the node in the profile of this program, once, and gives its path.
pub fn node_binary() -> Result<PathBuf, Error> {
    static PATH: Mutex<Option<PathBuf>> = Mutex::new(None);
    // Held while building: tests of one process that start together build once.
    let mut path = PATH.lock().unwrap_or_else(PoisonError::into_inner);
    if let Some(path) = &*path {
        return Ok(path.clone());
    }
    Ok(path.insert(build()?).clone())
}

fn build() -> Result<PathBuf, Error> {
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut command = Command::new(cargo);
    // The flags that CI builds with: others select other features of the libraries, and all is
    // built anew.
    command.args(["build", "--quiet", "--workspace", "--bins", "--examples"]);
    command.current_dir(env!("CARGO_MANIFEST_DIR"));
    if !cfg!(debug_assertions) {
        command.arg("--release");
    }
    let status = command.status()?;
    if !status.success() {
        let name = "cargo build".to_owned();
        let status = status.to_string();
        return Err(Error::Ended { name, status });
    }
    program(NAME)
}

/// Path of a program that was built in the profile of this one.
pub fn program(name: &str) -> Result<PathBuf, Error> {
    Ok(profile_folder()?.join(name))
}

/// Folder of this program, or the one above it for a test or an example.
fn profile_folder() -> Result<PathBuf, Error> {
    let mut folder = std::env::current_exe()?;
    folder.pop();
    if folder.ends_with("deps") || folder.ends_with("examples") {
        folder.pop();
    }
    Ok(folder)
}
