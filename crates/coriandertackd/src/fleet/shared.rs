//! State shared by the tasks of an entry VM.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

use {
    coriandertack_callers::bodies::Bodies,
    coriandertack_jobs::{
        boot_time::BootTime,
        config::Config,
        config_age::ConfigAge,
        ledger::TeamState,
        maintenance::MaintenanceWave,
        progress::{JobPhase, JobProgress},
        replica::{Replica, ReplicaRecord},
        sched::SchedulerStats,
    },
    coriandertack_peers::leader::{EndedJobs, ForwardedRecord},
    coriandertack_platform::store::Topic,
    tokio::sync::{Notify, mpsc, oneshot, watch},
};

use super::{arrivals::Arrival, clock, metrics::Latencies, refusals::Refusals, settings::Settings};

/// Age of the last read of the store from which this VM no longer answers that a job does not exist, in milliseconds.
const MAX_STALENESS_MS: u64 = 2_500;

/// Time for which reads have to fail before the store counts as unavailable, in milliseconds. A read that lost its
/// response is repeated within this time.
const MIN_OUTAGE_MS: u64 = 500;

/// Time for which no records are forwarded after the leader has left one without an answer, in milliseconds. A leader
/// that has failed is replaced within it.
const SILENT_LINK_MS: u64 = 2_000;

/// How far, and when, this VM has read a topic.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReadPosition {
    /// Whether the topic has been read to its end at least once.
    pub loaded: bool,
    /// Offset after the last record read.
    pub next: u64,
    /// When the last read that reached the end of the topic began.
    pub started_at: BootTime,
    /// When such a read last returned a record.
    pub changed_at: BootTime,
    /// When the last such read returned.
    pub finished_at: BootTime,
}

/// Result of making a record durable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The record is durable.
    Done,
    /// The record was not stored and will not be.
    NotRun,
    /// The record is larger than the store accepts. It was not stored, and cannot be.
    TooLarge,
    /// The record may have been stored, or may be stored later.
    Unknown,
}

/// A record to append to the intake topic.
#[derive(Debug)]
pub struct Submission {
    /// Key of the record.
    pub key: String,
    /// Value of the record.
    pub value: bytes::Bytes,
    /// When the caller is told that the outcome is unknown.
    pub until: BootTime,
    /// Receives the outcome.
    pub reply: oneshot::Sender<Outcome>,
}

/// State of the link to the leader: its queue of records, and the records that wait for an answer.
#[derive(Debug, Default)]
struct LeaderLink {
    queue: Option<mpsc::UnboundedSender<ForwardedRecord>>,
    /// When each record that waits for an answer was forwarded, by number.
    pending: BTreeMap<u64, BootTime>,
    last_number: u64,
    /// When a link last closed.
    closed_at: BootTime,
    /// Until when records are not forwarded because the leader has left one without an answer.
    silent_until: BootTime,
}

/// Use of the link to the leader for one record, which counts as waiting for an answer until the guard is dropped.
#[derive(Debug)]
pub struct LinkGuard<'a> {
    /// Queue of records to the leader.
    pub queue: mpsc::UnboundedSender<ForwardedRecord>,
    link: &'a Mutex<LeaderLink>,
    number: u64,
}

impl LinkGuard<'_> {
    /// Records that the leader has not answered in time. Other records are not forwarded for a while.
    pub fn report_silence(self, now: BootTime) {
        let mut link = self.link.lock().unwrap_or_else(PoisonError::into_inner);
        link.silent_until = now.plus_ms(SILENT_LINK_MS);
    }
}

impl Drop for LinkGuard<'_> {
    fn drop(&mut self) {
        let mut link = self.link.lock().unwrap_or_else(PoisonError::into_inner);
        link.pending.remove(&self.number);
    }
}

/// Which topics of the store this VM can currently not read.
#[derive(Debug, Default)]
pub struct StoreHealth {
    /// When the first of the failed reads of each topic returned.
    failed_at: HashMap<Topic, BootTime>,
}

