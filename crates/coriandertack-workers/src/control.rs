//! The task of one worker.
//!
//! The task first makes contact: it raises the worker's epoch, so that a former owner can no longer
//! change anything, reads the worker's list and gives it to the owner. Then it serves: it sends what
//! is queued, renews the leases and forwards events, until contact is lost and has to be made again.
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
    client::{Client, Failure},
    clock::Clock,
    news::{End, Finish, WorkerNews},
    wire::{self, Effect, Order, Tasks},
};

/// Term of a renewed lease.
pub const TERM: Duration = Duration::from_secs(30);

/// Time between renewals: two may be lost before a lease ends.
pub const RENEW_EVERY: Duration = Duration::from_secs(10);

/// How long leases are renewed without a valid copy of the state.
pub const OUTAGE_LIMIT: Duration = Duration::from_secs(2 * 60 * 60);

/// Drift of a former owner's clock over the outage limit: 1% of it.
const OUTAGE_DRIFT: Duration = Duration::from_secs(72);

/// Most commands in one request.
const MAX_COMMANDS: usize = 256;

/// Addition to the end of the last lease, 10% of the term, for the drift of the worker's clock.
const MARGIN: Duration = Duration::from_secs(3);

/// Addition to the end of a first lease, 10% of the validity, before an unanswered start counts as
/// refused.
const START_MARGIN: Duration = Duration::from_millis(300);

/// Cause reported for starts that took no effect, or whose effect a crash of the worker undid.
/// [`EndCause::Refused`] is only for what the worker itself refuses, because it counts as a sign of a
/// bad worker, and an outage of the log must not lead to quarantines.
const NOT_STARTED: EndCause = EndCause::LeaseExpired;

/// Longest time until a change of ownership is noticed. Nothing is sent without a check.
const CHECK_EVERY: Duration = Duration::from_secs(1);

/// Time between checks for the return of the validity while commands wait.
const VALID_EVERY: Duration = Duration::from_millis(50);

/// Pauses between attempts to make contact double from the first to the last of these.
const RETRY_FIRST: Duration = Duration::from_millis(100);
const RETRY_LAST: Duration = Duration::from_secs(2);

/// Runs the task of `worker` until it is no longer owned under the present epoch.
///
/// The owner must go on reading `events`: the task does not renew leases while the channel is full.
pub async fn run(
    node: Arc<Node>,
    worker: WorkerKey,
    commands: mpsc::UnboundedReceiver<WorkerCommand>,
    events: mpsc::Sender<(WorkerKey, WorkerNews)>,
) -> Finish {
    let known = node.with(|shared| {
        let known = shared.state.workers.get(worker);
        known.map(|known| (known.info.name.clone(), known.owner))
    });
    let Some((name, owner)) = known else {
        return Finish::Gone;
    };
    let now = Instant::now();
    let mut control = Control {
        node,
        worker,
        name,
        epoch: owner.epoch,
        commands,
        events,
        pending: Vec::new(),
        known: BTreeSet::new(),
        open: BTreeMap::new(),
        after: 0,
        listed: false,
        renew_at: now,
        // Until the list is read, the former owner may have renewed for as long as an outage allows.
        // Its validity ended before the hold-off was over.
        lease_end: owner.ready_at.max(now) + OUTAGE_LIMIT + OUTAGE_DRIFT + TERM,
    };
    let finish = control.work().await;
    control.end_unsent().await;
    log::info!("event=worker_released worker={} reason={finish}", control.name);
    finish
}

/// What the state says of the worker at one moment.
#[derive(Clone, Copy, Debug)]
struct Standing {
    address: SocketAddr,
    /// End of the validity.
    valid: Instant,
    /// Whether commands may be sent now.
    acts: bool,
    /// Whether leases may be renewed now.
    renews: bool,
}

/// Why serving stopped.
#[derive(Debug)]
enum Stop {
    Finish(Finish),
    Lost(anyhow::Error),
}

impl From<Finish> for Stop {
    fn from(finish: Finish) -> Self {
        Self::Finish(finish)
    }
}

