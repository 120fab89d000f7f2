//! Ends of runs, and what follows for tasks and jobs.

use coriandertack_jobs::{ids::JobId, progress::JobPhase, report::EndCause};

use crate::support::{World, advised_route, job, spec, step, task};

/// Guards against a job that is shown as completed before all of its tasks are done.
#[test]
fn a_job_is_completed_with_its_last_task() {
    let mut world = World::new(&[4]);
    world.admit(1, job(vec![step(2, 1)]));
    world.turn();
    world.end(task(1, 0, 0), EndCause::Done);
    world.turn();
    assert_eq!(world.phase(1), Some(JobPhase::Running));
    world.end(task(1, 0, 1), EndCause::Done);
    world.turn();
    assert_eq!(world.phase(1), Some(JobPhase::Completed));
}

/// Guards against a start before the steps that it depends on are done.
#[test]
fn a_step_waits_for_the_steps_before_it() {
    let mut world = World::new(&[8]);
    let mut second = step(1, 1);
    second.after = vec![0];
    world.admit(1, job(vec![step(2, 1), second]));
    world.turn();
    world.end(task(1, 0, 0), EndCause::Done);
    world.turn();
    assert!(world.places(task(1, 1, 0)).is_empty());
    world.end(task(1, 0, 1), EndCause::Done);
    world.turn();
    assert_eq!(world.places(task(1, 1, 0)).len(), 1);
}

/// Guards against a start after as many runs have failed as the route allows.
#[test]
fn a_job_fails_with_its_last_attempt() {
    let mut world = World::new(&[4, 4]);
    world.admit(1, job(vec![step(1, 1)]));
    world.turn();
    world.end(task(1, 0, 0), EndCause::Failed);
    world.turn();
    assert_eq!(world.places(task(1, 0, 0)).len(), 1);
    world.end(task(1, 0, 0), EndCause::Failed);
    world.turn();
    world.turn();
    assert_eq!(world.phase(1), Some(JobPhase::Failed));
    assert_eq!(world.running(), 0);
}

/// Guards against a failure that counts twice because its end is listed until it is acknowledged.
#[test]
fn an_end_that_is_listed_again_counts_once() {
    let mut world = World::new(&[4]);
    world.admit(1, job(vec![step(1, 1)]));
    world.turn();
    world.end(task(1, 0, 0), EndCause::Failed);
    world.list_all();
    world.list_all();
    world.turn();
    let progress = &world.records[&JobId(1)];
    assert_eq!(progress.tasks[0].failures, 1);
    assert_eq!(world.places(task(1, 0, 0)).len(), 1);
}

/// Guards against failures that a stop, a lapsed lease or a broken gang would add to the attempts.
#[test]
fn only_failures_count_as_attempts() {
    let mut world = World::new(&[4]);
    world.admit(1, job(vec![step(1, 1)]));
    for cause in [EndCause::Stopped, EndCause::Lapsed, EndCause::Stopped, EndCause::Lapsed] {
        world.turn();
        world.end(task(1, 0, 0), cause);
    }
    world.turn();
    assert_eq!(world.phase(1), Some(JobPhase::Running));
    assert_eq!(world.starts.last().map(|start| start.attempt), Some(5));
}

/// Guards against a resumed run that begins anew.
#[test]
fn a_checkpoint_goes_with_the_next_start() {
    let mut world = World::new(&[4]);
    world.admit(1, job(vec![step(1, 1)]));
    world.turn();
    let key = world.places(task(1, 0, 0))[0];
    let worker = world.workers.get_mut(&key).unwrap();
    worker.running.get_mut(&(task(1, 0, 0), 1)).unwrap().0 = "half".into();
    world.end(task(1, 0, 0), EndCause::Stopped);
    world.turn();
    assert_eq!(&*world.starts.last().unwrap().checkpoint, "half");
}

/// Guards against an end that is acknowledged before it is recorded, and so would be lost with the leader.
#[test]
fn ends_are_acknowledged_after_their_record() {
    let mut world = World::new(&[4]);
    world.admit(1, job(vec![step(1, 1)]));
    world.turn();
    let key = world.places(task(1, 0, 0))[0];
    world.end(task(1, 0, 0), EndCause::Done);
    assert_eq!(world.sched.worker(key).unwrap().recorded_end, 0);
    let batch = world.sched.take_batch();
    assert_eq!(world.sched.worker(key).unwrap().recorded_end, 0);
    world.record(&batch);
    assert_eq!(world.sched.worker(key).unwrap().recorded_end, 1);
}

/// Guards against a task of a cancelled job that runs on or starts later.
#[test]
fn a_cancelled_job_is_stopped_for_good() {
    let mut world = World::new(&[4]);
    world.admit(1, job(vec![step(6, 1)]));
    world.turn();
    assert_eq!(world.running(), 4);
    world.sched.cancel(JobId(1), world.now);
    world.turn();
    world.list_all();
    world.turn();
    assert_eq!(world.running(), 0);
    assert_eq!(world.phase(1), Some(JobPhase::Cancelled));
    assert_eq!(world.starts.len(), 4);
}

/// Guards against lasting tasks that stay away after they ended, however that was.
#[test]
fn a_lasting_task_starts_again_however_it_ended() {
    let mut world = World::new(&[4]);
    let mut lasting = step(1, 1);
    lasting.lasting = true;
    world.admit(1, job(vec![lasting]));
    for cause in [EndCause::Failed, EndCause::Failed, EndCause::Failed, EndCause::Done] {
        world.turn();
        assert_eq!(world.places(task(1, 0, 0)).len(), 1);
        world.end(task(1, 0, 0), cause);
    }
    world.turn();
    assert_eq!(world.places(task(1, 0, 0)).len(), 1);
    assert_eq!(world.phase(1), Some(JobPhase::Running));
}

/// Guards against attempts that are used up on one faulty worker, because the ticket for it is at hand and others are not.
#[test]
fn a_failed_task_waits_for_a_ticket_elsewhere() {
    let mut world = World::new(&[4, 4]);
    world.sched.set_advice_vms(&["split-1".into()]);
    world.admit(1, spec(advised_route(), vec![step(1, 1)]));
    let call = world.turn().remove(0);
    let (key, name) = call.workers[0].clone();
    world.sched.record_advice(&call, Some(&[(name, "ticket".into())]), world.now);
    world.turn();
    assert_eq!(world.places(task(1, 0, 0)), [key]);
    world.end(task(1, 0, 0), EndCause::Failed);
    world.turn();
    assert_eq!(world.running(), 0, "the task is not started on {key:?} again");
    world.now = world.now.plus_ms(5_100);
    let calls = world.turn();
    assert_eq!(calls[0].workers[0].0, key, "the only allowed worker is used after a while");
}
