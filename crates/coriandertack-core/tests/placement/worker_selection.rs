//! Guards against placements that violate the policy for the kind of work.

use std::collections::{BTreeMap, BTreeSet};

use coriandertack_core::{
    keys::WorkerKey,
    message::AttemptSpec,
    pool::{GrantPhase, PlacementError, Weights, WorkerFilter},
    record::Kind,
    resources::Resources,
};

use crate::support::{ACCELERATED, Fleet, PLAIN, gang, spec};

const CORE: Resources = Resources::new(1_000, 1_024, 0);

/// Returns a fleet of 24 workers in 3 zones with 2 racks of 4 workers each.
fn fleet_with_racks(weights: Weights) -> Fleet {
    let mut fleet = Fleet::new(weights);
    for at in 0..24 {
        fleet.add_worker(&format!("z{}", at % 3), &format!("r{}", at % 6), PLAIN);
    }
    fleet
}

fn place(fleet: &mut Fleet, spec: &AttemptSpec) -> WorkerKey {
    fleet.pool.place(spec, GrantPhase::Running).expect("enough capacity")
}

#[test]
fn service_copies_spread_over_zones_racks_and_workers() {
    for weights in [Weights::VUKIC, Weights::AGENCY] {
        let mut fleet = fleet_with_racks(weights);
        let mut zones: BTreeMap<String, u32> = BTreeMap::new();
        let mut racks: BTreeMap<String, u32> = BTreeMap::new();
        let mut workers: BTreeMap<WorkerKey, u32> = BTreeMap::new();
        for copy in 1..=24 {
            let worker = place(&mut fleet, &spec(copy, Kind::Service, CORE));
            let owned_worker = fleet.pool.worker(worker).expect("the worker is in the pool");
            *zones.entry(owned_worker.zone.to_string()).or_default() += 1;
            *racks.entry(owned_worker.rack.to_string()).or_default() += 1;
            *workers.entry(worker).or_default() += 1;
            let spread = |counts: Vec<u32>| {
                counts.iter().max().unwrap_or(&0) - counts.iter().min().unwrap_or(&0)
            };
            if copy >= 3 {
                assert!(spread(zones.values().copied().collect()) <= 1, "{zones:?}");
            }
            if copy >= 6 {
                assert!(spread(racks.values().copied().collect()) <= 1, "{racks:?}");
            }
        }
        assert_eq!(workers.len(), 24);
    }
}

#[test]
fn ended_copy_is_not_counted() {
    let mut fleet = fleet_with_racks(Weights::AGENCY);
    let first = place(&mut fleet, &spec(1, Kind::Service, CORE));
    let zone = fleet.pool.worker(first).expect("the worker is in the pool").zone.clone();
    fleet.pool.release(spec(1, Kind::Service, CORE).lease);
    place(&mut fleet, &spec(2, Kind::Service, CORE));
    place(&mut fleet, &spec(3, Kind::Service, CORE));
    let last = place(&mut fleet, &spec(4, Kind::Service, CORE));
    let zones: BTreeSet<_> = fleet
        .pool
        .grants()
        .map(|grant| fleet.pool.worker(grant.worker).map(|owned_worker| owned_worker.zone.clone()))
        .collect();
    assert_eq!(zones.len(), 3, "first copy in {zone}, last copy on {last:?}");
}

#[test]
fn batch_tasks_fill_a_worker_before_using_another() {
    let mut fleet = Fleet::uniform(10, PLAIN);
    for job in 1..=32 {
        place(&mut fleet, &spec(job, Kind::Batch, Resources::new(1_000, 2_048, 0)));
    }
    let used = fleet
        .pool
        .workers()
        .filter(|(_, owned_worker)| owned_worker.granted != Resources::ZERO)
        .count();
    assert_eq!(used, 2);
}