impl From<Failure> for Stop {
    fn from(failure: Failure) -> Self {
        match failure {
            Failure::Stale => Self::Finish(Finish::Superseded),
            Failure::Lost(error) => Self::Lost(error),
        }
    }
}

/// What the task keeps from one request to the next.
struct Control {
    node: Arc<Node>,
    worker: WorkerKey,
    name: String,
    epoch: Epoch,
    commands: mpsc::UnboundedReceiver<WorkerCommand>,
    events: mpsc::Sender<(WorkerKey, WorkerNews)>,
    /// Commands not sent yet.
    pending: Vec<WorkerCommand>,
    /// Leases that were started and whose ends have not been forwarded.
    known: BTreeSet<LeaseId>,
    /// Starts without an answer, with the ends of their first leases.
    open: BTreeMap<LeaseId, Instant>,
    /// Number of the last event that was forwarded.
    after: u64,
    listed: bool,
    renew_at: Instant,
    /// End of the last lease that was given.
    lease_end: Instant,
}

impl Control {
    async fn work(&mut self) -> Finish {
        loop {
            let (client, clock) = match self.contact().await {
                Ok(contact) => contact,
                Err(finish) => return finish,
            };
            match self.serve(&client, clock).await {
                Stop::Finish(finish) => return finish,
                Stop::Lost(error) => {
                    log::warn!("event=worker_lost worker={} error=\"{error:#}\"", self.name);
                }
            }
        }
    }

    fn standing(&self) -> Result<Standing, Finish> {
        let now = Instant::now();
        self.node.with(|shared| {
            let me = shared.state.vm_of(self.node.author);
            let known = shared.state.workers.get(self.worker).ok_or(Finish::Gone)?;
            let owner = known.owner;
            if me.is_none() || owner.vm != me || owner.epoch != self.epoch {
                return Err(Finish::Disowned);
            }
            let valid = shared.validity.deadline();
            Ok(Standing {
                address: known.address(),
                valid,
                acts: now >= owner.ready_at && now < valid,
                renews: now >= owner.ready_at && now < valid + OUTAGE_LIMIT,
            })
        })
    }

    /// Makes contact and reports the worker's list, however long that takes.
    async fn contact(&mut self) -> Result<(Client, Clock), Finish> {
        let mut retry = RETRY_FIRST;
        let mut reported = false;
        let mut client = Client::new(self.standing()?.address);
        loop {
            let standing = self.standing()?;
            if !(standing.acts || self.listed && standing.renews) {
                self.pause(Instant::now() + VALID_EVERY).await?;
                continue;
            }
            if client.address != standing.address {
                client = Client::new(standing.address);
            }
            match self.list(&client).await {
                Ok(Some(clock)) => return Ok((client, clock)),
                Ok(None) => {
                    let settled = self.open.values().max().copied();
                    self.pause(settled.unwrap_or_else(Instant::now) + START_MARGIN).await?;
                    continue;
                }
                Err(Stop::Finish(finish)) => return Err(finish),
                Err(Stop::Lost(error)) if reported => {
                    log::debug!("event=worker_silent worker={} error=\"{error:#}\"", self.name);
                }
                Err(Stop::Lost(error)) => {
                    log::warn!("event=worker_unreachable worker={} error=\"{error:#}\"", self.name);
                    let lease_end = self.lease_end + MARGIN;
                    self.tell(WorkerNews::Unreachable { lease_end }).await?;
                    reported = true;
                }
            }
            self.pause(Instant::now() + retry).await?;
            retry = (retry * 2).min(RETRY_LAST);
        }
    }

