//! Choice of the owner that a home asks for capacity.

use {
    coriandertack_core::{
        cell::Reach,
        home_choice::{Choice, Estimate, Owner, rank_owners},
        keys::VmKey,
        message::{Ask, Placed},
        node::Inner,
        record::Kind,
    },
    tokio::time::Instant,
};

/// Returns the owner to ask for all of `asks`, or nothing if none of those left may have room.
///
/// The order is that of [`rank_owners`]. What is asked for counts as taken until the answer comes, so that one
/// round does not send everything to the same VM.
pub fn choose(
    inner: &mut Inner,
    me: VmKey,
    asks: &[Ask],
    tried: &[Choice],
    now: Instant,
) -> Option<Choice> {
    let first = asks.first()?;
    let own = Estimate::from(inner.cell.summary());
    let copies = |vm: VmKey| match first.kind {
        Kind::Service => u32::try_from(inner.homes.copies(&first.class, vm)).unwrap_or(u32::MAX),
        Kind::Batch | Kind::Gang => 0,
    };
    let heard = inner.links.iter().filter(|(_, link)| !link.is_suspected(now));
    let others = heard.map(|(vm, link)| Owner {
        vm,
        estimate: &link.estimate,
        copies: copies(vm),
        local: false,
    });
    let here = Owner { vm: me, estimate: &own, copies: copies(me), local: true };
    let owners: Vec<Owner<'_>> = others.chain([here]).collect();
    let ranked = rank_owners(&owners, asks);
    let choice = ranked.into_iter().find(|choice| !tried.contains(choice))?;
    if let Some(link) = inner.links.get_mut(choice.vm) {
        asks.iter().for_each(|ask| link.estimate.ask(ask.need, choice.reach));
    }
    Some(choice)
}

/// Notes what an owner answered to a request for one task.
pub fn answered(inner: &mut Inner, choice: Choice, ask: &Ask, placed: Placed) {
    let link = inner.links.get_mut(choice.vm);
    if let Some(link) = link.filter(|_| placed == Placed::Full) {
        link.estimate.refuse(ask.need, choice.reach);
    }
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