#[test]
fn workers_with_accelerators_are_used_last() {
    let mut fleet = Fleet::new(Weights::AGENCY);
    let with_accelerators = fleet.add_worker("z0", "r0", ACCELERATED);
    let plain = fleet.add_worker("z0", "r0", PLAIN);
    let half = Resources::new(8_000, 8_192, 0);
    assert_eq!(place(&mut fleet, &spec(1, Kind::Batch, half)), plain);
    assert_eq!(place(&mut fleet, &spec(2, Kind::Service, half)), plain);
    let refused = fleet.pool.place_filtered(
        &spec(3, Kind::Batch, half),
        GrantPhase::Running,
        WorkerFilter::NoAccelerators,
    );
    assert_eq!(refused, Err(PlacementError::Full));
    assert_eq!(place(&mut fleet, &spec(4, Kind::Batch, half)), with_accelerators);
    let accelerated = Resources::new(1_000, 1_024, 4);
    assert_eq!(place(&mut fleet, &spec(5, Kind::Batch, accelerated)), with_accelerators);
}

#[test]
fn gang_is_placed_in_one_rack_if_it_fits() {
    let mut fleet = fleet_with_racks(Weights::AGENCY);
    // One worker is nearly full, so its rack cannot hold the gang.
    let filled = place(&mut fleet, &spec(1, Kind::Batch, Resources::new(15_000, 1_024, 0)));
    let workers =
        fleet.pool.place_all(&gang(2, 8, Resources::new(8_000, 1_024, 0)), GrantPhase::Running);
    let workers = workers.expect("enough capacity");
    let racks: BTreeSet<_> = workers
        .iter()
        .map(|&worker| fleet.pool.worker(worker).map(|owned_worker| owned_worker.rack.clone()))
        .collect();
    assert_eq!(racks.len(), 1);
    assert!(!workers.contains(&filled));
}

#[test]
fn gang_larger_than_a_rack_is_placed_in_one_zone() {
    let mut fleet = fleet_with_racks(Weights::AGENCY);
    let workers =
        fleet.pool.place_all(&gang(1, 12, Resources::new(8_000, 1_024, 0)), GrantPhase::Running);
    let zones: BTreeSet<_> = workers
        .expect("enough capacity")
        .iter()
        .map(|&worker| fleet.pool.worker(worker).map(|owned_worker| owned_worker.zone.clone()))
        .collect();
    assert_eq!(zones.len(), 1);
}

#[test]
fn gang_that_does_not_fit_gets_no_capacity() {
    let mut fleet = Fleet::uniform(2, PLAIN);
    let refused =
        fleet.pool.place_all(&gang(1, 5, Resources::new(8_000, 1_024, 0)), GrantPhase::Running);
    assert_eq!(refused, Err(PlacementError::Full));
    assert_eq!(fleet.pool.summary().free, PLAIN + PLAIN);
}

#[test]
fn lease_is_granted_only_once() {
    let mut fleet = Fleet::uniform(2, PLAIN);
    place(&mut fleet, &spec(1, Kind::Batch, CORE));
    let again = fleet.pool.place(&spec(1, Kind::Batch, CORE), GrantPhase::Running);
    assert_eq!(again, Err(PlacementError::Duplicate));
    let twice = [spec(2, Kind::Gang, CORE), spec(2, Kind::Gang, CORE)];
    assert_eq!(fleet.pool.place_all(&twice, GrantPhase::Running), Err(PlacementError::Duplicate));
}

#[test]
fn moved_worker_keeps_its_copy_counts() {
    let mut fleet = fleet_with_racks(Weights::AGENCY);
    let first = place(&mut fleet, &spec(1, Kind::Service, CORE));
    let mut owned_worker = fleet.pool.worker(first).expect("the worker is in the pool").clone();
    owned_worker.zone = "z9".into();
    owned_worker.rack = "r9".into();
    fleet.pool.upsert_worker(first, owned_worker);
    let mut zones = BTreeSet::new();
    for job in 2..=4 {
        let worker = place(&mut fleet, &spec(job, Kind::Service, CORE));
        zones.insert(fleet.pool.worker(worker).expect("the worker is in the pool").zone.clone());
    }
    assert_eq!(zones.len(), 3, "each of the other zones must get one copy: {zones:?}");
    fleet.pool.remove_worker(first);
    assert_eq!(fleet.pool.grants().count(), 3);
}