    /// Reads and reports the list. Returns nothing if it does not settle the unanswered starts yet.
    async fn list(&mut self, client: &Client) -> Result<Option<Clock>, Stop> {
        // Without commands the request only raises the epoch: what the list shows afterwards can no
        // longer be changed by a former owner.
        client.command(self.epoch.0, Vec::new()).await?;
        let asked = Instant::now();
        let (clock, tasks) = client.tasks().await?;
        let running = tasks.running.iter().map(|task| task.lease);
        let ended = tasks.ended.iter().map(|end| end.lease);
        let listed: BTreeSet<LeaseId> = running.chain(ended).collect();
        // Noted even if the list is read again, since the worker can crash in between.
        self.known.extend(self.open.keys().filter(|lease| listed.contains(lease)));
        self.open.retain(|lease, _| !listed.contains(lease));
        if self.open.values().any(|&until| asked < until + START_MARGIN) {
            return Ok(None);
        }
        let ends = tasks.running.iter().map(|task| clock.reaches(task.until_ms)).max();
        let known = if self.listed { self.lease_end } else { asked };
        self.lease_end = ends.map_or(known, |end| end.max(known));
        let lost: Vec<LeaseId> = self.known.difference(&listed).copied().collect();
        self.known = listed;
        self.report(tasks, lost).await?;
        self.listed = true;
        self.after = 0;
        self.renew_at = asked;
        Ok(Some(clock))
    }

    async fn report(&mut self, tasks: Tasks, lost: Vec<LeaseId>) -> Result<(), Finish> {
        let leaving = tasks.leaving;
        log::info!(
            "event=worker_listed worker={} running={} ended={} lost={} void={}",
            self.name,
            tasks.running.len(),
            tasks.ended.len(),
            lost.len(),
            self.open.len(),
        );
        let running = tasks.running.into_iter().map(Into::into).collect();
        let ended = tasks.ended.into_iter().map(Into::into).collect();
        self.tell(WorkerNews::Listed { running, ended }).await?;
        for lease in lost {
            // The worker has restarted, which ended the lease as if it had not been renewed.
            self.tell_end(lease, EndCause::LeaseExpired).await?;
        }
        for lease in std::mem::take(&mut self.open).into_keys() {
            self.tell_end(lease, NOT_STARTED).await?;
        }
        if leaving {
            self.tell(WorkerNews::Event(WorkerEvent::Leaving)).await?;
        }
        Ok(())
    }

    /// Sends, renews and forwards until contact is lost.
    async fn serve(&mut self, client: &Client, mut clock: Clock) -> Stop {
        let mut poll = pin!(client.events(self.after));
        loop {
            let wake = match self.send(client, &mut clock).await {
                Ok(wake) => wake,
                Err(stop) => return stop,
            };
            // The fixed order makes runs repeatable. None starves another: the next poll takes a
            // round trip, and every round sends what is due.
            tokio::select! {
                biased;
                answer = &mut poll => match self.forward(answer).await {
                    Ok(()) => poll.set(client.events(self.after)),
                    Err(stop) => return stop,
                },
                count = self.commands.recv_many(&mut self.pending, MAX_COMMANDS) => {
                    if count == 0 {
                        return Finish::Released.into();
                    }
                }
                () = sleep_until(wake) => {}
            }
        }
    }

    /// Sends what is queued and due, if the state allows it now. Returns when to look again.
    async fn send(&mut self, client: &Client, clock: &mut Clock) -> Result<Instant, Stop> {
        loop {
            self.drop_late().await?;
            let standing = self.standing()?;
            if standing.address != client.address {
                return Err(Stop::Lost(anyhow::anyhow!("the address has changed")));
            }
            let now = Instant::now();
            let batch = match standing.acts {
                true => self.pending.drain(..self.pending.len().min(MAX_COMMANDS)).collect(),
                false => Vec::new(),
            };
            let renews = standing.renews && now >= self.renew_at;
            if batch.is_empty() && !renews {
                let check = if self.pending.is_empty() { CHECK_EVERY } else { VALID_EVERY };
                let renew_at = if standing.renews { self.renew_at } else { now + CHECK_EVERY };
                return Ok(renew_at.min(now + check));
            }
            *clock = self.post(client, *clock, batch, standing, now).await?;
        }
    }

