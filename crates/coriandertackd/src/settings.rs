//! Settings of an entry VM.
//!
//! One TOML file describes a whole deployment: the settings that its VMs share, and one `[[vm]]` section for each VM.
//! A process selects its own section by name. Every key is checked, and all faults are reported at once, each with its
//! file, key and reason. The keys are described in docs/OPERATIONS.md.
//!
//! ```no_run
//! use coriandertackd::settings;
//!
//! let deployment = settings::read("settings/vukic.toml").expect("no faults");
//! let settings = deployment.select(Some("split-1")).expect("a VM of this name");
//! assert_eq!(settings.vm.zone, "split");
//! ```

mod demo;
mod section;

use std::{collections::BTreeSet, fmt, fs, net::SocketAddr, path::Path, time::Duration};

use {
    coriandertack_core::pool::Weights as PlacementWeights,
    coriandertack_operators::access::{Operator, is_digest},
    derive_more::Display,
    log::LevelFilter,
    toml::Table,
};

pub use self::demo::{Demo, Rack};

use self::section::{Faults, Section};

/// Length of the key that entry VMs share, in bytes.
pub const KEY_BYTES: usize = 32;

/// Most VMs of one deployment: 12 availability zones with 8 VMs each.
const MAX_VMS: usize = 96;

/// A fault in a settings file.
#[derive(Clone, Debug, PartialEq, Eq, Display, derive_more::Error)]
#[display("{file}: {key}: {reason}")]
pub struct Fault {
    /// Path of the file.
    pub file: String,
    /// Key within the file, for example `vm[2].link`, or `-` if the file could not be read.
    pub key: String,
    /// What is wrong, and which values are accepted.
    pub reason: String,
}

/// Name, zone and addresses of an entry VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Vm {
    /// Unique name, which is also its name in the VM list.
    pub name: String,
    /// Availability zone that the VM runs in.
    pub zone: String,
    /// Address on which the VM accepts links from other entry VMs.
    pub link: SocketAddr,
    /// Address of the HTTP server for callers and operators.
    pub http: SocketAddr,
}

/// Connection to the log service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogService {
    /// Address of the service.
    pub address: SocketAddr,
    /// Stream that holds the records of this deployment.
    pub stream: String,
    /// How long the service keeps records, which determines how often a snapshot is due.
    pub retention: Retention,
}

/// Retention of the log service. Records beyond either limit may be deleted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Retention {
    /// Number of the latest records that are kept.
    pub records: u64,
    /// Time for which a record is kept.
    pub period: Duration,
}

/// Connection to the VM list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VmList {
    /// Address of the service.
    pub address: SocketAddr,
    /// Interval at which the list is polled.
    pub poll_interval: Duration,
}

/// Key that entry VMs share and authenticate each other with. Its `Debug` output does not contain it.
#[derive(Clone, PartialEq, Eq)]
pub struct LinkKey(pub [u8; KEY_BYTES]);

impl fmt::Debug for LinkKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("LinkKey")
    }
}

/// Trade-offs of a deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weights {
    /// Weights of the terms of the placement score.
    pub placement: PlacementWeights,
    /// Share of each service's slots that is reserved for short requests, from 0 to 0.9.
    pub short_share: f64,
}

/// Presets of [`Weights`], by the value of the key `deployment`.
///
/// Vukic gives waiting time the greatest weight. The Agency pays by use and so gives packing the greatest
/// weight. It also reserves more slots for short requests, which must not wait behind settlements. See docs/design.md,
/// section 1.3.
const WEIGHT_PRESETS: &[(&str, Weights)] = &[
    ("vukic", Weights { placement: PlacementWeights::VUKIC, short_share: 0.25 }),
    ("agency", Weights { placement: PlacementWeights::AGENCY, short_share: 0.4 }),
];

/// Settings that all VMs of a deployment share.
#[derive(Clone, Debug, PartialEq)]
pub struct Common {
    /// Connection to the log service.
    pub log: LogService,
    /// Connection to the VM list.
    pub vm_list: VmList,
    /// Key with which entry VMs authenticate each other.
    pub key: LinkKey,
    /// Interval of the heartbeats on each link.
    pub heartbeat_interval: Duration,
    /// Longest time that a planned stop waits for requests in flight.
    pub drain_limit: Duration,
    /// Interval at which usage is appended to the log.
    pub charge_interval: Duration,
    /// Operators, with the digests of their tokens.
    pub operators: Vec<Operator>,
    /// Trade-offs of placement and routing.
    pub weights: Weights,
    /// Least severe level that is logged, unless the live setting `log.level` overrides it.
    pub level: LevelFilter,
}

/// A whole deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    /// Path of the file that it was read from.
    pub file: String,
    /// Settings that all VMs share.
    pub common: Common,
    /// VMs, in the order of the file.
    pub vms: Vec<Vm>,
    /// Name of the VM to run by default, from the key `vm_name`.
    pub default_vm: Option<String>,
    /// Simulated workers, which only demo and bench use.
    pub demo: Option<Demo>,
}

