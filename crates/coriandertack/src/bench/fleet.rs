//! Entry VMs as processes of their own, with stand-ins for the platform in this process.
//!
//! Unlike [`crate::local`], what a VM costs can be read from the system's account of its process.

use std::{
    fs::{self, File},
    net::{Ipv4Addr, SocketAddr},
    ops::Range,
    path::{Path, PathBuf},
    process::{Child, Command},
    time::Duration,
};

use {
    anyhow::{Context, Result, bail, ensure},
    coriandertack_standins::{
        log::{LogConfig, LogService},
        vmlist::{Lag, VmEntry, VmList},
        worker::{Worker, WorkerConfig},
    },
    hyper::Method,
    serde_json::json,
    sha2::{Digest, Sha256},
    tokio::{
        net::TcpListener,
        time::{Instant, sleep},
    },
};

use crate::cli::Client;

/// Names another binary than the `coriandertackd` beside this program.
const BINARY: &str = "CORIANDERTACKD";

/// Token of the operator of the cells.
const TOKEN: &str = "bench-operator";

/// Availability zones of a cell.
const ZONES: u64 = 3;

/// Workers in a rack.
const RACK: u64 = 8;

/// Usage interval of the workers, and time between two records of usage.
const USAGE: Duration = Duration::from_secs(60);

/// Run time of tasks that outlast the bench.
const LONG_MS: u64 = 600_000;

/// Ports that a cell may use.
const PORTS: u16 = 200;

/// How long a cell may take to start.
const START_TIMEOUT: Duration = Duration::from_secs(60);

/// Ticks per second of the processor times in `/proc`. The kernel fixes it for user programs.
const TICKS_PER_S: f64 = 100.0;

/// Sizes of a cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Entry VMs.
    pub vms: u64,
    /// Workers.
    pub workers: u64,
    /// Tasks of long-running services.
    pub services: u64,
    /// Batch tasks that run all the time.
    pub batch: u64,
    /// Starts of batch tasks per minute.
    pub starts: u64,
}

/// An entry VM.
struct Vm {
    child: Child,
    http: SocketAddr,
}

/// A running cell. Its processes are killed when it is dropped.
pub struct Fleet {
    /// Its sizes.
    pub size: Size,
    number: u16,
    directory: PathBuf,
    log: LogService,
    list: VmList,
    workers: Vec<Worker>,
    vms: Vec<Vm>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for vm in &mut self.vms {
            // It may have ended by itself.
            let _ = vm.child.kill();
            let _ = vm.child.wait();
        }
        let _ = fs::remove_dir_all(&self.directory);
    }
}

/// Running totals of a cell.
#[derive(Clone, Debug)]
pub struct Totals {
    /// Processor time of each VM in seconds.
    pub cpu_s: Vec<f64>,
    /// Bytes between VMs and the log service.
    pub log: u64,
    /// Bytes between VMs and the VM list.
    pub list: u64,
    /// Bytes between VMs and workers.
    pub workers: u64,
    /// Bytes of frames between VMs.
    pub links: u64,
}

/// Memory of a process in MB.
#[derive(Clone, Copy, Debug, Default)]
pub struct Memory {
    /// Resident now.
    pub now: f64,
    /// Most that was resident.
    pub peak: f64,
}

impl Fleet {
    /// Starts a cell and its services, and waits until all of them run.
    ///
    /// # Errors
    ///
    /// Fails if the binary is missing or the cell does not come up.
    pub async fn start(size: Size, number: u16, seed: u64) -> Result<Self> {
        let binary = binary()?;
        let log = LogService::start(LogConfig::default(), seed).await?;
        let list = VmList::start(Lag { delay_ms: 200, jitter_ms: 300 }, seed).await?;
        let mut workers = Vec::new();
        for index in 0..size.workers {
            let rack = index / RACK;
            let zone = format!("zone-{}", rack % ZONES);
            let mut config =
                WorkerConfig::new(&format!("worker-{index}"), &zone, &format!("rack-{rack}"));
            config.interval_ms = u64::try_from(USAGE.as_millis())?;
            workers.push(Worker::start(config, seed + index).await?);
        }
        list.add_workers(&workers);
        let name = format!("coriandertack-cost-{}-{number}", std::process::id());
        let directory = std::env::temp_dir().join(name);
        fs::create_dir_all(&directory)?;
        let mut fleet = Self { size, number, directory, log, list, workers, vms: Vec::new() };
        fleet.spawn(&binary).await?;
        let until = Instant::now() + START_TIMEOUT;
        fleet.ready(until).await?;
        fleet.fill(until).await?;
        Ok(fleet)
    }

