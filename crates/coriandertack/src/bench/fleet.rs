//! Entry VMs as separate processes, with stand-ins of the platform services in this process.
//!
//! Unlike with [`crate::local`], the processor time and memory of each VM can be read from `/proc`.

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

/// Environment variable with the path of the entry VM's binary. By default it is `coriandertackd` in the
/// directory of this program.
const BINARY_VARIABLE: &str = "CORIANDERTACKD";

/// Operator token of the cells.
const OPERATOR_TOKEN: &str = "bench-operator";

/// Number of availability zones of a cell.
const ZONES: u64 = 3;

/// Number of workers in each rack.
const WORKERS_PER_RACK: u64 = 8;

/// Usage interval of the workers, and interval between two charge records.
const USAGE_INTERVAL: Duration = Duration::from_secs(60);

/// Run time of tasks that outlast the benchmark, in milliseconds.
const LONG_MS: u64 = 600_000;

/// Number of ports reserved for each cell.
const PORTS_PER_CELL: u16 = 200;

/// Timeout of the start of a cell, including its permanent tasks.
const START_TIMEOUT: Duration = Duration::from_secs(60);

/// Clock ticks per second of the processor times in `/proc`, a constant of the kernel's interface to user space.
const TICKS_PER_S: f64 = 100.0;

/// Size and load of a cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Number of entry VMs.
    pub vms: u64,
    /// Number of workers.
    pub workers: u64,
    /// Number of service tasks, which run all the time.
    pub services: u64,
    /// Number of batch tasks that run all the time.
    pub batch: u64,
    /// Number of batch tasks started per minute during the measurement.
    pub starts: u64,
}

/// Process of an entry VM.
struct VmProcess {
    child: Child,
    http: SocketAddr,
}

/// Running cell. Its processes are killed when it is dropped.
pub struct Fleet {
    /// Size and load with which the cell was started.
    pub size: Size,
    number: u16,
    directory: PathBuf,
    log: LogService,
    list: VmList,
    workers: Vec<Worker>,
    vms: Vec<VmProcess>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for vm in &mut self.vms {
            // The process may have exited already, so errors are ignored.
            let _ = vm.child.kill();
            let _ = vm.child.wait();
        }
        let _ = fs::remove_dir_all(&self.directory);
    }
}

/// Cumulative resource use of a cell since its start.
#[derive(Clone, Debug)]
pub struct Totals {
    /// Processor time of each VM, in seconds.
    pub cpu_s: Vec<f64>,
    /// Bytes exchanged between VMs and the log service.
    pub log: u64,
    /// Bytes exchanged between VMs and the VM list.
    pub list: u64,
    /// Bytes exchanged between VMs and workers.
    pub workers: u64,
    /// Bytes of the frames exchanged between VMs.
    pub links: u64,
}

/// Memory of a process in MB.
#[derive(Clone, Copy, Debug, Default)]
pub struct Memory {
    /// Current resident set size.
    pub now: f64,
    /// Peak resident set size.
    pub peak: f64,
}

impl Fleet {
    /// Starts a cell with its permanent tasks and waits until all of them run.
    ///
    /// # Errors
    ///
    /// Fails if the binary of the entry VM is missing or the cell has not started within 60 s.
    pub async fn start(size: Size, number: u16, seed: u64) -> Result<Self> {
        let binary_path = binary_path()?;
        let log = LogService::start(LogConfig::default(), seed).await?;
        let list = VmList::start(Lag { delay_ms: 200, jitter_ms: 300 }, seed).await?;
        let mut workers = Vec::new();
        for index in 0..size.workers {
            let rack = index / WORKERS_PER_RACK;
            let zone = format!("zone-{}", rack % ZONES);
            let mut config =
                WorkerConfig::new(&format!("worker-{index}"), &zone, &format!("rack-{rack}"));
            config.interval_ms = u64::try_from(USAGE_INTERVAL.as_millis())?;
            workers.push(Worker::start(config, seed + index).await?);
        }
        list.add_workers(&workers);
        let name = format!("coriandertack-cost-{}-{number}", std::process::id());
        let directory = std::env::temp_dir().join(name);
        fs::create_dir_all(&directory)?;
        let mut fleet = Self { size, number, directory, log, list, workers, vms: Vec::new() };
        fleet.spawn(&binary_path).await?;
        let deadline = Instant::now() + START_TIMEOUT;
        fleet.wait_ready(deadline).await?;
        fleet.start_tasks(deadline).await?;
        Ok(fleet)
    }

