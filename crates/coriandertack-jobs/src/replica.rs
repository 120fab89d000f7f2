//! The records of all jobs as one entry VM has read them.
//!
//! Every VM follows two streams of records: what callers submitted and cancelled, and the progress that the leader
//! recorded. Callers are answered from here, at most a moment behind the leader.

use std::{collections::HashMap, net::SocketAddr, sync::Arc};

use crate::{
    boot_time::BootTime,
    ids::JobId,
    progress::{JobPhase, JobProgress},
    spec::JobSpec,
};

/// Processors that another VM must have to lead instead of one that can lead, in percent of that one's. A change of the lead
/// costs about a second without decisions, so a small difference is not worth it.
const LARGER_PERCENT: u32 = 150;

/// Where an entry VM can be reached by others, and what it has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkInfo {
    /// Address.
    pub address: SocketAddr,
    /// Its share of processors, in thousandths of a core; 0 if unknown.
    pub millicores: u32,
}

/// Who leads, from the newest record of a leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Leader {
    /// Number of the leadership, which rises with each change.
    pub epoch: u64,
    /// Name of the VM.
    pub vm: Arc<str>,
}

/// What is known of a job.
#[derive(Clone, Debug, Default)]
pub struct JobView {
    /// What was submitted, once it was read.
    pub spec: Option<Arc<JobSpec>>,
    /// Progress, once it was read.
    pub progress: Option<Arc<JobProgress>>,
    /// Whether the caller cancelled the job.
    pub cancelled: bool,
    /// When the job was first seen in a final state.
    pub ended_at: Option<BootTime>,
}

impl JobView {
    /// Returns the state that callers see.
    #[must_use]
    pub fn phase(&self) -> JobPhase {
        let recorded = self.progress.as_ref().map_or(JobPhase::Queued, |progress| progress.phase);
        match recorded {
            JobPhase::Completed | JobPhase::Failed => recorded,
            _ if self.cancelled => JobPhase::Cancelled,
            _ => recorded,
        }
    }
}

/// A record that was read from the store.
#[derive(Clone, Debug)]
pub enum ReplicaRecord {
    /// A job was submitted.
    Submitted(JobId, Arc<JobSpec>),
    /// A job was cancelled.
    Cancelled(JobId),
    /// The leader recorded progress.
    Progressed(JobId, Arc<JobProgress>),
    /// A leader took over or renewed its record.
    LeaderChanged(Leader),
    /// An entry VM announced the address of its link.
    VmAnnounced(Arc<str>, LinkInfo),
    /// The submission or the cancellation of a job was dropped, because the job has ended.
    SubmissionDropped(JobId),
    /// The progress of a job was dropped, and with it all that is known.
    ProgressDropped(JobId),
    /// The record could not be read. It names nothing to act on.
    Unreadable,
}

/// What this VM knows of all jobs.
#[derive(Debug, Default)]
pub struct Replica {
    /// Jobs.
    pub jobs: HashMap<JobId, JobView>,
    /// Newest leader.
    pub leader: Option<Leader>,
    /// Links of the entry VMs.
    pub links: HashMap<Arc<str>, LinkInfo>,
}

impl Replica {
    /// Applies a record.
    pub fn apply(&mut self, record: ReplicaRecord, now: BootTime) {
        let job = match record {
            ReplicaRecord::Submitted(id, spec) => {
                // A repeated submission is the same job; the first one read stays.
                self.jobs.entry(id).or_default().spec.get_or_insert(spec);
                id
            }
            ReplicaRecord::Cancelled(id) => {
                self.jobs.entry(id).or_default().cancelled = true;
                id
            }
            ReplicaRecord::Progressed(id, progress) => {
                let view = self.jobs.entry(id).or_default();
                // A final state is final: the leader tells of it before this VM has read the records before it.
                let ended = view.progress.as_ref().is_some_and(|known| known.phase.is_final());
                if !ended {
                    view.progress = Some(progress);
                }
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
                self.dismiss(id);
                return;
            }
            ReplicaRecord::ProgressDropped(id) => {
                self.jobs.remove(&id);
                return;
            }
            ReplicaRecord::Unreadable => return,
        };
        if let Some(view) = self.jobs.get_mut(&job)
            && view.ended_at.is_none()
            && view.phase().is_final()
        {
            view.ended_at = Some(now);
        }
    }

    /// Forgets what was submitted, and keeps the final state.
    fn dismiss(&mut self, id: JobId) {
        let Some(view) = self.jobs.get_mut(&id) else { return };
        if view.progress.as_ref().is_some_and(|progress| progress.phase.is_final()) {
            view.spec = None;
        } else {
            self.jobs.remove(&id);
        }
    }

    /// Returns the state of a submitted job.
    #[must_use]
    pub fn phase(&self, id: JobId) -> Option<JobPhase> {
        let view = self.jobs.get(&id)?;
        let phase = view.phase();
        // The submission of a job that has ended is dropped. Progress alone says nothing else: it may have been read first.
        let ended = view.progress.is_some() && phase.is_final();
        (ended || view.spec.is_some()).then_some(phase)
    }

    /// Returns how many VMs should lead rather than this one: those with more processors, and then by name. Leading
    /// takes several times the processor time of anything else that a VM does.
    #[must_use]
    pub fn leadership_rank(&self, vm: &str) -> usize {
        let own = self.links.get(vm).map_or(0, |link| link.millicores);
        let before = |name: &str, link: &LinkInfo| {
            link.millicores > own || (link.millicores == own && name < vm)
        };
        self.links.iter().filter(|(name, link)| before(name, link)).count()
    }

    /// Returns a VM among those that can be reached that should lead instead of this one: it has far more processors.
    #[must_use]
    pub fn preferred_leader<'a>(
        &self,
        vm: &str,
        reachable: impl IntoIterator<Item = &'a Arc<str>>,
    ) -> Option<&'a Arc<str>> {
        let of = |name: &str| self.links.get(name).map_or(0, |link| link.millicores);
        let least = of(vm) * LARGER_PERCENT / 100;
        reachable.into_iter().filter(|name| of(name) > least).max_by_key(|name| of(name))
    }

    /// Counts the jobs of a route that have no started task and no times of their own.
    #[must_use]
    pub fn pending_jobs(&self, route: &str) -> usize {
        self.jobs
            .values()
            .filter(|view| view.phase() == JobPhase::Queued)
            .filter_map(|view| view.spec.as_ref())
            .filter(|spec| &*spec.route.name == route)
            .count()
    }

    /// Returns the jobs that ended before `before`, `most` of them at the most.
    #[must_use]
    pub fn expired_jobs(&self, before: BootTime, most: usize) -> Vec<JobId> {
        let ended = |view: &JobView| view.ended_at.is_some_and(|at| at < before);
        self.jobs.iter().filter(|(_, p)| ended(p)).map(|(id, _)| *id).take(most).collect()
    }
}
