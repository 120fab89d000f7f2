//! Writes log lines to standard output through a bounded buffer that a dedicated thread drains.
//!
//! If the reader of standard output does not keep up, lines are dropped instead of blocking the process. Their number is
//! written where they are missing. A process that is killed loses what it has logged in the last [`FLUSH_INTERVAL_MS`].

use std::{
    io::{self, Write},
    sync::{
        Arc, Condvar, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use {fern::Output, log::LevelFilter};

use crate::logging;

/// Capacity of the buffer, in bytes: about ten seconds of a leader's lines at the peak rate of starts.
const MAX_BUFFERED_BYTES: usize = 1 << 20;

/// Pause between two writes, in milliseconds, so that lines are written in batches.
const FLUSH_INTERVAL_MS: u64 = 200;

/// Maximum size of one write, in bytes: the size up to which POSIX guarantees atomic writes to a pipe.
const MAX_WRITE_BYTES: usize = 4_096;

/// Lines dropped since the process started. It is a static because the logger is global to the process, too.
static LOST_LINES: AtomicU64 = AtomicU64::new(0);

/// Returns the number of lines dropped since the process started, because the buffer was full.
pub fn lost_lines() -> u64 {
    LOST_LINES.load(Ordering::Relaxed)
}

/// Lines that wait for the writer thread.
#[derive(Default)]
struct Buffer {
    bytes: Vec<u8>,
    /// Number of lines dropped after those in `bytes`.
    lost: u64,
    /// Whether the process ends, so that the writer thread writes the rest and ends, too.
    closing: bool,
}

/// The buffer, with condition variables that are notified when it becomes non-empty and when it is closed. There are two,
/// so that a line that arrives between two writes does not wake the writer thread.
#[derive(Default)]
struct Queue {
    buffer: Mutex<Buffer>,
    filled: Condvar,
    closed: Condvar,
}

/// Installs the logger. Dropping the returned guard writes the lines that are still buffered.
///
/// # Errors
///
/// Fails if a logger is already installed or the writer thread cannot be started.
pub fn init(level: LevelFilter) -> anyhow::Result<Flush> {
    let queue = Arc::new(Queue::default());
    let lines = queue.clone();
    // A writer chained to the dispatch would receive each line in several parts.
    let output = Output::call(move |record| lines.push(&format!("{}\n", record.args())));
    logging::log_dispatch().chain(output).apply()?;
    logging::set_level(level);
    let pending = queue.clone();
    let writer =
        thread::Builder::new().name("log".to_owned()).spawn(move || write_all(&pending))?;
    Ok(Flush { queue, writer: Some(writer) })
}

/// Writes what is buffered, in batches, until the queue is closed.
fn write_all(queue: &Queue) {
    while let Some(bytes) = queue.take() {
        // An error means that standard output is closed, so it cannot be logged.
        if write_lines(&bytes).is_err() {
            return;
        }
        queue.pause();
    }
}

/// Returns a line that tells how many lines are missing in its place.
fn lost_notice(count: u64) -> String {
    format!("event=log_lines_lost count={count}\n")
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
    fn lock(&self) -> MutexGuard<'_, Buffer> {
        self.buffer.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a line. Once one has found no room, all further ones are dropped until the buffer is taken, so that there is
    /// one gap, and its place is known.
    fn push(&self, line: &str) {
        let mut buffer = self.lock();
        if buffer.lost > 0 || buffer.bytes.len() + line.len() > MAX_BUFFERED_BYTES {
            buffer.lost += 1;
            LOST_LINES.fetch_add(1, Ordering::Relaxed);
            return;
        }
        if buffer.bytes.is_empty() {
            self.filled.notify_one();
        }
        buffer.bytes.extend_from_slice(line.as_bytes());
    }

    /// Blocks until the buffer is non-empty and takes its contents. Returns `None` if it is empty and closed.
    fn take(&self) -> Option<Vec<u8>> {
        let is_idle = |buffer: &mut Buffer| buffer.bytes.is_empty() && !buffer.closing;
        let waited = self.filled.wait_while(self.lock(), is_idle);
        let mut buffer = waited.unwrap_or_else(PoisonError::into_inner);
        let mut bytes = std::mem::take(&mut buffer.bytes);
        let lost = std::mem::take(&mut buffer.lost);
        drop(buffer);
        if lost > 0 {
            bytes.extend_from_slice(lost_notice(lost).as_bytes());
        }
        (!bytes.is_empty()).then_some(bytes)
    }

    /// Waits until the next batch is due, or the queue is closed.
    fn pause(&self) {
        let limit = Duration::from_millis(FLUSH_INTERVAL_MS);
        drop(self.closed.wait_timeout_while(self.lock(), limit, |buffer| !buffer.closing));
    }
}

/// Guard that writes the lines that are still buffered when it is dropped at the end of the process. If the reader of
/// standard output pauses, the process ends once it reads on.
pub struct Flush {
    queue: Arc<Queue>,
    writer: Option<JoinHandle<()>>,
}

impl Drop for Flush {
    fn drop(&mut self) {
        self.queue.lock().closing = true;
        self.queue.filled.notify_one();
        self.queue.closed.notify_one();
        // The thread also writes what it took before. If it panicked, the message is on standard error.
        let _panicked = self.writer.take().map(JoinHandle::join);
    }
}
