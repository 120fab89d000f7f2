//! Maintenance waves: which machines go down next, and when a wave is over.
//!
//! Operators ask for the upkeep of a set of machines, with at most some of them down at once. Upkeep ends all that runs on a
//! machine, so its worker is emptied first. An order that is repeated for a machine that had its upkeep changes
//! nothing, so a machine whose order was not answered is ordered again until it is known to have begun.
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
//! planner.update_machines(&[up("m-1"), up("m-2")], BootTime(5));
//! assert_eq!(planner.due_machines(BootTime(10)).len(), 1);
//! ```

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    sync::Arc,
};

use derive_more::Display;

use crate::boot_time::BootTime;

/// How long a machine is down for its upkeep, in milliseconds, as far as the plan of a wave assumes. The platform states 2 s
/// (`maintenance-s`), and a listing notices the end half a second later.
const UPKEEP_MS: u64 = 2_500;

/// Upkeep that operators ask for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MaintenanceWave {
    /// Number.
    pub number: u64,
    /// Machines.
    pub machines: Vec<Arc<str>>,
    /// Moment by which all of them should have had their upkeep.
    pub deadline: BootTime,
    /// Most machines that may be down at once.
    pub max_down: u32,
}

/// State of a machine, as the platform lists it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineState {
    /// It carries a worker.
    Up,
    /// It changes its pool.
    Moving,
    /// It has its upkeep.
    Upkeep,
    /// It is off.
    Down,
}

/// A machine, as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Machine {
    /// Name, which stays with the machine.
    pub id: Arc<str>,
    /// State.
    pub state: MachineState,
    /// Name of the worker that it carries.
    pub worker: Option<Arc<str>>,
}

/// What came of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum MaintenanceOutcome {
    /// The upkeep has begun, now or earlier.
    #[display("begun")]
    Begun,
    /// Not now: the machine is not up, or the platform takes no more orders.
    #[display("busy")]
    Busy,
    /// Never: there is no such machine, or it is not part of the wave.
    #[display("refused")]
    Refused,
    /// A holder with a higher token has given orders.
    #[display("fenced")]
    Fenced,
    /// It may be carried out, now or later.
    #[display("unanswered")]
    Unanswered,
}

/// What still runs on a worker that is being emptied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Occupancy {
    /// Nothing.
    Empty,
    /// Work that ends by itself. Ending it early wastes what it did since its last checkpoint.
    Batch,
    /// Tasks that last, of which no more may be unavailable at present.
    Serving,
}

/// What operators are told of a wave.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaveReport {
    /// Number of the wave.
    pub wave: u64,
    /// Whether every machine that stays had its upkeep.
    pub completed: bool,
    /// Machines that had it, or are gone.
    pub done: Vec<Arc<str>>,
}

/// A machine whose worker should be emptied and then ordered down.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DueMachine {
    /// Wave.
    pub wave: u64,
    /// Machine.
    pub machine: Arc<str>,
    /// Its worker, if it carries one.
    pub worker: Option<Arc<str>>,
    /// Whether an order was sent whose outcome is unknown. It is sent again, whatever runs there.
    pub sent: bool,
    /// Whether the time left makes it necessary to end work that has not finished.
    pub forced: bool,
}

/// Where a machine of a wave is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Member {
    Waiting,
    /// Its worker is being emptied.
    Leaving,
    /// An order was sent, and it is not known what came of it.
    Sent,
    /// Its upkeep has begun before this moment.
    Begun(BootTime),
    Done,
}

#[derive(Clone, Debug)]
struct Progress {
    wave: MaintenanceWave,
    members: BTreeMap<Arc<str>, Member>,
    /// What was reported last.
    reported: Option<WaveReport>,
}

/// Plans the upkeep of all open waves.
#[derive(Clone, Debug, Default)]
pub struct MaintenancePlanner {
    waves: BTreeMap<u64, Progress>,
    /// Waves that a former leader completed.
    completed: HashSet<u64>,
    machines: HashMap<Arc<str>, Machine>,
    listed: Option<BootTime>,
}

impl MaintenancePlanner {
    /// Takes over what a former leader reported of a wave.
    pub fn resume(&mut self, report: WaveReport) {
        if report.completed {
            self.completed.insert(report.wave);
            self.waves.remove(&report.wave);
            return;
        }
        if let Some(progress) = self.waves.get_mut(&report.wave) {
            for machine in &report.done {
                progress.members.insert(machine.clone(), Member::Done);
            }
            progress.reported = Some(report);
        }
    }

