//! Selection of the owners that a home asks for capacity, from the summaries in their heartbeats.
//!
//! A summary is outdated by the time it is read, and it does not list every worker. It only ranks the
//! owners and never excludes one that may have room. After a refusal, the home asks the next owner.

use crate::{
    keys::VmKey,
    message::{AttemptSpec, CapacitySummary, FreeCapacity},
    pool::WorkerFilter,
    record::Kind,
    resources::Resources,
};

/// Average number of workers per owner at and above which a home prefers its own workers.
///
/// Preferring them saves messages, but each owner then has a partly used worker of its own, which wastes half a
/// worker on average. With 25 workers per owner that is 2% of the workers. With 6, the loss in packing costs more
/// than the messages saved.
const LOCAL_MIN_WORKERS: usize = 25;

/// Maximum number of refusals tracked for each owner until its next summary.
const MAX_REFUSALS: usize = 16;

/// Estimated free capacity of an owner: its last summary, adjusted by the requests and refusals since.
///
/// Without the adjustment, a home would send all work between two heartbeats to the same owner, even if it
/// is full.
#[derive(Clone, Debug, Default)]
pub struct OwnerEstimate {
    summary: CapacitySummary,
    /// Requests that the owner refused since its last summary.
    refused: Vec<(WorkerFilter, Resources)>,
}

impl From<CapacitySummary> for OwnerEstimate {
    fn from(summary: CapacitySummary) -> Self {
        Self { summary, refused: Vec::new() }
    }
}

impl OwnerEstimate {
    /// Replaces the estimate by a new summary, which covers all requests answered so far.
    pub fn update(&mut self, summary: CapacitySummary) {
        *self = summary.into();
    }

    /// Returns the number of workers that accept work.
    #[must_use]
    pub fn worker_count(&self) -> u32 {
        self.summary.workers
    }

    /// Subtracts the request for a task, so that capacity requested but not yet granted is not counted as free.
    pub fn deduct(&mut self, need: Resources, filter: WorkerFilter) {
        let capacity = self.capacity_mut(filter);
        capacity.free = capacity.free.saturating_sub(need);
        if !need.fits(capacity.partial) {
            // The task occupies an idle worker, whose remaining capacity then counts as partly used.
            capacity.partial = capacity.largest.saturating_sub(need);
        }
    }

    /// Records that the owner refused a task, and adds the deducted request back to its free capacity.
    ///
    /// Until the next summary, the owner is not asked for tasks that are at least as large.
    pub fn record_refusal(&mut self, need: Resources, filter: WorkerFilter) {
        let capacity = self.capacity_mut(filter);
        capacity.free = capacity.free.saturating_add(need);
        if self.refused.len() == MAX_REFUSALS {
            self.refused.remove(0);
        }
        self.refused.push((filter, need));
    }

    /// Returns the capacity that a request with this filter mostly uses.
    ///
    /// [`WorkerFilter::Any`] is used for tasks that need accelerators, or after workers without them were ruled out.
    fn capacity_mut(&mut self, filter: WorkerFilter) -> &mut FreeCapacity {
        match filter {
            WorkerFilter::NoAccelerators => &mut self.summary.plain,
            WorkerFilter::Any => &mut self.summary.accelerated,
        }
    }

    /// Returns whether the owner has refused a request no larger than `need` with the same or a wider filter.
    fn is_ruled_out(&self, need: Resources, filter: WorkerFilter) -> bool {
        // A refusal with `WorkerFilter::Any` implies a refusal with a narrower filter.
        let covers = |known: WorkerFilter| known == filter || known == WorkerFilter::Any;
        self.refused.iter().any(|&(known, refused)| covers(known) && refused.fits(need))
    }
}

/// An owner that a home may ask for capacity.
#[derive(Clone, Copy, Debug)]
pub struct OwnerCandidate<'a> {
    /// VM of the owner.
    pub vm: VmKey,
    /// Estimate of its free capacity.
    pub estimate: &'a OwnerEstimate,
    /// Number of copies of the service that the home has bound there, 0 for other kinds.
    pub copies: u32,
    /// Whether the owner is the home itself, so that no message is needed.
    pub local: bool,
}

/// An owner to ask, and the workers that it may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnerChoice {
    /// VM of the owner.
    pub vm: VmKey,
    /// Filter to send with the request.
    pub filter: WorkerFilter,
}

