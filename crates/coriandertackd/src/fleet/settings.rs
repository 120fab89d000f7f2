//! Settings of an entry VM on the platform, in the format of `deploy/settings.toml`.
//!
//! ```
//! use coriandertackd::fleet::settings::parse;
//!
//! let text = r#"
//! [vm]
//! name = "split-1"
//! zone = "split"
//! callers = "127.0.0.1:1"
//! ready = "127.0.0.1:2"
//! link = "127.0.0.1:3"
//!
//! [platform]
//! store = "127.0.0.1:4"
//! "#;
//! assert_eq!(parse(text).unwrap().vm.name, "split-1");
//! ```

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
};

use {
    anyhow::{Context, Result},
    coriandertack_jobs::sched::DEFAULT_LEASE_LIMIT_MS,
    coriandertack_platform::store::AppendLimits,
    log::LevelFilter,
    serde::{Deserialize, Deserializer, de::Error},
};

/// Settings of the process.
#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    /// Identity and addresses of this VM.
    pub vm: Vm,
    /// Addresses of the platform's services.
    pub platform: Platform,
    /// Time bounds stated by the platform.
    #[serde(default)]
    pub bounds: Bounds,
    /// Resources of the VM.
    #[serde(default)]
    pub limits: Limits,
    /// How teams share what there is too little of.
    #[serde(default)]
    pub teams: Teams,
    /// Log settings.
    #[serde(default)]
    pub logging: Logging,
    /// File that the settings were read from, and are reloaded from.
    #[serde(skip)]
    pub file: PathBuf,
}

/// Identity and addresses of this VM.
#[derive(Clone, Debug, Deserialize)]
pub struct Vm {
    /// Name of the VM, unique in the deployment.
    pub name: String,
    /// Availability zone of the VM.
    pub zone: String,
    /// Listen address for callers' requests.
    pub callers: SocketAddr,
    /// Listen address for the load balancer's readiness probes.
    pub ready: SocketAddr,
    /// Listen address for the links that leaders open to this VM.
    pub link: SocketAddr,
    /// CPU capacity of the VM in cores; 0 if unknown.
    #[serde(default)]
    pub cores: f64,
    /// Maximum number of open connections from callers. It is lower if the memory or the descriptors of the VM do not
    /// suffice, see [`Settings::max_connections`].
    #[serde(default = "connections")]
    pub connections: usize,
    /// Listen address of the metrics; an empty text disables them.
    #[serde(default, deserialize_with = "optional")]
    pub metrics: Option<SocketAddr>,
}

/// Addresses of the platform's services.
#[derive(Clone, Debug, Deserialize)]
pub struct Platform {
    /// Address of the store.
    pub store: SocketAddr,
    /// Address of the advice service; an empty text means that there is none.
    #[serde(default, deserialize_with = "optional")]
    pub advice: Option<SocketAddr>,
    /// Address of the machine interface; an empty text disables maintenance waves.
    #[serde(default, deserialize_with = "optional")]
    pub machines: Option<SocketAddr>,
    /// Maximum size of a record in the store, in bytes.
    #[serde(default = "max_record_bytes", deserialize_with = "positive")]
    pub max_record_bytes: f64,
    /// Maximum size of the records of one append to the store, in bytes.
    #[serde(default = "max_call_bytes", deserialize_with = "positive")]
    pub max_call_bytes: f64,
}

impl Platform {
    /// Returns the sizes that the store accepts.
    #[must_use]
    pub const fn append_limits(&self) -> AppendLimits {
        AppendLimits {
            record_bytes: self.max_record_bytes as usize,
            call_bytes: self.max_call_bytes as usize,
        }
    }
}

fn max_record_bytes() -> f64 {
    AppendLimits::default().record_bytes as f64
}

fn max_call_bytes() -> f64 {
    AppendLimits::default().call_bytes as f64
}

/// Time bounds stated by the platform.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default)]
pub struct Bounds {
    /// Time for which the state of an ended job can be queried, in seconds.
    pub status_s: u64,
    /// Time for which one holder's command for a machine excludes those of other holders, in milliseconds.
    pub lease_ms: u64,
    /// Longest lease that workers accept, in milliseconds.
    pub hold_max_ms: u64,
    /// Time after its publication within which a configuration has to be in force, in milliseconds.
    pub apply_ms: u64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            status_s: 120,
            lease_ms: 3_000,
            hold_max_ms: DEFAULT_LEASE_LIMIT_MS,
            apply_ms: 2_000,
        }
    }
}

/// Resources of the VM. The defaults are those of the smallest VM.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Memory in MB.
    #[serde(deserialize_with = "positive")]
    pub memory_mb: f64,
    /// Number of file descriptors.
    #[serde(deserialize_with = "positive")]
    pub max_fds: f64,
    /// Speed of the network link in Mbit/s.
    #[serde(deserialize_with = "positive")]
    pub link_mbps: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Self { memory_mb: 120.0, max_fds: 3_075.0, link_mbps: 10.0 }
    }
}

