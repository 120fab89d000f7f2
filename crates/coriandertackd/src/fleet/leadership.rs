//! The leader's state and its main loop.
//!
//! A VM that sees no new record in the progress topic tries to append a leader record at its end, with the next epoch.
//! The store accepts at most one such append and from then on refuses all appends of lower epochs. The epoch is also
//! the fencing token of all commands to workers, so that both the store and the workers refuse a former leader.

use std::{
    mem,
    pin::pin,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use {
    coriandertack_jobs::{
        boot_time::{BootTime, WallTime},
        ids::JobId,
        progress::JobPhase,
        replica::{JobView, Leader, ReplicaRecord},
        sched::{AdviceCall, Batch, LEADERSHIP_TERM_MS, MAX_RENEWAL_MS, Scheduler},
    },
    coriandertack_log::jobs,
    coriandertack_peers::leader::{AdviceReply, EndedJobs, ForwardOutcome, ForwardedRecord},
    coriandertack_platform::store::{
        AppendError, Fence, ReadError, Record, Store, Topic, record_size,
    },
    tokio::{
        sync::{Notify, mpsc, oneshot, watch},
        task::JoinSet,
        time::{sleep, timeout},
    },
};

use super::{
    advice::{self, Links},
    arrivals::{Arrival, Arrivals},
    batches::{self, Oversized},
    clock, election, handover, hosts, maintenance, metrics,
    readers::{self, Read},
    retention,
    shared::{Counters, Shared},
    workers,
};

/// Maximum time between two records of a leader, in milliseconds. If there is nothing else, it appends a leader record.
const MAX_RECORD_INTERVAL_MS: u64 = 200;

/// Time from which a decision is logged as slow, in milliseconds. While it is taken, the leader records and answers nothing,
/// and other VMs take it for failed after some seconds.
const SLOW_DECISION_MS: u64 = 500;

/// Pause between two batches, in milliseconds. A longer pause saves calls to the store, which are charged for; a
/// shorter one lets starts go out earlier, since each waits for the batch that records it.
const BATCH_INTERVAL_MS: u64 = 10;

/// Interval of checks for missing advice during an append, in milliseconds. An append usually takes a tenth of it.
const ADVICE_POLL_MS: u64 = 50;

/// Time without a successful append after which the leader closes its links, in milliseconds. If the store serves the
/// other VMs, one of them then takes the leadership sooner, and until then they append submissions themselves.
const LINK_CLOSE_MS: u64 = 250;

/// Pause after an append that failed, in milliseconds.
const RETRY_MS: u64 = 50;

/// Maximum time between two reads of a new leader that make progress towards its own record, and then towards the end of
/// the intake topic, in milliseconds.
const CATCH_UP_TIMEOUT_MS: u64 = 3_000;

/// The result of one scheduling pass.
#[derive(Debug, Default)]
struct Decision {
    batch: Batch,
    calls: Vec<AdviceCall>,
    /// Records forwarded by VMs, each with the sender of its outcome.
    forwarded: Vec<(Record, oneshot::Sender<ForwardOutcome>)>,
    /// When the next pass is due even if nothing arrives; `None` if only a change can require one.
    retry_at: Option<BootTime>,
}

/// State of the leader during one epoch, shared by its tasks.
#[derive(Debug)]
pub struct Leadership {
    /// State shared by all tasks of the VM.
    pub shared: Arc<Shared>,
    /// Epoch of the leadership, which is also the fencing token of all commands.
    pub epoch: u64,
    /// When this VM had read all records of former leaders and began to lead.
    pub began: BootTime,
    scheduler: Mutex<Scheduler>,
    links: Mutex<Links>,
    /// When the last successful append began, as milliseconds since boot. No other VM had become leader by then.
    confirmed_at: AtomicU64,
    /// Whether the store, a worker or the machine interface has seen a higher epoch.
    pub deposed: watch::Sender<bool>,
    /// Whether links to other VMs are kept closed because appends fail.
    pub links_closed: watch::Sender<bool>,
    /// Number of batches recorded in this epoch.
    pub recorded: watch::Sender<u64>,
    /// Wakes the task that lists machines.
    pub hosts_wake: Notify,
    /// Queues of commands to workers.
    pub queues: Mutex<workers::WorkerQueues>,
}

impl Leadership {
    /// Locks the scheduler. The guard must not be held across an await point.
    pub fn scheduler(&self) -> MutexGuard<'_, Scheduler> {
        self.scheduler.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the links to other VMs. The guard must not be held across an await point.
    pub fn links(&self) -> MutexGuard<'_, Links> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Passes the VMs with an open link to the scheduler, which distributes calls for advice over them.
    pub fn update_advice_vms(&self) {
        let names = self.links().names();
        self.scheduler().set_advice_vms(&names);
        self.shared.wake.notify_one();
    }

    /// Records the answer to a call for advice; `None` if the call failed.
    pub fn record_advice(&self, call: &AdviceCall, advice: AdviceReply) {
        let mut scheduler = self.scheduler();
        scheduler.record_advice(call, advice.as_deref(), clock::now());
        drop(scheduler);
        self.shared.wake.notify_one();
    }

    /// Returns the time until which starts may be sent: [`LEADERSHIP_TERM_MS`] after the last confirmation.
    pub fn start_deadline(&self) -> BootTime {
        BootTime(self.confirmed_at.load(Ordering::Relaxed)).plus_ms(LEADERSHIP_TERM_MS)
    }

    /// Returns whether an append succeeded recently enough to renew workers' leases.
    pub fn can_renew_leases(&self) -> bool {
        clock::now() < BootTime(self.confirmed_at.load(Ordering::Relaxed)).plus_ms(MAX_RENEWAL_MS)
    }

    /// Queues a record forwarded by a VM for the main loop.
    pub fn enqueue(&self, forwarded: ForwardedRecord) {
        let arrivals = self.shared.arrivals.lock().unwrap_or_else(PoisonError::into_inner);
        // Without a queue the leadership has ended. Dropping the record tells the VM that its outcome is unknown.
        if let Some(arrivals) = arrivals.as_ref()
            && arrivals.send(Arrival::Forwarded(forwarded)).is_ok()
        {
            self.shared.wake.notify_one();
        }
    }

    /// Ends the leadership because `seen_by` reported a higher epoch.
    pub fn depose(&self, seen_by: &str) {
        if !self.deposed.send_replace(true) {
            log::warn!("event=deposed epoch={} seen_by={seen_by}", self.epoch);
        }
        self.shared.wake.notify_one();
    }

    /// Records that an append that began at `began` succeeded, which confirms the leadership as of then.
    fn confirm(&self, began: BootTime) {
        self.confirmed_at.fetch_max(began.0, Ordering::Relaxed);
    }
}

/// Campaigns whenever the leadership is vacant and leads when elected, for as long as the process runs.
pub async fn run(shared: Arc<Shared>) {
    let mut store = Store::new(shared.settings.platform.store);
    loop {
        let vacancy = election::wait_for_vacancy(&shared).await;
        let Some(entries) = workers::load_entries(&shared).await else {
            sleep(Duration::from_millis(RETRY_MS)).await;
            continue;
        };
        // Another VM may have become leader while the entries were read, and this one then waits for the next vacancy,
        // for hours perhaps. The entries are of the former one.
        let (epoch, at) = election::wait_for_vacancy(&shared).await;
        if (epoch, at) != vacancy {
            log::info!("event=entries_outdated epoch={epoch}");
            continue;
        }
        let number = election::first_number();
        let won = election::campaign(&shared, &mut store, epoch, number, at).await;
        let Some((first, began)) = won else {
            sleep(Duration::from_millis(RETRY_MS)).await;
            continue;
        };
        log::info!("event=leadership_taken epoch={epoch} offset={first}");
        Counters::count(&shared.counters.takeovers);
        shared.is_leader.send_replace(true);
        lead(&shared, store, epoch, number, (first, began), &entries).await;
        shared.is_leader.send_replace(false);
        shared.record_teams(Vec::new());
        *shared.arrivals.lock().unwrap_or_else(PoisonError::into_inner) = None;
        log::info!("event=leadership_ended epoch={epoch}");
        store = Store::new(shared.settings.platform.store);
    }
}

/// Leads until a higher epoch is seen or the VM stops. `first` is the offset of the leader record, whose append started
/// at `began`.
async fn lead(
    shared: &Arc<Shared>,
    store: Store,
    epoch: u64,
    number: u64,
    (first, began): (u64, BootTime),
    entries: &[Record],
) {
    if !wait_for_own_record(shared, first).await || !read_intake_to_end(shared).await {
        log::warn!("event=takeover_failed epoch={epoch} reason=records_not_read");
        return;
    }
    let Some(config) = shared.config() else { return };
    let mut scheduler = Scheduler::new(config);
    scheduler.set_epoch(epoch);
    scheduler.set_lease_limit(shared.settings.bounds.hold_max_ms);
    scheduler.set_share_tolerance(shared.settings.teams.share_tolerance);
    if epoch > 1 {
        scheduler.succeed_leader(clock::now());
    }
    let (sender, arrivals) = mpsc::unbounded_channel();
    let leadership = Arc::new(Leadership {
        shared: shared.clone(),
        epoch,
        began: clock::now(),
        scheduler: Mutex::new(scheduler),
        links: Mutex::default(),
        confirmed_at: AtomicU64::new(0),
        deposed: watch::Sender::default(),
        links_closed: watch::Sender::default(),
        recorded: watch::Sender::default(),
        hosts_wake: Notify::default(),
        queues: Mutex::default(),
    });
    leadership.confirm(began);
    let mut tasks = JoinSet::new();
    workers::apply_entries(&leadership, entries, true);
    adopt_jobs(&leadership, sender);
    metrics::record(&shared.latencies.takeover, clock::now().ms_since(began));
    tasks.spawn(workers::run(leadership.clone()));
    tasks.spawn(advice::maintain_links(leadership.clone()));
    tasks.spawn(retention::run(leadership.clone()));
    tasks.spawn(hosts::run(leadership.clone()));
    tasks.spawn(maintenance::run(leadership.clone()));
    run_loop(&leadership, store, number, arrivals).await;
}

/// Waits until this VM has read its own leader record, and thus all records of former leaders. Returns false if the reads
/// make no progress.
async fn wait_for_own_record(shared: &Shared, first: u64) -> bool {
    let mut progress = shared.progress.subscribe();
    shared.read_now.notify_one();
    loop {
        let read = progress.borrow_and_update().next;
        if read > first {
            return true;
        }
        let further = progress.wait_for(|position| position.next > read);
        let limit = Duration::from_millis(CATCH_UP_TIMEOUT_MS);
        if !timeout(limit, further).await.is_ok_and(|position| position.is_ok()) {
            return false;
        }
    }
}

/// Reads the intake topic to its end. Returns false if no read makes progress for [`CATCH_UP_TIMEOUT_MS`], as when the
/// store is unavailable.
///
/// A former leader may have read a submission that this VM has not. The job would be known only by its progress, and
/// its runs would be treated as unknown.
async fn read_intake_to_end(shared: &Shared) -> bool {
    let mut store = Store::new(shared.settings.platform.store);
    let mut next = shared.intake.borrow().next;
    let mut until = clock::now().plus_ms(CATCH_UP_TIMEOUT_MS);
    while clock::now() < until {
        Counters::count(&shared.counters.reads);
        match store.read(Topic::Intake, next, Duration::ZERO).await {
            Ok(page) => {
                let at_end = page.next >= page.end;
                if page.next > next {
                    until = clock::now().plus_ms(CATCH_UP_TIMEOUT_MS);
                }
                next = page.next;
                readers::apply_intake(shared, Read::Page(page));
                if at_end {
                    return true;
                }
            }
            Err(ReadError::Deleted { .. }) => {
                let began = clock::now();
                match store.newest(Topic::Intake).await {
                    Ok(newest) => {
                        next = newest.end;
                        until = clock::now().plus_ms(CATCH_UP_TIMEOUT_MS);
                        readers::apply_intake(shared, Read::Newest(newest, began));
                    }
                    Err(error) => log::info!("event=takeover_waits error=\"{error}\""),
                }
            }
            Err(error) => {
                log::info!("event=takeover_waits error=\"{error}\"");
                sleep(Duration::from_millis(RETRY_MS)).await;
            }
        }
    }
    false
}

/// Admits all jobs of the replica to the scheduler, and has later records of the intake topic sent to `sender`.
fn adopt_jobs(leadership: &Leadership, sender: mpsc::UnboundedSender<Arrival>) {
    let shared = &leadership.shared;
    let (now, wall) = (clock::now(), clock::wall());
    // The replica may have more records by the time it is locked, but no fewer.
    let (progress, intake) = (shared.progress.borrow().next, *shared.intake_applied());
    let replica = shared.replica();
    *shared.arrivals.lock().unwrap_or_else(PoisonError::into_inner) = Some(sender);
    let mut scheduler = leadership.scheduler();
    scheduler.set_read_offset(progress);
    // A submission that no stream has may be of a job whose records are gone.
    let is_recorded = |view: &JobView| view.unreadable || !view.sources.is_empty();
    for (&id, view) in replica.jobs.iter().filter(|(_, view)| is_recorded(view)) {
        scheduler.admit_from_replica(id, view, now, wall);
    }
    let closed = replica.jobs.values().filter(|view| view.unreadable).count();
    log::info!(
        "event=takeover epoch={} jobs={} workers={} progress={progress} intake={intake} closed={closed}",
        leadership.epoch,
        scheduler.open_job_count(),
        scheduler.worker_keys().len()
    );
}

/// Runs scheduling passes and records their batches until the leadership ends.
async fn run_loop(
    leadership: &Arc<Leadership>,
    mut store: Store,
    mut number: u64,
    queue: mpsc::UnboundedReceiver<Arrival>,
) {
    let mut arrivals = Arrivals::new(queue);
    let shared = &leadership.shared;
    let mut last_record = clock::now();
    let mut next_check = last_record.plus_ms(handover::CHECK_INTERVAL_MS);
    let mut retry_at: Option<BootTime> = None;
    let limits = shared.settings.platform.append_limits();
    let mut oversized = Oversized::default();
    loop {
        let now = clock::now();
        let due = retry_at
            .map_or(MAX_RECORD_INTERVAL_MS, |at| at.ms_since(now))
            .min(last_record.plus_ms(MAX_RECORD_INTERVAL_MS).ms_since(now));
        tokio::select! {
            () = shared.wake.notified() => {}
            () = sleep(Duration::from_millis(due)) => {}
        }
        if *leadership.deposed.borrow() {
            return;
        }
        let check_due = clock::now() >= next_check;
        if check_due {
            next_check = clock::now().plus_ms(handover::CHECK_INTERVAL_MS);
        }
        if *shared.stopping.borrow() || (check_due && handover::is_due(leadership)) {
            handover::release(leadership, &mut store, number).await;
            return;
        }
        let mut decision = decide(leadership, &mut arrivals);
        retry_at = decision.retry_at;
        send_advice_calls(leadership, decision.calls);
        workers::send_stops(leadership, &decision.batch);
        let (records, waiting): (Vec<_>, Vec<_>) = decision.forwarded.into_iter().unzip();
        let now = clock::now();
        if decision.batch.is_empty()
            && records.is_empty()
            && now.ms_since(last_record) < MAX_RECORD_INTERVAL_MS
        {
            continue;
        }
        let records = batches::encode(&decision.batch, records);
        let (parts, excess) = limits.split(records);
        let held = oversized.jobs().len();
        let withheld = oversized.withhold(&mut decision.batch, &excess);
        if held > 0 || !excess.is_empty() {
            let mut scheduler = leadership.scheduler();
            scheduler.hold_jobs(oversized.jobs().clone());
            withheld.iter().for_each(|start| scheduler.withdraw_start(start, now));
        }
        let recorded =
            append_batch(leadership, &mut store, &mut number, parts, &mut arrivals).await;
        let Some(began) = recorded else { return };
        last_record = began;
        finish_batch(leadership, decision.batch);
        for outcome in waiting {
            // The receiver is gone if the VM's link has closed.
            let _disconnected = outcome.send(ForwardOutcome::Durable);
        }
        sleep(Duration::from_millis(BATCH_INTERVAL_MS)).await;
    }
}

/// Applies all arrivals and runs one scheduling pass.
fn decide(leadership: &Leadership, arrivals: &mut Arrivals) -> Decision {
    let (now, wall) = (clock::now(), clock::wall());
    let config = leadership.shared.config.borrow().clone();
    let mut scheduler = leadership.scheduler();
    scheduler.set_config(config);
    let mut forwarded = Vec::new();
    for arrival in arrivals.drain() {
        match arrival {
            Arrival::Read(record) => apply_record(leadership, &mut scheduler, record, now, wall),
            Arrival::Forwarded(ForwardedRecord { key, value, outcome }) => {
                let size = record_size(&key, &value);
                if !leadership.shared.settings.platform.append_limits().accepts(size) {
                    // A VM with the same limits does not forward it.
                    log::warn!("event=record_too_large key={key} bytes={size}");
                    // The receiver is gone if the VM's link has closed.
                    let _disconnected = outcome.send(ForwardOutcome::Refused);
                    continue;
                }
                let record = jobs::decode(&key, &value);
                if is_of_other_team(leadership, &scheduler, &record) {
                    log::info!("event=submission_refused key={key} reason=other_team");
                    // The receiver is gone if the VM's link has closed.
                    let _disconnected = outcome.send(ForwardOutcome::Refused);
                    continue;
                }
                apply_record(leadership, &mut scheduler, record, now, wall);
                forwarded.push((Record { key, value }, outcome));
            }
        }
    }
    let next_occurrence = scheduler.open_due_occurrences(now, wall);
    let pass = scheduler.place(now);
    let (batch, calls) = (scheduler.take_batch(), scheduler.take_calls());
    let taken_ms = clock::now().ms_since(now);
    metrics::record(&leadership.shared.latencies.decision, taken_ms);
    if taken_ms >= SLOW_DECISION_MS {
        log::warn!(
            "event=decision_slow ms={taken_ms} jobs={} waiting_steps={} records={} bound={}",
            scheduler.open_job_count(),
            scheduler.waiting_step_count(),
            batch.records.len(),
            pass.bound
        );
    }
    leadership.shared.record_stats(&scheduler.take_stats());
    leadership.shared.record_teams(scheduler.team_states());
    let next_occurrence = next_occurrence.map(|due| now.plus_ms(due.0.saturating_sub(wall.0)));
    // Steps that were bound leave the queue to further occurrences.
    let next_occurrence = match scheduler.has_backlog() && pass.bound > 0 {
        true => Some(now),
        false => next_occurrence,
    };
    let retry_at = match (pass.retry_at, next_occurrence) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    };
    Decision { batch, calls, forwarded, retry_at }
}

