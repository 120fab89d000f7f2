//! Reception of request bodies within a [`Budget`].
//!
//! [`Bodies`] is shared by all connections of a process. A [`Receiver`] holds the bytes of one unfinished head or body and
//! releases them when it is dropped, however the request ends. The buffers of bodies live beside the budget, so the
//! memory of a body that is closed for room is free before the other one takes it.
//!
//! docs/design/body-limits.md has the design.

use std::{
    fmt::{self, Display},
    ops::Deref,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use {
    bytes::Bytes,
    http_body_util::BodyExt,
    hyper::body::Body,
    slotmap::SecondaryMap,
    tokio::{
        sync::Notify,
        time::{Instant, timeout_at},
    },
};

use crate::budget::{Budget, Closed, NoRoom, ReceiverKey};

/// Time within which a body must arrive. Callers wait 3 s for a response, so no request whose caller still waits is cut
/// off.
pub const BODY_TIME: Duration = Duration::from_millis(5_000);

/// First reservation for a body whose length is not declared. It holds an ordinary submission.
const FIRST_BYTES: usize = 4 * 1_024;

/// Time for which the rest of a refused body is read and dropped, so that its client gets to read the response: a
/// connection that is closed with unread bytes is reset, which discards the response.
const DRAIN_TIME: Duration = Duration::from_millis(500);

/// Most log lines about limits in a second. Clients that ignore refusals cause thousands.
const LINES_PER_SECOND: u32 = 10;

/// A limit by which a request is refused or a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Limit {
    /// Bytes of all unfinished requests.
    #[display("bytes")]
    Bytes,
    /// Number of connections.
    #[display("connections")]
    Connections,
    /// Time for a body.
    #[display("body_time")]
    BodyTime,
    /// Time for a head.
    #[display("head_time")]
    HeadTime,
    /// Time without a request.
    #[display("idle_time")]
    IdleTime,
    /// Time for which a client reads none of a response.
    #[display("response_time")]
    ResponseTime,
}

impl Limit {
    /// All limits, in the order of their discriminants.
    pub const ALL: [Self; 6] = [
        Self::Bytes,
        Self::Connections,
        Self::BodyTime,
        Self::HeadTime,
        Self::IdleTime,
        Self::ResponseTime,
    ];
}

/// Reason why a body was not received.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum BodyError {
    /// It is longer than allowed.
    #[display("the body is too long")]
    TooLong,
    /// The connection broke, or the body does not have the form of its encoding.
    #[display("the body is broken: {_0}")]
    Broken(#[error(not(source))] String),
    /// It did not arrive in time.
    #[display("the body did not arrive in time")]
    Late,
    /// There was no room for it when it arrived, or it was closed to make room.
    #[display("there is no room for the body")]
    NoRoom,
}

/// A buffer of a body, and what tells its receiver that it was closed.
#[derive(Debug)]
struct Slot {
    buffer: Vec<u8>,
    closed: Arc<Notify>,
}

#[derive(Debug)]
struct State {
    budget: Budget,
    slots: SecondaryMap<ReceiverKey, Slot>,
}

/// Lines that were logged in the current second, and those that were not.
#[derive(Debug)]
struct Lines {
    began: Instant,
    logged: u32,
    unlogged: u64,
}

/// All heads and bodies that a process is receiving, with counts of what was refused and closed.
#[derive(Debug)]
pub struct Bodies {
    state: Mutex<State>,
    lines: Mutex<Lines>,
    refused: [AtomicU64; Limit::ALL.len()],
    closed: [AtomicU64; Limit::ALL.len()],
}

