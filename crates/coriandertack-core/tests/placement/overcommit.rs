//! Guards against grants beyond what a worker has, and against refusals although there is room.

use std::time::Duration;

use {
    coriandertack_core::{
        cell::{Cell, Phase, Refusal, Weights},
        keys::LeaseId,
        message::{Ask, EndCause, Summary},
        record::Kind,
        resources::Resources,
    },
    proptest::prelude::*,
    tokio::time::Instant,
};

use crate::support::{ACCELERATED, Fleet, PLAIN, ask, gang};

#[derive(Clone, Debug)]
enum Step {
    Place(Kind, Resources, bool),
    PlaceAll(u32, Resources),
    Release(usize),
    Preempt(Resources),
    Report(usize, bool),
    Expire(u64),
    Forget(usize),
}

fn need() -> impl Strategy<Value = Resources> {
    let small = (0_u32..=20, 0_u32..=36, prop_oneof![9 => Just(0_u32), 1 => 1_u32..=5]);
    small.prop_map(|(cores, gib, accelerators)| {
        Resources::new(cores * 1_000, cores.min(1) + gib * 1_024, accelerators)
    })
}

fn step() -> impl Strategy<Value = Step> {
    let kind = prop_oneof![Just(Kind::Service), Just(Kind::Batch), Just(Kind::Gang)];
    prop_oneof![
        8 => (kind, need(), any::<bool>()).prop_map(|(kind, need, urgent)| Step::Place(kind, need, urgent)),
        2 => (1_u32..6, need()).prop_map(|(tasks, need)| Step::PlaceAll(tasks, need)),
        5 => any::<usize>().prop_map(Step::Release),
        2 => need().prop_map(Step::Preempt),
        2 => (any::<usize>(), any::<bool>()).prop_map(|(at, good)| Step::Report(at, good)),
        1 => (0_u64..100).prop_map(Step::Expire),
        1 => any::<usize>().prop_map(Step::Forget),
    ]
}

/// Checks the sums of every worker, and the totals of the summary.
fn check(cell: &Cell) {
    let mut summary = Summary::default();
    for (worker, host) in cell.hosts() {
        let granted: Resources = cell.grants_on(worker).map(|grant| grant.ask.need).sum();
        assert_eq!(granted, host.granted);
        let claims = cell.claims().filter(|claim| claim.worker == worker);
        assert_eq!(claims.map(|claim| claim.kept).sum::<Resources>(), host.withheld);
        assert!((granted + host.withheld).fits(host.capacity), "{host:?}");
        assert_eq!(host.free(), host.capacity - granted - host.withheld);
        if !cell.is_quarantined(worker) {
            let accelerated = host.capacity.accelerators > 0;
            summary.add(host.free(), accelerated, granted != Resources::ZERO);
        }
    }
    assert_eq!(
        cell.grants().count(),
        cell.hosts().map(|(key, _)| cell.grants_on(key).count()).sum()
    );
    let found = cell.summary();
    assert_eq!((found.free, found.workers), (summary.free, summary.workers));
    assert_eq!((found.plain, found.accelerated), (summary.plain, summary.accelerated));
}

fn has_room(cell: &Cell, need: Resources) -> bool {
    let mut open = cell.hosts().filter(|(worker, _)| !cell.is_quarantined(*worker));
    open.any(|(_, host)| need.fits(host.free()))
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    #[test]
    fn random_operations_never_overcommit(steps in prop::collection::vec(step(), 1..120)) {
        let mut fleet = Fleet::new(Weights::VUKIC);
        for at in 0..6 {
            let capacity = if at % 3 == 0 { ACCELERATED } else { PLAIN };
            fleet.add(&format!("z{}", at % 2), &format!("r{}", at / 2), capacity);
        }
        let now = Instant::now();
        let mut leases: Vec<LeaseId> = Vec::new();
        for (job, step) in (1..).zip(steps) {
            let cell = &mut fleet.cell;
            match step {
                Step::Place(kind, need, urgent) => {
                    let ask = Ask { urgent, ..ask(job, kind, need) };
                    let room = has_room(cell, need);
                    match cell.place(&ask, Phase::Running) {
                        Ok(_) => leases.push(ask.lease),
                        Err(refusal) => prop_assert_eq!((refusal, room), (Refusal::Full, false)),
                    }
                }
                Step::PlaceAll(tasks, need) => {
                    let asks = gang(job, tasks, need);
                    let before = cell.grants().count();
                    let held = Phase::Held(now + Duration::from_secs(50));
                    match cell.place_all(&asks, held) {
                        Ok(workers) => {
                            prop_assert_eq!(workers.len(), asks.len());
                            leases.extend(asks.iter().map(|ask| ask.lease));
                        }
                        Err(_) => prop_assert_eq!(cell.grants().count(), before),
                    }
                }
                Step::Release(at) if !leases.is_empty() => {
                    let lease = leases.swap_remove(at % leases.len());
                    cell.release(lease);
                    leases.extend(cell.settle().iter().map(|grant| grant.ask.lease));
                }
                Step::Preempt(need) => {
                    let ask = Ask { urgent: true, ..ask(job, Kind::Batch, need) };
                    if cell.preempt(&ask).is_some() {
                        leases.push(ask.lease);
                        cell.settle();
                    }
                }
                Step::Report(at, good) => {
                    let cause = if good { EndCause::Succeeded } else { EndCause::Failed };
                    let class = format!("team.{}", job % 5).into();
                    let worker = fleet.workers[at % fleet.workers.len()];
                    cell.report(worker, &class, cause, 10, now);
                }
                Step::Expire(seconds) => {
                    cell.expire(now + Duration::from_secs(seconds));
                }
                Step::Forget(at) if at % 4 == 0 => {
                    cell.forget(fleet.workers[at % fleet.workers.len()]);
                }
                Step::Release(_) | Step::Forget(_) => {}
            }
            check(cell);
        }
    }
}
