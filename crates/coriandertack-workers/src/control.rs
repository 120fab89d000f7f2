//! The control task of one worker.
//!
//! The task first connects: it raises the worker's epoch, so that commands of a former owner are
//! refused from then on, reads the worker's list of tasks and passes it to the owner. Then it
//! serves: it sends queued commands, renews leases and forwards events. When a request to the
//! worker fails, the task connects again.
//!
//! See docs/notes/workers.md.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    pin::pin,
    sync::Arc,
    time::Duration,
};

use {
    coriandertack_core::{
        keys::{Epoch, LeaseId, WorkerKey},
        message::{EndCause, WorkerCommand, WorkerEvent},
        node::Node,
    },
    tokio::{
        sync::mpsc,
        time::{Instant, sleep_until},
    },
};

use crate::{
    client::{Client, EventConnection, RequestError},
    clock::Clock,
    update::{ExitReason, LeaseEnd, WorkerUpdate},
    wire::{self, Command, CommandResult, TaskList},
};

/// Term of a lease after a renewal.
pub const LEASE_TERM: Duration = Duration::from_secs(30);

/// Time between renewals. Two in a row may be lost before a lease ends.
pub const RENEW_INTERVAL: Duration = Duration::from_secs(10);

/// How long leases are still renewed after the validity of the copy of the state has ended.
pub const OUTAGE_LIMIT: Duration = Duration::from_secs(2 * 60 * 60);

/// Most that a former owner's clock drifts during [`OUTAGE_LIMIT`]: 1% of it.
const OUTAGE_DRIFT: Duration = Duration::from_secs(72);

/// Most commands in one request, apart from the renewal.
const MAX_COMMANDS: usize = 256;

/// Added to the end of the last lease to cover the drift of the worker's clock: 10% of the term.
const LEASE_END_MARGIN: Duration = Duration::from_secs(3);

/// Added to the end of a first lease before an unanswered start counts as not accepted: 10% of the
/// validity.
const START_MARGIN: Duration = Duration::from_millis(300);

/// Cause reported for starts that had no effect, or whose effect was undone by a crash of the
/// worker.
///
/// [`EndCause::Refused`] is reserved for refusals by the worker itself, because they count towards
/// its quarantine. An outage of the log must not lead to quarantines.
const NOT_STARTED_CAUSE: EndCause = EndCause::LeaseExpired;

/// Longest time until an idle task notices a change of ownership. Ownership is also checked before
/// each request.
const OWNERSHIP_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Time between checks of the validity while it has ended and commands wait for it.
const VALIDITY_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Delay before the second attempt to connect. It doubles with each attempt up to
/// [`MAX_RETRY_DELAY`].
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Longest delay between attempts to connect.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Runs the control task of `worker` until this VM no longer owns it under the current epoch.
///
/// The owner must keep reading `events`: the task renews no leases while the channel is full.
pub async fn run(
    node: Arc<Node>,
    worker: WorkerKey,
    commands: mpsc::UnboundedReceiver<WorkerCommand>,
    events: mpsc::Sender<(WorkerKey, WorkerUpdate)>,
) -> ExitReason {
    let name_and_owner = node.with(|shared| {
        let worker = shared.state.workers.get(worker);
        worker.map(|worker| (worker.info.name.clone(), worker.owner))
    });
    let Some((name, owner)) = name_and_owner else {
        return ExitReason::Gone;
    };
    let now = Instant::now();
    let mut task = WorkerTask {
        node,
        worker,
        name,
        epoch: owner.epoch,
        commands,
        events,
        pending: Vec::new(),
        accepted: BTreeSet::new(),
        unanswered: BTreeMap::new(),
        last_seq: 0,
        is_listed: false,
        renew_at: now,
        // Until the list is read, assume that the former owner renewed leases for as long as an
        // outage allows. Its validity ended before the hold-off was over.
        lease_end: owner.ready_at.max(now) + OUTAGE_LIMIT + OUTAGE_DRIFT + LEASE_TERM,
    };
    let reason = task.run_until_exit().await;
    task.report_unsent_starts().await;
    log::info!("event=worker_released worker={} reason={reason}", task.name);
    reason
}

