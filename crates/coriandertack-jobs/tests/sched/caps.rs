//! Caps of teams: no start brings a team above its cap, and nothing waits without end under it.

use std::sync::Arc;

use coriandertack_core::resources::Resources;
use coriandertack_jobs::{
    boot_time::WallTime,
    config::Config,
    ids::JobId,
    ledger::check_cap,
    report::{EndCause, WorkerEntry},
    sched::Scheduler,
    spec::{JobSpec, StepSpec},
    teams::Team,
};

use crate::support::{
    INCARNATION, TestCluster, advised_route, apply_list, config_with_teams, job, spec, step, task,
    team_job, worker_entry,
};

/// Returns a cluster with a team "capped" that may use this many cores, and a team "free" without a
/// cap.
fn cluster_with_cap(workers: &[u32], cores: u32) -> TestCluster {
    let mut cluster = TestCluster::new(workers);
    set_cap(&mut cluster, 1, cores);
    cluster
}

fn set_cap(cluster: &mut TestCluster, revision: u64, cores: u32) {
    let cap = Resources::new(cores * 1_000, 0, 0);
    let teams = [("capped", 1.0, cap), ("free", 1.0, Resources::ZERO)];
    cluster.sched.set_config(config_with_teams(revision, &teams));
}

/// Returns the cores that a team has running according to the ledger.
fn used_cores(sched: &Scheduler, team: &str) -> u64 {
    let states = sched.team_states();
    states.iter().find(|state| &*state.name == team).map_or(0, |state| state.usage.millicores)
        / 1_000
}

fn gang(count: u32, cores: u32) -> StepSpec {
    StepSpec { gang: true, ..step(count, cores) }
}

/// Guards against starts beyond the cap, by one step or by several steps of one pass.
#[test]
fn starts_stop_at_the_cap() {
    let mut cluster = cluster_with_cap(&[8, 8], 6);
    cluster.admit(1, team_job("capped", vec![step(4, 1)]));
    cluster.admit(2, team_job("capped", vec![step(4, 1)]));
    cluster.admit(3, team_job("free", vec![step(4, 1)]));
    cluster.run_pass();
    assert_eq!(used_cores(&cluster.sched, "capped"), 6);
    assert_eq!(used_cores(&cluster.sched, "free"), 4);
    assert_eq!(cluster.running(), 10);
}

/// Guards against a step that is not tried again when an end makes room under the cap.
#[test]
fn an_end_makes_room() {
    let mut cluster = cluster_with_cap(&[8], 2);
    cluster.admit(1, team_job("capped", vec![step(3, 1)]));
    cluster.run_pass();
    assert_eq!(cluster.running(), 2);
    cluster.end_runs(task(1, 0, 0), EndCause::Done);
    cluster.run_pass();
    assert_eq!(cluster.running(), 2);
    assert_eq!(cluster.starts.len(), 3);
}

/// Guards against tasks that use only spare processor time and are left out of the usage.
#[test]
fn filling_tasks_count_with_their_whole_need() {
    let mut cluster = cluster_with_cap(&[8], 2);
    cluster.admit(1, team_job("capped", vec![StepSpec { fills: true, ..step(5, 1) }]));
    cluster.run_pass();
    assert_eq!(cluster.running(), 2);
}

/// Guards against a gang of which a part starts because only a part fits under the cap.
#[test]
fn gang_starts_whole_or_not_at_all_under_the_cap() {
    let mut cluster = cluster_with_cap(&[8], 4);
    cluster.admit(1, team_job("capped", vec![step(1, 1)]));
    cluster.run_pass();
    cluster.admit(2, team_job("capped", vec![gang(4, 1)]));
    cluster.run_pass();
    assert_eq!(cluster.running(), 1);
    cluster.end_runs(task(1, 0, 0), EndCause::Done);
    cluster.run_pass();
    assert_eq!(cluster.running(), 4);
}

