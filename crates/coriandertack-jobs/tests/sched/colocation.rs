//! Tasks that share workers: labels, spread limits and response targets.

use coriandertack_jobs::spec::StepSpec;

use crate::support::{TestCluster, job, step, task};

fn service_step() -> StepSpec {
    let mut serving = step(1, 1);
    serving.lasting = true;
    serving.target_ms = 50;
    serving
}

fn filler_step(count: u32) -> StepSpec {
    let mut filling = step(count, 2);
    filling.fills = true;
    filling
}

/// Guards against tasks on spare processor time next to a task whose response target they would
/// violate.
#[test]
fn filler_tasks_avoid_tasks_with_response_target() {
    let mut cluster = TestCluster::new(&[4, 4]);
    cluster.admit(1, job(vec![service_step()]));
    cluster.run_pass();
    let holder = cluster.workers_running(task(1, 0, 0))[0];
    cluster.admit(2, job(vec![filler_step(6)]));
    cluster.run_pass();
    for index in 0..6 {
        assert_ne!(cluster.workers_running(task(2, 0, index)), [holder]);
    }
    cluster.admit(3, job(vec![service_step(), service_step()]));
    cluster.run_pass();
    assert_eq!(cluster.workers_running(task(3, 0, 0)), [holder]);
}

/// Guards against spare processor time that is deducted from the worker's capacity.
#[test]
fn filler_tasks_occupy_no_processor_capacity() {
    let mut cluster = TestCluster::new(&[4]);
    cluster.admit(1, job(vec![filler_step(3)]));
    cluster.run_pass();
    cluster.admit(2, job(vec![step(4, 1)]));
    cluster.run_pass();
    assert_eq!(cluster.running(), 7);
}

/// Guards against a start on a worker without the label that the step requires.
#[test]
fn required_label_restricts_placement() {
    let mut cluster = TestCluster::new(&[4]);
    let mut labelled = step(1, 1);
    labelled.label = Some("gpu".into());
    cluster.admit(1, job(vec![labelled.clone()]));
    cluster.run_pass();
    assert_eq!(cluster.running(), 0);
    labelled.label = Some("a".into());
    cluster.admit(2, job(vec![labelled]));
    cluster.run_pass();
    assert_eq!(cluster.running(), 1);
}

/// Guards against more tasks of a step on one worker than its spread limit.
#[test]
fn spread_limits_tasks_per_worker() {
    let mut cluster = TestCluster::new(&[8, 8]);
    let mut spread = step(5, 1);
    spread.spread = 2;
    cluster.admit(1, job(vec![spread]));
    cluster.run_pass();
    assert_eq!(cluster.running(), 4);
    cluster.run_pass();
    assert_eq!(cluster.running(), 4);
}

/// Guards against a long-running task that is stopped because it reports no further progress.
#[test]
fn long_running_task_is_not_treated_as_stalled() {
    let mut cluster = TestCluster::new(&[4]);
    cluster.admit(1, job(vec![service_step()]));
    cluster.run_pass();
    cluster.apply_run_lists();
    cluster.now = cluster.now.plus_ms(10_000);
    cluster.apply_run_lists();
    cluster.run_pass();
    assert!(cluster.stops.is_empty());
}