/// What the task may do at one moment, according to the replicated state.
#[derive(Clone, Copy, Debug)]
struct SendPermission {
    address: SocketAddr,
    /// When the validity of this VM's copy of the state ends.
    valid_until: Instant,
    /// Whether commands may be sent.
    may_send: bool,
    /// Whether leases may be renewed.
    may_renew: bool,
}

/// Why the task stopped serving.
#[derive(Debug)]
enum ServeError {
    /// The task must end.
    Exit(ExitReason),
    /// The worker did not respond, or its address changed. The task must connect again.
    ConnectionLost(anyhow::Error),
}

impl From<ExitReason> for ServeError {
    fn from(reason: ExitReason) -> Self {
        Self::Exit(reason)
    }
}

impl From<RequestError> for ServeError {
    fn from(error: RequestError) -> Self {
        match error {
            RequestError::StaleEpoch => Self::Exit(ExitReason::Superseded),
            RequestError::Unanswered(error) => Self::ConnectionLost(error),
        }
    }
}

/// What the task knows of the life of the worker that it is connected to.
struct Connected {
    clock: Clock,
    /// Ends with this life.
    events: EventConnection,
}

/// State of the control task.
struct WorkerTask {
    node: Arc<Node>,
    worker: WorkerKey,
    name: String,
    epoch: Epoch,
    commands: mpsc::UnboundedReceiver<WorkerCommand>,
    events: mpsc::Sender<(WorkerKey, WorkerUpdate)>,
    /// Commands that have not been sent, or must be sent again.
    pending: Vec<WorkerCommand>,
    /// Leases that the worker has accepted and whose ends have not been reported to the owner.
    accepted: BTreeSet<LeaseId>,
    /// Starts whose request got no response, with the ends of their first leases.
    unanswered: BTreeMap<LeaseId, Instant>,
    /// Sequence number of the last event that was forwarded.
    last_seq: u64,
    /// Whether the worker's list has been reported at least once.
    is_listed: bool,
    /// When the next renewal is due.
    renew_at: Instant,
    /// When the last lease that the worker may hold ends.
    lease_end: Instant,
}

impl WorkerTask {
    async fn run_until_exit(&mut self) -> ExitReason {
        loop {
            let (client, connected) = match self.connect().await {
                Ok(connected) => connected,
                Err(reason) => return reason,
            };
            match self.serve(&client, connected).await {
                ServeError::Exit(reason) => return reason,
                ServeError::ConnectionLost(error) => {
                    log::warn!("event=worker_lost worker={} error=\"{error:#}\"", self.name);
                }
            }
        }
    }

    /// Returns what the task may do now. Fails if this VM no longer owns the worker under the
    /// task's epoch.
    fn send_permission(&self) -> Result<SendPermission, ExitReason> {
        let now = Instant::now();
        self.node.with(|shared| {
            let own_key = shared.state.vm_of(self.node.author);
            let worker = shared.state.workers.get(self.worker).ok_or(ExitReason::Gone)?;
            let owner = worker.owner;
            if own_key.is_none() || owner.vm != own_key || owner.epoch != self.epoch {
                return Err(ExitReason::Disowned);
            }
            let valid_until = shared.validity.deadline();
            Ok(SendPermission {
                address: worker.address(),
                valid_until,
                may_send: now >= owner.ready_at && now < valid_until,
                may_renew: now >= owner.ready_at && now < valid_until + OUTAGE_LIMIT,
            })
        })
    }

