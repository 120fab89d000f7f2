//! Guards against tasks that use more than their share of a busy worker.

use coriandertack_core::{
    message::WorkerCommand,
    pool::{GrantPhase, TaskUsage},
    record::Kind,
    resources::Resources,
};

use crate::support::{Fleet, PLAIN, lease, spec};

fn fleet_with_two_tasks() -> Fleet {
    let mut fleet = Fleet::uniform(1, PLAIN);
    for (job, cores) in [(1, 3_000), (2, 1_000)] {
        let task = spec(job, Kind::Batch, Resources::new(cores, 1_024, 0));
        fleet.pool.place(&task, GrantPhase::Running).expect("enough capacity");
    }
    fleet
}

fn usages(first: u32, second: u32) -> [TaskUsage; 2] {
    [
        TaskUsage { lease: lease(1, 0), millicores: first },
        TaskUsage { lease: lease(2, 0), millicores: second },
    ]
}

#[test]
fn idle_processors_may_be_used_beyond_the_grant() {
    let mut fleet = fleet_with_two_tasks();
    let worker = fleet.workers[0];
    assert!(fleet.pool.throttle_commands(worker, &usages(3_000, 9_000)).is_empty());
}

#[test]
fn busy_worker_limits_tasks_to_their_share() {
    let mut fleet = fleet_with_two_tasks();
    let worker = fleet.workers[0];
    let limit = WorkerCommand::Throttle { lease: lease(2, 0), millicores: 4_000 };
    assert_eq!(fleet.pool.throttle_commands(worker, &usages(6_000, 10_000)), [limit]);
    // The limit is sent once and stays while the use is between the two thresholds.
    assert!(fleet.pool.throttle_commands(worker, &usages(10_000, 4_000)).is_empty());
    let lifted = WorkerCommand::Throttle { lease: lease(2, 0), millicores: 16_000 };
    assert_eq!(fleet.pool.throttle_commands(worker, &usages(3_000, 4_000)), [lifted]);
}

#[test]
fn full_worker_limits_tasks_to_their_grants() {
    let mut fleet = fleet_with_two_tasks();
    let rest = spec(3, Kind::Service, Resources::new(12_000, 1_024, 0));
    fleet.pool.place(&rest, GrantPhase::Running).expect("enough capacity");
    let worker = fleet.workers[0];
    let commands = fleet.pool.throttle_commands(worker, &usages(3_000, 13_000));
    assert_eq!(commands, [WorkerCommand::Throttle { lease: lease(2, 0), millicores: 1_000 }]);
}

#[test]
fn tasks_of_other_workers_are_ignored() {
    let mut fleet = fleet_with_two_tasks();
    let other = fleet.add_worker("z0", "r0", Resources::new(1_000, 1_024, 0));
    assert!(fleet.pool.throttle_commands(other, &usages(16_000, 16_000)).is_empty());
}
