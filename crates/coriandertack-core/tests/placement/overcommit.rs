//! Guards against grants beyond a worker's capacity, and against refusals although a worker has room.

use std::time::Duration;

use {
    coriandertack_core::{
        keys::LeaseId,
        message::{AttemptSpec, CapacitySummary, EndCause},
        pool::{GrantPhase, PlacementError, Weights, WorkerPool},
        record::Kind,
        resources::Resources,
    },
    proptest::prelude::*,
    tokio::time::Instant,
};

use crate::support::{ACCELERATED, Fleet, PLAIN, gang, spec};

#[derive(Clone, Debug)]
enum Step {
    Place(Kind, Resources, bool),
    PlaceAll(u32, Resources),
    Release(usize),
    Preempt(Resources),
    RecordEnd(usize, bool),
    ExpireHolds(u64),
    RemoveWorker(usize),
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
        2 => (any::<usize>(), any::<bool>()).prop_map(|(at, good)| Step::RecordEnd(at, good)),
        1 => (0_u64..100).prop_map(Step::ExpireHolds),
        1 => any::<usize>().prop_map(Step::RemoveWorker),
    ]
}

/// Checks the accounting of every worker against its grants and claims, and the summary against the workers.
fn check_accounting(pool: &WorkerPool) {
    let mut summary = CapacitySummary::default();
    for (worker, owned_worker) in pool.workers() {
        let granted: Resources = pool.grants_on(worker).map(|grant| grant.spec.need).sum();
        assert_eq!(granted, owned_worker.granted);
        let claims = pool.claims().filter(|claim| claim.worker == worker);
        assert_eq!(claims.map(|claim| claim.reserved).sum::<Resources>(), owned_worker.reserved);
        assert!((granted + owned_worker.reserved).fits(owned_worker.capacity), "{owned_worker:?}");
        assert_eq!(owned_worker.free(), owned_worker.capacity - granted - owned_worker.reserved);
        if !pool.is_quarantined(worker) {
            let accelerated = owned_worker.capacity.accelerators > 0;
            summary.add_worker(owned_worker.free(), accelerated, granted != Resources::ZERO);
        }
    }
    assert_eq!(
        pool.grants().count(),
        pool.workers().map(|(key, _)| pool.grants_on(key).count()).sum()
    );
    let found = pool.summary();
    assert_eq!((found.free, found.workers), (summary.free, summary.workers));
    assert_eq!((found.plain, found.accelerated), (summary.plain, summary.accelerated));
}

fn has_room(pool: &WorkerPool, need: Resources) -> bool {
    let mut open = pool.workers().filter(|(worker, _)| !pool.is_quarantined(*worker));
    open.any(|(_, owned_worker)| need.fits(owned_worker.free()))
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    #[test]
    fn random_operations_never_overcommit(steps in prop::collection::vec(step(), 1..120)) {
        let mut fleet = Fleet::new(Weights::VUKIC);
        for at in 0..6 {
            let capacity = if at % 3 == 0 { ACCELERATED } else { PLAIN };
            fleet.add_worker(&format!("z{}", at % 2), &format!("r{}", at / 2), capacity);
        }
        let now = Instant::now();
        let mut leases: Vec<LeaseId> = Vec::new();
        for (job, step) in (1..).zip(steps) {
            let pool = &mut fleet.pool;
            match step {
                Step::Place(kind, need, urgent) => {
                    let spec = AttemptSpec { urgent, ..spec(job, kind, need) };
                    let room = has_room(pool, need);
                    match pool.place(&spec, GrantPhase::Running) {
                        Ok(_) => leases.push(spec.lease),
                        Err(refusal) => prop_assert_eq!((refusal, room), (PlacementError::Full, false)),
                    }
                }
                Step::PlaceAll(tasks, need) => {
                    let specs = gang(job, tasks, need);
                    let before = pool.grants().count();
                    let held = GrantPhase::Held(now + Duration::from_secs(50));
                    match pool.place_all(&specs, held) {
                        Ok(workers) => {
                            prop_assert_eq!(workers.len(), specs.len());
                            leases.extend(specs.iter().map(|spec| spec.lease));
                        }
                        Err(_) => prop_assert_eq!(pool.grants().count(), before),
                    }
                }
                Step::Release(at) if !leases.is_empty() => {
                    let lease = leases.swap_remove(at % leases.len());
                    pool.release(lease);
                    leases.extend(pool.grant_claims().iter().map(|grant| grant.spec.lease));
                }
                Step::Preempt(need) => {
                    let spec = AttemptSpec { urgent: true, ..spec(job, Kind::Batch, need) };
                    if pool.preempt(&spec).is_some() {
                        leases.push(spec.lease);
                        pool.grant_claims();
                    }
                }
                Step::RecordEnd(at, good) => {
                    let cause = if good { EndCause::Succeeded } else { EndCause::Failed };
                    let class = format!("team.{}", job % 5).into();
                    let worker = fleet.workers[at % fleet.workers.len()];
                    pool.record_end(worker, &class, cause, 10, now);
                }
                Step::ExpireHolds(seconds) => {
                    pool.expire_holds(now + Duration::from_secs(seconds));
                }
                Step::RemoveWorker(at) if at % 4 == 0 => {
                    pool.remove_worker(fleet.workers[at % fleet.workers.len()]);
                }
                Step::Release(_) | Step::RemoveWorker(_) => {}
            }
            check_accounting(pool);
        }
    }
}
