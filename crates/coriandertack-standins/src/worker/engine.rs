//! The tasks, leases, usage reports and events of one worker.
//!
//! The engine has no timers of its own. [`Engine::advance`] processes everything that is due in
//! chronological order, so that a delayed call has the same result as a punctual one.

use std::{
    collections::{BTreeMap, HashMap},
    hash::{DefaultHasher, Hash, Hasher},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use {
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    slotmap::{SlotMap, new_key_type},
    tokio::time::Instant,
};

use super::{
    WorkerConfig,
    run::{Run, RunEvent, RunFaults},
    wire::{
        Amount, Command, CommandBatch, CommandResult, CommandResults, EndCause, Event, EventKind,
        Events, RunningTask, Start, TaskEnd, TaskList, Usage, UsageInterval,
    },
};
use crate::audit::{Audit, RecordedRun};

new_key_type! {
    /// Key of a running task.
    struct RunKey;
}

/// Largest number of events in one response.
const MAX_EVENTS: usize = 1_000;

/// The state of a worker.
#[derive(Debug)]
pub(super) struct Engine {
    pub config: WorkerConfig,
    pub audit: Audit,
    pub leaving: bool,
    /// Number of crashes so far.
    pub crash_count: u32,
    /// Origin of the worker's clock.
    clock_origin: Instant,
    /// Wall-clock time at the origin, in milliseconds since the Unix epoch.
    wall_origin: u64,
    seed: u64,
    rng: ChaCha8Rng,
    /// Highest epoch seen. Commands of a lower epoch are refused.
    epoch: u64,
    runs: SlotMap<RunKey, Run>,
    leases: BTreeMap<String, RunKey>,
    /// End of the initial lease of each start, for recognizing repeated starts.
    recent_starts: HashMap<String, u64>,
    /// Ends that have not been acknowledged, by lease.
    unacked_ends: BTreeMap<String, TaskEnd>,
    /// First usage interval that is not acknowledged, by lease.
    acked_usage: HashMap<String, u32>,
    events: BTreeMap<u64, EventKind>,
    /// Sequence number of the last event.
    last_seq: u64,
    /// Usage reports to send later, by due time and number.
    delayed_reports: BTreeMap<(u64, u64), UsageInterval>,
    /// Number of usage reports scheduled so far.
    report_count: u64,
}

impl Engine {
    /// Returns a worker without tasks. Its clock starts at a random value, because nothing may depend
    /// on its agreeing with another clock.
    pub fn new(config: WorkerConfig, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let skew = Duration::from_millis(rng.random_range(0..1_000_000));
        let now = Instant::now();
        let wall_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let skew_ms = u64::try_from(skew.as_millis()).unwrap_or(0);
        Self {
            config,
            audit: Audit::default(),
            leaving: false,
            crash_count: 0,
            clock_origin: now.checked_sub(skew).unwrap_or(now),
            wall_origin: u64::try_from(wall_time.as_millis()).unwrap_or(0).saturating_sub(skew_ms),
            seed,
            rng,
            epoch: 0,
            runs: SlotMap::with_key(),
            leases: BTreeMap::new(),
            recent_starts: HashMap::new(),
            unacked_ends: BTreeMap::new(),
            acked_usage: HashMap::new(),
            events: BTreeMap::new(),
            last_seq: 0,
            delayed_reports: BTreeMap::new(),
            report_count: 0,
        }
    }

    /// Returns the time on the worker's clock.
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.clock_origin.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn instant_at(&self, ms: u64) -> Instant {
        self.clock_origin + Duration::from_millis(ms)
    }

    /// Returns the time at which the next run event or usage report is due.
    pub fn next_deadline(&self) -> Option<Instant> {
        let next_event = self.runs.values().map(|run| run.next_event().0).min();
        let next_report = self.delayed_reports.keys().next().map(|key| key.0);
        next_event.into_iter().chain(next_report).min().map(|ms| self.instant_at(ms))
    }

    /// Returns the sequence number of the last event.
    pub fn last_seq(&self) -> u64 {
        self.last_seq
    }

    /// Processes everything that is due and returns the time on the worker's clock.
    pub fn advance(&mut self) -> u64 {
        let now = self.now_ms();
        loop {
            let event = self.leases.values().map(|&key| (self.runs[key].next_event(), key)).min();
            let event = event.filter(|((at, _), _)| *at <= now);
            let report = self.delayed_reports.keys().next().copied().filter(|key| key.0 <= now);
            match (event, report) {
                (Some(((at, _), _)), Some(key)) if key.0 < at => self.emit_report(key),
                (Some(((at, event), key)), _) => self.handle_run_event(key, at, event),
                (None, Some(key)) => self.emit_report(key),
                (None, None) => return now,
            }
        }
    }

    fn handle_run_event(&mut self, key: RunKey, at: u64, event: RunEvent) {
        self.runs[key].account(at);
        match event {
            RunEvent::Interval => self.close_interval(key, at, false),
            RunEvent::OutOfMemory => self.end_run(key, at, EndCause::OutOfMemory),
            RunEvent::Failed => self.end_run(key, at, EndCause::Failed),
            RunEvent::Succeeded => self.end_run(key, at, EndCause::Succeeded),
            RunEvent::LeaseExpired => self.end_run(key, at, EndCause::LeaseExpired),
        }
    }

    fn close_interval(&mut self, key: RunKey, at: u64, last: bool) {
        let run = &mut self.runs[key];
        let interval = UsageInterval {
            lease: run.start.lease.clone(),
            interval: run.interval,
            usage: run.take_interval(),
            end_ms: self.wall_origin + at,
            last,
        };
        run.interval += 1;
        run.interval_end = at + self.config.interval_ms;
        self.schedule_report(at, interval);
    }

    /// Schedules a usage report, possibly twice. Random delays reorder reports.
    fn schedule_report(&mut self, at: u64, interval: UsageInterval) {
        let config = &self.config;
        let copies = 1 + u64::from(self.rng.random_bool(config.doubled));
        for _ in 0..copies {
            let delay = config.usage_delay_ms + self.rng.random_range(0..=config.usage_jitter_ms);
            self.report_count += 1;
            self.delayed_reports.insert((at + delay, self.report_count), interval.clone());
        }
    }

    fn emit_report(&mut self, key: (u64, u64)) {
        if let Some(interval) = self.delayed_reports.remove(&key) {
            self.push_event(EventKind::Usage(interval));
        }
    }

    fn push_event(&mut self, event: EventKind) {
        self.last_seq += 1;
        self.events.insert(self.last_seq, event);
    }

    fn end_run(&mut self, key: RunKey, at: u64, cause: EndCause) {
        self.close_interval(key, at, true);
        let Some(run) = self.runs.remove(key) else { return };
        let lease = run.start.lease.clone();
        self.leases.remove(&lease);
        self.audit.usage.insert(lease.clone(), run.usage());
        self.audit.runs[run.audit_index].end = Some(self.instant_at(at));
        let end = TaskEnd {
            lease: lease.clone(),
            cause,
            run_ms: at - run.start_ms,
            peak: run.peak(cause == EndCause::OutOfMemory),
        };
        self.unacked_ends.insert(lease, end.clone());
        self.push_event(EventKind::Ended(end));
    }

    /// Executes commands, or returns `None` if the epoch is lower than one seen before.
    pub fn execute_all(&mut self, batch: CommandBatch) -> Option<CommandResults> {
        let now_ms = self.advance();
        if batch.epoch < self.epoch {
            self.audit.stale += 1;
            return None;
        }
        self.epoch = batch.epoch;
        let results =
            batch.commands.into_iter().map(|command| self.execute(now_ms, command)).collect();
        Some(CommandResults { now_ms, results })
    }

    fn execute(&mut self, now: u64, command: Command) -> CommandResult {
        match command {
            Command::Start(start) => self.start(now, start),
            Command::Stop { lease } => match self.leases.get(&lease).copied() {
                Some(key) => {
                    self.runs[key].account(now);
                    self.end_run(key, now, EndCause::Stopped);
                    CommandResult::Done
                }
                None if self.unacked_ends.contains_key(&lease) => CommandResult::Done,
                None => CommandResult::Unknown,
            },
            Command::Checkpoint { lease } => self.checkpoint(now, lease),
            Command::Throttle { lease, millicores } => match self.leases.get(&lease) {
                Some(&key) => {
                    self.runs[key].throttle(now, millicores);
                    CommandResult::Done
                }
                None => CommandResult::Unknown,
            },
            Command::Renew { until_ms, except } => {
                for run in self.runs.values_mut() {
                    if !except.contains(&run.start.lease) {
                        run.until_ms = run.until_ms.max(until_ms);
                    }
                }
                CommandResult::Done
            }
            Command::AckEnd { lease } => match self.unacked_ends.remove(&lease) {
                Some(_) => CommandResult::Done,
                None => CommandResult::Unknown,
            },
            Command::AckUsage { lease, to } => {
                let first_kept = self.acked_usage.entry(lease).or_default();
                *first_kept = to.max(*first_kept);
                CommandResult::Done
            }
        }
    }

    fn start(&mut self, now: u64, start: Start) -> CommandResult {
        self.recent_starts.retain(|_, until| *until > now);
        if self.leases.contains_key(&start.lease)
            || self.unacked_ends.contains_key(&start.lease)
            || self.recent_starts.contains_key(&start.lease)
        {
            return CommandResult::Known;
        }
        if start.until_ms <= now {
            self.audit.late += 1;
            return CommandResult::Refused;
        }
        // Needed only until the end of the lease. A copy of the start that arrives later is refused as
        // late.
        self.recent_starts.insert(start.lease.clone(), start.until_ms);
        let progress = self.config.checkpoints.progress(task_of(&start.lease));
        let faults =
            RunFaults { slowdown_percent: self.config.slowdown_percent, fail_all: self.config.bad };
        let seed = self.seed ^ hash_lease(&start.lease);
        let mut run = Run::new(start, now, progress, faults, seed);
        run.interval_end = now + self.config.interval_ms;
        run.audit_index = self.audit.runs.len();
        let lease = run.start.lease.clone();
        let recorded = RecordedRun { lease: lease.clone(), start: self.instant_at(now), end: None };
        self.audit.runs.push(recorded);
        let key = self.runs.insert(run);
        self.leases.insert(lease.clone(), key);
        self.audit.peak_granted = self.audit.peak_granted.max(self.total_granted());
        self.push_event(EventKind::Started { lease });
        CommandResult::Done
    }

    fn total_granted(&self) -> Amount {
        let grants = self.runs.values().map(|run| run.start.grant);
        grants.fold(Amount::default(), Amount::plus)
    }

    fn checkpoint(&mut self, now: u64, lease: String) -> CommandResult {
        let Some(&key) = self.leases.get(&lease) else {
            return CommandResult::Unknown;
        };
        self.runs[key].account(now);
        self.config.checkpoints.save(task_of(&lease), self.runs[key].progress());
        self.push_event(EventKind::Checkpointed { lease });
        CommandResult::Done
    }

    /// Returns the events after `after`. Drops earlier events, except ends and usage reports that have
    /// not been acknowledged.
    pub fn events(&mut self, after: u64) -> Events {
        let now_ms = self.advance();
        let (unacked_ends, acked_usage) = (&self.unacked_ends, &self.acked_usage);
        self.events.retain(|&seq, event| match event {
            EventKind::Ended(end) => unacked_ends.contains_key(&end.lease),
            EventKind::Usage(usage) => {
                let first_kept = acked_usage.get(&usage.lease).copied().unwrap_or(0);
                seq > after || usage.interval >= first_kept
            }
            EventKind::Started { .. } | EventKind::Checkpointed { .. } | EventKind::Leaving => {
                seq > after
            }
        });
        let newer = self.events.range(after.saturating_add(1)..).take(MAX_EVENTS);
        let events = newer.map(|(&seq, kind)| Event { seq, kind: kind.clone() }).collect();
        Events { now_ms, events }
    }

    /// Returns the task list for a request, and records the current epoch in the audit.
    pub fn list_tasks(&mut self) -> TaskList {
        self.audit.listings.push(self.epoch);
        self.tasks()
    }

    /// Returns the running tasks and the ends that have not been acknowledged.
    pub fn tasks(&mut self) -> TaskList {
        let now_ms = self.advance();
        let to_running_task = |&key: &RunKey| {
            let run = &self.runs[key];
            RunningTask {
                lease: run.start.lease.clone(),
                class: run.start.class.clone(),
                kind: run.start.kind.clone(),
                grant: run.start.grant,
                urgent: run.start.urgent,
                until_ms: run.until_ms,
            }
        };
        TaskList {
            now_ms,
            leaving: self.leaving,
            running: self.leases.values().map(to_running_task).collect(),
            ended: self.unacked_ends.values().cloned().collect(),
        }
    }

    /// Returns the duration of a request to `service` in milliseconds, or `None` if no instance of the
    /// service runs here.
    pub fn request_work_ms(&mut self, service: &str) -> Option<u64> {
        self.advance();
        let instance = self.runs.values().find(|run| run.start.class == service)?;
        Some(instance.behaviour.work_ms.unwrap_or(self.config.work_ms))
    }

    /// Marks the worker as leaving.
    pub fn leave(&mut self) {
        if !self.leaving {
            self.leaving = true;
            self.push_event(EventKind::Leaving);
        }
    }

    /// Drops all state except the audit, as a failure of the VM does.
    pub fn crash(&mut self) {
        let now = self.advance();
        let at = self.instant_at(now);
        for (_, mut run) in self.runs.drain() {
            run.account(now);
            self.audit.usage.insert(run.start.lease.clone(), run.usage());
            self.audit.runs[run.audit_index].end = Some(at);
        }
        self.leases.clear();
        self.recent_starts.clear();
        self.unacked_ends.clear();
        self.acked_usage.clear();
        self.events.clear();
        self.delayed_reports.clear();
        self.epoch = 0;
        self.last_seq = 0;
        self.crash_count += 1;
    }

    /// Returns the audit with usage up to now.
    pub fn audit_snapshot(&mut self) -> Audit {
        let now = self.advance();
        let mut audit = self.audit.clone();
        for run in self.runs.values_mut() {
            run.account(now);
            audit.usage.insert(run.start.lease.clone(), run.usage());
        }
        audit
    }

    /// Returns the resource usage of a lease up to now.
    pub fn lease_usage(&mut self, lease: &str) -> Usage {
        self.audit_snapshot().usage.get(lease).copied().unwrap_or_default()
    }
}

/// Returns the task id of a lease, which is the lease id without the attempt.
fn task_of(lease: &str) -> &str {
    lease.rsplit_once('.').map_or(lease, |(task, _)| task)
}

fn hash_lease(lease: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    lease.hash(&mut hasher);
    hasher.finish()
}