    async fn spawn(&mut self, binary_path: &Path) -> Result<()> {
        let mut ports = port_range(self.number);
        let mut addresses = Vec::new();
        for _ in 0..self.size.vms {
            addresses.push((free_port(&mut ports).await?, free_port(&mut ports).await?));
        }
        let file = self.directory.join("cell.toml");
        fs::write(&file, self.settings(&addresses))?;
        for (index, (_, http)) in addresses.into_iter().enumerate() {
            let name = format!("vm-{index}");
            self.list.set(VmEntry::entry(&name, &zone_name(index as u64), http));
            let errors = File::create(self.directory.join(format!("{name}.log")))?;
            let child = Command::new(binary_path)
                .arg("--settings")
                .arg(&file)
                .args(["--vm", &name])
                .stdout(errors.try_clone()?)
                .stderr(errors)
                .spawn()
                .with_context(|| format!("cannot start {}", binary_path.display()))?;
            self.vms.push(VmProcess { child, http });
        }
        Ok(())
    }

    /// Returns the settings of the cell as TOML, with the intervals of the example settings.
    fn settings(&self, addresses: &[(SocketAddr, SocketAddr)]) -> String {
        let digest = hex::encode(Sha256::digest(OPERATOR_TOKEN.as_bytes()));
        let mut text = format!(
            "deployment = \"vukic\"\ncharge_interval_s = {}\n\
             [log]\naddress = \"{}\"\nstream = \"cost\"\n[vm_list]\naddress = \"{}\"\n\
             [link]\nkey = \"{}\"\n[logging]\nlevel = \"warn\"\n\
             [[operators]]\nname = \"bench\"\ntoken_sha256 = \"{digest}\"\n",
            USAGE_INTERVAL.as_secs(),
            self.log.address(),
            self.list.address(),
            "5a".repeat(32),
        );
        for (index, (link, http)) in addresses.iter().enumerate() {
            let zone = zone_name(index as u64);
            text += &format!(
                "[[vm]]\nname = \"vm-{index}\"\nzone = \"{zone}\"\nlink = \"{link}\"\nhttp = \"{http}\"\n"
            );
        }
        text
    }

    /// Waits until every VM is ready and knows all VMs and workers.
    async fn wait_ready(&mut self, deadline: Instant) -> Result<()> {
        for index in 0..self.vms.len() {
            let client = self.client(index);
            loop {
                let text = client.get_text("/metrics", &[]).await.unwrap_or_default();
                let workers = metric_value(&text, "coriandertack_members{type=\"worker\"}");
                if metric_value(&text, "coriandertack_ready") == 1
                    && workers == self.size.workers
                    && metric_value(&text, "coriandertack_members{type=\"vm\"}") == self.size.vms
                {
                    break;
                }
                self.check_alive()?;
                ensure!(
                    Instant::now() < deadline,
                    "VM {index} was not ready within 60 s; its metrics: {text}"
                );
                sleep(Duration::from_millis(200)).await;
            }
        }
        Ok(())
    }

    /// Fails with the log output of the first VM whose process has exited.
    fn check_alive(&mut self) -> Result<()> {
        for (index, vm) in self.vms.iter_mut().enumerate() {
            if let Some(status) = vm.child.try_wait()? {
                let log = fs::read_to_string(self.directory.join(format!("vm-{index}.log")))?;
                bail!("VM {index} exited with {status}; its log: {log}");
            }
        }
        Ok(())
    }