    async fn spawn(&mut self, binary: &Path) -> Result<()> {
        let mut ports = ports(self.number);
        let mut addresses = Vec::new();
        for _ in 0..self.size.vms {
            addresses.push((free(&mut ports).await?, free(&mut ports).await?));
        }
        let file = self.directory.join("cell.toml");
        fs::write(&file, self.settings(&addresses))?;
        for (index, (_, http)) in addresses.into_iter().enumerate() {
            let name = format!("vm-{index}");
            self.list.set(VmEntry::entry(&name, &zone(index as u64), http));
            let errors = File::create(self.directory.join(format!("{name}.log")))?;
            let child = Command::new(binary)
                .arg("--settings")
                .arg(&file)
                .args(["--vm", &name])
                .stdout(errors.try_clone()?)
                .stderr(errors)
                .spawn()
                .with_context(|| format!("cannot start {}", binary.display()))?;
            self.vms.push(Vm { child, http });
        }
        Ok(())
    }

    /// Returns the settings file of the cell, with the intervals of the example settings.
    fn settings(&self, addresses: &[(SocketAddr, SocketAddr)]) -> String {
        let digest = hex::encode(Sha256::digest(TOKEN.as_bytes()));
        let mut text = format!(
            "deployment = \"vukic\"\ncharge_interval_s = {}\n\
             [log]\naddress = \"{}\"\nstream = \"cost\"\n[vm_list]\naddress = \"{}\"\n\
             [link]\nkey = \"{}\"\n[logging]\nlevel = \"warn\"\n\
             [[operators]]\nname = \"bench\"\ntoken_sha256 = \"{digest}\"\n",
            USAGE.as_secs(),
            self.log.address(),
            self.list.address(),
            "5a".repeat(32),
        );
        for (index, (link, http)) in addresses.iter().enumerate() {
            let zone = zone(index as u64);
            text += &format!(
                "[[vm]]\nname = \"vm-{index}\"\nzone = \"{zone}\"\nlink = \"{link}\"\nhttp = \"{http}\"\n"
            );
        }
        text
    }

    /// Waits until every VM serves with all workers known.
    async fn ready(&mut self, until: Instant) -> Result<()> {
        for index in 0..self.vms.len() {
            let client = self.operator(index);
            loop {
                let text = client.get_text("/metrics", &[]).await.unwrap_or_default();
                let workers = metric(&text, "coriandertack_members{type=\"worker\"}");
                if metric(&text, "coriandertack_ready") == 1
                    && workers == self.size.workers
                    && metric(&text, "coriandertack_members{type=\"vm\"}") == self.size.vms
                {
                    break;
                }
                self.alive()?;
                ensure!(Instant::now() < until, "VM {index} is not ready: {text}");
                sleep(Duration::from_millis(200)).await;
            }
        }
        Ok(())
    }

    /// Fails if a VM has ended.
    fn alive(&mut self) -> Result<()> {
        for (index, vm) in self.vms.iter_mut().enumerate() {
            if let Some(status) = vm.child.try_wait()? {
                let log = fs::read_to_string(self.directory.join(format!("vm-{index}.log")))?;
                bail!("VM {index} has ended with {status}: {log}");
            }
        }
        Ok(())
    }

    /// Declares a team and starts the tasks that run all the time.
    async fn fill(&self, until: Instant) -> Result<()> {
        let quota =
            json!({ "millicores": 100_000_000, "memory_mib": 200_000_000, "accelerators": 0 });
        let content = json!({ "quota": quota, "tokens": [] });
        for team in 0..self.size.vms {
            let path = format!("/v1/teams/team-{team}");
            let client = self.operator(0);
            client.change(Method::PUT, &path, &[("expect", "0")], Some(&content)).await?;
        }
        sleep(Duration::from_secs(1)).await;
        for (kind, mut left) in [("service", self.size.services), ("batch", self.size.batch)] {
            let mut number = 0;
            while left > 0 {
                let tasks = left.min(50);
                left -= tasks;
                self.submit(number, kind, tasks, LONG_MS).await?;
                number += 1;
            }
        }
        let running = || self.workers.iter().map(|worker| worker.running() as u64).sum::<u64>();
        while running() < self.size.services + self.size.batch {
            ensure!(Instant::now() < until, "{} of the tasks run", running());
            sleep(Duration::from_millis(200)).await;
        }
        Ok(())
    }

