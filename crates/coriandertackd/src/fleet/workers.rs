//! The leader's tasks for workers: one that reads their entries, and two for each worker that poll its list of runs and
//! send its commands.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::{Arc, PoisonError},
    time::Duration,
};

use {
    coriandertack_jobs::{
        boot_time::BootTime,
        report::{RunList, StartRefusal},
        sched::{
            Batch, FencingToken, LossCause, StartCommand, StartOutcome, WorkerCommand, WorkerKey,
        },
    },
    coriandertack_platform::{
        http::CallError,
        store::{Record, Store, Topic},
        workers::{self, CommandResponse, ListError, Start, Worker},
    },
    tokio::{
        sync::{Notify, mpsc},
        task::JoinSet,
        time::{sleep, timeout},
    },
};

use super::{
    clock,
    leadership::Leadership,
    metrics,
    readers::{self, Read},
    shared::{Counters, Shared},
};

/// Initial and maximum backoff after a failed list, in milliseconds.
const RETRY_MS: (u64, u64) = (100, 400);

/// Maximum wait for run ends to be recorded, in milliseconds. Until they are acknowledged, the worker would answer the
/// next list at once.
const RECORD_WAIT_MS: u64 = 300;

/// Pause between two reads of the workers' entries, in milliseconds. Each worker writes its entry about once a second.
const READ_INTERVAL_MS: u64 = 100;

/// Maximum wait of a read of the workers' entries for a new one, in milliseconds.
const ENTRY_WAIT_MS: u64 = 2_000;

/// Queues of commands to workers, and notifications that wake the tasks that poll their lists.
#[derive(Debug, Default)]
pub struct WorkerQueues {
    commands: HashMap<WorkerKey, mpsc::UnboundedSender<(WorkerCommand, BootTime)>>,
    lists: HashMap<WorkerKey, Arc<Notify>>,
}

/// Reads the workers' entries. A candidate does so before it appends its leader record: afterwards it writes nothing
/// until it schedules, and a long read would make the other VMs assume that it has failed.
pub async fn load_entries(shared: &Shared) -> Option<Vec<Record>> {
    let mut store = Store::new(shared.settings.platform.store);
    match store.newest(Topic::Workers).await {
        Ok(newest) => Some(newest.records),
        Err(error) => {
            log::warn!("event=takeover_failed error=\"{error}\"");
            None
        }
    }
}

/// Applies workers' entries to the scheduler. With `complete`, workers without an entry are marked as absent.
pub fn apply_entries(leadership: &Leadership, records: &[Record], complete: bool) {
    let now = clock::now();
    let mut scheduler = leadership.scheduler();
    let mut seen = HashSet::new();
    for record in records {
        let name: Arc<str> = Arc::from(&*record.key);
        if record.value.is_empty() {
            scheduler.mark_worker_absent(&name);
            continue;
        }
        match workers::decode_entry(&name, &record.value) {
            Ok(entry) => {
                seen.insert(name.clone());
                scheduler.upsert_worker(&name, Arc::new(entry), now);
            }
            Err(error) => {
                log::warn!("event=entry_unreadable worker={name:?} error=\"{error:#}\"");
            }
        }
    }
    if complete {
        for key in scheduler.worker_keys() {
            let name = scheduler.worker(key).map(|worker| worker.name.clone());
            if let Some(name) = name
                && !seen.contains(&name)
            {
                scheduler.mark_worker_absent(&name);
            }
        }
    }
}

/// Reads the workers' entries and runs the tasks of each worker, for as long as the future is polled.
pub async fn run(leadership: Arc<Leadership>) {
    let shared = leadership.shared.clone();
    let mut tasks = WorkerTasks {
        leadership: leadership.clone(),
        tasks: HashMap::new(),
        addresses: HashMap::new(),
    };
    tasks.reconcile();
    let apply = |read: Read| {
        let complete = matches!(read, Read::Newest(..));
        apply_entries(&leadership, &read.into_records(Topic::Workers), complete);
        tasks.reconcile();
        leadership.shared.wake.notify_one();
    };
    readers::follow_topic(
        &shared,
        Topic::Workers,
        || ENTRY_WAIT_MS,
        || READ_INTERVAL_MS,
        apply,
        || {},
        |_| {},
    )
    .await;
}

