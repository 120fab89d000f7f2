//! One run of an entry VM, from its settings to its planned stop.
//!
//! A process lives through one or more sessions. When a session ends against its will (a fence, a fall
//! behind the log's retention), everything that belongs to it is dropped and the process starts again as
//! a new incarnation, in the same way as after a restart of the VM.

use std::{sync::Arc, time::Duration};

use {
    anyhow::{Context, Result},
    coriandertack_callers::{Config as CallerConfig, Router as Calls},
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
    coriandertack_workers::news::WorkerNews,
    rand::RngExt,
    tokio::{
        net::TcpListener,
        sync::{mpsc, watch},
        task::JoinSet,
        time::{Instant, sleep, timeout, timeout_at},
    },
    tokio_util::task::AbortOnDropHandle,
};

use crate::{capacity, dispatch, http, logging, members, peers, routes, settings::Settings};

/// News of workers that wait for the owner's task.
const NEWS_QUEUE: usize = 4_096;

/// Pause before a process that has lost its session starts a new one.
const RESTART_AFTER: Duration = Duration::from_millis(500);

/// How often the table of services is compared with the grants.
const ROUTES_EVERY: Duration = Duration::from_millis(100);

/// Why a session ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
enum Ended {
    /// The process was asked to stop and has left.
    #[display("stopped")]
    Stopped,
    /// The session was lost.
    #[display("lost")]
    Lost,
}

/// A process that runs in this program, as the demo and the bench use it.
#[derive(Debug)]
pub struct Process {
    stop: watch::Sender<bool>,
    node: watch::Receiver<Option<Arc<Node>>>,
    task: tokio::task::JoinHandle<Result<()>>,
}

impl Process {
    /// Starts a process.
    #[must_use]
    pub fn start(settings: Settings) -> Self {
        let (stop, stopped) = watch::channel(false);
        let (publish, node) = watch::channel(None);
        let task = tokio::spawn(run(settings, stopped, publish));
        Self { stop, node, task }
    }

    /// Waits until the process serves, and returns its node.
    ///
    /// # Errors
    ///
    /// Fails if the process ends before.
    pub async fn serving(&self) -> Result<Arc<Node>> {
        let mut nodes = self.node.clone();
        loop {
            let node = nodes.borrow_and_update().clone();
            if let Some(node) = node.filter(|node| *node.stage.borrow() == Stage::Serving) {
                return Ok(node);
            }
            tokio::select! {
                changed = nodes.changed() => changed.context("the process has ended")?,
                () = sleep(Duration::from_millis(10)) => {}
            }
        }
    }

    /// Returns the node of the present session, if there is one.
    #[must_use]
    pub fn node(&self) -> Option<Arc<Node>> {
        self.node.borrow().clone()
    }

    /// Stops as planned: drains, leaves and ends.
    ///
    /// # Errors
    ///
    /// Fails if the process failed before.
    pub async fn stop(self) -> Result<()> {
        self.stop.send_replace(true);
        self.task.await.context("the process panicked")?
    }

    /// Ends at once, as a crash does. Connections break and nothing is released.
    pub async fn kill(self) {
        self.task.abort();
        let _ = self.task.await;
    }
}

/// Runs a process until `stop` becomes true.
///
/// `publish` shows the node of each session.
///
/// # Errors
///
/// Fails if an address cannot be used, or if the log holds a record that this program cannot read.
pub async fn run(
    settings: Settings,
    stop: watch::Receiver<bool>,
    publish: watch::Sender<Option<Arc<Node>>>,
) -> Result<()> {
    loop {
        match session(&settings, stop.clone(), &publish).await? {
            Ended::Stopped => return Ok(()),
            Ended::Lost if *stop.borrow() => return Ok(()),
            Ended::Lost => {
                log::warn!("event=session_lost vm={}", settings.vm.name);
                sleep(RESTART_AFTER).await;
            }
        }
    }
}