impl Limits {
    fn memory_bytes(self) -> usize {
        (self.memory_mb * f64::from(1 << 20)) as usize
    }
}

/// Part of the memory that holds callers' requests while they are received and served, as a divisor. A body exists up to
/// three times while its job is recorded. A quarter of this part is added for small bodies.
const BODY_SHARE: usize = 10;

/// Part of the memory for the buffers and the tasks of callers' connections, as a divisor.
const CONNECTION_SHARE: usize = 4;

/// Memory of one connection in bytes: buffers of 8 KiB for each direction, and its task. Unfinished heads count in the
/// budget of bodies.
const CONNECTION_BYTES: usize = 24 * 1_024;

/// File descriptors that are reserved for files.
const FILE_FDS: usize = 200;

/// Lowest limit of callers' connections, however small the VM is.
const MIN_CONNECTIONS: usize = 16;

impl Settings {
    /// Returns the size of the budget for bodies of callers' requests, in bytes.
    #[must_use]
    pub fn body_budget(&self) -> usize {
        self.limits.memory_bytes() / BODY_SHARE
    }

    /// Returns how long the transfer of this many bytes takes over an idle link, in milliseconds.
    #[must_use]
    pub fn transfer_ms(&self, bytes: usize) -> u64 {
        (bytes as f64 * 8.0 / (self.limits.link_mbps * 1_000.0)) as u64
    }

    /// Returns the maximum number of callers' connections. A quarter of the descriptors is left for connections to
    /// workers, the store and other VMs.
    #[must_use]
    pub fn max_connections(&self) -> usize {
        let by_memory = self.limits.memory_bytes() / CONNECTION_SHARE / CONNECTION_BYTES;
        let by_fds = (self.limits.max_fds as usize).saturating_sub(FILE_FDS) / 4 * 3;
        self.vm.connections.min(by_memory.min(by_fds).max(MIN_CONNECTIONS))
    }
}

/// How teams share what there is too little of.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default)]
pub struct Teams {
    /// Multiple of its fair share up to which the work of a team keeps its place in the queue.
    #[serde(deserialize_with = "at_least_one")]
    pub share_tolerance: f64,
}

impl Default for Teams {
    /// Returns a tolerance with which a single wide gang does not yet put the other work of its team
    /// behind that of all others.
    fn default() -> Self {
        Self { share_tolerance: 4.0 }
    }
}

/// Log settings.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default)]
pub struct Logging {
    /// Maximum level of the lines that are logged.
    #[serde(deserialize_with = "level")]
    pub level: LevelFilter,
}

impl Default for Logging {
    fn default() -> Self {
        Self { level: LevelFilter::Info }
    }
}

/// Default for the maximum number of callers' connections, which a VM with 4,100 file descriptors has room for beside
/// its connections to workers, the store and other VMs.
const fn connections() -> usize {
    3_000
}

fn at_least_one<'de, D: Deserializer<'de>>(input: D) -> Result<f64, D::Error> {
    let value = f64::deserialize(input)?;
    if value.is_finite() && value >= 1.0 {
        Ok(value)
    } else {
        Err(D::Error::custom("share_tolerance must be a number of at least 1"))
    }
}

fn optional<'de, D: Deserializer<'de>>(input: D) -> Result<Option<SocketAddr>, D::Error> {
    let text = String::deserialize(input)?;
    if text.is_empty() {
        return Ok(None);
    }
    text.parse().map(Some).map_err(D::Error::custom)
}

fn positive<'de, D: Deserializer<'de>>(input: D) -> Result<f64, D::Error> {
    let value = f64::deserialize(input)?;
    match value.is_finite() && value > 0.0 {
        true => Ok(value),
        false => Err(D::Error::custom("must be above 0")),
    }
}

fn level<'de, D: Deserializer<'de>>(input: D) -> Result<LevelFilter, D::Error> {
    String::deserialize(input)?.parse().map_err(D::Error::custom)
}

/// Parses settings from TOML.
///
/// # Errors
///
/// Fails if a key is missing or has an invalid value. The error names the key and the reason.
pub fn parse(text: &str) -> Result<Settings> {
    toml::from_str(text).context("invalid settings")
}

/// Reads a settings file.
///
/// # Errors
///
/// Fails if the file cannot be read or parsed. The error names the file, the key and the reason.
pub fn read(file: &Path) -> Result<Settings> {
    let text =
        fs::read_to_string(file).with_context(|| format!("cannot read {}", file.display()))?;
    let mut settings = parse(&text).with_context(|| file.display().to_string())?;
    settings.file = file.to_owned();
    Ok(settings)
}

/// Reads the settings file again and applies what can change at run time: the log level.
pub fn reload(current: &Settings) {
    match read(&current.file) {
        Ok(settings) => {
            log::set_max_level(settings.logging.level);
            log::info!("event=reload level={}", settings.logging.level);
        }
        Err(error) => log::warn!("event=reload_failed error=\"{error:#}\""),
    }
}
