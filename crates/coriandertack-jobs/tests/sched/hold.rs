//! Jobs whose progress cannot be recorded.

use std::collections::HashSet;

use coriandertack_jobs::{
    ids::JobId,
    report::EndCause,
    sched::{StartCommand, WorkerCommand},
};

use crate::support::{TestCluster, job, step, task};

/// Withdraws the starts of a batch, and returns their jobs.
fn withdraw(cluster: &mut TestCluster, commands: Vec<WorkerCommand>) -> Vec<JobId> {
    let start = |command| match command {
        WorkerCommand::Start(start) => Some(start),
        WorkerCommand::Stop { .. } => None,
    };
    let starts: Vec<StartCommand> = commands.into_iter().filter_map(start).collect();
    let now = cluster.now;
    starts.iter().for_each(|start| cluster.sched.withdraw_start(start, now));
    starts.iter().map(|start| start.task.job).collect()
}

/// Guards against a held job that keeps the room of others, and against one that is never started after the hold.
#[test]
fn held_job_leaves_its_room_to_others_until_it_is_released() {
    let mut cluster = TestCluster::new(&[4]);
    cluster.admit(1, job(vec![step(4, 1)]));
    cluster.sched.place(cluster.now);
    let batch = cluster.sched.take_batch();
    assert_eq!(withdraw(&mut cluster, batch.commands), [JobId(1); 4]);
    cluster.sched.hold_jobs(HashSet::from([JobId(1)]));

    cluster.admit(2, job(vec![step(4, 1)]));
    cluster.run_pass();
    assert_eq!(cluster.running(), 4, "the held job has kept its room");
    for index in 0..4 {
        cluster.end_runs(task(2, 0, index), EndCause::Done);
    }
    cluster.run_pass();
    assert_eq!(cluster.running(), 0, "a task of the held job was started");

    cluster.sched.hold_jobs(HashSet::new());
    cluster.run_pass();
    assert_eq!(cluster.running(), 4, "the released job was not started");
}