impl StoreHealth {
    /// Records that a read of a topic failed, after one that succeeded.
    pub fn record_failure(&mut self, topic: Topic, now: BootTime) {
        self.failed_at.insert(topic, now);
    }

    /// Records that a topic can be read again.
    pub fn record_response(&mut self, topic: Topic) {
        self.failed_at.remove(&topic);
    }

    /// Returns since when the store does not respond, or `None` if it may respond to the next call.
    ///
    /// Single responses may be lost, so reads of the progress topic, which are the most frequent, have to fail for half a
    /// second.
    #[must_use]
    pub fn outage_since(&self, now: BootTime) -> Option<BootTime> {
        let since = self.failed_at.get(&Topic::Progress).copied()?;
        (now.ms_since(since) >= MIN_OUTAGE_MS).then_some(since)
    }
}

/// Counters for the metrics.
#[derive(Debug, Default)]
pub struct Counters {
    /// Appends to the store.
    pub appends: AtomicU64,
    /// Reads of the store.
    pub reads: AtomicU64,
    /// Calls to the store that failed.
    pub store_errors: AtomicU64,
    /// Reads of the store whose response was cut off after a part of its body.
    pub reads_cut: AtomicU64,
    /// Bytes received by reads of the store.
    pub bytes_read: AtomicU64,
    /// Submissions that were accepted.
    pub accepted: AtomicU64,
    /// Submissions that were refused.
    pub refused: AtomicU64,
    /// Submissions with an unknown outcome.
    pub unknown: AtomicU64,
    /// Requests that were refused because a newer configuration was being read.
    pub outdated: AtomicU64,
    /// All requests from callers.
    pub answers: AtomicU64,
    /// Lists of runs requested from workers.
    pub lists: AtomicU64,
    /// Starts sent to workers.
    pub starts: AtomicU64,
    /// Times that this VM became leader.
    pub takeovers: AtomicU64,
    /// Times that this VM released the leadership in favour of a larger one.
    pub handovers: AtomicU64,
}

impl Counters {
    /// Adds one to a counter.
    pub fn count(counter: &AtomicU64) {
        Self::add(counter, 1);
    }

    /// Adds an amount to a counter.
    pub fn add(counter: &AtomicU64, amount: usize) {
        counter.fetch_add(amount as u64, Ordering::Relaxed);
    }
}

/// State shared by the tasks of an entry VM.
#[derive(Debug)]
pub struct Shared {
    /// Settings of the process.
    pub settings: Arc<Settings>,
    /// Requests of callers that are being received.
    pub bodies: Arc<Bodies>,
    /// When the process started.
    pub started: BootTime,
    /// State of all jobs, built from the records that this VM has read.
    replica: Mutex<Replica>,
    /// Configuration in force. Revision 0 is the default before one has been read.
    pub config: watch::Sender<Arc<Config>>,
    /// Maintenance waves published by operators, by number.
    pub waves: watch::Sender<BTreeMap<u64, MaintenanceWave>>,
    /// Whether there may be a newer configuration than that in force.
    pub config_age: watch::Sender<ConfigAge>,
    /// Size of the configuration in force, in bytes.
    pub config_bytes: AtomicU64,
    /// Since when the newer configuration was known because of which requests were last refused, in milliseconds since boot.
    outdated_since: AtomicU64,
    /// Position in the intake topic.
    pub intake: watch::Sender<ReadPosition>,
    /// Offset in the intake topic up to which its records have been applied.
    intake_applied: Mutex<u64>,
    /// Position in the progress topic.
    pub progress: watch::Sender<ReadPosition>,
    /// Queue of records to append to the intake topic.
    pub submissions: mpsc::UnboundedSender<Submission>,
    /// Link that the current leader has opened to this VM.
    leader_link: Mutex<LeaderLink>,
    /// Topics of the store that cannot be read.
    store_health: Mutex<StoreHealth>,
    /// Input queue of the leader's main loop while this VM leads.
    pub arrivals: Mutex<Option<mpsc::UnboundedSender<Arrival>>>,
    /// Wakes the leader's main loop.
    pub wake: Notify,
    /// Ends the pause before the next read of the progress topic.
    pub read_now: Notify,
    /// Whether the VM has been told to stop.
    pub stopping: watch::Sender<bool>,
    /// Whether callers' connections are closed once the request in flight is answered.
    pub closing: watch::Sender<bool>,
    /// Whether this VM is the leader.
    pub is_leader: watch::Sender<bool>,
    /// Counters for the metrics.
    pub counters: Counters,
    /// Requests that were refused because of their key.
    pub refusals: Refusals,
    /// Statistics of the scheduler, summed over all times that this VM was leader.
    stats: Mutex<SchedulerStats>,
    /// State of each team; empty while this VM does not lead, or without teams in the configuration.
    teams: Mutex<Vec<TeamState>>,
    /// Latency histograms for the metrics.
    pub latencies: Latencies,
}