/// Guards against advice calls and reservations for a gang that the cap keeps from starting: they
/// would take the VMs' time and workers from others.
#[test]
fn gang_above_the_cap_makes_no_calls_and_reserves_nothing() {
    let mut cluster = cluster_with_cap(&[4, 4], 4);
    cluster.sched.set_advice_vms(&["vm-0".into()]);
    cluster.admit(1, team_job("capped", vec![step(1, 1)]));
    cluster.run_pass();
    let advised =
        JobSpec { team: Some("capped".into()), ..spec(advised_route(), vec![gang(4, 1)]) };
    cluster.admit(2, advised);
    assert!(cluster.run_pass().is_empty());
    cluster.now = cluster.now.plus_ms(500);
    assert!(cluster.run_pass().is_empty());
    // Had the gang reserved a worker, the seven free cores could not all be used.
    cluster.admit(3, team_job("free", vec![step(7, 1)]));
    cluster.run_pass();
    assert_eq!(cluster.running(), 8);
    cluster.end_runs(task(1, 0, 0), EndCause::Done);
    assert_eq!(cluster.run_pass().len(), 1);
}

/// Guards against a call for advice on more tasks than may start.
#[test]
fn calls_ask_for_no_more_than_the_room() {
    let named = |team: &str| {
        let mut cluster = cluster_with_cap(&[1; 30], 1);
        cluster.sched.set_advice_vms(&["vm-0".into(), "vm-1".into()]);
        let spec = spec(advised_route(), vec![step(20, 1)]);
        cluster.admit(1, JobSpec { team: Some(team.into()), ..spec });
        cluster.run_pass().iter().map(|call| call.workers.len()).sum::<usize>()
    };
    assert_eq!((named("free"), named("capped")), (30, 10));
}

/// Guards against a step that loses the room for which its advice call is made to a step of the
/// same team behind it, in the pass that makes the call and in later ones.
#[test]
fn call_in_progress_holds_the_room() {
    let mut cluster = cluster_with_cap(&[8], 2);
    cluster.sched.set_advice_vms(&["vm-0".into()]);
    let advised =
        JobSpec { team: Some("capped".into()), ..spec(advised_route(), vec![gang(2, 1)]) };
    cluster.admit(1, advised);
    cluster.now = cluster.now.plus_ms(200);
    cluster.admit(2, team_job("capped", vec![step(2, 1)]));
    assert_eq!(cluster.run_pass().len(), 1);
    assert_eq!(cluster.running(), 0);
    cluster.run_pass();
    assert_eq!(cluster.running(), 0);
}

/// Guards against passes that only request advice and count the same room for several steps.
#[test]
fn steps_share_the_room_in_a_pass_without_starts() {
    let mut cluster = cluster_with_cap(&[8], 2);
    cluster.sched.set_advice_vms(&["vm-0".into(), "vm-1".into()]);
    cluster.admit(1, team_job("capped", vec![step(2, 1)]));
    cluster.now = cluster.now.plus_ms(1);
    let advised =
        JobSpec { team: Some("capped".into()), ..spec(advised_route(), vec![step(1, 1)]) };
    cluster.admit(2, advised);
    cluster.sched.request_advice(cluster.now);
    assert!(cluster.sched.take_calls().is_empty());
}

/// Guards against a cap that stops work when it shrinks, and against starts until usage is below
/// it.
#[test]
fn shrinking_cap_stops_nothing_and_starts_nothing() {
    let mut cluster = cluster_with_cap(&[8], 6);
    cluster.admit(1, team_job("capped", vec![step(8, 1)]));
    cluster.run_pass();
    assert_eq!(cluster.running(), 6);
    set_cap(&mut cluster, 2, 3);
    cluster.run_pass();
    assert_eq!((cluster.running(), cluster.stops.len()), (6, 0));
    for index in 0..3 {
        cluster.end_runs(task(1, 0, index), EndCause::Done);
        cluster.run_pass();
        assert_eq!(cluster.running(), 5 - index as usize);
    }
    cluster.end_runs(task(1, 0, 3), EndCause::Done);
    cluster.run_pass();
    assert_eq!(cluster.running(), 3);
    set_cap(&mut cluster, 3, 8);
    cluster.run_pass();
    assert_eq!(cluster.running(), 4);
}

