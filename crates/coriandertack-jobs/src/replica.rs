//! Replica of the records of all jobs, as one entry VM has read them.
//!
//! Every VM follows two streams of records: the submissions and cancellations of callers, and the
//! progress that the leader records. Callers are answered from the replica, which lags the leader
//! only briefly.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
};

use crate::{
    access::{Caller, Cancellers, Refusal},
    boot_time::BootTime,
    ids::JobId,
    progress::{JobPhase, JobProgress},
    spec::JobSpec,
};

/// Processor share above which another VM should lead, as a percentage of the current leader's. A
/// change of leader costs about a second without decisions, so a small difference is not worth it.
const HANDOVER_THRESHOLD_PERCENT: u32 = 150;

/// Maximum number of cancellations that are kept for jobs whose submission has not been read. Callers
/// can cancel any number of jobs that do not exist.
pub const MAX_EARLY_CANCELS: usize = 10_000;

/// Address and size of an entry VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkInfo {
    /// Address of its link.
    pub address: SocketAddr,
    /// Processor share in thousandths of a core; 0 if unknown.
    pub millicores: u32,
}

/// The current leader, from the newest leadership record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Leader {
    /// Epoch of the leadership, which increases with each change of leader.
    pub epoch: u64,
    /// Name of the VM.
    pub vm: Arc<str>,
}

/// A stream of records that every VM follows. Submissions are in either.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stream {
    /// Submissions and cancellations that VMs wrote themselves.
    Intake,
    /// Records of the leader, among them the submissions that VMs forwarded to it.
    Progress,
}

/// The streams from which a submission was read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sources {
    intake: bool,
    progress: bool,
}

impl Sources {
    /// Returns whether no stream has shown the submission, or each that had has been read again without it.
    #[must_use]
    pub const fn is_empty(self) -> bool {
        !self.intake && !self.progress
    }

    const fn of(&mut self, stream: Stream) -> &mut bool {
        match stream {
            Stream::Intake => &mut self.intake,
            Stream::Progress => &mut self.progress,
        }
    }
}

/// What the replica knows of a job.
#[derive(Clone, Debug, Default)]
pub struct JobView {
    /// The submission; `None` until it is read, or once it has been dropped.
    pub spec: Option<Arc<JobSpec>>,
    /// Where the submission was read. This VM also knows submissions that it has accepted and not read yet.
    pub sources: Sources,
    /// Latest progress; `None` until it is read.
    pub progress: Option<Arc<JobProgress>>,
    /// Whether the latest progress record could not be decoded, or may exist although no listing shows
    /// it. Any task may have run or still run, so none is started.
    pub unreadable: bool,
    /// Team of the job as its final progress names it; the submission takes precedence.
    pub team: Option<Arc<str>>,
    /// The callers that cancelled the job, some of which may be of other teams.
    pub cancellers: Cancellers,
    /// When this VM first saw the job in a final phase.
    pub ended_at: Option<BootTime>,
}

impl JobView {
    /// Returns whether all that is known of the job is that callers cancelled it.
    const fn is_early_cancel(&self) -> bool {
        !self.cancellers.is_empty() && self.spec.is_none() && self.progress.is_none()
    }

    /// Returns the team of the job; `None` if it has none, or if no record that names it was read.
    #[must_use]
    pub fn owner(&self) -> Option<&Arc<str>> {
        self.spec.as_ref().map_or(self.team.as_ref(), |spec| spec.team.as_ref())
    }

    /// Returns whether a caller that may use the job has cancelled it.
    #[must_use]
    pub fn is_cancelled(&self) -> bool {
        match (&self.spec, &self.progress) {
            (None, None) => !self.cancellers.is_empty(),
            // Unfinished progress does not name the team, and the submission is read soon.
            (None, Some(progress)) if !progress.phase.is_final() => {
                self.cancellers.may_cancel_any()
            }
            _ => self.cancellers.may_cancel(self.owner().map(|team| &**team)),
        }
    }

    /// Returns the phase that callers see.
    #[must_use]
    pub fn phase(&self) -> JobPhase {
        let recorded = self.progress.as_ref().map_or(JobPhase::Queued, |progress| progress.phase);
        match recorded {
            JobPhase::Completed | JobPhase::Failed => recorded,
            _ if self.is_cancelled() => JobPhase::Cancelled,
            // A leader records progress when it first binds a task.
            JobPhase::Queued if self.unreadable => JobPhase::Running,
            _ => recorded,
        }
    }
}

/// A record read from the store.
#[derive(Clone, Debug)]
pub enum ReplicaRecord {
    /// A job was submitted.
    Submitted(JobId, Arc<JobSpec>),
    /// A job was cancelled by callers.
    Cancelled(JobId, Cancellers),
    /// The leader recorded progress.
    Progressed(JobId, Arc<JobProgress>),
    /// A leader took over or renewed its record.
    LeaderChanged(Leader),
    /// An entry VM announced its link address and processor share.
    VmAnnounced(Arc<str>, LinkInfo),
    /// The submission or cancellation of a job was dropped because the job has ended.
    SubmissionDropped(JobId),
    /// The progress of a job was dropped, and with it everything known of the job.
    ProgressDropped(JobId),
    /// The submission of a job could not be decoded.
    SubmissionUnreadable(JobId),
    /// The progress of a job could not be decoded.
    ProgressUnreadable(JobId),
    /// The record could not be decoded and is ignored.
    Unreadable,
}

