//! A cluster of three VMs with simulated peers, and the switches by which faults are injected.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use {
    coriandertack_callers::{Config, Router},
    coriandertack_core::{
        keys::{Incarnation, Version},
        node::{Node, Stage},
        record::{JobSpec, Presence, Record, TeamChange, TeamSpec, VmInfo, WorkerInfo},
        resources::Resources,
        state::ApplyEffect,
    },
    coriandertackd::{capacity, dispatch, members, peers, routes},
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    tokio::{
        sync::{mpsc, watch},
        task::JoinSet,
        time::{sleep, timeout},
    },
};

use crate::{link, log::Log, worker::Worker};

pub const VMS: usize = 3;
pub const WORKERS: usize = 4;
pub const CAPACITY: Resources = Resources::new(4_000, 4_096, 0);

/// Interval at which usage is appended to the log.
const CHARGE_INTERVAL: Duration = Duration::from_secs(2);

/// Fault switches of one VM, which survive a restart of its process.
#[derive(Clone)]
pub struct Switches {
    /// Holds back all messages from and to the VM, as while its process is paused.
    pub paused: watch::Sender<bool>,
    /// Disconnects the VM from the log service.
    pub log_unreachable: watch::Sender<bool>,
}

impl Switches {
    /// Waits until the VM is not paused.
    pub async fn wait_while_paused(&self) {
        let _ = self.paused.subscribe().wait_for(|paused| !paused).await;
    }
}

/// A VM. `process` is `None` while it is down.
pub struct Vm {
    pub name: String,
    pub switches: Switches,
    process: Option<Process>,
}

struct Process {
    node: Arc<Node>,
    router: Arc<Router>,
    _tasks: JoinSet<()>,
}

/// The whole cluster. Clones share its state.
#[derive(Clone)]
pub struct World {
    pub log: Log,
    pub workers: Arc<Vec<Worker>>,
    vms: Arc<Mutex<Vec<Vm>>>,
    /// Pairs of VMs whose link is broken in both directions.
    pub broken_links: Arc<Mutex<Vec<(usize, usize)>>>,
    rng: Arc<Mutex<ChaCha8Rng>>,
}

impl World {
    /// Starts the VMs, and submits the workers through the first one.
    pub async fn start(seed: u64) -> Self {
        let workers = (0..WORKERS).map(|index| Worker::new(index, seed)).collect();
        let switches = || Switches {
            paused: watch::Sender::new(false),
            log_unreachable: watch::Sender::new(false),
        };
        let vms = (0..VMS).map(|index| Vm {
            name: format!("vm-{index}"),
            switches: switches(),
            process: None,
        });
        let world = Self {
            log: Log::default(),
            workers: Arc::new(workers),
            vms: Arc::new(Mutex::new(vms.collect())),
            broken_links: Arc::default(),
            rng: Arc::new(Mutex::new(ChaCha8Rng::seed_from_u64(seed))),
        };
        for index in 0..VMS {
            world.start_vm(index);
        }
        world.wait_until_serving().await;
        let infos = world.workers.iter().map(|worker| WorkerInfo {
            name: worker.name.clone(),
            address: "127.0.0.1:9".parse().expect("an address"),
            zone: "split".into(),
            rack: "r1".into(),
            presence: Presence::Live,
            capacity: CAPACITY,
        });
        let infos: Vec<WorkerInfo> = infos.collect();
        let node = world.node(0).expect("VM 0 runs");
        node.submit_one("system", Record::Workers(infos)).await.expect("the workers are accepted");
        world
    }

