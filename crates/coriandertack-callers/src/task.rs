//! The routing task. One task routes the requests of all services, because they share the slots of
//! the workers.
//!
//! The task owns the [`Dispatcher`], which makes the decisions, and the channels to the tasks of
//! the connections. It receives requests and reports and carries out what the dispatcher decides.
//! It never waits for a connection.

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
        self, ConnectionConfig, ConnectionEvent, ConnectionKey, ConnectionReport, Counters,
        Exchange, ExchangeError,
    },
    slotmap::{SecondaryMap, SlotMap},
    tokio::{
        sync::{mpsc, oneshot, watch},
        time::{Duration, Instant, MissedTickBehavior, interval},
    },
};

use crate::router::{Keys, Members, lock_keys};

/// Time between checks of the share while this VM or another one has not confirmed the latest
/// membership.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(20);

/// Request to route, with the channel for its response.
#[derive(Debug)]
pub(crate) struct RoutedRequest {
    pub(crate) service: Arc<str>,
    pub(crate) class: Arc<str>,
    /// Idempotency key, passed on to the worker.
    pub(crate) key: Option<Arc<str>>,
    /// Whether the request may be sent again after an attempt that may have run.
    pub(crate) repeatable: bool,
    /// Whether the request may be sent only while this VM's copy of the state is valid.
    pub(crate) needs_validity: bool,
    /// Deadline, after which the caller no longer waits for a response.
    pub(crate) until: Instant,
    pub(crate) body: Arc<[u8]>,
    pub(crate) reply: oneshot::Sender<Result<CallResponse, Code>>,
}

/// Connection to a worker.
#[derive(Debug)]
struct Connection {
    upstream: UpstreamKey,
    queue: mpsc::Sender<Exchange>,
}

/// Connections to one worker.
#[derive(Debug, Default)]
struct Pool {
    idle: Vec<ConnectionKey>,
    /// Number of connections whose task has not ended, including those that are closing.
    open: u32,
    /// Number of connections whose task has been told to end.
    closing: u32,
}

impl Pool {
    /// Returns how many connections must be closed to stay within a share.
    fn surplus(&self, share: u32) -> u32 {
        (self.open - self.closing).saturating_sub(share)
    }
}

/// State of the routing task.
struct RoutingTask {
    node: Arc<Node>,
    dispatcher: Dispatcher,
    /// Admitted requests whose callers have not been answered.
    requests: SecondaryMap<RequestKey, RoutedRequest>,
    connections: SlotMap<ConnectionKey, Connection>,
    pools: SecondaryMap<UpstreamKey, Pool>,
    reports: mpsc::UnboundedSender<ConnectionReport>,
    counters: Arc<Counters>,
    keys: Arc<Mutex<Keys>>,
    /// Membership that was last applied.
    members: Members,
}

/// Routes requests until the router is dropped and all requests have ended.
pub(crate) async fn run(
    node: Arc<Node>,
    mut queue: mpsc::Receiver<RoutedRequest>,
    request_count: watch::Sender<usize>,
    counters: Arc<Counters>,
    keys: Arc<Mutex<Keys>>,
) {
    let (reports, mut reported) = mpsc::unbounded_channel();
    let mut instances = node.instances.subscribe();
    let mut applied = node.applied_offset.subscribe();
    let mut share = node.short_percent.subscribe();
    let mut task = RoutingTask {
        dispatcher: Dispatcher::new(node.info.zone.as_str().into()),
        requests: SecondaryMap::new(),
        connections: SlotMap::with_key(),
        pools: SecondaryMap::new(),
        reports,
        counters,
        keys,
        members: Members::default(),
        node,
    };
    task.dispatcher.short_percent = *share.borrow_and_update();
    task.apply_instances(&mut instances);
    task.apply_membership();
    let mut expiry = interval(MAX_EXPIRY_INTERVAL);
    expiry.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut confirm = interval(CONFIRM_INTERVAL);
    confirm.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut is_open = true;
    while is_open || task.dispatcher.request_count() > 0 {
        let has_queued = task.dispatcher.queues.queued_count() > 0;
        tokio::select! {
            Some(report) = reported.recv() => task.handle_report(report),
            request = queue.recv(), if is_open => match request {
                Some(request) => task.admit(request),
                None => is_open = false,
            },
            Ok(()) = instances.changed() => task.apply_instances(&mut instances),
            Ok(()) = applied.changed() => task.apply_membership(),
            Ok(()) = share.changed() => task.dispatcher.short_percent = *share.borrow_and_update(),
            _ = expiry.tick(), if has_queued => task.refuse_expired(),
            _ = confirm.tick(), if task.is_unconfirmed() => task.confirm_membership(),
        }
        publish_request_count(&request_count, task.dispatcher.request_count());
    }
}

