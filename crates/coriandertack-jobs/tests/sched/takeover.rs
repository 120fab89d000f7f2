//! Takeover: a new leader starts from the records and the workers' lists.

use std::sync::Arc;

use coriandertack_jobs::{
    boot_time::{BootTime, WallTime},
    config::Config,
    ids::JobId,
    progress::JobPhase,
    replica::{JobView, Replica, ReplicaRecord},
    report::{EndCause, RunList, WorkerEntry},
    sched::{Scheduler, WorkerCommand, WorkerKey},
    spec::JobSpec,
};

use crate::support::{
    INCARNATION, NEXT_INCARNATION, TestCluster, apply_list, job, step, task, worker_entry,
};

/// Returns a successor that has read the records and the workers' entries.
fn successor(cluster: &TestCluster, spec: &JobSpec) -> (Scheduler, Vec<WorkerKey>) {
    let mut next = Scheduler::new(Arc::new(Config::default()));
    let mut keys = Vec::new();
    for number in 0..cluster.keys.len() {
        let name = Arc::from(format!("w{number}"));
        keys.push(next.upsert_worker(&name, Arc::new(worker_entry(4)), cluster.now));
    }
    let progress = cluster.records.get(&JobId(1));
    next.admit(JobId(1), Arc::new(spec.clone()), progress, false, cluster.now, WallTime(0));
    (next, keys)
}

fn command_count(next: &mut Scheduler, now: BootTime) -> usize {
    next.place(now);
    next.take_batch().commands.len()
}

/// Runs a scheduling pass without executing its commands. Returns the number of starts.
fn start_count(cluster: &mut TestCluster) -> usize {
    cluster.sched.place(cluster.now);
    let commands = cluster.sched.take_batch().commands;
    commands.iter().filter(|command| matches!(command, WorkerCommand::Start(_))).count()
}

/// Guards against a second run of a task that the previous leader started.
#[test]
fn successor_adopts_active_runs() {
    let mut cluster = TestCluster::new(&[4, 4]);
    let spec = job(vec![step(2, 1)]);
    cluster.admit(1, spec.clone());
    cluster.run_pass();
    let (mut next, keys) = successor(&cluster, &spec);
    assert_eq!(command_count(&mut next, cluster.now), 0, "no worker has returned a list yet");
    for (key, old) in keys.iter().zip(&cluster.keys) {
        let run_list = cluster.workers[old].run_list(INCARNATION);
        apply_list(&mut next, *key, cluster.now.plus_ms(1), &run_list, cluster.now.plus_ms(2));
    }
    assert_eq!(command_count(&mut next, cluster.now.plus_ms(3)), 0);
}

/// Guards against a task that is never started because the leader failed between recording and
/// sending its start.
#[test]
fn successor_restarts_unlisted_runs() {
    let mut cluster = TestCluster::new(&[4, 4]);
    let spec = job(vec![step(1, 1)]);
    cluster.admit(1, spec.clone());
    cluster.sched.place(cluster.now);
    let batch = cluster.sched.take_batch();
    cluster.record(&batch);
    let (mut next, keys) = successor(&cluster, &spec);
    let empty = RunList { clock_ms: 1, born: INCARNATION, ..RunList::default() };
    for key in keys {
        apply_list(&mut next, key, cluster.now.plus_ms(1), &empty, cluster.now.plus_ms(2));
    }
    assert_eq!(command_count(&mut next, cluster.now.plus_ms(3)), 1);
}

/// Guards against a start elsewhere while the previous leader may still renew the lease on an
/// unreachable worker. Tasks on a worker with a known entry were restarted at its first missing
/// answer.
#[test]
fn unreachable_worker_keeps_leases_of_the_previous_leader() {
    let mut cluster = TestCluster::new(&[4, 4]);
    let spec = job(vec![step(1, 1)]);
    cluster.admit(1, spec.clone());
    cluster.run_pass();
    let (next, keys) = successor(&cluster, &spec);
    let holder = cluster.workers_running(task(1, 0, 0))[0];
    let position = cluster.keys.iter().position(|key| *key == holder).unwrap();
    let worker = next.worker(keys[position]).unwrap();
    assert!(worker.lease_end() >= cluster.now.plus_ms(8_000 + 5_000));
}

/// Guards against a task that runs again although its end was recorded.
#[test]
fn recorded_done_task_is_not_restarted() {
    let mut cluster = TestCluster::new(&[4]);
    let spec = job(vec![step(2, 1)]);
    cluster.admit(1, spec.clone());
    cluster.run_pass();
    cluster.end_runs(task(1, 0, 0), EndCause::Done);
    cluster.run_pass();
    let (mut next, keys) = successor(&cluster, &spec);
    let empty = RunList { clock_ms: 1, born: INCARNATION, ..RunList::default() };
    apply_list(&mut next, keys[0], cluster.now.plus_ms(1), &empty, cluster.now.plus_ms(2));
    next.place(cluster.now.plus_ms(3));
    let batch = next.take_batch();
    assert_eq!(batch.commands.len(), 1);
}