/// The newest records of a stream.
#[derive(Debug, Default)]
pub struct Listing {
    /// The records, one for each key.
    pub records: Vec<ReplicaRecord>,
    /// Whether there may be others, because keys could not be read.
    pub incomplete: bool,
    /// When the read began.
    pub began: BootTime,
}

/// Replica of the records of all jobs.
#[derive(Debug, Default)]
pub struct Replica {
    /// Known jobs.
    pub jobs: HashMap<JobId, JobView>,
    /// The leader with the highest epoch read so far.
    pub leader: Option<Leader>,
    /// Addresses and sizes of the entry VMs, by name.
    pub links: HashMap<Arc<str>, LinkInfo>,
}

impl Replica {
    /// Applies a record that was read from a stream.
    pub fn apply_from(&mut self, stream: Stream, record: ReplicaRecord, now: BootTime) {
        if let ReplicaRecord::Submitted(id, _) = record {
            *self.jobs.entry(id).or_default().sources.of(stream) = true;
        }
        self.apply(record, now);
    }

    /// Applies the newest records of a stream, and forgets jobs that the stream no longer has.
    ///
    /// Records that say so may have been deleted unread. A job that is kept after its records are gone looks as if it
    /// had not ended, and a leader would run it again. If the listing is incomplete, such a job is kept closed instead.
    pub fn reload(&mut self, stream: Stream, listing: Listing, now: BootTime) {
        let Listing { records, incomplete, began } = listing;
        let mut submitted = HashSet::new();
        let mut progressed = HashSet::new();
        for record in &records {
            match record {
                ReplicaRecord::Submitted(id, _) | ReplicaRecord::SubmissionUnreadable(id) => {
                    submitted.insert(*id);
                }
                ReplicaRecord::Progressed(id, _) | ReplicaRecord::ProgressUnreadable(id) => {
                    progressed.insert(*id);
                }
                _ => {}
            }
        }
        let known = self.jobs.len();
        if stream == Stream::Progress {
            // The leader may have announced the end of a job whose first progress record follows this read.
            let recent = |view: &JobView| view.ended_at.is_some_and(|at| at >= began);
            self.jobs.retain(|id, view| {
                let recorded = view.progress.is_some() || view.unreadable;
                let dropped = recorded && !progressed.contains(id) && !recent(view);
                view.unreadable |= dropped && !view.phase().is_final();
                !dropped || incomplete
            });
        }
        let withdrawn = |(id, view): (&JobId, &mut JobView)| {
            let source = view.sources.of(stream);
            let dropped = *source && !submitted.contains(id);
            *source &= !dropped || incomplete;
            view.unreadable |= dropped && incomplete && view.progress.is_none();
            (dropped && view.sources.is_empty()).then_some(*id)
        };
        let withdrawn: Vec<_> = self.jobs.iter_mut().filter_map(withdrawn).collect();
        for id in withdrawn {
            let owner = self.jobs.get(&id).and_then(JobView::owner).cloned();
            self.drop_submission(id);
            // The progress does not name the team if a leader of an earlier version recorded it.
            if progressed.contains(&id) {
                self.jobs.entry(id).or_default().team = owner;
            }
        }
        let forgotten = known - self.jobs.len();
        if forgotten > 0 {
            log::info!("event=jobs_forgotten stream={stream:?} count={forgotten}");
        }
        for record in records {
            self.apply_from(stream, record, now);
        }
    }

    /// Applies a record.
    pub fn apply(&mut self, record: ReplicaRecord, now: BootTime) {
        let job = match record {
            ReplicaRecord::Submitted(id, spec) => {
                let view = self.early_or_default(id);
                // A repeated submission refers to the same job; the first one read is kept.
                view.spec.get_or_insert(spec);
                id
            }
            ReplicaRecord::Cancelled(id, callers) => {
                self.early_or_default(id).cancellers.add(&callers);
                id
            }
            ReplicaRecord::Progressed(id, progress) => {
                // The callers that cancelled the job may be of another team, and it has not ended then.
                let view = self.early_or_default(id);
                // The leader announces final phases without the team, before the record is read.
                if progress.team.is_some() {
                    view.team.clone_from(&progress.team);
                }
                // A final phase is never overwritten: it may arrive from the leader before this VM
                // has read the older records.
                let ended = view.progress.as_ref().is_some_and(|known| known.phase.is_final());
                if !ended {
                    view.progress = Some(progress);
                    view.unreadable = false;
                }
                id
            }
            ReplicaRecord::ProgressUnreadable(id) => {
                let view = self.jobs.entry(id).or_default();
                view.unreadable =
                    !view.progress.as_ref().is_some_and(|known| known.phase.is_final());
                id
            }
            ReplicaRecord::LeaderChanged(leader) => {
                if self.leader.as_ref().is_none_or(|known| known.epoch <= leader.epoch) {
                    self.leader = Some(leader);
                }
                return;
            }
            ReplicaRecord::VmAnnounced(vm, link) => {
                self.links.insert(vm, link);
                return;
            }
            ReplicaRecord::SubmissionDropped(id) => {
                self.drop_submission(id);
                return;
            }
            ReplicaRecord::ProgressDropped(id) => {
                self.jobs.remove(&id);
                return;
            }
            ReplicaRecord::SubmissionUnreadable(_) | ReplicaRecord::Unreadable => return,
        };
        if let Some(view) = self.jobs.get_mut(&job)
            && view.ended_at.is_none()
            && view.phase().is_final()
        {
            view.ended_at = Some(now);
        }
    }

