//! Planning of maintenance waves: which machines go down next, and when a wave is complete.
//!
//! Operators request upkeep for a set of machines, with a limit on how many may be down at once.
//! Upkeep ends everything that runs on a machine, so its worker is evacuated first. Repeating an
//! order for a machine that already had its upkeep has no effect, so an unanswered order is
//! repeated until the upkeep is known to have begun.
//!
//! ```
//! use coriandertack_jobs::{
//!     boot_time::BootTime,
//!     maintenance::{Machine, MachineState, MaintenancePlanner, MaintenanceWave},
//! };
//!
//! let mut planner = MaintenancePlanner::default();
//! let machines = vec!["m-1".into(), "m-2".into()];
//! planner.add_wave(MaintenanceWave { number: 1, machines, deadline: BootTime(20_000), max_down: 1 });
//! let up = |id: &str| Machine { id: id.into(), state: MachineState::Up, worker: None };
//! planner.update_machines(&[up("m-1"), up("m-2")], true, BootTime(5));
//! assert_eq!(planner.due_machines(BootTime(10)).len(), 1);
//! ```

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    sync::Arc,
};

use derive_more::Display;

use crate::boot_time::BootTime;

/// Assumed time for which a machine is down for its upkeep, in milliseconds. The platform specifies
/// 2 s (`maintenance-s`), and a listing shows the end half a second later.
const ASSUMED_UPKEEP_MS: u64 = 2_500;

/// Time after which the upkeep of a machine that is no longer listed counts as over, in milliseconds.
const MAX_UPKEEP_MS: u64 = 4 * ASSUMED_UPKEEP_MS;

/// A wave of upkeep that operators requested.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MaintenanceWave {
    /// Number of the wave.
    pub number: u64,
    /// IDs of the machines that are to have their upkeep.
    pub machines: Vec<Arc<str>>,
    /// Time by which all machines should have had their upkeep.
    pub deadline: BootTime,
    /// Maximum number of machines that may be down at once; 0 is treated as 1.
    pub max_down: u32,
}

/// State of a machine in the platform's listing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum MachineState {
    /// The machine runs a worker.
    #[display("up")]
    Up,
    /// The machine is moving to another pool.
    #[display("moving")]
    Moving,
    /// The machine is down for upkeep.
    #[display("upkeep")]
    Upkeep,
    /// The machine is switched off.
    #[display("down")]
    Down,
}

/// A machine in the platform's listing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Machine {
    /// ID, which never changes.
    pub id: Arc<str>,
    /// Current state.
    pub state: MachineState,
    /// Name of the worker on the machine; `None` if there is none.
    pub worker: Option<Arc<str>>,
}

/// Outcome of an upkeep order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum MaintenanceOutcome {
    /// The upkeep has begun, now or earlier.
    #[display("begun")]
    Begun,
    /// The order was not accepted for now: the machine is not up, or the platform accepts no more
    /// orders.
    #[display("busy")]
    Busy,
    /// The order can never be accepted: the machine does not exist or is not part of the wave.
    #[display("refused")]
    Refused,
    /// A holder of a higher fencing token has given orders.
    #[display("fenced")]
    Fenced,
    /// There was no answer. The order may be carried out now or later.
    #[display("unanswered")]
    Unanswered,
}

/// What still runs on a worker that is being evacuated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Occupancy {
    /// Nothing runs.
    Empty,
    /// Work that ends by itself. Ending it early wastes the work since its last checkpoint.
    Batch,
    /// Long-running tasks that may not become unavailable at present.
    Serving,
}

/// Report on a wave to operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaveReport {
    /// Number of the wave.
    pub wave: u64,
    /// Whether every machine that still exists has had its upkeep.
    pub completed: bool,
    /// Machines that have had their upkeep or do not exist.
    pub done: Vec<Arc<str>>,
}

