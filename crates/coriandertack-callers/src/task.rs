//! The routing task: one for all services, because they share the slots of the workers.
//!
//! It owns the decisions ([`Dispatcher`]) and the channels of the connections. It takes requests and
//! reports, asks the decisions what to do, and never waits for anything else.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
};

use {
    coriandertack_core::{
        code::Code,
        keys::{Offset, Session},
        message::{CallResponse, Instance},
        node::Node,
        routing::{
            RequestKey, UpstreamKey,
            admission::MAX_EXPIRY_INTERVAL,
            dispatcher::{Attempt, AttemptOutcome, Dispatcher, NextAction, RequestInfo},
        },
    },
    coriandertack_workers::upstream::{
        self, ConnectionKey, Counters, Exchange, Fault, Line, News, Report,
    },
    slotmap::{SecondaryMap, SlotMap},
    tokio::{
        sync::{mpsc, oneshot, watch},
        time::{Duration, Instant, MissedTickBehavior, interval},
    },
};

use crate::router::{Keys, Members, lock};

/// How often the share is checked while others have not confirmed the membership.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(20);

/// A request for the routing task.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) service: Arc<str>,
    pub(crate) class: Arc<str>,
    pub(crate) key: Option<Arc<str>>,
    pub(crate) repeatable: bool,
    /// Whether it may be sent only while the VM may act on its copy of the state.
    pub(crate) guarded: bool,
    pub(crate) until: Instant,
    pub(crate) body: Arc<[u8]>,
    pub(crate) reply: oneshot::Sender<Result<CallResponse, Code>>,
}

/// A connection to a worker.
#[derive(Debug)]
struct Connection {
    upstream: UpstreamKey,
    queue: mpsc::Sender<Exchange>,
}

/// Connections to one worker.
#[derive(Debug, Default)]
struct Pool {
    idle: Vec<ConnectionKey>,
    /// Connections whose task has not ended, those that are closing included.
    open: u32,
    closing: u32,
}

impl Pool {
    /// Returns how many connections must be closed to keep to a share.
    fn surplus(&self, share: u32) -> u32 {
        (self.open - self.closing).saturating_sub(share)
    }
}

struct Task {
    node: Arc<Node>,
    dispatcher: Dispatcher,
    jobs: SecondaryMap<RequestKey, Job>,
    connections: SlotMap<ConnectionKey, Connection>,
    pools: SecondaryMap<UpstreamKey, Pool>,
    reports: mpsc::UnboundedSender<Report>,
    counters: Arc<Counters>,
    keys: Arc<Mutex<Keys>>,
    members: Members,
}

/// Routes requests until the router is dropped and everything has ended.
pub(crate) async fn run(
    node: Arc<Node>,
    mut queue: mpsc::Receiver<Job>,
    busy: watch::Sender<usize>,
    counters: Arc<Counters>,
    keys: Arc<Mutex<Keys>>,
) {
    let (reports, mut news) = mpsc::unbounded_channel();
    let mut routes = node.instances.subscribe();
    let mut applied = node.applied_offset.subscribe();
    let mut share = node.short_percent.subscribe();
    let mut task = Task {
        dispatcher: Dispatcher::new(node.info.zone.as_str().into()),
        jobs: SecondaryMap::new(),
        connections: SlotMap::with_key(),
        pools: SecondaryMap::new(),
        reports,
        counters,
        keys,
        members: Members::default(),
        node,
    };
    task.dispatcher.short_percent = *share.borrow_and_update();
    task.update(&mut routes);
    task.follow();
    let mut expiry = interval(MAX_EXPIRY_INTERVAL);
    expiry.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut confirm = interval(CONFIRM_INTERVAL);
    confirm.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut open = true;
    while open || task.dispatcher.request_count() > 0 {
        let queued = task.dispatcher.queues.queued_count() > 0;
        tokio::select! {
            Some(report) = news.recv() => task.report(report),
            job = queue.recv(), if open => match job {
                Some(job) => task.offer(job),
                None => open = false,
            },
            Ok(()) = routes.changed() => task.update(&mut routes),
            Ok(()) = applied.changed() => task.follow(),
            Ok(()) = share.changed() => task.dispatcher.short_percent = *share.borrow_and_update(),
            _ = expiry.tick(), if queued => task.expire(),
            _ = confirm.tick(), if task.is_unsettled() => task.settle(),
        }
        publish(&busy, task.dispatcher.request_count());
    }
}