/// The running tasks of each worker, which are aborted on drop.
struct WorkerTasks {
    leadership: Arc<Leadership>,
    tasks: HashMap<WorkerKey, JoinSet<()>>,
    /// Address from each worker's entry when its tasks were started, if it had one.
    addresses: HashMap<WorkerKey, SocketAddr>,
}

impl WorkerTasks {
    /// Starts tasks for new workers, and aborts those of workers that were removed.
    ///
    /// A worker that is known only from job records gets its address once its entry is read, for example after the entry
    /// had lapsed during an outage of the store. From then on, the tasks that need an address replace the others. The
    /// same holds for a new address, unless the worker has answered at the former one.
    fn reconcile(&mut self) {
        let leadership = &self.leadership;
        let now = clock::now();
        let scheduler = leadership.scheduler();
        let keys = scheduler.worker_keys();
        let mut queues = leadership.queues.lock().unwrap_or_else(PoisonError::into_inner);
        let gone = |key: &WorkerKey| scheduler.worker(*key).is_none();
        self.tasks.retain(|key, _| !gone(key));
        self.addresses.retain(|key, _| !gone(key));
        queues.commands.retain(|key, _| !gone(key));
        queues.lists.retain(|key, _| !gone(key));
        for key in keys {
            let Some(worker) = scheduler.worker(key) else { continue };
            let address = worker.entry.as_ref().map(|entry| entry.address);
            let unchanged = worker.listed || self.addresses.get(&key) == address.as_ref();
            if self.tasks.contains_key(&key) && unchanged {
                // The entry of a worker that seemed to have left may be back.
                if let Some(wake) = queues.lists.get(&key).filter(|_| !worker.is_idle(now)) {
                    wake.notify_one();
                }
                continue;
            }
            let mut tasks = JoinSet::new();
            if let Some(address) = address {
                let (sender, commands) = mpsc::unbounded_channel();
                let wake = Arc::new(Notify::new());
                queues.commands.insert(key, sender);
                queues.lists.insert(key, wake.clone());
                let list = Worker::new(address, worker.name.clone());
                let client = Worker::new(address, worker.name.clone());
                self.addresses.insert(key, address);
                tasks.spawn(poll_runs(leadership.clone(), key, list, wake));
                tasks.spawn(send_commands(leadership.clone(), key, client, commands));
            } else {
                tasks.spawn(expire_leases(leadership.clone(), key));
            }
            self.tasks.insert(key, tasks);
            leadership.hosts_wake.notify_one();
        }
    }
}

/// Removes a worker that is known only from job records, without an entry, once its leases have expired.
async fn expire_leases(leadership: Arc<Leadership>, key: WorkerKey) {
    loop {
        let now = clock::now();
        let until = leadership.scheduler().worker(key).map(|worker| worker.lease_end());
        let Some(until) = until else { return };
        if now > until {
            leadership.scheduler().remove_lost_worker(key, LossCause::LeaseExpired, now);
            leadership.shared.wake.notify_one();
            return;
        }
        sleep(Duration::from_millis(until.ms_since(now) + 1)).await;
    }
}

/// Sends the stops of a batch, which need not be recorded first.
pub fn send_stops(leadership: &Leadership, batch: &Batch) {
    let stops =
        batch.commands.iter().filter(|command| matches!(command, WorkerCommand::Stop { .. }));
    for stop in stops {
        send(leadership, stop.clone());
    }
}

/// Sends the starts of a batch that has been recorded.
pub fn send_starts(leadership: &Leadership, commands: Vec<WorkerCommand>) {
    for command in commands {
        if matches!(command, WorkerCommand::Start(_)) {
            send(leadership, command);
        }
    }
}

fn send(leadership: &Leadership, command: WorkerCommand) {
    let key = match &command {
        WorkerCommand::Start(start) => start.worker,
        WorkerCommand::Stop { worker, .. } => *worker,
    };
    let queues = leadership.queues.lock().unwrap_or_else(PoisonError::into_inner);
    if let Some(wake) = queues.lists.get(&key) {
        wake.notify_one();
    }
    let until = leadership.start_deadline();
    let sent =
        queues.commands.get(&key).is_some_and(|queue| queue.send((command.clone(), until)).is_ok());
    drop(queues);
    if !sent && let WorkerCommand::Start(start) = command {
        let mut scheduler = leadership.scheduler();
        let now = clock::now();
        scheduler.record_start_outcome(key, start.task, start.attempt, StartOutcome::NotSent, now);
    }
}

