//! Workers that are cut off while they run tasks: are these started elsewhere although they still run?
//!
//! A cell of the matrix is what callers of two of eight workers meet, for how long, and what else fails meanwhile. The
//! verdict depends only on what the workers and callers saw; the causes that the VMs logged are shown beside it.
//!
//! `CUTS=all cargo test -p coriandertackd --test platform cuts -- --nocapture` plays the whole matrix and prints a table.
//! Any other value of `CUTS` selects the cells whose names contain it, `CUTS_PLAYS` plays each that often, and
//! `CUTS_JOBS` sets how many clusters play at a time, with three processes each. `VM_PROGRAM` plays another version (see
//! [`crate::cluster`]).

mod matrix;
mod report;

use std::{
    any::Any,
    collections::BTreeMap,
    env,
    panic::{AssertUnwindSafe, catch_unwind},
    sync::Mutex,
    thread,
    time::Duration,
};

use {
    coriandertack_standins::platform::{link::Link, machines, store},
    nix::sys::signal::Signal,
    tokio::{
        runtime,
        time::{Instant, sleep, sleep_until, timeout},
    },
};

use self::{
    matrix::{Cell, Event, Former, Restart, all_cells, short_cells, timeline},
    report::{Outcome, describe, log_text, table_row},
};
use crate::cluster::{Cluster, unix_ms};

const VMS: usize = 3;

/// Workers that stay reachable, and those that are cut off. Worker `n` runs on machine `m-n`.
const REACHABLE: usize = 6;
const CUT: [usize; 2] = [6, 7];

/// Duration of the longest tasks, which outlast a lease, in milliseconds.
const LONG_RUN_MS: u64 = 9_000;

/// Number of jobs submitted before a cut, by the duration of their tasks.
const JOBS: [(usize, u64); 3] = [(10, LONG_RUN_MS), (6, 3_000), (8, 1_000)];

/// Maximum number of further jobs that are submitted until the workers that are cut off have long tasks.
const EXTRA_JOBS: usize = 30;

/// Time for which callers wait that submit jobs around a cut, in milliseconds.
const CALLER_WAIT_MS: u64 = 500;

/// Maximum time between the restart of a worker and its cut.
const RESTART_LEAD: Duration = Duration::from_millis(800);

/// Default number of clusters that play at a time.
const PARALLEL: usize = 9;

/// Time in which a leader lists the machines after workers have joined.
const LISTING_TIME: Duration = Duration::from_millis(1_500);

/// Time-out of a play.
const PLAY_TIME: Duration = Duration::from_secs(180);

/// Time in which all jobs must be completed after a cut.
const FINISH_TIME: Duration = Duration::from_secs(60);

/// Restarts the workers that are cut off, and writes the entry of the first.
fn restart_workers(cluster: &Cluster) {
    for index in CUT {
        cluster.workers[index].restart(unix_ms());
    }
    cluster.publish_entry(CUT[0]);
}

/// Restarts the workers that are cut off, and submits jobs until one of them runs in the new incarnation, which the
/// leader has not seen yet. Returns the accepted jobs.
async fn restart_and_start(cluster: &mut Cluster) -> Vec<String> {
    let restarted_at = Instant::now();
    CUT.iter().for_each(|index| cluster.workers[*index].set_link(Link::Renewed));
    restart_workers(cluster);
    let mut jobs = Vec::new();
    while restarted_at.elapsed() < RESTART_LEAD {
        for vm in 0..VMS {
            jobs.extend(cluster.submit_running(vm, LONG_RUN_MS, CALLER_WAIT_MS).await);
        }
        sleep(Duration::from_millis(20)).await;
        let mut runs = CUT.iter().flat_map(|index| cluster.workers[*index].recorded_runs());
        if runs.any(|run| run.began > restarted_at) {
            break;
        }
    }
    jobs
}

async fn play(cell: &Cell) -> Outcome {
    let mut cluster = Cluster::start(VMS, REACHABLE).await;
    let machines = CUT.map(|index| format!("m-{index}"));
    for machine in &machines {
        match cell.beside.former {
            Former::Nothing => {}
            Former::Worker => cluster.machines.host_worker(machine, &format!("{machine}-former")),
            Former::Down => cluster.machines.break_down(machine),
        }
        cluster.machines.distort(machine);
    }
    sleep(Duration::from_millis(cell.beside.machines.lag_ms)).await;
    if !cell.beside.late {
        cluster.machines.fail(cell.beside.machines);
    }
    for _ in CUT {
        cluster.add_worker().await;
    }
    let mut jobs = submit_until_busy(&mut cluster).await;
    if cell.beside.late {
        sleep(LISTING_TIME).await;
    }
    let leader = cluster.leader().await;
    if cell.kind.restart == Restart::Before {
        jobs.extend(restart_and_start(&mut cluster).await);
    }
    let began = Instant::now();
    for index in CUT {
        cluster.workers[index].set_link(cell.kind.link);
    }
    cluster.machines.fail(cell.beside.machines);
    cluster.store.fail(cell.beside.store);
    let later = play_events(&mut cluster, cell, leader, began).await;
    cluster.store.fail(store::Faults::default());
    cluster.machines.fail(machines::Faults::default());
    cluster.signal(leader, Signal::SIGCONT);
    cluster.start_stopped();
    jobs.extend(later);
    let mut broken = unfinished_jobs(&cluster, jobs).await;
    cluster.check_starts();
    broken.extend(cluster.double_runs().iter().map(|pair| describe(&cluster, pair, began)));
    Outcome { broken, evidence: cluster.lost_workers() }
}

