//! Evacuation of workers for maintenance, and planning of maintenance waves.

use coriandertack_jobs::{
    boot_time::BootTime,
    maintenance::{
        DueMachine, Machine, MachineState, MaintenanceOutcome, MaintenancePlanner, MaintenanceWave,
        Occupancy, WaveReport,
    },
    report::EndCause,
};

use crate::support::{TestCluster, job, step, task};

fn machine(id: &str, state: MachineState) -> Machine {
    let worker = (state == MachineState::Up).then(|| format!("worker-{id}").into());
    Machine { id: id.into(), state, worker }
}

/// Returns the row of a machine that is up and runs a worker of another name than before its upkeep.
fn renewed(id: &str) -> Machine {
    named(id, &format!("worker-{id}-2"))
}

fn named(id: &str, worker: &str) -> Machine {
    Machine { id: id.into(), state: MachineState::Up, worker: Some(worker.into()) }
}

fn nameless(id: &str) -> Machine {
    Machine { id: id.into(), state: MachineState::Up, worker: None }
}

fn list(planner: &mut MaintenancePlanner, machines: &[Machine], at: u64) {
    planner.update_machines(machines, true, BootTime(at), |worker| worker != "former");
}

/// Returns the IDs of the machines whose workers are evacuated or which are ordered down.
fn due_ids(planner: &mut MaintenancePlanner, at: u64) -> Vec<String> {
    planner.due_machines(BootTime(at)).iter().map(|due| due.machine.to_string()).collect()
}

/// Orders each machine that is due, with the same outcome.
fn order_all(planner: &mut MaintenancePlanner, outcome: MaintenanceOutcome, at: u64) {
    for due in planner.due_machines(BootTime(at)) {
        planner.record_order(&due);
        planner.record_outcome(&due, outcome, BootTime(at));
    }
}

fn planner(machines: &[&str], max_down: u32, due_ms: u64) -> MaintenancePlanner {
    let mut planner = MaintenancePlanner::default();
    let machines = machines.iter().map(|id| (*id).into()).collect();
    planner.add_wave(MaintenanceWave { number: 7, machines, deadline: BootTime(due_ms), max_down });
    planner
}

fn list_all_up(planner: &mut MaintenancePlanner, ids: &[&str], at: u64) {
    let machines: Vec<Machine> = ids.iter().map(|id| machine(id, MachineState::Up)).collect();
    planner.update_machines(&machines, true, BootTime(at), |_| true);
}

/// Guards against new tasks on a worker whose machine is about to go down.
#[test]
fn evacuated_worker_gets_no_tasks() {
    let mut cluster = TestCluster::new(&[4, 4]);
    let occupancy = cluster.sched.evacuate("w0", cluster.now);
    assert_eq!(occupancy, Occupancy::Empty);
    cluster.admit(1, job(vec![step(8, 1)]));
    cluster.run_pass();
    assert_eq!(cluster.running(), 4);
    cluster.sched.reopen_worker("w0");
    cluster.run_pass();
    assert_eq!(cluster.running(), 8);
}

/// Guards against more unavailable tasks of a step than it allows, and against a worker that is
/// never fully evacuated.
#[test]
fn long_running_tasks_respect_max_unavailable() {
    let mut cluster = TestCluster::new(&[2, 8]);
    let mut lasting = step(2, 1);
    lasting.lasting = true;
    lasting.max_unavailable = Some(1);
    // Long-running tasks are spread over workers; the second worker is closed so that both run on
    // the first.
    cluster.sched.evacuate("w1", cluster.now);
    cluster.admit(1, job(vec![lasting]));
    cluster.run_pass();
    cluster.sched.reopen_worker("w1");
    assert_eq!(cluster.workers_running(task(1, 0, 0)), cluster.workers_running(task(1, 0, 1)));
    // The tasks are not serving yet, so none may become unavailable.
    assert_eq!(cluster.sched.evacuate("w0", cluster.now), Occupancy::Serving);
    cluster.run_pass();
    assert!(cluster.stops.is_empty());
    report_all_serving(&mut cluster);
    cluster.sched.evacuate("w0", cluster.now);
    cluster.run_pass();
    assert_eq!(cluster.stops.len(), 1);
    // The second task stays until the first is serving on the other worker.
    cluster.apply_run_lists();
    assert_eq!(cluster.sched.evacuate("w0", cluster.now), Occupancy::Serving);
    cluster.run_pass();
    assert_eq!(cluster.stops.len(), 1);
    report_all_serving(&mut cluster);
    cluster.sched.evacuate("w0", cluster.now);
    cluster.run_pass();
    cluster.apply_run_lists();
    assert_eq!(cluster.stops.len(), 2);
    assert_eq!(cluster.sched.evacuate("w0", cluster.now), Occupancy::Empty);
}

