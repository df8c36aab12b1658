//! Digests of keys, and new keys.

use crate::error::Error;
use crate::output::Output;
use serde_json::json;
use std::fs::File;
use std::io::{Read, stdin};

/// Number of random bytes in a new key.
const KEY_BYTES: usize = 24;

/// Minimum length of a key in characters.
const MIN_KEY_CHARS: usize = settings::spec::MIN_KEY_CHARS;

/// Prints the digest of the key on standard input or, with `new`, a new key and its digest.
pub fn run(new: bool, output: &Output) -> Result<(), Error> {
    if !new {
        let sha256 = contract::Key::digest(&read()?);
        output.print(&json!({ "sha256": sha256 }), || sha256.clone());
        return Ok(());
    }
    let key = generate()?;
    let sha256 = contract::Key::digest(&key);
    output.print(&json!({ "key": key, "sha256": sha256 }), || {
        format!("key     {key}\nsha256  {sha256}")
    });
    Ok(())
}

/// Reads a key from the first line of standard input.
pub fn read() -> Result<String, Error> {
    let mut line = String::new();
    stdin()
        .read_line(&mut line)
        .map_err(|_| Error::InvalidKey)?;
    let key = line.trim_end();
    let printable = key.bytes().all(|byte| byte.is_ascii_graphic());
    match key.len() >= MIN_KEY_CHARS && printable {
        true => Ok(key.to_owned()),
        false => Err(Error::InvalidKey),
    }
}

fn generate() -> Result<String, Error> {
    let path = "/dev/urandom";
    let failed = |source| Error::File {
        path: path.into(),
        source,
    };
    let mut bytes = [0; KEY_BYTES];
    let mut random = File::open(path).map_err(failed)?;
    random.read_exact(&mut bytes).map_err(failed)?;
    Ok(bytes.iter().map(|byte| format!("{byte:02x}")).collect())
}
