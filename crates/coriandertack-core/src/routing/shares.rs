//! Shares of each worker's slots and connections among the live entry VMs.
//!
//! Every VM computes the same shares from the live sessions, so no message is needed to agree on them. A
//! hash of the worker's name decides which VMs get the remainder, so shares do not depend on which other
//! workers exist. A VM uses no more than its smallest share in all memberships that other VMs may still be
//! using, and forgets the older ones once every other live VM has confirmed the newest.
//!
//! ```
//! use coriandertack_core::{keys::{Offset, Session}, routing::shares::SlotShares};
//!
//! let mut shares = SlotShares::default();
//! let own_session = Session(1);
//! shares.observe(Offset(1), own_session, &[own_session]);
//! assert!(shares.confirm(|_| None));
//! assert_eq!(shares.share_of("w1").slots, 8);
//!
//! // A second VM halves the share at once.
//! shares.observe(Offset(2), own_session, &[own_session, Session(2)]);
//! assert_eq!(shares.share_of("w1").slots, 4);
//! ```

use xxhash_rust::xxh3::xxh3_64;

use crate::keys::{Offset, Session};

/// Requests that a worker runs at a time for all VMs together.
pub const MAX_WORKER_SLOTS: u32 = 8;

/// Connections that a worker accepts from all VMs together.
pub const MAX_WORKER_CONNECTIONS: u32 = 64;

/// Slots and connections of one worker that one VM may use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Share {
    /// Maximum number of requests in flight.
    pub slots: u32,
    /// Maximum number of open connections, including idle ones.
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
/// The remainder of the division goes to consecutive positions, starting at one that depends on the
/// worker's name. The remainders of slots and connections go to the same positions, so that a VM with a
/// slot also has a connection for it.
#[must_use]
pub fn share_at(worker: &str, position: usize, vms: usize) -> Share {
    let (position, vms) = (position as u64, vms as u64);
    if position >= vms {
        return Share::default();
    }
    let first_place = xxh3_64(worker.as_bytes()) % vms;
    let rank = (position + vms - first_place) % vms;
    let share_of_total = |total: u32| {
        let total = u64::from(total);
        let extra = u64::from(rank < total % vms);
        // The result is at most `total`, which came from a u32.
        u32::try_from(total / vms + extra).unwrap_or(u32::MAX)
    };
    Share {
        slots: share_of_total(MAX_WORKER_SLOTS),
        connections: share_of_total(MAX_WORKER_CONNECTIONS),
    }
}

/// The live sessions at one offset, and the session of this VM.
#[derive(Clone, Debug, PartialEq, Eq)]
struct MembershipView {
    offset: Offset,
    own_session: Session,
    members: Vec<Session>,
}

impl MembershipView {
    fn share(&self, worker: &str) -> Share {
        let position = self.members.iter().position(|&member| member == self.own_session);
        position.map_or(Share::default(), |position| share_at(worker, position, self.members.len()))
    }
}

/// Memberships that some live VM may still be using, the newest last.
#[derive(Clone, Debug, Default)]
pub struct SlotShares {
    views: Vec<MembershipView>,
    confirmed: bool,
}

impl SlotShares {
    /// Gives this VM all slots of every worker, for a setup without other VMs.
    pub fn take_all(&mut self) {
        let own_session = Session(0);
        self.observe(Offset(0), own_session, &[own_session]);
        self.confirm(|_| None);
    }

    /// Records the live sessions at `offset`, in ascending order, and returns whether they changed.
    pub fn observe(&mut self, offset: Offset, own_session: Session, members: &[Session]) -> bool {
        if self
            .views
            .last()
            .is_some_and(|view| view.own_session == own_session && view.members == members)
        {
            return false;
        }
        if self.views.is_empty() {
            // Before its first membership a VM has no share, whatever the other VMs assume.
            self.views.push(MembershipView { offset: Offset(0), own_session, members: Vec::new() });
        }
        self.views.push(MembershipView { offset, own_session, members: members.to_vec() });
        self.confirmed = false;
        true
    }

    /// Forgets the older memberships once every other member has confirmed the newest one.
    ///
    /// `confirmed_offset` returns the highest offset that a member has confirmed. Returns whether the
    /// confirmation is complete with this call, in which case the share may have grown. A VM that is no longer
    /// a member is not asked: its session has ended, and the worker's own limit bounds what it may still send.
    pub fn confirm(&mut self, confirmed_offset: impl Fn(Session) -> Option<Offset>) -> bool {
        let Some(newest) = self.views.last() else {
            return false;
        };
        if self.confirmed {
            return false;
        }
        let others = newest.members.iter().filter(|&&member| member != newest.own_session);
        let confirmed = others
            .into_iter()
            .all(|&member| confirmed_offset(member).is_some_and(|offset| offset >= newest.offset));
        if confirmed {
            self.views.drain(..self.views.len() - 1);
            self.confirmed = true;
        }
        confirmed
    }

    /// Returns whether every other member has confirmed the newest membership.
    #[must_use]
    pub fn is_confirmed(&self) -> bool {
        self.confirmed
    }

    /// Returns this VM's current share of a worker.
    #[must_use]
    pub fn share_of(&self, worker: &str) -> Share {
        let shares = self.views.iter().map(|view| view.share(worker));
        shares.reduce(Share::min).unwrap_or_default()
    }
}
