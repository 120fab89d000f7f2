//! A deployment of entry VMs as child processes, with the services of the platform simulated in the test's process.

use std::{
    fs::{self, File},
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::PathBuf,
    process::{Child, Command, ExitStatus, Stdio},
    time::Duration,
};

use {
    coriandertack_standins::{
        log::{LogConfig, LogService},
        vmlist::{Lag, VmEntry, VmList},
        worker::{Checkpoints, Worker, WorkerConfig, wire::Amount},
    },
    nix::{
        sys::signal::{Signal, kill},
        unistd::Pid,
    },
    sha2::{Digest, Sha256},
    tokio::{net::TcpListener, time::sleep},
};

/// Stream of the deployment in the log service.
pub const STREAM: &str = "processes-control";

/// Token with which the test authenticates as an operator.
pub const TOKEN: &str = "processes-operator";

/// Number of entry VMs.
pub const VMS: usize = 3;

const WORKERS: usize = 6;

/// Interval at which a child process is checked for its exit.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// An entry VM. `child` is `None` while it is not running.
pub struct Vm {
    pub name: String,
    pub http: SocketAddr,
    link: SocketAddr,
    child: Option<Child>,
}

/// A deployment of real processes. Processes that are still running are killed on drop.
pub struct Cluster {
    pub log: LogService,
    pub workers: Vec<Worker>,
    pub vms: Vec<Vm>,
    directory: PathBuf,
    _list: VmList,
}

impl Cluster {
    pub async fn start(seed: u64) -> Self {
        let log = LogService::start(LogConfig::default(), seed).await.expect("a log service");
        let list = VmList::start(Lag { delay_ms: 200, jitter_ms: 300 }, seed).await;
        let list = list.expect("a VM list");
        let workers = start_workers(seed).await;
        list.add_workers(&workers);
        let mut vms = Vec::new();
        for index in 0..VMS {
            let (http, link) = (free_address().await, free_address().await);
            let name = format!("entry-{index}");
            list.set(VmEntry::entry(&name, "split", http));
            vms.push(Vm { name, http, link, child: None });
        }
        let id = std::process::id();
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("processes-{id}"));
        fs::create_dir_all(&directory).expect("a directory for the settings");
        let settings = settings(&log, &list, &vms);
        fs::write(directory.join("settings.toml"), settings).expect("a settings file");
        let mut cluster = Self { log, workers, vms, directory, _list: list };
        for index in 0..VMS {
            cluster.spawn(index);
        }
        cluster
    }

    /// Starts the process of a VM. Its log lines are appended to a file in the directory of the settings.
    pub fn spawn(&mut self, index: usize) {
        let vm = &mut self.vms[index];
        let log_file = File::options()
            .create(true)
            .append(true)
            .open(self.directory.join(format!("{}.log", vm.name)))
            .expect("a file for log lines");
        let child = Command::new(env!("CARGO_BIN_EXE_coriandertackd"))
            .arg("--settings")
            .arg(self.directory.join("settings.toml"))
            .args(["--vm", &vm.name])
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log_file)
            .spawn()
            .expect("the process starts");
        vm.child = Some(child);
    }

    /// Sends a signal to the process of a VM.
    pub fn signal(&self, index: usize, signal: Signal) {
        let child = self.vms[index].child.as_ref().expect("the process runs");
        let id = i32::try_from(child.id()).expect("a process id");
        kill(Pid::from_raw(id), signal).expect("the child was not waited for yet");
    }

    /// Waits until the process of a VM exits.
    pub async fn wait_for_exit(&mut self, index: usize) -> ExitStatus {
        let child = self.vms[index].child.as_mut().expect("the process runs");
        loop {
            if let Some(status) = child.try_wait().expect("the state of a child") {
                self.vms[index].child = None;
                return status;
            }
            sleep(CHECK_INTERVAL).await;
        }
    }

    /// Removes the settings and the log files. After a failed test they are kept for diagnosis.
    pub fn remove_files(&self) {
        fs::remove_dir_all(&self.directory).expect("the directory of the settings");
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            // Both calls fail only if the process has already ended.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

async fn start_workers(seed: u64) -> Vec<Worker> {
    let checkpoints = Checkpoints::default();
    let mut workers = Vec::new();
    for index in 0..WORKERS {
        let rack = format!("r{}", index % 2);
        let mut config = WorkerConfig::new(&format!("w{index}"), "split", &rack);
        config.capacity = Amount::new(24_000, 32_768, 0);
        config.interval_ms = 500;
        config.usage_jitter_ms = 200;
        config.doubled = 0.1;
        config.checkpoints = checkpoints.clone();
        let worker = Worker::start(config, seed + index as u64).await;
        workers.push(worker.expect("a worker"));
    }
    workers
}

/// Returns an address that stays free while a VM is down. Each run of the test uses a loopback address of its own,
/// because outgoing connections of this machine could take the port on 127.0.0.1.
async fn free_address() -> SocketAddr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let loopback = IpAddr::V4(Ipv4Addr::new(127, 64 | high, middle, low));
    let listener = TcpListener::bind((loopback, 0)).await.expect("a free port");
    listener.local_addr().expect("an address")
}

fn settings(log: &LogService, list: &VmList, vms: &[Vm]) -> String {
    let digest = hex::encode(Sha256::digest(TOKEN.as_bytes()));
    let key = hex::encode(Sha256::digest(digest.as_bytes()));
    let mut text = format!(
        r#"deployment = "vukic"
drain_limit_s = 30
charge_interval_s = 1
[log]
address = "{}"
stream = "{STREAM}"
[vm_list]
address = "{}"
poll_interval_ms = 500
[link]
key = "{key}"
[logging]
level = "info"
[[operators]]
name = "operator"
token_sha256 = "{digest}"
"#,
        log.address(),
        list.address(),
    );
    for Vm { name, http, link, .. } in vms {
        let vm = format!(
            "[[vm]]\nname = \"{name}\"\nzone = \"split\"\nlink = \"{link}\"\nhttp = \"{http}\"\n"
        );
        text.push_str(&vm);
    }
    text
}
