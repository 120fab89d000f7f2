//! The owners that a home asks for capacity, from what their heartbeats say.
//!
//! A summary is old by the time it is read, and it does not list every worker. It orders the owners and
//! excludes none that may have room: a refusal makes the home ask the next one.

use crate::{
    cell::Reach,
    keys::VmKey,
    message::{Ask, Room, Summary},
    record::Kind,
    resources::Resources,
};

/// What a home knows of an owner.
#[derive(Clone, Copy, Debug)]
pub struct Owner {
    /// The owner.
    pub vm: VmKey,
    /// Its last summary.
    pub summary: Summary,
    /// Copies of the service that the home has bound there; 0 for other work.
    pub copies: u32,
}

/// An owner to ask, and what it may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The owner.
    pub vm: VmKey,
    /// The workers that it may use.
    pub reach: Reach,
}

/// Returns the owner to ask first, if any may have room.
#[must_use]
pub fn choose_owner(owners: &[Owner], ask: &Ask) -> Option<Choice> {
    rank_owners(owners, std::slice::from_ref(ask)).first().copied()
}

/// Returns the owners in the order in which to ask them for all tasks of a list at once.
///
/// Work without accelerators goes to workers without them first, whichever owner has such room, so an
/// owner can appear twice. Copies of a service go to the owner with the fewest. Then come owners where no
/// unused worker is needed. Then the owner with the least room comes first for batch work and gangs, so that large
/// holes elsewhere stay whole, and the one with the most room for services. An owner whose summary
/// shows no fitting hole, but does not rule one out, comes after those that show one.
#[must_use]
pub fn rank_owners(owners: &[Owner], asks: &[Ask]) -> Vec<Choice> {
    let demand = Demand::of(asks);
    let mut ranked: Vec<(Rank, Choice)> = Vec::with_capacity(2 * owners.len());
    for owner in owners {
        let Summary { plain, accelerated, .. } = owner.summary;
        let mut offer = |room, reach, spoils| {
            let rank = demand.rank(room, owner.copies, spoils);
            ranked.extend(rank.map(|rank| (rank, Choice { vm: owner.vm, reach })));
        };
        if demand.largest.accelerators > 0 {
            offer(accelerated, Reach::Any, false);
        } else {
            offer(plain, Reach::Kept, false);
            offer(plain.with(accelerated), Reach::Any, true);
        }
    }
    ranked.sort_by_key(|(rank, _)| *rank);
    ranked.into_iter().map(|(_, choice)| choice).collect()
}

/// What a list of tasks needs.
#[derive(Clone, Copy, Debug)]
struct Demand {
    /// The most of each resource that one task needs.
    largest: Resources,
    total: Resources,
    /// Whether the tasks are copies of a service.
    service: bool,
}

/// Order in which owners are asked: the lowest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    /// Whether workers with accelerators would be used for work that needs none.
    spoils: bool,
    /// Whether no fitting hole is shown.
    unsure: bool,
    /// Copies of the service there.
    copies: u32,
    /// Whether an unused worker is needed.
    opens: bool,
    accelerators: i64,
    processors: i64,
}

impl Demand {
    fn of(asks: &[Ask]) -> Self {
        let needs = || asks.iter().map(|ask| ask.need);
        Self {
            largest: needs().fold(Resources::ZERO, Resources::max),
            total: needs().fold(Resources::ZERO, Resources::saturating_add),
            service: asks.iter().any(|ask| ask.kind == Kind::Service),
        }
    }

    /// Returns the rank of a room, or nothing if it is certainly too small.
    fn rank(self, room: Room, copies: u32, spoils: bool) -> Option<Rank> {
        if !self.largest.fits(room.most) || !self.total.fits(room.free) {
            return None;
        }
        let sign = if self.service { -1 } else { 1 };
        Some(Rank {
            spoils,
            unsure: !self.largest.fits(room.largest),
            copies,
            opens: !self.largest.fits(room.partial),
            accelerators: sign * i64::from(room.free.accelerators),
            processors: sign * i64::from(room.free.millicores),
        })
    }
}