/// Returns whether a record submits a job that another team has submitted before, which the VM that forwarded it has not
/// read yet. Its record would replace that of the other team.
fn is_of_other_team(
    leadership: &Leadership,
    scheduler: &Scheduler,
    record: &ReplicaRecord,
) -> bool {
    let ReplicaRecord::Submitted(id, spec) = record else { return false };
    let owner = scheduler
        .spec_of(*id)
        .map(|known| known.team.clone())
        .or_else(|| leadership.shared.replica().jobs.get(id).map(|view| view.owner().cloned()));
    owner.flatten().is_some_and(|owner| spec.team.as_ref() != Some(&owner))
}

/// Applies a record of callers to the scheduler.
fn apply_record(
    leadership: &Leadership,
    scheduler: &mut Scheduler,
    record: ReplicaRecord,
    now: BootTime,
    wall: WallTime,
) {
    match record {
        ReplicaRecord::Submitted(id, spec) => {
            let mut view = leadership.shared.replica().jobs.get(&id).cloned().unwrap_or_default();
            view.spec.get_or_insert(spec);
            scheduler.admit_from_replica(id, &view, now, wall);
        }
        ReplicaRecord::Cancelled(id, callers) => scheduler.cancel_by(id, &callers, now),
        ReplicaRecord::SubmissionDropped(id) | ReplicaRecord::ProgressDropped(id) => {
            scheduler.forget_job(id)
        }
        ReplicaRecord::Progressed(..)
        | ReplicaRecord::LeaderChanged(_)
        | ReplicaRecord::VmAnnounced(..)
        | ReplicaRecord::SubmissionUnreadable(_)
        | ReplicaRecord::ProgressUnreadable(_)
        | ReplicaRecord::Unreadable => {}
    }
}

