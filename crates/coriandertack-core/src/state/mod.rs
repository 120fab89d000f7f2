//! The replicated state, which every VM computes from the log.
//!
//! [`State::apply`] is the only function that changes it, and it is deterministic: the same records in
//! the same order give the same state on every VM, whatever the arena keys are. Iteration that
//! influences a result therefore goes by name or session and never by arena key. The instants in
//! [`Ownership::ready_at`] are local to one VM and are not part of the replicated content.
//!
//! ```
//! use coriandertack_core::{
//!     keys::{Incarnation, Offset},
//!     record::{Batch, Entry, VmInfo, Record},
//!     state::State,
//! };
//! use tokio::time::Instant;
//!
//! let mut state = State::default();
//! let join = Record::Join(VmInfo {
//!     name: "split-1".into(),
//!     zone: "split".into(),
//!     link: "127.0.0.1:7000".parse().unwrap(),
//!     http: "127.0.0.1:7001".parse().unwrap(),
//! });
//! let entry = Entry { actor: "system".into(), at_ms: 0, record: join };
//! let batch = Batch { author: Incarnation(1), seq: 1, entries: vec![entry] };
//! let results = state.apply(Offset(1), &batch, Instant::now());
//! assert!(results[0].is_ok());
//! assert_eq!(state.vms.len(), 1);
//! ```

mod apply;
mod audit;
mod image;
mod jobs;
mod ledger;
mod members;

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    net::SocketAddr,
};

use {slotmap::SlotMap, tokio::time::Instant};

pub use self::{
    apply::{ApplyEffect, ApplyResult},
    audit::{AuditEntry, AuditTrail},
    image::{
        AuthorImage, JobImage, LeaseImage, SettingImage, StateImage, TeamImage, VmImage,
        WorkerImage,
    },
    jobs::{Job, Jobs, MAX_TASKS},
    ledger::{CHARGE_PERIOD_MS, ChargeKey, ChargeLine, Ledger},
    members::Ownership,
};

use crate::{
    keys::{Epoch, Incarnation, Offset, Session, TeamKey, Version, VmKey, WorkerKey},
    record::{TeamSpec, VmInfo, WorkerInfo},
};

/// A live entry VM.
#[derive(Clone, Debug)]
pub struct Vm {
    /// Offset of its `VmInfo`.
    pub session: Session,
    /// Run of the process that joined.
    pub author: Incarnation,
    /// Name, zone and addresses.
    pub info: VmInfo,
}

/// A worker that the VM list shows.
#[derive(Clone, Debug)]
pub struct Worker {
    /// What the VM list says of it.
    pub info: WorkerInfo,
    /// Whether an operator keeps new work away.
    pub cordoned: bool,
    /// The VM that alone grants its capacity.
    pub owner: Ownership,
}

impl Worker {
    /// Returns the address of the worker.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.info.address
    }
}

/// A team.
#[derive(Clone, Debug)]
pub struct Team {
    /// Unique name.
    pub name: String,
    /// Version of `spec`.
    pub version: Version,
    /// Quota and token hashes.
    pub spec: TeamSpec,
    /// The VM that alone binds its tasks.
    pub home: Ownership,
}

/// A value that operators set while the system runs.
#[derive(Clone, Debug, PartialEq)]
pub struct Setting {
    /// Version, kept after removal so that a name never reuses one.
    pub version: Version,
    /// TOML text, or nothing if it was removed.
    pub value: Option<String>,
}

/// What is known of one run of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AuthorState {
    /// Last batch applied.
    pub seq: u64,
    /// Its session, once it has joined.
    pub session: Option<Session>,
    /// Whether that session has ended.
    pub ended: bool,
}

/// The replicated state.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// Last offset applied.
    pub offset: Offset,
    /// Offset of the last record that may have moved a worker or a team.
    pub moved_offset: Offset,
    /// Base of the newest complete snapshot seen. It is local to one VM, as the instants are.
    pub snapshot_base: Offset,
    /// Live entry VMs.
    pub vms: SlotMap<VmKey, Vm>,
    /// Live entry VMs by session.
    pub sessions: BTreeMap<Session, VmKey>,
    /// Runs of processes: all that are members, and the newest of those whose session has ended.
    pub authors: HashMap<Incarnation, AuthorState>,
    /// Runs whose session has ended, oldest first.
    past: VecDeque<Incarnation>,
    /// Workers.
    pub workers: SlotMap<WorkerKey, Worker>,
    /// Workers by name.
    pub worker_names: BTreeMap<String, WorkerKey>,
    /// Workers that the VM list dropped, with the local time until which their leases may still run.
    pub departed_workers: BTreeMap<String, Instant>,
    /// Teams.
    pub teams: SlotMap<TeamKey, Team>,
    /// Teams by name.
    pub team_names: BTreeMap<String, TeamKey>,
    /// Versions of removed teams, so that a team made anew continues them.
    pub removed_teams: BTreeMap<String, Version>,
    /// Settings by name.
    pub settings: BTreeMap<String, Setting>,
    /// Accepted jobs.
    pub jobs: Jobs,
    /// Charges.
    pub ledger: Ledger,
    /// Trail of changes.
    pub audit: AuditTrail,
}

impl State {
    /// Returns the live VM of an incarnation.
    #[must_use]
    pub fn vm_of(&self, author: Incarnation) -> Option<VmKey> {
        let known = self.authors.get(&author)?;
        let session = known.session.filter(|_| !known.ended)?;
        self.sessions.get(&session).copied()
    }

    /// Tells whether the session of an incarnation has ended.
    #[must_use]
    pub fn has_ended(&self, author: Incarnation) -> bool {
        self.authors.get(&author).is_some_and(|known| known.ended)
    }

    /// Returns the team of this name.
    #[must_use]
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.team_names.get(name).map(|&key| &self.teams[key])
    }

    /// Returns the worker of this name.
    #[must_use]
    pub fn worker(&self, name: &str) -> Option<&Worker> {
        self.worker_names.get(name).map(|&key| &self.workers[key])
    }

    /// Tells whether `vm` is the owner of `worker` and may act on it at `now`.
    ///
    /// The caller checks its own validity as well.
    #[must_use]
    pub fn can_act(&self, vm: VmKey, worker: WorkerKey, now: Instant) -> bool {
        self.workers.get(worker).is_some_and(|worker| worker.owner.is_ready(vm, now))
    }

    /// Tells whether a worker that the VM list has dropped may still run leases.
    #[must_use]
    pub fn has_departing_workers(&self, now: Instant) -> bool {
        self.departed_workers.values().any(|until| *until > now)
    }

    /// Returns the epoch of a team's home, or epoch 0 for an unknown team.
    #[must_use]
    pub fn home_epoch(&self, team: &str) -> Epoch {
        self.team(team).map_or(Epoch(0), |team| team.home.epoch)
    }
}
