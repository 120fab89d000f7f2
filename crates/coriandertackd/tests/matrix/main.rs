//! The fault matrix: every fault at every step, on the product's own roles.
//!
//! Three VMs run the product's home, owner, recovery and membership tasks. The log, the links and the workers
//! are small fakes at the channels, all in virtual time. A scenario passes through every step; when a step is
//! reached, one fault strikes. At the end the log and the workers' own records are audited. The verdict names
//! the cell that failed. docs/FAULTS.md has the table.

mod audit;
mod faults;
mod link;
mod log;
mod scenario;
mod worker;
mod world;

use std::{
    sync::{
        Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
};

use self::{faults::Fault, scenario::Step};

/// Seeds of each cell.
const SEEDS: [u64; 2] = [1, 2];

/// Threads that run cells; each cell has a runtime of its own.
const THREADS: usize = 4;

/// Runs one cell in virtual time and returns what it found wrong.
fn run(fault: Fault, step: Step, seed: u64) -> Vec<String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime");
    runtime.block_on(scenario::run(fault, step, seed))
}

/// Guards against any promise that breaks when some fault strikes at some step.
#[test]
fn every_fault_at_every_step() {
    let cells: Vec<(Fault, Step, u64)> = Fault::ALL
        .iter()
        .flat_map(|&fault| Step::ALL.iter().map(move |&step| (fault, step)))
        .flat_map(|(fault, step)| SEEDS.map(|seed| (fault, step, seed)))
        .filter(|(fault, step, seed)| wanted(&format!("{fault:?}/{step:?}/{seed}")))
        .collect();
    let next = AtomicUsize::new(0);
    let failed = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                while let Some(&(fault, step, seed)) =
                    cells.get(next.fetch_add(1, Ordering::SeqCst))
                {
                    let wrong = run(fault, step, seed);
                    if !wrong.is_empty() {
                        let cell =
                            format!("{fault:?} at {step:?}, seed {seed}: {}", wrong.join("; "));
                        failed.lock().expect("no panic while locked").push(cell);
                    }
                }
            });
        }
    });
    let mut failed = failed.into_inner().expect("no panic while locked");
    failed.sort();
    println!("{} cells", cells.len());
    assert!(failed.is_empty(), "{} of {} cells:\n{}", failed.len(), cells.len(), failed.join("\n"));
}

/// Guards against running work, or its renewal, that ends with a long outage of the log.
#[test]
fn running_services_outlast_an_hour_without_the_log() {
    assert_eq!(run(Fault::LogDownForAnHour, Step::Renew, 1), [] as [String; 0]);
}

/// Tells whether a cell is to be run: all of them, or those that `MATRIX_CELL` is part of.
fn wanted(cell: &str) -> bool {
    std::env::var("MATRIX_CELL").map_or(true, |part| cell.contains(&part))
}
