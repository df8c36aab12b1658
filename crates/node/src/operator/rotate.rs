//! Rotation of the keys shared by the nodes.

use super::{Error, Operator};
use crate::app::App;
use crate::caller::read_body;
use contract::Key;
use contract::operator::{Ring, Rotated, Rotation, Step};
use rocket::serde::json::Json;
use rocket::{Data, State};
use settings::Secret;
use std::sync::Arc;

/// Length of the digest prefix that identifies a key.
const DIGEST_CHARS: usize = 8;

/// `POST /operator/v1/keys`: performs one step of a key rotation on this node.
#[rocket::post("/operator/v1/keys", data = "<data>")]
pub(super) async fn rotate(
    app: &State<Arc<App>>,
    operator: Operator,
    data: Data<'_>,
) -> Result<Json<Rotated>, Error> {
    let limit = app.settings.body_limit_bytes as usize;
    let body = read_body(data, limit, app.settings.header_timeout).await?;
    let rotation: Rotation = serde_json::from_slice(&body)?;
    let ring = match rotation.ring {
        Ring::Link => &app.link_keys,
        Ring::Session => &app.session_keys,
    };
    match rotation.step {
        Step::Add => ring.add(Secret::new(rotation.key))?,
        Step::Use => ring.set_primary(&rotation.key)?,
        Step::Remove => ring.remove(&rotation.key)?,
    }
    let (name, step) = (rotation.ring.to_string(), rotation.step.to_string());
    let by = operator.name.as_str();
    log::info!(event = 1603, ring = name.as_str(), operator = by; "key rotation: {step}");
    Ok(Json(Rotated {
        keys: ring.keys().iter().map(short_digest).collect(),
        node: app.settings.node.clone(),
        ring: rotation.ring,
    }))
}

fn short_digest(key: &Secret) -> String {
    let mut digest = Key::digest(key.expose());
    digest.truncate(DIGEST_CHARS);
    digest
}