    /// Returns what is known of a job to which a record is to be added. The retention time of an early
    /// cancellation starts anew: the job is shown, or stays cancelled, for the whole of it.
    fn early_or_default(&mut self, id: JobId) -> &mut JobView {
        let view = self.jobs.entry(id).or_default();
        if view.is_early_cancel() {
            view.ended_at = None;
        }
        view
    }

    /// Returns whether a cancellation of a job whose submission has not been read can be kept.
    #[must_use]
    pub fn can_keep_early_cancel(&self, id: JobId) -> bool {
        let early = || self.jobs.values().filter(|view| view.is_early_cancel()).count();
        self.jobs.len() < MAX_EARLY_CANCELS
            || self.jobs.contains_key(&id)
            || early() < MAX_EARLY_CANCELS
    }

    /// Discards the submission of a job, and the whole job unless its phase is final.
    fn drop_submission(&mut self, id: JobId) {
        let Some(view) = self.jobs.get_mut(&id) else { return };
        if view.progress.as_ref().is_some_and(|progress| progress.phase.is_final()) {
            // The progress does not name the team if a leader of an earlier version recorded it.
            if let Some(spec) = view.spec.take() {
                view.team.clone_from(&spec.team);
            }
        } else {
            self.jobs.remove(&id);
        }
    }

    /// Returns the phase of a submitted job, or `None` if the job is unknown.
    #[must_use]
    pub fn phase(&self, id: JobId) -> Option<JobPhase> {
        let view = self.jobs.get(&id)?;
        let phase = view.phase();
        // The submission of an ended job is dropped, so final progress suffices. Other progress may
        // have been read before the submission, which must not make the job visible.
        let ended = view.progress.is_some() && phase.is_final();
        (ended || view.spec.is_some()).then_some(phase)
    }

    /// Returns the phase of a submitted job that a caller may use, or `None` if the job is unknown.
    ///
    /// # Errors
    ///
    /// Fails if the job belongs to another team.
    pub fn phase_for(&self, id: JobId, caller: &Caller) -> Result<Option<JobPhase>, Refusal> {
        let owner = self.jobs.get(&id).and_then(JobView::owner);
        match self.phase(id) {
            Some(_) if !caller.may_use(owner.map(|team| &**team)) => Err(Refusal::OtherTeam),
            phase => Ok(phase),
        }
    }

    /// Returns how many VMs take precedence over this one as leader: those with a larger processor
    /// share, and those with the same share and a lower name.
    ///
    /// Leading takes several times the processor time of any other duty of a VM.
    #[must_use]
    pub fn leadership_rank(&self, vm: &str) -> usize {
        let own = self.links.get(vm).map_or(0, |link| link.millicores);
        let precedes = |name: &str, link: &LinkInfo| {
            link.millicores > own || (link.millicores == own && name < vm)
        };
        self.links.iter().filter(|(name, link)| precedes(name, link)).count()
    }

    /// Returns the reachable VM that should lead instead of this one because it has far more
    /// processors, or `None` to keep the current leader.
    #[must_use]
    pub fn preferred_leader<'a>(
        &self,
        vm: &str,
        reachable: impl IntoIterator<Item = &'a Arc<str>>,
    ) -> Option<&'a Arc<str>> {
        let millicores = |name: &str| self.links.get(name).map_or(0, |link| link.millicores);
        let threshold = millicores(vm) * HANDOVER_THRESHOLD_PERCENT / 100;
        reachable
            .into_iter()
            .filter(|name| millicores(name) > threshold)
            .max_by_key(|name| millicores(name))
    }

    /// Returns the number of a route's jobs of which no task has started. A recurring job counts until
    /// a task of its first occurrence has started, also before that is due.
    #[must_use]
    pub fn pending_jobs(&self, route: &str) -> usize {
        self.jobs
            .values()
            .filter(|view| view.phase() == JobPhase::Queued)
            .filter_map(|view| view.spec.as_ref())
            .filter(|spec| &*spec.route.name == route)
            .count()
    }

    /// Returns up to `limit` jobs that ended before `before`.
    #[must_use]
    pub fn expired_jobs(&self, before: BootTime, limit: usize) -> Vec<JobId> {
        let ended = |view: &JobView| view.ended_at.is_some_and(|at| at < before);
        self.jobs.iter().filter(|(_, view)| ended(view)).map(|(id, _)| *id).take(limit).collect()
    }
}
