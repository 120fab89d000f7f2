//! Workers whose capacity shrinks and grows while they run tasks.

use coriandertack_jobs::{
    report::EndCause,
    sched::{StartOutcome, WorkerCommand},
    spec::StepSpec,
};

use crate::support::{TestCluster, advised_route, job, spec, step, task};

/// Guards against a start that was bound to a larger worker and is sent after the worker has shrunk.
#[test]
fn start_is_not_sent_to_a_worker_that_has_shrunk() {
    let mut cluster = TestCluster::new(&[4]);
    cluster.admit(1, job(vec![step(4, 1)]));
    cluster.sched.place(cluster.now);
    let batch = cluster.sched.take_batch();
    cluster.record(&batch);
    let key = cluster.keys[0];
    cluster.resize_worker(key, 2);
    let now = cluster.now;
    let mut sent = 0;
    for command in batch.commands {
        let WorkerCommand::Start(start) = command else { continue };
        let may_start = cluster.sched.prepare_start(key, start.task, start.attempt, now);
        if may_start {
            sent += 1;
        } else {
            let outcome = StartOutcome::NotSent;
            cluster.sched.record_start_outcome(key, start.task, start.attempt, outcome, now);
        }
    }
    assert_eq!(sent, 2);
}

/// Guards against a worker that gets tasks although its runs exceed what is left of it, or none once
/// it has grown again.
#[test]
fn worker_that_has_shrunk_gets_no_tasks_until_its_runs_fit() {
    let mut cluster = TestCluster::new(&[4]);
    cluster.admit(1, job(vec![step(4, 1)]));
    cluster.run_pass();
    let key = cluster.keys[0];
    cluster.resize_worker(key, 2);
    cluster.admit(2, job(vec![step(4, 1)]));
    for (ended, expected) in [(0, 3), (1, 2), (2, 2), (3, 2)] {
        cluster.end_runs(task(1, 0, ended), EndCause::Done);
        cluster.run_pass();
        assert_eq!(cluster.running(), expected, "after the end of task {ended}");
    }
    cluster.resize_worker(key, 4);
    cluster.run_pass();
    assert_eq!(cluster.running(), 4);
}

/// Guards against advice calls for room that a worker no longer has: its runs are predicted to end,
/// but what they leave is beyond its capacity.
#[test]
fn gang_requests_no_tickets_for_room_that_has_gone() {
    let mut cluster = TestCluster::new(&[8]);
    cluster.sched.set_advice_vms(&["split-1".into()]);
    let gang = StepSpec { gang: true, ..step(4, 1) };
    cluster.admit(1, spec(advised_route(), vec![gang]));
    let mut calls = cluster.run_pass();
    for id in 10..18 {
        cluster.admit(id, job(vec![step(1, 1)]));
    }
    let mut count = 0;
    for pass in 0..300 {
        for call in calls {
            let (_, name) = call.workers[0].clone();
            let tickets = [(name, "ticket".into())];
            cluster.sched.record_advice(&call, Some(&tickets), cluster.now);
        }
        if pass == 0 {
            cluster.now = cluster.now.plus_ms(3_000);
        }
        calls = cluster.run_pass();
        if pass == 0 {
            cluster.resize_worker(cluster.keys[0], 2);
        }
        count += calls.len();
    }
    assert!(count <= 1, "{count} calls were made");
}
