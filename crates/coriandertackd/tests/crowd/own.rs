//! One process with the product's own interface, with stand-ins for the log service and the VM list in the test process.

use std::{
    env,
    ffi::OsString,
    fs::{self, File},
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::Duration,
};

use {
    coriandertack_standins::{
        log::{LogConfig, LogService},
        vmlist::{Lag, VmEntry, VmList},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::{sleep, timeout},
    },
};

/// Time-out of a condition, after which the test fails.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(60);

/// Time-out of one request, and pause before the next one.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// A process with its own interface. Dropping it kills the process.
pub struct OwnVm {
    http: SocketAddr,
    directory: PathBuf,
    child: Child,
    _log: LogService,
    _list: VmList,
}

impl Drop for OwnVm {
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

impl OwnVm {
    /// Starts a process that may open `max_fds` descriptors, and waits until it answers.
    pub async fn start(max_fds: usize) -> Self {
        let log_service = LogService::start(LogConfig::default(), 1).await.unwrap();
        let list = VmList::start(Lag { delay_ms: 0, jitter_ms: 0 }, 1).await.unwrap();
        let process = std::process::id();
        let ip = Ipv4Addr::new(127, 76, (process % 250) as u8 + 1, 250);
        let http = SocketAddr::from((ip, 21_001));
        list.set(VmEntry::entry("entry-0", "split", http));
        let directory =
            PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("crowd-own-{process}"));
        fs::create_dir(&directory).unwrap();
        let digits = "ab".repeat(32);
        let settings = format!(
            "deployment = \"vukic\"\n[log]\naddress = \"{}\"\nstream = \"crowd\"\n[vm_list]\naddress = \"{}\"\n\
             [link]\nkey = \"{digits}\"\n[[operators]]\nname = \"operator\"\ntoken_sha256 = \"{digits}\"\n\
             [[vm]]\nname = \"entry-0\"\nzone = \"split\"\nlink = \"{ip}:21002\"\nhttp = \"{http}\"\n",
            log_service.address(),
            list.address(),
        );
        let file = directory.join("settings.toml");
        fs::write(&file, settings).unwrap();
        let output = File::create(directory.join("vm.log")).unwrap();
        let program: OsString = env::var_os("VM_PROGRAM")
            .unwrap_or_else(|| env!("CARGO_BIN_EXE_coriandertackd").into());
        let child = Command::new("sh")
            .arg("-c")
            .arg(format!("ulimit -n {max_fds} && exec \"$0\" \"$@\""))
            .arg(program)
            .arg("--settings")
            .arg(&file)
            .args(["--vm", "entry-0"])
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(output)
            .spawn()
            .unwrap();
        let vm = Self { http, directory, child, _log: log_service, _list: list };
        assert!(vm.answers().await, "the process does not answer");
        vm
    }

    pub fn address(&self) -> SocketAddr {
        self.http
    }

    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }

    /// Returns the id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends an ordinary request, again and again until it is answered, and returns whether it was.
    pub async fn answers(&self) -> bool {
        let answered = async {
            while timeout(REQUEST_TIMEOUT, self.get("/healthz")).await != Ok(Some(200)) {
                sleep(RETRY_PAUSE).await;
            }
        };
        timeout(CONDITION_TIMEOUT, answered).await.is_ok()
    }

    async fn get(&self, path: &str) -> Option<u16> {
        let mut stream = TcpStream::connect(self.http).await.ok()?;
        let head =
            format!("GET {path} HTTP/1.1\r\nhost: vans.example\r\nconnection: close\r\n\r\n");
        stream.write_all(head.as_bytes()).await.ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.ok()?;
        answer.split(' ').nth(1)?.parse().ok()
    }
}
