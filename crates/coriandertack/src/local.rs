//! A complete deployment in one process: entry VMs that communicate over loopback TCP, and stand-ins of the
//! platform services.
//!
//! Zones, VMs and workers come from a settings file; each address is replaced by a free local port.

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
        client::legacy::{Client as HttpClient, connect::HttpConnector},
        rt::TokioExecutor,
    },
    sha2::{Digest, Sha256},
    tokio::{
        net::TcpListener,
        time::{Instant, sleep, timeout},
    },
};

use crate::cli::Client;

/// Operator token of a local deployment.
const TOKEN: &str = "local-operator";

/// Timeout until every VM serves and every worker is reconciled with its owner.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Options of a local deployment that the settings file does not hold.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Number of entry VMs. They follow the order of the file and repeat it if there are more than it lists.
    pub vms: usize,
    /// Number of workers, chosen from the racks of the file in the same way.
    pub workers: usize,
    /// Seed of the random numbers of the stand-ins.
    pub seed: u64,
    /// Configuration of the log service.
    pub log: LogConfig,
    /// Length of the workers' usage intervals.
    pub interval_ms: u64,
    /// Interval between two charge records.
    pub charge_interval: Duration,
}

impl Options {
    /// Returns options with the number of VMs and workers in the settings, and intervals for a run of seconds.
    pub fn for_deployment(deployment: &Deployment, seed: u64) -> Self {
        Self {
            vms: deployment.vms.len(),
            workers: deployment.demo.as_ref().map_or(0, |demo| demo.worker_count() as usize),
            seed,
            log: LogConfig::default(),
            interval_ms: 500,
            charge_interval: Duration::from_secs(1),
        }
    }
}

/// Entry VM of a local deployment.
pub struct EntryVm {
    /// Settings with which the VM is started and restarted.
    pub settings: Settings,
    /// The running process, or `None` after it was killed or stopped.
    pub process: Option<Process>,
}

/// Running local deployment.
pub struct LocalDeployment {
    /// Stand-in of the log service.
    pub log: LogService,
    /// Stand-in of the VM list.
    pub list: VmList,
    /// Stand-ins of the workers.
    pub workers: Vec<Worker>,
    /// Entry VMs, including those that were killed or stopped.
    pub entries: Vec<EntryVm>,
    http: HttpClient<HttpConnector, Full<Bytes>>,
}

/// Response to a caller's request.
#[derive(Debug)]
pub struct Response {
    /// HTTP status of the response.
    pub status: StatusCode,
    /// Complete body of the response.
    pub body: Bytes,
}

impl LocalDeployment {
    /// Starts the stand-ins and the VMs, and waits until the deployment is [ready](Self::ready).
    ///
    /// # Errors
    ///
    /// Fails if a port cannot be bound or the deployment is not ready within 30 s.
    pub async fn start(deployment: &Deployment, options: &Options) -> Result<Self> {
        let demo = deployment
            .demo
            .as_ref()
            .context("the settings have no section `demo`, which lists the workers")?;
        let log = LogService::start(options.log, options.seed).await?;
        let lag = Lag { delay_ms: 200, jitter_ms: 300 };
        let list = VmList::start(lag, options.seed).await?;
        let workers = start_workers(demo, options).await?;
        list.add_workers(&workers);
        let mut entries = Vec::new();
        for index in 0..options.vms {
            let vm = vm_settings(deployment, index).await?;
            list.set(VmEntry::entry(&vm.name, &vm.zone, vm.http));
            let common = common_settings(&deployment.common, &log, &list, options);
            let settings = Settings { vm, common };
            let process = Some(Process::start(settings.clone()));
            entries.push(EntryVm { settings, process });
        }
        let http = HttpClient::builder(TokioExecutor::new()).build_http();
        let local = Self { log, list, workers, entries, http };
        timeout(START_TIMEOUT, local.ready())
            .await
            .context("the deployment was not ready within 30 s")??;
        Ok(local)
    }

    /// Waits until the live VMs agree on their number, every worker is reconciled with its owner, and every VM
    /// knows of all workers from its own pool and the others' heartbeats.
    ///
    /// # Errors
    ///
    /// Fails if a process has ended.
    pub async fn ready(&self) -> Result<()> {
        let live: Vec<&Process> =
            self.entries.iter().filter_map(|entry| entry.process.as_ref()).collect();
        for process in &live {
            process.wait_until_serving().await?;
        }
        let count = self.workers.len();
        wait_until(|| {
            let nodes: Vec<_> = live.iter().filter_map(|process| process.node()).collect();
            let agreed = nodes.iter().all(|node| member_count(node) == live.len());
            let reconciled_workers: usize = nodes.iter().map(|node| reconciled_workers(node)).sum();
            let informed = nodes.iter().all(|node| available_workers(node) == count);
            agreed && reconciled_workers == count && informed
        })
        .await;
        Ok(())
    }

    /// Returns the shared state of each live VM.
    pub fn nodes(&self) -> Vec<std::sync::Arc<Node>> {
        let live = self.entries.iter().filter_map(|entry| entry.process.as_ref());
        live.filter_map(Process::node).collect()
    }

    /// Returns one line on the state of each live VM, to print when a run fails.
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

    /// Returns an API client for the VM with the given index, with the operator's token.
    pub fn operator_client(&self, index: usize) -> Client {
        Client::new(&self.entries[index].settings.vm.http.to_string(), TOKEN)
    }

