//! Workers that are emptied for the upkeep of their machines, and the plan of a wave.

use coriandertack_jobs::{
    boot_time::BootTime,
    maintenance::{
        Machine, MachineState, MaintenanceOutcome, MaintenancePlanner, MaintenanceWave, Occupancy,
        WaveReport,
    },
    report::EndCause,
};

use crate::support::{World, job, step, task};

fn machine(id: &str, state: MachineState) -> Machine {
    let worker = (state == MachineState::Up).then(|| format!("worker-{id}").into());
    Machine { id: id.into(), state, worker }
}

fn planner(machines: &[&str], max_down: u32, due_ms: u64) -> MaintenancePlanner {
    let mut planner = MaintenancePlanner::default();
    let machines = machines.iter().map(|id| (*id).into()).collect();
    planner.add_wave(MaintenanceWave { number: 7, machines, deadline: BootTime(due_ms), max_down });
    planner
}

fn all_up(planner: &mut MaintenancePlanner, ids: &[&str], at: u64) {
    let machines: Vec<Machine> = ids.iter().map(|id| machine(id, MachineState::Up)).collect();
    planner.update_machines(&machines, BootTime(at));
}

/// Guards against new tasks on a worker that is about to go down.
#[test]
fn a_leaving_worker_gets_no_tasks() {
    let mut world = World::new(&[4, 4]);
    let occupancy = world.sched.evacuate("w0", world.now);
    assert_eq!(occupancy, Occupancy::Empty);
    world.admit(1, job(vec![step(8, 1)]));
    world.turn();
    assert_eq!(world.running(), 4);
    world.sched.reopen_worker("w0");
    world.turn();
    assert_eq!(world.running(), 8);
}

/// Guards against more tasks of a step away at once than it allows, and against a worker that is never emptied.
#[test]
fn lasting_tasks_leave_within_their_limit() {
    let mut world = World::new(&[2, 8]);
    let mut lasting = step(2, 1);
    lasting.lasting = true;
    lasting.max_unavailable = Some(1);
    // Both tasks are spread, one on each worker; the second worker is closed so that both run on the first.
    world.sched.evacuate("w1", world.now);
    world.admit(1, job(vec![lasting]));
    world.turn();
    world.sched.reopen_worker("w1");
    assert_eq!(world.places(task(1, 0, 0)), world.places(task(1, 0, 1)));
    // Not yet at work: nothing more may be taken away.
    assert_eq!(world.sched.evacuate("w0", world.now), Occupancy::Serving);
    world.turn();
    assert!(world.stops.is_empty());
    at_work(&mut world);
    world.sched.evacuate("w0", world.now);
    world.turn();
    assert_eq!(world.stops.len(), 1);
    // The second one stays until the first is at work elsewhere.
    world.list_all();
    assert_eq!(world.sched.evacuate("w0", world.now), Occupancy::Serving);
    world.turn();
    assert_eq!(world.stops.len(), 1);
    at_work(&mut world);
    world.sched.evacuate("w0", world.now);
    world.turn();
    world.list_all();
    assert_eq!(world.stops.len(), 2);
    assert_eq!(world.sched.evacuate("w0", world.now), Occupancy::Empty);
}

fn at_work(world: &mut World) {
    for worker in world.workers.values_mut() {
        worker.running.values_mut().for_each(|(_, percent)| *percent = 100);
    }
    world.list_all();
}

/// Guards against work that is thrown away although it would soon have ended, and against long work that holds a wave up.
#[test]
fn batch_work_ends_or_saves_its_progress() {
    let mut world = World::new(&[4]);
    let mut long = step(1, 1);
    (long.checkpointing, long.estimate_ms) = (true, 60_000);
    world.admit(1, job(vec![step(1, 1)]));
    world.admit(2, job(vec![long]));
    world.turn();
    assert_eq!(world.sched.evacuate("w0", world.now), Occupancy::Batch);
    world.turn();
    assert_eq!(world.stops.len(), 1);
    assert_eq!(world.stops[0].1, task(2, 0, 0));
    world.end(task(1, 0, 0), EndCause::Done);
    assert_eq!(world.sched.evacuate("w0", world.now), Occupancy::Empty);
}

