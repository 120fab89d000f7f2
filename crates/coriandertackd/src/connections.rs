//! Limits on callers' connections: time-outs, room for unfinished heads, and eviction at the maximum number.
//!
//! A connection is idle between two requests, receiving a request head, or busy with a request. A connection with an
//! unfinished head is closed after a short time, and an idle one, or one whose client does not read a response, after a
//! longer time. At the maximum number, the connection that has been idle longest is evicted; if all are busy or new, the
//! one whose unfinished head or body has held the most for the longest. A connection whose request is complete is never closed.

use std::{
    io,
    pin::{Pin, pin},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use {
    coriandertack_callers::{
        bodies::{Bodies, Limit, Receiver},
        budget::NEW_TIME,
    },
    coriandertack_jobs::{boot_time::BootTime, config::Limits},
    slotmap::{SlotMap, new_key_type},
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
        sync::Notify,
        time::sleep,
    },
};

use crate::clock;

/// Maximum size of one read, in bytes. The buffer of a connection grows with the reads that fill it, so that small reads
/// keep it small.
const MAX_READ_BYTES: usize = 4 * 1_024;

/// Part of the maximum number of connections that may be open beyond it because their bodies were closed to make room, as
/// a divisor. They end at once, unless their clients do not take the response.
const CLOSING_SHARE: usize = 8;

new_key_type! {
    /// Key of an open connection.
    pub struct ConnectionKey;
}

/// Activity of one connection, from which its time-out follows.
#[derive(Debug)]
pub struct Activity {
    /// When bytes were last received or a request last ended, in milliseconds since boot.
    last_active: AtomicU64,
    /// When the first bytes of an unfinished head were received, in milliseconds since boot; 0 if there is none.
    head_began: AtomicU64,
    /// Since when the client has read none of a response that waits for it, in milliseconds since boot; 0 if none waits.
    write_blocked: AtomicU64,
    busy: AtomicBool,
    /// Bytes of an unfinished head.
    head: Receiver,
    /// Notified to close the connection.
    evicted: Notify,
}

impl Activity {
    fn new(bodies: &Arc<Bodies>) -> Self {
        let head = bodies.open();
        head.pause();
        Self {
            last_active: AtomicU64::new(clock::now().0),
            head_began: AtomicU64::default(),
            write_blocked: AtomicU64::default(),
            busy: AtomicBool::default(),
            head,
            evicted: Notify::default(),
        }
    }

    /// Marks the connection as busy: a head is complete and its request is being served.
    pub fn begin(&self) {
        self.head_began.store(0, Ordering::Relaxed);
        self.busy.store(true, Ordering::Relaxed);
        self.head.pause();
    }

    /// Marks the connection as idle: its request was answered.
    pub fn end(&self) {
        self.last_active.store(clock::now().0, Ordering::Relaxed);
        self.busy.store(false, Ordering::Relaxed);
    }

    /// Returns whether a request is being served.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        self.busy.load(Ordering::Relaxed)
    }

    /// Records that bytes were received.
    ///
    /// # Errors
    ///
    /// Fails if they belong to a head for which there is no room.
    fn record_read(&self, bytes: usize) -> io::Result<()> {
        let now = clock::now().0.max(1);
        self.last_active.store(now, Ordering::Relaxed);
        if self.busy.load(Ordering::Relaxed) {
            return Ok(());
        }
        // Only the first bytes set the time; otherwise a head sent one byte at a time would never time out.
        let began = self.head_began.compare_exchange(0, now, Ordering::Relaxed, Ordering::Relaxed);
        if began.is_ok() {
            self.head.restart();
        }
        self.head.reserve(self.head.held_bytes() + bytes).map_err(io::Error::other)
    }

    /// Records whether the client takes bytes of a response.
    fn record_write(&self, blocked: bool) {
        if !blocked {
            self.write_blocked.store(0, Ordering::Relaxed);
            return;
        }
        let now = clock::now().0.max(1);
        let _already_set =
            self.write_blocked.compare_exchange(0, now, Ordering::Relaxed, Ordering::Relaxed);
    }

    /// Returns when the connection times out without further activity, and by which limit; `None` while it is busy.
    fn deadline(&self, limits: Limits) -> Option<(BootTime, Limit)> {
        let since = |time: &AtomicU64| BootTime(time.load(Ordering::Relaxed));
        match since(&self.write_blocked) {
            BootTime(0) => {}
            blocked => return Some((blocked.plus_ms(limits.idle_ms), Limit::ResponseTime)),
        }
        if self.busy.load(Ordering::Relaxed) {
            return None;
        }
        match since(&self.head_began) {
            BootTime(0) => {
                Some((since(&self.last_active).plus_ms(limits.idle_ms), Limit::IdleTime))
            }
            began => Some((began.plus_ms(limits.header_ms), Limit::HeadTime)),
        }
    }

    /// Waits until the connection times out or is evicted, and returns the limit; `None` if it has been counted. A request
    /// may have arrived since an eviction.
    pub async fn wait_until_expired(&self, limits: Limits) -> Option<Limit> {
        loop {
            let now = clock::now();
            let wait = match self.deadline(limits) {
                Some((deadline, limit)) if deadline <= now => return Some(limit),
                Some((deadline, _)) => deadline.ms_since(now),
                // Requests are answered within a few seconds, after which the connection is checked again.
                None => limits.header_ms,
            };
            tokio::select! {
                () = self.evicted.notified() => return Some(Limit::Connections),
                () = self.head.closed() => return None,
                () = sleep(Duration::from_millis(wait.max(1).min(limits.header_ms))) => {}
            }
        }
    }
}