impl Shared {
    /// Creates the state of a VM that has read nothing, and the receiver of its submissions.
    ///
    /// # Errors
    ///
    /// Fails if the metrics exporter cannot be registered.
    pub fn new(
        settings: Arc<Settings>,
    ) -> anyhow::Result<(Self, mpsc::UnboundedReceiver<Submission>)> {
        let (submissions, queue) = mpsc::unbounded_channel();
        let shared = Self {
            bodies: Bodies::new(settings.body_budget()),
            settings,
            started: clock::now(),
            replica: Mutex::default(),
            config: watch::Sender::default(),
            waves: watch::Sender::default(),
            config_age: watch::Sender::default(),
            config_bytes: AtomicU64::default(),
            outdated_since: AtomicU64::default(),
            intake: watch::Sender::default(),
            intake_applied: Mutex::default(),
            progress: watch::Sender::default(),
            submissions,
            leader_link: Mutex::default(),
            store_health: Mutex::default(),
            arrivals: Mutex::default(),
            wake: Notify::new(),
            read_now: Notify::new(),
            stopping: watch::Sender::default(),
            closing: watch::Sender::default(),
            is_leader: watch::Sender::default(),
            counters: Counters::default(),
            refusals: Refusals::default(),
            stats: Mutex::default(),
            teams: Mutex::default(),
            latencies: Latencies::new()?,
        };
        Ok((shared, queue))
    }

    /// Locks the state of all jobs. The guard must not be held across an await point.
    pub fn replica(&self) -> MutexGuard<'_, Replica> {
        self.replica.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the offset in the intake topic up to which its records have been applied. It is locked before the replica,
    /// and must not be held across an await point.
    pub fn intake_applied(&self) -> MutexGuard<'_, u64> {
        self.intake_applied.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the record of topics that cannot be read. The guard must not be held across an await point.
    pub fn store_health(&self) -> MutexGuard<'_, StoreHealth> {
        self.store_health.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that this VM has applied all records of operators that there were at `shown`.
    pub fn record_current_config(&self, shown: BootTime) {
        let bound_ms = self.settings.bounds.apply_ms;
        self.config_age.send_modify(|age| age.record_current(shown, bound_ms));
    }

    /// Records that a request was refused because a newer configuration has been known since `since`. The first refusal for
    /// each is logged.
    pub fn record_outdated(&self, since: BootTime) {
        Counters::count(&self.counters.outdated);
        if self.outdated_since.swap(since.0, Ordering::Relaxed) != since.0 {
            log::warn!(
                "event=config_outdated revision={} behind_ms={}",
                self.config.borrow().revision,
                clock::now().ms_since(since)
            );
        }
    }

    /// Returns for how long a newer record of operators has been known, in milliseconds.
    pub fn config_behind_ms(&self) -> u64 {
        self.config_age.borrow().behind_ms(clock::now())
    }

    /// Adds statistics of the scheduler.
    pub fn record_stats(&self, stats: &SchedulerStats) {
        self.stats.lock().unwrap_or_else(PoisonError::into_inner).merge(stats);
    }