/// Guards against a gang that never starts because smaller tasks of its team take all room under
/// the cap as it becomes free.
#[test]
fn small_tasks_leave_the_room_to_a_gang_that_waits() {
    let mut cluster = cluster_with_cap(&[8], 4);
    for id in 10..14 {
        cluster.admit(id, team_job("capped", vec![step(1, 1)]));
    }
    cluster.run_pass();
    cluster.admit(1, team_job("capped", vec![gang(4, 1)]));
    cluster.run_pass();
    cluster.now = cluster.now.plus_ms(500);
    for id in 20..28 {
        cluster.admit(id, team_job("capped", vec![step(1, 1)]));
    }
    for id in 10..14 {
        cluster.end_runs(task(id, 0, 0), EndCause::Done);
        cluster.run_pass();
    }
    assert_eq!(cluster.workers_running(task(1, 0, 0)).len(), 1);
}

/// Guards against work that waits behind a step that waits for the cap of a resource which the work
/// does not need: with a backlog of tasks for accelerators, nothing else of the team would start.
#[test]
fn steps_leave_only_the_resources_free_that_they_need() {
    let mut cluster = TestCluster::new(&[8]);
    let cap = Resources::new(4_000, 0, 1);
    cluster.sched.set_config(config_with_teams(1, &[("capped", 1.0, cap)]));
    let capacity = Resources::new(8_000, 16_384, 4);
    let entry = WorkerEntry { capacity, ..worker_entry(8) };
    cluster.sched.upsert_worker(&"w0".into(), Arc::new(entry), cluster.now);
    let need = Resources::new(1_000, 64, 1);
    cluster.admit(1, team_job("capped", vec![StepSpec { need, ..step(3, 1) }]));
    cluster.run_pass();
    assert_eq!(cluster.running(), 1);
    cluster.now = cluster.now.plus_ms(500);
    cluster.admit(2, team_job("capped", vec![step(4, 1)]));
    cluster.run_pass();
    // The next task for an accelerator waits, and one of the four cores is left free for it.
    assert_eq!(cluster.running(), 3);
}

/// Guards against room that stays unused for a gang that no workers could run: nothing else of the
/// team would start until all its runs have ended, and again after that.
#[test]
fn no_room_is_held_for_a_gang_without_workers() {
    let mut cluster = cluster_with_cap(&[8], 4);
    for id in 10..14 {
        cluster.admit(id, team_job("capped", vec![step(1, 1)]));
    }
    cluster.run_pass();
    let label = Some("missing".into());
    cluster.admit(1, team_job("capped", vec![StepSpec { label, ..gang(4, 1) }]));
    cluster.run_pass();
    cluster.now = cluster.now.plus_ms(500);
    for id in 20..24 {
        cluster.admit(id, team_job("capped", vec![step(1, 1)]));
    }
    for id in 10..14 {
        cluster.end_runs(task(id, 0, 0), EndCause::Done);
        cluster.run_pass();
        assert_eq!(cluster.running(), 4);
    }
}

/// Guards against room that stays unused for a gang that does not fit beside the long-running tasks
/// of its team.
#[test]
fn no_room_is_held_beside_long_running_tasks() {
    let mut cluster = cluster_with_cap(&[8], 4);
    cluster.admit(1, team_job("capped", vec![StepSpec { lasting: true, ..step(1, 1) }]));
    cluster.run_pass();
    cluster.admit(2, team_job("capped", vec![gang(4, 1)]));
    cluster.run_pass();
    cluster.now = cluster.now.plus_ms(500);
    cluster.admit(3, team_job("capped", vec![step(3, 1)]));
    cluster.run_pass();
    assert_eq!(cluster.running(), 4);
}

