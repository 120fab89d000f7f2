//! What the tasks of an entry VM share.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

use {
    coriandertack_jobs::{
        boot_time::BootTime,
        config::Config,
        maintenance::MaintenanceWave,
        progress::{JobPhase, JobProgress},
        replica::{Replica, ReplicaRecord},
        sched::SchedulerStats,
    },
    coriandertack_peers::leader::{Ended, Handed},
    tokio::sync::{Notify, mpsc, oneshot, watch},
};

use super::{arrivals::Arrival, clock, metrics::Latencies, settings::Settings};

/// Age of the last read of the store beyond which this VM does not say that something does not exist, in milliseconds.
const FRESH_MS: u64 = 2_500;

/// What this VM has read of a stream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reached {
    /// Whether all that was there at the start has been read.
    pub loaded: bool,
    /// Offset after the last record that was read.
    pub next: u64,
    /// When the last read that brought everything began.
    pub began: BootTime,
    /// When the last record was read.
    pub moved: BootTime,
    /// When the last such read returned: nothing further was there then.
    pub quiet: BootTime,
}

/// Answer to a record that was handed to the intake.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stored {
    /// It is durable.
    Done,
    /// It certainly was not stored and will not be.
    NotRun,
    /// It may have been stored, or may be later.
    Unknown,
}

/// A record for the intake.
#[derive(Debug)]
pub struct Submission {
    /// Key.
    pub key: String,
    /// Value.
    pub value: bytes::Bytes,
    /// Since when its caller waits.
    pub began: BootTime,
    /// Receives the outcome.
    pub reply: oneshot::Sender<Stored>,
}

/// The queue of records for the leader, and the records that wait for its answer.
#[derive(Debug, Default)]
struct LeaderLink {
    queue: Option<mpsc::UnboundedSender<Handed>>,
    waiting: BTreeMap<u64, BootTime>,
    last: u64,
    /// When a link last ended.
    ended: BootTime,
}

/// Use of the link to the leader for one record, until it is dropped.
#[derive(Debug)]
pub struct LinkUse<'a> {
    /// Queue of records.
    pub queue: mpsc::UnboundedSender<Handed>,
    link: &'a Mutex<LeaderLink>,
    number: u64,
}

impl Drop for LinkUse<'_> {
    fn drop(&mut self) {
        let mut link = self.link.lock().unwrap_or_else(PoisonError::into_inner);
        link.waiting.remove(&self.number);
    }
}

/// Numbers for the metrics.
#[derive(Debug, Default)]
pub struct Counters {
    /// Calls to the store: appends, reads, failures.
    pub appends: AtomicU64,
    /// Reads of the store.
    pub reads: AtomicU64,
    /// Calls to the store that failed.
    pub store_errors: AtomicU64,
    /// Submissions accepted.
    pub accepted: AtomicU64,
    /// Submissions refused.
    pub refused: AtomicU64,
    /// Submissions with an unknown outcome.
    pub unknown: AtomicU64,
    /// Other answers to callers.
    pub answers: AtomicU64,
    /// Lists of runs.
    pub lists: AtomicU64,
    /// Starts sent.
    pub starts: AtomicU64,
    /// Leaderships of this VM.
    pub takeovers: AtomicU64,
    /// Times that this VM gave up the lead in favour of a larger one.
    pub handovers: AtomicU64,
}

impl Counters {
    /// Adds one.
    pub fn count(counter: &AtomicU64) {
        counter.fetch_add(1, Ordering::Relaxed);
    }
}

/// What the tasks of an entry VM share.
#[derive(Debug)]
pub struct Shared {
    /// Settings.
    pub settings: Arc<Settings>,
    /// When the process started.
    pub started: BootTime,
    /// Jobs as this VM has read them.
    replica: Mutex<Replica>,
    /// Configuration in force; revision 0 before the first one.
    pub config: watch::Sender<Arc<Config>>,
    /// Waves that operators asked for.
    pub waves: watch::Sender<BTreeMap<u64, MaintenanceWave>>,
    /// What was read of the intake.
    pub intake: watch::Sender<Reached>,
    /// What was read of the progress.
    pub progress: watch::Sender<Reached>,
    /// Records for the intake.
    pub submissions: mpsc::UnboundedSender<Submission>,
    /// Link to the leader.
    leader_link: Mutex<LeaderLink>,
    /// Receives the records of the intake while this VM leads.
    pub listener: Mutex<Option<mpsc::UnboundedSender<Arrival>>>,
    /// Wakes the leader's loop.
    pub wake: Notify,
    /// Ends the pause before the next read of the progress.
    pub hurry: Notify,
    /// Whether the VM is told to stop.
    pub stopping: watch::Sender<bool>,
    /// Whether connections of callers are closed after the request in flight.
    pub closing: watch::Sender<bool>,
    /// Whether this VM leads.
    pub leading: watch::Sender<bool>,
    /// Numbers for the metrics.
    pub counters: Counters,
    /// What this VM decided while it led.
    decided: Mutex<SchedulerStats>,
    /// Latencies for the metrics.
    pub latencies: Latencies,
}

