//! Listings of machines as evidence that a worker has ended.

use coriandertack_jobs::{
    boot_time::{BootTime, WallTime},
    hosts::{HostReader, Hosts},
    maintenance::{Machine, MachineState},
};

use crate::support::{INCARNATION, TestCluster, job, step, task};

/// A time at which each incarnation has lived long enough for a listing to prove its end.
const SETTLED: WallTime = WallTime(1_000_000);

fn row(id: &str, state: MachineState, worker: Option<&str>) -> Machine {
    Machine { id: id.into(), state, worker: worker.map(Into::into) }
}

fn up(id: &str, worker: &str) -> Machine {
    row(id, MachineState::Up, Some(worker))
}

/// Returns a reader to which `m-1` has been shown as the host of `w-1`, and `m-2` as that of `w-2`.
fn reader() -> HostReader {
    let mut reader = HostReader::default();
    reader.read(&[up("m-1", "w-1"), up("m-2", "w-2")], true, BootTime(1));
    reader
}

/// Guards against a second run of the tasks of a worker that a listing does not show (issue 36): an
/// empty or partial listing, an unreadable row or a row without a worker counted as its end.
#[test]
fn worker_that_is_not_shown_has_not_ended() {
    let omissions: [(&str, Vec<Machine>, bool); 8] = [
        ("empty", vec![], true),
        ("partial", vec![up("m-2", "w-2")], true),
        ("unreadable row", vec![up("m-2", "w-2")], false),
        (
            "another row is unreadable",
            vec![row("m-1", MachineState::Down, None), up("m-2", "w-2")],
            false,
        ),
        ("no name yet", vec![row("m-1", MachineState::Up, None), up("m-2", "w-2")], true),
        (
            "machine listed twice",
            vec![row("m-1", MachineState::Down, None), up("m-1", "w-3"), up("m-2", "w-2")],
            true,
        ),
        ("worker shown on two machines", vec![up("m-1", "w-2"), up("m-2", "w-2")], true),
        (
            "shown on another machine",
            vec![row("m-1", MachineState::Down, None), up("m-3", "w-1")],
            true,
        ),
    ];
    for (what, rows, complete) in omissions {
        let mut reader = reader();
        let hosts = reader.read(&rows, complete, BootTime(2));
        assert!(hosts.departure("w-1").is_none(), "{what}");
        // What was omitted once is not evidence in the next listing either.
        let hosts = reader.read(&rows, complete, BootTime(3));
        assert!(hosts.departure("w-1").is_none(), "{what}, twice");
    }
}

/// Guards against tasks of a crashed worker that wait for its leases although its machine is down.
#[test]
fn worker_whose_machine_is_shown_without_it_has_ended() {
    let states = [
        row("m-1", MachineState::Down, None),
        row("m-1", MachineState::Upkeep, None),
        row("m-1", MachineState::Moving, None),
        up("m-1", "w-3"),
    ];
    for shown in states {
        let mut reader = reader();
        let rows = [shown.clone(), up("m-2", "w-2")];
        for at in 2..4 {
            let hosts = reader.read(&rows, true, BootTime(at));
            let departure = hosts.departure("w-1").unwrap_or_else(|| panic!("{shown:?}"));
            assert_eq!((&*departure.machine, departure.shown_at), ("m-1", BootTime(1)));
            assert_eq!(departure.successor, shown.worker);
            assert!(hosts.departure("w-2").is_none());
        }
    }
}

/// Guards against a listing that lags: it shows a machine as it was before the worker started there.
#[test]
fn listing_from_before_a_worker_started_proves_nothing() {
    let mut reader = HostReader::default();
    for at in 1..4 {
        let hosts = reader.read(&[row("m-1", MachineState::Down, None)], true, BootTime(at));
        assert!(hosts.departure("w-1").is_none(), "before the worker was shown");
    }
    for at in 4..6 {
        let hosts = reader.read(&[up("m-1", "w-0")], true, BootTime(at));
        assert!(hosts.departure("w-1").is_none(), "while its predecessor is shown");
    }
    reader.read(&[up("m-1", "w-1")], true, BootTime(6));
    let hosts = reader.read(&[up("m-1", "w-0")], true, BootTime(7));
    assert!(hosts.departure("w-1").is_none(), "an older listing after a newer one");
    for at in [8, 10_006] {
        let hosts = reader.read(&[row("m-1", MachineState::Down, None)], true, BootTime(at));
        assert!(hosts.departure("w-1").is_none(), "soon after listings out of order");
    }
    let hosts = reader.read(&[row("m-1", MachineState::Down, None)], true, BootTime(10_007));
    assert!(hosts.departure("w-1").is_some());
}

