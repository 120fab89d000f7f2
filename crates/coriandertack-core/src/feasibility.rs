//! Feasibility check for jobs that no worker could ever run.

use crate::{
    code::Code,
    record::{JobSpec, Kind},
    resources::Resources,
    state::State,
};

/// Checks that a job could run if all workers were idle.
///
/// Cordoned and leaving workers count, since they may become available again. With an empty worker table
/// every job passes, because the VM list has not been read yet.
///
/// # Errors
///
/// Fails with [`Code::Impossible`] if no worker is large enough, or if a gang exceeds the cluster.
pub fn check_job(state: &State, spec: &JobSpec) -> Result<(), Code> {
    let workers = || state.workers.values().map(|worker| worker.info.capacity);
    if state.workers.is_empty() || fits_any(workers(), spec.need, spec.kind, spec.tasks) {
        Ok(())
    } else {
        Err(Code::Impossible)
    }
}

/// Returns whether idle workers of these capacities can hold a single task, or all tasks of a gang at once.
pub fn fits_any(
    workers: impl IntoIterator<Item = Resources>,
    need: Resources,
    kind: Kind,
    tasks: u32,
) -> bool {
    let mut counts = workers.into_iter().map(|capacity| u64::from(need.count_in(capacity)));
    match kind {
        Kind::Service | Kind::Batch => counts.any(|count| count > 0),
        Kind::Gang => counts.sum::<u64>() >= u64::from(tasks),
    }
}
