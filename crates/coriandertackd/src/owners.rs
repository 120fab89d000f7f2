//! Selection of the owner that a home asks for capacity.

use {
    coriandertack_core::{
        keys::VmKey,
        message::{AttemptSpec, PlacementOutcome},
        node::SharedState,
        owner_selection::{OwnerCandidate, OwnerChoice, OwnerEstimate, rank_owners},
        pool::WorkerFilter,
        record::Kind,
    },
    tokio::time::Instant,
};

/// Returns the owner to ask for all of `specs`, or `None` if no owner outside `tried` may have room.
///
/// Owners are ordered by [`rank_owners`]. The requested capacity is deducted from the local estimate at once, so that
/// one round does not send all its requests to the same VM.
pub fn choose(
    shared: &mut SharedState,
    own_key: VmKey,
    specs: &[AttemptSpec],
    tried: &[OwnerChoice],
    now: Instant,
) -> Option<OwnerChoice> {
    let first = specs.first()?;
    let own = OwnerEstimate::from(shared.pool.summary());
    let copies = |vm: VmKey| match first.kind {
        Kind::Service => {
            u32::try_from(shared.team_queues.copy_count(&first.class, vm)).unwrap_or(u32::MAX)
        }
        Kind::Batch | Kind::Gang => 0,
    };
    let reachable = shared.links.iter().filter(|(_, link)| !link.is_suspected(now));
    let others = reachable.map(|(vm, link)| OwnerCandidate {
        vm,
        estimate: &link.estimate,
        copies: copies(vm),
        local: false,
    });
    let local =
        OwnerCandidate { vm: own_key, estimate: &own, copies: copies(own_key), local: true };
    let owners: Vec<OwnerCandidate<'_>> = others.chain([local]).collect();
    let ranked = rank_owners(&owners, specs);
    let choice = ranked.into_iter().find(|choice| !tried.contains(choice))?;
    if let Some(link) = shared.links.get_mut(choice.vm) {
        specs.iter().for_each(|spec| link.estimate.deduct(spec.need, choice.filter));
    }
    Some(choice)
}

/// Updates the estimate of an owner's capacity after its answer to a request for one task.
pub fn record_answer(
    shared: &mut SharedState,
    choice: OwnerChoice,
    spec: &AttemptSpec,
    outcome: PlacementOutcome,
) {
    let link = shared.links.get_mut(choice.vm);
    if let Some(link) = link.filter(|_| outcome == PlacementOutcome::Full) {
        link.estimate.record_refusal(spec.need, choice.filter);
    }
}

/// Returns the owner to ask for urgent work when no owner has room, which then preempts other tasks. This is the local
/// VM if it owns workers, and otherwise the VM that owns the most.
pub fn choose_for_urgent(
    shared: &SharedState,
    own_key: VmKey,
    tried: &[OwnerChoice],
    now: Instant,
) -> Option<OwnerChoice> {
    let any = |vm: VmKey| OwnerChoice { vm, filter: WorkerFilter::Any };
    if !tried.contains(&any(own_key)) && shared.pool.workers().next().is_some() {
        return Some(any(own_key));
    }
    let candidates = shared
        .links
        .iter()
        .filter(|(vm, link)| !tried.contains(&any(*vm)) && !link.is_suspected(now));
    candidates.max_by_key(|(_, link)| link.summary.workers).map(|(vm, _)| any(vm))
}
