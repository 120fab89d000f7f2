//! Workers that are cut off while they run tasks: are these started elsewhere although they still run?
//!
//! A cell of the matrix is what callers of two of eight workers meet, for how long, and what else fails meanwhile. The
//! verdict depends only on what the workers and callers saw; the causes that the VMs logged are shown beside it.
//!
//! `CUTS=all cargo test -p coriandertackd --test platform cuts -- --nocapture` plays the whole matrix and prints a table.
//! Any other value of `CUTS` selects the cells whose names contain it, `CUTS_PLAYS` plays each that often, and
//! `CUTS_JOBS` sets how many clusters play at a time, with three processes each. `VM_PROGRAM` plays another version (see
//! [`crate::cluster`]).

use std::{
    any::Any,
    collections::BTreeMap,
    env,
    fmt::Write,
    panic::{AssertUnwindSafe, catch_unwind},
    sync::Mutex,
    thread,
    time::Duration,
};

use {
    coriandertack_standins::platform::{
        link::Link,
        machines::{self, RowFault},
        store,
        worker::RecordedRun,
    },
    nix::sys::signal::Signal,
    tokio::{
        runtime,
        time::{Instant, sleep, sleep_until},
    },
};

use crate::cluster::Cluster;

const VMS: usize = 3;

/// Workers that stay reachable, and those that are cut off. Worker `n` runs on machine `m-n`.
const REACHABLE: usize = 6;
const CUT: [usize; 2] = [6, 7];

/// Durations of a cut, in milliseconds: shorter and longer than a lease.
const LENGTHS_MS: [u64; 2] = [2_000, 8_000];

/// Duration of the longest tasks, which outlast a lease, in milliseconds.
const LONG_RUN_MS: u64 = 9_000;

/// Number of jobs submitted before a cut, by the duration of their tasks.
const JOBS: [(usize, u64); 3] = [(10, LONG_RUN_MS), (6, 3_000), (8, 1_000)];

/// Maximum number of further jobs that are submitted until the workers that are cut off have long tasks.
const EXTRA_JOBS: usize = 30;

/// Moments of a cut at which a caller submits a job, in milliseconds.
const SUBMISSIONS_MS: [u64; 4] = [200, 1_100, 2_600, 5_000];

/// Time for which these callers wait, in milliseconds.
const CALLER_WAIT_MS: u64 = 500;

/// Maximum time between the restart of a worker and its cut.
const RESTART_LEAD: Duration = Duration::from_millis(800);

/// Time for which the leader is paused, and for which the store is silent, in milliseconds.
const PAUSE_MS: u64 = 2_500;
const STORE_SILENCE_MS: u64 = 3_000;

/// Time after which the entry of a worker lapses that cannot reach the store either, in milliseconds.
const LAPSE_MS: u64 = 3_000;

/// Age of the listings of a machine API that lags, in milliseconds. Workers join later than that before they are cut off.
const LAG_MS: u64 = 6_000;

/// Default number of clusters that play at a time.
const PARALLEL: usize = 8;

/// Time in which all jobs must be completed after a cut.
const FINISH_TIME: Duration = Duration::from_secs(60);

/// Maximum number of log lines that are printed for a job that failed or a task that ran twice.
const MAX_LINES: usize = 60;

/// When a worker starts again under its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Restart {
    Never,
    /// Shortly before the cut, so that a start for its former incarnation may reach it.
    Before,
    /// Behind the cut.
    Behind,
}

/// What callers of the workers meet.
#[derive(Clone, Copy, Debug)]
struct Kind {
    name: &'static str,
    link: Link,
    restart: Restart,
}

const KINDS: [Kind; 11] = [
    Kind { name: "refuse", link: Link::Refuse, restart: Restart::Never },
    Kind { name: "reset", link: Link::Reset, restart: Restart::Never },
    Kind { name: "close", link: Link::Close, restart: Restart::Never },
    Kind { name: "silent", link: Link::Silent, restart: Restart::Never },
    Kind { name: "lost-answers", link: Link::LostAnswers, restart: Restart::Never },
    Kind { name: "full", link: Link::Full, restart: Restart::Never },
    Kind { name: "half-silent", link: Link::HalfSilent, restart: Restart::Never },
    Kind { name: "half-reset", link: Link::HalfReset, restart: Restart::Never },
    Kind { name: "reborn", link: Link::Refuse, restart: Restart::Behind },
    Kind { name: "reborn-before", link: Link::Silent, restart: Restart::Before },
    Kind { name: "reborn-half", link: Link::HalfSilent, restart: Restart::Before },
];