    /// Submits a job of `tasks` tasks of one core. Batch tasks run for `run_ms`.
    pub async fn submit(&self, number: u64, kind: &str, tasks: u64, run_ms: u64) -> Result<()> {
        let command = if kind == "batch" { format!("run_ms={run_ms}") } else { String::new() };
        let job = json!({
            "team": format!("team-{}", number % self.size.vms), "name": format!("{kind}-{number}"),
            "kind": kind, "tasks": tasks, "run_ms": run_ms, "urgent": false, "command": command,
            "need": { "millicores": 1_000, "memory_mib": 1_024 },
        });
        let server = usize::try_from(number % self.size.vms)?;
        self.operator(server).change(Method::POST, "/v1/jobs", &[], Some(&job)).await?;
        Ok(())
    }

    fn operator(&self, index: usize) -> Client {
        Client::new(&self.vms[index].http.to_string(), TOKEN)
    }

    /// Reads the running totals.
    pub async fn totals(&self) -> Result<Totals> {
        let mut cpu_s = Vec::new();
        let mut links = 0;
        for (index, vm) in self.vms.iter().enumerate() {
            cpu_s.push(cpu_s_of(vm.child.id())?);
            let text = self.operator(index).get_text("/metrics", &[]).await?;
            links += metric(&text, "coriandertack_link_bytes");
        }
        let workers = self.workers.iter().map(|worker| worker.traffic().bytes()).sum();
        Ok(Totals {
            cpu_s,
            log: self.log.traffic().bytes(),
            list: self.list.traffic().bytes(),
            workers,
            links,
        })
    }

    /// Returns the memory of the VM with the highest peak.
    pub fn memory(&self) -> Result<Memory> {
        let mut most = Memory::default();
        for vm in &self.vms {
            let text = fs::read_to_string(format!("/proc/{}/status", vm.child.id()))?;
            let read = |key: &str| {
                let line = text.lines().find(|line| line.starts_with(key));
                let kib = line.and_then(|line| line.split_whitespace().nth(1));
                kib.and_then(|kib| kib.parse::<f64>().ok()).unwrap_or(0.0) * 1_024.0 / 1e6
            };
            let memory = Memory { now: read("VmRSS:"), peak: read("VmHWM:") };
            if memory.peak > most.peak {
                most = memory;
            }
        }
        Ok(most)
    }
}

fn zone(index: u64) -> String {
    format!("zone-{}", index % ZONES)
}

/// Returns the ports of a cell.
///
/// They are below those that the system gives to outgoing connections (from 32768), one of which could
/// otherwise take the port of a VM before its process listens.
fn ports(number: u16) -> Range<u16> {
    let run = u16::try_from(std::process::id() % 10).unwrap_or(0);
    let first = 10_000 + run * 2_000 + number * PORTS;
    first..first + PORTS
}

async fn free(ports: &mut Range<u16>) -> Result<SocketAddr> {
    for port in ports {
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(address).await.is_ok() {
            return Ok(address);
        }
    }
    bail!("too few free ports")
}

fn binary() -> Result<PathBuf> {
    let path = match std::env::var_os(BINARY) {
        Some(path) => PathBuf::from(path),
        None => std::env::current_exe()?.with_file_name("coriandertackd"),
    };
    ensure!(
        path.is_file(),
        "no entry VM at {}: build the package coriandertackd, or set {BINARY} to its binary",
        path.display()
    );
    Ok(path)
}

fn cpu_s_of(process: u32) -> Result<f64> {
    let text = fs::read_to_string(format!("/proc/{process}/stat")).context("a VM has ended")?;
    // The name of the program, in parentheses, may contain spaces.
    let (_, rest) = text.rsplit_once(')').context("unexpected /proc/PID/stat")?;
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let ticks = |index: usize| fields.get(index).and_then(|field| field.parse::<f64>().ok());
    // Fields 14 and 15, user and system time; the state after the name is field 3.
    let (user, system) = ticks(11).zip(ticks(12)).context("unexpected /proc/PID/stat")?;
    Ok((user + system) / TICKS_PER_S)
}

/// Returns a value of the Prometheus text format, or 0 if it is not there.
fn metric(text: &str, name: &str) -> u64 {
    let value = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    value.and_then(|value| value.trim().parse::<f64>().ok()).map_or(0, |value| value as u64)
}
