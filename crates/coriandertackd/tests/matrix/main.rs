//! Fault matrix: injects every fault at every step of a scenario.
//!
//! Three VMs run the product's home, owner, recovery and membership tasks in virtual time. The log, the links and the
//! workers are simulated behind the product's channels. The scenario passes through every step, and one fault is
//! injected when the step of the cell is reached. At the end, the log and the workers' own records are audited. A
//! failure names the cell: fault, step and seed. docs/FAULTS.md has the table.

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

/// Seeds with which each cell is run.
const SEEDS: [u64; 2] = [1, 2];

/// Threads that run cells concurrently. Each cell has a runtime of its own.
const THREADS: usize = 4;

/// Runs one cell in virtual time and returns the violations that it found.
fn run(fault: Fault, step: Step, seed: u64) -> Vec<String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime");
    runtime.block_on(scenario::run(fault, step, seed))
}

/// Guards against guarantees that break under a single fault, whichever step it coincides with: lost or duplicated
/// work, overcommitted workers, incorrect charges and settings that revert.
#[test]
fn every_fault_at_every_step() {
    let cells: Vec<(Fault, Step, u64)> = Fault::ALL
        .iter()
        .flat_map(|&fault| Step::ALL.iter().map(move |&step| (fault, step)))
        .flat_map(|(fault, step)| SEEDS.map(|seed| (fault, step, seed)))
        .filter(|(fault, step, seed)| is_selected(&format!("{fault:?}/{step:?}/{seed}")))
        .collect();
    let next = AtomicUsize::new(0);
    let failed = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                while let Some(&(fault, step, seed)) =
                    cells.get(next.fetch_add(1, Ordering::SeqCst))
                {
                    let violations = run(fault, step, seed);
                    if !violations.is_empty() {
                        let cell = format!(
                            "{fault:?} at {step:?}, seed {seed}: {}",
                            violations.join("; ")
                        );
                        failed.lock().expect("no panic while locked").push(cell);
                    }
                }
            });
        }
    });
    let mut failed = failed.into_inner().expect("no panic while locked");
    failed.sort();
    println!("{} cells run", cells.len());
    assert!(
        failed.is_empty(),
        "{} of {} cells failed:\n{}",
        failed.len(),
        cells.len(),
        failed.join("\n")
    );
}

/// Guards against running services that stop, or whose leases are no longer renewed, during a long outage of the log.
#[test]
fn running_services_survive_an_hour_long_log_outage() {
    assert_eq!(run(Fault::LogDownForAnHour, Step::Renew, 1), [] as [String; 0]);
}

/// Returns whether a cell is selected. `MATRIX_CELL` selects the cells whose name contains it; unset, it selects all.
fn is_selected(cell: &str) -> bool {
    std::env::var("MATRIX_CELL").map_or(true, |part| cell.contains(&part))
}
