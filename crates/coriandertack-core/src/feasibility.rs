//! Work that no worker could ever hold.

use crate::{
    code::Code,
    record::{JobSpec, Kind},
    resources::Resources,
    state::State,
};

/// Refuses a job that could not run even if all workers were empty.
///
/// Cordoned and leaving workers count, because they may come back. An empty worker table decides
/// nothing: the VM list has not been read yet.
///
/// # Errors
///
/// Fails with [`Code::Impossible`].
pub fn check_job(state: &State, spec: &JobSpec) -> Result<(), Code> {
    let workers = || state.workers.values().map(|worker| worker.info.capacity);
    if state.workers.is_empty() || fits_any(workers(), spec.need, spec.kind, spec.tasks) {
        Ok(())
    } else {
        Err(Code::Impossible)
    }
}

/// Tells whether empty workers of these capacities could hold one task, or all tasks of a gang at once.
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
