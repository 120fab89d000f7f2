//! The simulation of a running task: its progress, its resource usage and its next event.

use {
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
};

use super::{
    behaviour::Behaviour,
    wire::{Amount, Start, Usage},
};

/// Progress per millisecond at full speed. Progress is counted in thousandths of a millisecond of
/// work.
const FULL_SPEED: u64 = 1_000;

/// Run time of a task that fails because its worker fails every task, in milliseconds.
const FAIL_ALL_RUN_MS: u64 = 5;

/// Work that stands in for `run_ms` where a task has none, in milliseconds. Failures and growing
/// memory fall within it.
const DEFAULT_WORK_MS: u64 = 100;

/// The faults that a worker imposes on its tasks.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunFaults {
    /// Factor on the duration of work, in percent.
    pub slowdown_percent: u64,
    /// Whether every task fails.
    pub fail_all: bool,
}

/// An event in the life of a task, in the order in which events of the same time are handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum RunEvent {
    /// A usage interval ends. This comes first, so that an end of the task at the same time closes an
    /// interval of its own.
    Interval,
    /// The task exceeds its memory grant.
    OutOfMemory,
    /// The task fails.
    Failed,
    /// The task completes its work.
    Succeeded,
    /// The lease expires.
    LeaseExpired,
}

/// Usage since the start, in units that are fine enough to need no rounding.
#[derive(Clone, Copy, Debug, Default)]
struct Totals {
    /// CPU time in millicore-milliseconds.
    millicore_ms: u64,
    /// Memory in MiB-milliseconds.
    mib_ms: u64,
    /// Accelerators in accelerator-milliseconds.
    acc_ms: u64,
}

impl Totals {
    fn usage(self) -> Usage {
        Usage {
            core_ms: self.millicore_ms / 1_000,
            mib_s: self.mib_ms / 1_000,
            acc_ms: self.acc_ms,
        }
    }
}

/// A running task.
#[derive(Debug)]
pub(super) struct Run {
    pub start: Start,
    pub behaviour: Behaviour,
    /// End of the lease on the worker's clock.
    pub until_ms: u64,
    /// Time of the start on the worker's clock.
    pub start_ms: u64,
    /// Index of the current usage interval.
    pub interval: u32,
    /// End of the current usage interval on the worker's clock, in milliseconds.
    pub interval_end: u64,
    /// Index of the run in the worker's audit.
    pub audit_index: usize,
    /// CPU limit in thousandths of a core, at most the grant.
    cpu_limit: u32,
    /// Factor on the duration of work, in percent.
    slowdown_percent: u64,
    /// Time up to which progress and usage are counted, on the worker's clock.
    accounted_ms: u64,
    /// Work done so far, in thousandths of a millisecond.
    progress: u64,
    /// Progress at which the task fails.
    fail_at: Option<u64>,
    /// Progress at which the task exceeds its memory grant.
    oom_at: Option<u64>,
    totals: Totals,
    /// Part of `totals` that [`Run::take_interval`] has returned.
    reported: Totals,
}

impl Run {
    /// Returns a task that starts at `now` and continues from the `progress` of earlier attempts.
    pub fn new(start: Start, now: u64, progress: u64, faults: RunFaults, seed: u64) -> Self {
        let behaviour = Behaviour::parse(&start.command);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let total_work = behaviour.run_ms.unwrap_or(DEFAULT_WORK_MS) * FULL_SPEED;
        let fails = rng.random_bool(behaviour.fail.clamp(0.0, 1.0));
        let failure_point = total_work * rng.random_range(10..90) / 100;
        let fail_at = match (faults.fail_all, fails) {
            (true, _) => Some(progress + FAIL_ALL_RUN_MS * FULL_SPEED),
            (false, true) => Some(failure_point.max(progress)),
            (false, false) => None,
        };
        let exceeds_grant = behaviour.use_mib.is_some_and(|mib| mib > start.grant.memory_mib);
        Self {
            behaviour,
            until_ms: start.until_ms,
            start_ms: now,
            interval: 0,
            interval_end: u64::MAX,
            audit_index: 0,
            cpu_limit: start.grant.millicores,
            slowdown_percent: faults.slowdown_percent.max(1),
            accounted_ms: now,
            progress,
            fail_at,
            oom_at: exceeds_grant.then_some((total_work / 2).max(progress)),
            totals: Totals::default(),
            reported: Totals::default(),
            start,
        }
    }

