//! Objects as files hold them.

use crate::client::Client;
use crate::error::Error;
use crate::output::Output;
use contract::operator::Objects;
use serde_json::{Map, Value};

/// Shows an object, the objects of a kind, or all.
pub async fn run(client: &Client, key: Option<String>, output: &Output) -> Result<(), Error> {
    let mut read: Objects = client.get("/objects").await?;
    if let Some(wanted) = &key {
        let kind = format!("{wanted}/");
        read.objects
            .retain(|key, _| key == wanted || key.starts_with(&kind));
    }
    if read.objects.is_empty() {
        return Err(Error::Absent(key.unwrap_or("any key".to_owned())));
    }
    let text = toml(&read.objects)?;
    output.show(&read, || format!("# revision {}\n\n{text}", read.revision));
    Ok(())
}

/// Objects as a file that can be applied again.
fn toml(objects: &Map<String, Value>) -> Result<String, Error> {
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