impl Bodies {
    /// Creates a budget of `bytes`, see [`Budget::new`].
    #[must_use]
    pub fn new(bytes: usize) -> Arc<Self> {
        let state = State { budget: Budget::new(bytes), slots: SecondaryMap::default() };
        Arc::new(Self {
            state: Mutex::new(state),
            lines: Mutex::new(Lines { began: Instant::now(), logged: 0, unlogged: 0 }),
            refused: Default::default(),
            closed: Default::default(),
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of bytes reserved for unfinished requests and for those that are being served.
    #[must_use]
    pub fn held_bytes(&self) -> usize {
        self.state().budget.held_bytes()
    }

    /// Returns how many requests were refused by a limit.
    #[must_use]
    pub fn refused(&self, limit: Limit) -> u64 {
        self.refused[limit as usize].load(Ordering::Relaxed)
    }

    /// Returns how many connections with an unfinished request or without one were closed by a limit.
    #[must_use]
    pub fn closed(&self, limit: Limit) -> u64 {
        self.closed[limit as usize].load(Ordering::Relaxed)
    }

    /// Counts and logs a request that a limit refused.
    pub fn record_refusal(&self, limit: Limit) {
        self.refused[limit as usize].fetch_add(1, Ordering::Relaxed);
        self.log(format_args!("event=request_refused limit={limit}"));
    }

    /// Counts and logs a connection that a limit closed.
    pub fn record_close(&self, limit: Limit) {
        self.closed[limit as usize].fetch_add(1, Ordering::Relaxed);
        self.log(format_args!("event=request_closed limit={limit}"));
    }

    /// Counts and logs receivers that were closed to make room.
    fn record_closed(&self, limit: Limit, closed: &[Closed]) {
        let now = Instant::now();
        for Closed { bytes, since, .. } in closed {
            self.closed[limit as usize].fetch_add(1, Ordering::Relaxed);
            let age_ms = now.saturating_duration_since(*since).as_millis();
            self.log(format_args!(
                "event=request_closed limit={limit} bytes={bytes} age_ms={age_ms}"
            ));
        }
    }

    /// Logs a line, unless this second has had its share. The next line tells how many are missing.
    fn log(&self, line: fmt::Arguments<'_>) {
        let now = Instant::now();
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        if now.saturating_duration_since(lines.began) >= Duration::from_secs(1) {
            (lines.began, lines.logged) = (now, 0);
        }
        if lines.logged >= LINES_PER_SECOND {
            lines.unlogged += 1;
            return;
        }
        lines.logged += 1;
        let unlogged = std::mem::take(&mut lines.unlogged);
        drop(lines);
        log::info!("{line} held_bytes={} unlogged={unlogged}", self.held_bytes());
    }

    /// Opens a receiver that holds nothing.
    #[must_use]
    pub fn open(self: &Arc<Self>) -> Receiver {
        let mut state = self.state();
        let key = state.budget.add(Instant::now());
        let closed = Arc::<Notify>::default();
        state.slots.insert(key, Slot { buffer: Vec::new(), closed: Arc::clone(&closed) });
        drop(state);
        Receiver { bodies: Arc::clone(self), key, closed }
    }

    /// Closes the receiver that has held the most for the longest, because its connection is needed. Returns whether there
    /// was one.
    pub fn close_first(&self) -> bool {
        let now = Instant::now();
        let mut state = self.state();
        let Some(closed) = state.budget.close_first(now) else { return false };
        state.notify(&[closed]);
        drop(state);
        self.record_closed(Limit::Connections, &[closed]);
        true
    }

    /// Reads a body of at most `max` bytes, which must arrive by `until`, into one buffer.
    ///
    /// # Errors
    ///
    /// Fails if the body is too long, broken or late, or if there is no room for it. The request has not been served in
    /// any of these cases.
    pub async fn read<B>(
        self: &Arc<Self>,
        mut body: B,
        max: usize,
        until: Instant,
    ) -> Result<ReceivedBody, BodyError>
    where
        B: Body<Data = Bytes> + Send + Unpin + 'static,
        B::Error: Display + Send,
    {
        let declared = body.size_hint().exact().and_then(|length| usize::try_from(length).ok());
        if declared.is_some_and(|length| length > max) {
            return Err(BodyError::TooLong);
        }
        self.state().budget.admit_body(max);
        let receiver = self.open();
        let closed = Arc::clone(&receiver.closed);
        let reading = receive(&receiver, &mut body, declared.unwrap_or(max), max);
        let received = tokio::select! {
            // A body that is complete counts, although its deadline has passed or it was to be closed.
            biased;
            received = timeout_at(until, reading) => received.unwrap_or(Err(BodyError::Late)),
            () = closed.notified() => Err(BodyError::NoRoom),
        };
        match &received {
            Ok(()) => return receiver.finish().ok_or(BodyError::NoRoom),
            // A receiver that was closed was counted when it was closed.
            Err(BodyError::NoRoom) if receiver.is_open() => {
                self.record_refusal(Limit::Bytes);
                tokio::spawn(drain(body));
            }
            Err(BodyError::Late) => self.record_close(Limit::BodyTime),
            Err(_) => {}
        }
        received.and(Err(BodyError::NoRoom))
    }
}

impl State {
    /// Frees the buffers of receivers that the budget has removed, and tells their tasks.
    fn notify(&mut self, closed: &[Closed]) {
        for slot in closed.iter().filter_map(|closed| self.slots.remove(closed.key)) {
            slot.closed.notify_one();
        }
    }
}

/// Reads a body to its end. `expected` is its declared length, or the maximum.
async fn receive<B>(
    receiver: &Receiver,
    body: &mut B,
    expected: usize,
    max: usize,
) -> Result<(), BodyError>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: Display,
{
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| BodyError::Broken(error.to_string()))?;
        if let Ok(data) = frame.into_data() {
            receiver.push(&data, expected, max)?;
        }
    }
    Ok(())
}

/// Reads and drops the rest of a body for a short time.
async fn drain<B: Body<Data = Bytes> + Unpin>(mut body: B) {
    let rest = async { while let Some(Ok(_)) = body.frame().await {} };
    // A client that does not go on is cut off, which is what the time-out is for.
    let _cut_off = timeout_at(Instant::now() + DRAIN_TIME, rest).await.is_err();
}

/// Bytes reserved for one unfinished head or body, which are released on drop.
#[derive(Debug)]
pub struct Receiver {
    bodies: Arc<Bodies>,
    key: ReceiverKey,
    closed: Arc<Notify>,
}

impl Drop for Receiver {
    fn drop(&mut self) {
        let mut state = self.bodies.state();
        state.budget.remove(self.key);
        state.slots.remove(self.key);
    }
}

impl Receiver {
    /// Waits until the receiver is closed to make room.
    pub async fn closed(&self) {
        self.closed.notified().await;
    }

