//! One entry VM process, with stand-ins for the platform's services in the test process.

use std::{
    env,
    ffi::OsString,
    fs::{self, File},
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU8, Ordering},
    time::Duration,
};

use {
    coriandertack_standins::platform::{advice::Advice, store::Store},
    serde_json::json,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::{sleep, timeout},
    },
};

use super::clients;

/// Maximum size of a request body in the configuration.
pub const MAX_BODY_BYTES: usize = 64 * 1_024;

/// Time-out of a condition, after which the test fails. It allows for a build without optimizations on a busy machine.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(90);

/// Time-out of one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval at which conditions are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Pause before a refused request is sent again: the shortest that `Retry-After` states.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Number of the next VM of this process. Each has a loopback address of its own.
static NEXT_VM: AtomicU8 = AtomicU8::new(1);

/// An entry VM process. Dropping it kills the process.
pub struct Vm {
    callers: SocketAddr,
    directory: PathBuf,
    child: Child,
    next_job: u64,
    _store: Store,
    _advice: Advice,
}

impl Drop for Vm {
    fn drop(&mut self) {
        let _gone = self.child.kill();
        let _gone = self.child.wait();
        if std::thread::panicking() {
            eprintln!("logs are in {}", self.directory.display());
        } else {
            let _left = fs::remove_dir_all(&self.directory);
        }
    }
}

/// Returns the body of an ordinary submission.
pub fn job_body() -> String {
    json!({
        "task-spec": "plan",
        "steps": [{ "count": 1, "cpu": 500, "mem-mb": 64, "est-runtime-ms": 100 }],
    })
    .to_string()
}

/// Returns whether the program under test is built with optimizations.
pub fn is_optimized() -> bool {
    !cfg!(debug_assertions) || env::var_os("VM_PROGRAM").is_some()
}

/// Returns the peak resident memory of a process in kB.
pub fn peak_memory_kb(process: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmHWM:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

impl Vm {
    /// Starts a process with further sections of the settings, and waits until it serves requests.
    pub async fn start(settings: &str) -> Self {
        Self::start_with(settings, 15_000).await
    }

    /// Starts a process with an idle time-out in milliseconds.
    pub async fn start_with(settings: &str, idle_ms: u64) -> Self {
        let store = Store::start().await.unwrap();
        let advice = Advice::start().await.unwrap();
        let config = json!({
            "revision": 1,
            "routes": [{
                "name": "plans", "hostname": "vans.example", "path-prefix": "/plans/",
                "route-type": "unsafe", "timeout-ms": 3000, "slo-ms": 1000, "priority": 1,
                "backend": "vans", "attempts": 3, "stretch": 2.0,
                "advice": { "decision-ms": 5.0, "period-ms": 0.5, "validity-ms": 2000 },
            }],
            "services": [{ "name": "vans", "enforces-capacity": false, "standby": false }],
            "limits": {
                "max-header-bytes": 16_384, "max-body-bytes": MAX_BODY_BYTES,
                "header-timeout-ms": 2_000, "idle-timeout-ms": idle_ms,
            },
        });
        store.put("keyed.op", "config", config.to_string().as_bytes());
        let number = NEXT_VM.fetch_add(1, Ordering::Relaxed);
        let process = std::process::id();
        let ip = Ipv4Addr::new(127, 76, (process % 250) as u8 + 1, number);
        let directory =
            PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("crowd-{process}-{number}"));
        fs::create_dir(&directory).unwrap();
        let callers = SocketAddr::from((ip, 21_001));
        let text = format!(
            "[vm]\nname = \"vm-0\"\nzone = \"split\"\ncallers = \"{callers}\"\nready = \"{ip}:21002\"\n\
             link = \"{ip}:21003\"\nmetrics = \"{ip}:21004\"\n\n\
             [platform]\nstore = \"{}\"\nadvice = \"{}\"\n\n{settings}",
            store.address(),
            advice.address(),
        );
        let file = directory.join("vm-0.toml");
        fs::write(&file, text).unwrap();
        let log = File::create(directory.join("vm-0.log")).unwrap();
        let program: OsString = env::var_os("VM_PROGRAM")
            .unwrap_or_else(|| env!("CARGO_BIN_EXE_coriandertackd").into());
        let child = Command::new(program)
            .args(["--platform", "--settings"])
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap();
        let mut vm =
            Self { callers, directory, child, next_job: 0, _store: store, _advice: advice };
        assert!(vm.submits_job().await, "the process does not serve requests");
        vm
    }

    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }

    /// Returns the peak resident memory of the process in kB.
    pub fn peak_memory_kb(&self) -> u64 {
        peak_memory_kb(self.child.id())
    }

    /// Returns the highest number of descriptors that the process had open until a future resolved.
    pub async fn peak_descriptors_until(&self, settled: impl Future<Output = ()>) -> usize {
        let mut settled = std::pin::pin!(settled);
        let mut peak = 0;
        loop {
            // The folder is gone if the process has ended, which the test checks.
            let open = fs::read_dir(format!("/proc/{}/fd", self.child.id()));
            peak = peak.max(open.map_or(0, |open| open.count()));
            if timeout(POLL_INTERVAL, settled.as_mut()).await.is_ok() {
                return peak;
            }
        }
    }

    /// Sends a request as an ordinary client does, which comes back after a refusal. Returns whether it was accepted.
    pub async fn submits_job(&mut self) -> bool {
        let submit = async {
            loop {
                let body = job_body();
                let head = format!("content-length: {}\r\n", body.len());
                if self.post(&head, body.as_bytes()).await == Some(200) {
                    return;
                }
                if !self.is_running() {
                    std::future::pending::<()>().await;
                }
                sleep(RETRY_PAUSE).await;
            }
        };
        timeout(CONDITION_TIMEOUT, submit).await.is_ok()
    }

    /// Submits a job once, with its body in chunks, and returns the status.
    pub async fn post_in_chunks(&mut self, body: &[u8], chunk: usize) -> Option<u16> {
        let mut chunks = clients::in_chunks(body, chunk);
        chunks.extend_from_slice(b"0\r\n\r\n");
        self.post("transfer-encoding: chunked\r\n", &chunks).await
    }

    /// Returns the status with which the VM answers for a job, once it has read the records of all jobs.
    pub async fn state_status(&self, job: u64) -> u16 {
        let head = format!(
            "GET /plans/{job:016x} HTTP/1.1\r\nhost: vans.example\r\nconnection: close\r\n\r\n"
        );
        let known = async {
            loop {
                match self.send(&head, &[]).await {
                    Some(503) | None => sleep(RETRY_PAUSE).await,
                    Some(status) => return status,
                }
            }
        };
        timeout(CONDITION_TIMEOUT, known).await.expect("the VM does not answer")
    }

    async fn post(&mut self, headers: &str, body: &[u8]) -> Option<u16> {
        self.next_job += 1;
        let head = format!(
            "POST /plans/{:016x} HTTP/1.1\r\nhost: vans.example\r\nconnection: close\r\n{headers}\r\n",
            self.next_job
        );
        self.send(&head, body).await
    }

    async fn send(&self, head: &str, body: &[u8]) -> Option<u16> {
        let work = async {
            let mut stream = TcpStream::connect(self.callers).await.ok()?;
            stream.write_all(head.as_bytes()).await.ok()?;
            stream.write_all(body).await.ok()?;
            let mut answer = String::new();
            stream.read_to_string(&mut answer).await.ok()?;
            answer.split(' ').nth(1)?.parse().ok()
        };
        timeout(REQUEST_TIMEOUT, work).await.ok().flatten()
    }
}