/// Guards against one machine whose listings are out of order and that hides the ends of all others.
#[test]
fn listings_out_of_order_affect_one_machine() {
    let mut reader = HostReader::default();
    for (at, worker) in [(1, "w-1"), (2, "w-0"), (3, "w-1")] {
        reader.read(&[up("m-1", worker), up("m-2", "w-2")], true, BootTime(at));
    }
    let down = row("m-2", MachineState::Down, None);
    let hosts = reader.read(&[up("m-1", "w-0"), down], true, BootTime(4));
    assert!(hosts.departure("w-2").is_some());
    assert!(hosts.departure("w-1").is_none());
}

/// Guards against the end of a worker by the row of a machine on which it was not shown last.
#[test]
fn former_machine_of_a_worker_proves_nothing() {
    let mut reader = reader();
    let moved = [row("m-1", MachineState::Up, None), up("m-3", "w-1")];
    reader.read(&moved, true, BootTime(2));
    let hosts = reader.read(&[row("m-1", MachineState::Down, None)], true, BootTime(3));
    assert!(hosts.departure("w-1").is_none());
}

/// Guards against memory that grows with each worker that a machine has hosted.
#[test]
fn reader_remembers_two_workers_of_a_machine() {
    let mut reader = HostReader::default();
    for number in 0..1_000 {
        reader.read(&[up("m-1", &format!("w-{number}"))], true, BootTime(number));
    }
    let known = (0..1_000).filter(|number| reader.has_shown(&format!("w-{number}"))).count();
    assert_eq!(known, 2);
    reader.read(&[up("m-2", "other")], true, BootTime(700_000));
    assert!(!reader.has_shown("w-999"));
}

/// Returns a listing that shows the machine of a worker as down, after one that showed the worker.
fn departed(worker: &str) -> Hosts {
    let mut reader = HostReader::default();
    reader.read(&[up("m-1", worker)], true, BootTime(0));
    reader.read(&[row("m-1", MachineState::Down, None)], true, BootTime(0))
}

/// Guards against a second run of a task whose start the next incarnation of its worker carried out: a
/// listing that showed the end of the former one ended the run.
#[test]
fn run_that_no_list_has_shown_is_kept_when_its_worker_has_departed() {
    let mut cluster = TestCluster::new(&[4, 4]);
    cluster.admit(1, job(vec![step(1, 1)]));
    cluster.run_pass();
    cluster.apply_run_lists();
    let key = cluster.workers_running(task(1, 0, 0))[0];
    let name = cluster.sched.worker(key).unwrap().name.to_string();
    // A start that was answered by a clock that starts anew, and one that was not answered.
    cluster.admit(2, job(vec![step(6, 1)]));
    cluster.run_pass();
    let sent = cluster.workers[&key].running.len() - 1;
    assert!(sent > 0);
    let now = cluster.now;
    for index in 0..6 {
        cluster.sched.record_start_clock(key, task(2, 0, index), 1, 0, now);
    }
    assert!(cluster.sched.record_list_failure(key, now, false, now));
    let (hosts, at) = (departed(&name), now.plus_ms(1));
    assert!(cluster.sched.remove_unhosted_workers(&hosts, at, at, SETTLED));
    assert_eq!(cluster.sched.worker(key).unwrap().run_count(), sent);
    assert!(!cluster.sched.remove_unhosted_workers(&hosts, at, at, SETTLED), "the rest stays");
}

/// Guards against a crashed worker that is given up only when its leases have expired, and against
/// one that is given up although it answers, has answered since, or may have started after the listing.
#[test]
fn only_silent_and_settled_workers_are_given_up() {
    let mut cluster = TestCluster::new(&[1, 1]);
    cluster.admit(1, job(vec![step(2, 1)]));
    cluster.run_pass();
    cluster.apply_run_lists();
    let key = cluster.workers_running(task(1, 0, 0))[0];
    let name = cluster.sched.worker(key).unwrap().name.to_string();
    let hosts = departed(&name);
    let now = cluster.now;
    assert!(!cluster.sched.remove_unhosted_workers(&hosts, now, now, SETTLED), "it answers");
    assert!(cluster.sched.record_list_failure(key, now, true, now));
    let mut given_up = |hosts: &Hosts, requested_at, wall| {
        cluster.sched.remove_unhosted_workers(hosts, requested_at, now, wall)
    };
    assert!(!given_up(&Hosts::default(), now.plus_ms(1), SETTLED), "nothing is listed");
    assert!(!given_up(&hosts, BootTime(0), SETTLED), "it has answered since");
    let born = INCARNATION.unwrap();
    assert!(!given_up(&hosts, now.plus_ms(1), WallTime(born + 9_999)), "it may be younger");
    assert!(given_up(&hosts, now.plus_ms(1), WallTime(born + 10_000)));
    assert!(cluster.sched.worker(key).is_none());
    assert!(!cluster.sched.has_silent_runs());
}