/// What the machines of the workers had before the workers joined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Former {
    Nothing,
    Worker,
    Down,
}

/// What else fails during a cut.
#[derive(Clone, Copy, Debug)]
struct Beside {
    name: &'static str,
    leader: Option<Signal>,
    store: store::Faults,
    machines: machines::Faults,
    former: Former,
}

impl Beside {
    fn new(name: &'static str) -> Self {
        Self {
            name,
            leader: None,
            store: store::Faults::default(),
            machines: machines::Faults::default(),
            former: Former::Nothing,
        }
    }

    fn machines(name: &'static str, machines: machines::Faults) -> Self {
        Self { machines, ..Self::new(name) }
    }

    fn row(name: &'static str, fault: RowFault) -> Self {
        Self::machines(name, machines::Faults { row: Some(fault), ..Default::default() })
    }

    fn lag(name: &'static str, former: Former) -> Self {
        let lagging = machines::Faults { lag_ms: LAG_MS, ..Default::default() };
        Self { former, ..Self::machines(name, lagging) }
    }
}

/// Returns what may fail beside a cut, except for the machine API.
fn events() -> Vec<Beside> {
    let silent = store::Faults { silent: true, ..Default::default() };
    vec![
        Beside::new("alone"),
        Beside { leader: Some(Signal::SIGKILL), ..Beside::new("leader-killed") },
        Beside { leader: Some(Signal::SIGSTOP), ..Beside::new("leader-paused") },
        Beside { store: silent, ..Beside::new("store-silent") },
    ]
}

/// Returns the faults of the machine API.
fn listings() -> Vec<Beside> {
    let faults = machines::Faults::default;
    vec![
        Beside::machines("machines-down", machines::Faults { down: true, ..faults() }),
        Beside::machines("machines-silent", machines::Faults { silent: true, ..faults() }),
        Beside::machines("machines-empty", machines::Faults { empty: true, ..faults() }),
        Beside::lag("lag-no-row", Former::Nothing),
        Beside::lag("lag-former-worker", Former::Worker),
        Beside::lag("lag-down", Former::Down),
        Beside::row("row-missing", RowFault::Missing),
        Beside::row("row-unknown-state", RowFault::UnknownState),
        Beside::row("row-null-id", RowFault::NullId),
        Beside::row("row-number-id", RowFault::NumberId),
        Beside::row("row-empty-id", RowFault::EmptyId),
        Beside::row("row-former-id", RowFault::FormerId),
        Beside::row("row-doubled", RowFault::Doubled),
    ]
}

#[derive(Clone, Copy, Debug)]
struct Cell {
    kind: Kind,
    length_ms: u64,
    beside: Beside,
}

impl Cell {
    fn name(&self) -> String {
        format!("{}/{}ms/{}", self.kind.name, self.length_ms, self.beside.name)
    }
}

fn all_cells() -> Vec<Cell> {
    let mut cells = Vec::new();
    for kind in KINDS {
        for length_ms in LENGTHS_MS {
            let besides = events().into_iter().chain(listings());
            cells.extend(besides.map(|beside| Cell { kind, length_ms, beside }));
        }
    }
    cells
}

/// Returns cells that contain each kind and each fault at least once.
fn short_cells() -> Vec<Cell> {
    // Listings count only while a worker does not answer at all.
    let (cut, partly) = KINDS.split_at(6);
    let of_events = partly.iter().zip(events().into_iter().cycle());
    let of_listings = cut.iter().cycle().zip(listings());
    let cells = of_events.chain(of_listings).map(|(&kind, beside)| {
        // The lease of a worker that starts again counts only in a cut that is longer.
        let longest = kind.restart == Restart::Before;
        Cell { kind, length_ms: LENGTHS_MS[usize::from(longest)], beside }
    });
    cells.collect()
}

/// What a play showed.
#[derive(Debug, Default)]
struct Outcome {
    /// Descriptions of the tasks that ran twice, and of what failed otherwise.
    broken: Vec<String>,
    /// Workers that the VMs gave up, by the cause that they logged.
    evidence: BTreeMap<String, usize>,
}

