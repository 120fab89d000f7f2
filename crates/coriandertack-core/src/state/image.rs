//! Contents of a snapshot as plain types.
//!
//! A [`StateImage`] refers to objects by identifier instead of arena key, so it means the same on every
//! VM. The log package encodes and decodes it.

use std::collections::{BTreeMap, VecDeque};

use tokio::time::Instant;

use crate::{
    keys::{Epoch, Incarnation, JobId, LeaseId, Offset, Session, Version},
    record::{TeamSpec, VmInfo, WorkerInfo},
    state::{
        AuditEntry, AuditTrail, AuthorState, ChargeLine, Job, Ownership, Setting, State, Team, Vm,
        Worker,
    },
    validity::HOLD_OFF,
};

/// Snapshot of a live VM.
#[derive(Clone, Debug, PartialEq)]
pub struct VmImage {
    /// Session of the VM.
    pub session: Session,
    /// Run of the process that joined.
    pub author: Incarnation,
    /// Name, zone and addresses.
    pub info: VmInfo,
}

/// Snapshot of one run of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AuthorImage {
    /// Identifies the run.
    pub author: Incarnation,
    /// Its sequence number and membership.
    pub known: AuthorState,
}

/// Snapshot of a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerImage {
    /// The worker as the VM list shows it.
    pub info: WorkerInfo,
    /// Whether an operator has excluded the worker from new work.
    pub cordoned: bool,
    /// Session of the owner, or `None` if the worker has no owner.
    pub owner: Option<Session>,
    /// Epoch of the ownership.
    pub epoch: Epoch,
}

/// Snapshot of a team, which may have been removed.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamImage {
    /// Unique name of the team.
    pub name: String,
    /// Version of `spec`, which counts on after a removal.
    pub version: Version,
    /// Quota and token hashes, or `None` if the team was removed.
    pub spec: Option<TeamSpec>,
    /// Session of the home, or `None` if the team has no home.
    pub home: Option<Session>,
    /// Epoch of the home.
    pub epoch: Epoch,
}

/// Snapshot of a setting.
#[derive(Clone, Debug, PartialEq)]
pub struct SettingImage {
    /// Unique name of the setting.
    pub name: String,
    /// Version and value of the setting.
    pub setting: Setting,
}

/// Snapshot of a job, which holds no arena keys and is therefore stored as it is.
pub type JobImage = Job;

/// Snapshot of a lease's watermark.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseImage {
    /// Lease that the watermark belongs to.
    pub lease: LeaseId,
    /// First interval that has not been charged.
    pub watermark: u32,
}

/// Everything that a VM needs to replay the log from the offset after `base`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StateImage {
    /// Last offset that the snapshot includes.
    pub base: Offset,
    /// Live VMs, ordered by session.
    pub vms: Vec<VmImage>,
    /// Known runs of processes, ordered by incarnation.
    pub authors: Vec<AuthorImage>,
    /// Workers, ordered by name.
    pub workers: Vec<WorkerImage>,
    /// Teams including removed ones, ordered by name.
    pub teams: Vec<TeamImage>,
    /// Settings, ordered by name.
    pub settings: Vec<SettingImage>,
    /// Live and kept ended jobs, ordered by identifier.
    pub jobs: Vec<JobImage>,
    /// Identifiers of the ended jobs, in the order in which they ended.
    pub ended: Vec<JobId>,
    /// Watermarks, ordered by lease.
    pub leases: Vec<LeaseImage>,
    /// Charges, ordered by period, team and kind.
    pub charges: Vec<ChargeLine>,
    /// Audit entries, oldest first.
    pub audit: Vec<AuditEntry>,
}

impl State {
    /// Returns a snapshot of this state.
    #[must_use]
    pub fn image(&self) -> StateImage {
        let mut authors: Vec<AuthorImage> =
            self.authors.iter().map(|(&author, &known)| AuthorImage { author, known }).collect();
        authors.sort_by_key(|image| image.author);
        StateImage {
            base: self.offset,
            vms: self.sessions.values().map(|&key| vm_image(&self.vms[key])).collect(),
            authors,
            workers: self.worker_names.values().map(|&key| self.worker_image(key)).collect(),
            teams: self.team_images(),
            settings: self.setting_images(),
            jobs: self.jobs.ids.values().map(|&key| self.jobs.arena[key].clone()).collect(),
            ended: self.jobs.ended.iter().copied().collect(),
            leases: self
                .ledger
                .watermarks
                .iter()
                .map(|(&lease, &watermark)| LeaseImage { lease, watermark })
                .collect(),
            charges: self.ledger.charges().collect(),
            audit: self.audit.iter().cloned().collect(),
        }
    }

