//! An in-memory stand-in for the log service.
//!
//! The service stores named streams and speaks the protocol of docs/design.md, section 8. Faults can
//! be injected through [`LogService`] while it runs. Records that the retention has dropped are no
//! longer served, but stay available to audits through [`LogService::records`].
//!
//! ```
//! # tokio::runtime::Runtime::new().unwrap().block_on(async {
//! use coriandertack_standins::log::{LogConfig, LogService, Outage};
//!
//! let service = LogService::start(LogConfig::default(), 7).await.unwrap();
//! service.set_outage(Outage::Appends);
//! assert!(service.records("control").is_empty());
//! # });
//! ```

mod faults;
mod server;
mod stream;

use std::{
    collections::HashMap,
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use {
    anyhow::Context,
    bytes::Bytes,
    tokio::{net::TcpListener, sync::watch, task::AbortHandle, time::Instant},
};

use self::{faults::Faults, stream::Stream};
use crate::traffic::Traffic;

/// Initial settings of a [`LogService`]. All of them can be changed while the service runs.
#[derive(Clone, Copy, Debug)]
pub struct LogConfig {
    /// Duration of an append, in milliseconds.
    pub latency_ms: u64,
    /// Accepted appends per second. Further appends are rejected with 429.
    pub rate: u32,
    /// Largest number of records that a stream retains.
    pub max_records: usize,
    /// Age in milliseconds beyond which a stream drops a record.
    pub max_age_ms: u64,
}

impl Default for LogConfig {
    /// Returns 400 appends per second of 5 ms each, with one hour of retention.
    fn default() -> Self {
        Self { latency_ms: 5, rate: 400, max_records: 1_000_000, max_age_ms: 3_600_000 }
    }
}

/// The requests that fail with 503.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Outage {
    /// No requests.
    #[default]
    None,
    /// All requests.
    All,
    /// Appends of all clients.
    Appends,
    /// Reads of all clients.
    Reads,
    /// All requests of the client with this name in its `x-client` header.
    Client(String),
}

/// A record of a stream, available to audits even after the retention has dropped it.
#[derive(Clone, Debug)]
pub struct StoredRecord {
    /// Position in the stream, counted from 1.
    pub offset: u64,
    /// Content as the client sent it.
    pub body: Bytes,
    /// Client that appended the record, from its `x-client` header.
    pub client: String,
    /// Time of the append.
    pub at: Instant,
}

/// A running stand-in for the log service, which stops when the handle is dropped.
#[derive(Debug)]
pub struct LogService {
    address: SocketAddr,
    shared: Arc<Shared>,
    accept: AbortHandle,
}

/// State shared by all connections.
#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    /// Change counter that wakes requests waiting for a change.
    changed: watch::Sender<u64>,
    traffic: Traffic,
}

#[derive(Debug)]
struct State {
    streams: HashMap<String, Stream>,
    faults: Faults,
    max_records: usize,
    max_age: Duration,
    /// Appends rejected by an outage or by the rate limit.
    refused: u64,
}

