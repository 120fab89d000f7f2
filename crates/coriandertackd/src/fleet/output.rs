//! Writes log lines to standard output through a bounded buffer that a dedicated thread drains.
//!
//! If the reader of standard output does not keep up, lines are dropped instead of blocking the process. Their number is
//! written where they are missing. A process that is killed loses what it has logged in the last `FLUSH_INTERVAL_MS`.

use std::{
    fs::File,
    io::{self, ErrorKind, Write},
    os::fd::AsFd,
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

/// Returns the number of lines dropped since the process started, because the buffer was full or standard output refused
/// them.
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
/// Fails if a logger is already installed, standard output cannot be duplicated or the writer thread cannot be started.
pub fn init(level: LevelFilter) -> anyhow::Result<Flush> {
    // `io::stdout` has a buffer of its own, from which an error of a write removes lines without a trace.
    let out = File::from(io::stdout().as_fd().try_clone_to_owned()?);
    let queue = Arc::new(Queue::default());
    let lines = queue.clone();
    // A writer chained to the dispatch would receive each line in several parts.
    let output = Output::call(move |record| lines.push(&format!("{}\n", record.args())));
    logging::log_dispatch().chain(output).apply()?;
    logging::set_level(level);
    let pending = queue.clone();
    let writer =
        thread::Builder::new().name("log".to_owned()).spawn(move || write_all(&pending, out))?;
    Ok(Flush { queue, writer: Some(writer) })
}

/// Writes what is buffered, in batches, until the queue is closed.
fn write_all(queue: &Queue, out: File) {
    let mut writer = LineWriter { out, refused: 0, torn: false };
    while let Some(bytes) = queue.take() {
        let lost = writer.write(&bytes);
        LOST_LINES.fetch_add(lost, Ordering::Relaxed);
        queue.pause();
    }
}

/// Returns a line that tells how many lines are missing in its place.
fn lost_notice(count: u64) -> String {
    format!("event=log_lines_lost count={count}\n")
}

/// Standard output, and what it has refused, as a full disk or a closed pipe does.
struct LineWriter {
    out: File,
    /// Number of lines that were refused since the last one that was written.
    refused: u64,
    /// Whether an error has cut the last line short.
    torn: bool,
}

impl LineWriter {
    /// Writes whole lines, and before them how many were refused earlier. Returns the number of lines that are refused
    /// now, which cannot be logged yet.
    fn write(&mut self, bytes: &[u8]) -> u64 {
        if self.refused > 0 {
            let line_break = if self.torn { "\n" } else { "" };
            let notice = format!("{line_break}{}", lost_notice(self.refused));
            if self.write_chunks(notice.as_bytes()).is_empty() {
                self.refused = 0;
            }
        }
        let rest = if self.refused > 0 { bytes } else { self.write_chunks(bytes) };
        let lost = rest.iter().filter(|&&byte| byte == b'\n').count() as u64;
        self.refused += lost;
        lost
    }

    /// Writes chunks of whole lines that a pipe accepts atomically, so that no reader sees a partial line. Returns what is
    /// refused.
    fn write_chunks<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        let mut rest = bytes;
        while !rest.is_empty() {
            let chunk = &rest[..rest.len().min(MAX_WRITE_BYTES)];
            let end = match chunk.iter().rposition(|&byte| byte == b'\n') {
                Some(newline) => newline + 1,
                None => chunk.len(),
            };
            match self.out.write(&rest[..end]) {
                Ok(0) => break,
                Ok(written) => {
                    self.torn = rest[written - 1] != b'\n';
                    rest = &rest[written..];
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                // The pipe is full, and another of its users has set it not to block.
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    thread::sleep(Duration::from_millis(FLUSH_INTERVAL_MS));
                }
                Err(_) => break,
            }
        }
        rest
    }
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
