//! Records of what the workers really did, to check against what the scheduler reports.

use std::collections::BTreeMap;

use tokio::time::Instant;

use crate::worker::{
    Worker,
    wire::{Amount, Usage},
};

/// One run of a task on a worker.
#[derive(Clone, Debug)]
pub struct RecordedRun {
    /// Id of the lease, which is the task id, a dot and the attempt.
    pub lease: String,
    /// Time at which the run started.
    pub start: Instant,
    /// Time at which the run ended, or `None` while it is active.
    pub end: Option<Instant>,
}

impl RecordedRun {
    /// Returns the task id, which is the lease id without the attempt.
    #[must_use]
    pub fn task(&self) -> &str {
        self.lease.rsplit_once('.').map_or(&self.lease, |(task, _)| task)
    }
}

/// The record of one worker.
#[derive(Clone, Debug, Default)]
pub struct Audit {
    /// Every run, in the order of the starts.
    pub runs: Vec<RecordedRun>,
    /// Highest sum of grants at any time, for each resource.
    pub peak_granted: Amount,
    /// Largest number of slots in use at the same time.
    pub peak_slots: usize,
    /// Largest number of connections open at the same time.
    pub peak_connections: usize,
    /// Connections closed immediately because the limit was reached.
    pub rejected_connections: u64,
    /// Number of request runs by request id.
    pub request_runs: BTreeMap<String, u32>,
    /// Number of request runs by idempotency key.
    pub keys: BTreeMap<String, u32>,
    /// Number of request runs by service.
    pub services: BTreeMap<String, u32>,
    /// Resource usage by lease.
    pub usage: BTreeMap<String, Usage>,
    /// Starts refused because their lease had already expired on arrival.
    pub late: u64,
    /// Command requests refused because their epoch was lower than one seen before.
    pub stale: u64,
    /// Highest epoch seen so far, at each time that the task list was read.
    pub listings: Vec<u64>,
}

/// The combined result of checking a set of workers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Number of task runs.
    pub runs: usize,
    /// Runs that started before an earlier run of the same task had ended.
    pub duplicated: usize,
    /// Workers whose grants exceeded their capacity at any time.
    pub overcommitted: usize,
    /// Request ids that ran more than once.
    pub repeated_requests: usize,
    /// Idempotency keys that ran more than once.
    pub repeated_keys: usize,
    /// Resource usage by lease.
    pub usage: BTreeMap<String, Usage>,
    /// Total CPU time of all leases, in core-milliseconds.
    pub core_ms: u64,
}

/// Checks the records of a set of workers. A worker keeps its record through crashes.
#[must_use]
pub fn check(workers: &[Worker]) -> Report {
    let mut report = Report::default();
    let mut runs = Vec::new();
    let mut requests: BTreeMap<String, u32> = BTreeMap::new();
    let mut keys: BTreeMap<String, u32> = BTreeMap::new();
    for worker in workers {
        let audit = worker.audit();
        report.overcommitted += usize::from(!audit.peak_granted.fits(worker.capacity()));
        runs.extend(audit.runs);
        add_counts(&mut requests, audit.request_runs);
        add_counts(&mut keys, audit.keys);
        for (lease, usage) in audit.usage {
            let sum = report.usage.entry(lease).or_default();
            sum.core_ms += usage.core_ms;
            sum.mib_s += usage.mib_s;
            sum.acc_ms += usage.acc_ms;
        }
    }
    report.runs = runs.len();
    report.duplicated = overlaps(&runs);
    report.repeated_requests = requests.values().filter(|&&runs| runs > 1).count();
    report.repeated_keys = keys.values().filter(|&&runs| runs > 1).count();
    report.core_ms = report.usage.values().map(|usage| usage.core_ms).sum();
    report
}

fn add_counts(sums: &mut BTreeMap<String, u32>, counts: BTreeMap<String, u32>) {
    for (name, count) in counts {
        *sums.entry(name).or_default() += count;
    }
}

/// Returns the number of runs that start before an earlier run of the same task has ended.
#[must_use]
pub fn overlaps(runs: &[RecordedRun]) -> usize {
    let mut tasks: BTreeMap<&str, Vec<&RecordedRun>> = BTreeMap::new();
    for run in runs {
        tasks.entry(run.task()).or_default().push(run);
    }
    tasks.into_values().map(count_overlaps).sum()
}

fn count_overlaps(mut runs: Vec<&RecordedRun>) -> usize {
    runs.sort_by_key(|run| run.start);
    let mut count = 0;
    // The run so far with the latest end.
    let mut latest: Option<&RecordedRun> = None;
    for run in runs {
        let overlap = latest.is_some_and(|latest| latest.end.is_none_or(|end| run.start < end));
        count += usize::from(overlap);
        let ends_later = latest.is_none_or(|latest| match (latest.end, run.end) {
            (None, _) => false,
            (Some(_), None) => true,
            (Some(old), Some(new)) => new > old,
        });
        if ends_later {
            latest = Some(run);
        }
    }
    count
}