/// Settings of one entry VM.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name, zone and addresses of the VM.
    pub vm: Vm,
    /// Settings that it shares with the other VMs.
    pub common: Common,
}

impl Deployment {
    /// Selects a VM: the one called `name`, else the one given by `vm_name`, else the only one.
    ///
    /// # Errors
    ///
    /// Fails if there is no VM of that name, or if no name is given and there are several VMs.
    pub fn select(&self, name: Option<&str>) -> Result<Settings, Fault> {
        let fault = |reason: String| Fault { file: self.file.clone(), key: "vm".into(), reason };
        let name = name.or(self.default_vm.as_deref());
        let vm = match (name, self.vms.as_slice()) {
            (Some(name), vms) => vms.iter().find(|vm| vm.name == name).ok_or_else(|| {
                fault(format!("no [[vm]] is named `{name}`; use one of: {}", self.names()))
            })?,
            (None, [only]) => only,
            (None, _) => {
                let names = self.names();
                return Err(fault(format!(
                    "the file has several VMs; select one with --vm: {names}"
                )));
            }
        };
        Ok(Settings { vm: vm.clone(), common: self.common.clone() })
    }

    fn names(&self) -> String {
        let names: Vec<&str> = self.vms.iter().map(|vm| vm.name.as_str()).collect();
        names.join(", ")
    }
}

/// Returns every fault of a settings file.
#[must_use]
pub fn check(path: impl AsRef<Path>) -> Vec<Fault> {
    read(path).err().unwrap_or_default()
}

/// Reads a settings file.
///
/// # Errors
///
/// Returns every fault of the file.
pub fn read(path: impl AsRef<Path>) -> Result<Deployment, Vec<Fault>> {
    let file = path.as_ref().display().to_string();
    match fs::read_to_string(path.as_ref()) {
        Ok(text) => parse(&file, &text),
        Err(error) => Err(vec![Fault { file, key: "-".into(), reason: error.to_string() }]),
    }
}

/// Reads the text of a settings file.
///
/// # Errors
///
/// Returns every fault of the text.
pub fn parse(file: &str, text: &str) -> Result<Deployment, Vec<Fault>> {
    let table = text.parse::<Table>().map_err(|error| vec![syntax_fault(file, text, &error)])?;
    let collected = Faults::new(file);
    let deployment = read_deployment(&collected, file, &table);
    let faults = collected.into_vec();
    match deployment {
        Some(deployment) if faults.is_empty() => Ok(deployment),
        _ => Err(faults),
    }
}

fn syntax_fault(file: &str, text: &str, error: &toml::de::Error) -> Fault {
    let span = error.span().unwrap_or(0..0);
    let before = text.get(..span.start).unwrap_or_default();
    let line = before.matches('\n').count() + 1;
    let key = text.get(span).map(str::trim).filter(|key| !key.is_empty() && key.len() < 64);
    let reason = error.message();
    let (key, reason) = match key {
        Some(key) => (key.replace('\n', " "), format!("line {line}: {reason}")),
        None => (format!("line {line}"), reason.to_owned()),
    };
    Fault { file: file.to_owned(), key, reason }
}

/// Reads all sections. Returns `None` if a required value is missing or invalid, which is then in `faults`.
fn read_deployment(faults: &Faults, file: &str, table: &Table) -> Option<Deployment> {
    let mut root = Section::root(table, faults);
    let weights = read_weights(&mut root);
    let default_vm = root.optional_name("vm_name");
    let log = root.section("log").and_then(read_log);
    let vm_list = root.section("vm_list").and_then(read_vm_list);
    let link = root.section("link").and_then(read_link);
    let level = read_level(&mut root);
    let drain_limit = root.duration("drain_limit_s", 1..=600, 30, Duration::from_secs);
    let charge_interval = root.duration("charge_interval_s", 1..=3_600, 60, Duration::from_secs);
    let operators = read_operators(&mut root);
    let vms = read_vms(&mut root);
    // References to VMs are checked only if all VMs are valid. Otherwise they would be reported as faults too.
    let complete_vms = (vms.len() == root.count("vm")).then_some(vms.as_slice());
    let demo = root.optional_section("demo").map(|section| demo::read(section, complete_vms));
    root.finish();
    if let (Some(default_vm), Some(vms)) = (&default_vm, complete_vms)
        && !vms.iter().any(|vm| vm.name == *default_vm)
    {
        faults
            .add("vm_name", "no [[vm]] has this name; use the name of a [[vm]] or remove the key");
    }
    let (key, heartbeat_interval) = link?;
    let common = Common {
        log: log?,
        vm_list: vm_list?,
        key,
        heartbeat_interval,
        drain_limit: drain_limit?,
        charge_interval: charge_interval?,
        operators,
        weights: weights?,
        level: level?,
    };
    Some(Deployment { file: file.to_owned(), common, vms, default_vm, demo: demo.flatten() })
}

