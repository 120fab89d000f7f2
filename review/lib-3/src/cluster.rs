//! Entry VMs as child processes, started with the command of the deploy file, and the project's stand-ins for the
//! platform's store, workers, machines and advice in this process. Every address is a free port of 127.0.0.1.

use std::{
    collections::HashSet,
    env, fs,
    fs::File,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use {
    coriandertack_standins::platform::{
        advice::Advice, machines::Machines, store::Store, worker::Worker,
    },
    serde_json::{Value, json},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::{sleep, timeout},
    },
};

/// How long a client waits for an answer. Each request says so.
pub const WAIT: Duration = Duration::from_millis(4_000);

/// Capacity of a worker in thousandths of a core, as on the site of the case.
const WORKER_MILLICORES: u64 = 16_000;

pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).expect("the clock is before 1970");
    since.as_millis() as u64
}

fn free_address() -> std::io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

struct Vm {
    callers: SocketAddr,
    child: Child,
}

impl Drop for Vm {
    fn drop(&mut self) {
        let _gone = self.child.kill();
        let _status = self.child.wait();
    }
}

/// Label and run time of a worker.
#[derive(Clone, Copy)]
pub struct Kind {
    pub label: &'static str,
    pub run_ms: u64,
}

pub struct Cluster {
    vms: Vec<Vm>,
    pub workers: Vec<(Worker, Kind)>,
    store: Store,
    machines: Machines,
    advice: Advice,
    directory: PathBuf,
    /// Workers that have crashed, and whose machines are shown as down or with another worker since.
    vacated: HashSet<String>,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.vms.clear();
        match env::var_os("KEEP_LOGS") {
            Some(_) => eprintln!("the logs of the VMs are in {}", self.directory.display()),
            None => drop(fs::remove_dir_all(&self.directory)),
        }
    }
}

impl Cluster {
    /// Starts the stand-ins and the VMs, and waits until each VM serves.
    pub async fn start(program: &Path, vms: usize, kinds: &[Kind]) -> Result<Self, String> {
        let failed = |what: &str, error: &dyn std::fmt::Display| format!("{what}: {error}");
        let directory =
            env::temp_dir().join(format!("review-3-{}-{}", std::process::id(), unix_ms()));
        fs::create_dir_all(&directory).map_err(|error| failed("temporary folder", &error))?;
        let mut cluster = Self {
            vms: Vec::new(),
            workers: Vec::new(),
            store: Store::start().await.map_err(|error| failed("store", &error))?,
            machines: Machines::start().await.map_err(|error| failed("machines", &error))?,
            advice: Advice::start().await.map_err(|error| failed("advice", &error))?,
            directory,
            vacated: HashSet::new(),
        };
        cluster.publish_config();
        for (index, kind) in kinds.iter().enumerate() {
            let worker = Worker::start(&format!("i-{index:016x}"), kind.run_ms, unix_ms()).await;
            let worker = worker.map_err(|error| failed("worker", &error))?;
            worker.set_capacity(WORKER_MILLICORES, &[]);
            cluster.machines.host_worker(&format!("m-{index}"), &worker.id());
            cluster.workers.push((worker, *kind));
            cluster.publish_entry(index);
        }
        for index in 0..vms {
            let vm = cluster.start_vm(program, index).map_err(|error| failed("VM", &error))?;
            cluster.vms.push(vm);
        }
        for vm in 0..vms {
            let mut attempts = 0;
            while cluster.call(vm, "GET", "/plans/", "").await.map(|(status, _)| status)
                != Some(200)
            {
                attempts += 1;
                if attempts > 150 {
                    return Err(format!("VM {vm} does not serve"));
                }
                sleep(Duration::from_millis(100)).await;
            }
        }
        Ok(cluster)
    }