/// Sends calls for advice to the VMs that are to make them. A call to a VM without a link counts as failed.
fn send_advice_calls(leadership: &Leadership, calls: Vec<AdviceCall>) {
    for call in calls {
        let sent = leadership.links().send(&call);
        if !sent {
            leadership.record_advice(&call, None);
        }
    }
}

/// Appends the records of a batch in parts that the store accepts, or a leader record if there are none. Returns when the
/// last successful append began, or `None` if the leadership has ended: what is recorded by then is as if the leader had
/// failed before it sent the starts.
async fn append_batch(
    leadership: &Leadership,
    store: &mut Store,
    number: &mut u64,
    mut parts: Vec<Vec<Record>>,
    arrivals: &mut Arrivals,
) -> Option<BootTime> {
    let started = clock::now();
    if parts.is_empty() {
        let vm = Arc::from(&*leadership.shared.settings.vm.name);
        let (key, value) = jobs::leader(&Leader { epoch: leadership.epoch, vm });
        parts.push(vec![Record { key, value }]);
    }
    let mut last = None;
    for records in parts {
        *number += 1;
        let fence = Fence { epoch: leadership.epoch, number: *number };
        last = Some(append_part(leadership, store, fence, &records, arrivals, started).await?);
    }
    last
}

/// Appends records, and tries again until they are durable or the leadership has ended. `started` is when the first append
/// of the batch began, from which the wait of forwarded records counts. Returns when the successful append began.
async fn append_part(
    leadership: &Leadership,
    store: &mut Store,
    fence: Fence,
    records: &[Record],
    arrivals: &mut Arrivals,
    started: BootTime,
) -> Option<BootTime> {
    let first_try = clock::now();
    let shared = &leadership.shared;
    let mut unavailable = false;
    loop {
        let began = clock::now();
        Counters::count(&shared.counters.appends);
        let append = request_advice_during(
            leadership,
            store.append(Topic::Progress, records, Some(fence), None),
        );
        match arrivals.refuse_during(append, started).await {
            Ok(_) => {
                if unavailable {
                    log::info!("event=dependency_regained dependency=store topic=Progress");
                }
                leadership.confirm(began);
                let took = clock::now().ms_since(began);
                metrics::record(&shared.latencies.append, took);
                leadership.scheduler().set_record_delay(took);
                leadership.links_closed.send_replace(false);
                return Some(began);
            }
            Err(error @ (AppendError::Fenced | AppendError::OutOfOrder { .. })) => {
                leadership.depose(&format!("store ({error})"));
                return None;
            }
            Err(error) => {
                Counters::count(&shared.counters.store_errors);
                if !mem::replace(&mut unavailable, true) {
                    log::warn!(
                        "event=dependency_lost dependency=store topic=Progress error=\"{error}\""
                    );
                }
            }
        }
        if *leadership.deposed.borrow() || *shared.stopping.borrow() {
            return None;
        }
        if clock::now().ms_since(first_try) >= LINK_CLOSE_MS
            && !leadership.links_closed.send_replace(true)
        {
            log::warn!("event=links_closed epoch={} reason=store_refuses", leadership.epoch);
        }
        sleep(Duration::from_millis(RETRY_MS)).await;
    }
}

