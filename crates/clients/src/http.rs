//! HTTP clients with the time limits that all platform clients share.

use crate::Error;
use std::time::Duration;

/// Builds a client; a call that outlasts `timeout` ends as unknown.
pub(crate) fn client(connect: Duration, timeout: Duration) -> Result<reqwest::Client, Error> {
    reqwest::Client::builder()
        .connect_timeout(connect)
        .timeout(timeout)
        .no_proxy()
        .build()
        .map_err(Error::transport)
}