/// Sends a worker's commands one after the other, and records their outcomes.
async fn send_commands(
    leadership: Arc<Leadership>,
    key: WorkerKey,
    mut worker: Worker,
    mut commands: mpsc::UnboundedReceiver<(WorkerCommand, BootTime)>,
) {
    while let Some((command, until)) = commands.recv().await {
        match command {
            WorkerCommand::Start(start) => {
                let outcome = start_task(&leadership, key, &mut worker, &start, until).await;
                let now = clock::now();
                leadership.scheduler().record_start_outcome(
                    key,
                    start.task,
                    start.attempt,
                    outcome,
                    now,
                );
                if outcome != StartOutcome::Started {
                    leadership.shared.wake.notify_one();
                }
            }
            WorkerCommand::Stop { task, attempt, .. } => {
                let Some(token) = leadership.scheduler().worker(key).map(|state| state.token())
                else {
                    continue;
                };
                match worker.stop(task, attempt, token).await {
                    Ok(response)
                        if response.refusal == Some(StartRefusal::Fenced)
                            && leads_elsewhere(&leadership, key, token) =>
                    {
                        leadership.depose("worker");
                    }
                    Ok(response) if response.refusal.is_none() => {
                        leadership.scheduler().record_stop(key, task, attempt, clock::now());
                    }
                    Ok(response) => log::info!(
                        "event=stop_refused task={task} attempt={attempt} reason={:?}",
                        response.refusal
                    ),
                    Err(error) => log::info!(
                        "event=stop_failed task={task} attempt={attempt} error=\"{error}\""
                    ),
                }
            }
        }
    }
}

/// Sends a start. A start without an answer is not retried: the next list tells whether the run is there, and bars it
/// otherwise, so that the task can be started elsewhere.
async fn start_task(
    leadership: &Leadership,
    key: WorkerKey,
    worker: &mut Worker,
    start: &StartCommand,
    until: BootTime,
) -> StartOutcome {
    let now = clock::now();
    let (lease_end, token) = {
        let mut scheduler = leadership.scheduler();
        let lease_end = scheduler.worker_mut(key).and_then(|worker| worker.grant_lease(now));
        let (Some(lease_end), true) = (lease_end, now < until) else {
            return StartOutcome::NotSent;
        };
        if !scheduler.prepare_start(key, start.task, start.attempt, now) {
            return StartOutcome::NotSent;
        }
        let Some(token) = scheduler.worker(key).map(|state| state.token()) else {
            return StartOutcome::NotSent;
        };
        (lease_end, token)
    };
    Counters::count(&leadership.shared.counters.starts);
    metrics::record(&leadership.shared.latencies.waiting, start.waited_ms);
    let call = Start {
        task: start.task,
        attempt: start.attempt,
        payload: &start.payload,
        lease_end,
        token,
        checkpoint: &start.checkpoint,
        ticket: start.ticket.as_ref().map(|ticket| &*ticket.text),
    };
    let result = worker.start(call).await;
    if let Ok(CommandResponse { clock_ms: Some(clock_ms), .. }) = result {
        let mut scheduler = leadership.scheduler();
        scheduler.record_start_clock(key, start.task, start.attempt, clock_ms, clock::now());
    }
    if let Ok(CommandResponse { refusal: Some(StartRefusal::Fenced), .. }) = result
        && leads_elsewhere(leadership, key, token)
    {
        leadership.depose("worker");
    }
    match result {
        Ok(response) => response.refusal.map_or(StartOutcome::Started, StartOutcome::Refused),
        Err(CallError::Broken | CallError::Unanswered) => StartOutcome::Unanswered,
        Err(CallError::Refused | CallError::Unreachable | CallError::Closed) => {
            StartOutcome::NotSent
        }
    }
}

/// Returns whether a worker that refused a command with `token` has seen that of another leader.
fn leads_elsewhere(leadership: &Leadership, key: WorkerKey, token: FencingToken) -> bool {
    !leadership.scheduler().is_outdated(key, token)
}