impl Shared {
    /// Returns the state of a VM that has read nothing, and the queue of its intake.
    ///
    /// # Errors
    ///
    /// Fails if the metrics cannot be set up.
    pub fn new(
        settings: Arc<Settings>,
    ) -> anyhow::Result<(Self, mpsc::UnboundedReceiver<Submission>)> {
        let (submissions, queue) = mpsc::unbounded_channel();
        let shared = Self {
            settings,
            started: clock::now(),
            replica: Mutex::default(),
            config: watch::Sender::default(),
            waves: watch::Sender::default(),
            intake: watch::Sender::default(),
            progress: watch::Sender::default(),
            submissions,
            leader_link: Mutex::default(),
            listener: Mutex::default(),
            wake: Notify::new(),
            hurry: Notify::new(),
            stopping: watch::Sender::default(),
            closing: watch::Sender::default(),
            leading: watch::Sender::default(),
            counters: Counters::default(),
            decided: Mutex::default(),
            latencies: Latencies::new()?,
        };
        Ok((shared, queue))
    }

    /// Returns the jobs as this VM has read them. The guard is not held across an await.
    pub fn replica(&self) -> MutexGuard<'_, Replica> {
        self.replica.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds to what this VM decided.
    pub fn record_stats(&self, stats: &SchedulerStats) {
        self.decided.lock().unwrap_or_else(PoisonError::into_inner).merge(stats);
    }

    /// Returns what this VM decided while it led.
    pub fn decided(&self) -> SchedulerStats {
        *self.decided.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a new link to a leader. The newest one counts.
    pub fn set_leader_link(&self, queue: mpsc::UnboundedSender<Handed>) {
        let mut link = self.leader_link.lock().unwrap_or_else(PoisonError::into_inner);
        link.queue = Some(queue);
    }

    /// Notes jobs that the leader has recorded as ended.
    pub fn note_ended(&self, ended: Ended) {
        let now = clock::now();
        let completed = ended.completed.into_iter().map(|id| (id, JobPhase::Completed));
        let failed = ended.failed.into_iter().map(|id| (id, JobPhase::Failed));
        let mut replica = self.replica();
        for (id, phase) in completed.chain(failed) {
            let progress = Arc::new(JobProgress { phase, ..JobProgress::default() });
            replica.apply(ReplicaRecord::Progressed(id, progress), now);
        }
    }

    /// Notes that a link to a leader has ended.
    pub fn note_link_end(&self) {
        let mut link = self.leader_link.lock().unwrap_or_else(PoisonError::into_inner);
        link.ended = clock::now();
        drop(link);
        self.hurry.notify_one();
    }

    /// Returns since when no leader has a link to this VM, or nothing while one has.
    pub fn unlinked_since(&self) -> Option<BootTime> {
        let link = self.leader_link.lock().unwrap_or_else(PoisonError::into_inner);
        let open = link.queue.as_ref().is_some_and(|queue| !queue.is_closed());
        (!open).then_some(link.ended)
    }

    /// Tells whether no leader has a link to this VM.
    pub fn lost_leader(&self) -> bool {
        self.unlinked_since().is_some()
    }

    /// Returns the link to the leader, unless it is closed or a record waits for its answer since `stalled_ms`.
    pub fn leader_link(&self, now: BootTime, stalled_ms: u64) -> Option<LinkUse<'_>> {
        let mut link = self.leader_link.lock().unwrap_or_else(PoisonError::into_inner);
        let stalled =
            link.waiting.values().next().is_some_and(|at| now.ms_since(*at) >= stalled_ms);
        let queue = link.queue.clone().filter(|queue| !queue.is_closed() && !stalled)?;
        link.last += 1;
        let number = link.last;
        link.waiting.insert(number, now);
        Some(LinkUse { queue, link: &self.leader_link, number })
    }

    /// Returns the configuration in force, if there is one.
    pub fn config(&self) -> Option<Arc<Config>> {
        let config = self.config.borrow().clone();
        (config.revision > 0).then_some(config)
    }

    /// Tells whether this VM has read the records of all jobs at some time.
    pub fn is_loaded(&self) -> bool {
        self.intake.borrow().loaded && self.progress.borrow().loaded
    }

    /// Tells whether this VM has read the records of jobs a short time ago.
    pub fn is_fresh(&self) -> bool {
        let now = clock::now();
        let fresh = |reached: &Reached| reached.loaded && now.ms_since(reached.began) < FRESH_MS;
        fresh(&self.intake.borrow()) && fresh(&self.progress.borrow())
    }
}
