//! Filter for the workers that a placement may use.

use crate::{pool::index::WorkerGroup, resources::Resources};

/// Workers that a placement may use for tasks that need no accelerators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WorkerFilter {
    /// Only workers without accelerators, since another owner may still have room on such workers.
    NoAccelerators,
    /// Workers without accelerators first, then those with accelerators if the former have no room.
    #[default]
    Any,
}

impl WorkerFilter {
    /// Searches the worker groups that `need` may use, in order of preference, until one yields a result.
    pub(super) fn find<T>(
        self,
        need: Resources,
        search: impl Fn(WorkerGroup) -> Option<T>,
    ) -> Option<T> {
        if need.accelerators > 0 {
            return search(WorkerGroup::Accelerated);
        }
        let plain = search(WorkerGroup::Plain);
        match self {
            Self::NoAccelerators => plain,
            Self::Any => plain.or_else(|| search(WorkerGroup::Accelerated)),
        }
    }
}
