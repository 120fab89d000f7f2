//! Limits on callers' connections: time-outs, and eviction at the maximum number.
//!
//! A connection is idle between two requests, receiving a request head, or busy with a request. A connection with an
//! unfinished head is closed after a short time and an idle one after a longer time. At the maximum number, the
//! connection that has been idle longest is evicted. A busy connection is never closed.

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
    /// Key of an open connection.
    pub struct ConnectionKey;
}

/// Activity of one connection, from which its time-out follows.
#[derive(Debug, Default)]
pub struct Activity {
    /// When bytes were last received or a request last ended, in milliseconds since boot.
    last_active: AtomicU64,
    /// When the first bytes of an unfinished head were received, in milliseconds since boot; 0 if there is none.
    head_began: AtomicU64,
    busy: AtomicBool,
    /// Notified to close the connection.
    evicted: Notify,
}

impl Activity {
    /// Marks the connection as busy: a head is complete and its request is being served.
    pub fn begin(&self) {
        self.head_began.store(0, Ordering::Relaxed);
        self.busy.store(true, Ordering::Relaxed);
    }

    /// Marks the connection as idle: its request was answered.
    pub fn end(&self) {
        self.last_active.store(clock::now().0, Ordering::Relaxed);
        self.busy.store(false, Ordering::Relaxed);
    }

    /// Records that bytes were received.
    fn record_read(&self) {
        let now = clock::now().0.max(1);
        self.last_active.store(now, Ordering::Relaxed);
        if !self.busy.load(Ordering::Relaxed) {
            // Only the first bytes set the time; otherwise a head sent one byte at a time would never time out.
            let _already_set =
                self.head_began.compare_exchange(0, now, Ordering::Relaxed, Ordering::Relaxed);
        }
    }

    /// Returns when the connection times out without further activity, and the reason; `None` while it is busy.
    fn deadline(&self, limits: Limits) -> Option<(BootTime, &'static str)> {
        if self.busy.load(Ordering::Relaxed) {
            return None;
        }
        match self.head_began.load(Ordering::Relaxed) {
            0 => {
                let last_active = BootTime(self.last_active.load(Ordering::Relaxed));
                Some((last_active.plus_ms(limits.idle_ms), "idle"))
            }
            began => Some((BootTime(began).plus_ms(limits.header_ms), "unfinished_head")),
        }
    }

    /// Waits until the connection times out or is evicted, and returns the reason.
    pub async fn wait_until_expired(&self, limits: Limits) -> &'static str {
        loop {
            let now = clock::now();
            let wait = match self.deadline(limits) {
                Some((deadline, reason)) if deadline <= now => return reason,
                Some((deadline, _)) => deadline.ms_since(now),
                // Requests are answered within a few seconds, after which the connection is checked again.
                None => limits.header_ms,
            };
            tokio::select! {
                // A request that arrived after the eviction is still served.
                () = self.evicted.notified() => if !self.busy.load(Ordering::Relaxed) {
                    return "evicted";
                },
                () = sleep(Duration::from_millis(wait.max(1).min(limits.header_ms))) => {}
            }
        }
    }
}

/// All open connections of callers.
#[derive(Debug)]
pub struct Connections {
    max_open: usize,
    open: Mutex<SlotMap<ConnectionKey, Arc<Activity>>>,
}

impl Connections {
    /// Creates a table for at most `max_open` connections.
    #[must_use]
    pub fn new(max_open: usize) -> Self {
        Self { max_open, open: Mutex::default() }
    }

    fn open(&self) -> MutexGuard<'_, SlotMap<ConnectionKey, Arc<Activity>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a connection. At the maximum number, the one that has been idle longest is evicted; if all are busy,
    /// returns `None`.
    pub fn add(&self) -> Option<(ConnectionKey, Arc<Activity>)> {
        let mut open = self.open();
        if open.len() >= self.max_open {
            let idle = open.iter().filter(|(_, activity)| !activity.busy.load(Ordering::Relaxed));
            let oldest =
                idle.min_by_key(|(_, activity)| activity.last_active.load(Ordering::Relaxed));
            let key = oldest.map(|(key, _)| key)?;
            open.remove(key)?.evicted.notify_one();
        }
        let activity = Arc::new(Activity::default());
        activity.last_active.store(clock::now().0, Ordering::Relaxed);
        Some((open.insert(activity.clone()), activity))
    }

    /// Removes a connection that has ended.
    pub fn remove(&self, key: ConnectionKey) {
        self.open().remove(key);
    }
}

/// A stream that records its reads in an [`Activity`].
#[derive(Debug)]
pub struct TrackedStream {
    stream: TcpStream,
    activity: Arc<Activity>,
}

impl TrackedStream {
    /// Wraps a stream, and records its reads in `activity`.
    #[must_use]
    pub const fn new(stream: TcpStream, activity: Arc<Activity>) -> Self {
        Self { stream, activity }
    }
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buffer);
        if buffer.filled().len() > before {
            self.activity.record_read();
        }
        polled
    }
}

impl AsyncWrite for TrackedStream {
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