    /// Rebuilds the state from a snapshot.
    ///
    /// Every owner and home waits for a full hold-off from `now`, because the snapshot does not say when
    /// the worker or team last moved.
    #[must_use]
    pub fn from_image(image: StateImage, now: Instant) -> Self {
        let base = image.base;
        let mut state =
            Self { offset: base, ownership_offset: base, snapshot_base: base, ..Self::default() };
        for vm in image.vms {
            let VmImage { session, author, info } = vm;
            let key = state.vms.insert(Vm { session, author, info });
            state.sessions.insert(session, key);
        }
        state.authors =
            image.authors.into_iter().map(|image| (image.author, image.known)).collect();
        state.ended_authors = state.sorted_ended_authors();
        for image in image.workers {
            let owner = state.restore_ownership(image.owner, image.epoch, now);
            let name = image.info.name.clone();
            let worker = Worker { info: image.info, cordoned: image.cordoned, owner };
            let key = state.workers.insert(worker);
            state.worker_names.insert(name, key);
        }
        for image in image.teams {
            state.restore_team(image, now);
        }
        state.settings =
            image.settings.into_iter().map(|image| (image.name, image.setting)).collect();
        for job in image.jobs {
            state.jobs.insert(job);
        }
        state.jobs.ended = image.ended.into();
        state.ledger.watermarks =
            image.leases.into_iter().map(|image| (image.lease, image.watermark)).collect();
        state.ledger.sums = image.charges.into_iter().map(|line| (line.key, line.usage)).collect();
        state.audit = AuditTrail::from_entries(image.audit);
        state
    }

    fn worker_image(&self, key: crate::keys::WorkerKey) -> WorkerImage {
        let worker = &self.workers[key];
        WorkerImage {
            info: worker.info.clone(),
            cordoned: worker.cordoned,
            owner: self.session_of(worker.owner),
            epoch: worker.owner.epoch,
        }
    }

    fn team_images(&self) -> Vec<TeamImage> {
        let mut images = BTreeMap::new();
        for (name, &version) in &self.removed_teams {
            let image =
                TeamImage { name: name.clone(), version, spec: None, home: None, epoch: Epoch(0) };
            images.insert(name.clone(), image);
        }
        for team in self.teams.values() {
            let image = TeamImage {
                name: team.name.clone(),
                version: team.version,
                spec: Some(team.spec.clone()),
                home: self.session_of(team.home),
                epoch: team.home.epoch,
            };
            images.insert(team.name.clone(), image);
        }
        images.into_values().collect()
    }

    fn setting_images(&self) -> Vec<SettingImage> {
        let settings = self.settings.iter();
        settings
            .map(|(name, setting)| SettingImage { name: name.clone(), setting: setting.clone() })
            .collect()
    }

    /// Returns the runs whose session has ended, ordered by session.
    fn sorted_ended_authors(&self) -> VecDeque<Incarnation> {
        let ended = self.authors.iter().filter(|(_, known)| known.ended);
        let mut ended_authors: Vec<_> =
            ended.map(|(&author, known)| (known.session, author)).collect();
        ended_authors.sort_unstable();
        ended_authors.into_iter().map(|(_, author)| author).collect()
    }

    fn session_of(&self, ownership: Ownership) -> Option<Session> {
        ownership.vm.and_then(|vm| self.vms.get(vm)).map(|vm| vm.session)
    }

    fn restore_ownership(&self, session: Option<Session>, epoch: Epoch, now: Instant) -> Ownership {
        let vm = session.and_then(|session| self.sessions.get(&session).copied());
        Ownership { vm, epoch, ready_at: now + HOLD_OFF }
    }

    fn restore_team(&mut self, image: TeamImage, now: Instant) {
        let Some(spec) = image.spec else {
            self.removed_teams.insert(image.name, image.version);
            return;
        };
        let home = self.restore_ownership(image.home, image.epoch, now);
        let team = Team { name: image.name.clone(), version: image.version, spec, home };
        let key = self.teams.insert(team);
        self.team_names.insert(image.name, key);
    }
}

fn vm_image(vm: &Vm) -> VmImage {
    VmImage { session: vm.session, author: vm.author, info: vm.info.clone() }
}