/// Runs one session. All of its tasks are in one set, which ends them when it is dropped.
async fn session(
    settings: &Settings,
    mut stop: watch::Receiver<bool>,
    publish: &watch::Sender<Option<Arc<Node>>>,
) -> Result<Ended> {
    let vm = &settings.vm;
    let info =
        VmInfo { name: vm.name.clone(), zone: vm.zone.clone(), link: vm.link, http: vm.http };
    let (node, submissions) = Node::new(info, Incarnation(rand::rng().random()));
    node.with(|shared| shared.pool.set_weights(weights(settings)));
    publish.send_replace(Some(Arc::clone(&node)));
    log::info!("event=session_starting vm={} author={}", vm.name, node.author);

    let mut tasks = JoinSet::new();
    let mut reader = start_log(settings, &node, submissions, &mut tasks)?;
    let http = Http::start(settings, &node, &mut tasks).await?;
    start_links(settings, &node, &http.calls, &mut tasks).await?;
    tokio::select! {
        ended = &mut reader => return lost(&node, ended),
        joined = member::join(&node) => match joined {
            Ok(session) => log::info!("event=joined vm={} session={session}", vm.name),
            Err(code) => {
                log::warn!("event=join_failed vm={} code={}", vm.name, code.number());
                return Ok(Ended::Lost);
            }
        },
        () = asked(&mut stop) => return Ok(Ended::Stopped),
    }
    start_roles(settings, &node, &mut tasks);
    tokio::select! {
        ended = &mut reader => {
            // Requests in flight do not depend on the session; they finish while a new one begins.
            tokio::spawn(http.finish(settings.common.drain));
            lost(&node, ended)
        }
        () = asked(&mut stop) => {
            drain(settings, &node, http).await;
            Ok(Ended::Stopped)
        }
    }
}

/// Waits until the process is asked to stop.
async fn asked(stop: &mut watch::Receiver<bool>) {
    // The sender lives as long as the process, or has been dropped after the demand to stop.
    let _ = stop.wait_for(|stop| *stop).await;
}

type Reader = tokio::task::JoinHandle<Result<tail::Ended>>;

/// Starts the tasks of the log service. The reader ends when the session does.
fn start_log(
    settings: &Settings,
    node: &Arc<Node>,
    submissions: mpsc::Receiver<Submission>,
    tasks: &mut JoinSet<()>,
) -> Result<Reader> {
    let log = &settings.common.log;
    let client = LogClient::new(log.address, &log.stream, &settings.vm.name)?;
    tasks.spawn(commit::run(Arc::clone(node), submissions, client.clone()));
    let every = snapshot::Every::quarter(log.retention.records, log.retention.period);
    tasks.spawn(snapshot::run(Arc::clone(node), every));
    let (guarded, node) = (tasks, Arc::clone(node));
    let (ended, reader) = tokio::sync::oneshot::channel();
    guarded.spawn(async move {
        let _ = ended.send(tail::run(node, client).await);
    });
    Ok(tokio::spawn(async move { reader.await.context("the reader of the log was dropped")? }))
}

/// Tells how the reader's end ends the session.
fn lost(node: &Node, ended: Result<Result<tail::Ended>, tokio::task::JoinError>) -> Result<Ended> {
    let ended = ended.context("the reader of the log panicked")??;
    log::warn!("event=log_reader_ended vm={} reason=\"{ended}\"", node.info.name);
    Ok(Ended::Lost)
}

/// The HTTP interfaces of one session.
struct Http {
    calls: Arc<Calls>,
    stop: watch::Sender<bool>,
    /// Ends with the session unless [`Http::finish`] lets its requests end first.
    server: AbortOnDropHandle<()>,
}

impl Http {
    /// Serves operators and callers. Until the VM serves, readiness says no and requests are refused.
    async fn start(settings: &Settings, node: &Arc<Node>, tasks: &mut JoinSet<()>) -> Result<Self> {
        let calls = Calls::new(Arc::clone(node), CallerConfig::default());
        let metrics = Arc::new(Metrics::new()?);
        let api = Api::new(Arc::clone(node), settings.common.operators.clone(), metrics)
            .with_submit(Box::new(|node, actor, spec| peers::submit(node, actor, spec)))
            .with_admit(Box::new(feasibility::check_job));
        let api = Arc::new(api);
        tasks.spawn(Arc::clone(&api).run());
        let routes = viz::Router::new()
            .nest("/", coriandertack_operators::routes(api))
            .nest("/", coriandertack_callers::routes(Arc::clone(node), Arc::clone(&calls)));
        let listener = TcpListener::bind(settings.vm.http)
            .await
            .with_context(|| format!("cannot listen for HTTP at {}", settings.vm.http))?;
        let (stop, mut stopped) = watch::channel(false);
        let server = AbortOnDropHandle::new(tokio::spawn(async move {
            http::serve(listener, routes, async move { asked(&mut stopped).await }).await;
        }));
        Ok(Self { calls, stop, server })
    }

