//! Simulated worker, which runs tasks under leases and keeps usage and ends until they are acknowledged.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use {
    coriandertack_core::{
        keys::LeaseId,
        message::{AttemptSpec, EndCause, RunningTask, WorkerCommand, WorkerEvent},
        record::Usage,
        resources::Resources,
    },
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    tokio::{
        sync::Notify,
        time::{Instant, sleep},
    },
};

/// Length of an interval for which usage is reported.
const USAGE_INTERVAL: Duration = Duration::from_secs(1);

/// Interval at which the worker checks its tasks.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// One run of a task.
#[derive(Clone, Debug)]
pub struct TaskRun {
    pub lease: LeaseId,
    pub start: Instant,
    pub end: Option<Instant>,
}

struct Task {
    spec: AttemptSpec,
    start: Instant,
    lease_end: Instant,
    /// When the task completes, or `None` if it runs until stopped.
    done: Option<Instant>,
    charged: Instant,
    interval: u32,
}

#[derive(Default)]
struct WorkerState {
    tasks: BTreeMap<LeaseId, Task>,
    /// Events kept until acknowledged, by increasing number.
    events: BTreeMap<u64, WorkerEvent>,
    next: u64,
    runs: Vec<TaskRun>,
    granted: Resources,
    used: BTreeMap<LeaseId, u64>,
    down: bool,
    bad: bool,
}

/// A simulated worker. Clones share its state.
#[derive(Clone)]
pub struct Worker {
    pub name: String,
    state: Arc<Mutex<WorkerState>>,
    rng: Arc<Mutex<ChaCha8Rng>>,
    changed: Arc<Notify>,
}

impl Worker {
    pub fn new(index: usize, seed: u64) -> Self {
        let worker = Self {
            name: format!("w{index}"),
            state: Arc::default(),
            rng: Arc::new(Mutex::new(ChaCha8Rng::seed_from_u64(seed + index as u64))),
            changed: Arc::default(),
        };
        tokio::spawn(worker.clone().tick());
        worker
    }

    fn lock(&self) -> MutexGuard<'_, WorkerState> {
        self.state.lock().expect("no panic while locked")
    }

    /// Waits until the worker has new events.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    async fn tick(self) {
        loop {
            sleep(CHECK_INTERVAL).await;
            let now = Instant::now();
            let mut state = self.lock();
            let ended_leases: Vec<(LeaseId, EndCause)> = state
                .tasks
                .iter()
                .filter_map(|(&lease, task)| match task.done {
                    Some(done) if done <= now => Some((lease, self.outcome(&task.spec, state.bad))),
                    _ if task.lease_end <= now => Some((lease, EndCause::LeaseExpired)),
                    _ => None,
                })
                .collect();
            let due: Vec<LeaseId> = state
                .tasks
                .iter()
                .filter(|(_, task)| now - task.charged >= USAGE_INTERVAL)
                .map(|(&lease, _)| lease)
                .collect();
            for lease in due {
                state.charge(lease, now, false);
            }
            let has_ended = !ended_leases.is_empty();
            for (lease, cause) in ended_leases {
                state.end(lease, cause, now);
            }
            drop(state);
            if has_ended {
                self.changed.notify_one();
            }
        }
    }

    /// Returns the cause of the end of a completed task, which is `OutOfMemory` if it uses more than its grant.
    fn outcome(&self, spec: &AttemptSpec, bad: bool) -> EndCause {
        let number = |key: &str| {
            let words = spec.command.split_whitespace().filter_map(|word| word.split_once('='));
            words.filter(|(name, _)| *name == key).find_map(|(_, value)| value.parse::<f64>().ok())
        };
        if number("use_mib").is_some_and(|mib| mib > f64::from(spec.need.memory_mib)) {
            return EndCause::OutOfMemory;
        }
        let fail = number("fail").unwrap_or(0.0);
        let failed = self.rng.lock().expect("no panic while locked").random_bool(fail);
        if bad || failed { EndCause::Failed } else { EndCause::Succeeded }
    }

    pub fn is_reachable(&self) -> bool {
        !self.lock().down
    }

    /// Disconnects or reconnects the worker. While it is disconnected, tasks run until their leases expire.
    pub fn set_down(&self, down: bool) {
        self.lock().down = down;
    }

    /// Sets whether every task that completes from now on fails.
    pub fn set_bad(&self, bad: bool) {
        self.lock().bad = bad;
    }

    /// Ends all tasks at once and disconnects, as in a crash of the machine.
    pub fn crash(&self) {
        let now = Instant::now();
        let mut state = self.lock();
        let leases: Vec<LeaseId> = state.tasks.keys().copied().collect();
        for lease in leases {
            state.end(lease, EndCause::Failed, now);
        }
        // Usage that was reported is still charged. Ends and all other events are lost with the machine.
        state.events.retain(|_, event| matches!(event, WorkerEvent::Usage { .. }));
        state.down = true;
    }

    /// Returns the running tasks.
    pub fn list(&self) -> Vec<RunningTask> {
        let state = self.lock();
        let running = state.tasks.iter().map(|(&lease, task)| RunningTask {
            lease,
            class: Arc::clone(&task.spec.class),
            kind: task.spec.kind,
            grant: task.spec.need,
            urgent: task.spec.urgent,
        });
        running.collect()
    }

    pub fn renew(&self, until: Instant) {
        let mut state = self.lock();
        if state.down {
            return;
        }
        for task in state.tasks.values_mut() {
            task.lease_end = task.lease_end.max(until);
        }
    }

    /// Executes a command, if the worker is connected.
    ///
    /// Commands of any epoch are accepted: the protocol must be safe with workers that cannot recognize a former owner.
    pub fn command(&self, command: &WorkerCommand, valid: Instant) {
        let now = Instant::now();
        let mut state = self.lock();
        if state.down {
            return;
        }
        match command {
            WorkerCommand::Start { spec, until } => {
                state.start(spec, (*until).min(valid), now);
            }
            WorkerCommand::Stop(lease) => state.end(*lease, EndCause::Stopped, now),
            WorkerCommand::AckEnd(lease) => {
                let is_end = |event: &WorkerEvent| matches!(event, WorkerEvent::Ended { lease: ended, .. } if ended == lease);
                state.events.retain(|_, event| !is_end(event));
            }
            WorkerCommand::AckUsage { lease, to } => {
                let is_charged = |event: &WorkerEvent| {
                    matches!(event, WorkerEvent::Usage { lease: used, interval, .. }
                        if used == lease && interval < to)
                };
                state.events.retain(|_, event| !is_charged(event));
            }
            WorkerCommand::Checkpoint(_) | WorkerCommand::Throttle { .. } => {}
        }
        drop(state);
        self.changed.notify_one();
    }

    /// Returns the events from `cursor` on, and advances it.
    pub fn events(&self, cursor: &mut u64) -> Vec<WorkerEvent> {
        let state = self.lock();
        let new_events = state.events.range(*cursor..).map(|(_, event)| event.clone()).collect();
        *cursor = state.next;
        new_events
    }

    /// Returns all runs so far, in the order in which they started.
    pub fn runs(&self) -> Vec<TaskRun> {
        self.lock().runs.clone()
    }

    /// Returns the highest total of grants at any time, for each resource.
    pub fn peak_grant(&self) -> Resources {
        self.lock().granted
    }

    /// Returns the processor time used so far, in core-milliseconds.
    pub fn used_core_ms(&self) -> u64 {
        self.lock().used.values().sum()
    }
}

