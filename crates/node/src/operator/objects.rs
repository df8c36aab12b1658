//! Routes that read objects of the configuration.

use super::{Error, Operator};
use crate::app::App;
use contract::Config;
use contract::operator::Objects;
use rocket::State;
use rocket::serde::json::Json;
use serde_json::{Map, Value};
use std::sync::Arc;

/// `GET /operator/v1/objects?<kind>`: returns all objects, or those of one kind.
#[rocket::get("/operator/v1/objects?<kind>")]
pub(super) fn list(
    app: &State<Arc<App>>,
    _operator: Operator,
    kind: Option<&str>,
) -> Result<Json<Objects>, Error> {
    let prefix = kind.map_or(String::new(), |kind| format!("{kind}/"));
    Ok(Json(select(&app.config(), |key| key.starts_with(&prefix))?))
}

/// `GET /operator/v1/objects/<kind>/<name>`: returns one object.
#[rocket::get("/operator/v1/objects/<kind>/<name>")]
pub(super) fn get(
    app: &State<Arc<App>>,
    _operator: Operator,
    kind: &str,
    name: &str,
) -> Result<Json<Objects>, Error> {
    let key = format!("{kind}/{name}");
    let found = select(&app.config(), |found| found == key)?;
    match found.objects.is_empty() {
        true => Err(Error::UnknownObject(key)),
        false => Ok(Json(found)),
    }
}

fn select(config: &Config, filter: impl Fn(&str) -> bool) -> Result<Objects, Error> {
    let objects = config
        .objects()
        .filter(|(key, _)| filter(key))
        .map(|(key, object)| Ok((key.clone(), serde_json::to_value(object.as_ref())?)))
        .collect::<Result<Map<String, Value>, Error>>()?;
    Ok(Objects {
        objects,
        revision: config.revision(),
    })
}
