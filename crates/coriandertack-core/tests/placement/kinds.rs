//! Guards against placements that go against the kind of the work.

use std::collections::{BTreeMap, BTreeSet};

use coriandertack_core::{
    cell::{Phase, Reach, Refusal, Weights},
    keys::WorkerKey,
    message::Ask,
    record::Kind,
    resources::Resources,
};

use crate::support::{ACCELERATED, Fleet, PLAIN, ask, gang};

const CORE: Resources = Resources::new(1_000, 1_024, 0);

/// Returns 3 zones of 2 racks of 4 workers.
fn racks(weights: Weights) -> Fleet {
    let mut fleet = Fleet::new(weights);
    for at in 0..24 {
        fleet.add(&format!("z{}", at % 3), &format!("r{}", at % 6), PLAIN);
    }
    fleet
}

fn place(fleet: &mut Fleet, ask: &Ask) -> WorkerKey {
    fleet.cell.place(ask, Phase::Running).expect("there is room")
}

#[test]
fn copies_of_a_service_spread_over_zones_racks_and_workers() {
    for weights in [Weights::VUKIC, Weights::AGENCY] {
        let mut fleet = racks(weights);
        let mut zones: BTreeMap<String, u32> = BTreeMap::new();
        let mut racks: BTreeMap<String, u32> = BTreeMap::new();
        let mut workers: BTreeMap<WorkerKey, u32> = BTreeMap::new();
        for copy in 1..=24 {
            let worker = place(&mut fleet, &ask(copy, Kind::Service, CORE));
            let host = fleet.cell.host(worker).expect("it was chosen");
            *zones.entry(host.zone.to_string()).or_default() += 1;
            *racks.entry(host.rack.to_string()).or_default() += 1;
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
    let first = place(&mut fleet, &ask(1, Kind::Service, CORE));
    let zone = fleet.cell.host(first).expect("it was chosen").zone.clone();
    fleet.cell.release(ask(1, Kind::Service, CORE).lease);
    place(&mut fleet, &ask(2, Kind::Service, CORE));
    place(&mut fleet, &ask(3, Kind::Service, CORE));
    let last = place(&mut fleet, &ask(4, Kind::Service, CORE));
    let zones: BTreeSet<_> = fleet
        .cell
        .grants()
        .map(|grant| fleet.cell.host(grant.worker).map(|host| host.zone.clone()))
        .collect();
    assert_eq!(zones.len(), 3, "{zone} and {last:?}");
}

#[test]
fn batch_work_fills_a_worker_before_it_opens_another() {
    let mut fleet = Fleet::of(10, PLAIN);
    for job in 1..=32 {
        place(&mut fleet, &ask(job, Kind::Batch, Resources::new(1_000, 2_048, 0)));
    }
    let used = fleet.cell.hosts().filter(|(_, host)| host.granted != Resources::ZERO).count();
    assert_eq!(used, 2);
}

#[test]
fn accelerators_are_kept_while_others_have_room() {
    let mut fleet = Fleet::new(Weights::AGENCY);
    let kept = fleet.add("z0", "r0", ACCELERATED);
    let plain = fleet.add("z0", "r0", PLAIN);
    let half = Resources::new(8_000, 8_192, 0);
    assert_eq!(place(&mut fleet, &ask(1, Kind::Batch, half)), plain);
    assert_eq!(place(&mut fleet, &ask(2, Kind::Service, half)), plain);
    let refused = fleet.cell.place_within(&ask(3, Kind::Batch, half), Phase::Running, Reach::Kept);
    assert_eq!(refused, Err(Refusal::Full));
    assert_eq!(place(&mut fleet, &ask(4, Kind::Batch, half)), kept);
    let accelerated = Resources::new(1_000, 1_024, 4);
    assert_eq!(place(&mut fleet, &ask(5, Kind::Batch, accelerated)), kept);
}

#[test]
fn a_gang_goes_to_one_rack_if_one_has_room() {
    let mut fleet = racks(Weights::AGENCY);
    // One rack is nearly full, so that the gang has to pass it over.
    let filled = place(&mut fleet, &ask(1, Kind::Batch, Resources::new(15_000, 1_024, 0)));
    let workers =
        fleet.cell.place_all(&gang(2, 8, Resources::new(8_000, 1_024, 0)), Phase::Running);
    let workers = workers.expect("there is room");
    let racks: BTreeSet<_> = workers
        .iter()
        .map(|&worker| fleet.cell.host(worker).map(|host| host.rack.clone()))
        .collect();
    assert_eq!(racks.len(), 1);
    assert!(!workers.contains(&filled));
}

#[test]
fn a_gang_too_large_for_a_rack_stays_in_one_zone() {
    let mut fleet = racks(Weights::AGENCY);
    let workers =
        fleet.cell.place_all(&gang(1, 12, Resources::new(8_000, 1_024, 0)), Phase::Running);
    let zones: BTreeSet<_> = workers
        .expect("there is room")
        .iter()
        .map(|&worker| fleet.cell.host(worker).map(|host| host.zone.clone()))
        .collect();
    assert_eq!(zones.len(), 1);
}

#[test]
fn a_gang_that_does_not_fit_takes_nothing() {
    let mut fleet = Fleet::of(2, PLAIN);
    let refused =
        fleet.cell.place_all(&gang(1, 5, Resources::new(8_000, 1_024, 0)), Phase::Running);
    assert_eq!(refused, Err(Refusal::Full));
    assert_eq!(fleet.cell.summary().free, PLAIN + PLAIN);
}

#[test]
fn a_lease_gets_capacity_once() {
    let mut fleet = Fleet::of(2, PLAIN);
    place(&mut fleet, &ask(1, Kind::Batch, CORE));
    let again = fleet.cell.place(&ask(1, Kind::Batch, CORE), Phase::Running);
    assert_eq!(again, Err(Refusal::Duplicate));
    let twice = [ask(2, Kind::Gang, CORE), ask(2, Kind::Gang, CORE)];
    assert_eq!(fleet.cell.place_all(&twice, Phase::Running), Err(Refusal::Duplicate));
}

#[test]
fn a_moved_worker_takes_its_copies_along() {
    let mut fleet = racks(Weights::AGENCY);
    let first = place(&mut fleet, &ask(1, Kind::Service, CORE));
    let mut host = fleet.cell.host(first).expect("it was chosen").clone();
    host.zone = "z9".into();
    host.rack = "r9".into();
    fleet.cell.track(first, host);
    let mut zones = BTreeSet::new();
    for job in 2..=4 {
        let worker = place(&mut fleet, &ask(job, Kind::Service, CORE));
        zones.insert(fleet.cell.host(worker).expect("it was chosen").zone.clone());
    }
    assert_eq!(zones.len(), 3, "each other zone gets one copy: {zones:?}");
    fleet.cell.forget(first);
    assert_eq!(fleet.cell.grants().count(), 3);
}
