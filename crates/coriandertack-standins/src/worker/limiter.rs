//! Counted places: the slots and connections of a worker.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// A limited number of places.
#[derive(Clone, Debug)]
pub(super) struct Slots {
    used: Arc<AtomicUsize>,
    limit: usize,
}

/// A place that is free again when this is dropped, also when its connection breaks.
#[derive(Debug)]
pub(super) struct Slot {
    used: Arc<AtomicUsize>,
    /// Places in use, with this one, when it was taken.
    pub count: usize,
}

impl Slots {
    pub fn new(limit: usize) -> Self {
        Self { used: Arc::default(), limit }
    }

    /// Takes a place if one is free.
    pub fn take(&self) -> Option<Slot> {
        let more = |used: usize| (used < self.limit).then_some(used + 1);
        let before = self.used.fetch_update(Ordering::SeqCst, Ordering::SeqCst, more).ok()?;
        Some(Slot { used: Arc::clone(&self.used), count: before + 1 })
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.used.fetch_sub(1, Ordering::SeqCst);
    }
}
