//! A whole deployment in one process: real entry VMs over loopback TCP, with stand-ins for the platform.
//!
//! The zones, VMs and workers are those of a settings file; the addresses are free ports of this machine.

use std::{net::SocketAddr, time::Duration};

use {
    anyhow::{Context, Result, bail},
    bytes::Bytes,
    coriandertack_core::node::Node,
    coriandertack_operators::Operator,
    coriandertack_standins::{
        log::{LogConfig, LogService},
        vmlist::{Lag, VmEntry, VmList},
        worker::{Checkpoints, Worker, WorkerConfig, wire::Amount},
    },
    coriandertackd::{
        logging,
        process::Process,
        settings::{Common, Demo, Deployment, Settings, Vm},
    },
    http_body_util::{BodyExt, Full},
    hyper::{Request, StatusCode},
    hyper_util::{
        client::legacy::{Client as Http, connect::HttpConnector},
        rt::TokioExecutor,
    },
    sha2::{Digest, Sha256},
    tokio::{
        net::TcpListener,
        time::{Instant, sleep, timeout},
    },
};

use crate::cli::Client;

/// Token of the operator of a local deployment.
const TOKEN: &str = "local-operator";

/// How long a deployment may take until every VM serves and every worker is read.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// How often a condition is looked at again.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// Properties of a local deployment beyond its settings file.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Entry VMs, taken in the order of the file and repeated over its zones if there are more.
    pub vms: usize,
    /// Workers, likewise.
    pub workers: usize,
    /// Seed of the stand-ins.
    pub seed: u64,
    /// The log service.
    pub log: LogConfig,
    /// Length of a usage interval of the workers.
    pub interval_ms: u64,
    /// Time between two records of usage.
    pub charge: Duration,
}

impl Options {
    /// Returns the sizes of a settings file, with short intervals that suit a short run.
    pub fn of(deployment: &Deployment, seed: u64) -> Self {
        Self {
            vms: deployment.vms.len(),
            workers: deployment.demo.as_ref().map_or(0, |demo| demo.workers() as usize),
            seed,
            log: LogConfig::default(),
            interval_ms: 500,
            charge: Duration::from_secs(1),
        }
    }
}

/// An entry VM of a local deployment.
pub struct Entry {
    /// Its settings.
    pub settings: Settings,
    /// The process, unless it was killed or stopped.
    pub process: Option<Process>,
}

/// A running local deployment.
pub struct Local {
    /// Log service.
    pub log: LogService,
    /// VM list.
    pub list: VmList,
    /// Workers.
    pub workers: Vec<Worker>,
    /// Entry VMs.
    pub entries: Vec<Entry>,
    http: Http<HttpConnector, Full<Bytes>>,
}

/// Answer to a caller's request.
#[derive(Debug)]
pub struct Called {
    /// HTTP status.
    pub status: StatusCode,
    /// Content.
    pub body: Bytes,
}

impl Local {
    /// Starts the stand-ins and the VMs, and waits until every VM serves and every worker is read.
    ///
    /// # Errors
    ///
    /// Fails if a port cannot be bound or the deployment does not become ready in time.
    pub async fn start(deployment: &Deployment, options: &Options) -> Result<Self> {
        let demo = deployment.demo.as_ref().context("the settings have no section `demo`")?;
        let log = LogService::start(options.log, options.seed).await?;
        let lag = Lag { delay_ms: 200, jitter_ms: 300 };
        let list = VmList::start(lag, options.seed).await?;
        let workers = start_workers(demo, options).await?;
        list.add_workers(&workers);
        let mut entries = Vec::new();
        for index in 0..options.vms {
            let vm = place_vm(deployment, index).await?;
            list.set(VmEntry::entry(&vm.name, &vm.zone, vm.http));
            let common = local_common(&deployment.common, &log, &list, options);
            let settings = Settings { vm, common };
            let process = Some(Process::start(settings.clone()));
            entries.push(Entry { settings, process });
        }
        let http = Http::builder(TokioExecutor::new()).build_http();
        let local = Self { log, list, workers, entries, http };
        timeout(START_TIMEOUT, local.ready()).await.context("the deployment is not ready")??;
        Ok(local)
    }

    /// Waits until the live VMs agree on their number, every worker is read by its owner, and every VM has
    /// heard so.
    ///
    /// # Errors
    ///
    /// Fails if a process has ended.
    pub async fn ready(&self) -> Result<()> {
        let live: Vec<&Process> =
            self.entries.iter().filter_map(|entry| entry.process.as_ref()).collect();
        for process in &live {
            process.serving().await?;
        }
        let count = self.workers.len();
        until(|| {
            let nodes: Vec<_> = live.iter().filter_map(|process| process.node()).collect();
            let agreed = nodes.iter().all(|node| members(node) == live.len());
            let resolved: usize = nodes.iter().map(|node| resolved(node)).sum();
            let told = nodes.iter().all(|node| offered(node) == count);
            agreed && resolved == count && told
        })
        .await;
        Ok(())
    }

    /// Returns the nodes of the live VMs.
    pub fn nodes(&self) -> Vec<std::sync::Arc<Node>> {
        let live = self.entries.iter().filter_map(|entry| entry.process.as_ref());
        live.filter_map(Process::node).collect()
    }