    /// Creates a team for each VM and starts the tasks that run all the time.
    async fn start_tasks(&self, deadline: Instant) -> Result<()> {
        let quota =
            json!({ "millicores": 100_000_000, "memory_mib": 200_000_000, "accelerators": 0 });
        let content = json!({ "quota": quota, "tokens": [] });
        for team in 0..self.size.vms {
            let path = format!("/v1/teams/team-{team}");
            let client = self.client(0);
            client.change(Method::PUT, &path, &[("expect", "0")], Some(&content)).await?;
        }
        sleep(Duration::from_secs(1)).await;
        for (kind, mut remaining) in [("service", self.size.services), ("batch", self.size.batch)] {
            let mut number = 0;
            while remaining > 0 {
                let tasks = remaining.min(50);
                remaining -= tasks;
                self.submit(number, kind, tasks, LONG_MS).await?;
                number += 1;
            }
        }
        let running = || self.workers.iter().map(|worker| worker.running() as u64).sum::<u64>();
        while running() < self.size.services + self.size.batch {
            ensure!(
                Instant::now() < deadline,
                "only {} of the permanent tasks were running 60 s after the start",
                running()
            );
            sleep(Duration::from_millis(200)).await;
        }
        Ok(())
    }

    /// Submits a job of `tasks` tasks that need one core each. Batch tasks run for `run_ms`.
    pub async fn submit(&self, number: u64, kind: &str, tasks: u64, run_ms: u64) -> Result<()> {
        let command = if kind == "batch" { format!("run_ms={run_ms}") } else { String::new() };
        let job = json!({
            "team": format!("team-{}", number % self.size.vms), "name": format!("{kind}-{number}"),
            "kind": kind, "tasks": tasks, "run_ms": run_ms, "urgent": false, "command": command,
            "need": { "millicores": 1_000, "memory_mib": 1_024 },
        });
        let server = usize::try_from(number % self.size.vms)?;
        self.client(server).change(Method::POST, "/v1/jobs", &[], Some(&job)).await?;
        Ok(())
    }

    fn client(&self, index: usize) -> Client {
        Client::new(&self.vms[index].http.to_string(), OPERATOR_TOKEN)
    }

    /// Reads the cumulative resource use of all VMs.
    pub async fn totals(&self) -> Result<Totals> {
        let mut cpu_s = Vec::new();
        let mut links = 0;
        for (index, vm) in self.vms.iter().enumerate() {
            cpu_s.push(cpu_seconds(vm.child.id())?);
            let text = self.client(index).get_text("/metrics", &[]).await?;
            links += metric_value(&text, "coriandertack_link_bytes");
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

    /// Returns the memory use of the VM with the highest peak.
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

fn zone_name(index: u64) -> String {
    format!("zone-{}", index % ZONES)
}

/// Returns the ports reserved for a cell.
///
/// They lie below the system's ephemeral ports (from 32768). Otherwise an outgoing connection could take the
/// port of a VM before its process listens.
fn port_range(number: u16) -> Range<u16> {
    let run = u16::try_from(std::process::id() % 10).unwrap_or(0);
    let first = 10_000 + run * 2_000 + number * PORTS_PER_CELL;
    first..first + PORTS_PER_CELL
}

async fn free_port(ports: &mut Range<u16>) -> Result<SocketAddr> {
    for port in ports {
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(address).await.is_ok() {
            return Ok(address);
        }
    }
    bail!("too few free ports in the range of the cell")
}

fn binary_path() -> Result<PathBuf> {
    let path = match std::env::var_os(BINARY_VARIABLE) {
        Some(path) => PathBuf::from(path),
        None => std::env::current_exe()?.with_file_name("coriandertackd"),
    };
    ensure!(
        path.is_file(),
        "no entry VM binary at {}; build the package coriandertackd or set {BINARY_VARIABLE} to the path of its binary",
        path.display()
    );
    Ok(path)
}

fn cpu_seconds(process: u32) -> Result<f64> {
    let text = fs::read_to_string(format!("/proc/{process}/stat"))
        .context("cannot read the processor time of a VM; its process may have exited")?;
    // The program name, in parentheses, may contain spaces.
    let (_, rest) = text.rsplit_once(')').context("unexpected format of /proc/PID/stat")?;
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let ticks = |index: usize| fields.get(index).and_then(|field| field.parse::<f64>().ok());
    // User and system time are fields 14 and 15; the first field after the name is field 3.
    let (user, system) = ticks(11).zip(ticks(12)).context("unexpected format of /proc/PID/stat")?;
    Ok((user + system) / TICKS_PER_S)
}

/// Returns the value of a metric in the Prometheus text format, or 0 if it is missing.
fn metric_value(text: &str, name: &str) -> u64 {
    let value = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    value.and_then(|value| value.trim().parse::<f64>().ok()).map_or(0, |value| value as u64)
}