fn read_weights(root: &mut Section<'_>) -> Option<Weights> {
    let names: Vec<&str> = WEIGHT_PRESETS.iter().map(|(name, _)| *name).collect();
    let preset = root.one_of("deployment", &names)?;
    let (_, weights) = WEIGHT_PRESETS.iter().find(|(name, _)| *name == preset)?;
    let Some(mut section) = root.optional_section("weights") else {
        return Some(*weights);
    };
    let preset = weights.placement;
    let packing = section.number("packing_weight", 0.0..=10.0, preset.packing);
    let spread = section.number("spread_weight", 0.0..=10.0, preset.spread);
    let headroom = section.number("headroom_weight", 0.0..=10.0, preset.headroom);
    let short_share = section.number("short_share", 0.0..=0.9, weights.short_share);
    section.finish();
    let placement = PlacementWeights { packing: packing?, spread: spread?, headroom: headroom? };
    Some(Weights { placement, short_share: short_share? })
}

fn read_log(mut section: Section<'_>) -> Option<LogService> {
    let address = section.address("address");
    let stream = section.name("stream");
    let records = section.integer("retention_records", 100..=1_000_000_000, 1_000_000);
    let period = section.duration("retention_s", 60..=31_536_000, 86_400, Duration::from_secs);
    section.finish();
    let retention = Retention { records: records?.into(), period: period? };
    Some(LogService { address: address?, stream: stream?, retention })
}

fn read_vm_list(mut section: Section<'_>) -> Option<VmList> {
    let address = section.address("address");
    let poll_interval =
        section.duration("poll_interval_ms", 100..=10_000, 1_000, Duration::from_millis);
    section.finish();
    Some(VmList { address: address?, poll_interval: poll_interval? })
}

fn read_link(mut section: Section<'_>) -> Option<(LinkKey, Duration)> {
    let key = section.string("key");
    let key = key.and_then(|text| match decode_key(&text) {
        Some(bytes) => Some(LinkKey(bytes)),
        None => {
            section.fault(
                "key",
                &format!(
                    "must be {} hexadecimal digits; generate a random key of {KEY_BYTES} bytes",
                    2 * KEY_BYTES
                ),
            );
            None
        }
    });
    // A VM is suspected after 2 s without a heartbeat, so several heartbeats must fit into that time.
    let heartbeat_interval =
        section.duration("heartbeat_interval_ms", 50..=600, 500, Duration::from_millis);
    section.finish();
    Some((key?, heartbeat_interval?))
}

fn decode_key(text: &str) -> Option<[u8; KEY_BYTES]> {
    let mut bytes = [0; KEY_BYTES];
    hex::decode_to_slice(text, &mut bytes).ok()?;
    Some(bytes)
}

fn read_level(root: &mut Section<'_>) -> Option<LevelFilter> {
    let Some(mut section) = root.optional_section("logging") else {
        return Some(LevelFilter::Info);
    };
    let level = section.one_of("level", &["error", "warn", "info", "debug", "trace"]);
    section.finish();
    level?.parse().ok()
}

fn read_operators(root: &mut Section<'_>) -> Vec<Operator> {
    let mut names = BTreeSet::new();
    let mut digests = BTreeSet::new();
    let mut operators = Vec::new();
    for mut section in root.sections("operators", 1, 64) {
        let name = section.name("name");
        let digest = section.string("token_sha256");
        if digest.as_ref().is_some_and(|digest| !is_digest(digest)) {
            section.fault(
                "token_sha256",
                "must be 64 lowercase hexadecimal digits, the SHA-256 digest of the token",
            );
        }
        if name.as_ref().is_some_and(|name| !names.insert(name.clone())) {
            section.fault("name", "another operator has this name; names must be unique");
        }
        if digest.as_ref().is_some_and(|digest| !digests.insert(digest.clone())) {
            section.fault("token_sha256", "another operator has this token; tokens must be unique");
        }
        section.finish();
        if let (Some(name), Some(digest)) = (name, digest) {
            operators.push(Operator { name, digest });
        }
    }
    operators
}

fn read_vms(root: &mut Section<'_>) -> Vec<Vm> {
    let mut names = BTreeSet::new();
    let mut addresses = BTreeSet::new();
    let mut vms = Vec::new();
    for mut section in root.sections("vm", 1, MAX_VMS) {
        let name = section.name("name");
        let zone = section.name("zone");
        let link = section.address("link");
        let http = section.address("http");
        if name.as_ref().is_some_and(|name| !names.insert(name.clone())) {
            section.fault("name", "another VM has this name; names must be unique");
        }
        for (key, address) in [("link", link), ("http", http)] {
            if address.is_some_and(|address| !addresses.insert(address)) {
                section.fault(
                    key,
                    "address already in use by a VM of this file; addresses must be unique",
                );
            }
        }
        section.finish();
        if let (Some(name), Some(zone), Some(link), Some(http)) = (name, zone, link, http) {
            vms.push(Vm { name, zone, link, http });
        }
    }
    vms
}
