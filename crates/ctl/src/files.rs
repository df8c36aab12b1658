//! Reads files of objects and compares them with a configuration.

use crate::error::Error;
use contract::file::{Contents, Source, read};
use contract::{Config, Object, ObjectKey};
use std::path::{Path, PathBuf};

/// Reads files and validates the configuration that results if they are applied to `base`.
pub fn read_files(files: &[PathBuf], base: &Config) -> Result<Contents, Error> {
    let sources = files
        .iter()
        .map(|path| read_source(path))
        .collect::<Result<Vec<_>, _>>()?;
    let contents = read(&sources, base);
    if contents.has_errors() {
        return Err(Error::InvalidFiles(contents.problems));
    }
    Ok(contents)
}

/// Edits that apply the objects that differ from those in `base`.
pub fn changed_objects(contents: &Contents, base: &Config) -> Vec<(ObjectKey, Option<Object>)> {
    contents
        .objects
        .iter()
        .map(|object| (object.key(), Some(object.clone())))
        .filter(|(key, object)| base.get(key).map(|current| current.as_ref()) != object.as_ref())
        .collect()
}

fn read_source(path: &Path) -> Result<Source, Error> {
    let text = std::fs::read_to_string(path).map_err(|source| Error::File {
        path: path.to_owned(),
        source,
    })?;
    Ok(Source::new(path.display().to_string(), text))
}