    /// Connects to the worker and reports its list, and retries without limit until both succeed.
    async fn connect(&mut self) -> Result<(Client, Connected), ExitReason> {
        let mut delay = MIN_RETRY_DELAY;
        let mut is_reported = false;
        let mut client = Client::new(self.send_permission()?.address);
        loop {
            let permission = self.send_permission()?;
            if !(permission.may_send || self.is_listed && permission.may_renew) {
                self.wait_until(Instant::now() + VALIDITY_CHECK_INTERVAL).await?;
                continue;
            }
            if client.address != permission.address {
                client = Client::new(permission.address);
            }
            match self.reconcile(&client).await {
                Ok(Some(connected)) => return Ok((client, connected)),
                Ok(None) => {
                    let latest_end = self.unanswered.values().max().copied();
                    self.wait_until(latest_end.unwrap_or_else(Instant::now) + START_MARGIN).await?;
                    continue;
                }
                Err(ServeError::Exit(reason)) => return Err(reason),
                Err(ServeError::ConnectionLost(error)) if is_reported => {
                    log::debug!("event=worker_silent worker={} error=\"{error:#}\"", self.name);
                }
                Err(ServeError::ConnectionLost(error)) => {
                    log::warn!("event=worker_unreachable worker={} error=\"{error:#}\"", self.name);
                    let lease_end = self.lease_end + LEASE_END_MARGIN;
                    self.report(WorkerUpdate::Unreachable { lease_end }).await?;
                    is_reported = true;
                }
            }
            self.wait_until(Instant::now() + delay).await?;
            delay = (delay * 2).min(MAX_RETRY_DELAY);
        }
    }

    /// Reads the worker's list, and reports it together with the ends that follow from it.
    ///
    /// Returns `None` and reports nothing while an unanswered start may still take effect after the
    /// list was read.
    async fn reconcile(&mut self, client: &Client) -> Result<Option<Connected>, ServeError> {
        // Opened before the list is read, so that a restart after the list fails the next poll.
        let events = client.open_events().await?;
        // A request without commands only raises the epoch. After that, a former owner can no
        // longer change what the list shows.
        client.send_commands(self.epoch.0, Vec::new()).await?;
        let sent_at = Instant::now();
        let (clock, tasks) = client.list_tasks().await?;
        let running = tasks.running.iter().map(|task| task.lease);
        let ended = tasks.ended.iter().map(|end| end.lease);
        let listed: BTreeSet<LeaseId> = running.chain(ended).collect();
        // Recorded even if the list has to be read again, because the worker can crash in between.
        self.accepted.extend(self.unanswered.keys().filter(|lease| listed.contains(lease)));
        self.unanswered.retain(|lease, _| !listed.contains(lease));
        if self.unanswered.values().any(|&until| sent_at < until + START_MARGIN) {
            return Ok(None);
        }
        let ends = tasks.running.iter().map(|task| clock.reaches(task.until_ms)).max();
        let earliest = if self.is_listed { self.lease_end } else { sent_at };
        self.lease_end = ends.map_or(earliest, |end| end.max(earliest));
        let lost: Vec<LeaseId> = self.accepted.difference(&listed).copied().collect();
        self.accepted = listed;
        self.report_list(tasks, lost).await?;
        self.is_listed = true;
        self.last_seq = 0;
        self.renew_at = sent_at;
        Ok(Some(Connected { clock, events }))
    }

    /// Reports the list, and the ends of the `lost` leases and of the unanswered starts that are
    /// not in it.
    async fn report_list(&mut self, tasks: TaskList, lost: Vec<LeaseId>) -> Result<(), ExitReason> {
        let leaving = tasks.leaving;
        log::info!(
            "event=worker_listed worker={} running={} ended={} lost={} void={}",
            self.name,
            tasks.running.len(),
            tasks.ended.len(),
            lost.len(),
            self.unanswered.len(),
        );
        let running = tasks.running.into_iter().map(Into::into).collect();
        let ended = tasks.ended.into_iter().map(Into::into).collect();
        self.report(WorkerUpdate::Listed { running, ended }).await?;
        for lease in lost {
            // The worker has restarted. For the task that is the same as a lease that was not
            // renewed.
            self.report_end(lease, EndCause::LeaseExpired).await?;
        }
        for lease in std::mem::take(&mut self.unanswered).into_keys() {
            self.report_end(lease, NOT_STARTED_CAUSE).await?;
        }
        if leaving {
            self.report(WorkerUpdate::Event(WorkerEvent::Leaving)).await?;
        }
        Ok(())
    }