/// Returns the owner to ask first for a task, or `None` if no owner may have room.
#[must_use]
pub fn choose_owner(owners: &[OwnerCandidate<'_>], spec: &AttemptSpec) -> Option<OwnerChoice> {
    rank_owners(owners, std::slice::from_ref(spec)).first().copied()
}

/// Returns the owners in the order in which to ask them for all of `specs` at once.
///
/// The order is lexicographic by these criteria:
///
/// 1. Tasks without accelerators go to workers without accelerators first, whichever owner has them. An
///    owner can therefore appear twice.
/// 2. Owners whose summary shows a worker with enough room come before those whose summary only does not
///    rule one out.
/// 3. For a service, owners with fewer copies come first.
/// 4. Owners that can use a partly used worker come before those that need an idle one.
/// 5. In a cluster with many workers per owner, the home itself comes before other owners.
/// 6. For batch tasks and gangs, the owner with the least free capacity comes first, so that large blocks
///    of free capacity stay available elsewhere. For services, the owner with the most comes first.
#[must_use]
pub fn rank_owners(owners: &[OwnerCandidate<'_>], specs: &[AttemptSpec]) -> Vec<OwnerChoice> {
    let demand = Demand::of(specs);
    let workers = owners.iter().map(|owner| owner.estimate.summary.workers as usize);
    let prefer_local = workers.sum::<usize>() >= LOCAL_MIN_WORKERS * owners.len();
    let mut ranked: Vec<(Rank, OwnerChoice)> = Vec::with_capacity(2 * owners.len());
    for owner in owners {
        let CapacitySummary { plain, accelerated, .. } = owner.estimate.summary;
        let mut add_choice = |capacity, filter, wastes_accelerators| {
            if owner.estimate.is_ruled_out(demand.largest, filter) {
                return;
            }
            let rank = demand.rank(capacity, owner, prefer_local, wastes_accelerators);
            ranked.extend(rank.map(|rank| (rank, OwnerChoice { vm: owner.vm, filter })));
        };
        if demand.largest.accelerators > 0 {
            add_choice(accelerated, WorkerFilter::Any, false);
        } else {
            add_choice(plain, WorkerFilter::NoAccelerators, false);
            add_choice(plain.combined(accelerated), WorkerFilter::Any, true);
        }
    }
    ranked.sort_by_key(|(rank, _)| *rank);
    ranked.into_iter().map(|(_, choice)| choice).collect()
}

/// Aggregated resource requests of a list of tasks.
#[derive(Clone, Copy, Debug)]
struct Demand {
    /// Maximum of each resource over the tasks.
    largest: Resources,
    /// Sum over the tasks.
    total: Resources,
    /// Whether the tasks are copies of a service.
    service: bool,
}

/// Sort key of an owner. The lowest is asked first, and the order of the fields is significant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    /// Whether tasks without accelerators would occupy workers with accelerators.
    wastes_accelerators: bool,
    /// Whether the summary shows no worker with enough room.
    uncertain: bool,
    /// Number of copies of the service that the owner runs.
    copies: u32,
    /// Whether an idle worker would be occupied.
    opens_worker: bool,
    /// Whether a message to another VM is needed although the home prefers its own workers.
    remote: bool,
    /// Free accelerators, negated for services.
    accelerators: i64,
    /// Free millicores, negated for services.
    processors: i64,
}

impl Demand {
    fn of(specs: &[AttemptSpec]) -> Self {
        let needs = || specs.iter().map(|spec| spec.need);
        Self {
            largest: needs().fold(Resources::ZERO, Resources::max),
            total: needs().fold(Resources::ZERO, Resources::saturating_add),
            service: specs.iter().any(|spec| spec.kind == Kind::Service),
        }
    }

    /// Returns the rank of an owner by the capacity that it may use, or `None` if that is certainly too small.
    fn rank(
        self,
        capacity: FreeCapacity,
        owner: &OwnerCandidate<'_>,
        prefer_local: bool,
        wastes_accelerators: bool,
    ) -> Option<Rank> {
        if !self.largest.fits(capacity.max) || !self.total.fits(capacity.free) {
            return None;
        }
        let sign = if self.service { -1 } else { 1 };
        Some(Rank {
            wastes_accelerators,
            uncertain: !self.largest.fits(capacity.largest),
            copies: owner.copies,
            opens_worker: !self.largest.fits(capacity.partial),
            remote: prefer_local && !owner.local,
            accelerators: sign * i64::from(capacity.free.accelerators),
            processors: sign * i64::from(capacity.free.millicores),
        })
    }
}
