//! A stand-in for a worker: runs tasks under leases and serves callers' requests; see
//! docs/design.md, section 8.
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
    wire::{Amount, Usage},
};
use crate::{audit::Audit, traffic::Traffic};

/// Number of requests that a worker runs concurrently.
pub const SLOTS: usize = 8;

/// Number of connections that a worker keeps open. Further ones are closed immediately.
pub const CONNECTIONS: usize = 64;

/// The saved progress of checkpointed tasks, shared by the workers of a cell.
#[derive(Clone, Debug, Default)]
pub struct Checkpoints {
    /// Progress by task, in thousandths of a millisecond of work.
    saved: Arc<Mutex<HashMap<String, u64>>>,
}

impl Checkpoints {
    fn save(&self, task: &str, progress: u64) {
        self.lock().insert(task.to_owned(), progress);
    }

    fn progress(&self, task: &str) -> u64 {
        self.lock().get(task).copied().unwrap_or(0)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, u64>> {
        self.saved.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Configuration of a worker.
#[derive(Clone, Debug)]
pub struct WorkerConfig {
    /// Unique name.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Rack within the zone.
    pub rack: String,
    /// Resources that the worker offers.
    pub capacity: Amount,
    /// Length of a usage interval, in milliseconds.
    pub interval_ms: u64,
    /// Minimum delay of a usage report, in milliseconds.
    pub usage_delay_ms: u64,
    /// Upper bound of a random addition to the delay, in milliseconds, which reorders reports.
    pub usage_jitter_ms: u64,
    /// Probability that a usage report is sent twice.
    pub doubled: f64,
    /// Duration of a caller's request in milliseconds, unless the task or the request sets another.
    pub work_ms: u64,
    /// Factor on the duration of all work, in percent. A straggler has more than 100.
    pub slowdown_percent: u64,
    /// Whether every task that the worker starts fails.
    pub bad: bool,
    /// Checkpoints of the cell.
    pub checkpoints: Checkpoints,
}

impl WorkerConfig {
    /// Returns the configuration of a worker with 16 cores, 32 GiB of memory and no faults.
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

/// State shared by the async tasks of a worker.
#[derive(Debug)]
struct Shared {
    config: WorkerConfig,
    address: SocketAddr,
    engine: Mutex<Engine>,
    /// Wakes the timer when the next deadline may have moved.
    wake_timer: Notify,
    /// Sequence number of the last event.
    last_event: watch::Sender<u64>,
    paused: watch::Sender<bool>,
    traffic: Traffic,
    /// Number of upcoming responses to command requests to drop.
    drop_count: AtomicUsize,
    /// Delay of the next command request.
    command_delay: Mutex<Option<Duration>>,
    tasks: Mutex<Vec<JoinHandle<()>>>,
}

impl Shared {
    /// Runs `act` on the engine and wakes the requests that wait for events.
    fn with_engine<R>(&self, act: impl FnOnce(&mut Engine) -> R) -> R {
        let mut engine = self.engine.lock().unwrap_or_else(PoisonError::into_inner);
        let result = act(&mut engine);
        let seq = engine.last_seq();
        drop(engine);
        self.last_event.send_if_modified(|last| std::mem::replace(last, seq) != seq);
        result
    }

    /// Runs `act` like [`Shared::with_engine`] and makes the timer recompute its next deadline.
    fn update_engine<R>(&self, act: impl FnOnce(&mut Engine) -> R) -> R {
        let result = self.with_engine(act);
        self.wake_timer.notify_one();
        result
    }

    /// Advances the engine at each deadline, until aborted.
    async fn run_timer(self: Arc<Self>) {
        loop {
            let deadline = self.with_engine(|engine| {
                engine.advance();
                engine.next_deadline()
            });
            let deadline_passed = async {
                match deadline {
                    Some(deadline) => sleep_until(deadline).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                biased;
                () = self.wake_timer.notified() => {}
                () = deadline_passed => {}
            }
        }
    }

    fn tasks(&self) -> MutexGuard<'_, Vec<JoinHandle<()>>> {
        self.tasks.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A handle to a running worker.
#[derive(Clone, Debug)]
pub struct Worker {
    shared: Arc<Shared>,
}

impl Worker {
    /// Starts a worker on a free port of the loopback interface.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start(config: WorkerConfig, seed: u64) -> anyhow::Result<Self> {
        let listener =
            TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.context("cannot bind the worker")?;
        let shared = Shared {
            config: config.clone(),
            address: listener.local_addr()?,
            engine: Mutex::new(Engine::new(config, seed)),
            wake_timer: Notify::new(),
            last_event: watch::Sender::new(0),
            paused: watch::Sender::new(false),
            traffic: Traffic::default(),
            drop_count: AtomicUsize::new(0),
            command_delay: Mutex::default(),
            tasks: Mutex::default(),
        };
        let worker = Self { shared: Arc::new(shared) };
        worker.run(listener);
        Ok(worker)
    }

    fn run(&self, listener: TcpListener) {
        let timer = tokio::spawn(Arc::clone(&self.shared).run_timer());
        let server = tokio::spawn(http::serve(Arc::clone(&self.shared), listener));
        self.shared.tasks().extend([timer, server]);
    }

    /// Returns the worker's name.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.shared.config.name
    }

    /// Returns the worker's availability zone.
    #[must_use]
    pub fn zone(&self) -> &str {
        &self.shared.config.zone
    }

    /// Returns the worker's rack within the zone.
    #[must_use]
    pub fn rack(&self) -> &str {
        &self.shared.config.rack
    }

    /// Returns the resources that the worker offers.
    #[must_use]
    pub fn capacity(&self) -> Amount {
        self.shared.config.capacity
    }

    /// Returns the address of the control API, which also serves callers' requests.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Returns the counter of bytes exchanged with clients.
    #[must_use]
    pub fn traffic(&self) -> &Traffic {
        &self.shared.traffic
    }

    /// Pauses or resumes request handling. While paused, tasks keep running and leases expire.
    pub fn pause(&self, paused: bool) {
        self.shared.paused.send_replace(paused);
    }

    /// Executes the next `count` command requests, but closes their connections without a response.
    pub fn drop_responses(&self, count: usize) {
        self.shared.drop_count.store(count, Ordering::SeqCst);
    }

    /// Executes the next request with commands only after `delay`, even if the sender has closed the
    /// connection by then.
    pub fn delay_commands(&self, delay: Duration) {
        *self.shared.command_delay.lock().unwrap_or_else(PoisonError::into_inner) = Some(delay);
    }

    /// Drops all connections and tasks at once and refuses connections until [`Worker::restart`].
    pub async fn crash(&self) {
        let tasks: Vec<JoinHandle<()>> = self.shared.tasks().drain(..).collect();
        for task in &tasks {
            task.abort();
        }
        for task in tasks {
            // The result only says that the task was aborted.
            let _ = task.await;
        }
        self.shared.with_engine(Engine::crash);
    }

    /// Restarts the worker after a crash, on the same port and without tasks.
    ///
    /// # Errors
    ///
    /// Returns an error if the port has been taken in the meantime.
    pub async fn restart(&self) -> anyhow::Result<()> {
        let listener = TcpListener::bind(self.shared.address)
            .await
            .context("cannot bind the restarted worker")?;
        self.run(listener);
        Ok(())
    }

    /// Marks the worker as leaving.
    pub fn leave(&self) {
        self.shared.with_engine(Engine::leave);
    }

    /// Sets whether every task that is started from now on fails.
    pub fn set_bad(&self, bad: bool) {
        self.shared.with_engine(|engine| engine.config.bad = bad);
    }

    /// Sets the factor on the duration of work that starts from now on, in percent.
    pub fn set_slowdown(&self, percent: u64) {
        self.shared.with_engine(|engine| engine.config.slowdown_percent = percent);
    }

    /// Returns the number of running tasks.
    #[must_use]
    pub fn running(&self) -> usize {
        self.shared.with_engine(|engine| engine.tasks().running.len())
    }

    /// Waits for the next event of the worker, for example the start or the end of a task.
    pub async fn changed(&self) {
        // The handle keeps the sender alive, so the wait cannot fail.
        let _ = self.shared.last_event.subscribe().changed().await;
    }

    /// Returns the record of what the worker did, with usage up to now.
    #[must_use]
    pub fn audit(&self) -> Audit {
        self.shared.with_engine(Engine::audit_snapshot)
    }

    /// Returns the resource usage of a lease up to now.
    #[must_use]
    pub fn used(&self, lease: &str) -> Usage {
        self.shared.with_engine(|engine| engine.lease_usage(lease))
    }
}