fn report_all_serving(cluster: &mut TestCluster) {
    for worker in cluster.workers.values_mut() {
        worker.running.values_mut().for_each(|(_, percent)| *percent = 100);
    }
    cluster.apply_run_lists();
}

/// Guards against stopping a run that would soon end, and against a long run that delays a wave.
#[test]
fn batch_runs_finish_or_resume_from_a_checkpoint() {
    let mut cluster = TestCluster::new(&[4]);
    let mut long = step(1, 1);
    (long.checkpointing, long.estimate_ms) = (true, 60_000);
    cluster.admit(1, job(vec![step(1, 1)]));
    cluster.admit(2, job(vec![long]));
    cluster.run_pass();
    assert_eq!(cluster.sched.evacuate("w0", cluster.now), Occupancy::Batch);
    cluster.run_pass();
    assert_eq!(cluster.stops.len(), 1);
    assert_eq!(cluster.stops[0].1, task(2, 0, 0));
    cluster.end_runs(task(1, 0, 0), EndCause::Done);
    assert_eq!(cluster.sched.evacuate("w0", cluster.now), Occupancy::Empty);
}

/// Guards against more machines of a wave down at once than its limit.
#[test]
fn wave_respects_its_limit() {
    let ids = ["a", "b", "c"];
    let mut planner = planner(&ids, 1, 60_000);
    assert!(planner.due_machines(BootTime(1)).is_empty(), "no listing has arrived yet");
    list_all_up(&mut planner, &ids, 2);
    let first = planner.due_machines(BootTime(3));
    assert_eq!(first.len(), 1);
    planner.record_order(&first[0]);
    planner.record_outcome(&first[0], MaintenanceOutcome::Begun, BootTime(4));
    // A listing requested before the answer says nothing about the machine.
    list_all_up(&mut planner, &ids, 3);
    assert!(planner.due_machines(BootTime(5)).is_empty());
    let listing: Vec<Machine> = ids
        .iter()
        .map(|id| machine(id, if *id == "a" { MachineState::Upkeep } else { MachineState::Up }))
        .collect();
    planner.update_machines(&listing, true, BootTime(6), |_| true);
    assert!(planner.due_machines(BootTime(7)).is_empty());
    list(&mut planner, &[renewed("a"), renewed("b"), renewed("c")], 8);
    let second = planner.due_machines(BootTime(9));
    assert_eq!((second.len(), &*second[0].machine), (1, "b"));
}

/// Guards against a wave that is reported as completed although the order for one of its machines
/// may not have arrived.
#[test]
fn unanswered_order_is_repeated() {
    let mut planner = planner(&["a"], 1, 60_000);
    list_all_up(&mut planner, &["a"], 1);
    let due = planner.due_machines(BootTime(2));
    planner.record_order(&due[0]);
    planner.record_outcome(&due[0], MaintenanceOutcome::Unanswered, BootTime(3));
    list_all_up(&mut planner, &["a"], 4);
    let again = planner.due_machines(BootTime(5));
    assert!(again[0].sent);
    assert!(planner.changed_reports().iter().all(|report| !report.completed));
    planner.record_order(&again[0]);
    planner.record_outcome(&again[0], MaintenanceOutcome::Begun, BootTime(6));
    list(&mut planner, &[renewed("a")], 7);
    assert!(planner.changed_reports()[0].completed);
}

/// Guards against a removed machine that keeps its wave open.
#[test]
fn removed_machine_counts_as_done() {
    let mut planner = planner(&["a", "b"], 2, 60_000);
    list_all_up(&mut planner, &["a"], 1);
    assert_eq!(due_ids(&mut planner, 2), ["a"]);
    list_all_up(&mut planner, &["a"], 10_001);
    let due = planner.due_machines(BootTime(10_002));
    assert_eq!(due.len(), 2);
    for (due, outcome) in due.iter().zip([MaintenanceOutcome::Begun, MaintenanceOutcome::Refused]) {
        planner.record_order(due);
        planner.record_outcome(due, outcome, BootTime(10_003));
    }
    list(&mut planner, &[renewed("a")], 10_004);
    assert!(planner.changed_reports()[0].completed);
}