/// Publishes the number of requests, and wakes the receivers only if it has changed.
fn publish_request_count(counter: &watch::Sender<usize>, requests: usize) {
    counter.send_if_modified(|count| std::mem::replace(count, requests) != requests);
}

impl RoutingTask {
    /// Applies a change of the instances.
    fn apply_instances(&mut self, instances: &mut watch::Receiver<Arc<Vec<Instance>>>) {
        let current = Arc::clone(&instances.borrow_and_update());
        self.dispatcher.update(&current);
        self.close_surplus();
        self.start_queued();
    }

    /// Applies a change of the membership.
    fn apply_membership(&mut self) {
        let members = Members::read(&self.node);
        let own_session = members.own_session.unwrap_or_default();
        if self.dispatcher.shares.observe(members.offset, own_session, &members.sessions) {
            self.update_shares();
        }
        lock_keys(&self.keys).history.observe(&members.sessions, Instant::now());
        self.members = members;
        self.confirm_membership();
    }

    /// Passes this VM's share of the workers on to the routing table.
    fn update_shares(&mut self) {
        self.dispatcher.table.update_shares(&self.dispatcher.shares);
        self.close_surplus();
    }

    /// Returns whether this VM or another one has not confirmed the latest membership.
    fn is_unconfirmed(&self) -> bool {
        !self.dispatcher.shares.is_confirmed()
            || *self.node.confirmed_offset.borrow() < self.members.offset
    }

    /// Extends the share as far as the other VMs' confirmations allow, and confirms the membership
    /// to them once nothing here exceeds the share.
    fn confirm_membership(&mut self) {
        let confirmed: BTreeMap<Session, Offset> = self.node.with(|shared| {
            let links = &shared.links;
            let vms = shared.state.vms.iter();
            vms.filter_map(|(key, vm)| Some((vm.session, links.get(key)?.confirmed_offset)))
                .collect()
        });
        let grew = self.dispatcher.shares.confirm(|session| confirmed.get(&session).copied());
        if grew {
            self.update_shares();
            self.start_queued();
        }
        if self.is_within_share() {
            let offset = self.members.offset;
            self.node
                .confirmed_offset
                .send_if_modified(|current| std::mem::replace(current, offset) != offset);
        }
    }

    /// Returns whether the requests in flight and the open connections are within the share.
    fn is_within_share(&self) -> bool {
        self.dispatcher.table.is_within_share()
            && self.pools.iter().all(|(key, pool)| {
                let upstream = self.dispatcher.table.upstreams.get(key);
                upstream.is_none_or(|upstream| pool.open <= upstream.share.connections)
            })
    }

    /// Closes idle connections beyond the share, and all idle connections to removed workers.
    fn close_surplus(&mut self) {
        let upstreams: Vec<UpstreamKey> = self.pools.keys().collect();
        for upstream in upstreams {
            self.close_surplus_on(upstream);
        }
    }

