//! Guards against a home that asks the wrong owner first, or skips an owner that may have room.

use {
    coriandertack_core::{
        keys::VmKey,
        message::CapacitySummary,
        owner_selection::{OwnerCandidate, OwnerChoice, OwnerEstimate, choose_owner, rank_owners},
        pool::{GrantPhase, WorkerFilter},
        record::Kind,
        resources::Resources,
    },
    slotmap::SlotMap,
};

use crate::support::{ACCELERATED, Fleet, PLAIN, gang, spec};

const CORE: Resources = Resources::new(1_000, 1_024, 0);

/// Owners with the estimates that a home has of them.
struct Owners {
    vms: Vec<VmKey>,
    estimates: Vec<OwnerEstimate>,
}

impl Owners {
    fn new(summaries: &[CapacitySummary]) -> Self {
        let mut keys: SlotMap<VmKey, ()> = SlotMap::with_key();
        let vms = summaries.iter().map(|_| keys.insert(())).collect();
        Self { vms, estimates: summaries.iter().map(|&summary| summary.into()).collect() }
    }

    fn owners(&self) -> Vec<OwnerCandidate<'_>> {
        let known = self.vms.iter().zip(&self.estimates);
        known
            .map(|(&vm, estimate)| OwnerCandidate { vm, estimate, copies: 0, local: false })
            .collect()
    }
}

/// Returns the summary of an owner with `count` workers, one of which runs a task of size `used`.
fn summary(count: usize, capacity: Resources, used: Resources) -> CapacitySummary {
    let mut fleet = Fleet::uniform(count, capacity);
    if used != Resources::ZERO {
        fleet
            .pool
            .place(&spec(1, Kind::Batch, used), GrantPhase::Running)
            .expect("enough capacity");
    }
    fleet.pool.summary()
}

#[test]
fn batch_prefers_the_fullest_owner_and_services_the_one_with_fewest_copies() {
    let tight = summary(2, PLAIN, Resources::new(12_000, 1_024, 0));
    let loose = summary(2, PLAIN, Resources::new(1_000, 1_024, 0));
    let known = Owners::new(&[loose, tight]);
    let (vms, mut owners) = (&known.vms, known.owners());
    let without_accelerators = |vm| Some(OwnerChoice { vm, filter: WorkerFilter::NoAccelerators });
    assert_eq!(choose_owner(&owners, &spec(1, Kind::Batch, CORE)), without_accelerators(vms[1]));
    assert_eq!(choose_owner(&owners, &spec(1, Kind::Service, CORE)), without_accelerators(vms[0]));
    owners[0].copies = 1;
    assert_eq!(choose_owner(&owners, &spec(1, Kind::Service, CORE)), without_accelerators(vms[1]));
}

#[test]
fn plain_workers_of_any_owner_precede_accelerated_ones() {
    let accelerated = summary(2, ACCELERATED, CORE);
    let plain = summary(2, PLAIN, Resources::ZERO);
    let known = Owners::new(&[accelerated, plain]);
    let (vms, owners) = (&known.vms, known.owners());
    let ranked = rank_owners(&owners, &[spec(1, Kind::Batch, CORE)]);
    assert_eq!(ranked[0], OwnerChoice { vm: vms[1], filter: WorkerFilter::NoAccelerators });
    assert!(ranked.contains(&OwnerChoice { vm: vms[0], filter: WorkerFilter::Any }));
    let needs = Resources { accelerators: 1, ..CORE };
    assert_eq!(
        choose_owner(&owners, &spec(2, Kind::Batch, needs)).map(|choice| choice.vm),
        Some(vms[0])
    );
}

#[test]
fn owner_that_may_have_room_is_ranked_last() {
    // The worker with the most free processors lacks memory for the task, but another worker has enough.
    let mut fleet = Fleet::uniform(2, PLAIN);
    let memory = Resources::new(1_000, 30_000, 0);
    let cores = Resources::new(4_000, 20_000, 0);
    fleet.pool.place(&spec(1, Kind::Batch, memory), GrantPhase::Running).expect("enough capacity");
    fleet.pool.place(&spec(2, Kind::Batch, cores), GrantPhase::Running).expect("enough capacity");
    let inconclusive = fleet.pool.summary();
    let need = Resources::new(2_000, 8_192, 0);
    assert!(!need.fits(inconclusive.plain.largest));
    let known = Owners::new(&[inconclusive, summary(9, PLAIN, Resources::ZERO)]);
    let vms = &known.vms;
    let ranked = rank_owners(&known.owners(), &[spec(3, Kind::Batch, need)]);
    assert_eq!(ranked.first().map(|choice| choice.vm), Some(vms[1]));
    assert!(ranked.iter().any(|choice| choice.vm == vms[0]));
    assert!(fleet.pool.place(&spec(3, Kind::Batch, need), GrantPhase::Running).is_ok());
}

#[test]
fn owner_without_room_is_not_ranked() {
    let full = summary(1, PLAIN, PLAIN);
    let known = Owners::new(&[full]);
    assert_eq!(choose_owner(&known.owners(), &spec(1, Kind::Batch, CORE)), None);
    let small = summary(1, PLAIN, Resources::ZERO);
    let known = Owners::new(&[small]);
    assert!(rank_owners(&known.owners(), &gang(1, 3, Resources::new(8_000, 1_024, 0))).is_empty());
}

#[test]
fn requests_adjust_the_last_summary() {
    let empty = summary(1, PLAIN, Resources::ZERO);
    let mut known = Owners::new(&[empty, empty]);
    let half = Resources::new(8_000, 8_192, 0);
    let first = choose_owner(&known.owners(), &spec(1, Kind::Batch, half)).expect("both have room");
    let at =
        known.vms.iter().position(|&vm| vm == first.vm).expect("the choice is one of the owners");
    known.estimates[at].deduct(half, first.filter);
    // The partly used worker is filled before an idle one is used.
    let second = choose_owner(&known.owners(), &spec(2, Kind::Batch, half));
    assert_eq!(second, Some(first));
    known.estimates[at].deduct(half, first.filter);
    let third = choose_owner(&known.owners(), &spec(3, Kind::Batch, half));
    assert_ne!(third.map(|choice| choice.vm), Some(first.vm));
}

#[test]
fn refusal_excludes_larger_requests_until_the_next_summary() {
    let empty = summary(1, PLAIN, Resources::ZERO);
    let mut known = Owners::new(&[empty]);
    let larger = CORE + CORE;
    known.estimates[0].record_refusal(CORE, WorkerFilter::Any);
    assert_eq!(choose_owner(&known.owners(), &spec(1, Kind::Batch, larger)), None);
    let smaller = Resources::new(500, 512, 0);
    assert!(choose_owner(&known.owners(), &spec(2, Kind::Batch, smaller)).is_some());
    known.estimates[0] = empty.into();
    assert!(choose_owner(&known.owners(), &spec(3, Kind::Batch, larger)).is_some());
}

#[test]
fn home_prefers_itself_with_many_workers_per_owner() {
    let first = |workers| {
        let used = summary(workers, PLAIN, CORE);
        let less = summary(workers, PLAIN, CORE + CORE);
        let known = Owners::new(&[less, used, less]);
        let mut owners = known.owners();
        owners[1].local = true;
        let choice = choose_owner(&owners, &spec(1, Kind::Batch, CORE));
        choice.map(|choice| choice.vm == known.vms[1])
    };
    assert_eq!(first(25), Some(true));
    assert_eq!(first(6), Some(false), "with few workers per owner, packing takes precedence");
}
