//! The owners that a home asks for capacity, from what their heartbeats say.
//!
//! A summary is old by the time it is read, and it does not list every worker. It orders the owners and
//! excludes none that may have room: a refusal makes the home ask the next one.

use crate::{
    keys::VmKey,
    message::{Ask, Summary},
    record::Kind,
};

/// Returns the owner to ask first, if any may have room.
#[must_use]
pub fn choose_owner(summaries: &[(VmKey, Summary)], ask: &Ask) -> Option<VmKey> {
    rank_owners(summaries, ask).first().copied()
}

/// Returns the owners in the order in which to ask them.
///
/// Work without accelerators goes to owners with room on other workers first. Among those, for batch work and
/// gangs it is the owner with the least room first, so that large holes elsewhere stay whole; for
/// services it is the one with the most room. An owner whose summary shows no fitting hole, but
/// does not rule one out, comes after those that show one.
#[must_use]
pub fn rank_owners(summaries: &[(VmKey, Summary)], ask: &Ask) -> Vec<VmKey> {
    let ranked = summaries.iter().filter_map(|(vm, summary)| Some((rank(summary, ask)?, *vm)));
    let mut ranked: Vec<(Rank, VmKey)> = ranked.collect();
    ranked.sort_by_key(|(rank, _)| *rank);
    ranked.into_iter().map(|(_, vm)| vm).collect()
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

/// Returns the rank of an owner, or nothing if it has no room.
fn rank(summary: &Summary, ask: &Ask) -> Option<Rank> {
    let plain = (ask.need.accelerators == 0).then_some((summary.plain, false));
    let rooms = plain.into_iter().chain([(summary.accelerated, true)]);
    let mut able = rooms.filter(|(room, _)| ask.need.fits(room.most));
    let (room, accelerated) = able.next()?;
    let sign = match ask.kind {
        Kind::Service => -1,
        Kind::Batch | Kind::Gang => 1,
    };
    Some(Rank {
        spoils: accelerated && ask.need.accelerators == 0,
        unsure: !ask.need.fits(room.largest),
        accelerators: sign * i64::from(room.free.accelerators),
        processors: sign * i64::from(room.free.millicores),
    })
}