    /// Returns the statistics of the scheduler, summed over all times that this VM was leader.
    pub fn stats(&self) -> SchedulerStats {
        *self.stats.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the state of each team, for the metrics.
    pub fn record_teams(&self, teams: Vec<TeamState>) {
        *self.teams.lock().unwrap_or_else(PoisonError::into_inner) = teams;
    }

    /// Returns the state of each team as of the last scheduling pass.
    pub fn teams(&self) -> Vec<TeamState> {
        self.teams.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Sets the link to the leader, which replaces an older one.
    pub fn set_leader_link(&self, queue: mpsc::UnboundedSender<ForwardedRecord>) {
        let mut link = self.leader_link.lock().unwrap_or_else(PoisonError::into_inner);
        link.queue = Some(queue);
        link.silent_until = BootTime(0);
    }

    /// Applies the announcement that the leader has recorded jobs as ended.
    ///
    /// It does not name the jobs' teams. If callers have keys, only jobs whose submission was read are shown as ended
    /// before their record is read.
    pub fn apply_ended(&self, ended: EndedJobs) {
        let now = clock::now();
        let completed = ended.completed.into_iter().map(|id| (id, JobPhase::Completed));
        let failed = ended.failed.into_iter().map(|id| (id, JobPhase::Failed));
        let with_keys = self.config.borrow().teams.is_some();
        let mut replica = self.replica();
        for (id, phase) in completed.chain(failed) {
            if with_keys && replica.jobs.get(&id).is_none_or(|view| view.spec.is_none()) {
                continue;
            }
            let progress = Arc::new(JobProgress { phase, ..JobProgress::default() });
            replica.apply(ReplicaRecord::Progressed(id, progress), now);
        }
    }

    /// Records that a link to a leader has closed, and triggers a read of the progress topic.
    pub fn record_link_end(&self) {
        let mut link = self.leader_link.lock().unwrap_or_else(PoisonError::into_inner);
        link.closed_at = clock::now();
        drop(link);
        self.read_now.notify_one();
    }

    /// Returns since when no leader has had a link to this VM, or `None` if one has.
    pub fn unlinked_since(&self) -> Option<BootTime> {
        let link = self.leader_link.lock().unwrap_or_else(PoisonError::into_inner);
        let open = link.queue.as_ref().is_some_and(|queue| !queue.is_closed());
        (!open).then_some(link.closed_at)
    }

    /// Returns whether no leader has a link to this VM.
    pub fn is_unlinked(&self) -> bool {
        self.unlinked_since().is_some()
    }

    /// Returns the link to the leader, unless it is closed, a record has waited for an answer for `stalled_ms`, or one was
    /// left without an answer shortly before.
    pub fn leader_link(&self, now: BootTime, stalled_ms: u64) -> Option<LinkGuard<'_>> {
        let mut link = self.leader_link.lock().unwrap_or_else(PoisonError::into_inner);
        let stalled =
            link.pending.values().next().is_some_and(|at| now.ms_since(*at) >= stalled_ms)
                || now < link.silent_until;
        let queue = link.queue.clone().filter(|queue| !queue.is_closed() && !stalled)?;
        link.last_number += 1;
        let number = link.last_number;
        link.pending.insert(number, now);
        Some(LinkGuard { queue, link: &self.leader_link, number })
    }

    /// Returns the configuration in force, or `None` if none has been read.
    pub fn config(&self) -> Option<Arc<Config>> {
        let config = self.config.borrow().clone();
        (config.revision > 0).then_some(config)
    }

    /// Returns whether this VM has read the records of all jobs at least once.
    pub fn is_loaded(&self) -> bool {
        self.intake.borrow().loaded && self.progress.borrow().loaded
    }

    /// Returns whether the last reads of jobs' records are recent enough to answer that a job does not exist.
    pub fn is_fresh(&self) -> bool {
        let now = clock::now();
        let fresh =
            |read: &ReadPosition| read.loaded && now.ms_since(read.started_at) < MAX_STALENESS_MS;
        fresh(&self.intake.borrow()) && fresh(&self.progress.borrow())
    }
}
