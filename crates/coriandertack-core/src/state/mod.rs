//! The replicated state, which every VM computes from the log.
//!
//! [`State::apply`] is the only function that changes it, and it is deterministic: the same
//! records in the same order give the same state on every VM, whatever the arena keys are. Iteration that
//! affects a result is therefore ordered by name or session and never by arena key. The instants in
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
    /// Session of the VM: the offset of its `Join` record.
    pub session: Session,
    /// Run of the process that joined.
    pub author: Incarnation,
    /// Name, zone and addresses.
    pub info: VmInfo,
}

/// A worker in the VM list.
#[derive(Clone, Debug)]
pub struct Worker {
    /// The worker as the VM list shows it.
    pub info: WorkerInfo,
    /// Whether an operator has excluded the worker from new work.
    pub cordoned: bool,
    /// The VM that alone grants this worker's capacity.
    pub owner: Ownership,
}

impl Worker {
    /// Returns the address of the worker's control and serving interface.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.info.address
    }
}

/// A team that has not been removed.
#[derive(Clone, Debug)]
pub struct Team {
    /// Unique name of the team.
    pub name: String,
    /// Version of `spec`.
    pub version: Version,
    /// Quota and token hashes.
    pub spec: TeamSpec,
    /// The VM that alone binds this team's tasks.
    pub home: Ownership,
}

/// A value that operators can change at run time.
#[derive(Clone, Debug, PartialEq)]
pub struct Setting {
    /// Version, which is kept after a removal so that a name never reuses one.
    pub version: Version,
    /// Value as TOML text, or `None` if the setting was removed.
    pub value: Option<String>,
}

/// State of one run of a process that writes to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AuthorState {
    /// Sequence number of its last applied batch.
    pub seq: u64,
    /// Session of the run, or `None` until it has joined.
    pub session: Option<Session>,
    /// Whether the session has ended.
    pub ended: bool,
}

/// The replicated state.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// Offset of the last applied batch.
    pub offset: Offset,
    /// Offset of the last record that may have moved a worker or a team.
    pub ownership_offset: Offset,
    /// Base of the newest complete snapshot seen. Like the instants, it is local to one VM.
    pub snapshot_base: Offset,
    /// Live entry VMs, by arena key.
    pub vms: SlotMap<VmKey, Vm>,
    /// Arena keys of the live entry VMs, by session.
    pub sessions: BTreeMap<Session, VmKey>,
    /// Runs of processes: all members, and the newest runs whose session has ended.
    pub authors: HashMap<Incarnation, AuthorState>,
    /// Runs whose session has ended, longest ago first.
    ended_authors: VecDeque<Incarnation>,
    /// Workers in the VM list, by arena key.
    pub workers: SlotMap<WorkerKey, Worker>,
    /// Arena keys of the workers, by name.
    pub worker_names: BTreeMap<String, WorkerKey>,
    /// Workers that left the VM list, with the local time until which their leases may still run.
    pub departed_workers: BTreeMap<String, Instant>,
    /// Existing teams, by arena key.
    pub teams: SlotMap<TeamKey, Team>,
    /// Arena keys of the teams, by name.
    pub team_names: BTreeMap<String, TeamKey>,
    /// Versions of removed teams, so that a team created again under the name continues from them.
    pub removed_teams: BTreeMap<String, Version>,
    /// Settings by name, including removed ones.
    pub settings: BTreeMap<String, Setting>,
    /// Accepted jobs and the outcomes of their tasks.
    pub jobs: Jobs,
    /// Charged usage of the teams.
    pub ledger: Ledger,
    /// Audit trail of changes.
    pub audit: AuditTrail,
}

impl State {
    /// Returns the VM of an incarnation while its session lasts.
    #[must_use]
    pub fn vm_of(&self, author: Incarnation) -> Option<VmKey> {
        let known = self.authors.get(&author)?;
        let session = known.session.filter(|_| !known.ended)?;
        self.sessions.get(&session).copied()
    }

    /// Returns whether the session of an incarnation has ended.
    #[must_use]
    pub fn has_ended(&self, author: Incarnation) -> bool {
        self.authors.get(&author).is_some_and(|known| known.ended)
    }

    /// Returns the team with this name.
    #[must_use]
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.team_names.get(name).map(|&key| &self.teams[key])
    }

    /// Returns the worker with this name.
    #[must_use]
    pub fn worker(&self, name: &str) -> Option<&Worker> {
        self.worker_names.get(name).map(|&key| &self.workers[key])
    }

    /// Returns whether `vm` owns `worker` and its hold-off is over at `now`.
    ///
    /// The caller must also check its own [`Validity`](crate::validity::Validity).
    #[must_use]
    pub fn can_act(&self, vm: VmKey, worker: WorkerKey, now: Instant) -> bool {
        self.workers.get(worker).is_some_and(|worker| worker.owner.is_ready(vm, now))
    }

    /// Returns whether a worker that left the VM list may still run leases.
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
