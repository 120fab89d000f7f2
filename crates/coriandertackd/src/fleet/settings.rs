//! Settings of an entry VM on the platform, as `deploy/settings.toml` renders them.
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
    log::LevelFilter,
    serde::{Deserialize, Deserializer, de::Error},
};

/// Settings of the process.
#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    /// This VM.
    pub vm: Vm,
    /// The platform's services.
    pub platform: Platform,
    /// Bounds that the platform states.
    #[serde(default)]
    pub bounds: Bounds,
    /// Log.
    #[serde(default)]
    pub logging: Logging,
    /// File that the settings were read from.
    #[serde(skip)]
    pub file: PathBuf,
}

/// This VM.
#[derive(Clone, Debug, Deserialize)]
pub struct Vm {
    /// Name.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address at which the balancer asks whether the VM takes connections.
    pub ready: SocketAddr,
    /// Address for other entry VMs.
    pub link: SocketAddr,
    /// Share of a core that the VM has; 0 if unknown.
    #[serde(default)]
    pub cores: f64,
    /// Most connections of callers.
    #[serde(default = "connections")]
    pub connections: usize,
    /// Address of the metrics, if they are served.
    #[serde(default, deserialize_with = "optional")]
    pub metrics: Option<SocketAddr>,
}

/// The platform's services.
#[derive(Clone, Debug, Deserialize)]
pub struct Platform {
    /// Address of the store.
    pub store: SocketAddr,
    /// Address of the service for advice.
    #[serde(default, deserialize_with = "optional")]
    pub advice: Option<SocketAddr>,
    /// Address of the interface to machines.
    #[serde(default, deserialize_with = "optional")]
    pub machines: Option<SocketAddr>,
}

/// Bounds that the platform states.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default)]
pub struct Bounds {
    /// Seconds for which the state of a job that ended stays known.
    pub status_s: u64,
    /// Milliseconds for which the orders of one holder for a machine exclude those of another.
    pub lease_ms: u64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self { status_s: 120, lease_ms: 3_000 }
    }
}

/// Log.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default)]
pub struct Logging {
    /// Level.
    #[serde(deserialize_with = "level")]
    pub level: LevelFilter,
}

impl Default for Logging {
    fn default() -> Self {
        Self { level: LevelFilter::Info }
    }
}

/// Most connections of callers by default. Of the 4,100 descriptors of a VM (SYSTEM, Machines), 200 are for files; workers, the
/// store and links keep a place.
const fn connections() -> usize {
    3_000
}

fn optional<'de, D: Deserializer<'de>>(input: D) -> Result<Option<SocketAddr>, D::Error> {
    let text = String::deserialize(input)?;
    if text.is_empty() {
        return Ok(None);
    }
    text.parse().map(Some).map_err(D::Error::custom)
}

fn level<'de, D: Deserializer<'de>>(input: D) -> Result<LevelFilter, D::Error> {
    String::deserialize(input)?.parse().map_err(D::Error::custom)
}

/// Parses settings.
///
/// # Errors
///
/// Names the key and the reason.
pub fn parse(text: &str) -> Result<Settings> {
    toml::from_str(text).context("faulty settings")
}

/// Reads a settings file.
///
/// # Errors
///
/// Names the file, the key and the reason.
pub fn read(file: &Path) -> Result<Settings> {
    let text =
        fs::read_to_string(file).with_context(|| format!("cannot read {}", file.display()))?;
    let mut settings = parse(&text).with_context(|| file.display().to_string())?;
    settings.file = file.to_owned();
    Ok(settings)
}

/// Reads the file again and puts in force what can change while the process runs: the level of the log.
pub fn reload(current: &Settings) {
    match read(&current.file) {
        Ok(settings) => {
            log::set_max_level(settings.logging.level);
            log::info!("event=reload level={}", settings.logging.level);
        }
        Err(error) => log::warn!("event=reload_failed error=\"{error:#}\""),
    }
}
