//! Settings of an entry VM.
//!
//! One TOML file describes a whole deployment: what its VMs have in common, and one `[[vm]]` for each
//! of them. A process picks its own by name. Every key is checked, and all faults are reported at
//! once, each with its file, key and reason; see docs/OPERATIONS.md for the keys.
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
    coriandertack_core::pool::Weights as Placement,
    coriandertack_operators::access::{Operator, is_digest},
    derive_more::Display,
    log::LevelFilter,
    toml::Table,
};

pub use self::demo::{Demo, Rack};

use self::section::{Faults, Section};

/// Bytes of the key that entry VMs share.
pub const KEY_BYTES: usize = 32;

/// The most VMs of one deployment: the 12 availability zones of the target with 8 each.
const MAX_VMS: usize = 96;

/// Something wrong with a settings file.
#[derive(Clone, Debug, PartialEq, Eq, Display, derive_more::Error)]
#[display("{file}: {key}: {reason}")]
pub struct Fault {
    /// File.
    pub file: String,
    /// Key within the file, for example `vm[2].link`.
    pub key: String,
    /// What is wrong.
    pub reason: String,
}

/// Name, zone and addresses of an entry VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Vm {
    /// Name, as the VM list has it.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Address of the link between entry VMs.
    pub link: SocketAddr,
    /// Address of the HTTP interfaces.
    pub http: SocketAddr,
}

/// The log service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogService {
    /// Its address.
    pub address: SocketAddr,
    /// Stream of this deployment.
    pub stream: String,
    /// What the service keeps, which decides how often a snapshot is due.
    pub retention: Retention,
}

/// How long the log service keeps records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Retention {
    /// Number of records.
    pub records: u64,
    /// Time.
    pub period: Duration,
}

/// The VM list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VmList {
    /// Its address.
    pub address: SocketAddr,
    /// Time between two reads.
    pub poll: Duration,
}

/// Key that entry VMs share, by which they know each other.
#[derive(Clone, PartialEq, Eq)]
pub struct LinkKey(pub [u8; KEY_BYTES]);

impl fmt::Debug for LinkKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("LinkKey")
    }
}

/// What a deployment gives more or less weight to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weights {
    /// Weights of placement.
    pub placement: Placement,
    /// Share of the slots of a service that is kept for short requests.
    pub share: f64,
}

/// Presets of [`Weights`] by name.
///
/// Vukic weighs waiting time most. The Agency weighs packing most, since it pays by use, and keeps more
/// slots for short questions, which must not wait behind settlements. See docs/design.md, section 1.3.
const PRESETS: &[(&str, Weights)] = &[
    ("vukic", Weights { placement: Placement::VUKIC, share: 0.25 }),
    ("agency", Weights { placement: Placement::AGENCY, share: 0.4 }),
];

/// What the VMs of a deployment have in common.
#[derive(Clone, Debug, PartialEq)]
pub struct Common {
    /// The log service.
    pub log: LogService,
    /// The VM list.
    pub list: VmList,
    /// Key that entry VMs share.
    pub key: LinkKey,
    /// Time between two heartbeats.
    pub heartbeat: Duration,
    /// The most time that a planned stop takes.
    pub drain: Duration,
    /// Time between two records of usage.
    pub charge: Duration,
    /// Tokens of the operators.
    pub operators: Vec<Operator>,
    /// Weights of the measures.
    pub weights: Weights,
    /// Least severe level of the log lines, unless the live setting `log.level` is set.
    pub level: LevelFilter,
}

/// A whole deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    /// File that it was read from.
    pub file: String,
    /// What the VMs have in common.
    pub common: Common,
    /// The VMs.
    pub vms: Vec<Vm>,
    /// Name of the VM that the file is for, if it names one.
    pub own: Option<String>,
    /// Workers of the stand-ins, which only demo and bench read.
    pub demo: Option<Demo>,
}

/// Settings of one entry VM.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The VM.
    pub vm: Vm,
    /// What it has in common with the others.
    pub common: Common,
}

