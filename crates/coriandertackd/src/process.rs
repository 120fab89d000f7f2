//! Lifecycle of an entry VM, from its settings to its planned stop.
//!
//! A process runs one or more sessions in sequence. When a session is lost (the VM was fenced, or its reader
//! fell behind the log's retention), all state of the session is dropped and the process joins again as a
//! new incarnation, as it would after a restart of the VM.

use std::{sync::Arc, time::Duration};

use {
    anyhow::{Context, Result},
    coriandertack_callers::{Config as CallerConfig, Router as CallRouter},
    coriandertack_core::{
        feasibility,
        keys::{Incarnation, WorkerKey},
        message::Submission,
        node::{Node, Stage},
        pool::Weights,
        record::VmInfo,
    },
    coriandertack_log::{client::Client as LogClient, commit, member, snapshot, tail},
    coriandertack_operators::{Api, Metrics, settings_schema},
    coriandertack_peers::{SharedKey, serve as links},
    coriandertack_vms::{client::Client as ListClient, poll},
    coriandertack_workers::update::WorkerUpdate,
    rand::RngExt,
    tokio::{
        net::TcpListener,
        sync::{mpsc, watch},
        task::JoinSet,
        time::{Instant, sleep, timeout, timeout_at},
    },
    tokio_util::task::AbortOnDropHandle,
};

use crate::{
    capacity, connections::Connections, dispatch, http, logging, members, peers, routes,
    settings::Settings,
};

/// Capacity of the channel from the workers' control tasks to the owner's task.
const WORKER_UPDATE_CAPACITY: usize = 4_096;

/// Delay before a new session starts after the previous one was lost.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Interval at which the table of service instances is rebuilt from the grants.
const ROUTE_REFRESH_INTERVAL: Duration = Duration::from_millis(100);

/// Why a session ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
enum SessionEnd {
    /// A planned stop: the VM has left the cluster.
    #[display("stopped")]
    Stopped,
    /// The VM was fenced, could not join, or can no longer read the log.
    #[display("lost")]
    Lost,
}

/// An entry VM that runs inside the current program, as in the demo, the bench and tests.
#[derive(Debug)]
pub struct Process {
    stop: watch::Sender<bool>,
    node: watch::Receiver<Option<Arc<Node>>>,
    task: tokio::task::JoinHandle<Result<()>>,
}

impl Process {
    /// Starts an entry VM in a task of its own.
    #[must_use]
    pub fn start(settings: Settings) -> Self {
        let (stop, stopped) = watch::channel(false);
        let (publish, node) = watch::channel(None);
        let task = tokio::spawn(run(settings, stopped, publish));
        Self { stop, node, task }
    }

    /// Waits until the VM is serving, and returns the node of its session.
    ///
    /// # Errors
    ///
    /// Fails if the process ends first.
    pub async fn wait_until_serving(&self) -> Result<Arc<Node>> {
        let mut nodes = self.node.clone();
        loop {
            let node = nodes.borrow_and_update().clone();
            if let Some(node) = node.filter(|node| *node.stage.borrow() == Stage::Serving) {
                return Ok(node);
            }
            tokio::select! {
                changed = nodes.changed() => changed.context("entry VM ended before it was serving")?,
                () = sleep(Duration::from_millis(10)) => {}
            }
        }
    }

    /// Returns the node of the current session, or `None` before the first one.
    #[must_use]
    pub fn node(&self) -> Option<Arc<Node>> {
        self.node.borrow().clone()
    }

    /// Performs a planned stop: drains requests, leaves the cluster and ends.
    ///
    /// # Errors
    ///
    /// Returns the error with which the process ended, if it failed.
    pub async fn stop(self) -> Result<()> {
        self.stop.send_replace(true);
        self.task.await.context("entry VM task panicked")?
    }

    /// Ends at once, as in a crash: connections break and no capacity is released.
    pub async fn kill(self) {
        self.task.abort();
        let _ = self.task.await;
    }
}

/// Runs an entry VM until `stop` becomes true.
///
/// The node of each session is published on `publish` when the session starts.
///
/// # Errors
///
/// Fails if an address cannot be bound, or if the log holds a record that this version cannot decode.
pub async fn run(
    settings: Settings,
    stop: watch::Receiver<bool>,
    publish: watch::Sender<Option<Arc<Node>>>,
) -> Result<()> {
    loop {
        match session(&settings, stop.clone(), &publish).await? {
            SessionEnd::Stopped => return Ok(()),
            SessionEnd::Lost if *stop.borrow() => return Ok(()),
            SessionEnd::Lost => {
                log::warn!("event=session_lost vm={}", settings.vm.name);
                sleep(RESTART_DELAY).await;
            }
        }
    }
}