    fn close_surplus_on(&mut self, upstream: UpstreamKey) {
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
            // Dropping the sender ends the task of the connection, which reports that it has
            // closed.
            self.connections[connection].queue = mpsc::channel(1).0;
        }
    }

    /// Admits a request and starts it if a slot is free, or refuses it.
    fn admit(&mut self, request: RoutedRequest) {
        let now = Instant::now();
        let info = RequestInfo {
            service: &request.service,
            class: &request.class,
            until: request.until,
            repeatable: request.repeatable,
        };
        match self.dispatcher.admit(&info, now) {
            Err(code) => respond(request, Err(code)),
            Ok(key) => {
                self.requests.insert(key, request);
                while let Some(attempt) = self.dispatcher.start_for(key, now) {
                    self.start(attempt);
                }
            }
        }
    }

    /// Starts as many queued requests as there are free slots.
    fn start_queued(&mut self) {
        let now = Instant::now();
        while let Some(attempt) = self.dispatcher.start_any(now) {
            self.start(attempt);
        }
    }

    /// Starts queued requests after a slot of a worker became free.
    fn start_queued_on(&mut self, upstream: UpstreamKey) {
        let now = Instant::now();
        while let Some(attempt) = self.dispatcher.start_on(upstream, now) {
            self.start(attempt);
        }
    }

    /// Passes a request to an idle connection or to a new one.
    fn start(&mut self, attempt: Attempt) {
        let request = &self.requests[attempt.request];
        if request.reply.is_closed() {
            // The caller has disconnected, and this attempt has sent nothing.
            self.abandon(attempt.request, Code::NoUpstream);
            return;
        }
        if request.needs_validity && !self.node.is_valid() {
            self.abandon(attempt.request, Code::LogUnavailable);
            return;
        }
        let exchange = Exchange {
            request: attempt.request,
            address: self.dispatcher.table.upstreams[attempt.upstream].address,
            service: Arc::clone(&request.service),
            key: request.key.clone(),
            body: Arc::clone(&request.body),
            until: attempt.until,
        };
        let key = match self.pools.entry(attempt.upstream) {
            Some(pool) => pool.or_default().idle.pop(),
            None => None,
        };
        let key = key.unwrap_or_else(|| self.open_connection(attempt.upstream));
        if let Err(error) = self.connections[key].queue.try_send(exchange) {
            log::error!("event=connection_lost error=\"{error}\"");
            self.abandon(attempt.request, Code::NoUpstream);
        }
    }

    /// Ends a request whose current attempt sent nothing. The caller gets `code`, unless an earlier
    /// attempt may have run.
    fn abandon(&mut self, key: RequestKey, code: Code) {
        let code = self.dispatcher.abandon(key, code);
        self.respond(key, Err(code));
    }

    /// Starts the task of a new connection.
    ///
    /// The number of open connections stays within the share: busy connections never outnumber the
    /// slots in use, and the share has at least one connection for each slot.
    fn open_connection(&mut self, upstream: UpstreamKey) -> ConnectionKey {
        let (queue, exchanges) = mpsc::channel(1);
        let key = self.connections.insert(Connection { upstream, queue });
        self.pools[upstream].open += 1;
        let config = ConnectionConfig {
            key,
            prefix: self.node.author.0,
            exchanges,
            reports: self.reports.clone(),
            counters: Arc::clone(&self.counters),
        };
        tokio::spawn(upstream::run(config));
        key
    }

    /// Handles a report of a connection's task.
    fn handle_report(&mut self, report: ConnectionReport) {
        let Some(connection) = self.connections.get(report.connection) else {
            return;
        };
        let upstream = connection.upstream;
        match report.event {
            ConnectionEvent::Overdue(key) => {
                self.dispatcher.mark_overdue(key, Instant::now());
                if let Some(request) = self.requests.remove(key) {
                    respond(request, Err(Code::OutcomeUnknown));
                }
            }
            ConnectionEvent::Ended(key, result) => {
                self.release_connection(report.connection, upstream);
                self.end_attempt(key, upstream, result);
            }
            ConnectionEvent::Closed => {
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

    /// Returns a connection to the idle ones of its worker, or closes it if it exceeds the share.
    fn release_connection(&mut self, connection: ConnectionKey, upstream: UpstreamKey) {
        if let Some(pool) = self.pools.get_mut(upstream) {
            pool.idle.push(connection);
        }
        self.close_surplus_on(upstream);
    }

    /// Ends an attempt: responds to the caller if there is no further attempt, and reuses the slot
    /// that became free.
    fn end_attempt(
        &mut self,
        key: RequestKey,
        upstream: UpstreamKey,
        result: Result<CallResponse, ExchangeError>,
    ) {
        let outcome = match result {
            Ok(_) | Err(ExchangeError::Late) => AttemptOutcome::Answered,
            Err(ExchangeError::NotSent) => AttemptOutcome::NotSent,
            Err(ExchangeError::NotRun) => AttemptOutcome::NotRun,
            Err(ExchangeError::MayHaveRun) => AttemptOutcome::MayHaveRun,
        };
        let now = Instant::now();
        match (self.dispatcher.end_attempt(key, outcome, now), result) {
            (NextAction::Respond, Ok(response)) => self.respond(key, Ok(response)),
            (NextAction::Respond, Err(_)) => self.respond(key, Err(Code::OutcomeUnknown)),
            (NextAction::Refuse(code), _) => self.respond(key, Err(code)),
            (NextAction::Retry, _) => {
                while let Some(attempt) = self.dispatcher.start_for(key, now) {
                    self.start(attempt);
                }
            }
        }
        self.start_queued_on(upstream);
    }

    /// Responds to the caller, unless that was already done at the deadline.
    fn respond(&mut self, key: RequestKey, result: Result<CallResponse, Code>) {
        if let Some(request) = self.requests.remove(key) {
            respond(request, result);
        }
    }

    /// Refuses queued requests that can no longer be answered in time.
    fn refuse_expired(&mut self) {
        let now = Instant::now();
        for (key, code) in self.dispatcher.expire(now) {
            self.respond(key, Err(code));
        }
        // When an ejection or the pause after a refusal is over, slots become free without a
        // report.
        self.start_queued();
    }
}

fn respond(request: RoutedRequest, result: Result<CallResponse, Code>) {
    // Without a receiver the caller has disconnected.
    let _ = request.reply.send(result);
}
