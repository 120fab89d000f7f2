//! Division of each worker's slots and connections among the live entry VMs.
//!
//! Every VM computes the same table from the live sessions, so no message is needed to agree on it.
//! The worker's name decides who gets the remainder, so it does not depend on which other workers
//! exist. A VM keeps to the smallest share of all memberships that the others may still act on, and
//! forgets the older ones once every other live VM has confirmed the newest.
//!
//! ```
//! use coriandertack_core::{keys::{Offset, Session}, routing::shares::SlotShares};
//!
//! let mut shares = SlotShares::default();
//! let me = Session(1);
//! shares.observe(Offset(1), me, &[me]);
//! assert!(shares.confirm(|_| None));
//! assert_eq!(shares.share_of("w1").slots, 8);
//!
//! // A second VM halves the share at once.
//! shares.observe(Offset(2), me, &[me, Session(2)]);
//! assert_eq!(shares.share_of("w1").slots, 4);
//! ```

use xxhash_rust::xxh3::xxh3_64;

use crate::keys::{Offset, Session};

/// Requests that a worker runs at a time for all VMs together.
pub const MAX_WORKER_SLOTS: u32 = 8;

/// Connections that a worker accepts from all VMs together.
pub const MAX_WORKER_CONNECTIONS: u32 = 64;

/// What one VM may use of one worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Share {
    /// Requests in flight.
    pub slots: u32,
    /// Open connections, idle ones included.
    pub connections: u32,
}

impl Share {
    fn min(self, other: Self) -> Self {
        Self {
            slots: self.slots.min(other.slots),
            connections: self.connections.min(other.connections),
        }
    }
}

/// Returns the share of the VM at `position` among `vms` live ones in the order of their sessions.
///
/// The remainder of the division goes to consecutive places from one that the worker's name
/// chooses. The same places get the remainder of slots and of connections, so a VM with a slot has
/// a connection for it.
#[must_use]
pub fn share_at(worker: &str, position: usize, vms: usize) -> Share {
    let (position, vms) = (position as u64, vms as u64);
    if position >= vms {
        return Share::default();
    }
    let first = xxh3_64(worker.as_bytes()) % vms;
    let turn = (position + vms - first) % vms;
    let part = |whole: u32| {
        let whole = u64::from(whole);
        let extra = u64::from(turn < whole % vms);
        // The result is at most `whole`, which is a u32.
        u32::try_from(whole / vms + extra).unwrap_or(u32::MAX)
    };
    Share { slots: part(MAX_WORKER_SLOTS), connections: part(MAX_WORKER_CONNECTIONS) }
}

/// A membership as this VM saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
struct View {
    offset: Offset,
    me: Session,
    members: Vec<Session>,
}

impl View {
    fn share(&self, worker: &str) -> Share {
        let position = self.members.iter().position(|&member| member == self.me);
        position.map_or(Share::default(), |position| share_at(worker, position, self.members.len()))
    }
}

/// The memberships that some live VM may still act on, the newest last.
#[derive(Clone, Debug, Default)]
pub struct SlotShares {
    views: Vec<View>,
    settled: bool,
}

impl SlotShares {
    /// Takes all slots, for a VM that has no others beside it.
    pub fn claim_all(&mut self) {
        let me = Session(0);
        self.observe(Offset(0), me, &[me]);
        self.confirm(|_| None);
    }

    /// Notes the live sessions, in ascending order, as of `offset`. Returns whether they changed.
    pub fn observe(&mut self, offset: Offset, me: Session, members: &[Session]) -> bool {
        if self.views.last().is_some_and(|view| view.me == me && view.members == members) {
            return false;
        }
        if self.views.is_empty() {
            // Before its first membership a VM has no share, whatever the others think.
            self.views.push(View { offset: Offset(0), me, members: Vec::new() });
        }
        self.views.push(View { offset, me, members: members.to_vec() });
        self.settled = false;
        true
    }

    /// Drops older memberships once `settled` of every other member has reached the newest one.
    ///
    /// Returns whether that happened now, in which case the share may have grown. A VM that is no
    /// longer a member is not asked: its session has ended and the worker's own limit bounds what it
    /// may still send.
    pub fn confirm(&mut self, settled: impl Fn(Session) -> Option<Offset>) -> bool {
        let Some(newest) = self.views.last() else {
            return false;
        };
        if self.settled {
            return false;
        }
        let others = newest.members.iter().filter(|&&member| member != newest.me);
        let confirmed =
            others.into_iter().all(|&member| settled(member).is_some_and(|at| at >= newest.offset));
        if confirmed {
            self.views.drain(..self.views.len() - 1);
            self.settled = true;
        }
        confirmed
    }

    /// Tells whether every other member has confirmed the newest membership.
    #[must_use]
    pub fn is_confirmed(&self) -> bool {
        self.settled
    }

    /// Returns what this VM may use of a worker now.
    #[must_use]
    pub fn share_of(&self, worker: &str) -> Share {
        let shares = self.views.iter().map(|view| view.share(worker));
        shares.reduce(Share::min).unwrap_or_default()
    }
}
