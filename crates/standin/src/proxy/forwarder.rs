//! Forwards one direction of a proxied connection.

use super::{Faults, Impairment};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::sync::watch;

const BUFFER_BYTES: usize = 16 * 1024;

/// Direction of data in a proxied connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Direction {
    /// From the client to the target.
    Up,
    /// From the target to the client.
    Down,
}

/// Forwards one direction of a connection and applies its impairment.
#[derive(Debug)]
pub struct Forwarder {
    direction: Direction,
    faults: watch::Receiver<Faults>,
    frozen: watch::Receiver<bool>,
    random: SmallRng,
}

impl Forwarder {
    /// Creates a forwarder whose jitter is drawn from the seed.
    pub fn new(
        direction: Direction,
        faults: watch::Receiver<Faults>,
        frozen: watch::Receiver<bool>,
        seed: u64,
    ) -> Self {
        Self {
            direction,
            faults,
            frozen,
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Runs until one side closes or fails, or until a fault resets the connection. Returns true if
    /// the connection must be reset in both directions.
    pub async fn run<R, W>(mut self, mut from: R, mut to: W) -> bool
    where
        R: AsyncRead + Unpin,
        W: AsyncWrite + Unpin,
    {
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let size = match from.read(&mut buffer).await {
                Ok(0) => {
                    // While the link is silent, the close is not forwarded either.
                    self.wait_while_silent().await;
                    let _ = to.shutdown().await;
                    return false;
                }
                Ok(size) => size,
                Err(_) => return true,
            };
            let mut rest = &buffer[..size];
            while !rest.is_empty() {
                self.wait_while_silent().await;
                let impairment = self.impairment();
                if impairment.cut {
                    return true;
                }
                let chunk = impairment.split.unwrap_or(rest.len()).clamp(1, rest.len());
                self.delay(impairment, chunk).await;
                if to.write_all(&rest[..chunk]).await.is_err() {
                    return true;
                }
                rest = &rest[chunk..];
            }
        }
    }

    fn impairment(&self) -> Impairment {
        let faults = *self.faults.borrow();
        match self.direction {
            Direction::Up => faults.up,
            Direction::Down => faults.down,
        }
    }

    async fn delay(&mut self, impairment: Impairment, bytes: usize) {
        let jitter = impairment.jitter.mul_f64(self.random.random::<f64>());
        let transmission = impairment.rate.map_or(Duration::ZERO, |rate| {
            Duration::from_secs_f64(bytes as f64 / rate.max(1) as f64)
        });
        let total = impairment.delay + jitter + transmission;
        if !total.is_zero() {
            tokio::time::sleep(total).await;
        }
    }

    async fn wait_while_silent(&mut self) {
        let frozen = self.frozen.wait_for(|frozen| !frozen);
        if frozen.await.is_err() {
            std::future::pending::<()>().await;
        }
        let direction = self.direction;
        let open = self.faults.wait_for(|faults| match direction {
            Direction::Up => !faults.up.silent,
            Direction::Down => !faults.down.silent,
        });
        let closed = open.await.is_err();
        if closed {
            std::future::pending::<()>().await;
        }
    }
}
