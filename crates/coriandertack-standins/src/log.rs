//! Stand-in of the log service.
//!
//! It keeps named streams in memory and speaks the protocol of docs/design.md, section 8. Faults are
//! switched on and off through [`LogService`] while it runs. Records that the retention drops stay
//! readable for audits.
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

/// Settings at the start. All of them can be changed while the service runs.
#[derive(Clone, Copy, Debug)]
pub struct LogConfig {
    /// Time that an append takes.
    pub latency_ms: u64,
    /// Appends per second that are accepted.
    pub rate: u32,
    /// Records that a stream keeps.
    pub keep_records: usize,
    /// Time for which a stream keeps a record.
    pub keep_ms: u64,
}

impl Default for LogConfig {
    /// Several hundred appends per second of 5 ms each, and an hour of retention.
    fn default() -> Self {
        Self { latency_ms: 5, rate: 400, keep_records: 1_000_000, keep_ms: 3_600_000 }
    }
}

/// Which requests fail with 503.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Outage {
    /// None of them.
    #[default]
    None,
    /// All of them.
    All,
    /// Appends of all clients.
    Appends,
    /// Reads of all clients.
    Reads,
    /// All requests of the client that names itself so in the header `x-client`.
    Client(String),
}

/// A record, kept for audits even after the retention has dropped it.
#[derive(Clone, Debug)]
pub struct Kept {
    /// Its position, from 1.
    pub offset: u64,
    /// Its bytes.
    pub body: Bytes,
    /// The client that appended it.
    pub client: String,
    /// When it was appended.
    pub at: Instant,
}

/// A running stand-in of the log service. It stops when the value is dropped.
#[derive(Debug)]
pub struct LogService {
    address: SocketAddr,
    shared: Arc<Shared>,
    accept: AbortHandle,
}

/// What the connections share.
#[derive(Debug)]
struct Shared {
    inner: Mutex<Inner>,
    /// Counts changes, for the requests that wait for one.
    changed: watch::Sender<u64>,
    traffic: Traffic,
}

#[derive(Debug)]
struct Inner {
    streams: HashMap<String, Stream>,
    faults: Faults,
    keep_records: usize,
    keep: Duration,
    refused: u64,
}

impl LogService {
    /// Starts the service on a free port of 127.0.0.1. `seed` decides which answers are lost.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start(config: LogConfig, seed: u64) -> anyhow::Result<Self> {
        Self::start_at((Ipv4Addr::LOCALHOST, 0).into(), config, seed).await
    }

    /// Starts the service at an address.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start_at(
        address: SocketAddr,
        config: LogConfig,
        seed: u64,
    ) -> anyhow::Result<Self> {
        let listener = TcpListener::bind(address).await.context("log service")?;
        let address = listener.local_addr()?;
        let inner = Inner {
            streams: HashMap::new(),
            faults: Faults::new(config.latency_ms, config.rate, seed),
            keep_records: config.keep_records,
            keep: Duration::from_millis(config.keep_ms),
            refused: 0,
        };
        let shared = Arc::new(Shared {
            inner: Mutex::new(inner),
            changed: watch::Sender::default(),
            traffic: Traffic::default(),
        });
        let accept = tokio::spawn(server::accept(listener, Arc::clone(&shared))).abort_handle();
        Ok(Self { address, shared, accept })
    }

    /// Returns the address that it listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the count of the bytes exchanged with clients.
    #[must_use]
    pub fn traffic(&self) -> &Traffic {
        &self.shared.traffic
    }

    /// Sets the time that an append takes.
    pub fn set_latency(&self, latency: Duration) {
        self.shared.change(|inner| inner.faults.latency = latency);
    }

    /// Sets the appends per second beyond which the answer is 429.
    pub fn set_rate(&self, rate: u32) {
        self.shared.change(|inner| inner.faults.set_rate(rate));
    }

    /// Sets how many records are kept and for how long.
    pub fn set_retention(&self, records: usize, age: Duration) {
        self.shared.change(|inner| {
            inner.keep_records = records;
            inner.keep = age;
        });
    }

    /// Starts an outage, or ends it with [`Outage::None`]. Waiting reads fail at once.
    pub fn set_outage(&self, outage: Outage) {
        self.shared.change(|inner| inner.faults.outage = outage);
    }

    /// Delays every request by this time, reads included.
    pub fn set_slow(&self, delay: Duration) {
        self.shared.change(|inner| inner.faults.slow = delay);
    }

    /// Loses the answers to the next `count` appends, which take effect.
    pub fn lose_answers(&self, count: u32) {
        self.shared.change(|inner| inner.faults.lose_next = count);
    }

    /// Loses this share of the answers to appends, which take effect.
    pub fn set_loss(&self, share: f64) {
        self.shared.change(|inner| inner.faults.loss = share);
    }

    /// Appends a record directly, for example a corrupt one. Returns its offset.
    pub fn inject(&self, stream: &str, body: Bytes) -> u64 {
        self.shared.append(stream, body, "injected")
    }

    /// Returns all records ever appended to a stream, those that the retention has dropped included.
    #[must_use]
    pub fn records(&self, stream: &str) -> Vec<Kept> {
        let inner = self.shared.lock();
        inner.streams.get(stream).map(|stream| stream.all().to_vec()).unwrap_or_default()
    }

    /// Returns the lowest offset of a stream that is still kept.
    #[must_use]
    pub fn earliest(&self, stream: &str) -> u64 {
        self.shared.with_stream(stream, |stream| stream.earliest())
    }

    /// Returns how many appends were refused, by an outage or by the rate limit.
    #[must_use]
    pub fn refused(&self) -> u64 {
        self.shared.lock().refused
    }

    /// Waits until at least `count` appends were refused.
    pub async fn wait_refused(&self, count: u64) {
        let mut changed = self.shared.changed.subscribe();
        while self.refused() < count {
            // The sender lives as long as `self`.
            let _ = changed.changed().await;
        }
    }

    /// Waits until a stream holds a record for which `found` is true, now or later.
    pub async fn wait_for(&self, stream: &str, mut found: impl FnMut(&Kept) -> bool) -> Kept {
        let mut changed = self.shared.changed.subscribe();
        loop {
            if let Some(kept) = self.records(stream).into_iter().find(&mut found) {
                return kept;
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
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes something and wakes the requests that wait.
    fn change<T>(&self, change: impl FnOnce(&mut Inner) -> T) -> T {
        let changed = change(&mut self.lock());
        self.wake();
        changed
    }

    /// Wakes the requests that wait.
    fn wake(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Runs `read` on a stream after its retention is enforced.
    fn with_stream<T>(&self, name: &str, read: impl FnOnce(&Stream) -> T) -> T {
        let mut inner = self.lock();
        let (records, age) = (inner.keep_records, inner.keep);
        let stream = inner.streams.entry(name.to_owned()).or_default();
        stream.retain(records, age, Instant::now());
        read(stream)
    }

    fn append(&self, name: &str, body: Bytes, client: &str) -> u64 {
        self.change(|inner| {
            let stream = inner.streams.entry(name.to_owned()).or_default();
            stream.append(body, client, Instant::now())
        })
    }
}
