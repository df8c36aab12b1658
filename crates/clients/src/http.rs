//! Construction of the HTTP client that all platform clients use.

use crate::Error;
use std::time::Duration;

/// Builds an HTTP client. A call that exceeds `timeout` fails as [`Error::Unknown`].
pub(crate) fn build_client(connect: Duration, timeout: Duration) -> Result<reqwest::Client, Error> {
    reqwest::Client::builder()
        .connect_timeout(connect)
        .timeout(timeout)
        .no_proxy()
        .build()
        .map_err(Error::transport)
}
