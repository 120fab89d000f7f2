//! Callers' connections: what each may cost, and which one goes when there are too many.
//!
//! A connection is idle between two requests, receives a head, or is busy with a request. A head that does not end is closed
//! after a short time, an idle connection after a longer one, and at the cap the one that has been idle for longest
//! makes room. A busy connection is left alone.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use {
    coriandertack_jobs::{boot_time::BootTime, config::Limits},
    slotmap::{SlotMap, new_key_type},
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
        sync::Notify,
        time::sleep,
    },
};

use super::clock;

new_key_type! {
    /// Key of a connection.
    pub struct ConnectionKey;
}

/// What is known of one connection.
#[derive(Debug, Default)]
pub struct Activity {
    /// When the last bytes came or the last request ended, in milliseconds of our clock.
    touched: AtomicU64,
    /// When the first bytes of an unfinished head came; 0 while there is none.
    head: AtomicU64,
    busy: AtomicBool,
    /// Set off to close the connection.
    evicted: Notify,
}

impl Activity {
    /// Notes that a head is complete and its request is served.
    pub fn begin(&self) {
        self.head.store(0, Ordering::Relaxed);
        self.busy.store(true, Ordering::Relaxed);
    }

    /// Notes that the request was answered.
    pub fn end(&self) {
        self.touched.store(clock::now().0, Ordering::Relaxed);
        self.busy.store(false, Ordering::Relaxed);
    }

    /// Notes that bytes came.
    fn read(&self) {
        let now = clock::now().0.max(1);
        self.touched.store(now, Ordering::Relaxed);
        if !self.busy.load(Ordering::Relaxed) {
            // Only the first bytes count, or a head could be sent one byte at a time for ever.
            let _later = self.head.compare_exchange(0, now, Ordering::Relaxed, Ordering::Relaxed);
        }
    }

    /// Returns when the connection is closed if nothing happens, and why; nothing while it is busy.
    fn deadline(&self, limits: Limits) -> Option<(BootTime, &'static str)> {
        if self.busy.load(Ordering::Relaxed) {
            return None;
        }
        match self.head.load(Ordering::Relaxed) {
            0 => {
                let touched = BootTime(self.touched.load(Ordering::Relaxed));
                Some((touched.plus_ms(limits.idle_ms), "idle"))
            }
            began => Some((BootTime(began).plus_ms(limits.header_ms), "unfinished_head")),
        }
    }

    /// Waits until the connection is to be closed, and returns the reason.
    pub async fn expired(&self, limits: Limits) -> &'static str {
        loop {
            let now = clock::now();
            let wait = match self.deadline(limits) {
                Some((deadline, reason)) if deadline <= now => return reason,
                Some((deadline, _)) => deadline.ms_since(now),
                // A request is answered within a few seconds; what follows is looked at then.
                None => limits.header_ms,
            };
            tokio::select! {
                // A request that came meanwhile is served.
                () = self.evicted.notified() => if !self.busy.load(Ordering::Relaxed) {
                    return "evicted";
                },
                () = sleep(Duration::from_millis(wait.max(1).min(limits.header_ms))) => {}
            }
        }
    }
}

/// All connections of callers.
#[derive(Debug)]
pub struct Connections {
    most: usize,
    open: Mutex<SlotMap<ConnectionKey, Arc<Activity>>>,
}

impl Connections {
    /// Returns a table for at most `most` connections.
    #[must_use]
    pub fn new(most: usize) -> Self {
        Self { most, open: Mutex::default() }
    }

    fn open(&self) -> MutexGuard<'_, SlotMap<ConnectionKey, Arc<Activity>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a connection. At the cap the one that has been idle for longest is closed for it; if all are busy, there is
    /// no room.
    pub fn add(&self) -> Option<(ConnectionKey, Arc<Activity>)> {
        let mut open = self.open();
        if open.len() >= self.most {
            let idle = open.iter().filter(|(_, known)| !known.busy.load(Ordering::Relaxed));
            let oldest = idle.min_by_key(|(_, known)| known.touched.load(Ordering::Relaxed));
            let key = oldest.map(|(key, _)| key)?;
            open.remove(key)?.evicted.notify_one();
        }
        let activity = Arc::new(Activity::default());
        activity.touched.store(clock::now().0, Ordering::Relaxed);
        Some((open.insert(activity.clone()), activity))
    }

    /// Removes a connection that has ended.
    pub fn remove(&self, key: ConnectionKey) {
        self.open().remove(key);
    }
}

/// A stream whose reads are noted.
#[derive(Debug)]
pub struct Watched {
    stream: TcpStream,
    activity: Arc<Activity>,
}

impl Watched {
    /// Returns a stream whose reads are noted in `activity`.
    #[must_use]
    pub const fn new(stream: TcpStream, activity: Arc<Activity>) -> Self {
        Self { stream, activity }
    }
}

impl AsyncRead for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buffer);
        if buffer.filled().len() > before {
            self.activity.read();
        }
        polled
    }
}

impl AsyncWrite for Watched {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
