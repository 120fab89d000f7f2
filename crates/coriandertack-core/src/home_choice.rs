//! The owners that a home asks for capacity, from what their heartbeats say.
//!
//! A summary is old by the time it is read, and it does not list every worker. It orders the owners and
//! excludes none that may have room: a refusal makes the home ask the next one.

use std::cmp::Ordering;

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
/// For batch work and gangs it is the owner with the least room first, so that large holes elsewhere stay
/// whole; for services it is the one with the most room. Owners whose summary shows no fitting hole, but does not rule
/// one out, come last.
#[must_use]
pub fn rank_owners(summaries: &[(VmKey, Summary)], ask: &Ask) -> Vec<VmKey> {
    let able = summaries.iter().filter(|(_, summary)| ask.need.fits(summary.free));
    let mut ranked: Vec<&(VmKey, Summary)> = able.collect();
    ranked.sort_by(|(_, one), (_, two)| {
        let shown = |summary: &Summary| ask.need.fits(summary.largest);
        shown(two).cmp(&shown(one)).then_with(|| by_room(ask.kind, one, two))
    });
    ranked.into_iter().map(|&(vm, _)| vm).collect()
}

fn by_room(kind: Kind, one: &Summary, two: &Summary) -> Ordering {
    match kind {
        Kind::Service => two.free.millicores.cmp(&one.free.millicores),
        Kind::Batch | Kind::Gang => one.free.millicores.cmp(&two.free.millicores),
    }
}
