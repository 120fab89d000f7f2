//! Writes log lines to standard output through a bounded buffer that a dedicated thread drains.
//!
//! If the reader of standard output does not keep up, lines are dropped instead of blocking the process. The number of
//! dropped lines is logged as soon as the buffer has room again.

use std::{
    io::{self, Write},
    sync::{
        Arc, Condvar, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use log::LevelFilter;

use crate::logging;

/// Capacity of the buffer, in bytes: about five seconds of a leader's lines at the peak rate of starts.
const MAX_BUFFERED_BYTES: usize = 1 << 20;

/// Pause between two writes, in milliseconds, so that lines are written in batches.
const FLUSH_INTERVAL_MS: u64 = 200;

/// Maximum size of one write, in bytes: the size up to which POSIX guarantees atomic writes to a pipe.
const MAX_WRITE_BYTES: usize = 4_096;

/// Lines dropped since the process started. It is a static because the logger is global to the process, too.
static LOST_LINES: AtomicU64 = AtomicU64::new(0);

/// Returns the number of lines dropped since the process started because the buffer was full.
pub fn lost_lines() -> u64 {
    LOST_LINES.load(Ordering::Relaxed)
}

#[derive(Default)]
struct Buffer {
    bytes: Vec<u8>,
    lost: u64,
}

/// The buffer, with a condition variable that is notified when it becomes non-empty.
#[derive(Default)]
struct Queue {
    buffer: Mutex<Buffer>,
    filled: Condvar,
}

struct LogWriter(Arc<Queue>);

impl Write for LogWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut buffer = self.0.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        if buffer.bytes.len() + bytes.len() > MAX_BUFFERED_BYTES {
            buffer.lost += 1;
            LOST_LINES.fetch_add(1, Ordering::Relaxed);
            return Ok(bytes.len());
        }
        if buffer.lost > 0 {
            let lost = std::mem::take(&mut buffer.lost);
            writeln!(buffer.bytes, "event=log_lines_lost count={lost}")?;
        }
        let was_empty = buffer.bytes.is_empty();
        buffer.bytes.extend_from_slice(bytes);
        if was_empty {
            self.0.filled.notify_one();
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Installs the logger. Dropping the returned guard writes the lines that are still buffered.
///
/// # Errors
///
/// Fails if a logger is already installed or the writer thread cannot be started.
pub fn init(level: LevelFilter) -> anyhow::Result<Flush> {
    let queue = Arc::new(Queue::default());
    let log_writer: Box<dyn Write + Send> = Box::new(LogWriter(queue.clone()));
    logging::log_dispatch().chain(log_writer).apply()?;
    logging::set_level(level);
    let pending = queue.clone();
    thread::Builder::new().name("log".to_owned()).spawn(move || {
        loop {
            let bytes = pending.take();
            // An error means that standard output is closed, so it cannot be logged.
            if write_lines(&bytes).is_err() {
                return;
            }
            thread::sleep(Duration::from_millis(FLUSH_INTERVAL_MS));
        }
    })?;
    Ok(Flush(queue))
}

/// Writes whole lines in chunks that a pipe accepts atomically, so that no reader sees a partial line.
fn write_lines(bytes: &[u8]) -> io::Result<()> {
    let mut out = io::stdout().lock();
    let mut rest = bytes;
    while !rest.is_empty() {
        let chunk = &rest[..rest.len().min(MAX_WRITE_BYTES)];
        let end = match chunk.iter().rposition(|&byte| byte == b'\n') {
            Some(newline) => newline + 1,
            None => chunk.len(),
        };
        out.write_all(&rest[..end])?;
        rest = &rest[end..];
    }
    out.flush()
}

impl Queue {
    /// Blocks until the buffer is non-empty and takes its contents.
    fn take(&self) -> Vec<u8> {
        let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        while buffer.bytes.is_empty() {
            buffer = self.filled.wait(buffer).unwrap_or_else(PoisonError::into_inner);
        }
        std::mem::take(&mut buffer.bytes)
    }
}

/// Guard that writes the lines that are still buffered when it is dropped at the end of the process.
pub struct Flush(Arc<Queue>);

impl Drop for Flush {
    fn drop(&mut self) {
        let mut buffer = self.0.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        let bytes = std::mem::take(&mut buffer.bytes);
        drop(buffer);
        // An error means that standard output is closed, so it cannot be logged.
        let _closed = write_lines(&bytes);
    }
}
