//! Three VMs, their fakes, and the switches that faults turn.

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

/// Time between two records of usage.
const CHARGE_EVERY: Duration = Duration::from_secs(2);

/// Switches of one VM that outlast its process.
#[derive(Clone)]
pub struct Switches {
    /// Nothing goes in or out, as while the process is paused; it goes on when the switch is off again.
    pub frozen: watch::Sender<bool>,
    /// The log service cannot be reached.
    pub cut: watch::Sender<bool>,
}

impl Switches {
    /// Waits while the VM is paused.
    pub async fn thawed(&self) {
        let _ = self.frozen.subscribe().wait_for(|frozen| !frozen).await;
    }
}

/// A VM with its process, if it runs.
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

/// Everything, shared by the fakes.
#[derive(Clone)]
pub struct World {
    pub log: Log,
    pub workers: Arc<Vec<Worker>>,
    vms: Arc<Mutex<Vec<Vm>>>,
    /// Pairs of VMs that cannot reach each other.
    pub cuts: Arc<Mutex<Vec<(usize, usize)>>>,
    rng: Arc<Mutex<ChaCha8Rng>>,
}

impl World {
    /// Starts the VMs and lets the first one learn of the workers.
    pub async fn start(seed: u64) -> Self {
        let workers = (0..WORKERS).map(|index| Worker::new(index, seed)).collect();
        let switches =
            || Switches { frozen: watch::Sender::new(false), cut: watch::Sender::new(false) };
        let vms = (0..VMS).map(|index| Vm {
            name: format!("vm-{index}"),
            switches: switches(),
            process: None,
        });
        let world = Self {
            log: Log::default(),
            workers: Arc::new(workers),
            vms: Arc::new(Mutex::new(vms.collect())),
            cuts: Arc::default(),
            rng: Arc::new(Mutex::new(ChaCha8Rng::seed_from_u64(seed))),
        };
        for index in 0..VMS {
            world.start_vm(index);
        }
        world.serving().await;
        let infos = world.workers.iter().map(|worker| WorkerInfo {
            name: worker.name.clone(),
            address: "127.0.0.1:9".parse().expect("an address"),
            zone: "split".into(),
            rack: "r1".into(),
            presence: Presence::Live,
            capacity: CAPACITY,
        });
        let infos: Vec<WorkerInfo> = infos.collect();
        let node = world.node(0).expect("it runs");
        node.submit_one("system", Record::Workers(infos)).await.expect("the workers are known");
        world
    }

    pub fn lock(&self) -> MutexGuard<'_, Vec<Vm>> {
        self.vms.lock().expect("no panic while locked")
    }

    /// Returns a random time below `most`.
    pub fn random(&self, most: Duration) -> Duration {
        let most = u64::try_from(most.as_micros()).expect("a short time").max(1);
        let mut rng = self.rng.lock().expect("no panic while locked");
        Duration::from_micros(rng.random_range(0..most))
    }

    /// Starts the process of a VM, if it does not run.
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
        tasks.spawn(live(self.clone(), index, Arc::clone(&node)));
        vms[index].process = Some(Process { node, router, _tasks: tasks });
    }

    /// Ends the process of a VM at once.
    pub fn crash_vm(&self, index: usize) {
        self.lock()[index].process = None;
    }

    /// Returns the node of a VM, if its process runs.
    pub fn node(&self, index: usize) -> Option<Arc<Node>> {
        self.lock()[index].process.as_ref().map(|process| Arc::clone(&process.node))
    }

    /// Returns the index, node and router of the VM with this name.
    pub fn find(&self, name: &str) -> Option<(usize, Arc<Node>, Arc<Router>)> {
        let vms = self.lock();
        let index = vms.iter().position(|vm| vm.name == name)?;
        let process = vms[index].process.as_ref()?;
        Some((index, Arc::clone(&process.node), Arc::clone(&process.router)))
    }

    pub fn switches(&self, index: usize) -> Switches {
        self.lock()[index].switches.clone()
    }

    /// Returns a VM that serves now, preferably not `but`.
    pub fn any_serving(&self, but: usize) -> Option<Arc<Node>> {
        let nodes = (0..VMS).map(|step| self.node((but + 1 + step) % VMS));
        nodes.flatten().find(|node| *node.stage.borrow() == Stage::Serving && node.is_valid())
    }

    /// Waits until every VM serves, or for a long time.
    pub async fn serving(&self) {
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

    /// Returns the VM that is the home of a team.
    pub fn home_of(&self, team: &str) -> usize {
        let Some(node) = self.any_serving(0) else { return 0 };
        let name = node.with(|shared| {
            let home = shared.state.team(team)?.home.vm?;
            Some(shared.state.vms.get(home)?.info.name.clone())
        });
        name.and_then(|name| self.find(&name)).map_or(0, |(index, ..)| index)
    }

    /// Creates a team with room for everything.
    pub async fn create_team(&self, name: &str) {
        let spec = TeamSpec { quota: Resources::new(64_000, 65_536, 0), tokens: Vec::new() };
        let change = TeamChange { name: name.into(), expect: Version(0), spec: Some(spec) };
        let node = self.node(0).expect("it runs");
        let made = node.submit_one("operator", Record::Team(change)).await;
        assert!(matches!(made, Ok(ApplyEffect::Version(_))), "{made:?}");
    }

    /// Submits a job through a VM, as the resource API does.
    pub async fn submit(
        &self,
        index: usize,
        spec: JobSpec,
    ) -> Option<Result<coriandertack_core::keys::JobId, coriandertack_core::code::Code>> {
        let node = self.node(index)?;
        let answer = peers::submit(node, "team".into(), spec);
        // The caller of a process that dies sees a broken connection.
        timeout(Duration::from_secs(30), answer).await.ok()
    }
}

/// What a process does: join, run its roles, and start anew when the session is lost.
async fn live(world: World, index: usize, node: Arc<Node>) {
    let joined = coriandertack_log::member::join(&node).await;
    if joined.is_ok() {
        let mut tasks = JoinSet::new();
        let (news, arrived) = mpsc::channel(4_096);
        tasks.spawn(dispatch::run(Arc::clone(&node)));
        tasks.spawn(capacity::run(Arc::clone(&node), arrived, CHARGE_EVERY));
        let openers = link::openers(&world, index);
        tasks.spawn(members::run(Arc::clone(&node), openers, news));
        let routed = Arc::clone(&node);
        tasks.spawn(async move {
            loop {
                routes::refresh(&routed);
                sleep(Duration::from_millis(100)).await;
            }
        });
        let mut stage = node.stage.subscribe();
        let _ = stage.wait_for(|stage| *stage == Stage::Stopped).await;
    }
    tokio::spawn(async move {
        sleep(Duration::from_millis(500)).await;
        // The process starts anew unless a fault or a planned stop has ended it.
        let same = world.node(index).is_some_and(|known| Arc::ptr_eq(&known, &node));
        if same {
            world.crash_vm(index);
            world.start_vm(index);
        }
    });
}

/// Stops a VM as planned.
pub async fn stop_vm(world: &World, index: usize) {
    let Some(node) = world.node(index) else { return };
    node.stage.send_replace(Stage::Draining);
    capacity::charge_usage(Arc::clone(&node)).await;
    let left = timeout(Duration::from_secs(20), coriandertack_log::member::leave(&node)).await;
    let same = world.node(index).is_some_and(|known| Arc::ptr_eq(&known, &node));
    if same {
        world.crash_vm(index);
    }
    let _ = left;
}
