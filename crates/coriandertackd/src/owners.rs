//! Choice of the owner that a home asks for capacity.

use {
    coriandertack_core::{
        cell::Reach,
        home_choice::{Choice, Owner, rank_owners},
        keys::VmKey,
        message::Ask,
        node::Inner,
        record::Kind,
    },
    tokio::time::Instant,
};

/// Returns the owner to ask for all of `asks`, or nothing if none of those left may have room.
///
/// For batch work this VM goes first when it shows room, since that saves a message; the order of the others,
/// and of all owners for services and gangs, is that of [`rank_owners`]. The capacity asked for is subtracted from what is
/// known of the owner until its next heartbeat, so that one round does not send everything to the same
/// VM.
pub fn choose(
    inner: &mut Inner,
    me: VmKey,
    asks: &[Ask],
    tried: &[Choice],
    now: Instant,
) -> Option<Choice> {
    let first = asks.first()?;
    let here = Choice { vm: me, reach: Reach::Kept };
    if first.kind == Kind::Batch && first.need.accelerators == 0 && !tried.contains(&here) {
        let plain = inner.cell.summary().plain;
        if first.need.fits(plain.largest) {
            return Some(here);
        }
    }
    let owners = owners(inner, me, first, now);
    let choice = rank_owners(&owners, asks).into_iter().find(|choice| !tried.contains(choice))?;
    if let Some(link) = inner.links.get_mut(choice.vm) {
        let total = asks.iter().map(|ask| ask.need).sum();
        let plain = &mut link.summary.plain;
        plain.free = plain.free.saturating_sub(total);
        let accelerated = &mut link.summary.accelerated;
        accelerated.free = accelerated.free.saturating_sub(total);
    }
    Some(choice)
}

/// Returns what is known of every owner that is heard, this VM included.
fn owners(inner: &Inner, me: VmKey, ask: &Ask, now: Instant) -> Vec<Owner> {
    let copies = |vm: VmKey| match ask.kind {
        Kind::Service => u32::try_from(inner.homes.copies(&ask.class, vm)).unwrap_or(u32::MAX),
        Kind::Batch | Kind::Gang => 0,
    };
    let heard = inner.links.iter().filter(|(_, link)| !link.is_suspected(now));
    let others = heard.map(|(vm, link)| Owner { vm, summary: link.summary, copies: copies(vm) });
    let own = Owner { vm: me, summary: inner.cell.summary(), copies: copies(me) };
    others.chain([own]).collect()
}

/// Returns the owner to ask for urgent work when no owner has room: this one if it has workers, else the
/// one with the most. The owner makes room by preemption.
pub fn choose_for_urgent(
    inner: &Inner,
    me: VmKey,
    tried: &[Choice],
    now: Instant,
) -> Option<Choice> {
    let any = |vm: VmKey| Choice { vm, reach: Reach::Any };
    if !tried.contains(&any(me)) && inner.cell.hosts().next().is_some() {
        return Some(any(me));
    }
    let open = inner
        .links
        .iter()
        .filter(|(vm, link)| !tried.contains(&any(*vm)) && !link.is_suspected(now));
    open.max_by_key(|(_, link)| link.summary.workers).map(|(vm, _)| any(vm))
}
