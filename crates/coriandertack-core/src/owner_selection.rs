//! The owners that a home asks for capacity, from what their heartbeats say.
//!
//! A summary is old by the time it is read, and it does not list every worker. It orders the owners and
//! excludes none that may have room: a refusal makes the home ask the next one.

use crate::{
    keys::VmKey,
    message::{AttemptSpec, CapacitySummary, FreeCapacity},
    pool::WorkerFilter,
    record::Kind,
    resources::Resources,
};

/// Workers for each owner from which on a home prefers itself.
///
/// It saves messages, but owners that fill in parallel each have a worker in part use, half of one on average. With
/// 25 workers for each owner that is 2% of the workers; with 6, packing suffers more than a message costs.
const LOCAL_FROM: usize = 25;

/// Refusals that are remembered for each owner until its next summary.
const MAX_REFUSALS: usize = 16;

/// What a home expects of an owner: its last summary, and the requests and refusals since.
///
/// Without the latter, a home would send all work between two heartbeats to the same owner, full or not.
#[derive(Clone, Debug, Default)]
pub struct OwnerEstimate {
    summary: CapacitySummary,
    refused: Vec<(WorkerFilter, Resources)>,
}

impl From<CapacitySummary> for OwnerEstimate {
    fn from(summary: CapacitySummary) -> Self {
        Self { summary, refused: Vec::new() }
    }
}

impl OwnerEstimate {
    /// Takes a new summary, which knows of all answers before.
    pub fn update(&mut self, summary: CapacitySummary) {
        *self = summary.into();
    }

    /// Returns the number of workers that take work.
    #[must_use]
    pub fn worker_count(&self) -> u32 {
        self.summary.workers
    }

    /// Subtracts what the owner is asked for one task, so that requests under way are not counted on twice.
    pub fn deduct(&mut self, need: Resources, filter: WorkerFilter) {
        let room = self.room_mut(filter);
        room.free = room.free.saturating_sub(need);
        if !need.fits(room.partial) {
            // A worker is opened, and the rest of it is in use then.
            room.partial = room.largest.saturating_sub(need);
        }
    }

    /// Notes that the owner had no room for one task. It has none for larger ones either.
    pub fn record_refusal(&mut self, need: Resources, filter: WorkerFilter) {
        let room = self.room_mut(filter);
        room.free = room.free.saturating_add(need);
        if self.refused.len() == MAX_REFUSALS {
            self.refused.remove(0);
        }
        self.refused.push((filter, need));
    }

    /// Returns the workers that a request will mostly use: those with accelerators are asked for last.
    fn room_mut(&mut self, filter: WorkerFilter) -> &mut FreeCapacity {
        match filter {
            WorkerFilter::NoAccelerators => &mut self.summary.plain,
            WorkerFilter::Any => &mut self.summary.accelerated,
        }
    }

    fn is_ruled_out(&self, need: Resources, filter: WorkerFilter) -> bool {
        // What an owner refuses within a wide reach, it refuses within a narrow one.
        let covers = |known: WorkerFilter| known == filter || known == WorkerFilter::Any;
        self.refused.iter().any(|&(known, refused)| covers(known) && refused.fits(need))
    }
}

/// What a home knows of an owner.
#[derive(Clone, Copy, Debug)]
pub struct OwnerCandidate<'a> {
    /// The owner.
    pub vm: VmKey,
    /// What the home expects of it.
    pub estimate: &'a OwnerEstimate,
    /// Copies of the service that the home has bound there; 0 for other work.
    pub copies: u32,
    /// Whether it is the home itself, which answers without a message.
    pub local: bool,
}

/// An owner to ask, and what it may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnerChoice {
    /// The owner.
    pub vm: VmKey,
    /// The workers that it may use.
    pub filter: WorkerFilter,
}

/// Returns the owner to ask first, if any may have room.
#[must_use]
pub fn choose_owner(owners: &[OwnerCandidate<'_>], spec: &AttemptSpec) -> Option<OwnerChoice> {
    rank_owners(owners, std::slice::from_ref(spec)).first().copied()
}

/// Returns the owners in the order in which to ask them for all tasks of a list at once.
///
/// Work without accelerators goes to workers without them first, whichever owner has such room, so an
/// owner can appear twice. Copies of a service go to the owner with the fewest. Then come owners where no
/// unused worker is needed, and with many workers the home itself before others. Then the owner with the least room comes first for batch work and gangs, so that large
/// holes elsewhere stay whole, and the one with the most room for services. An owner whose summary
/// shows no fitting hole, but does not rule one out, comes after those that show one.
#[must_use]
pub fn rank_owners(owners: &[OwnerCandidate<'_>], specs: &[AttemptSpec]) -> Vec<OwnerChoice> {
    let demand = Demand::of(specs);
    let workers = owners.iter().map(|owner| owner.estimate.summary.workers as usize);
    let near = workers.sum::<usize>() >= LOCAL_FROM * owners.len();
    let mut ranked: Vec<(Rank, OwnerChoice)> = Vec::with_capacity(2 * owners.len());
    for owner in owners {
        let CapacitySummary { plain, accelerated, .. } = owner.estimate.summary;
        let mut info = |room, filter, spoils| {
            if owner.estimate.is_ruled_out(demand.largest, filter) {
                return;
            }
            let rank = demand.rank(room, owner, near, spoils);
            ranked.extend(rank.map(|rank| (rank, OwnerChoice { vm: owner.vm, filter })));
        };
        if demand.largest.accelerators > 0 {
            info(accelerated, WorkerFilter::Any, false);
        } else {
            info(plain, WorkerFilter::NoAccelerators, false);
            info(plain.combined(accelerated), WorkerFilter::Any, true);
        }
    }
    ranked.sort_by_key(|(rank, _)| *rank);
    ranked.into_iter().map(|(_, choice)| choice).collect()
}

/// What a list of tasks needs.
#[derive(Clone, Copy, Debug)]
struct Demand {
    /// The most of each resource that one task needs.
    largest: Resources,
    total: Resources,
    /// Whether the tasks are copies of a service.
    service: bool,
}

/// Order in which owners are asked: the lowest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    /// Whether workers with accelerators would be used for work that needs none.
    spoils: bool,
    /// Whether no fitting hole is shown.
    unsure: bool,
    /// Copies of the service there.
    copies: u32,
    /// Whether an unused worker is needed.
    opens: bool,
    /// Whether a message is needed.
    remote: bool,
    accelerators: i64,
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

    /// Returns the rank of a room, or nothing if it is certainly too small.
    fn rank(
        self,
        room: FreeCapacity,
        owner: &OwnerCandidate<'_>,
        near: bool,
        spoils: bool,
    ) -> Option<Rank> {
        if !self.largest.fits(room.max) || !self.total.fits(room.free) {
            return None;
        }
        let sign = if self.service { -1 } else { 1 };
        Some(Rank {
            spoils,
            unsure: !self.largest.fits(room.largest),
            copies: owner.copies,
            opens: !self.largest.fits(room.partial),
            remote: near && !owner.local,
            accelerators: sign * i64::from(room.free.accelerators),
            processors: sign * i64::from(room.free.millicores),
        })
    }
}
