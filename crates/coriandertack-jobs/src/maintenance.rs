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
//! let worker = Some("w-1".into());
//! let up = Machine { id: "m-1".into(), state: MachineState::Up, worker };
//! planner.update_machines(&[up], true, BootTime(5), |_| true);
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

/// Time after which an upkeep counts as over although no listing proves its end, in milliseconds.
const MAX_UPKEEP_MS: u64 = 4 * ASSUMED_UPKEEP_MS;

/// Time for which listings must show a machine without a known worker before it may be ordered down, in
/// milliseconds. A listing may be seconds old, or lack rows for a while.
const SETTLE_MS: u64 = 10_000;

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
    /// The scheduler does not know the worker, so anything may run on it.
    Unknown,
}

/// What the listings tell about the worker of a machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Evidence {
    /// The last listing does not tell which worker the machine runs.
    #[default]
    Unsettled,
    /// The last listing names a worker of the machine that the scheduler knows.
    Named,
    /// For 10 s, each complete listing has omitted the machine or named no known worker of it.
    Settled,
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
    /// Known worker that a listing named last; `None` if there was none.
    pub worker: Option<Arc<str>>,
    /// What the listings tell about the worker.
    pub evidence: Evidence,
    /// Whether an order with an unknown outcome was sent. It is repeated whatever still runs on the
    /// machine.
    pub sent: bool,
    /// Whether the deadline requires that unfinished work is ended.
    pub forced: bool,
}

impl DueMachine {
    /// Returns true if the machine may be ordered down while `occupancy` remains on its worker.
    ///
    /// An order ends everything on the machine, so a worker that is not known for certain must have been
    /// evacuated completely.
    #[must_use]
    pub fn may_order(&self, occupancy: Occupancy) -> bool {
        self.sent
            || match occupancy {
                Occupancy::Empty => self.evidence != Evidence::Unsettled,
                Occupancy::Batch => self.evidence == Evidence::Named && self.forced,
                Occupancy::Serving => false,
                Occupancy::Unknown => self.evidence == Evidence::Settled,
            }
    }
}

/// Progress of one machine of a wave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum MachineStage {
    Pending,
    /// The worker is being evacuated.
    Draining,
    /// An order was sent whose outcome is unknown.
    Ordered,
    /// The upkeep began before `at`, and counts as over after `until` even without proof.
    Begun {
        at: BootTime,
        until: BootTime,
        /// Whether a listing has shown the upkeep.
        shown: bool,
    },
    Done,
}

/// What the listings have shown of a machine.
#[derive(Clone, Debug, Default)]
struct Sighting {
    /// State in the last row.
    state: Option<MachineState>,
    /// Known worker that a row named last.
    worker: Option<Arc<str>>,
    evidence: Evidence,
    /// Time until which the machine may not be ordered, since no known worker of it is shown.
    unseen_until: Option<BootTime>,
}

impl Sighting {
    fn update(
        &mut self,
        row: Option<&Machine>,
        complete: bool,
        requested_at: BootTime,
        is_known: impl Fn(&str) -> bool,
    ) {
        self.evidence = Evidence::Unsettled;
        self.state = row.map(|row| row.state).or(self.state);
        if row.is_some_and(|row| row.state != MachineState::Up) {
            self.unseen_until = None;
        } else if let Some(worker) = known_worker(row, is_known) {
            self.worker = Some(worker.clone());
            self.evidence = Evidence::Named;
            self.unseen_until = None;
        } else if complete {
            let until = *self.unseen_until.get_or_insert(requested_at.plus_ms(SETTLE_MS));
            if requested_at >= until {
                self.evidence = Evidence::Settled;
            }
        }
    }

    /// Returns true if the worker may be evacuated.
    fn may_drain(&self, complete: bool) -> bool {
        match self.evidence {
            Evidence::Named | Evidence::Settled => true,
            // The last known worker is evacuated already, while the machine is not ordered yet.
            Evidence::Unsettled => complete && self.worker.is_some() && self.unseen_until.is_some(),
        }
    }
}

/// Returns the worker that a row names, if the scheduler knows it. A row may be older than the worker.
fn known_worker(row: Option<&Machine>, is_known: impl Fn(&str) -> bool) -> Option<&Arc<str>> {
    row.and_then(|row| row.worker.as_ref()).filter(|worker| is_known(worker))
}

#[derive(Clone, Debug)]
struct WaveProgress {
    wave: MaintenanceWave,
    stages: BTreeMap<Arc<str>, MachineStage>,
    /// Workers of each machine at its orders; `None` if the last listing named no known one.
    ordered: HashMap<Arc<str>, Vec<Option<Arc<str>>>>,
    /// The last report that was stored.
    last_report: Option<WaveReport>,
}