/// Guards against a submission that is read after its progress: the runs were treated as unknown,
/// and the tasks restarted with the same attempts.
#[test]
fn submission_read_after_its_progress_keeps_it() {
    let mut cluster = TestCluster::new(&[4, 4]);
    let spec = job(vec![step(1, 1)]);
    cluster.admit(1, spec.clone());
    cluster.run_pass();
    let progress = cluster.records.get(&JobId(1)).cloned().map(Arc::new);
    let mut view = JobView { progress, ..JobView::default() };
    let mut next = Scheduler::new(Arc::new(Config::default()));
    for number in 0..cluster.keys.len() {
        let name = Arc::from(format!("w{number}"));
        next.upsert_worker(&name, Arc::new(worker_entry(4)), cluster.now);
    }
    next.admit_from_replica(JobId(1), &view, cluster.now, WallTime(0));
    assert_eq!(next.open_job_count(), 0);
    view.spec = Some(Arc::new(spec));
    next.admit_from_replica(JobId(1), &view, cluster.now, WallTime(0));
    assert_eq!(next.open_job_count(), 1);
    assert_eq!(command_count(&mut next, cluster.now), 0, "the active run should be adopted");
}

/// Guards against tasks that run again because the record that they have run cannot be decoded.
#[test]
fn unreadable_progress_keeps_a_job_closed() {
    let mut cluster = TestCluster::new(&[4]);
    let spec = Arc::new(job(vec![step(1, 1)]));
    let mut replica = Replica::default();
    for record in [
        ReplicaRecord::Submitted(JobId(1), spec.clone()),
        ReplicaRecord::ProgressUnreadable(JobId(1)),
        ReplicaRecord::Submitted(JobId(1), spec.clone()),
    ] {
        replica.apply(record, cluster.now);
    }
    assert_eq!(replica.phase(JobId(1)), Some(JobPhase::Running));
    let view = &replica.jobs[&JobId(1)];
    cluster.sched.admit_from_replica(JobId(1), view, cluster.now, WallTime(0));
    assert_eq!(start_count(&mut cluster), 0);
    let known = ReplicaRecord::Progressed(JobId(1), Arc::default());
    replica.apply(known, cluster.now);
    let view = &replica.jobs[&JobId(1)];
    cluster.sched.admit_from_replica(JobId(1), view, cluster.now, WallTime(0));
    assert_eq!(start_count(&mut cluster), 1);
}

/// Guards against a gang of which a successor adopts only some members.
#[test]
fn successor_stops_members_of_a_broken_gang() {
    let mut cluster = TestCluster::new(&[4, 4]);
    let mut gang = step(6, 1);
    gang.gang = true;
    let spec = job(vec![gang]);
    cluster.admit(1, spec.clone());
    cluster.run_pass();
    let (mut next, keys) = successor(&cluster, &spec);
    let run_list = cluster.workers[&cluster.keys[0]].run_list(INCARNATION);
    let empty = RunList { clock_ms: 1, born: INCARNATION, ..RunList::default() };
    apply_list(&mut next, keys[0], cluster.now.plus_ms(1), &run_list, cluster.now.plus_ms(2));
    apply_list(&mut next, keys[1], cluster.now.plus_ms(1), &empty, cluster.now.plus_ms(2));
    let stopped: Vec<_> = next
        .take_batch()
        .commands
        .into_iter()
        .filter_map(|command| match command {
            WorkerCommand::Stop { task, .. } => Some(task),
            WorkerCommand::Start(_) => None,
        })
        .collect();
    assert!(run_list.running.iter().all(|run| stopped.contains(&run.task)));
}

/// Guards against a worker that is filled while runs of unknown need are still being stopped there.
/// The first such run occupied all free capacity and the others none, so the end of the first made
/// the worker look empty.
#[test]
fn worker_with_unknown_runs_gets_no_tasks_until_all_have_gone() {
    let mut cluster = TestCluster::new(&[4]);
    let key = cluster.keys[0];
    let worker = cluster.workers.get_mut(&key).unwrap();
    for index in 0..3 {
        worker.running.insert((task(9, 0, index), 1), (Arc::default(), 50));
    }
    cluster.apply_run_lists();
    cluster.admit(1, job(vec![step(1, 1)]));
    // The stops take time, so the worker lists one end after the other.
    for index in 0..3 {
        assert_eq!(start_count(&mut cluster), 0, "{index} of 3 unknown runs have ended");
        cluster.workers.get_mut(&key).unwrap().end(task(9, 0, index), 1, EndCause::Stopped);
        cluster.apply_run_lists();
    }
    assert_eq!(start_count(&mut cluster), 1);
}