    /// Returns the CPU in use, in thousandths of a core.
    pub fn cpu_usage(&self) -> u32 {
        self.cpu_demand().min(self.cpu_limit)
    }

    fn cpu_demand(&self) -> u32 {
        self.behaviour.use_millicores.unwrap_or(self.start.grant.millicores)
    }

    fn memory_usage(&self) -> u32 {
        let grant = self.start.grant.memory_mib;
        self.behaviour.use_mib.unwrap_or(grant).min(grant)
    }

    /// Returns the progress per millisecond. A CPU demand beyond the limit slows the task.
    fn speed(&self) -> u64 {
        let cpu_demand = u64::from(self.cpu_demand());
        let unscaled_speed = match cpu_demand {
            0 => FULL_SPEED,
            _ => FULL_SPEED * u64::from(self.cpu_usage()) / cpu_demand,
        };
        (unscaled_speed * 100 / self.slowdown_percent).max(1)
    }

    /// Returns the work done so far, in thousandths of a millisecond.
    pub fn progress(&self) -> u64 {
        self.progress
    }

    /// Sets the CPU limit from `now` on, which cannot exceed the grant.
    pub fn throttle(&mut self, now: u64, millicores: u32) {
        self.account(now);
        self.cpu_limit = millicores.min(self.start.grant.millicores);
    }

    /// Counts progress and usage up to `now`.
    pub fn account(&mut self, now: u64) {
        let elapsed = now.saturating_sub(self.accounted_ms);
        self.progress += elapsed * self.speed();
        self.totals.millicore_ms += elapsed * u64::from(self.cpu_usage());
        self.totals.mib_ms += elapsed * u64::from(self.memory_usage());
        self.totals.acc_ms += elapsed * u64::from(self.start.grant.accelerators);
        self.accounted_ms = self.accounted_ms.max(now);
    }

    /// Returns the usage since the start.
    pub fn usage(&self) -> Usage {
        self.totals.usage()
    }

    /// Returns the usage since the last call. The results of all calls add up to [`Run::usage`].
    pub fn take_interval(&mut self) -> Usage {
        let (before, after) = (self.reported.usage(), self.totals.usage());
        self.reported = self.totals;
        Usage {
            core_ms: after.core_ms - before.core_ms,
            mib_s: after.mib_s - before.mib_s,
            acc_ms: after.acc_ms - before.acc_ms,
        }
    }

    /// Returns the peak usage. For a task that ran out of memory, this is the memory that it demanded.
    pub fn peak(&self, out_of_memory: bool) -> Amount {
        let memory = match self.behaviour.use_mib {
            Some(mib) if out_of_memory => mib,
            _ => self.memory_usage(),
        };
        Amount::new(self.cpu_usage(), memory, self.start.grant.accelerators)
    }

    /// Returns the next event and its time on the worker's clock.
    pub fn next_event(&self) -> (u64, RunEvent) {
        let due_at = |work: u64| {
            self.accounted_ms + work.saturating_sub(self.progress).div_ceil(self.speed())
        };
        let total_work = self.behaviour.run_ms.map(|run| run * FULL_SPEED);
        let candidates = [
            Some((self.interval_end, RunEvent::Interval)),
            self.oom_at.map(|work| (due_at(work), RunEvent::OutOfMemory)),
            self.fail_at.map(|work| (due_at(work), RunEvent::Failed)),
            total_work.map(|work| (due_at(work), RunEvent::Succeeded)),
            Some((self.until_ms, RunEvent::LeaseExpired)),
        ];
        candidates.into_iter().flatten().min().unwrap_or((self.until_ms, RunEvent::LeaseExpired))
    }
}