/// Planner for the upkeep of all open waves.
#[derive(Clone, Debug, Default)]
pub struct MaintenancePlanner {
    waves: BTreeMap<u64, WaveProgress>,
    /// Numbers of completed waves.
    completed: HashSet<u64>,
    /// What the listings have shown of each machine of a wave.
    sightings: HashMap<Arc<str>, Sighting>,
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
        let progress = WaveProgress { stages, ordered: HashMap::new(), last_report: None, wave };
        self.waves.insert(progress.wave.number, progress);
    }

    /// Returns true if no wave is open.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.waves.is_empty()
    }

    /// Applies a listing of machines that was requested at `requested_at`. With `complete`, each of
    /// its rows could be read. `is_known` tells whether the scheduler knows a worker.
    ///
    /// A machine that the listing omits may still exist. After a while it is ordered down like the others,
    /// and the platform's refusal tells that it does not. Rows that contradict each other tell nothing.
    pub fn update_machines(
        &mut self,
        machines: &[Machine],
        complete: bool,
        requested_at: BootTime,
        is_known: impl Fn(&str) -> bool,
    ) {
        let mut rows = HashMap::new();
        let mut contradictory = HashSet::new();
        for row in machines {
            if rows.insert(&row.id, row).is_some_and(|other| other != row) {
                contradictory.insert(&row.id);
            }
        }
        rows.retain(|id, _| !contradictory.contains(id));
        self.complete = complete;
        self.listed_at = Some(requested_at);
        let ids: HashSet<_> = self.waves.values().flat_map(|wave| wave.stages.keys()).collect();
        for id in ids {
            let complete = complete && !contradictory.contains(id);
            let sighting = self.sightings.entry(id.clone()).or_default();
            sighting.update(rows.get(id).copied(), complete, requested_at, &is_known);
        }
        for progress in self.waves.values_mut() {
            for (id, stage) in &mut progress.stages {
                let MachineStage::Begun { at, until, shown } = stage else { continue };
                if requested_at <= *at {
                    continue;
                }
                let row = rows.get(id).copied();
                if row.is_some_and(|row| row.state == MachineState::Upkeep) {
                    (*shown, *until) = (true, requested_at.plus_ms(MAX_UPKEEP_MS));
                    continue;
                }
                let up = row.filter(|row| row.state == MachineState::Up);
                // A row may be older than the order, and then it names the worker that was ordered down.
                let ordered = progress.ordered.get(id).map(Vec::as_slice).unwrap_or_default();
                let is_new = known_worker(up, &is_known).is_some_and(|worker| {
                    !ordered.iter().any(|former| former.as_ref().is_none_or(|name| name == worker))
                });
                let is_nameless = up.is_some_and(|row| row.worker.is_none());
                let is_late = requested_at > *until && (up.is_some() || row.is_none());
                if is_new || (is_nameless && *shown) || is_late {
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
        let Self { waves, sightings, complete, .. } = self;
        let may_drain =
            |id: &Arc<str>| sightings.get(id).is_some_and(|sighting| sighting.may_drain(*complete));
        // A former leader ordered these machines down.
        let is_down = |id: &Arc<str>| {
            sightings.get(id).is_some_and(|sighting| {
                sighting.state == Some(MachineState::Upkeep)
                    && sighting.evidence != Evidence::Settled
            })
        };
        for progress in waves.values_mut() {
            let max_down = progress.wave.max_down.max(1) as usize;
            let in_progress = |(id, stage): &(&Arc<str>, &MachineStage)| match stage {
                MachineStage::Pending => is_down(id),
                MachineStage::Done => false,
                _ => true,
            };
            let mut available =
                max_down.saturating_sub(progress.stages.iter().filter(in_progress).count());
            for (id, stage) in &mut progress.stages {
                if available > 0 && *stage == MachineStage::Pending && may_drain(id) {
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
                let Some(sighting) = sightings.get(id) else { continue };
                due.push(DueMachine {
                    wave: progress.wave.number,
                    machine: id.clone(),
                    worker: sighting.worker.clone(),
                    evidence: sighting.evidence,
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
        if let Some(progress) = self.waves.get_mut(&due.wave) {
            let worker = due.worker.clone().filter(|_| due.evidence == Evidence::Named);
            // An order that is repeated during its upkeep finds the machine without a worker.
            let ordered = progress.ordered.entry(due.machine.clone()).or_default();
            if ordered.is_empty() || (worker.is_some() && !ordered.contains(&worker)) {
                ordered.push(worker);
            }
        }
    }

    /// Records the outcome of an order.
    pub fn record_outcome(&mut self, due: &DueMachine, outcome: MaintenanceOutcome, now: BootTime) {
        match outcome {
            MaintenanceOutcome::Begun => {
                let until = now.plus_ms(MAX_UPKEEP_MS);
                self.set_stage(due, MachineStage::Begun { at: now, until, shown: false });
            }
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
