//! The platform's stand-ins.

use super::Settings;
use crate::journal::Recorder;
use crate::{Error, objects, rating, table, vms};
use contract::Object;
use serde_json::{Value, json};
use wire::{Delta, Entry};

const SEED: &str = "seed";

/// The platform's stand-ins in this process.
#[derive(Debug)]
pub struct Platform {
    /// Table service.
    pub table: table::Server,
    /// Object store.
    pub objects: objects::Server,
    /// List of VMs.
    pub vms: vms::Server,
    /// Rating service.
    pub ratings: rating::Server,
    /// Runs of all backend servers.
    pub recorder: Recorder,
}

impl Platform {
    /// Starts all of them.
    pub async fn start(settings: &Settings) -> Result<Self, Error> {
        let table = table::Settings {
            writes_per_second: settings.writes_per_second,
            ..table::Settings::default()
        };
        let vms = vms::Settings {
            lag: settings.vms_lag,
            ..vms::Settings::default()
        };
        Ok(Self {
            table: table::Server::start(table).await?,
            objects: objects::Server::start(objects::Settings::default()).await?,
            vms: vms::Server::start(vms).await?,
            ratings: rating::Server::start(rating::Settings::default()).await?,
            recorder: Recorder::default(),
        })
    }

    /// Puts objects in place as the first revision, before any node starts.
    pub fn seed(&self, objects: &[Object]) -> Result<(), Error> {
        let entries = objects.iter().map(|object| {
            let body = Some(serde_json::to_string(object)?);
            Ok(Entry {
                key: object.key(),
                body,
            })
        });
        let delta = Delta {
            revision: 1,
            change: SEED.to_owned(),
            entries: entries.collect::<Result<_, Error>>()?,
            replaced: Default::default(),
        };
        let mut rows = vec![
            row("config", "head", &json!({ "change": SEED }).to_string()),
            row(
                "config-rev",
                &format!("{:020}", 1),
                &serde_json::to_string(&delta)?,
            ),
            row("config-change", SEED, &json!({ "revision": 1 }).to_string()),
        ];
        for entry in &delta.entries {
            rows.push(row(
                "config-obj",
                &entry.key,
                entry.body.as_deref().unwrap_or_default(),
            ));
        }
        for row in rows {
            let put = json!({ "Put": { "Item": row } });
            self.table.write(&serde_json::from_value(put)?);
        }
        Ok(())
    }
}

fn row(pk: &str, sk: &str, body: &str) -> Value {
    json!({ "pk": { "S": pk }, "sk": { "S": sk }, "rev": { "N": "1" }, "body": { "S": body } })
}