/// Guards against more machines of a wave down at once than its cap says.
#[test]
fn a_wave_keeps_its_cap() {
    let ids = ["a", "b", "c"];
    let mut planner = planner(&ids, 1, 60_000);
    assert!(planner.due_machines(BootTime(1)).is_empty(), "nothing is known of the machines yet");
    all_up(&mut planner, &ids, 2);
    let first = planner.due_machines(BootTime(3));
    assert_eq!(first.len(), 1);
    planner.record_order(&first[0]);
    planner.record_outcome(&first[0], MaintenanceOutcome::Begun, BootTime(4));
    // A listing that was asked for before the answer says nothing of the machine.
    all_up(&mut planner, &ids, 3);
    assert!(planner.due_machines(BootTime(5)).is_empty());
    let run_list: Vec<Machine> = ids
        .iter()
        .map(|id| machine(id, if *id == "a" { MachineState::Upkeep } else { MachineState::Up }))
        .collect();
    planner.update_machines(&run_list, BootTime(6));
    assert!(planner.due_machines(BootTime(7)).is_empty());
    all_up(&mut planner, &ids, 8);
    let second = planner.due_machines(BootTime(9));
    assert_eq!((second.len(), &*second[0].machine), (1, "b"));
}

/// Guards against a wave that is reported as completed while the order for one of its machines may not have arrived.
#[test]
fn an_unanswered_order_is_sent_again() {
    let mut planner = planner(&["a"], 1, 60_000);
    all_up(&mut planner, &["a"], 1);
    let due = planner.due_machines(BootTime(2));
    planner.record_order(&due[0]);
    planner.record_outcome(&due[0], MaintenanceOutcome::Unanswered, BootTime(3));
    all_up(&mut planner, &["a"], 4);
    let again = planner.due_machines(BootTime(5));
    assert!(again[0].sent);
    assert!(planner.changed_reports().iter().all(|report| !report.completed));
    planner.record_order(&again[0]);
    planner.record_outcome(&again[0], MaintenanceOutcome::Begun, BootTime(6));
    all_up(&mut planner, &["a"], 7);
    assert!(planner.changed_reports()[0].completed);
}

/// Guards against a machine that left for good and keeps its wave open.
#[test]
fn a_machine_that_is_gone_owes_nothing() {
    let mut planner = planner(&["a", "b"], 2, 60_000);
    all_up(&mut planner, &["a"], 1);
    let due = planner.due_machines(BootTime(2));
    assert_eq!(due.len(), 1);
    planner.record_order(&due[0]);
    planner.record_outcome(&due[0], MaintenanceOutcome::Begun, BootTime(3));
    all_up(&mut planner, &["a"], 4);
    assert!(planner.changed_reports()[0].completed);
}

/// Guards against a successor that empties machines again which had their upkeep.
#[test]
fn a_successor_goes_on_where_the_report_ends() {
    let mut planner = planner(&["a", "b"], 2, 60_000);
    planner.resume(WaveReport { wave: 7, completed: false, done: vec!["a".into()] });
    all_up(&mut planner, &["a", "b"], 1);
    let due = planner.due_machines(BootTime(2));
    assert_eq!((due.len(), &*due[0].machine), (1, "b"));
    planner.resume(WaveReport { wave: 7, completed: true, done: Vec::new() });
    assert!(planner.is_idle());
}

/// Guards against a wave that is late because work does not end: when time runs short, it is ended.
#[test]
fn a_wave_that_runs_late_presses() {
    let mut planner = planner(&["a", "b"], 1, 6_000);
    all_up(&mut planner, &["a", "b"], 1);
    assert!(!planner.due_machines(BootTime(500))[0].forced);
    assert!(planner.due_machines(BootTime(1_500))[0].forced);
}