impl WorkerState {
    fn push(&mut self, event: WorkerEvent) {
        self.events.insert(self.next, event);
        self.next += 1;
    }

    fn start(&mut self, spec: &AttemptSpec, until: Instant, now: Instant) {
        let lease = spec.lease;
        if self.runs.iter().any(|run| run.lease == lease) {
            return;
        }
        if until <= now {
            let (cause, peak) = (EndCause::Refused, Resources::ZERO);
            self.push(WorkerEvent::Ended { lease, cause, run_ms: 0, peak });
            return;
        }
        let words = spec.command.split_whitespace();
        let run = words.filter_map(|word| word.strip_prefix("run_ms=")).next();
        let run = run.and_then(|text| text.parse().ok()).map(Duration::from_millis);
        let done = run.map(|run| now + run);
        let task = Task {
            spec: spec.clone(),
            start: now,
            lease_end: until,
            done,
            charged: now,
            interval: 0,
        };
        self.tasks.insert(lease, task);
        self.runs.push(TaskRun { lease, start: now, end: None });
        let granted: Resources = self.tasks.values().map(|task| task.spec.need).sum();
        self.granted = Resources {
            millicores: self.granted.millicores.max(granted.millicores),
            memory_mib: self.granted.memory_mib.max(granted.memory_mib),
            accelerators: self.granted.accelerators.max(granted.accelerators),
        };
        self.push(WorkerEvent::Started(lease));
    }

    fn charge(&mut self, lease: LeaseId, now: Instant, last: bool) {
        let Some(task) = self.tasks.get_mut(&lease) else { return };
        let ms = u64::try_from((now - task.charged).as_millis()).expect("a short time");
        let core_ms = ms * u64::from(task.spec.need.millicores) / 1_000;
        let interval = task.interval;
        task.interval += 1;
        task.charged = now;
        *self.used.entry(lease).or_default() += core_ms;
        let usage = Usage { core_ms, ..Usage::default() };
        let event = WorkerEvent::Usage { lease, interval, usage, end_ms: 0, last };
        // Every report is sent twice, because owners must tolerate duplicates.
        self.push(event.clone());
        self.push(event);
    }

    fn end(&mut self, lease: LeaseId, cause: EndCause, now: Instant) {
        self.charge(lease, now, true);
        let Some(task) = self.tasks.remove(&lease) else { return };
        if let Some(run) = self.runs.iter_mut().find(|run| run.lease == lease) {
            run.end = Some(now);
        }
        let run_ms = u64::try_from((now - task.start).as_millis()).expect("a short time");
        let peak = task.spec.need;
        self.push(WorkerEvent::Ended { lease, cause, run_ms, peak });
    }
}