/// Runs one session. All of its tasks are in one `JoinSet`, so dropping the future aborts them.
async fn session(
    settings: &Settings,
    mut stop: watch::Receiver<bool>,
    publish: &watch::Sender<Option<Arc<Node>>>,
) -> Result<SessionEnd> {
    let vm = &settings.vm;
    let info =
        VmInfo { name: vm.name.clone(), zone: vm.zone.clone(), link: vm.link, http: vm.http };
    let (node, submissions) = Node::new(info, Incarnation(rand::rng().random()));
    node.with(|shared| shared.pool.set_weights(placement_weights(settings)));
    publish.send_replace(Some(Arc::clone(&node)));
    log::info!("event=session_starting vm={} author={}", vm.name, node.author);

    let mut tasks = JoinSet::new();
    let mut reader = start_log(settings, &node, submissions, &mut tasks)?;
    let http = HttpServer::start(settings, &node, &mut tasks).await?;
    start_links(settings, &node, &http.call_router, &mut tasks).await?;
    tokio::select! {
        ended = &mut reader => return session_lost(&node, ended),
        joined = member::join(&node) => match joined {
            Ok(session) => log::info!("event=joined vm={} session={session}", vm.name),
            Err(code) => {
                log::warn!("event=join_failed vm={} code={}", vm.name, code.number());
                return Ok(SessionEnd::Lost);
            }
        },
        () = stop_requested(&mut stop) => return Ok(SessionEnd::Stopped),
    }
    start_roles(settings, &node, &mut tasks);
    tokio::select! {
        ended = &mut reader => {
            // Requests in flight do not depend on the session, so they may finish while the next one starts.
            tokio::spawn(http.shut_down(settings.common.drain_limit));
            session_lost(&node, ended)
        }
        () = stop_requested(&mut stop) => {
            drain(settings, &node, http).await;
            // Dropping the tasks would abort them without waiting, and the next session may bind the same addresses.
            tasks.shutdown().await;
            Ok(SessionEnd::Stopped)
        }
    }
}

/// Waits until a stop is requested.
async fn stop_requested(stop: &mut watch::Receiver<bool>) {
    // An error means that the sender was dropped, which happens only after it requested the stop.
    let _ = stop.wait_for(|stop| *stop).await;
}

type ReaderTask = tokio::task::JoinHandle<Result<tail::TailEnd>>;

/// Starts the tasks that write to and read from the log. The reader ends when the session is lost.
fn start_log(
    settings: &Settings,
    node: &Arc<Node>,
    submissions: mpsc::Receiver<Submission>,
    tasks: &mut JoinSet<()>,
) -> Result<ReaderTask> {
    let log = &settings.common.log;
    let client = LogClient::new(log.address, &log.stream, &settings.vm.name)?;
    tasks.spawn(commit::run(Arc::clone(node), submissions, client.clone()));
    let snapshot_interval =
        snapshot::SnapshotInterval::quarter(log.retention.records, log.retention.period);
    tasks.spawn(snapshot::run(Arc::clone(node), snapshot_interval));
    let (session_tasks, node) = (tasks, Arc::clone(node));
    let (sender, receiver) = tokio::sync::oneshot::channel();
    session_tasks.spawn(async move {
        let _ = sender.send(tail::run(node, client).await);
    });
    Ok(tokio::spawn(async move { receiver.await.context("log reader was dropped")? }))
}

/// Turns the end of the log reader into the end of the session. An undecodable record is an error instead.
fn session_lost(
    node: &Node,
    ended: Result<Result<tail::TailEnd>, tokio::task::JoinError>,
) -> Result<SessionEnd> {
    let ended = ended.context("log reader panicked")??;
    log::warn!("event=log_reader_ended vm={} reason=\"{ended}\"", node.info.name);
    Ok(SessionEnd::Lost)
}

/// The HTTP server of one session.
struct HttpServer {
    call_router: Arc<CallRouter>,
    stop: watch::Sender<bool>,
    /// Aborted with the session, unless [`HttpServer::shut_down`] first waits for requests in flight.
    server: AbortOnDropHandle<()>,
}

impl HttpServer {
    /// Serves operators and callers. Until the VM is serving, it reports not ready and refuses requests.
    async fn start(settings: &Settings, node: &Arc<Node>, tasks: &mut JoinSet<()>) -> Result<Self> {
        let call_router = CallRouter::new(Arc::clone(node), CallerConfig::default());
        let metrics = Arc::new(Metrics::new()?);
        let api = Api::new(Arc::clone(node), settings.common.operators.clone(), metrics)
            .with_bodies(Arc::clone(call_router.bodies()))
            .with_submit(Box::new(|node, actor, spec| peers::submit(node, actor, spec)))
            .with_admit(Box::new(feasibility::check_job));
        let api = Arc::new(api);
        tasks.spawn(Arc::clone(&api).run());
        let routes = viz::Router::new()
            .nest("/", coriandertack_operators::routes(api))
            .nest("/", coriandertack_callers::routes(Arc::clone(node), Arc::clone(&call_router)));
        let listener = TcpListener::bind(settings.vm.http)
            .await
            .with_context(|| format!("cannot bind the HTTP address {}", settings.vm.http))?;
        let (stop, mut stopped) = watch::channel(false);
        let bodies = Arc::clone(call_router.bodies());
        let open = Arc::new(Connections::new(http::max_connections(), bodies));
        let server = AbortOnDropHandle::new(tokio::spawn(async move {
            let stop = async move { stop_requested(&mut stopped).await };
            http::serve(listener, routes, open, http::LIMITS, stop).await;
        }));
        Ok(Self { call_router, stop, server })
    }

