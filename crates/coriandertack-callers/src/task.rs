//! The routing task: one for all services, because they share the slots of the workers.
//!
//! It owns the decisions ([`Dispatch`]) and the channels of the connections. It takes requests and
//! reports, asks the decisions what to do, and never waits for anything else.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
};

use {
    coriandertack_core::{
        code::Code,
        keys::{Offset, Session},
        message::{Answer, Instance},
        node::Node,
        route::{
            RequestKey, UpstreamKey,
            admission::EXPIRY_INTERVAL,
            dispatch::{Dispatch, Ending, Offer, Start, Step},
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
    pub(crate) reply: oneshot::Sender<Result<Answer, Code>>,
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
    dispatch: Dispatch,
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
    let mut routes = node.routes.subscribe();
    let mut applied = node.applied.subscribe();
    let mut share = node.short_share.subscribe();
    let mut task = Task {
        dispatch: Dispatch::new(node.info.zone.as_str().into()),
        jobs: SecondaryMap::new(),
        connections: SlotMap::with_key(),
        pools: SecondaryMap::new(),
        reports,
        counters,
        keys,
        members: Members::default(),
        node,
    };
    task.dispatch.kept = *share.borrow_and_update();
    task.update(&mut routes);
    task.follow();
    let mut expiry = interval(EXPIRY_INTERVAL);
    expiry.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut confirm = interval(CONFIRM_INTERVAL);
    confirm.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut open = true;
    while open || task.dispatch.requests() > 0 {
        let queued = task.dispatch.queues.queued() > 0;
        tokio::select! {
            Some(report) = news.recv() => task.report(report),
            job = queue.recv(), if open => match job {
                Some(job) => task.offer(job),
                None => open = false,
            },
            Ok(()) = routes.changed() => task.update(&mut routes),
            Ok(()) = applied.changed() => task.follow(),
            Ok(()) = share.changed() => task.dispatch.kept = *share.borrow_and_update(),
            _ = expiry.tick(), if queued => task.expire(),
            _ = confirm.tick(), if task.is_unsettled() => task.settle(),
        }
        publish(&busy, task.dispatch.requests());
    }
}

fn publish(busy: &watch::Sender<usize>, requests: usize) {
    busy.send_if_modified(|known| std::mem::replace(known, requests) != requests);
}

impl Task {
    /// Takes over the instances.
    fn update(&mut self, routes: &mut watch::Receiver<Arc<Vec<Instance>>>) {
        let instances = Arc::clone(&routes.borrow_and_update());
        self.dispatch.update(&instances);
        self.close_surplus();
        self.start_all();
    }

    /// Takes over the membership.
    fn follow(&mut self) {
        let members = Members::read(&self.node);
        let me = members.me.unwrap_or_default();
        if self.dispatch.shares.observe(members.offset, me, &members.sessions) {
            self.reshare();
        }
        lock(&self.keys).history.observe(&members.sessions, Instant::now());
        self.members = members;
        self.settle();
    }

    fn reshare(&mut self) {
        self.dispatch.table.reshare(&self.dispatch.shares);
        self.close_surplus();
    }

    fn is_unsettled(&self) -> bool {
        !self.dispatch.shares.is_settled() || *self.node.settled.borrow() < self.members.offset
    }

    /// Applies the share, and confirms it to the others once nothing exceeds it.
    fn settle(&mut self) {
        let settled: BTreeMap<Session, Offset> = self.node.with(|inner| {
            let links = &inner.links;
            let settled = inner.state.vms.iter();
            settled.filter_map(|(key, vm)| Some((vm.session, links.get(key)?.settled))).collect()
        });
        let grew = self.dispatch.shares.confirm(|session| settled.get(&session).copied());
        if grew {
            self.reshare();
            self.start_all();
        }
        if self.is_within_share() {
            let offset = self.members.offset;
            self.node.settled.send_if_modified(|known| std::mem::replace(known, offset) != offset);
        }
    }

    fn is_within_share(&self) -> bool {
        self.dispatch.table.is_within_share()
            && self.pools.iter().all(|(key, pool)| {
                let upstream = self.dispatch.table.upstreams.get(key);
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
        let share = self.dispatch.table.upstreams.get(upstream);
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
        let offer = Offer {
            service: &job.service,
            class: &job.class,
            until: job.until,
            repeatable: job.repeatable,
        };
        match self.dispatch.offer(&offer, now) {
            Err(code) => answer(job, Err(code)),
            Ok(key) => {
                self.jobs.insert(key, job);
                while let Some(start) = self.dispatch.start_for(key, now) {
                    self.start(start);
                }
            }
        }
    }

    fn start_all(&mut self) {
        let now = Instant::now();
        while let Some(start) = self.dispatch.start_any(now) {
            self.start(start);
        }
    }

    fn start_on(&mut self, upstream: UpstreamKey) {
        let now = Instant::now();
        while let Some(start) = self.dispatch.start_on(upstream, now) {
            self.start(start);
        }
    }

    /// Hands a request to an idle connection, or to a new one.
    fn start(&mut self, start: Start) {
        let job = &self.jobs[start.request];
        if job.reply.is_closed() {
            // The caller has gone, and nothing has been sent in this attempt.
            self.abandon(start.request, Code::NoUpstream);
            return;
        }
        if job.guarded && !self.node.is_valid() {
            self.abandon(start.request, Code::LogUnavailable);
            return;
        }
        let exchange = Exchange {
            request: start.request,
            address: self.dispatch.table.upstreams[start.upstream].address,
            service: Arc::clone(&job.service),
            key: job.key.clone(),
            body: Arc::clone(&job.body),
            until: start.until,
        };
        let key = match self.pools.entry(start.upstream) {
            Some(pool) => pool.or_default().idle.pop(),
            None => None,
        };
        let key = key.unwrap_or_else(|| self.open(start.upstream));
        if let Err(refused) = self.connections[key].queue.try_send(exchange) {
            log::error!("event=connection_lost error=\"{refused}\"");
            self.abandon(start.request, Code::NoUpstream);
        }
    }

    fn abandon(&mut self, request: RequestKey, otherwise: Code) {
        let code = self.dispatch.abandon(request, otherwise);
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
                self.dispatch.overdue(request, Instant::now());
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
    fn end(&mut self, request: RequestKey, upstream: UpstreamKey, result: Result<Answer, Fault>) {
        let ending = match result {
            Ok(_) | Err(Fault::Late) => Ending::Answered,
            Err(Fault::NotSent) => Ending::NotSent,
            Err(Fault::NotRun) => Ending::NotRun,
            Err(Fault::MayHaveRun) => Ending::MayHaveRun,
        };
        let now = Instant::now();
        match (self.dispatch.end(request, ending, now), result) {
            (Step::Answer, Ok(content)) => self.answer(request, Ok(content)),
            (Step::Answer, Err(_)) => self.answer(request, Err(Code::OutcomeUnknown)),
            (Step::Refuse(code), _) => self.answer(request, Err(code)),
            (Step::Again, _) => {
                while let Some(start) = self.dispatch.start_for(request, now) {
                    self.start(start);
                }
            }
        }
        self.start_on(upstream);
    }

    fn answer(&mut self, request: RequestKey, result: Result<Answer, Code>) {
        if let Some(job) = self.jobs.remove(request) {
            answer(job, result);
        }
    }

    /// Refuses what can no longer be answered in time.
    fn expire(&mut self) {
        let now = Instant::now();
        for (request, code) in self.dispatch.expire(now) {
            self.answer(request, Err(code));
        }
        // Slots come back without a report when an ejection or a pause after a refusal is over.
        self.start_all();
    }
}

fn answer(job: Job, result: Result<Answer, Code>) {
    // A caller that has gone needs no answer.
    let _ = job.reply.send(result);
}
