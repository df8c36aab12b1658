//! Lines on their way to standard output.

use super::Drops;
use std::io::{self, Write};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread;
use std::time::Duration;

/// Pause in which lines gather, so that one write serves many.
const GATHER: Duration = Duration::from_millis(20);
/// Bytes that are written at once, at most, by a little.
const BATCH_BYTES: usize = 64 << 10;

/// Takes lines without ever waiting; a thread of its own writes them. When the reader of standard
/// output stops, the queue fills and further lines are dropped and counted.
#[derive(Debug)]
pub struct Queue {
    lines: SyncSender<Vec<u8>>,
    drops: Drops,
}

impl Queue {
    /// Starts the thread that writes.
    pub fn start(waiting: usize) -> io::Result<Self> {
        let (lines, waiting) = sync_channel(waiting);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write(&waiting))?;
        Ok(Self {
            lines,
            drops: Drops::default(),
        })
    }

    /// Drops of the lines that were not written.
    pub fn drops(&self) -> Drops {
        self.drops.clone()
    }
}

impl Write for Queue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        match self.lines.try_send(line.to_vec()) {
            Ok(()) => (),
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => self.drops.increment(),
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write(lines: &Receiver<Vec<u8>>) {
    while let Ok(mut batch) = lines.recv() {
        thread::sleep(GATHER);
        while batch.len() < BATCH_BYTES
            && let Ok(line) = lines.try_recv()
        {
            batch.extend_from_slice(&line);
        }
        // Without standard output there is nowhere to say so.
        if io::stdout().write_all(&batch).is_err() {
            return;
        }
    }
}