/// Waits until each job is completed, and describes those that failed or were not completed in time.
async fn unfinished_jobs(cluster: &Cluster, jobs: Vec<String>) -> Vec<String> {
    let deadline = Instant::now() + FINISH_TIME;
    let mut unfinished = Vec::new();
    for job in jobs {
        let state = loop {
            match cluster.final_state(&job).await {
                None if Instant::now() < deadline => sleep(Duration::from_millis(50)).await,
                state => break state.unwrap_or_else(|| String::from("not completed in time")),
            }
        };
        if state != "completed" {
            let lines = cluster.log_lines(|line| line.contains(&job));
            unfinished.push(format!("  job {job} is {state}\n{}", log_text(lines)));
        }
    }
    unfinished
}

/// Submits jobs until each worker that is to be cut off runs a long task, and returns the accepted ones.
async fn submit_until_busy(cluster: &mut Cluster) -> Vec<String> {
    let mut jobs = Vec::new();
    for (count, run_ms) in JOBS {
        for index in 0..count {
            jobs.extend(cluster.submit_running(index % VMS, run_ms, 2_000).await);
        }
    }
    jobs.extend(cluster.submit(4).await);
    let is_busy = |cluster: &Cluster, index: usize| {
        let runs = cluster.workers[index].recorded_runs();
        runs.iter().any(|run| run.ended.is_none() && run.run_ms == LONG_RUN_MS)
    };
    for _ in 0..EXTRA_JOBS {
        sleep(Duration::from_millis(100)).await;
        if CUT.iter().all(|index| is_busy(cluster, *index)) {
            return jobs;
        }
        jobs.extend(cluster.submit_running(0, LONG_RUN_MS, 2_000).await);
    }
    panic!("no long task runs on a worker that is to be cut off");
}

/// Lets happen what belongs to a cut, and returns the jobs that were accepted meanwhile.
async fn play_events(
    cluster: &mut Cluster,
    cell: &Cell,
    leader: usize,
    began: Instant,
) -> Vec<String> {
    let mut jobs = Vec::new();
    for (at_ms, event) in timeline(cell) {
        sleep_until(began + Duration::from_millis(at_ms)).await;
        match event {
            Event::Submit => {
                let vm = (leader + 1) % VMS;
                jobs.extend(cluster.submit_running(vm, 1_000, CALLER_WAIT_MS).await);
            }
            Event::SignalLeader(signal) => cluster.signal(leader, signal),
            Event::ResumeLeader => cluster.signal(leader, Signal::SIGCONT),
            Event::StoreReturns => cluster.store.fail(store::Faults::default()),
            Event::Restart => restart_workers(cluster),
            Event::EntryLapses => cluster.withdraw_entry(CUT[1]),
            Event::Reconnect => {
                for index in CUT {
                    cluster.workers[index].set_link(Link::Open);
                    cluster.publish_entry(index);
                }
            }
        }
    }
    jobs
}

/// Plays a cell on a runtime of its own. A check that fails counts as broken.
fn play_alone(cell: &Cell) -> Outcome {
    let runtime = runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let work = async { timeout(PLAY_TIME, play(cell)).await.expect("the play takes too long") };
    let played = catch_unwind(AssertUnwindSafe(|| runtime.block_on(work)));
    played.unwrap_or_else(|panic| Outcome {
        broken: vec![format!("  {}\n", panic_message(&*panic))],
        ..Outcome::default()
    })
}

fn panic_message(panic: &(dyn Any + Send)) -> &str {
    let text = panic.downcast_ref::<String>().map(String::as_str);
    text.or_else(|| panic.downcast_ref::<&str>().copied()).unwrap_or("the play panicked")
}

fn env_count(name: &str, default: usize) -> usize {
    env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Guards against tasks that are started elsewhere while a worker that is cut off still runs them.
#[test]
fn tasks_of_workers_that_are_cut_off_run_once() {
    let selected = env::var("CUTS").ok();
    let cells = match selected.as_deref() {
        None => short_cells(),
        Some("all") => all_cells(),
        Some(part) => all_cells().into_iter().filter(|cell| cell.name().contains(part)).collect(),
    };
    assert!(!cells.is_empty(), "no cell has a name that contains {selected:?}");
    let plays = env_count("CUTS_PLAYS", 1);
    let mut waiting: Vec<usize> = (0..cells.len()).flat_map(|n| vec![n; plays]).rev().collect();
    let parallel = env_count("CUTS_JOBS", PARALLEL).min(waiting.len());
    let (next, outcomes) = (Mutex::new(&mut waiting), Mutex::new(BTreeMap::new()));
    thread::scope(|scope| {
        for _ in 0..parallel {
            scope.spawn(|| {
                loop {
                    let Some(n) = next.lock().unwrap().pop() else { return };
                    let outcome = play_alone(&cells[n]);
                    if !outcome.broken.is_empty() {
                        println!("{} is broken\n{}", cells[n].name(), outcome.broken.concat());
                    }
                    outcomes.lock().unwrap().entry(n).or_insert_with(Vec::new).push(outcome);
                }
            });
        }
    });
    let outcomes: BTreeMap<usize, Vec<Outcome>> = outcomes.into_inner().unwrap();
    println!(
        "| cell | plays | broken | findings | workers given up |\n| --- | --- | --- | --- | --- |"
    );
    for (n, outcomes) in &outcomes {
        println!("{}", table_row(&cells[*n].name(), outcomes));
    }
    let is_broken = |outcomes: &[Outcome]| outcomes.iter().any(|played| !played.broken.is_empty());
    let broken = outcomes.iter().filter(|(_, outcomes)| is_broken(outcomes));
    let broken: Vec<String> = broken.map(|(n, _)| cells[*n].name()).collect();
    assert_eq!(broken, Vec::<String>::new());
}
