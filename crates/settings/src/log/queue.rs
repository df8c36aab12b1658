//! Non-blocking writer to standard output.

use super::{Backlog, Drops};
use std::io::{self, Write};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread;
use std::time::Duration;

/// Time for which lines are collected, so that one system call writes many of them.
const BATCH_DELAY: Duration = Duration::from_millis(20);
/// Size at which a batch is written. A batch exceeds it by at most part of its last line.
const BATCH_BYTES: usize = 64 << 10;

/// Queues lines for a writer thread and never blocks the caller. If the reader of standard output
/// stalls, the queue fills up and further lines are dropped and counted.
#[derive(Debug)]
pub struct Queue {
    lines: SyncSender<Vec<u8>>,
    drops: Drops,
    backlog: Backlog,
}

impl Queue {
    /// Starts the writer thread, with a queue of `capacity` lines.
    pub fn start(capacity: usize) -> io::Result<Self> {
        let (lines, receiver) = sync_channel(capacity);
        let backlog = Backlog::default();
        let written = backlog.clone();
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_batches(&receiver, &written))?;
        Ok(Self {
            lines,
            drops: Drops::default(),
            backlog,
        })
    }

    /// Counter of the dropped lines.
    pub fn drops(&self) -> Drops {
        self.drops.clone()
    }

    /// Lines that are queued and not yet written.
    pub fn backlog(&self) -> Backlog {
        self.backlog.clone()
    }
}

impl Write for Queue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.backlog.add();
        match self.lines.try_send(line.to_vec()) {
            Ok(()) => (),
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.backlog.remove(1);
                self.drops.increment();
            }
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_batches(lines: &Receiver<Vec<u8>>, backlog: &Backlog) {
    while let Ok(mut batch) = lines.recv() {
        thread::sleep(BATCH_DELAY);
        let mut count = 1;
        while batch.len() < BATCH_BYTES
            && let Ok(line) = lines.try_recv()
        {
            batch.extend_from_slice(&line);
            count += 1;
        }
        let written = io::stdout().write_all(&batch);
        backlog.remove(count);
        // Standard output is closed, so the error can't be logged either.
        if written.is_err() {
            return;
        }
    }
}