/// A machine whose worker should be evacuated and which should then be ordered down.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DueMachine {
    /// Number of the wave.
    pub wave: u64,
    /// ID of the machine.
    pub machine: Arc<str>,
    /// Name of the machine's worker; `None` if there is none.
    pub worker: Option<Arc<str>>,
    /// Whether an order with an unknown outcome was sent. It is repeated whatever still runs on the
    /// machine.
    pub sent: bool,
    /// Whether the deadline requires that unfinished work is ended.
    pub forced: bool,
}

/// Progress of one machine of a wave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum MachineStage {
    Pending,
    /// The worker is being evacuated.
    Draining,
    /// An order was sent whose outcome is unknown.
    Ordered,
    /// The upkeep began before this time.
    Begun(BootTime),
    Done,
}

#[derive(Clone, Debug)]
struct WaveProgress {
    wave: MaintenanceWave,
    stages: BTreeMap<Arc<str>, MachineStage>,
    /// The last report that was stored.
    last_report: Option<WaveReport>,
}

/// Planner for the upkeep of all open waves.
#[derive(Clone, Debug, Default)]
pub struct MaintenancePlanner {
    waves: BTreeMap<u64, WaveProgress>,
    /// Numbers of completed waves.
    completed: HashSet<u64>,
    /// Last known row of each machine.
    machines: HashMap<Arc<str>, Machine>,
    /// Machines of the last listing.
    listed: HashSet<Arc<str>>,
    listed_at: Option<BootTime>,
    /// Whether each row of the last listing could be read.
    complete: bool,
}

impl MaintenancePlanner {
    /// Restores the progress of a wave that a previous leader reported.
    pub fn resume(&mut self, report: WaveReport) {
        if report.completed {
            self.completed.insert(report.wave);
            self.waves.remove(&report.wave);
            return;
        }
        if let Some(progress) = self.waves.get_mut(&report.wave) {
            for machine in &report.done {
                progress.stages.insert(machine.clone(), MachineStage::Done);
            }
            progress.last_report = Some(report);
        }
    }

    /// Adds a wave that operators requested. A known wave is left unchanged.
    pub fn add_wave(&mut self, wave: MaintenanceWave) {
        if self.completed.contains(&wave.number) || self.waves.contains_key(&wave.number) {
            return;
        }
        let stages = wave.machines.iter().map(|id| (id.clone(), MachineStage::Pending)).collect();
        log::info!(
            "event=wave_asked wave={} machines={} cap={}",
            wave.number,
            wave.machines.len(),
            wave.max_down
        );
        let progress = WaveProgress { stages, last_report: None, wave };
        self.waves.insert(progress.wave.number, progress);
    }

