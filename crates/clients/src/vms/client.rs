//! HTTP client of the VM list.

use super::target::Group;
use super::{Settings, Vm};
use crate::{Cause, Error, http};

/// Client of the VM list. Clones share their connections.
#[derive(Clone, Debug)]
pub struct Client {
    http: reqwest::Client,
    url: String,
}

impl Client {
    /// Creates a client. Connections are opened by the first calls.
    ///
    /// ```
    /// let client = clients::vms::Client::new(clients::vms::Settings::default());
    /// assert!(client.is_ok());
    /// ```
    pub fn new(settings: Settings) -> Result<Self, Error> {
        let http = http::build_client(settings.connect_timeout, settings.timeout)?;
        Ok(Self {
            http,
            url: settings.url,
        })
    }

    /// Reads the complete list.
    ///
    /// ```no_run
    /// # async fn run(client: clients::vms::Client) -> Result<(), clients::Error> {
    /// for vm in client.list().await? {
    ///     println!("{} in {}", vm.address, vm.zone);
    /// }
    /// # Ok(()) }
    /// ```
    pub async fn list(&self) -> Result<Vec<Vm>, Error> {
        let response = self
            .http
            .get(&self.url)
            .send()
            .await
            .map_err(Error::transport)?;
        let status = response.status().as_u16();
        if status != 200 {
            return Err(Error::Unknown(Cause::Status(status)));
        }
        let bytes = response.bytes().await.map_err(Error::transport)?;
        let groups: Vec<Group> =
            serde_json::from_slice(&bytes).map_err(|source| Error::Unknown(Cause::Body(source)))?;
        Ok(groups.into_iter().flat_map(Group::vms).collect())
    }
}
