//! Reading of request bodies with limits on size and time.

use crate::Error;
use bytes::Bytes;
use rocket::Data;
use rocket::data::ToByteUnit;
use std::time::Duration;
use tokio::time::timeout;

/// Reads a body of at most `limit` bytes within `time`.
pub(crate) async fn read(data: Data<'_>, limit: usize, time: Duration) -> Result<Bytes, Error> {
    let body = data.open(limit.bytes()).into_bytes();
    let body = timeout(time, body)
        .await
        .map_err(|_| Error::SlowBody(time))?
        .map_err(|error| Error::Malformed(error.to_string()))?;
    if !body.is_complete() {
        return Err(Error::Oversized { limit });
    }
    Ok(body.into_inner().into())
}