    /// Sends commands, renews leases and forwards events until the task must connect again or end.
    async fn serve(&mut self, client: &Client, connected: Connected) -> ServeError {
        let Connected { mut clock, events } = connected;
        let mut poll = pin!(events.poll(self.last_seq));
        loop {
            let wake_at = match self.send_pending(client, &mut clock).await {
                Ok(wake_at) => wake_at,
                Err(error) => return error,
            };
            // The fixed order of the branches makes runs repeatable. No branch starves another: the
            // next poll takes a round trip, and each iteration sends what is due.
            tokio::select! {
                biased;
                response = &mut poll => match self.forward_events(response).await {
                    Ok(()) => poll.set(events.poll(self.last_seq)),
                    Err(error) => return error,
                },
                count = self.commands.recv_many(&mut self.pending, MAX_COMMANDS) => {
                    if count == 0 {
                        return ExitReason::Released.into();
                    }
                }
                () = sleep_until(wake_at) => {}
            }
        }
    }

    /// Sends the pending commands and the renewal that are due, as far as they are permitted.
    /// Returns when to check again.
    async fn send_pending(
        &mut self,
        client: &Client,
        clock: &mut Clock,
    ) -> Result<Instant, ServeError> {
        loop {
            self.drop_expired_starts().await?;
            let permission = self.send_permission()?;
            if permission.address != client.address {
                return Err(ServeError::ConnectionLost(anyhow::anyhow!(
                    "the worker's address has changed"
                )));
            }
            let now = Instant::now();
            let batch = match permission.may_send {
                true => self.pending.drain(..self.pending.len().min(MAX_COMMANDS)).collect(),
                false => Vec::new(),
            };
            let renews = permission.may_renew && now >= self.renew_at;
            if batch.is_empty() && !renews {
                let interval = if self.pending.is_empty() {
                    OWNERSHIP_CHECK_INTERVAL
                } else {
                    VALIDITY_CHECK_INTERVAL
                };
                let renew_at = if permission.may_renew {
                    self.renew_at
                } else {
                    now + OWNERSHIP_CHECK_INTERVAL
                };
                return Ok(renew_at.min(now + interval));
            }
            *clock = self.send_batch(client, *clock, batch, permission, now).await?;
        }
    }

    /// Sends one request with the commands of `batch`, and with a renewal if one is due or `batch`
    /// starts a task.
    async fn send_batch(
        &mut self,
        client: &Client,
        clock: Clock,
        batch: Vec<WorkerCommand>,
        permission: SendPermission,
        now: Instant,
    ) -> Result<Clock, ServeError> {
        let mut commands: Vec<Command<'_>> = batch
            .iter()
            .map(|command| wire::encode_command(command, clock, permission.valid_until))
            .collect();
        let has_start = batch.iter().any(|command| matches!(command, WorkerCommand::Start { .. }));
        if has_start || now >= self.renew_at {
            // The first lease only bounds when a start is accepted. An accepted task needs a lease
            // of the full term.
            commands.push(Command::Renew { until_ms: clock.at(now + LEASE_TERM) });
            self.renew_at = now + RENEW_INTERVAL;
            self.lease_end = self.lease_end.max(now + LEASE_TERM);
        }
        match client.send_commands(self.epoch.0, commands).await {
            Ok((clock, results)) => {
                self.record_results(&batch, &results).await?;
                Ok(clock)
            }
            Err(error) => {
                self.requeue(batch, permission.valid_until);
                Err(error.into())
            }
        }
    }

