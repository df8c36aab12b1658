//! Moves the bytes of one direction of one connection.

use super::{Faults, Impairment};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::sync::watch;

const BUFFER_BYTES: usize = 16 * 1024;

/// Which direction bytes go.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Direction {
    /// From the side that connected.
    Up,
    /// Back to it.
    Down,
}

/// One direction of one connection.
#[derive(Debug)]
pub struct Forwarder {
    direction: Direction,
    faults: watch::Receiver<Faults>,
    frozen: watch::Receiver<bool>,
    random: SmallRng,
}

impl Forwarder {
    /// A pump whose jitter is drawn by the seed.
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

    /// Runs until one side closes, fails, or a fault cuts the connection. Returns true when the
    /// connection must be cut in both directions.
    pub async fn run<R, W>(mut self, mut from: R, mut to: W) -> bool
    where
        R: AsyncRead + Unpin,
        W: AsyncWrite + Unpin,
    {
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let size = match from.read(&mut buffer).await {
                Ok(0) => {
                    // A silent link doesn't tell that one side has closed.
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
                let piece = impairment.split.unwrap_or(rest.len()).clamp(1, rest.len());
                self.hold(impairment, piece).await;
                if to.write_all(&rest[..piece]).await.is_err() {
                    return true;
                }
                rest = &rest[piece..];
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

    async fn hold(&mut self, impairment: Impairment, bytes: usize) {
        let jitter = impairment.jitter.mul_f64(self.random.random::<f64>());
        let pace = impairment.rate.map_or(Duration::ZERO, |rate| {
            Duration::from_secs_f64(bytes as f64 / rate.max(1) as f64)
        });
        let total = impairment.delay + jitter + pace;
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
        let gone = open.await.is_err();
        if gone {
            std::future::pending::<()>().await;
        }
    }
}