/// Guards against a wave that is reported as completed although a machine that a listing omitted, or
/// whose row could not be read, has not had its upkeep.
#[test]
fn omitted_machine_does_not_count_as_done() {
    let mut planner = planner(&["a", "b"], 2, 60_000);
    list_all_up(&mut planner, &["a", "b"], 1);
    planner.update_machines(&[machine("a", MachineState::Up)], false, BootTime(2), |_| true);
    planner.update_machines(&[], true, BootTime(3), |_| true);
    assert!(planner.changed_reports().iter().all(|report| report.done.is_empty()));
    let due = planner.due_machines(BootTime(4));
    let workers: Vec<_> = due.iter().map(|due| due.worker.as_deref()).collect();
    assert_eq!(workers, [Some("worker-a"), Some("worker-b")], "their last workers are evacuated");
}

/// Guards against an order for a machine whose row could not be read, and whose worker is unknown.
#[test]
fn machine_with_an_unreadable_row_is_not_ordered_down() {
    let mut planner = planner(&["a", "b"], 2, 60_000);
    planner.update_machines(&[machine("a", MachineState::Up)], false, BootTime(1), |_| true);
    let due = planner.due_machines(BootTime(2));
    assert_eq!((due.len(), &*due[0].machine), (1, "a"));
}

/// Guards against a machine that is removed during its upkeep and keeps its wave open, and against
/// one that counts as up again because a listing omits it.
#[test]
fn upkeep_of_an_omitted_machine_ends_later() {
    let mut planner = planner(&["a", "b"], 1, 60_000);
    list_all_up(&mut planner, &["a", "b"], 1);
    let due = planner.due_machines(BootTime(2));
    planner.record_order(&due[0]);
    planner.record_outcome(&due[0], MaintenanceOutcome::Begun, BootTime(3));
    list_all_up(&mut planner, &["b"], 4);
    assert!(planner.due_machines(BootTime(5)).is_empty(), "one machine at a time");
    list_all_up(&mut planner, &["b"], 20_000);
    assert_eq!(&*planner.due_machines(BootTime(20_001))[0].machine, "b");
}

/// Guards against a successor that evacuates machines again which already had their upkeep.
#[test]
fn successor_resumes_from_the_last_report() {
    let mut planner = planner(&["a", "b"], 2, 60_000);
    planner.resume(WaveReport { wave: 7, completed: false, done: vec!["a".into()] });
    list_all_up(&mut planner, &["a", "b"], 1);
    let due = planner.due_machines(BootTime(2));
    assert_eq!((due.len(), &*due[0].machine), (1, "b"));
    planner.resume(WaveReport { wave: 7, completed: true, done: Vec::new() });
    assert!(planner.is_idle());
}

/// Guards against a wave that misses its deadline because work on its machines does not end in
/// time.
#[test]
fn wave_close_to_its_deadline_is_forced() {
    let mut planner = planner(&["a", "b"], 1, 6_000);
    list_all_up(&mut planner, &["a", "b"], 1);
    assert!(!planner.due_machines(BootTime(500))[0].forced);
    assert!(planner.due_machines(BootTime(1_500))[0].forced);
}

/// Guards against an order that ends the tasks of a worker which no listing has named.
#[test]
fn machine_without_a_known_worker_is_not_ordered_at_once() {
    for listing in [vec![], vec![nameless("a")], vec![named("a", "former")]] {
        let mut planner = planner(&["a"], 1, 60_000);
        for at in [1, 5_000, 10_000] {
            list(&mut planner, &listing, at);
            assert!(due_ids(&mut planner, at).is_empty(), "{listing:?} at {at}");
        }
        list(&mut planner, &listing, 10_001);
        assert_eq!(due_ids(&mut planner, 10_001), ["a"], "{listing:?}");
    }
}

/// Guards against a machine that counts as empty because a later row does not name its worker.
#[test]
fn last_named_worker_is_evacuated() {
    for listing in [vec![], vec![nameless("a")], vec![named("a", "former")]] {
        let mut planner = planner(&["a"], 1, 60_000);
        list_all_up(&mut planner, &["a"], 1);
        list(&mut planner, &listing, 2);
        let due = &planner.due_machines(BootTime(3))[0];
        assert_eq!(due.worker.as_deref(), Some("worker-a"), "{listing:?}");
    }
}