    /// Returns true if no wave is open.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.waves.is_empty()
    }

    /// Applies a listing of machines that was requested at `requested_at`. With `complete`, each of
    /// its rows could be read.
    ///
    /// A machine that the listing omits may still exist. It is ordered down like the others, and the
    /// platform's refusal tells that it does not.
    pub fn update_machines(
        &mut self,
        machines: &[Machine],
        complete: bool,
        requested_at: BootTime,
    ) {
        self.listed = machines.iter().map(|machine| machine.id.clone()).collect();
        let rows = machines.iter().map(|machine| (machine.id.clone(), machine.clone()));
        self.machines.extend(rows);
        self.complete = complete;
        self.listed_at = Some(requested_at);
        for progress in self.waves.values_mut() {
            for (id, stage) in &mut progress.stages {
                let MachineStage::Begun(at) = *stage else { continue };
                let is_over = match self.listed.contains(id) {
                    true => {
                        let row = self.machines.get(id);
                        requested_at > at && row.is_some_and(|row| row.state == MachineState::Up)
                    }
                    false => requested_at > at.plus_ms(MAX_UPKEEP_MS),
                };
                if is_over {
                    *stage = MachineStage::Done;
                }
            }
        }
    }

    /// Returns the machines that should go down now, each wave within its limit.
    ///
    /// A machine counts towards the limit from the time at which the evacuation of its worker
    /// begins, so that the capacity of no more than `max_down` machines is out of use at once.
    pub fn due_machines(&mut self, now: BootTime) -> Vec<DueMachine> {
        let mut due = Vec::new();
        if self.listed_at.is_none() {
            return due;
        }
        let Self { waves, machines, listed, complete, .. } = self;
        // The platform's answer to the order tells whether a machine that the listing omits exists.
        let can_go_down = |id: &Arc<str>| match listed.contains(id) {
            true => machines.get(id).is_some_and(|row| row.state == MachineState::Up),
            false => *complete,
        };
        for progress in waves.values_mut() {
            let max_down = progress.wave.max_down.max(1) as usize;
            let in_progress = |stage: &&MachineStage| {
                !matches!(stage, MachineStage::Pending | MachineStage::Done)
            };
            let mut available =
                max_down.saturating_sub(progress.stages.values().filter(in_progress).count());
            for (id, stage) in &mut progress.stages {
                if available > 0 && *stage == MachineStage::Pending && can_go_down(id) {
                    *stage = MachineStage::Draining;
                    available -= 1;
                }
            }
            let unfinished =
                progress.stages.values().filter(|stage| **stage != MachineStage::Done).count();
            let rounds = unfinished.div_ceil(max_down) as u64;
            let forced = now.plus_ms(rounds * ASSUMED_UPKEEP_MS) > progress.wave.deadline;
            for (id, stage) in &progress.stages {
                if !matches!(stage, MachineStage::Draining | MachineStage::Ordered) {
                    continue;
                }
                due.push(DueMachine {
                    wave: progress.wave.number,
                    machine: id.clone(),
                    worker: machines.get(id).and_then(|machine| machine.worker.clone()),
                    sent: *stage == MachineStage::Ordered,
                    forced,
                });
            }
        }
        due
    }

    /// Records that an order is about to be sent.
    pub fn record_order(&mut self, due: &DueMachine) {
        self.set_stage(due, MachineStage::Ordered);
    }

    /// Records the outcome of an order.
    pub fn record_outcome(&mut self, due: &DueMachine, outcome: MaintenanceOutcome, now: BootTime) {
        match outcome {
            MaintenanceOutcome::Begun => self.set_stage(due, MachineStage::Begun(now)),
            // The platform did not accept this order, but an earlier one without an answer may
            // still be carried out.
            MaintenanceOutcome::Busy if !due.sent => self.set_stage(due, MachineStage::Draining),
            MaintenanceOutcome::Refused => self.set_stage(due, MachineStage::Done),
            MaintenanceOutcome::Busy
            | MaintenanceOutcome::Fenced
            | MaintenanceOutcome::Unanswered => {}
        }
    }

    fn set_stage(&mut self, due: &DueMachine, stage: MachineStage) {
        if let Some(progress) = self.waves.get_mut(&due.wave)
            && let Some(current) = progress.stages.get_mut(&due.machine)
        {
            *current = stage;
        }
    }

    /// Returns the reports that differ from the last stored ones.
    #[must_use]
    pub fn changed_reports(&self) -> Vec<WaveReport> {
        let changed = self.waves.values().filter_map(|progress| {
            let done = progress.stages.iter().filter(|(_, stage)| **stage == MachineStage::Done);
            let done: Vec<_> = done.map(|(id, _)| id.clone()).collect();
            // Without a listing, the state of the machines is unknown.
            let completed = self.listed_at.is_some() && done.len() == progress.stages.len();
            let report = WaveReport { wave: progress.wave.number, completed, done };
            (progress.last_report.as_ref() != Some(&report)).then_some(report)
        });
        changed.collect()
    }

    /// Records that a report has been stored.
    pub fn mark_reported(&mut self, report: WaveReport) {
        if report.completed {
            log::info!("event=wave_completed wave={}", report.wave);
            self.completed.insert(report.wave);
            self.waves.remove(&report.wave);
        } else if let Some(progress) = self.waves.get_mut(&report.wave) {
            progress.last_report = Some(report);
        }
    }
}
