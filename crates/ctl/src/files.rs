//! Files of objects, checked against a configuration.

use crate::error::Error;
use contract::file::{Contents, Source, read};
use contract::{Config, Object, ObjectKey};
use std::path::{Path, PathBuf};

/// Reads files and checks what they make of the base.
pub fn contents(files: &[PathBuf], base: &Config) -> Result<Contents, Error> {
    let sources = files
        .iter()
        .map(|path| source(path))
        .collect::<Result<Vec<_>, _>>()?;
    let contents = read(&sources, base);
    if contents.has_errors() {
        return Err(Error::Problems(contents.problems));
    }
    Ok(contents)
}

/// The objects of the files that differ from the base.
pub fn edits(contents: &Contents, base: &Config) -> Vec<(ObjectKey, Option<Object>)> {
    contents
        .objects
        .iter()
        .map(|object| (object.key(), Some(object.clone())))
        .filter(|(key, object)| base.get(key).map(|one| one.as_ref()) != object.as_ref())
        .collect()
}

fn source(path: &Path) -> Result<Source, Error> {
    let text = std::fs::read_to_string(path).map_err(|source| Error::File {
        path: path.to_owned(),
        source,
    })?;
    Ok(Source::new(path.display().to_string(), text))
}