impl LogService {
    /// Starts the service on a free port of 127.0.0.1. `seed` determines which responses are dropped.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start(config: LogConfig, seed: u64) -> anyhow::Result<Self> {
        Self::start_at((Ipv4Addr::LOCALHOST, 0).into(), config, seed).await
    }

    /// Starts the service on the given address.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn start_at(
        address: SocketAddr,
        config: LogConfig,
        seed: u64,
    ) -> anyhow::Result<Self> {
        let listener = TcpListener::bind(address).await.context("cannot bind the log service")?;
        let address = listener.local_addr()?;
        let state = State {
            streams: HashMap::new(),
            faults: Faults::new(config.latency_ms, config.rate, seed),
            max_records: config.max_records,
            max_age: Duration::from_millis(config.max_age_ms),
            refused: 0,
        };
        let shared = Arc::new(Shared {
            state: Mutex::new(state),
            changed: watch::Sender::default(),
            traffic: Traffic::default(),
        });
        let accept = tokio::spawn(server::accept(listener, Arc::clone(&shared))).abort_handle();
        Ok(Self { address, shared, accept })
    }

    /// Returns the address that the service listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the counter of bytes exchanged with clients.
    #[must_use]
    pub fn traffic(&self) -> &Traffic {
        &self.shared.traffic
    }

    /// Sets the duration of an append.
    pub fn set_latency(&self, latency: Duration) {
        self.shared.change(|state| state.faults.latency = latency);
    }

    /// Sets the number of appends per second beyond which appends are rejected with 429.
    pub fn set_rate(&self, rate: u32) {
        self.shared.change(|state| state.faults.set_rate(rate));
    }

    /// Sets the number and the age of the records that a stream retains.
    pub fn set_retention(&self, max_records: usize, max_age: Duration) {
        self.shared.change(|state| {
            state.max_records = max_records;
            state.max_age = max_age;
        });
    }

    /// Starts an outage, or ends it with [`Outage::None`]. Reads that are waiting fail immediately.
    pub fn set_outage(&self, outage: Outage) {
        self.shared.change(|state| state.faults.outage = outage);
    }

    /// Sets a delay that is added to every request, including reads.
    pub fn set_slow(&self, delay: Duration) {
        self.shared.change(|state| state.faults.delay = delay);
    }

    /// Drops the responses to the next `count` appends. The appends themselves take effect.
    pub fn drop_responses(&self, count: u32) {
        self.shared.change(|state| state.faults.drop_next = count);
    }

    /// Sets the fraction of append responses that are dropped. The appends themselves take effect.
    pub fn set_loss(&self, share: f64) {
        self.shared.change(|state| state.faults.loss = share);
    }

    /// Appends a record without a request, for example a corrupt one, and returns its offset.
    pub fn inject(&self, stream: &str, body: Bytes) -> u64 {
        self.shared.append(stream, body, "injected")
    }

    /// Returns all records ever appended to a stream, including those that the retention has dropped.
    #[must_use]
    pub fn records(&self, stream: &str) -> Vec<StoredRecord> {
        let state = self.shared.lock();
        state.streams.get(stream).map(|stream| stream.records().to_vec()).unwrap_or_default()
    }

    /// Returns the lowest offset that a stream still retains.
    #[must_use]
    pub fn earliest(&self, stream: &str) -> u64 {
        self.shared.with_stream(stream, |stream| stream.earliest())
    }

    /// Returns the number of appends that were rejected by an outage or by the rate limit.
    #[must_use]
    pub fn refused(&self) -> u64 {
        self.shared.lock().refused
    }

    /// Waits until at least `count` appends have been rejected.
    pub async fn wait_refused(&self, count: u64) {
        let mut changed = self.shared.changed.subscribe();
        while self.refused() < count {
            // The sender lives as long as `self`.
            let _ = changed.changed().await;
        }
    }

    /// Waits for a record of a stream for which `matches` is true, and returns the first one.
    ///
    /// Records that were appended before the call are considered too.
    pub async fn wait_for(
        &self,
        stream: &str,
        mut matches: impl FnMut(&StoredRecord) -> bool,
    ) -> StoredRecord {
        let mut changed = self.shared.changed.subscribe();
        loop {
            if let Some(record) = self.records(stream).into_iter().find(&mut matches) {
                return record;
            }
            // The sender lives as long as `self`.
            let _ = changed.changed().await;
        }
    }
}

impl Drop for LogService {
    fn drop(&mut self) {
        self.accept.abort();
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the state and wakes the requests that wait for a change.
    fn change<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        let changed = change(&mut self.lock());
        self.notify_waiters();
        changed
    }

    fn notify_waiters(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Enforces the retention of a stream, then runs `read` on it.
    fn with_stream<T>(&self, name: &str, read: impl FnOnce(&Stream) -> T) -> T {
        let mut state = self.lock();
        let (max_records, max_age) = (state.max_records, state.max_age);
        let stream = state.streams.entry(name.to_owned()).or_default();
        stream.enforce_retention(max_records, max_age, Instant::now());
        read(stream)
    }

    fn append(&self, name: &str, body: Bytes, client: &str) -> u64 {
        self.change(|state| {
            let stream = state.streams.entry(name.to_owned()).or_default();
            stream.append(body, client, Instant::now())
        })
    }
}