/// Returns a successor that has read the records and the workers' entries, but no list.
fn successor(cluster: &TestCluster, specs: &[(u64, JobSpec)]) -> Scheduler {
    let cap = Resources::new(4_000, 0, 0);
    let mut next = Scheduler::new(config_with_teams(1, &[("capped", 1.0, cap)]));
    next.succeed_leader(cluster.now);
    for number in 0..cluster.keys.len() {
        let name = Arc::from(format!("w{number}"));
        next.upsert_worker(&name, Arc::new(worker_entry(8)), cluster.now);
    }
    for (id, spec) in specs {
        let (id, spec) = (JobId(*id), Arc::new(spec.clone()));
        next.admit(id, spec, cluster.records.get(&id), false, cluster.now, WallTime(0));
    }
    next
}

/// Guards against a successor that fills the cap a second time beside the runs of its predecessor.
#[test]
fn inherited_runs_count() {
    let mut cluster = cluster_with_cap(&[8], 4);
    let spec = team_job("capped", vec![step(6, 1)]);
    cluster.admit(1, spec.clone());
    cluster.run_pass();
    let mut next = successor(&cluster, &[(1, spec)]);
    assert_eq!(used_cores(&next, "capped"), 4);
    let key = next.worker_keys()[0];
    let list = cluster.workers[&cluster.keys[0]].run_list(INCARNATION);
    apply_list(&mut next, key, cluster.now.plus_ms(1), &list, cluster.now.plus_ms(2));
    next.place(cluster.now.plus_ms(3));
    assert_eq!(used_cores(&next, "capped"), 4);
}

/// Guards against a successor that fills the cap before it has seen the runs of a cancelled job,
/// which its record does not name and which may not have been stopped yet.
#[test]
fn runs_of_ended_jobs_count_before_starts_after_a_takeover() {
    let mut cluster = cluster_with_cap(&[8, 8], 4);
    let (cancelled, waiting) =
        (team_job("capped", vec![gang(4, 1)]), team_job("capped", vec![gang(4, 1)]));
    cluster.admit(1, cancelled.clone());
    cluster.run_pass();
    cluster.sched.cancel(JobId(1), cluster.now);
    let batch = cluster.sched.take_batch();
    cluster.record(&batch);
    let mut next = successor(&cluster, &[(1, cancelled), (2, waiting)]);
    let holder = cluster.workers.iter().find(|(_, worker)| !worker.running.is_empty()).unwrap().0;
    let holder = cluster.sched.worker(*holder).unwrap().name.clone();
    let mut keys = next.worker_keys();
    keys.sort_by_key(|key| next.worker(*key).unwrap().name == holder);
    let mut now = cluster.now;
    for key in keys {
        let old = cluster.keys.iter().find(|old| {
            cluster.sched.worker(**old).unwrap().name == next.worker(key).unwrap().name
        });
        let list = cluster.workers[old.unwrap()].run_list(INCARNATION);
        let sent = now.plus_ms(1);
        now = now.plus_ms(2);
        apply_list(&mut next, key, sent, &list, now);
        next.place(now);
        assert!(used_cores(&next, "capped") <= 4);
        assert_eq!(next.take_batch().records.len(), 0, "a task was bound beside the old runs");
    }
}

/// Guards against a successor that fills the cap beside the runs of an ended job whose submission was
/// dropped with its final record: the need of its runs is not known any more.
#[test]
fn runs_of_ended_jobs_without_a_submission_delay_starts_after_a_takeover() {
    let mut cluster = cluster_with_cap(&[8, 8], 4);
    cluster.admit(1, team_job("capped", vec![gang(4, 1)]));
    cluster.run_pass();
    // The job has ended and its submission was dropped, so the successor does not admit it.
    let mut next = successor(&cluster, &[(2, team_job("capped", vec![gang(4, 1)]))]);
    let mut now = cluster.now;
    let mut apply_lists = |cluster: &TestCluster, next: &mut Scheduler| {
        for key in next.worker_keys() {
            let name = next.worker(key).unwrap().name.clone();
            let is_same = |old: &&_| cluster.sched.worker(**old).unwrap().name == name;
            let old = cluster.keys.iter().find(is_same).unwrap();
            let list = cluster.workers[old].run_list(INCARNATION);
            let sent = now.plus_ms(1);
            now = now.plus_ms(2);
            apply_list(next, key, sent, &list, now);
        }
        next.place(now)
    };
    assert_eq!(apply_lists(&cluster, &mut next).bound, 0, "bound beside the old runs");
    cluster.end_runs(task(1, 0, 0), EndCause::Stopped);
    for index in 1..4 {
        cluster.end_runs(task(1, 0, index), EndCause::Stopped);
    }
    assert_eq!(apply_lists(&cluster, &mut next).bound, 4);
}