    fn is_open(&self) -> bool {
        self.bodies.state().budget.bytes_of(self.key).is_some()
    }

    /// Returns the number of bytes that it holds.
    #[must_use]
    pub fn held_bytes(&self) -> usize {
        self.bodies.state().budget.bytes_of(self.key).unwrap_or(0)
    }

    /// Releases what is held. The receiver is not closed until it is restarted.
    pub fn pause(&self) {
        self.bodies.state().budget.finish(self.key, 0);
    }

    /// Releases what is held, and starts the next message.
    pub fn restart(&self) {
        self.bodies.state().budget.restart(self.key, Instant::now());
    }

    /// Reserves `bytes` in all, which are kept elsewhere.
    ///
    /// # Errors
    ///
    /// Fails if there is no room, which is counted, or if the receiver was closed.
    pub fn reserve(&self, bytes: usize) -> Result<(), NoRoom> {
        let reserved = self.reserve_in(&mut self.bodies.state(), bytes);
        match &reserved {
            Ok(closed) => self.bodies.record_closed(Limit::Bytes, closed),
            // A receiver that was closed was counted when it was closed.
            Err(NoRoom) if self.is_open() => self.bodies.record_refusal(Limit::Bytes),
            Err(NoRoom) => {}
        }
        reserved.map(drop)
    }

    fn reserve_in(&self, state: &mut State, bytes: usize) -> Result<Vec<Closed>, NoRoom> {
        let closed = state.budget.reserve(self.key, bytes, Instant::now())?;
        state.notify(&closed);
        Ok(closed)
    }

    /// Appends bytes to the buffer, after reserving the growth of the buffer.
    fn push(&self, data: &[u8], expected: usize, max: usize) -> Result<(), BodyError> {
        let mut state = self.bodies.state();
        let slot = state.slots.get(self.key).ok_or(BodyError::NoRoom)?;
        let (length, capacity) = (slot.buffer.len() + data.len(), slot.buffer.capacity());
        if length > max {
            return Err(BodyError::TooLong);
        }
        let mut closed = Vec::new();
        if length > capacity {
            // Doubling bounds the copies, and the bytes reserved to twice those received.
            let capacity = length.max(2 * capacity).max(FIRST_BYTES).min(expected.max(length));
            closed = self.reserve_in(&mut state, capacity).map_err(|NoRoom| BodyError::NoRoom)?;
            let slot = state.slots.get_mut(self.key).ok_or(BodyError::NoRoom)?;
            let more = capacity - slot.buffer.len();
            slot.buffer.reserve_exact(more);
        }
        if let Some(slot) = state.slots.get_mut(self.key) {
            slot.buffer.extend_from_slice(data);
        }
        drop(state);
        self.bodies.record_closed(Limit::Bytes, &closed);
        Ok(())
    }

    /// Ends the reception. The bytes stay reserved until the body is dropped. Returns `None` if the receiver was closed.
    fn finish(self) -> Option<ReceivedBody> {
        let mut state = self.bodies.state();
        let mut bytes = std::mem::take(&mut state.slots.get_mut(self.key)?.buffer);
        bytes.shrink_to_fit();
        state.budget.finish(self.key, bytes.capacity());
        drop(state);
        Some(ReceivedBody { bytes: bytes.into(), receiver: self })
    }
}

/// A whole body. Its bytes count in the budget until it is dropped.
#[derive(Debug)]
pub struct ReceivedBody {
    bytes: Bytes,
    receiver: Receiver,
}

impl ReceivedBody {
    /// Returns the bytes, and the receiver that keeps their number reserved for as long as copies are in use.
    #[must_use]
    pub fn into_parts(self) -> (Bytes, Receiver) {
        (self.bytes, self.receiver)
    }
}

impl Deref for ReceivedBody {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.bytes
    }
}
