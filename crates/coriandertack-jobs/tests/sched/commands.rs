//! Orders that are refused, lost or late, and workers that go.

use coriandertack_jobs::{
    ids::JobId,
    report::{EndCause, StartRefusal},
    sched::{StartOutcome, WorkerCommand},
};

use crate::support::{BORN, World, job, step, task};

/// Binds the only task of a job and returns its start without carrying it out.
fn bind(world: &mut World) -> coriandertack_jobs::sched::StartCommand {
    world.sched.place(world.now);
    let batch = world.sched.take_batch();
    world.record(&batch);
    let start = batch.commands.into_iter().find_map(|command| match command {
        WorkerCommand::Start(start) => Some(start),
        WorkerCommand::Stop { .. } => None,
    });
    start.expect("the task is bound")
}

/// Guards against a second start while the first, which had no answer, may still be carried out.
#[test]
fn an_unanswered_start_is_barred_before_another_one() {
    let mut world = World::new(&[4, 4]);
    world.admit(1, job(vec![step(1, 1)]));
    let start = bind(&mut world);
    let (key, id, attempt) = (start.worker, start.task, start.attempt);
    world.sched.record_start_outcome(key, id, attempt, StartOutcome::Unanswered, world.now);
    world.list_all();
    world.sched.place(world.now);
    let batch = world.sched.take_batch();
    let starts =
        batch.commands.iter().filter(|command| matches!(command, WorkerCommand::Start(_))).count();
    assert_eq!(starts, 0, "the stop has no answer yet");
    world.sched.record_stop(key, id, attempt, world.now);
    world.list_all();
    let again = bind(&mut world);
    assert_eq!(again.attempt, 2);
}

/// Guards against a task that waits for ever after its start was refused.
#[test]
fn a_refused_start_is_made_elsewhere() {
    let mut world = World::new(&[4, 4]);
    world.admit(1, job(vec![step(1, 1)]));
    let start = bind(&mut world);
    let refused = StartOutcome::Refused(StartRefusal::NoRoom);
    world.sched.record_start_outcome(start.worker, start.task, start.attempt, refused, world.now);
    let again = bind(&mut world);
    assert_ne!(again.worker, start.worker);
}

/// Guards against room that counts as free while a run is still being stopped.
#[test]
fn a_stopping_run_keeps_its_room() {
    let mut world = World::new(&[4]);
    world.admit(1, job(vec![step(1, 4)]));
    world.turn();
    world.sched.cancel(JobId(1), world.now);
    world.admit(2, job(vec![step(1, 4)]));
    world.sched.place(world.now);
    let batch = world.sched.take_batch();
    assert!(batch.commands.iter().all(|command| matches!(command, WorkerCommand::Stop { .. })));
}

/// Guards against starts beyond a worker's capacity.
#[test]
fn no_worker_gets_more_than_it_has() {
    let mut world = World::new(&[4, 2]);
    world.admit(1, job(vec![step(20, 1)]));
    world.turn();
    assert_eq!(world.running(), 6);
}

/// Guards against tasks that are lost with their worker's incarnation.
#[test]
fn a_worker_that_is_born_again_has_lost_its_runs() {
    let mut world = World::new(&[4]);
    world.admit(1, job(vec![step(1, 1)]));
    world.turn();
    let mut reborn = crate::support::entry(4);
    reborn.born = BORN + 1;
    let name = world.sched.worker(world.keys[0]).unwrap().name.clone();
    let key = world.sched.upsert_worker(&name, reborn.into(), world.now);
    assert_ne!(key, world.keys[0]);
    world.sched.apply_run_list(key, world.now, &fake_listing(BORN + 1), world.now);
    let start = bind(&mut world);
    assert_eq!((start.worker, start.attempt), (key, 2));
}

/// Guards against a list of another incarnation that is taken for the worker's own.
#[test]
fn a_list_of_another_incarnation_changes_nothing() {
    let mut world = World::new(&[4]);
    let run_list = fake_listing(BORN + 1);
    assert!(world.sched.apply_run_list(world.keys[0], world.now, &run_list, world.now).is_none());
}

fn fake_listing(born: u64) -> coriandertack_jobs::report::RunList {
    coriandertack_jobs::report::RunList { clock_ms: 1, born, ..Default::default() }
}

