//! The platform's stand-ins.

use super::Settings;
use crate::journal::Recorder;
use crate::{Error, objects, rating, table, vms};

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
}