    /// Kills a VM without a graceful stop, which simulates a crash.
    pub async fn kill(&mut self, index: usize) {
        if let Some(process) = self.entries[index].process.take() {
            process.kill().await;
        }
    }

    /// Restarts a VM that was killed or stopped. A running VM is left alone.
    pub fn restart(&mut self, index: usize) {
        let entry = &mut self.entries[index];
        entry.process.get_or_insert_with(|| Process::start(entry.settings.clone()));
    }

    /// Stops every live VM gracefully.
    ///
    /// # Errors
    ///
    /// Fails if a process ended with an error.
    pub async fn stop(&mut self) -> Result<()> {
        for entry in &mut self.entries {
            if let Some(process) = entry.process.take() {
                process.stop().await?;
            }
        }
        Ok(())
    }

    /// Sends a caller's request through the VM with the given index.
    ///
    /// # Errors
    ///
    /// Fails if no complete response arrived.
    pub async fn call(
        &self,
        index: usize,
        service: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<Response> {
        let address = self.entries[index].settings.vm.http;
        let mut request = Request::post(format!("http://{address}/call/{service}"));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(Bytes::copy_from_slice(body.as_bytes())))?;
        let response = self.http.request(request).await?;
        let status = response.status();
        let body = response.into_body().collect().await?.to_bytes();
        Ok(Response { status, body })
    }
}

/// Enables log output if `CORIANDERTACK_LOG` names a level.
///
/// # Errors
///
/// Fails if the level is unknown or the logger cannot be installed.
pub fn init_logging() -> Result<()> {
    match std::env::var("CORIANDERTACK_LOG") {
        Ok(level) => logging::init(level.parse().context(
            "CORIANDERTACK_LOG is not a log level; use off, error, warn, info, debug or trace",
        )?),
        Err(_) => Ok(()),
    }
}

/// Polls a condition until it holds.
pub async fn wait_until(mut holds: impl FnMut() -> bool) {
    while !holds() {
        sleep(POLL_INTERVAL).await;
    }
}

/// Polls a condition until it holds and returns how long that took.
///
/// # Errors
///
/// Fails with a message that contains `what` if the condition does not hold within `limit`.
pub async fn wait_within(
    limit: Duration,
    what: &str,
    holds: impl FnMut() -> bool,
) -> Result<Duration> {
    let started = Instant::now();
    match timeout(limit, wait_until(holds)).await {
        Ok(()) => Ok(started.elapsed()),
        Err(_) => bail!("condition not met within {} s: {what}", limit.as_secs()),
    }
}

/// Returns the number of entry VMs that a VM knows as members.
pub fn member_count(node: &Node) -> usize {
    node.with(|shared| shared.state.vms.len())
}

/// Returns the number of workers that a VM owns and has reconciled.
pub fn reconciled_workers(node: &Node) -> usize {
    node.with(|shared| shared.pool.workers().filter(|(_, host)| host.reconciled).count())
}

/// Returns the number of workers that take work, from a VM's own pool and the summaries in the others' heartbeats.
pub fn available_workers(node: &Node) -> usize {
    node.with(|shared| {
        let others = shared.links.values().map(|link| link.summary.workers);
        (shared.pool.summary().workers + others.sum::<u32>()) as usize
    })
}

/// Starts the workers on the racks of a settings file.
pub async fn start_workers(demo: &Demo, options: &Options) -> Result<Vec<Worker>> {
    let checkpoints = Checkpoints::default();
    let capacity = demo.capacity;
    let mut workers = Vec::new();
    let rack_workers: Vec<_> = demo
        .racks
        .iter()
        .flat_map(|rack| (0..rack.workers).map(move |number| (rack, number)))
        .collect();
    for index in 0..options.workers {
        let (rack, number) = rack_workers[index % rack_workers.len()];
        let round = index / rack_workers.len();
        let name =
            format!("{}-w{}", rack.name, number as usize + 1 + round * rack.workers as usize);
        let mut config = WorkerConfig::new(&name, &rack.zone, &rack.name);
        config.capacity =
            Amount::new(capacity.millicores, capacity.memory_mib, capacity.accelerators);
        config.interval_ms = options.interval_ms;
        config.checkpoints = checkpoints.clone();
        workers.push(Worker::start(config, options.seed + index as u64).await?);
    }
    Ok(workers)
}

/// Returns the settings of the VM with the given index on free ports, repeating the VMs of the file in order.
async fn vm_settings(deployment: &Deployment, index: usize) -> Result<Vm> {
    let template = &deployment.vms[index % deployment.vms.len()];
    let round = index / deployment.vms.len();
    let name =
        if round == 0 { template.name.clone() } else { format!("{}-{round}", template.name) };
    let (link, http) = (free_port().await?, free_port().await?);
    Ok(Vm { name, zone: template.zone.clone(), link, http })
}

async fn free_port() -> Result<SocketAddr> {
    Ok(TcpListener::bind("127.0.0.1:0").await?.local_addr()?)
}

fn common_settings(common: &Common, log: &LogService, list: &VmList, options: &Options) -> Common {
    let mut common = common.clone();
    common.log.address = log.address();
    common.vm_list.address = list.address();
    common.charge_interval = options.charge_interval;
    let digest = hex::encode(Sha256::digest(TOKEN.as_bytes()));
    common.operators = vec![Operator { name: "local".into(), digest }];
    common
}
