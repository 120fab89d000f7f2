//! Copies of services that answered callers before their workers changed owner.
//!
//! The tasks run on while ownership moves, but the next owner announces them only after its hold-off and the
//! workers' lists. Until then the former announcement is kept, so that callers are not refused for some seconds at
//! each change of membership. A copy that has ended meanwhile refuses as not run, which the router tries elsewhere.

use std::time::Duration;

use tokio::time::Instant;

use crate::{message::Instance, validity::HOLD_OFF};

/// Time that the next owner has for the hold-off, the lists of its workers and a heartbeat: the hold-off and 3 s.
const KEEP: Duration = Duration::from_millis(HOLD_OFF.as_millis() as u64 + 3_000);

/// A copy whose owner has lost it.
#[derive(Clone, Debug)]
struct Former {
    instance: Instance,
    until: Instant,
}

/// Copies whose owners have lost them.
#[derive(Clone, Debug, Default)]
pub struct Formers {
    kept: Vec<Former>,
}

impl Formers {
    /// Keeps copies that are announced by nobody for a while.
    pub fn keep(&mut self, instances: impl IntoIterator<Item = Instance>, now: Instant) {
        let until = now + KEEP;
        self.kept.extend(instances.into_iter().map(|instance| Former { instance, until }));
    }

    /// Returns the copies that are still kept.
    pub fn current(&mut self, now: Instant) -> impl Iterator<Item = Instance> + '_ {
        self.kept.retain(|former| former.until > now);
        self.kept.iter().map(|former| former.instance.clone())
    }
}
