//! Entry VMs as child processes, and the platform's stand-ins in this process.

use std::{
    collections::HashMap,
    fs::{self, File},
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc,
        atomic::{AtomicU8, Ordering},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use {
    coriandertack_jobs::{boot_time::WallTime, config::Route},
    coriandertack_log::jobs,
    coriandertack_platform::callers,
    coriandertack_standins::platform::{
        advice::Advice,
        machines::Machines,
        store::Store,
        worker::{Noted, Worker},
    },
    nix::{
        sys::signal::{Signal, kill},
        unistd::Pid,
    },
    serde_json::json,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::{sleep, timeout},
    },
};

/// Length of each run, in milliseconds.
const RUN_MS: u64 = 700;

/// Longest wait for a condition: several takeovers and the time that an unreachable worker is waited for. A test that
/// needs it has failed.
const LONGEST: Duration = Duration::from_secs(90);

/// Time for which a machine is down for its upkeep.
const UPKEEP: Duration = Duration::from_millis(400);

const LOOK_EVERY: Duration = Duration::from_millis(50);

pub struct Vm {
    callers: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// A deployment of real processes. Dropping it kills those that still run.
pub struct Cluster {
    pub store: Store,
    pub workers: Vec<Worker>,
    pub vms: Vec<Vm>,
    pub machines: Machines,
    advice: Advice,
    directory: PathBuf,
    next: u64,
    /// Runs of workers that are gone.
    retired: Vec<Noted>,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for vm in &mut self.vms {
            if let Some(mut child) = vm.child.take() {
                let _gone = child.kill();
                let _gone = child.wait();
            }
        }
        if std::thread::panicking() {
            eprintln!("logs are in {}", self.directory.display());
        } else {
            let _left = fs::remove_dir_all(&self.directory);
        }
    }
}

/// VMs of all tests of this process, each with a loopback address of its own: ports that were merely free a moment ago
/// are taken by other tests.
static VMS: AtomicU8 = AtomicU8::new(1);

/// Most connections of callers at a VM.
pub const CONNECTIONS: usize = 40;

/// Ports of a VM.
const CALLERS_PORT: u16 = 21_001;
const READY_PORT: u16 = 21_002;
const LINK_PORT: u16 = 21_003;
const METRICS_PORT: u16 = 21_004;

fn own_address() -> Ipv4Addr {
    let process = (std::process::id() % 250) as u8 + 1;
    Ipv4Addr::new(127, 77, process, VMS.fetch_add(1, Ordering::Relaxed))
}

