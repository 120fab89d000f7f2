//! The leader's tasks for workers: one that follows their entries, and two for each worker, for its list of runs and for
//! its orders.

use std::{
    collections::{HashMap, HashSet},
    sync::{Arc, PoisonError},
    time::Duration,
};

use {
    coriandertack_jobs::{
        boot_time::BootTime,
        report::StartRefusal,
        sched::{Batch, StartCommand, StartOutcome, WorkerCommand, WorkerKey},
    },
    coriandertack_platform::{
        http::CallError,
        store::{Record, Store, Topic},
        workers::{self, ListError, Start, Worker},
    },
    tokio::{
        sync::{Notify, mpsc},
        task::JoinSet,
        time::{sleep, timeout},
    },
};

use super::{
    clock, follow,
    lead::Leading,
    metrics,
    shared::{Counters, Shared},
};

/// How long a worker waits for an end before it answers with its list, in milliseconds.
const LIST_WAIT_MS: u64 = 1_000;

/// First and longest pause after a failed list, in milliseconds.
const RETRY_MS: (u64, u64) = (100, 400);

/// Refused connections in a row after which nothing runs at an address any more. One can come from a full queue.
const REFUSED_MOST: u32 = 2;

/// Longest wait for the record of ends that are to be acknowledged, in milliseconds. A list that still has them
/// would be answered at once.
const RECORD_WAIT_MS: u64 = 300;

/// Pause between two reads of the workers' entries, in milliseconds. Each worker writes every second or so.
const PACE_MS: u64 = 100;

/// Longest wait of a read of the workers' entries for a new one, in milliseconds.
const ENTRY_WAIT_MS: u64 = 2_000;

/// Queues of the orders to workers, and what wakes their lists.
#[derive(Debug, Default)]
pub struct Queues {
    commands: HashMap<WorkerKey, mpsc::UnboundedSender<(WorkerCommand, BootTime)>>,
    lists: HashMap<WorkerKey, Arc<Notify>>,
}

/// Reads the workers' entries. A candidate does so before it appends its record: a leader that has not begun to decide
/// writes nothing, and the others would take its silence for its death.
pub async fn load(shared: &Shared) -> Option<Vec<Record>> {
    let mut store = Store::new(shared.settings.platform.store);
    match store.newest(Topic::Workers).await {
        Ok(newest) => Some(newest.records),
        Err(error) => {
            log::warn!("event=takeover_failed error=\"{error}\"");
            None
        }
    }
}