    /// Returns what each live VM sees, for the message of a check that failed.
    pub fn describe(&self) -> String {
        let lines = self.nodes().into_iter().map(|node| {
            let routes = node.instances.borrow().len();
            node.with(|shared| {
                let steps: Vec<String> =
                    shared.team_queues.tasks().map(|task| format!("{:?}", task.state)).collect();
                let mut counts = std::collections::BTreeMap::new();
                for step in steps {
                    let name = step.split('(').next().unwrap_or_default().to_owned();
                    *counts.entry(name).or_insert(0) += 1;
                }
                format!(
                    "{}: routes={routes} grants={} free={} unacknowledged={} tasks={counts:?}",
                    node.info.name,
                    shared.pool.grants().count(),
                    shared.pool.summary().free,
                    shared.owner_state.unacknowledged(),
                )
            })
        });
        lines.collect::<Vec<_>>().join("\n")
    }

    /// Returns an operator's client of the VM with this index.
    pub fn operator(&self, index: usize) -> Client {
        Client::new(&self.entries[index].settings.vm.http.to_string(), TOKEN)
    }

    /// Kills a VM, as a crash does.
    pub async fn kill(&mut self, index: usize) {
        if let Some(process) = self.entries[index].process.take() {
            process.kill().await;
        }
    }

    /// Starts a VM again that was killed or stopped.
    pub fn restart(&mut self, index: usize) {
        let entry = &mut self.entries[index];
        entry.process.get_or_insert_with(|| Process::start(entry.settings.clone()));
    }

    /// Stops every VM as planned.
    ///
    /// # Errors
    ///
    /// Fails if a process failed.
    pub async fn stop(&mut self) -> Result<()> {
        for entry in &mut self.entries {
            if let Some(process) = entry.process.take() {
                process.stop().await?;
            }
        }
        Ok(())
    }

    /// Sends a caller's request through the VM with this index.
    ///
    /// # Errors
    ///
    /// Fails if no complete answer came.
    pub async fn call(
        &self,
        index: usize,
        service: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<Called> {
        let address = self.entries[index].settings.vm.http;
        let mut request = Request::post(format!("http://{address}/call/{service}"));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(Bytes::copy_from_slice(body.as_bytes())))?;
        let response = self.http.request(request).await?;
        let status = response.status();
        let body = response.into_body().collect().await?.to_bytes();
        Ok(Called { status, body })
    }
}

/// Writes log lines if `CORIANDERTACK_LOG` names a level.
///
/// # Errors
///
/// Fails if the level is unknown or the log cannot be set up.
pub fn init_log() -> Result<()> {
    match std::env::var("CORIANDERTACK_LOG") {
        Ok(level) => logging::init(level.parse().context("CORIANDERTACK_LOG is no level")?),
        Err(_) => Ok(()),
    }
}

/// Waits until a condition holds.
pub async fn until(mut holds: impl FnMut() -> bool) {
    while !holds() {
        sleep(LOOK_EVERY).await;
    }
}

/// Waits until a condition holds, or fails with `what` after `limit`.
pub async fn within(limit: Duration, what: &str, holds: impl FnMut() -> bool) -> Result<Duration> {
    let began = Instant::now();
    match timeout(limit, until(holds)).await {
        Ok(()) => Ok(began.elapsed()),
        Err(_) => bail!("not within {} s: {what}", limit.as_secs()),
    }
}

/// Returns how many members a VM knows.
pub fn members(node: &Node) -> usize {
    node.with(|shared| shared.state.vms.len())
}

/// Returns how many workers a VM owns and has read.
pub fn resolved(node: &Node) -> usize {
    node.with(|shared| shared.pool.workers().filter(|(_, host)| host.reconciled).count())
}

/// Returns how many workers with room a VM knows of, its own and those of the others' heartbeats.
pub fn offered(node: &Node) -> usize {
    node.with(|shared| {
        let others = shared.links.values().map(|link| link.summary.workers);
        (shared.pool.summary().workers + others.sum::<u32>()) as usize
    })
}

/// Starts the workers of a settings file.
pub async fn start_workers(demo: &Demo, options: &Options) -> Result<Vec<Worker>> {
    let checkpoints = Checkpoints::default();
    let amount = demo.capacity;
    let mut workers = Vec::new();
    let places: Vec<_> = demo
        .racks
        .iter()
        .flat_map(|rack| (0..rack.workers).map(move |number| (rack, number)))
        .collect();
    for index in 0..options.workers {
        let (rack, number) = places[index % places.len()];
        let round = index / places.len();
        let name =
            format!("{}-w{}", rack.name, number as usize + 1 + round * rack.workers as usize);
        let mut config = WorkerConfig::new(&name, &rack.zone, &rack.name);
        config.capacity = Amount::new(amount.millicores, amount.memory_mib, amount.accelerators);
        config.interval_ms = options.interval_ms;
        config.checkpoints = checkpoints.clone();
        workers.push(Worker::start(config, options.seed + index as u64).await?);
    }
    Ok(workers)
}

/// Returns the VM of the file with this index, or another one like it, on free ports.
async fn place_vm(deployment: &Deployment, index: usize) -> Result<Vm> {
    let known = &deployment.vms[index % deployment.vms.len()];
    let round = index / deployment.vms.len();
    let name = if round == 0 { known.name.clone() } else { format!("{}-{round}", known.name) };
    let (link, http) = (free_port().await?, free_port().await?);
    Ok(Vm { name, zone: known.zone.clone(), link, http })
}

async fn free_port() -> Result<SocketAddr> {
    Ok(TcpListener::bind("127.0.0.1:0").await?.local_addr()?)
}

fn local_common(common: &Common, log: &LogService, list: &VmList, options: &Options) -> Common {
    let mut common = common.clone();
    common.log.address = log.address();
    common.list.address = list.address();
    common.charge = options.charge;
    let digest = hex::encode(Sha256::digest(TOKEN.as_bytes()));
    common.operators = vec![Operator { name: "local".into(), digest }];
    common
}