/// Something that happens during a cut.
#[derive(Clone, Copy, Debug)]
enum Event {
    Submit,
    SignalLeader(Signal),
    ResumeLeader,
    StoreReturns,
    Restart,
    EntryLapses,
    Reconnect,
}

/// Returns what happens during the cut of a cell, with the milliseconds since it began.
fn timeline(cell: &Cell) -> Vec<(u64, Event)> {
    let mut events = vec![(cell.length_ms, Event::Reconnect)];
    let submissions = SUBMISSIONS_MS.iter().filter(|at_ms| **at_ms < cell.length_ms);
    events.extend(submissions.map(|at_ms| (*at_ms, Event::Submit)));
    events.extend(cell.beside.leader.map(|signal| (300, Event::SignalLeader(signal))));
    if cell.beside.leader == Some(Signal::SIGSTOP) {
        events.push((300 + PAUSE_MS, Event::ResumeLeader));
    }
    if cell.beside.store.silent {
        events.push((STORE_SILENCE_MS, Event::StoreReturns));
    }
    if cell.kind.restart == Restart::Behind {
        events.push((cell.length_ms / 2, Event::Restart));
    }
    if cell.length_ms > LAPSE_MS {
        events.push((LAPSE_MS, Event::EntryLapses));
    }
    events.sort_by_key(|(at_ms, _)| *at_ms);
    events
}

/// Restarts the workers that are cut off, and writes the entry of the first.
fn restart_workers(cluster: &Cluster) {
    for index in CUT {
        cluster.workers[index].restart(9_000 + index as u64);
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
    cluster.machines.fail(cell.beside.machines);
    for _ in CUT {
        cluster.add_worker().await;
    }
    let mut jobs = submit_until_busy(&mut cluster).await;
    let leader = cluster.leader().await;
    if cell.kind.restart == Restart::Before {
        jobs.extend(restart_and_start(&mut cluster).await);
    }
    let began = Instant::now();
    for index in CUT {
        cluster.workers[index].set_link(cell.kind.link);
    }
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

/// Returns the first of some log lines as an indented text.
fn log_text(lines: Vec<(usize, String)>) -> String {
    lines.iter().take(MAX_LINES).map(|(vm, line)| format!("    vm-{vm}: {line}\n")).collect()
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

/// Describes two runs of a task, with the log lines that name the task, or one of the two workers without a task.
fn describe(cluster: &Cluster, pair: &[RecordedRun; 2], cut_at: Instant) -> String {
    let offset = |at: Instant| {
        let late = at.saturating_duration_since(cut_at).as_millis() as i64;
        late - cut_at.saturating_duration_since(at).as_millis() as i64
    };
    let mut text = format!("  {} ran twice (milliseconds since the cut):\n", pair[0].task);
    for run in pair {
        let ended = run.ended.map_or_else(|| String::from("-"), |at| offset(at).to_string());
        let _infallible = writeln!(
            text,
            "    attempt {} on {}: {} to {ended}, {}, acknowledged {}",
            run.attempt,
            run.worker,
            offset(run.began),
            run.cause,
            run.acknowledged
        );
    }
    let workers = [0, 1].map(|n| format!("worker={} ", pair[n].worker));
    let names = |line: &str| {
        let of_worker = workers.iter().any(|worker| line.contains(worker));
        line.contains(&pair[0].task) || of_worker && !line.contains(" task=")
    };
    text + &log_text(cluster.log_lines(names))
}

/// Plays a cell on a runtime of its own. A check that fails counts as broken.
fn play_alone(cell: &Cell) -> Outcome {
    let runtime = runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let played = catch_unwind(AssertUnwindSafe(|| runtime.block_on(play(cell))));
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

fn table_row(name: &str, outcomes: &[Outcome]) -> String {
    let broken = outcomes.iter().filter(|outcome| !outcome.broken.is_empty()).count();
    let pairs: usize = outcomes.iter().map(|outcome| outcome.broken.len()).sum();
    let mut evidence: BTreeMap<&str, usize> = BTreeMap::new();
    for (cause, count) in outcomes.iter().flat_map(|outcome| &outcome.evidence) {
        *evidence.entry(cause).or_default() += count;
    }
    let evidence: Vec<_> = evidence.iter().map(|(cause, n)| format!("{cause} {n}")).collect();
    let plays = outcomes.len();
    format!("| {name} | {plays} | {broken} | {pairs} | {} |", evidence.join(", "))
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