    /// Notes a wave that operators asked for. One that is known stays as it is.
    pub fn add_wave(&mut self, wave: MaintenanceWave) {
        if self.completed.contains(&wave.number) || self.waves.contains_key(&wave.number) {
            return;
        }
        let members = wave.machines.iter().map(|id| (id.clone(), Member::Waiting)).collect();
        log::info!(
            "event=wave_asked wave={} machines={} cap={}",
            wave.number,
            wave.machines.len(),
            wave.max_down
        );
        let progress = Progress { members, reported: None, wave };
        self.waves.insert(progress.wave.number, progress);
    }

    /// Tells whether no wave is open.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.waves.is_empty()
    }

    /// Applies a listing of all machines that was asked for at `asked`.
    pub fn update_machines(&mut self, machines: &[Machine], asked: BootTime) {
        self.machines =
            machines.iter().map(|machine| (machine.id.clone(), machine.clone())).collect();
        self.listed = Some(asked);
        for progress in self.waves.values_mut() {
            for (id, member) in &mut progress.members {
                let Some(machine) = self.machines.get(id) else {
                    // A machine that left for good owes no upkeep.
                    *member = Member::Done;
                    continue;
                };
                if let Member::Begun(at) = *member
                    && asked > at
                    && machine.state == MachineState::Up
                {
                    *member = Member::Done;
                }
            }
        }
    }

    /// Returns the machines that should go down now, each wave within its cap.
    ///
    /// A machine counts from the moment at which its worker is being emptied, so that capacity is given up for no more
    /// machines than may be down.
    pub fn due_machines(&mut self, now: BootTime) -> Vec<DueMachine> {
        let mut due = Vec::new();
        if self.listed.is_none() {
            return due;
        }
        for progress in self.waves.values_mut() {
            let cap = progress.wave.max_down.max(1) as usize;
            let busy = |m: &&Member| !matches!(m, Member::Waiting | Member::Done);
            let mut free = cap.saturating_sub(progress.members.values().filter(busy).count());
            for (id, member) in &mut progress.members {
                let up = self.machines.get(id).is_some_and(|m| m.state == MachineState::Up);
                if free > 0 && up && *member == Member::Waiting {
                    *member = Member::Leaving;
                    free -= 1;
                }
            }
            let open = progress.members.values().filter(|m| **m != Member::Done).count();
            let rounds = open.div_ceil(cap) as u64;
            let forced = now.plus_ms(rounds * UPKEEP_MS) > progress.wave.deadline;
            for (id, member) in &progress.members {
                if !matches!(member, Member::Leaving | Member::Sent) {
                    continue;
                }
                due.push(DueMachine {
                    wave: progress.wave.number,
                    machine: id.clone(),
                    worker: self.machines.get(id).and_then(|machine| machine.worker.clone()),
                    sent: *member == Member::Sent,
                    forced,
                });
            }
        }
        due
    }

    /// Notes that an order is about to be sent.
    pub fn record_order(&mut self, due: &DueMachine) {
        self.set(due, Member::Sent);
    }

    /// Notes what came of an order.
    pub fn record_outcome(&mut self, due: &DueMachine, outcome: MaintenanceOutcome, now: BootTime) {
        match outcome {
            MaintenanceOutcome::Begun => self.set(due, Member::Begun(now)),
            // The platform refused this order; one that was lost before can still be carried out.
            MaintenanceOutcome::Busy if !due.sent => self.set(due, Member::Leaving),
            MaintenanceOutcome::Refused => self.set(due, Member::Done),
            MaintenanceOutcome::Busy
            | MaintenanceOutcome::Fenced
            | MaintenanceOutcome::Unanswered => {}
        }
    }

    fn set(&mut self, due: &DueMachine, member: Member) {
        if let Some(progress) = self.waves.get_mut(&due.wave)
            && let Some(known) = progress.members.get_mut(&due.machine)
        {
            *known = member;
        }
    }

    /// Returns the reports that have changed.
    #[must_use]
    pub fn changed_reports(&self) -> Vec<WaveReport> {
        let changed = self.waves.values().filter_map(|progress| {
            let done = progress.members.iter().filter(|(_, member)| **member == Member::Done);
            let done: Vec<_> = done.map(|(id, _)| id.clone()).collect();
            // Without a listing nothing is known of the machines.
            let completed = self.listed.is_some() && done.len() == progress.members.len();
            let report = WaveReport { wave: progress.wave.number, completed, done };
            (progress.reported.as_ref() != Some(&report)).then_some(report)
        });
        changed.collect()
    }

    /// Notes that a report is stored.
    pub fn mark_reported(&mut self, report: WaveReport) {
        if report.completed {
            log::info!("event=wave_completed wave={}", report.wave);
            self.completed.insert(report.wave);
            self.waves.remove(&report.wave);
        } else if let Some(progress) = self.waves.get_mut(&report.wave) {
            progress.reported = Some(report);
        }
    }
}