    /// Sends one request with `batch` and, if there is a start or it is time, a renewal.
    async fn post(
        &mut self,
        client: &Client,
        clock: Clock,
        batch: Vec<WorkerCommand>,
        standing: Standing,
        now: Instant,
    ) -> Result<Clock, Stop> {
        let mut orders: Vec<Order<'_>> =
            batch.iter().map(|command| wire::order(command, clock, standing.valid)).collect();
        let starts = batch.iter().any(|command| matches!(command, WorkerCommand::Start { .. }));
        if starts || now >= self.renew_at {
            // A start is accepted only while its first lease lasts; once accepted it needs a full one.
            orders.push(Order::Renew { until_ms: clock.at(now + TERM) });
            self.renew_at = now + RENEW_EVERY;
            self.lease_end = self.lease_end.max(now + TERM);
        }
        match client.command(self.epoch.0, orders).await {
            Ok((clock, results)) => {
                self.note(&batch, &results).await?;
                Ok(clock)
            }
            Err(failure) => {
                self.keep(batch, standing.valid);
                Err(failure.into())
            }
        }
    }

    /// Notes the answers to commands.
    async fn note(&mut self, batch: &[WorkerCommand], results: &[Effect]) -> Result<(), Finish> {
        for (command, done) in batch.iter().zip(results) {
            match (command, done) {
                (WorkerCommand::Start { spec, .. }, Effect::Done | Effect::Known) => {
                    self.known.insert(spec.lease);
                }
                (WorkerCommand::Start { spec, .. }, Effect::Refused | Effect::Unknown) => {
                    self.tell_end(spec.lease, EndCause::Refused).await?;
                }
                (&WorkerCommand::Stop(lease), Effect::Unknown) => {
                    self.tell_end(lease, EndCause::Stopped).await?;
                }
                _ => {}
            }
        }
        Ok(())
    }

    /// Keeps commands whose request got no answer. All but starts can be sent again.
    fn keep(&mut self, batch: Vec<WorkerCommand>, valid: Instant) {
        let mut again = Vec::new();
        for command in batch {
            match command {
                WorkerCommand::Start { spec, until } => {
                    self.open.insert(spec.lease, until.min(valid));
                }
                command => again.push(command),
            }
        }
        again.append(&mut self.pending);
        self.pending = again;
    }

    async fn forward(&mut self, answer: Result<Vec<wire::Event>, Failure>) -> Result<(), Stop> {
        for event in answer? {
            self.after = self.after.max(event.seq);
            let event = WorkerEvent::from(event);
            if let WorkerEvent::Ended { lease, .. } = event {
                self.known.remove(&lease);
            }
            self.tell(WorkerNews::Event(event)).await?;
        }
        Ok(())
    }

    /// Waits until `until` and collects commands meanwhile.
    async fn pause(&mut self, until: Instant) -> Result<(), Finish> {
        loop {
            self.drop_late().await?;
            tokio::select! {
                biased;
                () = sleep_until(until) => return Ok(()),
                count = self.commands.recv_many(&mut self.pending, MAX_COMMANDS) => {
                    if count == 0 {
                        return Err(Finish::Released);
                    }
                }
            }
        }
    }

    /// Drops queued starts whose first lease is over; they certainly do not run.
    async fn drop_late(&mut self) -> Result<(), Finish> {
        let now = Instant::now();
        let late = |command: &mut WorkerCommand| match command {
            WorkerCommand::Start { until, .. } => *until <= now,
            _ => false,
        };
        let late: Vec<WorkerCommand> = self.pending.extract_if(.., late).collect();
        for command in late {
            if let WorkerCommand::Start { spec, .. } = command {
                self.tell_end(spec.lease, NOT_STARTED).await?;
            }
        }
        Ok(())
    }

    /// Reports the starts that were never sent, so that their homes need not wait for a successor.
    async fn end_unsent(&mut self) {
        self.commands.close();
        while let Ok(command) = self.commands.try_recv() {
            self.pending.push(command);
        }
        for command in std::mem::take(&mut self.pending) {
            if let WorkerCommand::Start { spec, .. } = command
                && self.tell_end(spec.lease, NOT_STARTED).await.is_err()
            {
                // Nobody listens any more.
                return;
            }
        }
    }

    async fn tell_end(&mut self, lease: LeaseId, cause: EndCause) -> Result<(), Finish> {
        self.known.remove(&lease);
        self.tell(WorkerNews::Event(End::bare(lease, cause).into())).await
    }

    async fn tell(&self, news: WorkerNews) -> Result<(), Finish> {
        self.events.send((self.worker, news)).await.map_err(|_| Finish::Released)
    }
}