/// Polls a worker's list while it has runs, which also renews its lease.
async fn poll_runs(
    leadership: Arc<Leadership>,
    key: WorkerKey,
    mut worker: Worker,
    wake: Arc<Notify>,
) {
    let mut recorded = leadership.recorded.subscribe();
    let mut pause = RETRY_MS.0;
    let mut answered = false;
    loop {
        let now = clock::now();
        let call = {
            let mut scheduler = leadership.scheduler();
            if scheduler.worker(key).is_none() {
                return;
            }
            let open = answered && worker.is_connected();
            scheduler.next_list(key, open, leadership.can_renew_leases(), now)
        };
        let Some(call) = call else {
            wake.notified().await;
            continue;
        };
        Counters::count(&leadership.shared.counters.lists);
        let mut response = worker.list(call).await;
        if matches!(response, Err(ListError::Call(CallError::Closed))) {
            // The request was not sent. The next one opens a connection, and acknowledges nothing.
            answered = false;
            continue;
        }
        if let Ok(run_list) = &response
            && leadership.scheduler().worker(key).is_some_and(|w| !w.can_attribute(run_list))
        {
            response = Err(ListError::Unreadable);
        }
        let received = clock::now();
        log_acknowledgement(&leadership, key, call.acknowledged, &response);
        let replaced = matches!(response, Err(ListError::Refused(StartRefusal::Replaced)));
        let refused = matches!(response, Err(ListError::Call(CallError::Refused)));
        let broken = refused || matches!(response, Err(ListError::Call(CallError::Broken)));
        match response {
            Ok(run_list) => {
                let (pending, known, delay_ms) = {
                    let mut scheduler = leadership.scheduler();
                    let known =
                        scheduler.apply_run_list(key, &call, &run_list, clock::now()).is_some();
                    let pending =
                        scheduler.worker(key).is_some_and(|state| state.has_unrecorded_ends());
                    let now = clock::now();
                    let delay_ms =
                        scheduler.worker(key).map_or(0, |state| state.list_interval_ms(now));
                    (pending, known, delay_ms)
                };
                if !known {
                    leadership.shared.wake.notify_one();
                    return;
                }
                if !run_list.ended.is_empty() || !answered {
                    leadership.shared.wake.notify_one();
                }
                (answered, pause) = (true, RETRY_MS.0);
                if pending {
                    recorded.mark_unchanged();
                    let limit = Duration::from_millis(RECORD_WAIT_MS);
                    // The next list is requested even after a time-out, since it renews the lease.
                    let _timed_out = timeout(limit, recorded.changed()).await;
                }
                let delay =
                    Duration::from_millis(delay_ms.saturating_sub(clock::now().ms_since(received)));
                sleep(delay).await;
                continue;
            }
            Err(ListError::Refused(StartRefusal::Fenced))
                if leads_elsewhere(&leadership, key, call.token) =>
            {
                leadership.depose("worker");
                return;
            }
            Err(error) => {
                if answered {
                    log::info!("event=worker_silent worker={} error=\"{error}\"", worker.id());
                }
            }
        }
        answered = false;
        let since = if broken { received } else { now };
        let now = clock::now();
        let kept = match replaced {
            true => leadership.scheduler().record_replacement(key, since, now),
            false => leadership.scheduler().record_list_failure(key, since, refused, now),
        };
        if !kept {
            leadership.shared.wake.notify_one();
            return;
        }
        leadership.hosts_wake.notify_one();
        sleep(Duration::from_millis(pause)).await;
        pause = (pause * 2).min(RETRY_MS.1);
    }
}

/// Logs an acknowledgement that may take effect on another incarnation than the one that listed the ends: because it was
/// not answered, or because another incarnation answered it.
fn log_acknowledgement(
    leadership: &Leadership,
    key: WorkerKey,
    acknowledged: u64,
    response: &Result<RunList, ListError>,
) {
    let scheduler = leadership.scheduler();
    let Some(worker) = scheduler.worker(key).filter(|_| acknowledged > 0) else { return };
    let born = worker.born.unwrap_or_default();
    match response {
        Ok(run_list) if run_list.born == worker.born => {}
        Ok(run_list) => log::warn!(
            "event=acknowledged_to_other worker={} through={acknowledged} born={born} answered_born={}",
            worker.name,
            run_list.born.unwrap_or_default()
        ),
        Err(error) => log::info!(
            "event=acknowledgement_unanswered worker={} through={acknowledged} born={born} \
             error=\"{error}\"",
            worker.name
        ),
    }
}
