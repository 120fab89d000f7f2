//! Recurring jobs.

use std::sync::Arc;

use coriandertack_jobs::{
    boot_time::WallTime,
    ids::{JobId, TaskId},
    progress::JobPhase,
    report::EndCause,
    spec::RepeatSchedule,
};

use crate::support::{TestCluster, job, step};

fn occurrence_task(occurrence: u32) -> TaskId {
    TaskId { job: JobId(1), occurrence, step: 0, index: 0 }
}

/// Guards against an occurrence that starts before it is due, and against occurrences that wait for
/// each other.
#[test]
fn occurrences_start_when_due_and_overlap() {
    let mut cluster = TestCluster::new(&[4]);
    let mut spec = job(vec![step(1, 1)]);
    spec.repeat = Some(RepeatSchedule { count: 3, first: WallTime(1_000), interval_ms: 500 });
    cluster.sched.admit(JobId(1), Arc::new(spec), None, false, cluster.now, WallTime(900));
    assert_eq!(
        cluster.sched.open_due_occurrences(cluster.now, WallTime(999)),
        Some(WallTime(1_000))
    );
    cluster.run_pass();
    assert_eq!(cluster.running(), 0);
    cluster.sched.open_due_occurrences(cluster.now, WallTime(1_500));
    cluster.run_pass();
    assert_eq!(cluster.running(), 2);
    cluster.sched.open_due_occurrences(cluster.now, WallTime(2_000));
    cluster.run_pass();
    assert_eq!(cluster.running(), 3);
}

/// Guards against an occurrence that finished out of order and is run again by a successor.
#[test]
fn occurrence_finished_out_of_order_stays_recorded() {
    let mut cluster = TestCluster::new(&[4]);
    let mut spec = job(vec![step(1, 1)]);
    spec.repeat = Some(RepeatSchedule { count: 2, first: WallTime(1_000), interval_ms: 10 });
    cluster.sched.admit(JobId(1), Arc::new(spec), None, false, cluster.now, WallTime(2_000));
    cluster.run_pass();
    cluster.end_runs(occurrence_task(1), EndCause::Done);
    cluster.run_pass();
    let progress = &cluster.records[&JobId(1)];
    assert_eq!((progress.finished, progress.phase), (0, JobPhase::Running));
    assert!(progress.tasks.iter().any(|task| task.occurrence == 1 && task.done));
    cluster.end_runs(occurrence_task(0), EndCause::Done);
    cluster.run_pass();
    assert_eq!(cluster.phase(1), Some(JobPhase::Completed));
}