impl Cluster {
    pub async fn start(vms: usize, workers: usize) -> Self {
        let store = Store::start().await.unwrap();
        let advice = Advice::start().await.unwrap();
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!(
            "platform-{}-{}",
            std::process::id(),
            since.as_nanos()
        ));
        fs::create_dir_all(&directory).unwrap();
        let mut cluster = Self {
            store,
            workers: Vec::new(),
            vms: Vec::new(),
            machines: Machines::start().await.unwrap(),
            advice,
            directory,
            next: 1,
            retired: Vec::new(),
        };
        cluster.configure(2, false);
        for number in 0..workers {
            let worker = cluster.start_worker(&format!("i-{number}"), 1_000 + number as u64).await;
            cluster.machines.carry(&format!("m-{number}"), &worker.id());
            cluster.workers.push(worker);
        }
        for number in 0..vms {
            cluster.add_vm(number, 0.0);
        }
        cluster.restart_all().await;
        cluster
    }

    /// Adds a VM with this share of a core, 0 for an unknown one. Its process starts with the next revival.
    pub fn add_vm(&mut self, number: usize, cores: f64) {
        let ip = own_address();
        let callers = SocketAddr::from((ip, CALLERS_PORT));
        let text = format!(
            "[vm]\nname = \"vm-{number}\"\nzone = \"split\"\ncallers = \"{callers}\"\n\
             ready = \"{ip}:{READY_PORT}\"\nlink = \"{ip}:{LINK_PORT}\"\ncores = {cores:.2}\nconnections = {CONNECTIONS}\n\
             metrics = \"{ip}:{METRICS_PORT}\"\n\n\
             [platform]\nstore = \"{}\"\nadvice = \"{}\"\nmachines = \"{}\"\n\n\
             [bounds]\nlease_ms = 300\n",
            self.store.address(),
            self.advice.address(),
            self.machines.address(),
        );
        let settings = self.directory.join(format!("vm-{number}.toml"));
        fs::write(&settings, text).unwrap();
        let log = self.directory.join(format!("vm-{number}.log"));
        self.vms.push(Vm { callers, settings, log, child: None });
    }

    /// Starts a worker and writes its entry.
    async fn start_worker(&self, id: &str, born: u64) -> Worker {
        let worker = Worker::start(id, RUN_MS, born).await.unwrap();
        self.store.put("keyed.servers", id, worker.entry("vans", 4).as_bytes());
        worker
    }

    /// Carries out the upkeep of the machines that are down: the worker goes, and a new one comes.
    pub async fn serve_upkeep(&mut self) {
        for (machine, former) in self.machines.down() {
            let Some(position) = self.workers.iter().position(|worker| worker.id() == former)
            else {
                continue;
            };
            self.store.put("keyed.servers", &former, b"");
            let gone = self.workers.remove(position);
            self.retired.extend(gone.noted());
            drop(gone);
            sleep(UPKEEP).await;
            self.next += 1;
            let born = 5_000 + self.next;
            let id = format!("{former}-{born}");
            let worker = self.start_worker(&id, born).await;
            self.workers.push(worker);
            self.machines.carry(&machine, &id);
        }
    }

    /// Starts every process that does not run, and waits until all serve.
    pub async fn restart_all(&mut self) {
        self.until("all VMs serve", async |cluster| {
            // A process that was told to stop may end only now.
            cluster.revive();
            for vm in 0..cluster.vms.len() {
                if cluster.pending(vm, "/plans/").await != Some(200) {
                    return false;
                }
            }
            true
        })
        .await;
    }

    /// Starts every process that does not run.
    pub fn revive(&mut self) {
        for vm in &mut self.vms {
            if vm.child.as_mut().is_some_and(|child| child.try_wait().unwrap().is_none()) {
                continue;
            }
            let log = File::options().create(true).append(true).open(&vm.log).unwrap();
            let child = Command::new(env!("CARGO_BIN_EXE_coriandertackd"))
                .args(["--platform", "--settings"])
                .arg(&vm.settings)
                .stdin(Stdio::null())
                .stdout(log.try_clone().unwrap())
                .stderr(log)
                .spawn()
                .unwrap();
            vm.child = Some(child);
        }
    }

    /// Tells whether a process runs.
    pub fn runs(&mut self, vm: usize) -> bool {
        let child = self.vms[vm].child.as_mut();
        child.is_some_and(|child| child.try_wait().unwrap().is_none())
    }

    /// Kills a process.
    pub fn kill(&mut self, vm: usize) {
        if let Some(child) = &mut self.vms[vm].child {
            let _gone = child.kill();
            let _status = child.wait();
        }
    }

    /// Submits jobs at all VMs, and returns those that were accepted.
    pub async fn try_submit(&mut self, count: usize) -> Vec<String> {
        let mut jobs = Vec::new();
        for number in 0..count {
            let (job, id) = self.job_name();
            let body = Self::body(id);
            if self.post(number % self.vms.len(), &job, &body).await == Some(200) {
                jobs.push(job);
            }
        }
        jobs
    }

    pub fn configure(&self, revision: u64, extra: bool) {
        let route = |name: &str, prefix: &str| {
            json!({
                "name": name, "hostname": "vans.example", "path-prefix": prefix,
                "route-type": "unsafe", "timeout-ms": 3000, "slo-ms": 1000, "priority": 1,
                "backend": "vans", "attempts": 3, "stretch": 2.0,
                "advice": { "decision-ms": 5.0, "period-ms": 0.5, "validity-ms": 2000 },
            })
        };
        let mut routes = vec![route("plans", "/plans/")];
        if extra {
            routes.push(route("extra", "/extra/"));
        }
        let config = json!({
            "revision": revision,
            "routes": routes,
            "services": [{ "name": "vans", "enforces-capacity": false, "standby": false }],
            "limits": {
                "max-header-bytes": 16384, "max-body-bytes": 262144,
                "header-timeout-ms": 3000, "idle-timeout-ms": 15000,
            },
        });
        self.store.put("keyed.op", "config", config.to_string().as_bytes());
    }

    /// Waits until a condition holds.
    pub async fn until(&mut self, what: &str, holds: impl AsyncFn(&mut Self) -> bool) {
        let wait = async {
            while !holds(self).await {
                sleep(LOOK_EVERY).await;
            }
        };
        assert!(timeout(LONGEST, wait).await.is_ok(), "{what}");
    }

    /// Opens a connection to a VM.
    pub async fn connect(&self, vm: usize) -> TcpStream {
        TcpStream::connect(self.vms[vm].callers).await.unwrap()
    }

    /// Sends a request to a VM and returns status and body, or nothing without an answer.
    async fn call(&self, vm: usize, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
        call(self.vms[vm].callers, method, path, body).await
    }

    /// Returns the metrics of a VM.
    pub async fn metrics(&self, vm: usize) -> Option<String> {
        let address = SocketAddr::new(self.vms[vm].callers.ip(), METRICS_PORT);
        call(address, "GET", "/metrics", "").await.map(|(_, text)| text)
    }

    pub async fn post(&self, vm: usize, job: &str, body: &str) -> Option<u16> {
        let answer = self.call(vm, "POST", &format!("/plans/{job}"), body).await;
        answer.map(|(status, _)| status)
    }

    pub async fn state(&self, vm: usize, job: &str) -> Option<String> {
        let (status, body) = self.call(vm, "GET", &format!("/plans/{job}"), "").await?;
        let body: serde_json::Value = serde_json::from_str(&body).ok()?;
        (status == 200).then(|| body["state"].as_str().unwrap_or_default().to_owned())
    }

    pub async fn pending(&self, vm: usize, prefix: &str) -> Option<u16> {
        self.call(vm, "GET", prefix, "").await.map(|(status, _)| status)
    }

    fn body(number: u64) -> String {
        let gang = number.is_multiple_of(3);
        json!({
            "task-spec": "plan",
            "steps": [
                { "count": 2, "cpu": 500, "mem-mb": 64, "est-runtime-ms": RUN_MS, "gang": gang },
                { "count": 1, "cpu": 1000, "mem-mb": 64, "est-runtime-ms": RUN_MS, "depends-on": [0] },
            ],
        })
        .to_string()
    }

    fn job_name(&mut self) -> (String, u64) {
        self.next += 1;
        (format!("{:016x}", self.next), self.next)
    }

    /// Submits jobs at all VMs in turn, each until it is accepted.
    pub async fn submit(&mut self, count: usize) -> Vec<String> {
        let mut jobs = Vec::new();
        for number in 0..count {
            let vm = number % self.vms.len();
            jobs.extend(self.submit_at(vm, 1).await);
        }
        jobs
    }

    /// Submits jobs, each until it is accepted, at one VM first and then at the others.
    pub async fn submit_at(&mut self, vm: usize, count: usize) -> Vec<String> {
        let mut jobs = Vec::new();
        for _ in 0..count {
            let (job, number) = self.job_name();
            let body = Self::body(number);
            let mut at = vm;
            while self.post(at, &job, &body).await != Some(200) {
                at = (at + 1) % self.vms.len();
                sleep(LOOK_EVERY).await;
            }
            jobs.push(job);
        }
        jobs
    }

    /// Puts a submission in the intake, as a VM without a link to the leader does.
    pub fn put_in_intake(&mut self) -> String {
        let (job, number) = self.job_name();
        let route = Arc::new(Route {
            name: "plans".into(),
            service: "vans".into(),
            max_attempts: 3,
            stretch: 2.0,
            ..Route::default()
        });
        let body = Self::body(number);
        let spec = callers::submission(body.as_bytes(), &route, WallTime(0)).unwrap();
        let (key, value) = jobs::submitted(job.parse().unwrap(), &spec);
        self.store.put("keyed.intake", &key, &value);
        job
    }

    /// Tells whether a task of a job has started.
    pub fn has_run(&self, job: &str) -> bool {
        self.noted().keys().any(|task| task.starts_with(job))
    }

    /// Submits jobs of which each is refused as not run.
    pub async fn refused(&mut self, count: usize) -> Vec<String> {
        let mut jobs = Vec::new();
        for number in 0..count {
            let (job, id) = self.job_name();
            if self.post(number % self.vms.len(), &job, &Self::body(id)).await == Some(503) {
                jobs.push(job);
            }
        }
        assert!(!jobs.is_empty(), "a store that is down refuses something");
        jobs
    }

    /// Waits until every job is shown as completed.
    pub async fn completed(&mut self, jobs: &[String]) {
        for job in jobs {
            self.until(&format!("job {job} is completed"), async |cluster| {
                for vm in 0..cluster.vms.len() {
                    if cluster.state(vm, job).await.as_deref() == Some("completed") {
                        return true;
                    }
                }
                false
            })
            .await;
        }
    }

    /// Returns the VM that took the lead last.
    pub async fn leader(&mut self) -> usize {
        let mut found = None;
        self.until("a VM leads", async |_| true).await;
        for _ in 0..200 {
            let taken = |vm: &Vm| {
                let log = fs::read_to_string(&vm.log).unwrap_or_default();
                let line =
                    log.lines().rev().find(|line| line.contains("event=leadership_taken"))?;
                let epoch = line.split("epoch=").nth(1)?.split(' ').next()?;
                epoch.parse::<u64>().ok()
            };
            let last = self.vms.iter().enumerate().filter_map(|(n, vm)| Some((taken(vm)?, n)));
            found = last.max().map(|(_, n)| n);
            if found.is_some() {
                break;
            }
            sleep(LOOK_EVERY).await;
        }
        found.expect("a VM leads")
    }

    pub async fn kill_leader(&mut self) {
        let leader = self.leader().await;
        self.signal(leader, Signal::SIGKILL);
    }

    pub fn signal(&mut self, vm: usize, signal: Signal) {
        if !self.runs(vm) {
            return;
        }
        if let Some(child) = &self.vms[vm].child {
            kill(Pid::from_raw(child.id() as i32), signal).unwrap();
        }
    }

    pub fn signal_all(&mut self, signal: Signal) {
        for vm in 0..self.vms.len() {
            self.signal(vm, signal);
        }
        if signal == Signal::SIGKILL {
            for vm in &mut self.vms {
                if let Some(child) = &mut vm.child {
                    let _status = child.wait();
                }
            }
        }
    }

    /// Waits for a process to end, and tells whether it did so without an error.
    pub async fn ended_well(&mut self, vm: usize) -> bool {
        for _ in 0..200 {
            if let Some(child) = &mut self.vms[vm].child
                && let Some(status) = child.try_wait().unwrap()
            {
                return status.success();
            }
            sleep(LOOK_EVERY).await;
        }
        false
    }

    fn noted(&self) -> HashMap<String, Vec<Noted>> {
        let mut runs: HashMap<String, Vec<Noted>> = HashMap::new();
        for run in self.workers.iter().flat_map(Worker::noted).chain(self.retired.clone()) {
            runs.entry(run.task.clone()).or_default().push(run);
        }
        runs
    }

    /// Checks that no task ran twice at a time, or again after an end that was noted (RULES, TWICE).
    pub fn audit(&self) {
        for (task, mut runs) in self.noted() {
            runs.sort_by_key(|run| run.began);
            for pair in runs.windows(2) {
                let ended = pair[0].ended;
                assert!(
                    ended.is_some_and(|ended| ended <= pair[1].began),
                    "{task} ran twice at a time: {pair:?}"
                );
                let noted = pair[0].cause == "done" && pair[0].acknowledged;
                assert!(!noted, "{task} ran again after its end was noted: {pair:?}");
                assert!(pair[0].attempt < pair[1].attempt, "attempts rise: {pair:?}");
            }
        }
    }

    /// Checks that no task of the jobs ever started.
    pub fn never_ran(&self, jobs: &[String]) {
        for task in self.noted().keys() {
            assert!(!jobs.iter().any(|job| task.starts_with(job)), "{task} was refused and ran");
        }
    }
}

async fn call(address: SocketAddr, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
    let work = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        let request = format!(
            "{method} {path} HTTP/1.1\r\nhost: vans.example\r\nconnection: close\r\n\
             content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(request.as_bytes()).await.ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.ok()?;
        let status = answer.split(' ').nth(1)?.parse().ok()?;
        let body = answer.split_once("\r\n\r\n").map(|(_, body)| body.to_owned());
        Some((status, body.unwrap_or_default()))
    };
    timeout(Duration::from_secs(5), work).await.ok().flatten()
}