fn publish(busy: &watch::Sender<usize>, requests: usize) {
    busy.send_if_modified(|known| std::mem::replace(known, requests) != requests);
}

impl Task {
    /// Takes over the instances.
    fn update(&mut self, routes: &mut watch::Receiver<Arc<Vec<Instance>>>) {
        let instances = Arc::clone(&routes.borrow_and_update());
        self.dispatcher.update(&instances);
        self.close_surplus();
        self.start_all();
    }

    /// Takes over the membership.
    fn follow(&mut self) {
        let members = Members::read(&self.node);
        let me = members.me.unwrap_or_default();
        if self.dispatcher.shares.observe(members.offset, me, &members.sessions) {
            self.update_shares();
        }
        lock(&self.keys).history.observe(&members.sessions, Instant::now());
        self.members = members;
        self.settle();
    }

    fn update_shares(&mut self) {
        self.dispatcher.table.update_shares(&self.dispatcher.shares);
        self.close_surplus();
    }

    fn is_unsettled(&self) -> bool {
        !self.dispatcher.shares.is_confirmed()
            || *self.node.confirmed_offset.borrow() < self.members.offset
    }

    /// Applies the share, and confirms it to the others once nothing exceeds it.
    fn settle(&mut self) {
        let settled: BTreeMap<Session, Offset> = self.node.with(|shared| {
            let links = &shared.links;
            let settled = shared.state.vms.iter();
            settled
                .filter_map(|(key, vm)| Some((vm.session, links.get(key)?.confirmed_offset)))
                .collect()
        });
        let grew = self.dispatcher.shares.confirm(|session| settled.get(&session).copied());
        if grew {
            self.update_shares();
            self.start_all();
        }
        if self.is_within_share() {
            let offset = self.members.offset;
            self.node
                .confirmed_offset
                .send_if_modified(|known| std::mem::replace(known, offset) != offset);
        }
    }

    fn is_within_share(&self) -> bool {
        self.dispatcher.table.is_within_share()
            && self.pools.iter().all(|(key, pool)| {
                let upstream = self.dispatcher.table.upstreams.get(key);
                upstream.is_none_or(|upstream| pool.open <= upstream.share.connections)
            })
    }

    /// Closes idle connections beyond the share, and all to workers that are gone.
    fn close_surplus(&mut self) {
        let upstreams: Vec<UpstreamKey> = self.pools.keys().collect();
        for upstream in upstreams {
            self.trim(upstream);
        }
    }

    fn trim(&mut self, upstream: UpstreamKey) {
        let share = self.dispatcher.table.upstreams.get(upstream);
        let share = share.map_or(0, |upstream| upstream.share.connections);
        let Some(pool) = self.pools.get_mut(upstream) else {
            return;
        };
        while pool.surplus(share) > 0 {
            let Some(connection) = pool.idle.pop() else {
                return;
            };
            pool.closing += 1;
            // Without its channel the task of the connection ends and reports that.
            self.connections[connection].queue = mpsc::channel(1).0;
        }
    }

    fn offer(&mut self, job: Job) {
        let now = Instant::now();
        let offer = RequestInfo {
            service: &job.service,
            class: &job.class,
            until: job.until,
            repeatable: job.repeatable,
        };
        match self.dispatcher.admit(&offer, now) {
            Err(code) => answer(job, Err(code)),
            Ok(key) => {
                self.jobs.insert(key, job);
                while let Some(attempt) = self.dispatcher.start_for(key, now) {
                    self.start(attempt);
                }
            }
        }
    }

    fn start_all(&mut self) {
        let now = Instant::now();
        while let Some(attempt) = self.dispatcher.start_any(now) {
            self.start(attempt);
        }
    }

    fn start_on(&mut self, upstream: UpstreamKey) {
        let now = Instant::now();
        while let Some(attempt) = self.dispatcher.start_on(upstream, now) {
            self.start(attempt);
        }
    }

