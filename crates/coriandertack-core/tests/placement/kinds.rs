//! Guards against placements that go against the kind of the work.

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

/// Returns 3 zones of 2 racks of 4 workers.
fn racks(weights: Weights) -> Fleet {
    let mut fleet = Fleet::new(weights);
    for at in 0..24 {
        fleet.add(&format!("z{}", at % 3), &format!("r{}", at % 6), PLAIN);
    }
    fleet
}

fn place(fleet: &mut Fleet, spec: &AttemptSpec) -> WorkerKey {
    fleet.pool.place(spec, GrantPhase::Running).expect("there is room")
}

#[test]
fn copies_of_a_service_spread_over_zones_racks_and_workers() {
    for weights in [Weights::VUKIC, Weights::AGENCY] {
        let mut fleet = racks(weights);
        let mut zones: BTreeMap<String, u32> = BTreeMap::new();
        let mut racks: BTreeMap<String, u32> = BTreeMap::new();
        let mut workers: BTreeMap<WorkerKey, u32> = BTreeMap::new();
        for copy in 1..=24 {
            let worker = place(&mut fleet, &spec(copy, Kind::Service, CORE));
            let owned_worker = fleet.pool.worker(worker).expect("it was chosen");
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
fn an_ended_copy_no_longer_counts() {
    let mut fleet = racks(Weights::AGENCY);
    let first = place(&mut fleet, &spec(1, Kind::Service, CORE));
    let zone = fleet.pool.worker(first).expect("it was chosen").zone.clone();
    fleet.pool.release(spec(1, Kind::Service, CORE).lease);
    place(&mut fleet, &spec(2, Kind::Service, CORE));
    place(&mut fleet, &spec(3, Kind::Service, CORE));
    let last = place(&mut fleet, &spec(4, Kind::Service, CORE));
    let zones: BTreeSet<_> = fleet
        .pool
        .grants()
        .map(|grant| fleet.pool.worker(grant.worker).map(|owned_worker| owned_worker.zone.clone()))
        .collect();
    assert_eq!(zones.len(), 3, "{zone} and {last:?}");
}

#[test]
fn batch_work_fills_a_worker_before_it_opens_another() {
    let mut fleet = Fleet::of(10, PLAIN);
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
fn accelerators_are_kept_while_others_have_room() {
    let mut fleet = Fleet::new(Weights::AGENCY);
    let kept = fleet.add("z0", "r0", ACCELERATED);
    let plain = fleet.add("z0", "r0", PLAIN);
    let half = Resources::new(8_000, 8_192, 0);
    assert_eq!(place(&mut fleet, &spec(1, Kind::Batch, half)), plain);
    assert_eq!(place(&mut fleet, &spec(2, Kind::Service, half)), plain);
    let refused = fleet.pool.place_filtered(
        &spec(3, Kind::Batch, half),
        GrantPhase::Running,
        WorkerFilter::NoAccelerators,
    );
    assert_eq!(refused, Err(PlacementError::Full));
    assert_eq!(place(&mut fleet, &spec(4, Kind::Batch, half)), kept);
    let accelerated = Resources::new(1_000, 1_024, 4);
    assert_eq!(place(&mut fleet, &spec(5, Kind::Batch, accelerated)), kept);
}

#[test]
fn a_gang_goes_to_one_rack_if_one_has_room() {
    let mut fleet = racks(Weights::AGENCY);
    // One rack is nearly full, so that the gang has to pass it over.
    let filled = place(&mut fleet, &spec(1, Kind::Batch, Resources::new(15_000, 1_024, 0)));
    let workers =
        fleet.pool.place_all(&gang(2, 8, Resources::new(8_000, 1_024, 0)), GrantPhase::Running);
    let workers = workers.expect("there is room");
    let racks: BTreeSet<_> = workers
        .iter()
        .map(|&worker| fleet.pool.worker(worker).map(|owned_worker| owned_worker.rack.clone()))
        .collect();
    assert_eq!(racks.len(), 1);
    assert!(!workers.contains(&filled));
}

#[test]
fn a_gang_too_large_for_a_rack_stays_in_one_zone() {
    let mut fleet = racks(Weights::AGENCY);
    let workers =
        fleet.pool.place_all(&gang(1, 12, Resources::new(8_000, 1_024, 0)), GrantPhase::Running);
    let zones: BTreeSet<_> = workers
        .expect("there is room")
        .iter()
        .map(|&worker| fleet.pool.worker(worker).map(|owned_worker| owned_worker.zone.clone()))
        .collect();
    assert_eq!(zones.len(), 1);
}

#[test]
fn a_gang_that_does_not_fit_takes_nothing() {
    let mut fleet = Fleet::of(2, PLAIN);
    let refused =
        fleet.pool.place_all(&gang(1, 5, Resources::new(8_000, 1_024, 0)), GrantPhase::Running);
    assert_eq!(refused, Err(PlacementError::Full));
    assert_eq!(fleet.pool.summary().free, PLAIN + PLAIN);
}

#[test]
fn a_lease_gets_capacity_once() {
    let mut fleet = Fleet::of(2, PLAIN);
    place(&mut fleet, &spec(1, Kind::Batch, CORE));
    let again = fleet.pool.place(&spec(1, Kind::Batch, CORE), GrantPhase::Running);
    assert_eq!(again, Err(PlacementError::Duplicate));
    let twice = [spec(2, Kind::Gang, CORE), spec(2, Kind::Gang, CORE)];
    assert_eq!(fleet.pool.place_all(&twice, GrantPhase::Running), Err(PlacementError::Duplicate));
}

#[test]
fn a_moved_worker_takes_its_copies_along() {
    let mut fleet = racks(Weights::AGENCY);
    let first = place(&mut fleet, &spec(1, Kind::Service, CORE));
    let mut owned_worker = fleet.pool.worker(first).expect("it was chosen").clone();
    owned_worker.zone = "z9".into();
    owned_worker.rack = "r9".into();
    fleet.pool.upsert_worker(first, owned_worker);
    let mut zones = BTreeSet::new();
    for job in 2..=4 {
        let worker = place(&mut fleet, &spec(job, Kind::Service, CORE));
        zones.insert(fleet.pool.worker(worker).expect("it was chosen").zone.clone());
    }
    assert_eq!(zones.len(), 3, "each other zone gets one copy: {zones:?}");
    fleet.pool.remove_worker(first);
    assert_eq!(fleet.pool.grants().count(), 3);
}
