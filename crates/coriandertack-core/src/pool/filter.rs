//! Which workers a placement may use.

use crate::{pool::index::Side, resources::Resources};

/// Which workers a placement may use for work that needs no accelerators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WorkerFilter {
    /// Only workers without accelerators, because other owners may still have some.
    NoAccelerators,
    /// Workers with accelerators too, when the others have no room.
    #[default]
    Any,
}

impl WorkerFilter {
    /// Searches the sides that `need` may use, in order, until one has room.
    pub(super) fn find<T>(self, need: Resources, search: impl Fn(Side) -> Option<T>) -> Option<T> {
        if need.accelerators > 0 {
            return search(Side::Accelerated);
        }
        let kept = search(Side::Plain);
        match self {
            Self::NoAccelerators => kept,
            Self::Any => kept.or_else(|| search(Side::Accelerated)),
        }
    }
}
