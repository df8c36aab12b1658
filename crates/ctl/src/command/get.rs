//! Prints objects of the configuration.

use crate::client::Client;
use crate::error::Error;
use crate::output::Output;
use contract::operator::Objects;
use serde_json::{Map, Value};

/// Prints one object, the objects of a kind, or all objects.
pub async fn run(client: &Client, key: Option<String>, output: &Output) -> Result<(), Error> {
    let mut response: Objects = client.get("/objects").await?;
    if let Some(wanted) = &key {
        let kind = format!("{wanted}/");
        response
            .objects
            .retain(|key, _| key == wanted || key.starts_with(&kind));
    }
    if response.objects.is_empty() {
        return Err(Error::NotFound(key.unwrap_or("any key".to_owned())));
    }
    let text = to_toml(&response.objects)?;
    output.print(&response, || {
        format!("# revision {}\n\n{text}", response.revision)
    });
    Ok(())
}

/// Formats objects as a file that `sardinectl apply` accepts.
fn to_toml(objects: &Map<String, Value>) -> Result<String, Error> {
    let mut text = String::new();
    for object in objects.values() {
        let lists: Map<String, Value> = object
            .as_object()
            .into_iter()
            .flatten()
            .map(|(kind, body)| (kind.clone(), Value::Array(vec![body.clone()])))
            .collect();
        text.push_str(&toml::to_string(&lists)?);
        text.push('\n');
    }
    Ok(text)
}