    pub fn lock(&self) -> MutexGuard<'_, Vec<Vm>> {
        self.vms.lock().expect("no panic while locked")
    }

    /// Returns a random duration below `max`.
    pub fn random(&self, max: Duration) -> Duration {
        let max = u64::try_from(max.as_micros()).expect("a short time").max(1);
        let mut rng = self.rng.lock().expect("no panic while locked");
        Duration::from_micros(rng.random_range(0..max))
    }

    /// Starts the process of a VM, unless it is running.
    pub fn start_vm(&self, index: usize) {
        let mut vms = self.lock();
        if vms[index].process.is_some() {
            return;
        }
        let address = format!("127.0.0.1:{}", index + 1).parse().expect("an address");
        let info = VmInfo {
            name: vms[index].name.clone(),
            zone: "split".into(),
            link: address,
            http: address,
        };
        let author = self.rng.lock().expect("no panic while locked").random();
        let (node, submissions) = Node::new(info, Incarnation(author));
        let router = Router::new(Arc::clone(&node), Config::default());
        let switches = vms[index].switches.clone();
        let mut tasks = JoinSet::new();
        tasks.spawn(self.log.clone().write(Arc::clone(&node), submissions, switches.clone()));
        tasks.spawn(self.log.clone().read(Arc::clone(&node), switches));
        tasks.spawn(run_session(self.clone(), index, Arc::clone(&node)));
        vms[index].process = Some(Process { node, router, _tasks: tasks });
    }

    /// Ends the process of a VM at once, as in a crash.
    pub fn crash_vm(&self, index: usize) {
        self.lock()[index].process = None;
    }

    /// Returns the node of a VM, or `None` while its process is down.
    pub fn node(&self, index: usize) -> Option<Arc<Node>> {
        self.lock()[index].process.as_ref().map(|process| Arc::clone(&process.node))
    }

    /// Returns the index, node and router of the VM with this name, or `None` while its process is down.
    pub fn find(&self, name: &str) -> Option<(usize, Arc<Node>, Arc<Router>)> {
        let vms = self.lock();
        let index = vms.iter().position(|vm| vm.name == name)?;
        let process = vms[index].process.as_ref()?;
        Some((index, Arc::clone(&process.node), Arc::clone(&process.router)))
    }

    pub fn switches(&self, index: usize) -> Switches {
        self.lock()[index].switches.clone()
    }

    /// Returns the node of a VM that is serving and valid. The VM `avoided` is the last choice.
    pub fn any_serving(&self, avoided: usize) -> Option<Arc<Node>> {
        let nodes = (0..VMS).map(|step| self.node((avoided + 1 + step) % VMS));
        nodes.flatten().find(|node| *node.stage.borrow() == Stage::Serving && node.is_valid())
    }

    /// Waits until every VM is serving and knows all members, for at most 120 s.
    pub async fn wait_until_serving(&self) {
        let all = async {
            while !(0..VMS).all(|index| {
                self.node(index).is_some_and(|node| {
                    *node.stage.borrow() == Stage::Serving
                        && node.is_valid()
                        && node.with(|shared| shared.state.vms.len()) == VMS
                })
            }) {
                sleep(Duration::from_millis(50)).await;
            }
        };
        let _ = timeout(Duration::from_secs(120), all).await;
    }

    /// Returns the index of the VM that is the home of a team, or 0 if it is not known.
    pub fn home_of(&self, team: &str) -> usize {
        let Some(node) = self.any_serving(0) else { return 0 };
        let name = node.with(|shared| {
            let home = shared.state.team(team)?.home.vm?;
            Some(shared.state.vms.get(home)?.info.name.clone())
        });
        name.and_then(|name| self.find(&name)).map_or(0, |(index, ..)| index)
    }

    /// Creates a team whose quota exceeds the capacity of the cluster.
    pub async fn create_team(&self, name: &str) {
        let spec = TeamSpec { quota: Resources::new(64_000, 65_536, 0), tokens: Vec::new() };
        let change = TeamChange { name: name.into(), expect: Version(0), spec: Some(spec) };
        let node = self.node(0).expect("VM 0 runs");
        let made = node.submit_one("operator", Record::Team(change)).await;
        assert!(matches!(made, Ok(ApplyEffect::Version(_))), "{made:?}");
    }

    /// Submits a job through a VM, as the resource API does. Returns `None` if the VM is down or does not answer.
    pub async fn submit(
        &self,
        index: usize,
        spec: JobSpec,
    ) -> Option<Result<coriandertack_core::keys::JobId, coriandertack_core::code::Code>> {
        let node = self.node(index)?;
        let answer = peers::submit(node, "team".into(), spec);
        // A process that ends never answers. Its caller would see a broken connection.
        timeout(Duration::from_secs(30), answer).await.ok()
    }
}

/// Runs one session of a process: joins and runs the roles. A new process is started when the session is lost.
async fn run_session(world: World, index: usize, node: Arc<Node>) {
    let joined = coriandertack_log::member::join(&node).await;
    if joined.is_ok() {
        let mut tasks = JoinSet::new();
        let (updates, arrived) = mpsc::channel(4_096);
        tasks.spawn(dispatch::run(Arc::clone(&node)));
        tasks.spawn(capacity::run(Arc::clone(&node), arrived, CHARGE_INTERVAL));
        let peer_tasks = link::peer_tasks(&world, index);
        tasks.spawn(members::run(Arc::clone(&node), peer_tasks, updates));
        let route_node = Arc::clone(&node);
        tasks.spawn(async move {
            loop {
                routes::refresh(&route_node);
                sleep(Duration::from_millis(100)).await;
            }
        });
        let mut stage = node.stage.subscribe();
        let _ = stage.wait_for(|stage| *stage == Stage::Stopped).await;
    }
    tokio::spawn(async move {
        sleep(Duration::from_millis(500)).await;
        // The process is restarted unless a fault or a planned stop has ended it meanwhile.
        let is_current = world.node(index).is_some_and(|known| Arc::ptr_eq(&known, &node));
        if is_current {
            world.crash_vm(index);
            world.start_vm(index);
        }
    });
}

/// Performs a planned stop of a VM.
pub async fn stop_vm(world: &World, index: usize) {
    let Some(node) = world.node(index) else { return };
    node.stage.send_replace(Stage::Draining);
    capacity::charge_usage(Arc::clone(&node)).await;
    let left = timeout(Duration::from_secs(20), coriandertack_log::member::leave(&node)).await;
    let is_current = world.node(index).is_some_and(|known| Arc::ptr_eq(&known, &node));
    if is_current {
        world.crash_vm(index);
    }
    let _ = left;
}
