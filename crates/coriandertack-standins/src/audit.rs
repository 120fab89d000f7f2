//! What the workers really did, to check against what the scheduler claims.

use std::collections::BTreeMap;

use tokio::time::Instant;

use crate::worker::{
    Worker,
    wire::{Amount, Used},
};

/// One run of a task.
#[derive(Clone, Debug)]
pub struct Stretch {
    /// The lease.
    pub lease: String,
    /// When the run began.
    pub start: Instant,
    /// When it ended, unless it still runs.
    pub end: Option<Instant>,
}

impl Stretch {
    /// Returns the task of the lease, which is its text without the attempt.
    #[must_use]
    pub fn task(&self) -> &str {
        self.lease.rsplit_once('.').map_or(&self.lease, |(task, _)| task)
    }
}

/// What one worker did.
#[derive(Clone, Debug, Default)]
pub struct Audit {
    /// Every run in the order of the starts.
    pub stretches: Vec<Stretch>,
    /// Highest sum of grants at any time.
    pub granted: Amount,
    /// Most slots in use at any time.
    pub slots: usize,
    /// Most connections open at any time.
    pub connections: usize,
    /// Connections closed at once because too many were open.
    pub closed: u64,
    /// Runs by request id.
    pub requests: BTreeMap<String, u32>,
    /// Runs by idempotency key.
    pub keys: BTreeMap<String, u32>,
    /// Runs of requests by service.
    pub services: BTreeMap<String, u32>,
    /// Use by lease.
    pub used: BTreeMap<String, Used>,
    /// Starts refused because their lease had ended on arrival.
    pub late: u64,
    /// Requests refused because of a low epoch.
    pub stale: u64,
    /// Highest epoch seen at each reading of the list.
    pub listings: Vec<u64>,
}

/// What a set of workers did together.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Runs of tasks.
    pub runs: usize,
    /// Pairs of runs of one task that overlap in time.
    pub duplicated: usize,
    /// Workers whose grants exceeded their capacity at any time.
    pub overcommitted: usize,
    /// Request ids that ran more than once.
    pub repeated_requests: usize,
    /// Idempotency keys that ran more than once.
    pub repeated_keys: usize,
    /// Use by lease.
    pub used: BTreeMap<String, Used>,
    /// Processor time of all leases together, in core-milliseconds.
    pub core_ms: u64,
}

/// Checks what a set of workers did. Each worker keeps its record through crashes.
#[must_use]
pub fn check(workers: &[Worker]) -> Report {
    let mut report = Report::default();
    let mut stretches = Vec::new();
    let mut requests: BTreeMap<String, u32> = BTreeMap::new();
    let mut keys: BTreeMap<String, u32> = BTreeMap::new();
    for worker in workers {
        let audit = worker.audit();
        report.overcommitted += usize::from(!audit.granted.fits(worker.capacity()));
        stretches.extend(audit.stretches);
        add(&mut requests, audit.requests);
        add(&mut keys, audit.keys);
        for (lease, used) in audit.used {
            let sum = report.used.entry(lease).or_default();
            sum.core_ms += used.core_ms;
            sum.mib_s += used.mib_s;
            sum.acc_ms += used.acc_ms;
        }
    }
    report.runs = stretches.len();
    report.duplicated = overlaps(&stretches);
    report.repeated_requests = requests.values().filter(|&&runs| runs > 1).count();
    report.repeated_keys = keys.values().filter(|&&runs| runs > 1).count();
    report.core_ms = report.used.values().map(|used| used.core_ms).sum();
    report
}

fn add(sums: &mut BTreeMap<String, u32>, counts: BTreeMap<String, u32>) {
    for (name, count) in counts {
        *sums.entry(name).or_default() += count;
    }
}

/// Counts the runs that begin before an earlier run of the same task has ended.
#[must_use]
pub fn overlaps(stretches: &[Stretch]) -> usize {
    let mut tasks: BTreeMap<&str, Vec<&Stretch>> = BTreeMap::new();
    for stretch in stretches {
        tasks.entry(stretch.task()).or_default().push(stretch);
    }
    tasks.into_values().map(overlapping).sum()
}

fn overlapping(mut runs: Vec<&Stretch>) -> usize {
    runs.sort_by_key(|run| run.start);
    let mut count = 0;
    let mut busy: Option<&Stretch> = None;
    for run in runs {
        let clash = busy.is_some_and(|busy| busy.end.is_none_or(|end| run.start < end));
        count += usize::from(clash);
        let later = busy.is_none_or(|busy| match (busy.end, run.end) {
            (None, _) => false,
            (Some(_), None) => true,
            (Some(old), Some(new)) => new > old,
        });
        if later {
            busy = Some(run);
        }
    }
    count
}
