//! Buffers bodies within a size limit and the memory of the process.

use crate::memory::{Charge, Exhausted};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

/// Largest capacity that is reserved for an announced length before its bytes arrive.
const MAX_RESERVED_BYTES: usize = 64 << 10;

/// Why a body can't be buffered.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// It is larger than the limit.
    #[error("larger than {0} bytes")]
    TooLarge(usize),
    /// Bodies occupy all memory that they may.
    #[error(transparent)]
    Exhausted(#[from] Exhausted),
    /// It ended early.
    #[error(transparent)]
    Truncated(#[from] hyper::Error),
}

/// Reads a body to its end. Its bytes are taken from the charge, which is returned with it.
pub async fn read(
    body: &mut Incoming,
    max_bytes: usize,
    mut charge: Charge,
) -> Result<(Bytes, Charge), Error> {
    let announced = body.size_hint().lower();
    if announced > max_bytes as u64 {
        return Err(Error::TooLarge(max_bytes));
    }
    let mut buffer = Vec::new();
    reserve(
        &mut buffer,
        &mut charge,
        MAX_RESERVED_BYTES.min(announced as usize),
    )?;
    loop {
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = charge.revoked() => return Err(Exhausted.into()),
        };
        let Some(frame) = frame else {
            return Ok((buffer.into(), charge.settle()?));
        };
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        if buffer.len() + data.len() > max_bytes {
            return Err(Error::TooLarge(max_bytes));
        }
        reserve(&mut buffer, &mut charge, data.len())?;
        buffer.extend_from_slice(&data);
    }
}

/// Makes room for more bytes. The capacity doubles, so that few reallocations are needed.
fn reserve(buffer: &mut Vec<u8>, charge: &mut Charge, bytes: usize) -> Result<(), Exhausted> {
    if buffer.capacity() - buffer.len() >= bytes {
        return Ok(());
    }
    let capacity = (buffer.len() + bytes).max(buffer.capacity() * 2);
    charge.grow(capacity - buffer.capacity())?;
    buffer.reserve_exact(capacity - buffer.len());
    Ok(())
}