    /// Hands a request to an idle connection, or to a new one.
    fn start(&mut self, attempt: Attempt) {
        let job = &self.jobs[attempt.request];
        if job.reply.is_closed() {
            // The caller has gone, and nothing has been sent in this attempt.
            self.abandon(attempt.request, Code::NoUpstream);
            return;
        }
        if job.guarded && !self.node.is_valid() {
            self.abandon(attempt.request, Code::LogUnavailable);
            return;
        }
        let exchange = Exchange {
            request: attempt.request,
            address: self.dispatcher.table.upstreams[attempt.upstream].address,
            service: Arc::clone(&job.service),
            key: job.key.clone(),
            body: Arc::clone(&job.body),
            until: attempt.until,
        };
        let key = match self.pools.entry(attempt.upstream) {
            Some(pool) => pool.or_default().idle.pop(),
            None => None,
        };
        let key = key.unwrap_or_else(|| self.open(attempt.upstream));
        if let Err(refused) = self.connections[key].queue.try_send(exchange) {
            log::error!("event=connection_lost error=\"{refused}\"");
            self.abandon(attempt.request, Code::NoUpstream);
        }
    }

    fn abandon(&mut self, request: RequestKey, otherwise: Code) {
        let code = self.dispatcher.abandon(request, otherwise);
        self.answer(request, Err(code));
    }

    /// Starts the task of a new connection.
    ///
    /// Busy connections never outnumber the slots in use, and the share has at least one connection
    /// for each slot, so this stays within the share of connections.
    fn open(&mut self, upstream: UpstreamKey) -> ConnectionKey {
        let (queue, exchanges) = mpsc::channel(1);
        let key = self.connections.insert(Connection { upstream, queue });
        self.pools[upstream].open += 1;
        let line = Line {
            key,
            prefix: self.node.author.0,
            queue: exchanges,
            reports: self.reports.clone(),
            counters: Arc::clone(&self.counters),
        };
        tokio::spawn(upstream::run(line));
        key
    }

    fn report(&mut self, report: Report) {
        let Some(connection) = self.connections.get(report.connection) else {
            return;
        };
        let upstream = connection.upstream;
        match report.news {
            News::Overdue(request) => {
                self.dispatcher.mark_overdue(request, Instant::now());
                if let Some(job) = self.jobs.remove(request) {
                    answer(job, Err(Code::OutcomeUnknown));
                }
            }
            News::Ended(request, result) => {
                self.release(report.connection, upstream);
                self.end(request, upstream, result);
            }
            News::Closed => {
                self.connections.remove(report.connection);
                if let Some(pool) = self.pools.get_mut(upstream) {
                    pool.open -= 1;
                    pool.closing -= 1;
                    if pool.open == 0 {
                        self.pools.remove(upstream);
                    }
                }
            }
        }
    }

    fn release(&mut self, connection: ConnectionKey, upstream: UpstreamKey) {
        if let Some(pool) = self.pools.get_mut(upstream) {
            pool.idle.push(connection);
        }
        self.trim(upstream);
    }

    /// Judges an attempt, answers the caller if it was the last one, and fills the free slot.
    fn end(
        &mut self,
        request: RequestKey,
        upstream: UpstreamKey,
        result: Result<CallResponse, Fault>,
    ) {
        let outcome = match result {
            Ok(_) | Err(Fault::Late) => AttemptOutcome::Answered,
            Err(Fault::NotSent) => AttemptOutcome::NotSent,
            Err(Fault::NotRun) => AttemptOutcome::NotRun,
            Err(Fault::MayHaveRun) => AttemptOutcome::MayHaveRun,
        };
        let now = Instant::now();
        match (self.dispatcher.end_attempt(request, outcome, now), result) {
            (NextAction::Respond, Ok(content)) => self.answer(request, Ok(content)),
            (NextAction::Respond, Err(_)) => self.answer(request, Err(Code::OutcomeUnknown)),
            (NextAction::Refuse(code), _) => self.answer(request, Err(code)),
            (NextAction::Retry, _) => {
                while let Some(attempt) = self.dispatcher.start_for(request, now) {
                    self.start(attempt);
                }
            }
        }
        self.start_on(upstream);
    }

    fn answer(&mut self, request: RequestKey, result: Result<CallResponse, Code>) {
        if let Some(job) = self.jobs.remove(request) {
            answer(job, result);
        }
    }

    /// Refuses what can no longer be answered in time.
    fn expire(&mut self) {
        let now = Instant::now();
        for (request, code) in self.dispatcher.expire(now) {
            self.answer(request, Err(code));
        }
        // Slots come back without a report when an ejection or a pause after a refusal is over.
        self.start_all();
    }
}

fn answer(job: Job, result: Result<CallResponse, Code>) {
    // A caller that has gone needs no answer.
    let _ = job.reply.send(result);
}