    /// Accepts no more connections, and waits up to `limit` for the requests in flight.
    async fn finish(self, limit: Duration) {
        self.stop.send_replace(true);
        let mut server = self.server;
        if timeout(limit, &mut server).await.is_err() {
            log::warn!("event=drain_limit calls={}", self.calls.in_progress());
        }
    }
}

/// Serves the links of the other VMs.
async fn start_links(
    settings: &Settings,
    node: &Arc<Node>,
    calls: &Arc<Calls>,
    tasks: &mut JoinSet<()>,
) -> Result<()> {
    let listener = TcpListener::bind(settings.vm.link)
        .await
        .with_context(|| format!("cannot listen for links at {}", settings.vm.link))?;
    let key = SharedKey::new(&settings.common.key.0);
    let (me, node, calls) = (Arc::clone(node), Arc::clone(node), Arc::clone(calls));
    let identity = move || members::identity(&me);
    let handle = move |session, request| {
        peers::handle(Arc::clone(&node), Arc::clone(&calls), session, request)
    };
    tasks.spawn(async move {
        if let Err(error) = links::run(listener, key, identity, handle).await {
            log::error!("event=links_failed error=\"{error:#}\"");
        }
    });
    Ok(())
}

/// Starts the tasks of a member: home, owner, links, VM list.
fn start_roles(settings: &Settings, node: &Arc<Node>, tasks: &mut JoinSet<()>) {
    let (news, arrived) = mpsc::channel::<(WorkerKey, WorkerNews)>(NEWS_QUEUE);
    let key = SharedKey::new(&settings.common.key.0);
    tasks.spawn(dispatch::run(Arc::clone(node)));
    tasks.spawn(capacity::run(Arc::clone(node), arrived, settings.common.charge));
    let openers = members::Openers::new(key, settings.common.heartbeat);
    tasks.spawn(members::run(Arc::clone(node), openers, news));
    let list = &settings.common.list;
    let missing = node.unlisted_members.clone();
    tasks.spawn(poll::run(Arc::clone(node), ListClient::new(list.address), list.poll, missing));
    tasks.spawn(logging::follow(Arc::clone(node), settings.common.level));
    let weights = settings.common.weights;
    let placement = weights.placement;
    let followed = Arc::clone(node);
    tasks.spawn(settings_schema::follow(Arc::clone(node), move |shared, live| {
        shared.pool.set_weights(Weights {
            packing: live.packing.unwrap_or(placement.packing),
            spread: live.spread.unwrap_or(placement.spread),
            headroom: live.headroom.unwrap_or(placement.headroom),
        });
        // Rounding to a whole percent is finer than one slot of any service.
        let share = live.share.unwrap_or(weights.share) * 100.0;
        followed.short_percent.send_replace(share.round() as u32);
    }));
    let node = Arc::clone(node);
    tasks.spawn(async move {
        loop {
            routes::refresh(&node);
            sleep(ROUTES_EVERY).await;
        }
    });
}

/// Stops as planned: refuses new work, finishes requests, flushes records and leaves.
async fn drain(settings: &Settings, node: &Arc<Node>, http: Http) {
    log::info!("event=draining vm={}", settings.vm.name);
    node.stage.send_replace(Stage::Draining);
    // The listener stays open until all requests are answered, those included whose keys this VM keeps for callers
    // of other VMs, so that the load balancer can read that this VM is not ready. The last answers go out on the
    // links during the appends below.
    let until = Instant::now() + settings.common.drain;
    if timeout_at(until, http.calls.drained()).await.is_err() {
        log::warn!("event=drain_limit calls={}", http.calls.in_progress());
    }
    http.finish(until.saturating_duration_since(Instant::now())).await;
    capacity::charge_usage(Arc::clone(node)).await;
    match member::leave(node).await {
        Ok(()) => log::info!("event=left vm={}", settings.vm.name),
        Err(code) => {
            log::warn!("event=leave_failed vm={} code={}", settings.vm.name, code.number());
        }
    }
}

fn weights(settings: &Settings) -> Weights {
    settings.common.weights.placement
}