/// How a connection ended.
#[derive(Debug)]
pub struct Ended<T> {
    /// Result of the connection; `None` if it was closed without one.
    pub result: Option<T>,
    /// Limit because of which it was closed, unless that has been counted.
    pub limit: Option<Limit>,
}

/// Serves a connection until it ends or exceeds a limit. Once `closing` resolves, or the connection is evicted while a
/// request is in flight, `shut_down` is called: that request is answered, and no other one follows.
pub async fn serve<C: Future>(
    connection: C,
    shut_down: impl Fn(Pin<&mut C>),
    activity: &Activity,
    limits: Limits,
    closing: impl Future<Output = ()>,
) -> Ended<C::Output> {
    let (mut connection, mut closing) = (pin!(connection), pin!(closing));
    let mut leaving = false;
    let mut exceeded = None;
    loop {
        tokio::select! {
            result = &mut connection => {
                return Ended { result: Some(result), limit: exceeded };
            }
            () = &mut closing, if !leaving => {}
            limit = activity.wait_until_expired(limits) => {
                exceeded = exceeded.or(limit);
                let evicted = matches!(limit, None | Some(Limit::Connections));
                if !evicted || !activity.is_busy() {
                    return Ended { result: None, limit: exceeded };
                }
            }
        }
        leaving = true;
        shut_down(connection.as_mut());
    }
}

/// All open connections of callers.
#[derive(Debug)]
pub struct Connections {
    max_open: usize,
    bodies: Arc<Bodies>,
    open: Mutex<SlotMap<ConnectionKey, Arc<Activity>>>,
}

impl Connections {
    /// Creates a table for at most `max_open` connections, whose requests take room in `bodies`.
    #[must_use]
    pub fn new(max_open: usize, bodies: Arc<Bodies>) -> Self {
        Self { max_open, bodies, open: Mutex::default() }
    }

    /// Returns the bodies of requests on these connections.
    #[must_use]
    pub const fn bodies(&self) -> &Arc<Bodies> {
        &self.bodies
    }

    fn open(&self) -> MutexGuard<'_, SlotMap<ConnectionKey, Arc<Activity>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a connection. At the maximum number, the one that has been idle longest is evicted if it is not new, otherwise
    /// one whose head or body is unfinished, otherwise the new one. Returns `None` if there is none either.
    pub fn add(&self) -> Option<(ConnectionKey, Arc<Activity>)> {
        let mut open = self.open();
        if open.len() >= self.max_open {
            let idle = open.iter().filter(|(_, activity)| !activity.busy.load(Ordering::Relaxed));
            let oldest = idle
                .map(|(key, activity)| (activity.last_active.load(Ordering::Relaxed), key))
                .min();
            let new_ms = NEW_TIME.as_millis() as u64;
            let is_old = |(since, _): &(u64, _)| clock::now().ms_since(BootTime(*since)) >= new_ms;
            let max_closing = (self.max_open / CLOSING_SHARE).max(1);
            let evict = match oldest.filter(is_old) {
                None if open.len() >= self.max_open + max_closing => return None,
                None if self.bodies.close_first() => None,
                _ => Some(oldest?.1),
            };
            // A connection whose receiver was closed ends once its client has taken the response.
            if let Some(key) = evict {
                open.remove(key)?.evicted.notify_one();
            }
        }
        let activity = Arc::new(Activity::new(&self.bodies));
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
        let size = buffer.remaining().min(MAX_READ_BYTES);
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(size));
        let polled = Pin::new(&mut self.stream).poll_read(cx, &mut part);
        let bytes = part.filled().len();
        buffer.advance(bytes);
        if bytes > 0 {
            self.activity.record_read(bytes)?;
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
        let polled = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.activity.record_write(polled.is_pending());
        polled
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
        let polled = Pin::new(&mut self.stream).poll_write_vectored(cx, parts);
        self.activity.record_write(polled.is_pending());
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