/// Guards against new tasks on a worker that will leave, and against work that is lost with it.
#[test]
fn a_draining_worker_gets_nothing_and_gives_back_what_it_cannot_finish() {
    let mut world = World::new(&[4, 4]);
    let mut long = step(1, 1);
    long.estimate_ms = 10_000;
    world.admit(1, job(vec![long]));
    world.turn();
    let first = world.places(task(1, 0, 0))[0];
    let name = world.sched.worker(first).unwrap().name.clone();
    let mut leaving = crate::support::entry(4);
    leaving.draining = true;
    leaving.remaining_ms = 2_000;
    world.sched.upsert_worker(&name, leaving.into(), world.now);
    world.turn();
    world.list_all();
    world.turn();
    let places = world.places(task(1, 0, 0));
    assert_eq!(places.len(), 1);
    assert_ne!(places[0], first);
}

/// Guards against workers that fail whatever they start and get ever more of it.
#[test]
fn a_worker_that_fails_jobs_in_a_row_is_left_out() {
    let mut world = World::new(&[8, 1, 1, 1, 1]);
    for id in 1..=2 {
        world.admit(id, job(vec![step(1, 2)]));
        world.turn();
        world.end(task(id, 0, 0), EndCause::Failed);
    }
    world.turn();
    assert_eq!(world.running(), 1, "the only worker with room keeps what it has, and gets no more");
    assert_eq!(world.sched.stats.quarantined, 1);
    world.now = world.now.plus_ms(2_100);
    world.turn();
    assert_eq!(world.running(), 2);
}

/// Guards against a run that holds its room without ever making progress.
#[test]
fn a_run_without_progress_is_stopped() {
    let mut world = World::new(&[4]);
    world.admit(1, job(vec![step(1, 1)]));
    world.turn();
    world.list_all();
    world.now = world.now.plus_ms(2_600);
    world.list_all();
    world.turn();
    assert_eq!(world.stops.len(), 1);
}

/// Guards against a run of a job that nobody knows, as after the loss of records.
#[test]
fn a_run_that_should_not_be_there_is_stopped() {
    let mut world = World::new(&[4]);
    let key = world.keys[0];
    let run = ("".into(), 0);
    world.workers.get_mut(&key).unwrap().running.insert((task(9, 0, 0), 1), run);
    world.list_all();
    world.admit(1, job(vec![step(1, 1)]));
    world.turn();
    assert_eq!(world.stops, [(key, task(9, 0, 0), 1)]);
    assert!(world.places(task(1, 0, 0)).is_empty(), "its room is unknown until it is gone");
}

/// Guards against a task that uses up its attempts on one worker that fails it.
#[test]
fn a_failed_task_runs_elsewhere_next() {
    let mut world = World::new(&[4, 8]);
    world.admit(1, job(vec![step(1, 1)]));
    world.turn();
    let first = world.places(task(1, 0, 0))[0];
    world.end(task(1, 0, 0), EndCause::Failed);
    world.turn();
    let second = world.places(task(1, 0, 0))[0];
    assert_ne!(first, second);
}

/// Guards against a run that is kept for ever because each repeated stop counts as a newer answer than the list that shows
/// that the run never was (vukic-hladni-grown scale-1: a gang waited 50 s for it).
#[test]
fn a_run_that_never_was_is_dropped_although_its_stop_is_repeated() {
    let mut world = World::new(&[4]);
    let key = world.keys[0];
    world.admit(1, job(vec![step(1, 4)]));
    world.sched.place(world.now);
    world.sched.take_batch();
    world.sched.record_start_outcome(key, task(1, 0, 0), 1, StartOutcome::Unanswered, world.now);
    for _ in 0..5 {
        // The next list is asked for before the stop is answered, and waits a second for an end.
        let sent = world.now;
        let stops = world.sched.take_batch().commands;
        world.now = world.now.plus_ms(5);
        if !stops.is_empty() {
            world.sched.record_stop(key, task(1, 0, 0), 1, world.now);
        }
        world.now = world.now.plus_ms(1_100);
        let run_list = world.workers[&key].run_list(BORN);
        world.sched.apply_run_list(key, sent, &run_list, world.now);
    }
    world.turn();
    assert_eq!(world.running(), 1, "the task runs as attempt 2");
}
