//! A non-blocking limit on concurrent use, for the slots and connections of a worker.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// A limited number of permits.
#[derive(Clone, Debug)]
pub(super) struct Limiter {
    in_use: Arc<AtomicUsize>,
    limit: usize,
}

/// A permit that is released on drop, so also when its connection breaks.
#[derive(Debug)]
pub(super) struct Permit {
    in_use: Arc<AtomicUsize>,
    /// Number of permits in use when this one was acquired, including this one.
    pub use_count: usize,
}

impl Limiter {
    pub fn new(limit: usize) -> Self {
        Self { in_use: Arc::default(), limit }
    }

    /// Acquires a permit if one is available.
    pub fn try_acquire(&self) -> Option<Permit> {
        let increment = |in_use: usize| (in_use < self.limit).then_some(in_use + 1);
        let before =
            self.in_use.fetch_update(Ordering::SeqCst, Ordering::SeqCst, increment).ok()?;
        Some(Permit { in_use: Arc::clone(&self.in_use), use_count: before + 1 })
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.in_use.fetch_sub(1, Ordering::SeqCst);
    }
}