/// Guards against an order for a machine whose rows name different workers.
#[test]
fn machine_that_is_listed_twice_is_not_ordered_down() {
    let mut planner = planner(&["a", "b"], 2, 60_000);
    let listing = [named("a", "worker-a"), named("a", "other"), machine("b", MachineState::Up)];
    for at in [1, 10_001, 20_001] {
        list(&mut planner, &listing, at);
        assert_eq!(due_ids(&mut planner, at), ["b"]);
    }
}

/// Guards against an upkeep that ends in a listing from before it, while the next machine goes down.
#[test]
fn old_up_row_does_not_end_an_upkeep() {
    let mut planner = planner(&["a", "b"], 1, 60_000);
    list_all_up(&mut planner, &["a", "b"], 1);
    order_all(&mut planner, MaintenanceOutcome::Begun, 3);
    list_all_up(&mut planner, &["a", "b"], 4);
    assert!(due_ids(&mut planner, 5).is_empty());
    list(&mut planner, &[renewed("a"), machine("b", MachineState::Up)], 2_500);
    assert_eq!(due_ids(&mut planner, 2_501), ["b"]);
}

/// Guards against a wave that stays open because a former leader carried out its last upkeep.
#[test]
fn upkeep_that_a_former_leader_carried_out_ends() {
    let mut planner = planner(&["a"], 1, 60_000);
    list_all_up(&mut planner, &["a"], 1);
    order_all(&mut planner, MaintenanceOutcome::Begun, 3);
    list_all_up(&mut planner, &["a"], 10_003);
    assert!(planner.changed_reports().iter().all(|report| !report.completed));
    list_all_up(&mut planner, &["a"], 10_004);
    assert!(planner.changed_reports()[0].completed);
}

/// Guards against more machines down than the limit because a former leader ordered one of them.
#[test]
fn upkeep_at_a_takeover_counts_towards_the_limit() {
    let mut planner = planner(&["a", "b"], 1, 60_000);
    let upkeep = machine("a", MachineState::Upkeep);
    list(&mut planner, &[upkeep, machine("b", MachineState::Up)], 1);
    assert!(due_ids(&mut planner, 2).is_empty());
    list_all_up(&mut planner, &["a", "b"], 3);
    assert_eq!(due_ids(&mut planner, 4).len(), 1);
}

/// Guards against a long upkeep that counts as over because one listing omits its machine.
#[test]
fn omission_does_not_end_a_long_upkeep() {
    let mut planner = planner(&["a", "b"], 1, 60_000);
    list_all_up(&mut planner, &["a", "b"], 1);
    order_all(&mut planner, MaintenanceOutcome::Begun, 3);
    let upkeep = machine("a", MachineState::Upkeep);
    list(&mut planner, &[upkeep, machine("b", MachineState::Up)], 9_900);
    list_all_up(&mut planner, &["b"], 10_100);
    assert!(due_ids(&mut planner, 10_101).is_empty());
    list_all_up(&mut planner, &["b"], 19_901);
    assert_eq!(due_ids(&mut planner, 19_902), ["b"]);
}

/// Guards against an order while tasks may run on the machine, and against listings that put it off forever.
#[test]
fn unnamed_machine_is_ordered_only_when_its_last_worker_is_empty() {
    let mut planner = planner(&["a"], 1, 1_000);
    let mut due_at = |listing: &[Machine], complete, at| {
        planner.update_machines(listing, complete, BootTime(at), |_| true);
        planner.due_machines(BootTime(at)).remove(0)
    };
    let may_order = |due: &DueMachine| {
        [Occupancy::Empty, Occupancy::Batch, Occupancy::Serving, Occupancy::Unknown]
            .map(|occupancy| due.may_order(occupancy))
    };
    let named = due_at(&[machine("a", MachineState::Up)], true, 1);
    assert!(named.forced);
    assert_eq!(may_order(&named), [true, true, false, false]);
    assert_eq!(may_order(&due_at(&[], true, 2)), [false; 4]);
    assert_eq!(may_order(&due_at(&[nameless("a")], true, 10_001)), [false; 4]);
    assert_eq!(may_order(&due_at(&[], false, 10_002)), [false; 4], "an incomplete listing");
    assert_eq!(may_order(&due_at(&[], true, 10_003)), [true, false, false, true]);
}

/// Guards against a worker that counts as empty because the scheduler does not know it.
#[test]
fn unknown_worker_does_not_count_as_empty() {
    let mut cluster = TestCluster::new(&[1]);
    assert!(cluster.sched.has_worker("w0") && !cluster.sched.has_worker("former"));
    assert_eq!(cluster.sched.evacuate("former", cluster.now), Occupancy::Unknown);
}
