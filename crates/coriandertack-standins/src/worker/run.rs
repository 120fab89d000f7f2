//! One running task: its progress, its use of resources and when something happens to it next.

use {
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
};

use super::{
    behaviour::Behaviour,
    wire::{Amount, Start, Used},
};

/// Progress is counted in thousandths of a millisecond of work.
const FULL_SPEED: u64 = 1_000;

/// Run time of a task that a bad worker fails.
const BAD_RUN_MS: u64 = 5;

/// Work after which a task without an end reaches its highest memory use.
const GROWTH_MS: u64 = 100;

/// How a worker changes what its tasks do.
#[derive(Clone, Copy, Debug)]
pub(super) struct Temper {
    /// Factor by which work takes longer, in percent.
    pub slowdown: u64,
    /// Whether every task fails.
    pub bad: bool,
}

/// What happens next to a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Due {
    /// A usage interval is over. It comes first, so that an end at the same time closes an interval
    /// of its own.
    Interval,
    /// The task uses too much memory.
    OutOfMemory,
    /// The task fails.
    Failed,
    /// The task has done its work.
    Succeeded,
    /// The lease is over.
    LeaseExpired,
}

/// Totals since the start, in units fine enough to stay whole: millicore-ms, MiB-ms, accelerator-ms.
#[derive(Clone, Copy, Debug, Default)]
struct Totals {
    cores: u64,
    memory: u64,
    accelerators: u64,
}

impl Totals {
    fn used(self) -> Used {
        Used { core_ms: self.cores / 1_000, mib_s: self.memory / 1_000, acc_ms: self.accelerators }
    }
}

/// A running task.
#[derive(Debug)]
pub(super) struct Run {
    pub start: Start,
    pub behaviour: Behaviour,
    pub until_ms: u64,
    pub started_ms: u64,
    pub interval: u32,
    pub interval_end: u64,
    pub record: usize,
    limit: u32,
    slowdown: u64,
    at_ms: u64,
    done: u64,
    fail_at: Option<u64>,
    memory_at: Option<u64>,
    totals: Totals,
    reported: Totals,
}

impl Run {
    /// Returns a task that starts at `now` with `done` thousandths of a millisecond already done.
    pub fn new(start: Start, now: u64, done: u64, temper: Temper, seed: u64) -> Self {
        let behaviour = Behaviour::parse(&start.command);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let goal = behaviour.run_ms.unwrap_or(GROWTH_MS) * FULL_SPEED;
        let fails = rng.random_bool(behaviour.fail.clamp(0.0, 1.0));
        let point = goal * rng.random_range(10..90) / 100;
        let fail_at = match (temper.bad, fails) {
            (true, _) => Some(done + BAD_RUN_MS * FULL_SPEED),
            (false, true) => Some(point.max(done)),
            (false, false) => None,
        };
        let large = behaviour.use_mib.is_some_and(|mib| mib > start.grant.memory_mib);
        Self {
            behaviour,
            until_ms: start.until_ms,
            started_ms: now,
            interval: 0,
            interval_end: u64::MAX,
            record: 0,
            limit: start.grant.millicores,
            slowdown: temper.slowdown.max(1),
            at_ms: now,
            done,
            fail_at,
            memory_at: large.then_some((goal / 2).max(done)),
            totals: Totals::default(),
            reported: Totals::default(),
            start,
        }
    }

    /// Returns the processors in use.
    pub fn cores(&self) -> u32 {
        self.wanted().min(self.limit)
    }

    fn wanted(&self) -> u32 {
        self.behaviour.use_millicores.unwrap_or(self.start.grant.millicores)
    }

    fn memory(&self) -> u32 {
        let grant = self.start.grant.memory_mib;
        self.behaviour.use_mib.unwrap_or(grant).min(grant)
    }

    /// Returns the work done per millisecond. Use beyond the limit slows the task.
    fn speed(&self) -> u64 {
        let wanted = u64::from(self.wanted());
        let share = match wanted {
            0 => FULL_SPEED,
            _ => FULL_SPEED * u64::from(self.cores()) / wanted,
        };
        (share * 100 / self.slowdown).max(1)
    }

    /// Returns the work done so far.
    pub fn done(&self) -> u64 {
        self.done
    }

    /// Changes the processor limit from `now` on; it cannot exceed the grant.
    pub fn throttle(&mut self, now: u64, millicores: u32) {
        self.account(now);
        self.limit = millicores.min(self.start.grant.millicores);
    }

    /// Counts work and use up to `now`.
    pub fn account(&mut self, now: u64) {
        let span = now.saturating_sub(self.at_ms);
        self.done += span * self.speed();
        self.totals.cores += span * u64::from(self.cores());
        self.totals.memory += span * u64::from(self.memory());
        self.totals.accelerators += span * u64::from(self.start.grant.accelerators);
        self.at_ms = self.at_ms.max(now);
    }

    /// Returns what has been used since the start.
    pub fn used(&self) -> Used {
        self.totals.used()
    }

    /// Returns what has been used since the last call. The sum over all calls is [`Run::used`].
    pub fn take_interval(&mut self) -> Used {
        let (before, after) = (self.reported.used(), self.totals.used());
        self.reported = self.totals;
        Used {
            core_ms: after.core_ms - before.core_ms,
            mib_s: after.mib_s - before.mib_s,
            acc_ms: after.acc_ms - before.acc_ms,
        }
    }

    /// Returns the highest use. Memory beyond the grant is what was asked for when the task ended.
    pub fn peak(&self, out_of_memory: bool) -> Amount {
        let memory = match self.behaviour.use_mib {
            Some(mib) if out_of_memory => mib,
            _ => self.memory(),
        };
        Amount::new(self.cores(), memory, self.start.grant.accelerators)
    }

    /// Returns what happens next and when.
    pub fn next(&self) -> (u64, Due) {
        let reach = |work: u64| self.at_ms + work.saturating_sub(self.done).div_ceil(self.speed());
        let goal = self.behaviour.run_ms.map(|run| run * FULL_SPEED);
        let candidates = [
            Some((self.interval_end, Due::Interval)),
            self.memory_at.map(|work| (reach(work), Due::OutOfMemory)),
            self.fail_at.map(|work| (reach(work), Due::Failed)),
            goal.map(|work| (reach(work), Due::Succeeded)),
            Some((self.until_ms, Due::LeaseExpired)),
        ];
        candidates.into_iter().flatten().min().unwrap_or((self.until_ms, Due::LeaseExpired))
    }
}
