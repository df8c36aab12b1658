//! Reads the configuration log from the table.

use super::{Error, rows};
use clients::Table;
use clients::table::Range;
use contract::{Config, Object, Revision};
use wire::Delta;

/// Maximum number of revisions read in one call.
const PAGE: usize = 200;
/// Maximum number of objects in the configuration.
const MAX_OBJECTS: usize = 100_000;

/// Reader of the configuration log in one table.
#[derive(Clone, Debug)]
pub(super) struct Log<T> {
    pub table: T,
}

impl<T: Table> Log<T> {
    /// Returns the newest revision, or zero before the first change.
    pub async fn head(&self) -> Result<Revision, Error> {
        let item = self.table.get(rows::HEAD.0, rows::HEAD.1).await;
        let item = item.map_err(Error::Platform)?;
        Ok(item.map_or(0, |item| item.rev))
    }

    /// Returns up to one page of the revisions that follow `revision`.
    pub async fn revisions_after(&self, revision: Revision) -> Result<Vec<Delta>, Error> {
        let range = Range::After(rows::sort_key(revision));
        let items = self.table.list(rows::REVISIONS, &range, PAGE).await;
        items
            .map_err(Error::Platform)?
            .iter()
            .map(|item| rows::parse(rows::REVISIONS, item))
            .collect()
    }

    /// Returns the revision that carries a change id, if it is in the log.
    pub async fn revision_of_change(&self, change: &str) -> Result<Option<Revision>, Error> {
        let item = self.table.get(rows::CHANGES, change).await;
        let Some(item) = item.map_err(Error::Platform)? else {
            return Ok(None);
        };
        let change: rows::Change = rows::parse(rows::CHANGES, &item)?;
        Ok(Some(change.revision))
    }

    /// Returns one revision, which must exist.
    pub async fn revision(&self, revision: Revision) -> Result<Delta, Error> {
        let sort = rows::sort_key(revision);
        let item = self.table.get(rows::REVISIONS, &sort).await;
        let missing = Error::UnreadableRow {
            partition: rows::REVISIONS,
            sort,
        };
        rows::parse(
            rows::REVISIONS,
            &item.map_err(Error::Platform)?.ok_or(missing)?,
        )
    }

    /// Returns all objects as a configuration at `revision`. Some may already be newer; applying
    /// the revisions after `revision` makes the configuration consistent.
    pub async fn objects(&self, revision: Revision) -> Result<Config, Error> {
        let items = self
            .table
            .list(rows::OBJECTS, &Range::All, MAX_OBJECTS)
            .await;
        let objects = items
            .map_err(Error::Platform)?
            .iter()
            .map(|item| Object::read(&item.sort, &item.body))
            .collect::<Result<Vec<_>, _>>()?;
        Ok(Config::new(revision, objects))
    }
}
