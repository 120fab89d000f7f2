//! Log lines on standard output, from a bounded buffer that a thread of its own writes out.
//!
//! A reader that does not keep up makes the process lose lines, and never wait. The number of lost lines is written
//! as soon as there is room again.

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

/// Most bytes that wait to be written: about five seconds of a leader's lines at the peak of starts.
const MAX_BYTES: usize = 1 << 20;

/// Pause between two writes, in milliseconds, so that lines go out in batches.
const PAUSE_MS: u64 = 200;

/// Most bytes of one write: what POSIX guarantees to be written to a pipe at once.
const PIECE_BYTES: usize = 4_096;

/// Lines that found no room since the process started. The logger is one for the process, and so is this.
static LOST_LINES: AtomicU64 = AtomicU64::new(0);

/// Returns the number of lines that found no room since the process started.
pub fn lost_lines() -> u64 {
    LOST_LINES.load(Ordering::Relaxed)
}

#[derive(Default)]
struct Buffer {
    bytes: Vec<u8>,
    lost: u64,
}

/// The buffer and the signal that it holds something.
#[derive(Default)]
struct Queue {
    buffer: Mutex<Buffer>,
    filled: Condvar,
}

struct Lines(Arc<Queue>);

impl Write for Lines {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut buffer = self.0.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        if buffer.bytes.len() + bytes.len() > MAX_BYTES {
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

/// Writes log lines to standard output from now on.
///
/// # Errors
///
/// Fails if the process has a logger already or no thread can be started.
pub fn init(level: LevelFilter) -> anyhow::Result<Flush> {
    let queue = Arc::new(Queue::default());
    let lines: Box<dyn Write + Send> = Box::new(Lines(queue.clone()));
    logging::dispatch().chain(lines).apply()?;
    logging::set_level(level);
    let writer = queue.clone();
    thread::Builder::new().name("log".to_owned()).spawn(move || {
        loop {
            let bytes = writer.take();
            // Nobody is left to tell if standard output is closed.
            if write_lines(&bytes).is_err() {
                return;
            }
            thread::sleep(Duration::from_millis(PAUSE_MS));
        }
    })?;
    Ok(Flush(queue))
}

/// Writes whole lines in pieces that a pipe takes in one go, so that no reader sees a part of a line.
fn write_lines(bytes: &[u8]) -> io::Result<()> {
    let mut out = io::stdout().lock();
    let mut rest = bytes;
    while !rest.is_empty() {
        let piece = &rest[..rest.len().min(PIECE_BYTES)];
        let end = match piece.iter().rposition(|&byte| byte == b'\n') {
            Some(newline) => newline + 1,
            None => piece.len(),
        };
        out.write_all(&rest[..end])?;
        rest = &rest[end..];
    }
    out.flush()
}

impl Queue {
    /// Waits for lines and takes them.
    fn take(&self) -> Vec<u8> {
        let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        while buffer.bytes.is_empty() {
            buffer = self.filled.wait(buffer).unwrap_or_else(PoisonError::into_inner);
        }
        std::mem::take(&mut buffer.bytes)
    }
}

/// Writes what is left when the process ends.
pub struct Flush(Arc<Queue>);

impl Drop for Flush {
    fn drop(&mut self) {
        let mut buffer = self.0.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        let bytes = std::mem::take(&mut buffer.bytes);
        drop(buffer);
        // Nobody is left to tell if standard output is closed.
        let _closed = write_lines(&bytes);
    }
}
