//! Choice of the owner that a home asks for capacity.

use {
    coriandertack_core::{
        home_choice::rank_owners,
        keys::VmKey,
        message::{Ask, Summary},
        node::Inner,
        record::Kind,
    },
    tokio::time::Instant,
};

/// Returns the VM to ask for capacity, or nothing if none of those left may have room.
///
/// Copies of a service go to the owner with the fewest of them, so that one VM's workers do not hold them
/// all. For other work this VM goes first when it has room, since that saves a message; the order of the
/// others is that of [`rank_owners`]. The capacity asked for is subtracted from what is known of the owner until its next
/// heartbeat, so that one round does not send everything to the same VM.
pub fn choose(
    inner: &mut Inner,
    me: VmKey,
    ask: &Ask,
    tried: &[VmKey],
    now: Instant,
) -> Option<VmKey> {
    let own = inner.cell.summary();
    let spread = ask.kind == Kind::Service;
    if !spread && !tried.contains(&me) && ask.need.fits(own.largest) {
        return Some(me);
    }
    let open =
        inner.links.iter().filter(|(vm, link)| !tried.contains(vm) && !link.is_suspected(now));
    let mut summaries: Vec<(VmKey, Summary)> = open.map(|(vm, link)| (vm, link.summary)).collect();
    if spread && !tried.contains(&me) {
        summaries.push((me, own));
    }
    let ranked = rank_owners(&summaries, ask);
    let vm = if spread {
        let copies = |vm: &VmKey| inner.homes.copies(&ask.class, *vm);
        ranked.into_iter().min_by_key(copies)?
    } else {
        ranked.into_iter().next()?
    };
    if vm == me {
        return Some(me);
    }
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
    let open =
        inner.links.iter().filter(|(vm, link)| !tried.contains(vm) && !link.is_suspected(now));
    open.max_by_key(|(_, link)| link.summary.workers).map(|(vm, _)| vm)
}