    fn start_vm(&self, program: &Path, index: usize) -> std::io::Result<Vm> {
        let callers = free_address()?;
        let (ready, link, metrics) = (free_address()?, free_address()?, free_address()?);
        let text = format!(
            "[vm]\nname = \"vm-{index}\"\nzone = \"split\"\ncallers = \"{callers}\"\nready = \"{ready}\"\n\
             link = \"{link}\"\ncores = 1.0\nmetrics = \"{metrics}\"\n\n\
             [platform]\nstore = \"{}\"\nadvice = \"{}\"\nmachines = \"{}\"\nmax_record_bytes = 262144\n\
             max_call_bytes = 2097152\n\n\
             [bounds]\nstatus_s = 120\nlease_ms = 3000\nhold_max_ms = 10000\napply_ms = 2000\n\n\
             [logging]\nlevel = \"info\"\n",
            self.store.address(),
            self.advice.address(),
            self.machines.address(),
        );
        let settings = self.directory.join(format!("vm-{index}.toml"));
        fs::write(&settings, text)?;
        let log = File::create(self.directory.join(format!("vm-{index}.log")))?;
        let child = Command::new(program)
            .args(["--platform", "--settings"])
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Vm { callers, child })
    }

    fn publish_config(&self) {
        let config = json!({
            "revision": 2,
            "routes": [{
                "name": "plans", "hostname": "vans.example", "path-prefix": "/plans/", "route-type": "unsafe",
                "timeout-ms": 3000, "slo-ms": 1000, "priority": 1, "backend": "vans", "attempts": 3, "stretch": 2.0,
            }],
            "services": [{ "name": "vans", "enforces-capacity": false, "standby": false }],
            "limits": {
                "max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000,
                "idle-timeout-ms": 15000,
            },
        });
        self.store.put("keyed.op", "config", config.to_string().as_bytes());
    }

    /// Writes the entry of a worker, as it does about once a second.
    pub fn publish_entry(&self, index: usize) {
        let (worker, kind) = &self.workers[index];
        let entry = worker.entry("vans", 16);
        let Ok(mut entry) = serde_json::from_str::<Value>(&entry) else { return };
        entry["labels"] = json!([kind.label, "r1-1"]);
        self.store.put("keyed.servers", &worker.id(), entry.to_string().as_bytes());
    }

    /// Deletes the entry of a worker, as the store does when it lapses.
    pub fn withdraw_entry(&self, index: usize) {
        self.store.put("keyed.servers", &self.workers[index].0.id(), b"");
    }

    /// Shows the machine of a worker as down, without it. Returns false if that was done before.
    pub fn vacate(&mut self, index: usize) -> bool {
        let first = self.vacated.insert(self.workers[index].0.id());
        if first {
            self.machines.vacate(&format!("m-{index}"));
        }
        first
    }

    /// Starts a new worker on the machine of one that has crashed, and returns the former one.
    pub async fn replace_worker(&mut self, index: usize) -> Result<(Worker, Kind), String> {
        let kind = self.workers[index].1;
        let id = format!("i-{:016x}", 0x1000 + self.vacated.len());
        let worker = Worker::start(&id, kind.run_ms, unix_ms()).await;
        let worker = worker.map_err(|error| format!("worker: {error}"))?;
        worker.set_capacity(WORKER_MILLICORES, &[]);
        self.withdraw_entry(index);
        self.machines.host_worker(&format!("m-{index}"), &id);
        let former = std::mem::replace(&mut self.workers[index], (worker, kind));
        self.publish_entry(index);
        Ok(former)
    }

    /// Sends a request to a VM. Returns the status and the body, or `None` without an answer within [`WAIT`].
    pub async fn call(
        &self,
        vm: usize,
        method: &str,
        path: &str,
        body: &str,
    ) -> Option<(u16, String)> {
        let work = async {
            let mut stream = TcpStream::connect(self.vms[vm].callers).await.ok()?;
            let head = format!(
                "{method} {path} HTTP/1.1\r\nhost: vans.example\r\nrequest-deadline: {}\r\nconnection: close\r\n\
                 content-length: {}\r\n\r\n{body}",
                WAIT.as_millis(),
                body.len(),
            );
            stream.write_all(head.as_bytes()).await.ok()?;
            let mut answer = Vec::new();
            stream.read_to_end(&mut answer).await.ok()?;
            let answer = String::from_utf8_lossy(&answer).into_owned();
            let (head, body) = answer.split_once("\r\n\r\n")?;
            Some((head.split(' ').nth(1)?.parse().ok()?, body.to_owned()))
        };
        timeout(WAIT, work).await.ok().flatten()
    }

    /// Returns the state of a job by one VM, the status without one, or `none` without an answer.
    pub async fn state(&self, vm: usize, job: &str) -> String {
        let Some((status, body)) = self.call(vm, "GET", &format!("/plans/{job}"), "").await else {
            return "none".to_owned();
        };
        let body: Value = serde_json::from_str(&body).unwrap_or_default();
        body["state"].as_str().map_or_else(|| status.to_string(), str::to_owned)
    }
}