impl Deployment {
    /// Picks a VM: the one named, else the one that the file names, else the only one.
    ///
    /// # Errors
    ///
    /// Fails if there is no such VM, or if it is not clear which one is meant.
    pub fn select(&self, name: Option<&str>) -> Result<Settings, Fault> {
        let fault = |reason: String| Fault { file: self.file.clone(), key: "vm".into(), reason };
        let wanted = name.or(self.own.as_deref());
        let vm = match (wanted, self.vms.as_slice()) {
            (Some(name), vms) => vms.iter().find(|vm| vm.name == name).ok_or_else(|| {
                fault(format!("no [[vm]] has the name `{name}`; there are: {}", self.names()))
            })?,
            (None, [only]) => only,
            (None, _) => {
                let names = self.names();
                return Err(fault(format!("name one of several VMs with --vm: {names}")));
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
    let faults = Faults::new(file);
    let deployment = read_deployment(&faults, file, &table);
    let found = faults.into_found();
    match deployment {
        Some(deployment) if found.is_empty() => Ok(deployment),
        _ => Err(found),
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

/// Reads all sections. Returns nothing if a required value is missing; the faults say which.
fn read_deployment(faults: &Faults, file: &str, table: &Table) -> Option<Deployment> {
    let mut root = Section::root(table, faults);
    let weights = read_weights(&mut root);
    let own = root.optional_name("vm_name");
    let log = root.section("log").and_then(read_log);
    let list = root.section("vm_list").and_then(read_list);
    let link = root.section("link").and_then(read_link);
    let level = read_level(&mut root);
    let drain = root.duration("drain_limit_s", 1..=600, 30, Duration::from_secs);
    let charge = root.duration("charge_interval_s", 1..=3_600, 60, Duration::from_secs);
    let operators = read_operators(&mut root);
    let vms = read_vms(&mut root);
    // What refers to the VMs is checked only if all of them could be read.
    let known = (vms.len() == root.count("vm")).then_some(vms.as_slice());
    let demo = root.optional_section("demo").map(|section| demo::read(section, known));
    root.finish();
    if let (Some(own), Some(vms)) = (&own, known)
        && !vms.iter().any(|vm| vm.name == *own)
    {
        faults.add("vm_name", "no [[vm]] has this name");
    }
    let (key, heartbeat) = link?;
    let common = Common {
        log: log?,
        list: list?,
        key,
        heartbeat,
        drain: drain?,
        charge: charge?,
        operators,
        weights: weights?,
        level: level?,
    };
    Some(Deployment { file: file.to_owned(), common, vms, own, demo: demo.flatten() })
}

fn read_weights(root: &mut Section<'_>) -> Option<Weights> {
    let names: Vec<&str> = PRESETS.iter().map(|(name, _)| *name).collect();
    let preset = root.word("deployment", &names)?;
    let (_, weights) = PRESETS.iter().find(|(name, _)| *name == preset)?;
    let Some(mut section) = root.optional_section("weights") else {
        return Some(*weights);
    };
    let preset = weights.placement;
    let packing = section.number("packing_weight", 0.0..=10.0, preset.packing);
    let spread = section.number("spread_weight", 0.0..=10.0, preset.spread);
    let headroom = section.number("headroom_weight", 0.0..=10.0, preset.headroom);
    let share = section.number("short_share", 0.0..=0.9, weights.share);
    section.finish();
    let placement = Placement { packing: packing?, spread: spread?, headroom: headroom? };
    Some(Weights { placement, share: share? })
}

fn read_log(mut section: Section<'_>) -> Option<LogService> {
    let address = section.address("address");
    let stream = section.name("stream");
    let records = section.whole("retention_records", 100..=1_000_000_000, 1_000_000);
    let period = section.duration("retention_s", 60..=31_536_000, 86_400, Duration::from_secs);
    section.finish();
    let retention = Retention { records: records?.into(), period: period? };
    Some(LogService { address: address?, stream: stream?, retention })
}

fn read_list(mut section: Section<'_>) -> Option<VmList> {
    let address = section.address("address");
    let poll = section.duration("poll_interval_ms", 100..=10_000, 1_000, Duration::from_millis);
    section.finish();
    Some(VmList { address: address?, poll: poll? })
}

fn read_link(mut section: Section<'_>) -> Option<(LinkKey, Duration)> {
    let key = section.text("key");
    let key = key.and_then(|text| match decode(&text) {
        Some(bytes) => Some(LinkKey(bytes)),
        None => {
            section.fault("key", &format!("must be {} hexadecimal digits", 2 * KEY_BYTES));
            None
        }
    });
    // A VM is suspected after 2 s of silence, so several heartbeats must fit into that time.
    let heartbeat = section.duration("heartbeat_interval_ms", 50..=600, 500, Duration::from_millis);
    section.finish();
    Some((key?, heartbeat?))
}

fn decode(text: &str) -> Option<[u8; KEY_BYTES]> {
    let mut bytes = [0; KEY_BYTES];
    hex::decode_to_slice(text, &mut bytes).ok()?;
    Some(bytes)
}

fn read_level(root: &mut Section<'_>) -> Option<LevelFilter> {
    let Some(mut section) = root.optional_section("logging") else {
        return Some(LevelFilter::Info);
    };
    let level = section.word("level", &["error", "warn", "info", "debug", "trace"]);
    section.finish();
    level?.parse().ok()
}

fn read_operators(root: &mut Section<'_>) -> Vec<Operator> {
    let mut names = BTreeSet::new();
    let mut digests = BTreeSet::new();
    let mut operators = Vec::new();
    for mut section in root.sections("operators", 1, 64) {
        let name = section.name("name");
        let digest = section.text("token_sha256");
        if digest.as_ref().is_some_and(|digest| !is_digest(digest)) {
            section.fault("token_sha256", "must be 64 lowercase hexadecimal digits");
        }
        if name.as_ref().is_some_and(|name| !names.insert(name.clone())) {
            section.fault("name", "is used twice");
        }
        if digest.as_ref().is_some_and(|digest| !digests.insert(digest.clone())) {
            section.fault("token_sha256", "is used twice");
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
            section.fault("name", "is used twice");
        }
        for (key, address) in [("link", link), ("http", http)] {
            if address.is_some_and(|address| !addresses.insert(address)) {
                section.fault(key, "the address is used twice");
            }
        }
        section.finish();
        if let (Some(name), Some(zone), Some(link), Some(http)) = (name, zone, link, http) {
            vms.push(Vm { name, zone, link, http });
        }
    }
    vms
}
