//! Binds the addresses that a node listens on.

use crate::Error;
use std::io::ErrorKind;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::time::sleep;

/// Time for which an address that is in use is tried again: well above the grace period of the
/// process before this one.
const TIMEOUT: Duration = Duration::from_secs(60);
/// Interval at which it is tried.
const INTERVAL: Duration = Duration::from_millis(50);

/// Binds an address. One that is in use is tried again for a while: the process before this one, or
/// an outgoing connection with that local port, may hold it for a moment.
pub async fn bind(address: SocketAddrV4) -> Result<TcpListener, Error> {
    let started = Instant::now();
    let mut waiting = false;
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return Ok(listener),
            Err(error) if error.kind() == ErrorKind::AddrInUse && started.elapsed() < TIMEOUT => {
                if !std::mem::replace(&mut waiting, true) {
                    log::warn!(event = 1754, address = address.to_string().as_str(); "address in use; trying again");
                }
                sleep(INTERVAL).await;
            }
            Err(source) => return Err(Error::Listen { address, source }),
        }
    }
}