/// Guards against a second run of all tasks of a worker that had started again after a new leader
/// read its entry, for an election that it lost (review/3): the older entry counted as evidence that
/// the runs had ended.
#[test]
fn successor_with_older_entries_adopts_the_runs() {
    let mut cluster = TestCluster::new(&[4]);
    let spec = job(vec![step(2, 1)]);
    cluster.admit(1, spec.clone());
    cluster.run_pass();
    let mut next = Scheduler::new(Arc::new(Config::default()));
    let name = cluster.sched.worker(cluster.keys[0]).unwrap().name.clone();
    let former = Arc::new(WorkerEntry { born: Some(6), ..worker_entry(4) });
    let key = next.upsert_worker(&name, former.clone(), cluster.now);
    let (spec, progress) = (Arc::new(spec), &cluster.records[&JobId(1)]);
    next.admit(JobId(1), spec, Some(progress), false, cluster.now, WallTime(0));
    let run_list = cluster.workers[&cluster.keys[0]].run_list(INCARNATION);
    let now = cluster.now.plus_ms(2);
    assert!(apply_list(&mut next, key, cluster.now.plus_ms(1), &run_list, now).is_some());
    // The reader of entries may still be behind.
    for entry in [former, Arc::new(worker_entry(4))] {
        next.upsert_worker(&name, entry, now);
        assert_eq!(command_count(&mut next, now), 0);
    }
}

/// Guards against a second run of tasks whose worker started again at another address, after its entry
/// was read: another worker answers at the former address.
#[test]
fn answer_at_the_address_of_a_former_incarnation_proves_nothing() {
    let mut cluster = TestCluster::new(&[4]);
    let spec = job(vec![step(1, 1)]);
    cluster.admit(1, spec.clone());
    cluster.run_pass();
    let name = cluster.sched.worker(cluster.keys[0]).unwrap().name.clone();
    let (spec, progress, now) = (Arc::new(spec), &cluster.records[&JobId(1)], cluster.now);
    for (born, kept) in [(Some(6), true), (None, true), (INCARNATION, false)] {
        let mut next = Scheduler::new(Arc::new(Config::default()));
        let entry = WorkerEntry { born, ..worker_entry(4) };
        let key = next.upsert_worker(&name, Arc::new(entry), now);
        next.admit(JobId(1), spec.clone(), Some(progress), false, now, WallTime(0));
        assert_eq!(next.record_replacement(key, now, now), kept, "with an entry of {born:?}");
    }
}

/// Guards against runs that are adopted, or not counted as lost, although their worker has started
/// again since they were recorded.
#[test]
fn successor_counts_runs_of_a_former_incarnation_as_lost() {
    let mut cluster = TestCluster::new(&[4]);
    let spec = job(vec![step(2, 1)]);
    cluster.admit(1, spec.clone());
    cluster.run_pass();
    let (mut next, keys) = successor(&cluster, &spec);
    let empty = RunList { clock_ms: 1, born: NEXT_INCARNATION, ..RunList::default() };
    let now = cluster.now.plus_ms(2);
    assert!(apply_list(&mut next, keys[0], cluster.now.plus_ms(1), &empty, now).is_some());
    let batch = next.take_batch();
    let progress = &batch.records[0].1;
    assert!(progress.tasks.iter().all(|task| task.worker.is_none() && task.crashes == 1));
}

/// Guards against an end that is acknowledged by a leader that cannot read the records of its job, and so by no record,
/// and against one that such a leader forgets once it can.
#[test]
fn ends_of_a_closed_job_are_kept() {
    let spec = job(vec![step(1, 1)]);
    let mut former = TestCluster::new(&[4]);
    former.admit(1, spec.clone());
    former.run_pass();
    let progress = Some(Arc::new(former.records[&JobId(1)].clone()));

    let mut cluster = TestCluster::new(&[4]);
    let key = cluster.keys[0];
    let closed = JobView { unreadable: true, ..JobView::default() };
    cluster.sched.admit_from_replica(JobId(1), &closed, cluster.now, WallTime(0));
    let worker = cluster.workers.get_mut(&key).unwrap();
    worker.running.insert((task(1, 0, 0), 1), (Arc::default(), 0));
    worker.end(task(1, 0, 0), 1, EndCause::Done);
    worker.end(task(2, 0, 0), 1, EndCause::Done);
    for _ in 0..2 {
        cluster.apply_run_lists();
        cluster.run_pass();
        let call = cluster.sched.next_list(key, true, true, cluster.now);
        assert_eq!(call.map_or(0, |call| call.acknowledged), 0);
    }
    let readable = JobView { spec: Some(Arc::new(spec)), progress, ..JobView::default() };
    cluster.sched.admit_from_replica(JobId(1), &readable, cluster.now, WallTime(0));
    cluster.apply_run_lists();
    cluster.run_pass();
    assert_eq!(cluster.starts.len(), 0);
    assert_eq!(cluster.phase(1), Some(JobPhase::Completed));
    let call = cluster.sched.next_list(key, true, true, cluster.now).unwrap();
    assert_eq!(call.acknowledged, 2);
}