/// Waits for an append while requesting the advice that the next pass needs. Otherwise the VMs that make the calls
/// would be idle most of the time when the store is slow.
async fn request_advice_during<T>(leadership: &Leadership, append: impl Future<Output = T>) -> T {
    let mut append = pin!(append);
    let mut woken = false;
    loop {
        tokio::select! {
            result = &mut append => {
                if woken {
                    // Advice that arrived during the append requires another pass.
                    leadership.shared.wake.notify_one();
                }
                return result;
            }
            () = sleep(Duration::from_millis(ADVICE_POLL_MS)) => {}
        }
        woken = true;
        let calls = {
            let mut scheduler = leadership.scheduler();
            scheduler.request_advice(clock::now());
            scheduler.take_calls()
        };
        send_advice_calls(leadership, calls);
    }
}

/// Sends the starts of a recorded batch, announces its ended jobs, and allows its run ends to be acknowledged.
fn finish_batch(leadership: &Leadership, batch: Batch) {
    leadership.scheduler().mark_recorded(&batch.acks);
    let of = |phase| {
        let ended = batch.records.iter().filter(move |(_, progress)| progress.phase == phase);
        ended.map(|(id, _)| *id).collect::<Vec<JobId>>()
    };
    let ended = EndedJobs { completed: of(JobPhase::Completed), failed: of(JobPhase::Failed) };
    if ended != EndedJobs::default() {
        leadership.links().announce(&Arc::new(ended));
    }
    workers::send_starts(leadership, batch.commands);
    leadership.recorded.send_modify(|count| *count += 1);
}
