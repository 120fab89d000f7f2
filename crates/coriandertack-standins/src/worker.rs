//! Stand-in for a worker: runs tasks under leases and answers callers; see docs/design.md, section 8.
//!
//! ```no_run
//! use coriandertack_standins::worker::{Worker, WorkerConfig};
//!
//! # async fn example() -> anyhow::Result<()> {
//! let worker = Worker::start(WorkerConfig::new("split-w1", "split", "r1"), 7).await?;
//! println!("{}", worker.address());
//! worker.pause(true);
//! # Ok(())
//! # }
//! ```

mod behaviour;
mod engine;
mod http;
mod limiter;
mod run;
pub mod wire;

use std::{
    collections::HashMap,
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use {
    anyhow::Context,
    tokio::{
        net::TcpListener,
        sync::{Notify, watch},
        task::JoinHandle,
        time::sleep_until,
    },
};

pub use self::behaviour::Behaviour;
use self::{
    engine::Engine,
    wire::{Amount, Used},
};
use crate::{audit::Audit, traffic::Traffic};

/// Requests that a worker runs at a time.
pub const SLOTS: usize = 8;

/// Connections that a worker keeps open.
pub const CONNECTIONS: usize = 64;

/// Progress of tasks that were checkpointed, shared by the workers of one cell.
#[derive(Clone, Debug, Default)]
pub struct Checkpoints {
    saved: Arc<Mutex<HashMap<String, u64>>>,
}

impl Checkpoints {
    fn save(&self, task: &str, done: u64) {
        self.lock().insert(task.to_owned(), done);
    }

    fn progress(&self, task: &str) -> u64 {
        self.lock().get(task).copied().unwrap_or(0)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, u64>> {
        self.saved.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Properties of a worker.
#[derive(Clone, Debug)]
pub struct WorkerConfig {
    /// Unique name.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Rack within the zone.
    pub rack: String,
    /// What it has.
    pub capacity: Amount,
    /// Length of a usage interval.
    pub interval_ms: u64,
    /// Least delay of a usage report.
    pub usage_delay_ms: u64,
    /// Random addition to the delay, which reorders reports.
    pub usage_jitter_ms: u64,
    /// Probability that a usage report is sent twice.
    pub doubled: f64,
    /// Time for one request of a caller, unless the task or the request says otherwise.
    pub work_ms: u64,
    /// Factor on the time of all work, in percent; a straggler has a high one.
    pub slowdown_percent: u64,
    /// Whether every task that it starts fails.
    pub bad: bool,
    /// Checkpoints of the cell.
    pub checkpoints: Checkpoints,
}

impl WorkerConfig {
    /// Returns a worker of the usual size without faults.
    #[must_use]
    pub fn new(name: &str, zone: &str, rack: &str) -> Self {
        Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            rack: rack.to_owned(),
            capacity: Amount::new(16_000, 32_768, 0),
            interval_ms: 1_000,
            usage_delay_ms: 0,
            usage_jitter_ms: 0,
            doubled: 0.0,
            work_ms: 5,
            slowdown_percent: 100,
            bad: false,
            checkpoints: Checkpoints::default(),
        }
    }
}

/// What the tasks of one stand-in share.
#[derive(Debug)]
struct Shared {
    config: WorkerConfig,
    address: SocketAddr,
    engine: Mutex<Engine>,
    changed: Notify,
    news: watch::Sender<u64>,
    paused: watch::Sender<bool>,
    traffic: Traffic,
    lost: AtomicUsize,
    delay: Mutex<Option<Duration>>,
    tasks: Mutex<Vec<JoinHandle<()>>>,
}

impl Shared {
    /// Runs `act` on the engine and wakes those who wait for its events.
    fn with<R>(&self, act: impl FnOnce(&mut Engine) -> R) -> R {
        let mut engine = self.engine.lock().unwrap_or_else(PoisonError::into_inner);
        let result = act(&mut engine);
        let seq = engine.seq();
        drop(engine);
        self.news.send_if_modified(|last| std::mem::replace(last, seq) != seq);
        result
    }

    /// Runs `act` like [`Shared::with`] and lets the timer look for earlier deadlines.
    fn change<R>(&self, act: impl FnOnce(&mut Engine) -> R) -> R {
        let result = self.with(act);
        self.changed.notify_one();
        result
    }

    /// Carries out what falls due, until aborted.
    async fn keep_time(self: Arc<Self>) {
        loop {
            let next = self.with(|engine| {
                engine.advance();
                engine.next()
            });
            let due = async {
                match next {
                    Some(next) => sleep_until(next).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                biased;
                () = self.changed.notified() => {}
                () = due => {}
            }
        }
    }

    fn tasks(&self) -> MutexGuard<'_, Vec<JoinHandle<()>>> {
        self.tasks.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Handle of a running stand-in.
#[derive(Clone, Debug)]
pub struct Worker {
    shared: Arc<Shared>,
}

impl Worker {
    /// Starts a worker on a free port of the loopback interface.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start(config: WorkerConfig, seed: u64) -> anyhow::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.context("bind worker")?;
        let shared = Shared {
            config: config.clone(),
            address: listener.local_addr()?,
            engine: Mutex::new(Engine::new(config, seed)),
            changed: Notify::new(),
            news: watch::Sender::new(0),
            paused: watch::Sender::new(false),
            traffic: Traffic::default(),
            lost: AtomicUsize::new(0),
            delay: Mutex::default(),
            tasks: Mutex::default(),
        };
        let worker = Self { shared: Arc::new(shared) };
        worker.run(listener);
        Ok(worker)
    }

    fn run(&self, listener: TcpListener) {
        let clock = tokio::spawn(Arc::clone(&self.shared).keep_time());
        let server = tokio::spawn(http::serve(Arc::clone(&self.shared), listener));
        self.shared.tasks().extend([clock, server]);
    }

    /// Returns the name.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.shared.config.name
    }

    /// Returns the availability zone.
    #[must_use]
    pub fn zone(&self) -> &str {
        &self.shared.config.zone
    }

    /// Returns the rack.
    #[must_use]
    pub fn rack(&self) -> &str {
        &self.shared.config.rack
    }

    /// Returns what the worker has.
    #[must_use]
    pub fn capacity(&self) -> Amount {
        self.shared.config.capacity
    }

    /// Returns the address of the control and serving interface.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Returns the count of the bytes exchanged with clients.
    #[must_use]
    pub fn traffic(&self) -> &Traffic {
        &self.shared.traffic
    }

    /// Stops answering, or answers again. Tasks run on and leases expire meanwhile.
    pub fn pause(&self, paused: bool) {
        self.shared.paused.send_replace(paused);
    }

    /// Carries out the next `count` requests with commands but closes their connections without an
    /// answer.
    pub fn lose_answers(&self, count: usize) {
        self.shared.lost.store(count, Ordering::SeqCst);
    }

    /// Carries out the next request with commands only after `delay`, even if the sender has closed
    /// the connection by then.
    pub fn delay_commands(&self, delay: Duration) {
        *self.shared.delay.lock().unwrap_or_else(PoisonError::into_inner) = Some(delay);
    }

    /// Drops all connections and tasks at once and refuses connections until [`Worker::restart`].
    pub async fn crash(&self) {
        let tasks: Vec<JoinHandle<()>> = self.shared.tasks().drain(..).collect();
        for task in &tasks {
            task.abort();
        }
        for task in tasks {
            // The result only tells that the task was aborted.
            let _ = task.await;
        }
        self.shared.with(Engine::crash);
    }

    /// Starts again after a crash, on the same port and without tasks.
    ///
    /// # Errors
    ///
    /// Fails if the port has been taken meanwhile.
    pub async fn restart(&self) -> anyhow::Result<()> {
        let listener = TcpListener::bind(self.shared.address).await.context("bind worker again")?;
        self.run(listener);
        Ok(())
    }

    /// Marks the worker as leaving.
    pub fn leave(&self) {
        self.shared.with(Engine::leave);
    }

    /// Makes every task that is started from now on fail, or no longer.
    pub fn set_bad(&self, bad: bool) {
        self.shared.with(|engine| engine.config.bad = bad);
    }

    /// Changes the factor on the time of work that begins from now on, in percent.
    pub fn set_slowdown(&self, percent: u64) {
        self.shared.with(|engine| engine.config.slowdown_percent = percent);
    }

    /// Returns the number of running tasks.
    #[must_use]
    pub fn running(&self) -> usize {
        self.shared.with(|engine| engine.tasks().running.len())
    }

    /// Waits until the worker has something new: an event of a task.
    pub async fn changed(&self) {
        // The sender lives in the handle, so the wait cannot fail.
        let _ = self.shared.news.subscribe().changed().await;
    }

    /// Returns the record of what the worker did.
    #[must_use]
    pub fn audit(&self) -> Audit {
        self.shared.with(Engine::audited)
    }

    /// Returns what a lease has used.
    #[must_use]
    pub fn used(&self, lease: &str) -> Used {
        self.shared.with(|engine| engine.used(lease))
    }
}