/// Guards against a worker that does not answer after a takeover and keeps the teams waiting for
/// longer than a second.
#[test]
fn unreachable_worker_delays_capped_teams_for_a_second() {
    let cluster = cluster_with_cap(&[8, 8], 4);
    let mut next = successor(&cluster, &[(1, team_job("capped", vec![step(1, 1)]))]);
    let key = next.worker_keys()[0];
    let list = cluster.workers[&cluster.keys[0]].run_list(INCARNATION);
    apply_list(&mut next, key, cluster.now.plus_ms(1), &list, cluster.now.plus_ms(2));
    let pass = next.place(cluster.now.plus_ms(3));
    assert_eq!((pass.bound, pass.retry_at), (0, Some(cluster.now.plus_ms(1_000))));
    assert_eq!(next.place(cluster.now.plus_ms(1_000)).bound, 1);
}

/// Guards against a team without an entry in the configuration that is limited or forgotten.
#[test]
fn team_that_is_removed_keeps_its_usage_without_a_cap() {
    let mut cluster = cluster_with_cap(&[8], 2);
    cluster.admit(1, team_job("capped", vec![step(4, 1)]));
    cluster.run_pass();
    assert_eq!(cluster.running(), 2);
    cluster.sched.set_config(config_with_teams(2, &[("free", 1.0, Resources::ZERO)]));
    cluster.run_pass();
    assert_eq!(cluster.running(), 4);
    assert_eq!(used_cores(&cluster.sched, "capped"), 4);
    cluster.sched.set_config(Arc::new(Config { revision: 3, ..Config::default() }));
    cluster.end_runs(task(1, 0, 0), EndCause::Done);
    cluster.run_pass();
    set_cap(&mut cluster, 4, 2);
    assert_eq!(used_cores(&cluster.sched, "capped"), 3);
}

/// Guards against submissions that would wait without end, and against rejections of those that
/// fit.
#[test]
fn submissions_that_can_never_fit_are_recognised() {
    let team = Team { name: "capped".into(), weight: 1.0, cap: Resources::new(4_000, 0, 1) };
    let check = |steps: Vec<StepSpec>| {
        check_cap(&job(steps), Some(&team)).map_err(|error| error.to_string())
    };
    assert_eq!(check(vec![step(100, 4), gang(4, 1)]), Ok(()));
    assert_eq!(check(vec![StepSpec { need: Resources::new(1, 1 << 28, 1), ..gang(1, 1) }]), Ok(()));
    assert_eq!(check_cap(&job(vec![step(1, 1_000)]), None), Ok(()));
    assert_eq!(
        check(vec![step(1, 1), step(1, 5)]).unwrap_err(),
        "step 1 can never start: a task needs 5000 millicores, and the cap of team \"capped\" is 4000"
    );
    assert_eq!(
        check(vec![gang(5, 1)]).unwrap_err(),
        "step 0 can never start: the gang needs 5000 millicores, and the cap of team \"capped\" is 4000"
    );
    let accelerators = StepSpec { need: Resources::new(1, 1, 2), ..step(1, 1) };
    assert_eq!(
        check(vec![accelerators]).unwrap_err(),
        "step 0 can never start: a task needs 2 accelerators, and the cap of team \"capped\" is 1"
    );
}
