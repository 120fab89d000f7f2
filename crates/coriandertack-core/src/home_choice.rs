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
pub fn choose_owner(summaries: &[(VmKey, Summary)], ask: &Ask) -> Option<Choice> {
    rank_owners(summaries, std::slice::from_ref(ask)).first().copied()
}

/// Returns the owners in the order in which to ask them for all tasks of a list at once.
///
/// Work without accelerators goes to workers without them first, whichever owner has such room, so an owner
/// can appear twice. Then the owner with the least room comes first for batch work and gangs, so that large holes
/// elsewhere stay whole, and the one with the most room for services. An owner whose summary shows
/// no fitting hole, but does not rule one out, comes after those that show one.
#[must_use]
pub fn rank_owners(summaries: &[(VmKey, Summary)], asks: &[Ask]) -> Vec<Choice> {
    let largest = asks.iter().map(|ask| ask.need).fold(Resources::ZERO, Resources::max);
    let total = asks.iter().map(|ask| ask.need).sum();
    let service = asks.iter().any(|ask| ask.kind == Kind::Service);
    let mut ranked: Vec<(Rank, Choice)> = Vec::with_capacity(2 * summaries.len());
    for &(vm, summary) in summaries {
        let rank = |room: Room, spoils| rank(room, largest, total, service, spoils);
        if largest.accelerators == 0 {
            let kept =
                rank(summary.plain, false).map(|rank| (rank, Choice { vm, reach: Reach::Kept }));
            ranked.extend(kept);
        }
        // An owner that may use all its workers takes those without accelerators first.
        let room = if largest.accelerators == 0 { summary.all() } else { summary.accelerated };
        let spoils = largest.accelerators == 0;
        ranked.extend(rank(room, spoils).map(|rank| (rank, Choice { vm, reach: Reach::Any })));
    }
    ranked.sort_by_key(|(rank, _)| *rank);
    ranked.into_iter().map(|(_, choice)| choice).collect()
}

/// Order in which owners are asked: the lowest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    /// Whether workers with accelerators would be used for work that needs none.
    spoils: bool,
    /// Whether no fitting hole is shown.
    unsure: bool,
    accelerators: i64,
    processors: i64,
}

/// Returns the rank of a room, or nothing if it is certainly too small.
fn rank(
    room: Room,
    largest: Resources,
    total: Resources,
    service: bool,
    spoils: bool,
) -> Option<Rank> {
    if !largest.fits(room.most) || !total.fits(room.free) {
        return None;
    }
    let sign = if service { -1 } else { 1 };
    Some(Rank {
        spoils,
        unsure: !largest.fits(room.largest),
        accelerators: sign * i64::from(room.free.accelerators),
        processors: sign * i64::from(room.free.millicores),
    })
}