/// Tells the scheduler of workers' entries; `all` says that there are no others.
pub fn apply_entries(leading: &Leading, records: &[Record], all: bool) {
    let now = clock::now();
    let mut scheduler = leading.scheduler();
    let mut seen = HashSet::new();
    for record in records {
        let name: Arc<str> = Arc::from(&*record.key);
        if record.value.is_empty() {
            scheduler.mark_worker_absent(&name);
            continue;
        }
        match workers::entry(&record.value) {
            Ok(entry) => {
                seen.insert(name.clone());
                scheduler.upsert_worker(&name, Arc::new(entry), now);
            }
            Err(error) => {
                log::warn!("event=entry_unreadable worker={name} error=\"{error:#}\"");
            }
        }
    }
    if all {
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

/// Follows the workers' entries and keeps two tasks for each worker, for as long as the future is polled.
pub async fn keep(leading: Arc<Leading>) {
    let shared = leading.shared.clone();
    let mut tasks = Tasks { leading: leading.clone(), each: HashMap::new() };
    tasks.adjust();
    let apply = |records: Vec<Record>, all: bool| {
        apply_entries(&leading, &records, all);
        tasks.adjust();
        leading.shared.wake.notify_one();
    };
    follow::stream(&shared, Topic::Workers, || ENTRY_WAIT_MS, || PACE_MS, apply, |_, _, _| {})
        .await;
}

/// The tasks of each worker. Dropping them ends them.
struct Tasks {
    leading: Arc<Leading>,
    each: HashMap<WorkerKey, JoinSet<()>>,
}

impl Tasks {
    /// Starts tasks for new workers, and ends those of workers that are gone.
    fn adjust(&mut self) {
        let leading = &self.leading;
        let scheduler = leading.scheduler();
        let keys = scheduler.worker_keys();
        let mut queues = leading.queues.lock().unwrap_or_else(PoisonError::into_inner);
        let gone = |key: &WorkerKey| scheduler.worker(*key).is_none();
        self.each.retain(|key, _| !gone(key));
        queues.commands.retain(|key, _| !gone(key));
        queues.lists.retain(|key, _| !gone(key));
        for key in keys {
            if self.each.contains_key(&key) {
                continue;
            }
            let Some(worker) = scheduler.worker(key) else { continue };
            let mut each = JoinSet::new();
            if let Some(entry) = &worker.entry {
                let (sender, commands) = mpsc::unbounded_channel();
                let wake = Arc::new(Notify::new());
                queues.commands.insert(key, sender);
                queues.lists.insert(key, wake.clone());
                let list = Worker::new(entry.address, worker.name.clone());
                let client = Worker::new(entry.address, worker.name.clone());
                each.spawn(lists(leading.clone(), key, list, wake));
                each.spawn(commands_to(leading.clone(), key, client, commands));
            } else {
                each.spawn(expire(leading.clone(), key));
            }
            self.each.insert(key, each);
        }
    }
}

/// Gives up a worker of which only records are known, when its leases have run out.
async fn expire(leading: Arc<Leading>, key: WorkerKey) {
    loop {
        let now = clock::now();
        let until = leading.scheduler().worker(key).map(|worker| worker.lease_end());
        let Some(until) = until else { return };
        if now > until {
            leading.scheduler().remove_lost_worker(key, now);
            leading.shared.wake.notify_one();
            return;
        }
        sleep(Duration::from_millis(until.ms_since(now) + 1)).await;
    }
}

/// Sends the stops of a batch, which need no record.
pub fn send_stops(leading: &Leading, batch: &Batch) {
    let stops =
        batch.commands.iter().filter(|command| matches!(command, WorkerCommand::Stop { .. }));
    for stop in stops {
        send(leading, stop.clone());
    }
}

/// Sends the starts of a batch, once it is recorded.
pub fn send_starts(leading: &Leading, commands: Vec<WorkerCommand>) {
    for command in commands {
        if matches!(command, WorkerCommand::Start(_)) {
            send(leading, command);
        }
    }
}

fn send(leading: &Leading, command: WorkerCommand) {
    let key = match &command {
        WorkerCommand::Start(start) => start.worker,
        WorkerCommand::Stop { worker, .. } => *worker,
    };
    let queues = leading.queues.lock().unwrap_or_else(PoisonError::into_inner);
    if let Some(wake) = queues.lists.get(&key) {
        wake.notify_one();
    }
    let until = leading.may_start_until();
    let sent =
        queues.commands.get(&key).is_some_and(|queue| queue.send((command.clone(), until)).is_ok());
    drop(queues);
    if !sent && let WorkerCommand::Start(start) = command {
        let mut scheduler = leading.scheduler();
        let now = clock::now();
        scheduler.record_start_outcome(key, start.task, start.attempt, StartOutcome::NotSent, now);
    }
}

/// Sends a worker's orders, one after the other.
async fn commands_to(
    leading: Arc<Leading>,
    key: WorkerKey,
    mut worker: Worker,
    mut commands: mpsc::UnboundedReceiver<(WorkerCommand, BootTime)>,
) {
    while let Some((command, until)) = commands.recv().await {
        match command {
            WorkerCommand::Start(start) => {
                let outcome = start_task(&leading, key, &mut worker, &start, until).await;
                if outcome == StartOutcome::Refused(StartRefusal::Fenced) {
                    leading.depose("worker");
                }
                let now = clock::now();
                leading.scheduler().record_start_outcome(
                    key,
                    start.task,
                    start.attempt,
                    outcome,
                    now,
                );
                if outcome != StartOutcome::Started {
                    leading.shared.wake.notify_one();
                }
            }
            WorkerCommand::Stop { task, attempt, .. } => {
                match worker.stop(task, attempt, leading.epoch).await {
                    Ok(answer) if answer.refusal == Some(StartRefusal::Fenced) => {
                        leading.depose("worker");
                    }
                    Ok(answer) if answer.refusal.is_none() => {
                        leading.scheduler().record_stop(key, task, attempt, clock::now());
                    }
                    Ok(answer) => log::info!(
                        "event=stop_refused task={task} attempt={attempt} reason={:?}",
                        answer.refusal
                    ),
                    Err(error) => log::info!(
                        "event=stop_failed task={task} attempt={attempt} error=\"{error}\""
                    ),
                }
            }
        }
    }
}

/// Sends a start. One without an answer is not sent again: a stop that bars it is as quick, and then it can be
/// made elsewhere.
async fn start_task(
    leading: &Leading,
    key: WorkerKey,
    worker: &mut Worker,
    start: &StartCommand,
    until: BootTime,
) -> StartOutcome {
    let now = clock::now();
    let lease_end = leading.scheduler().worker_mut(key).and_then(|worker| worker.grant_lease(now));
    let (Some(lease_end), true) = (lease_end, now < until) else {
        return StartOutcome::NotSent;
    };
    Counters::count(&leading.shared.counters.starts);
    metrics::record(&leading.shared.latencies.waiting, start.waited_ms);
    let start = Start {
        task: start.task,
        attempt: start.attempt,
        payload: &start.payload,
        lease_end,
        token: leading.epoch,
        checkpoint: &start.checkpoint,
        ticket: start.ticket.as_ref().map(|ticket| &*ticket.text),
    };
    match worker.start(start).await {
        Ok(answer) => answer.refusal.map_or(StartOutcome::Started, StartOutcome::Refused),
        Err(CallError::Unanswered) => StartOutcome::Unanswered,
        Err(CallError::Refused | CallError::Unreached) => StartOutcome::NotSent,
    }
}

/// Asks for a worker's list again and again while it holds runs, which also renews its lease.
async fn lists(leading: Arc<Leading>, key: WorkerKey, mut worker: Worker, wake: Arc<Notify>) {
    let mut recorded = leading.recorded.subscribe();
    let mut pause = RETRY_MS.0;
    let mut refused = 0;
    let mut answered = false;
    loop {
        let now = clock::now();
        let ask = {
            let mut scheduler = leading.scheduler();
            let Some(state) = scheduler.worker_mut(key) else { return };
            let idle = state.run_count() == 0 && state.listed && !state.has_ends_to_acknowledge();
            // A lease is extended only while answers arrive. A worker whose answers are lost lets its runs go, so
            // that they can run elsewhere.
            let lease = (answered && leading.may_renew()).then(|| state.grant_lease(now)).flatten();
            (!idle).then_some((state.recorded_end, lease, state.run_count() > 0))
        };
        let Some((acknowledged, lease, busy)) = ask else {
            wake.notified().await;
            continue;
        };
        let wait = if answered && busy { LIST_WAIT_MS } else { 0 };
        Counters::count(&leading.shared.counters.lists);
        let wait = Duration::from_millis(wait);
        let answer = worker.list(leading.epoch, acknowledged, lease, wait).await;
        let received = clock::now();
        match answer {
            Ok(run_list) => {
                let (pending, known, gap) = {
                    let mut scheduler = leading.scheduler();
                    let known =
                        scheduler.apply_run_list(key, now, &run_list, clock::now()).is_some();
                    let pending = scheduler.worker_mut(key).is_some_and(|state| {
                        state.acknowledged_end = state.acknowledged_end.max(acknowledged);
                        state.has_unrecorded_ends()
                    });
                    let now = clock::now();
                    let gap = scheduler.worker(key).map_or(0, |state| state.list_interval_ms(now));
                    (pending, known, gap)
                };
                if !known {
                    lost(&leading, key, "another incarnation");
                    return;
                }
                if !run_list.ended.is_empty() || !answered {
                    leading.shared.wake.notify_one();
                }
                (answered, refused, pause) = (true, 0, RETRY_MS.0);
                if pending {
                    recorded.mark_unchanged();
                    let limit = Duration::from_millis(RECORD_WAIT_MS);
                    // The next list is asked for in any case, since it renews the lease.
                    let _late = timeout(limit, recorded.changed()).await;
                }
                let gap =
                    Duration::from_millis(gap.saturating_sub(clock::now().ms_since(received)));
                sleep(gap).await;
                continue;
            }
            Err(ListError::Refused(StartRefusal::Fenced)) => {
                leading.depose("worker");
                return;
            }
            Err(ListError::Refused(StartRefusal::Replaced)) => {
                lost(&leading, key, "replaced");
                return;
            }
            Err(ListError::Call(CallError::Refused)) => {
                refused += 1;
                if refused >= REFUSED_MOST {
                    lost(&leading, key, "connection refused");
                    return;
                }
            }
            Err(error) => {
                refused = 0;
                if answered {
                    log::info!("event=worker_silent worker={} error=\"{error}\"", worker.id());
                }
            }
        }
        answered = false;
        let now = clock::now();
        let ended = leading.scheduler().worker(key).is_none_or(|state| state.lease_end() < now);
        if ended && leading.scheduler().worker(key).is_some_and(|state| state.run_count() > 0) {
            lost(&leading, key, "lease ran out");
            return;
        }
        sleep(Duration::from_millis(pause)).await;
        pause = (pause * 2).min(RETRY_MS.1);
    }
}

fn lost(leading: &Leading, key: WorkerKey, reason: &'static str) {
    let mut scheduler = leading.scheduler();
    if let Some(worker) = scheduler.worker(key) {
        log::info!("event=worker_given_up worker={} reason=\"{reason}\"", worker.name);
    }
    scheduler.remove_lost_worker(key, clock::now());
    drop(scheduler);
    leading.shared.wake.notify_one();
}