    /// Stops accepting connections, and waits up to `limit` for requests in flight.
    async fn shut_down(self, limit: Duration) {
        self.stop.send_replace(true);
        let mut server = self.server;
        if timeout(limit, &mut server).await.is_err() {
            log::warn!("event=drain_limit calls={}", self.call_router.calls_in_progress());
        }
    }
}

/// Accepts links from other VMs.
async fn start_links(
    settings: &Settings,
    node: &Arc<Node>,
    call_router: &Arc<CallRouter>,
    tasks: &mut JoinSet<()>,
) -> Result<()> {
    let listener = TcpListener::bind(settings.vm.link)
        .await
        .with_context(|| format!("cannot bind the link address {}", settings.vm.link))?;
    let key = SharedKey::new(&settings.common.key.0);
    let (identity_node, node, call_router) =
        (Arc::clone(node), Arc::clone(node), Arc::clone(call_router));
    let identity = move || members::identity(&identity_node);
    let handle = move |session, request| {
        peers::handle(Arc::clone(&node), Arc::clone(&call_router), session, request)
    };
    tasks.spawn(async move {
        if let Err(error) = links::run(listener, key, identity, handle).await {
            log::error!("event=links_failed error=\"{error:#}\"");
        }
    });
    Ok(())
}

/// Starts the tasks that need membership: home, owner, links, VM list, live settings and routes.
fn start_roles(settings: &Settings, node: &Arc<Node>, tasks: &mut JoinSet<()>) {
    let (update_sender, update_receiver) =
        mpsc::channel::<(WorkerKey, WorkerUpdate)>(WORKER_UPDATE_CAPACITY);
    let key = SharedKey::new(&settings.common.key.0);
    tasks.spawn(dispatch::run(Arc::clone(node)));
    tasks.spawn(capacity::run(Arc::clone(node), update_receiver, settings.common.charge_interval));
    let peer_tasks = members::PeerTasks::new(key, settings.common.heartbeat_interval);
    tasks.spawn(members::run(Arc::clone(node), peer_tasks, update_sender));
    let list = &settings.common.vm_list;
    let unlisted = node.unlisted_members.clone();
    tasks.spawn(poll::run(
        Arc::clone(node),
        ListClient::new(list.address),
        list.poll_interval,
        unlisted,
    ));
    tasks.spawn(logging::follow_level(Arc::clone(node), settings.common.level));
    let weights = settings.common.weights;
    let placement = weights.placement;
    let shared_node = Arc::clone(node);
    tasks.spawn(settings_schema::follow(Arc::clone(node), move |shared, overrides| {
        shared.pool.set_weights(Weights {
            packing: overrides.packing.unwrap_or(placement.packing),
            spread: overrides.spread.unwrap_or(placement.spread),
            headroom: overrides.headroom.unwrap_or(placement.headroom),
        });
        // A whole percent is finer than one slot of any service, so rounding loses nothing.
        let share = overrides.share.unwrap_or(weights.short_share) * 100.0;
        shared_node.short_percent.send_replace(share.round() as u32);
    }));
    let node = Arc::clone(node);
    tasks.spawn(async move {
        loop {
            routes::refresh(&node);
            sleep(ROUTE_REFRESH_INTERVAL).await;
        }
    });
}

/// Performs a planned stop: refuses new work, finishes requests, charges usage and leaves the cluster.
async fn drain(settings: &Settings, node: &Arc<Node>, http: HttpServer) {
    log::info!("event=draining vm={}", settings.vm.name);
    node.stage.send_replace(Stage::Draining);
    // The listener stays open until all requests are answered, including those whose idempotency keys this VM holds
    // for other VMs, so that the load balancer can read that this VM is not ready. The links send the last answers
    // while the records below are appended.
    let deadline = Instant::now() + settings.common.drain_limit;
    if timeout_at(deadline, http.call_router.wait_until_drained()).await.is_err() {
        log::warn!("event=drain_limit calls={}", http.call_router.calls_in_progress());
    }
    http.shut_down(deadline.saturating_duration_since(Instant::now())).await;
    capacity::charge_usage(Arc::clone(node)).await;
    match member::leave(node).await {
        Ok(()) => log::info!("event=left vm={}", settings.vm.name),
        Err(code) => {
            log::warn!("event=leave_failed vm={} code={}", settings.vm.name, code.number());
        }
    }
}

fn placement_weights(settings: &Settings) -> Weights {
    settings.common.weights.placement
}
