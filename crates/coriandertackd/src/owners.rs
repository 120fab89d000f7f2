//! Choice of the owner that a home asks for capacity.

use {
    coriandertack_core::{
        home_choice::rank_owners,
        keys::VmKey,
        message::{Ask, Summary},
        node::Inner,
    },
    tokio::time::Instant,
};

/// Returns the VM to ask for capacity, or nothing if none of those left may have room.
///
/// This VM goes first when it has room, since that saves a message; the order of the others is that of
/// [`rank_owners`]. The capacity asked for is subtracted from what is known of the owner until its next
/// heartbeat, so that one round does not send everything to the same VM.
pub fn choose(
    inner: &mut Inner,
    me: VmKey,
    ask: &Ask,
    tried: &[VmKey],
    now: Instant,
) -> Option<VmKey> {
    if !tried.contains(&me) && ask.need.fits(inner.cell.summary().largest) {
        return Some(me);
    }
    let open = inner.links.iter().filter(|(vm, link)| !tried.contains(vm) && !link.is_suspected(now));
    let summaries: Vec<(VmKey, Summary)> = open.map(|(vm, link)| (vm, link.summary)).collect();
    let vm = rank_owners(&summaries, ask).into_iter().next()?;
    let free = &mut inner.links[vm].summary.free;
    *free = free.saturating_sub(ask.need);
    Some(vm)
}

/// Returns the owner to ask for urgent work when no owner has room: this one if it has workers, else the
/// one with the most. The owner makes room by preemption.
pub fn choose_for_urgent(inner: &Inner, me: VmKey, tried: &[VmKey], now: Instant) -> Option<VmKey> {
    if !tried.contains(&me) && inner.cell.hosts().next().is_some() {
        return Some(me);
    }
    let open = inner.links.iter().filter(|(vm, link)| !tried.contains(vm) && !link.is_suspected(now));
    open.max_by_key(|(_, link)| link.summary.workers).map(|(vm, _)| vm)
}