    /// Records which starts were accepted, and reports the leases that the results show to have
    /// ended.
    async fn record_results(
        &mut self,
        batch: &[WorkerCommand],
        results: &[CommandResult],
    ) -> Result<(), ExitReason> {
        for (command, result) in batch.iter().zip(results) {
            match (command, result) {
                (WorkerCommand::Start { spec, .. }, CommandResult::Done | CommandResult::Known) => {
                    self.accepted.insert(spec.lease);
                }
                (
                    WorkerCommand::Start { spec, .. },
                    CommandResult::Refused | CommandResult::Unknown,
                ) => {
                    self.report_end(spec.lease, EndCause::Refused).await?;
                }
                (&WorkerCommand::Stop(lease), CommandResult::Unknown) => {
                    self.report_end(lease, EndCause::Stopped).await?;
                }
                _ => {}
            }
        }
        Ok(())
    }

    /// Takes back commands whose request got no response. Starts become unanswered, because only
    /// the other commands can be sent again.
    fn requeue(&mut self, batch: Vec<WorkerCommand>, valid_until: Instant) {
        let mut requeued = Vec::new();
        for command in batch {
            match command {
                WorkerCommand::Start { spec, until } => {
                    self.unanswered.insert(spec.lease, until.min(valid_until));
                }
                command => requeued.push(command),
            }
        }
        requeued.append(&mut self.pending);
        self.pending = requeued;
    }

    /// Forwards the events of one poll to the owner.
    async fn forward_events(
        &mut self,
        response: Result<Vec<wire::Event>, RequestError>,
    ) -> Result<(), ServeError> {
        for event in response? {
            self.last_seq = self.last_seq.max(event.seq);
            let event = WorkerEvent::from(event);
            if let WorkerEvent::Ended { lease, .. } = event {
                self.accepted.remove(&lease);
            }
            self.report(WorkerUpdate::Event(event)).await?;
        }
        Ok(())
    }

    /// Waits until `until`, and collects commands in the meantime.
    async fn wait_until(&mut self, until: Instant) -> Result<(), ExitReason> {
        loop {
            self.drop_expired_starts().await?;
            tokio::select! {
                biased;
                () = sleep_until(until) => return Ok(()),
                count = self.commands.recv_many(&mut self.pending, MAX_COMMANDS) => {
                    if count == 0 {
                        return Err(ExitReason::Released);
                    }
                }
            }
        }
    }

    /// Drops pending starts whose first lease has ended. They were never sent, so they do not run.
    async fn drop_expired_starts(&mut self) -> Result<(), ExitReason> {
        let now = Instant::now();
        let is_expired = |command: &mut WorkerCommand| match command {
            WorkerCommand::Start { until, .. } => *until <= now,
            _ => false,
        };
        let expired: Vec<WorkerCommand> = self.pending.extract_if(.., is_expired).collect();
        for command in expired {
            if let WorkerCommand::Start { spec, .. } = command {
                self.report_end(spec.lease, NOT_STARTED_CAUSE).await?;
            }
        }
        Ok(())
    }

    /// Reports the starts that were never sent, so that their homes don't have to wait for the next
    /// owner's list.
    async fn report_unsent_starts(&mut self) {
        self.commands.close();
        while let Ok(command) = self.commands.try_recv() {
            self.pending.push(command);
        }
        for command in std::mem::take(&mut self.pending) {
            if let WorkerCommand::Start { spec, .. } = command
                && self.report_end(spec.lease, NOT_STARTED_CAUSE).await.is_err()
            {
                // The owner has dropped the receiver.
                return;
            }
        }
    }

    /// Reports the end of a lease for which the worker has sent no event.
    async fn report_end(&mut self, lease: LeaseId, cause: EndCause) -> Result<(), ExitReason> {
        self.accepted.remove(&lease);
        self.report(WorkerUpdate::Event(LeaseEnd::without_usage(lease, cause).into())).await
    }

    async fn report(&self, update: WorkerUpdate) -> Result<(), ExitReason> {
        self.events.send((self.worker, update)).await.map_err(|_| ExitReason::Released)
    }
}
